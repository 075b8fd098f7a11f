package jobowner

import (
	"time"

	"bamboofork/internal/boottime"
	"bamboofork/internal/events"
	"bamboofork/internal/jobs"
	"bamboofork/internal/session"
)

// refusalDelay is how long a worker that refused a start is left out of planning; its next report arrives within that time.
const refusalDelay = 300 * time.Millisecond

// handleReport processes an agent's report about its worker and its runs.
func (o *Owner) handleReport(m *member, msg *session.FromMember) {
	m.bestEffortPaused = msg.BestEffortPaused
	if msg.Worker != nil {
		o.updateWorker(m, msg.Worker)
	}
	for i := range msg.Ends {
		o.handleRunEnd(m, &msg.Ends[i])
	}
	for _, r := range msg.Refused {
		o.handleRefusal(m, r)
	}
	if msg.RunsComplete {
		o.reconcile(m, msg)
	}
	if len(msg.Ends) > 0 || len(msg.Refused) > 0 {
		o.wakeCommitLoop() // other changes can wait for idleCheckInterval
	}
}

// updateWorker stores the worker's state. A new lifetime of the worker proves that the runs of the previous one have ended.
func (o *Owner) updateWorker(m *member, w *session.Worker) {
	old := m.worker
	m.worker = w
	if old == nil || old.Lifetime != w.Lifetime || old.Draining != w.Draining || old.Gone != w.Gone {
		events.WorkerSeen.Log(&o.cfg.Log).Str("agent", m.Name).Str("worker", w.ID).Int64("life", w.Lifetime).
			Bool("draining", w.Draining).Bool("gone", w.Gone).Int("cpu", w.CPU).Int("mem_mb", w.MemMB).Send()
		o.wakeCommitLoop()
	}
	if old == nil || old.Lifetime != w.Lifetime {
		m.synced = false // the runs of the new lifetime are unknown until the next complete list
	}
	if m.ackLifetime != w.Lifetime {
		m.ackLifetime, m.ackEnds, m.ackSent = w.Lifetime, 0, 0
	}
	for _, p := range o.placed[m.Name] {
		if p.task.Lifetime < w.Lifetime || (w.Gone && p.task.Lifetime <= w.Lifetime) {
			o.endRun(p, jobs.EndLost, "", "the worker's lifetime is over")
		}
	}
}

// handleRunEnd records the end of a run that the worker has listed and acknowledges it once it is durable.
func (o *Owner) handleRunEnd(m *member, e *session.RunEnd) {
	if p := o.placed[m.Name][e.Task]; p != nil && p.task.Run == e.Run && p.task.Lifetime == e.Lifetime {
		if p.job.Ended() {
			o.endRun(p, jobs.EndStopped, e.Checkpoint, string(e.Outcome))
		} else {
			o.health.Record(m.Name, p.job.ID, e.Outcome, bootTimeMs())
			o.endRun(p, e.Outcome, e.Checkpoint, "listed by the worker")
		}
	}
	lifetime, seq := e.Lifetime, e.Seq
	o.effects = append(o.effects, func() {
		if m.ackLifetime == lifetime && seq > m.ackEnds {
			m.ackEnds = seq
		}
	})
}

// endRun records the end of a placed run and releases its resources.
func (o *Owner) endRun(p *placedTask, outcome jobs.Outcome, checkpoint, why string) {
	delete(o.placed[p.task.Worker], p.id.String())
	events.RunEnded.Log(&o.cfg.Log).Str("job", p.job.ID).Str("task", p.id.String()).Int("run", p.task.Run).
		Str("agent", p.task.Worker).Str("how", string(outcome)).Int64("ran_ms", bootTimeMs()-p.task.PlacedMs).Str("why", why).Send()
	o.apply(jobs.Change{JobID: p.job.ID, End: &jobs.End{
		Occ: p.id.Occ, Step: p.id.Step, Index: p.id.Index, Run: p.task.Run, Outcome: outcome, Checkpoint: checkpoint, AtMs: wallMs(),
	}})
	if p.job.Ended() {
		o.cleanUpJob(p.job)
	}
}

