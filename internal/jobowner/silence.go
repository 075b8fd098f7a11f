package jobowner

import (
	"slices"
	"time"

	"bamboofork/internal/boottime"
	"bamboofork/internal/events"
	"bamboofork/internal/jobs"
	"bamboofork/internal/session"
)

// A successor cannot know which reports an owner has confirmed, so it would have to count the hold of a host that is gone from its own
// start, and each further successor again. Therefore an owner records in the log that it hears nothing from an agent, and confirms no
// report of the agent before the end of the silence is in the log as well. It tells the other agents how long the silence has lasted,
// and they tell the successor, which finds the silence in the log and counts the hold from its beginning.
//
// An owner whose term is short records no silence. Therefore it records each agent that it hears from before it confirms a report of the
// agent. If all records of a term are in the log and the agent is not among them, the hold counts from an earlier term.

const (
	// silenceTimeout is the time without a report after which the silence of an agent is recorded.
	silenceTimeout = 800 * time.Millisecond
	// unreachedTimeout is the same for agents that have not reported to this owner yet, from the beginning of its service.
	unreachedTimeout = session.IdleTimeout
	// resignSilenceTimeout is the same when the owner resigns. Agents report about every 200 ms; the silence of one that only reports late
	// ends with its first report to the successor.
	resignSilenceTimeout = 250 * time.Millisecond
	// resignRecordTimeout bounds the time for which the record of these silences delays a resignation.
	resignRecordTimeout = 200 * time.Millisecond
)

// agentSilence is the recorded silence of one agent.
type agentSilence struct {
	number int64
	// inherited are the silences of earlier owners that this one continues, newest first. inheritedSince is the earliest boot time since
	// which one of these owners had not heard from the agent, as members have told; 0: not told yet.
	inherited      []jobs.SilenceID
	inheritedSince time.Duration
	durable        bool
	ending         bool // the end of the silence is recorded and not durable yet
}

// lastReportAt returns a boot time such that the hold of the agent's worker expires at the latest MaxHold after it, by the worker's clock.
// Without a takeover, that is the time of the last report.
func (o *Owner) lastReportAt(agent string) time.Duration {
	member, silence := o.members[agent], o.silences[agent]
	at, epoch := o.confirmedUntil(agent)
	owner, isKnown := o.earlierOwners[epoch]
	switch {
	case silence != nil && silence.inheritedSince != 0:
		at = min(at, silence.inheritedSince)
	case member != nil && isKnown && agent == owner.name && member.MaxHoldBesideOwnerMs > 0:
		besideOwner := time.Duration(member.MaxHoldBesideOwnerMs) * time.Millisecond
		// The owner before that one may have confirmed a report for the whole hold.
		at = max(owner.since+takeoverMargin, at-max(0, o.cfg.MaxHold-besideOwner))
	}
	if member != nil {
		at = max(at, member.lastReportAt)
	}
	return at
}

// earlierOwner is what members have told about the owner of an earlier epoch: its process, and a boot time at which it had begun its
// service.
type earlierOwner struct {
	name  string
	since time.Duration
}

// confirmedUntil returns a boot time before which earlier owners have confirmed the last report of the agent, and the epoch of the last of
// them that may have done so. The owners of the epochs after that have not heard from the agent.
func (o *Owner) confirmedUntil(agent string) (time.Duration, int64) {
	until, epoch := o.startedAt+takeoverMargin, o.previousEpoch
	for _, unheard := range slices.Backward(o.epochsWithout(agent)) {
		if owner, ok := o.earlierOwners[unheard.epoch]; ok {
			until, epoch = min(until, owner.since+takeoverMargin), unheard.previous
		}
	}
	return until, epoch
}

// epochsWithout returns the newest epochs, oldest first, whose owners have certainly confirmed no report of the agent.
func (o *Owner) epochsWithout(agent string) []recordedEpoch {
	first := len(o.recordedEpochs)
	for first > 0 && o.recordedEpochs[first-1].complete && o.heardEpochs[agent] < o.recordedEpochs[first-1].epoch {
		first--
	}
	return o.recordedEpochs[first:]
}

