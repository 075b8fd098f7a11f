package jobowner

import (
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
	// previousNumber is the number of the silence in the epoch of the previous owner, and inheritedSince the boot time since which that
	// owner had not heard from the agent, as a member has told; 0: none.
	previousNumber int64
	inheritedSince time.Duration
	durable        bool
	ending         bool // the end of the silence is recorded and not durable yet
}

// lastReportAt returns a boot time such that the hold of the agent's worker expires at the latest MaxHold after it, by the worker's clock.
// Without a takeover, that is the time of the last report.
func (o *Owner) lastReportAt(agent string) time.Duration {
	member, silence := o.members[agent], o.silences[agent]
	at := o.startedAt + takeoverMargin
	switch {
	case silence != nil && silence.inheritedSince != 0:
		at = silence.inheritedSince
	case member != nil && agent == o.previousName && member.MaxHoldBesideOwnerMs > 0:
		besideOwner := time.Duration(member.MaxHoldBesideOwnerMs) * time.Millisecond
		// The owner before the previous one may have confirmed a report for the whole hold.
		at = max(o.previousSince+takeoverMargin, at-max(0, o.cfg.MaxHold-besideOwner))
	}
	if member != nil {
		at = max(at, member.lastReportAt)
	}
	return at
}

// inheritSilences takes over the silences that the previous owner has recorded. lastEpoch is the epoch of the newest record before the
// fence. Silences of earlier epochs do not count, because an owner in between may have confirmed reports of the agents.
func (o *Owner) inheritSilences(lastEpoch int64) {
	o.previousEpoch = lastEpoch
	recorded := o.jobsState.Silences
	o.jobsState.Silences = map[string]jobs.Silence{}
	for agent, silence := range recorded {
		if silence.Epoch == lastEpoch {
			o.recordSilence(agent, silence.Number)
		}
	}
}

// minReannouncedGain is by how much earlier a silence must have begun than the agents were told to be announced to them again.
const minReannouncedGain = 100 * time.Millisecond

// learnFromMember takes over what a member has learned from the previous owner.
func (o *Owner) learnFromMember(told *session.PreviousOwner) {
	if told.Epoch != o.previousEpoch || told.Epoch == 0 {
		return
	}
	now := boottime.Now()
	seenAt := now - time.Duration(told.SeenMs)*time.Millisecond
	if o.previousName == "" || seenAt < o.previousSince {
		o.previousName, o.previousSince = told.Name, seenAt
	}
	sinceByNumber := make(map[int64]time.Duration, len(told.Silences))
	for _, silence := range told.Silences {
		sinceByNumber[silence.Number] = now - time.Duration(silence.ForMs)*time.Millisecond
	}
	announceAgain := false
	for _, silence := range o.silences {
		since, ok := sinceByNumber[silence.previousNumber]
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
			o.recordSilence(agent, 0)
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
			o.recordSilence(agent, 0)
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

// recordSilence queues the record of an agent's silence. previousNumber is its number in the epoch of the previous owner; 0: none.
func (o *Owner) recordSilence(agent string, previousNumber int64) {
	o.silenceCount++
	silence := &agentSilence{number: o.silenceCount, previousNumber: previousNumber}
	o.silences[agent] = silence
	events.AgentSilent.Log(&o.cfg.Log).Str("agent", agent).Int("runs", len(o.placedByAgent[agent])).
		Int64("silent_ms", (boottime.Now()-o.lastReportAt(agent)).Milliseconds()).Bool("inherited", previousNumber != 0).Send()
	o.apply(jobs.Change{Silence: &jobs.Silence{Agent: agent, Epoch: o.epoch, Number: silence.number}})
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
// of a snapshot: a successor that finds the snapshot before they are recorded again would count the holds anew.
func (o *Owner) recordsUntilSnapshot() int64 {
	const factorDuringSilences = 4
	if len(o.silences) > 0 {
		return factorDuringSilences * o.cfg.recordsPerSnapshot()
	}
	return o.cfg.recordsPerSnapshot()
}

// repeatSilences queues the records of the silences again, after a snapshot that does not contain them.
func (o *Owner) repeatSilences() {
	for agent, silence := range o.silences {
		if !silence.ending {
			o.apply(jobs.Change{Silence: &jobs.Silence{Agent: agent, Epoch: o.epoch, Number: silence.number}})
		}
	}
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