// cleanUpJob stops the remaining runs of an ended job and drops the scheduling data that was kept for it.
func (o *Owner) cleanUpJob(j *jobs.Job) {
	if _, ok := o.active[j.ID]; !ok {
		return
	}
	delete(o.active, j.ID)
	o.forgetAdvice(j)
	o.interference.Forget(j.ID)
	events.JobEnded.Log(&o.cfg.Log).Str("job", j.ID).Str("state", string(j.State())).Int64("after_ms", wallMs()-j.AcceptedMs).Send()
	for name, tasks := range o.placed {
		for _, p := range tasks {
			if p.job == j {
				o.stopRun(name, p, "the job has ended")
			}
		}
	}
}

// stopRun queues a stop command for a run; it is sent once the pending changes are durable. The run occupies its resources
// until the worker lists its end.
func (o *Owner) stopRun(agent string, p *placedTask, why string) {
	p.task.Stopping = true
	stop := session.Stop{Task: p.id.String(), Run: p.task.Run}
	events.RunStopOrdered.Log(&o.cfg.Log).Str("job", p.job.ID).Str("task", stop.Task).Int("run", stop.Run).Str("agent", agent).Str("why", why).Send()
	o.effects = append(o.effects, func() {
		if m := o.members[agent]; m != nil {
			m.stops = append(m.stops, stop)
		}
	})
	o.wakeCommitLoop()
}

// handleRefusal ends a run whose start was not and will not be executed, so that its task can be placed again.
func (o *Owner) handleRefusal(m *member, r session.Refusal) {
	p := o.placed[m.Name][r.Task]
	if p == nil || p.task.Run != r.Run {
		return
	}
	o.cfg.Metrics.Counter("owner_starts_refused").Inc(1)
	if a := o.advice[stepKey(p.job.ID, p.id.Occ, p.id.Step)]; a != nil {
		a.tickets = nil // the tickets may have become invalid early, for instance when the worker's lifetime ended
	}
	m.blockedUntil = boottime.Now() + refusalDelay
	o.endRun(p, jobs.EndLost, "", "refused: "+r.Reason)
}

// reconcile compares a complete list of runs with the tasks placed on the worker.
func (o *Owner) reconcile(m *member, msg *session.FromMember) {
	tasks := o.placed[m.Name]
	listed := make(map[string]int, len(msg.Runs))
	for _, r := range msg.Runs {
		listed[r.Task] = r.Run
		p := tasks[r.Task]
		if p == nil || p.task.Run != r.Run {
			m.stops = append(m.stops, session.Stop{Task: r.Task, Run: r.Run}) // an older run, or a task of a deleted job
			continue
		}
		if !m.synced && p.step.BestEffort && r.Started {
			p.task.Pace = r.Pace // a previous owner may have slowed it
		}
		o.updateProgress(p, &r)
		if r.ResourcesUnknown {
			m.runResources = append(m.runResources, startCommand(p, r.Run))
		}
		if p.job.Ended() || p.task.Stopping {
			m.stops = append(m.stops, session.Stop{Task: r.Task, Run: r.Run}) // the earlier command may have been lost
		}
	}
	for id, p := range tasks {
		if run, ok := listed[id]; (!ok || run < p.task.Run) && p.task.Sent && p.task.CommandSeq <= msg.AckSeq {
			o.endRun(p, jobs.EndLost, "", "unknown to the agent")
		}
	}
	o.updateColocation(m, msg)
	if !m.synced {
		m.synced = true
		o.wakeCommitLoop()
	}
}

func (o *Owner) updateProgress(p *placedTask, r *session.Run) {
	if r.Checkpoint != "" {
		p.task.Checkpoint = r.Checkpoint
	}
	slowed := p.task.Pace < jobs.FullPace // slow progress of a slowed run does not indicate a stalled worker
	if slowed || r.Percent != p.task.Percent || p.task.LastProgressMs == 0 || (r.Started && !p.task.RunStarted) {
		p.task.RunStarted = p.task.RunStarted || r.Started
		p.task.Percent, p.task.LastProgressMs = r.Percent, bootTimeMs()
	}
}