// inheritSilences takes over the silences that earlier owners have recorded. lastEpoch is the epoch of the newest record before the
// fence. A silence does not count if the owner of a later epoch may have confirmed reports of the agent.
func (o *Owner) inheritSilences(lastEpoch int64) {
	o.previousEpoch = lastEpoch
	recorded := o.jobsState.Silences
	o.jobsState.Silences = map[string]jobs.Silence{}
	for agent, silence := range recorded {
		lastHeard := lastEpoch // newest epoch whose owner may have heard from the agent
		if unheard := o.epochsWithout(agent); len(unheard) > 0 {
			lastHeard = unheard[0].previous
		}
		if silence.Epoch >= lastHeard {
			o.recordSilence(agent, silence.Chain())
		}
	}
}

// minReannouncedGain is by how much earlier a silence must have begun than the agents were told to be announced to them again.
const minReannouncedGain = 100 * time.Millisecond

// learnFromMember takes over what a member has learned from an earlier owner.
func (o *Owner) learnFromMember(told *session.PreviousOwner) {
	if told.Epoch <= 0 || told.Epoch >= o.epoch {
		return
	}
	now := boottime.Now()
	seenAt := now - time.Duration(told.SeenMs)*time.Millisecond
	if known, ok := o.earlierOwners[told.Epoch]; !ok || seenAt < known.since {
		o.earlierOwners[told.Epoch] = earlierOwner{name: told.Name, since: seenAt}
	}
	sinceByNumber := make(map[int64]time.Duration, len(told.Silences))
	for _, silence := range told.Silences {
		sinceByNumber[silence.Number] = now - time.Duration(silence.ForMs)*time.Millisecond
	}
	announceAgain := false
	for _, silence := range o.silences {
		since, ok := toldSince(silence.inherited, told.Epoch, sinceByNumber)
		if !ok || (silence.inheritedSince != 0 && since >= silence.inheritedSince) {
			continue
		}
		announceAgain = announceAgain || silence.inheritedSince == 0 || since < silence.inheritedSince-minReannouncedGain
		silence.inheritedSince = since
	}
	if announceAgain {
		for _, member := range o.members {
			member.announcedSilence = 0
		}
	}
}

// toldSince returns since when the owner of the epoch had not heard from the agent, if one of the inherited silences is among those that a
// member has been told by that owner.
func toldSince(inherited []jobs.SilenceID, epoch int64, sinceByNumber map[int64]time.Duration) (time.Duration, bool) {
	for _, id := range inherited {
		if id.Epoch == epoch {
			since, ok := sinceByNumber[id.Number]
			return since, ok
		}
	}
	return 0, false
}

// updateSilences records the silence of the agents with placed tasks that have not reported for some time. It ends the silences of
// agents whose runs have all ended.
func (o *Owner) updateSilences() {
	if o.servingSince == 0 {
		return
	}
	now := boottime.Now()
	for agent, tasks := range o.placedByAgent {
		if len(tasks) == 0 || o.silences[agent] != nil {
			continue
		}
		silentFrom := o.servingSince + unreachedTimeout
		if member := o.members[agent]; member != nil && member.lastReportAt != 0 {
			silentFrom = member.lastReportAt + silenceTimeout
		}
		if now >= silentFrom {
			o.recordSilence(agent, nil)
		}
	}
	for agent, silence := range o.silences {
		if silence.durable && len(o.placedByAgent[agent]) == 0 {
			o.endSilence(agent)
		}
	}
}

// recordSilencesToResign records the silences of all agents that have not reported lately, because this owner does not stay to find out
// whether they will, and waits until the record is durable and announced.
func (o *Owner) recordSilencesToResign() {
	o.mu.Lock()
	if o.servingSince == 0 {
		o.mu.Unlock()
		return
	}
	recorded, now := false, boottime.Now()
	for agent, tasks := range o.placedByAgent {
		member := o.members[agent]
		if len(tasks) > 0 && o.silences[agent] == nil && member != nil && now >= max(o.servingSince, member.lastReportAt)+resignSilenceTimeout {
			o.recordSilence(agent, nil)
			recorded = true
		}
	}
	announced := make(chan struct{})
	if !recorded {
		close(announced)
	} else {
		o.pendingEffects = append(o.pendingEffects, func() { close(announced) })
	}
	o.mu.Unlock()
	select {
	case <-announced:
	case <-time.After(resignRecordTimeout):
	}
}

// isSilent reports whether the agent of the member has not reported for some time. It may be gone although its connection does not count
// as lost yet.
func (o *Owner) isSilent(member *memberView) bool {
	return o.silences[member.Name] != nil || boottime.Now() >= member.lastReportAt+silenceTimeout
}

// recordSilence queues the record of an agent's silence. inherited are the silences of earlier owners that it continues, newest first.
func (o *Owner) recordSilence(agent string, inherited []jobs.SilenceID) {
	o.silenceCount++
	silence := &agentSilence{number: o.silenceCount, inherited: inherited}
	o.silences[agent] = silence
	events.AgentSilent.Log(&o.cfg.Log).Str("agent", agent).Int("runs", len(o.placedByAgent[agent])).
		Int64("silent_ms", (boottime.Now()-o.lastReportAt(agent)).Milliseconds()).Bool("inherited", len(inherited) > 0).Send()
	o.apply(jobs.Change{Silence: &jobs.Silence{Agent: agent, Epoch: o.epoch, Number: silence.number, Inherited: inherited}})
	o.pendingEffects = append(o.pendingEffects, func() { silence.durable, o.durableSilence = true, silence.number })
}

// endSilence queues the record of the end of an agent's silence, if there is one. Reports of the agent are confirmed once the record is
// durable.
func (o *Owner) endSilence(agent string) {
	silence := o.silences[agent]
	if silence == nil || silence.ending {
		return
	}
	silence.ending = true
	o.apply(jobs.Change{Silence: &jobs.Silence{Agent: agent, Epoch: o.epoch, Number: silence.number, Over: true}})
	o.pendingEffects = append(o.pendingEffects, func() { delete(o.silences, agent) })
}

// recordsUntilSnapshot returns the number of records after which a snapshot replaces them. It is higher during silences, which are not part
// of a snapshot and have to be recorded again for it.
func (o *Owner) recordsUntilSnapshot() int64 {
	const factorDuringSilences = 4
	if len(o.silences) > 0 {
		return factorDuringSilences * o.cfg.recordsPerSnapshot()
	}
	return o.cfg.recordsPerSnapshot()
}

// repeatSilences queues the records of the silences again, for a snapshot that does not contain them. It reports whether there are any.
func (o *Owner) repeatSilences() bool {
	repeated := false
	for agent, silence := range o.silences {
		if !silence.ending {
			repeated = true
			o.apply(jobs.Change{Silence: &jobs.Silence{Agent: agent, Epoch: o.epoch, Number: silence.number, Inherited: silence.inherited}})
		}
	}
	return repeated
}

// unannouncedSilences returns the silences that were not announced on the connection to the agent yet.
func (o *Owner) unannouncedSilences(member *memberView) []session.Silence {
	if !member.Agent || member.announcedSilence == o.durableSilence {
		return nil
	}
	var silences []session.Silence
	now := boottime.Now()
	for agent, silence := range o.silences {
		if silence.durable && !silence.ending && silence.number > member.announcedSilence {
			silences = append(silences, session.Silence{Number: silence.number, ForMs: (now - o.lastReportAt(agent)).Milliseconds()})
		}
	}
	return silences
}

// noteHeard records that the agent has reported to this owner, unless that is recorded already. Its reports are confirmed once the record
// is durable, and the first of them at once.
func (o *Owner) noteHeard(member *memberView) {
	if member.heardRecorded {
		return
	}
	member.heardRecorded = true
	o.apply(jobs.Change{Heard: &jobs.Heard{Agent: member.Name, Epoch: o.epoch}})
	o.pendingEffects = append(o.pendingEffects, func() {
		member.heardDurable = true
		o.sendCommands(member, true)
	})
}
