package jobowner

import (
	"time"

	"bamboofork/internal/boottime"
	"bamboofork/internal/events"
	"bamboofork/internal/jobs"
	"bamboofork/internal/placement"
	"bamboofork/internal/session"
)

// refusalBackoff is how long a worker that refused a start is left out of planning. The next report of the worker arrives
// within that time.
const refusalBackoff = 300 * time.Millisecond

// handleReport processes an agent's report about its worker and its runs.
func (o *Owner) handleReport(member *memberView, msg *session.FromMember) {
	member.bestEffortPaused = msg.BestEffortPaused
	if msg.Suspicion != nil {
		o.restoreSuspicion(member, msg.Suspicion)
	}
	for i := range msg.Ends { // before the worker, whose departure ends the runs that have no listed end
		o.handleRunEnd(member, &msg.Ends[i])
	}
	if msg.Worker != nil {
		o.updateWorker(member, msg.Worker)
	}
	for _, refusal := range msg.Refused {
		o.handleRefusal(member, refusal)
	}
	if runs, ok := member.runList.Join(msg); ok {
		msg.Runs = runs
		o.reconcile(member, msg)
	}
	if len(msg.Ends) > 0 || len(msg.Refused) > 0 {
		o.wakeCommitLoop() // other changes can wait for idleCheckInterval
	}
}

// updateWorker stores the description of the agent's worker. A new lifetime of the worker proves that the runs of earlier
// lifetimes have ended.
func (o *Owner) updateWorker(member *memberView, worker *session.Worker) {
	previous := member.worker
	member.worker = worker
	if previous == nil || previous.Lifetime != worker.Lifetime || previous.Draining != worker.Draining || previous.Gone != worker.Gone {
		events.WorkerSeen.Log(&o.cfg.Log).Str("agent", member.Name).Str("worker", worker.ID).Int64("life", worker.Lifetime).
			Bool("draining", worker.Draining).Bool("gone", worker.Gone).Int("cpu", worker.CPU).Int("mem_mb", worker.MemMB).Send()
		o.wakeCommitLoop()
	}
	if previous == nil || previous.Lifetime != worker.Lifetime {
		member.runsListed = false // the runs of the new lifetime are unknown until the next complete list
	}
	member.acknowledgeLifetime(worker.Lifetime)
	endedLifetime := worker.Lifetime - 1
	if worker.Gone {
		endedLifetime = worker.Lifetime
		o.noteDeparture(member.Name, worker.Lifetime)
	}
	o.endRunsOfLifetime(member.Name, endedLifetime)
}

// endRunsOfLifetime ends the runs on the agent's worker in the lifetime and in those before it. A worker that starts again has a higher
// lifetime.
func (o *Owner) endRunsOfLifetime(agent string, lifetime int64) {
	for _, placed := range o.placedByAgent[agent] {
		if placed.task.Lifetime <= lifetime {
			o.endRun(placed, jobs.EndLost, "", "the worker's lifetime is over")
		}
	}
}

// handleRunEnd records the end of a run that the worker has listed. The end is acknowledged to the worker once its record is
// durable.
func (o *Owner) handleRunEnd(member *memberView, runEnd *session.RunEnd) {
	if placed := o.placedByAgent[member.Name][runEnd.Task]; placed != nil && placed.task.Run == runEnd.Run &&
		placed.task.Lifetime == runEnd.Lifetime {
		if placed.job.Ended() {
			o.endRun(placed, jobs.EndStopped, runEnd.Checkpoint, string(runEnd.Outcome))
		} else {
			o.recordOutcome(member.Name, placed, runEnd.Outcome)
			o.endRun(placed, runEnd.Outcome, runEnd.Checkpoint, "listed by the worker")
		}
	}
	lifetime, seq := runEnd.Lifetime, runEnd.Seq
	if lifetime > member.ackLifetime {
		member.acknowledgeLifetime(lifetime) // the message that describes the worker follows
	}
	o.pendingEffects = append(o.pendingEffects, func() {
		if member.ackLifetime == lifetime && seq > member.ackedEndSeq {
			member.ackedEndSeq = seq
		}
	})
}

// acknowledgeLifetime makes the acknowledgements of ends refer to a lifetime of the worker.
func (m *memberView) acknowledgeLifetime(lifetime int64) {
	if m.ackLifetime != lifetime {
		m.ackLifetime, m.ackedEndSeq, m.sentAckSeq = lifetime, 0, 0
	}
}

// endRun records the end of a placed run and releases its resources.
func (o *Owner) endRun(placed *placedTask, outcome jobs.Outcome, checkpoint, reason string) {
	delete(o.placedByAgent[placed.task.Worker], placed.id.String())
	o.costs.runEnded(placed, outcome, bootTimeMs())
	events.RunEnded.Log(&o.cfg.Log).Str("job", placed.job.ID).Str("task", placed.id.String()).Int("run", placed.task.Run).
		Str("agent", placed.task.Worker).Str("how", string(outcome)).
		Int64("ran_ms", bootTimeMs()-placed.task.PlacedMs).Bool("kept", placed.step.Checkpointing && checkpoint != "").
		Str("why", reason).Send()
	o.apply(jobs.Change{JobID: placed.job.ID, End: &jobs.End{
		Occ: placed.id.Occurrence, Step: placed.id.Step, Index: placed.id.Index, Run: placed.task.Run, Outcome: outcome,
		Checkpoint: checkpoint, AtMs: wallTimeMs(), HasBegun: placed.task.RunStarted,
	}})
	if placed.step.Perpetual && outcome == jobs.EndFailed {
		placement.DelayRestart(placed.task, bootTimeMs())
	}
	if placed.job.Ended() {
		o.cleanUpJob(placed.job)
	}
}

// cleanUpJob stops the remaining runs of an ended job and drops the scheduling data that was kept for it.
func (o *Owner) cleanUpJob(job *jobs.Job) {
	if _, ok := o.activeJobs[job.ID]; !ok {
		return
	}
	delete(o.activeJobs, job.ID)
	o.costs.jobEnded(job, wallTimeMs())
	o.forgetAdvice(job)
	o.interference.Forget(job.ID)
	o.workerHealth.ForgetJob(job.ID)
	events.JobEnded.Log(&o.cfg.Log).Str("job", job.ID).Str("state", string(job.State())).
		Int64("after_ms", wallTimeMs()-job.AcceptedMs).Send()
	for name, tasks := range o.placedByAgent {
		for _, placed := range tasks {
			if placed.job == job {
				o.stopRun(name, placed, "the job has ended")
			}
		}
	}
}

// stopRun queues a stop command for a run. The command is sent once the pending changes are durable. The run occupies its
// resources until the worker lists the end of the run.
func (o *Owner) stopRun(agent string, placed *placedTask, reason string) {
	placed.task.Stopping = true
	stop := session.Stop{Task: placed.id.String(), Run: placed.task.Run}
	events.RunStopOrdered.Log(&o.cfg.Log).Str("job", placed.job.ID).Str("task", stop.Task).Int("run", stop.Run).
		Str("agent", agent).Str("why", reason).Send()
	o.pendingEffects = append(o.pendingEffects, func() {
		if member := o.members[agent]; member != nil {
			member.stops = append(member.stops, stop)
		}
	})
	o.wakeCommitLoop()
}

// handleRefusal ends a run whose start the agent refused, so that the task can be placed again. The agent guarantees that it
// does not execute the start later.
func (o *Owner) handleRefusal(member *memberView, refusal session.Refusal) {
	placed := o.placedByAgent[member.Name][refusal.Task]
	if placed == nil || placed.task.Run != refusal.Run {
		return
	}
	o.cfg.Metrics.Counter("owner_starts_refused").Inc(1)
	if advice := o.adviceByStep[stepKey(placed.job.ID, placed.id.Occurrence, placed.id.Step)]; advice != nil {
		advice.ticketByWorkerID = nil // the tickets may have become invalid early, for instance when the worker's lifetime ended
	}
	member.blockedUntil = boottime.Now() + refusalBackoff
	o.endRun(placed, jobs.EndLost, "", "refused: "+refusal.Reason)
}

// reconcile compares a complete list of runs with the tasks placed on the worker. Listed runs that are not placed are stopped.
// Placed runs that should be listed but are not end as lost.
func (o *Owner) reconcile(member *memberView, msg *session.FromMember) {
	tasks := o.placedByAgent[member.Name]
	listedRunByTask := make(map[string]int, len(msg.Runs))
	for _, run := range msg.Runs {
		listedRunByTask[run.Task] = run.Run
		placed := tasks[run.Task]
		if placed == nil || placed.task.Run != run.Run {
			// An earlier run of the task, or a run of a deleted job.
			member.stops = append(member.stops, session.Stop{Task: run.Task, Run: run.Run})
			continue
		}
		if !member.runsListed && placed.step.BestEffort && run.Started {
			placed.task.PacePercent = run.PacePercent // a previous owner may have slowed the run
		}
		o.updateProgress(placed, &run)
		if run.ResourcesUnknown {
			member.runResources = append(member.runResources, resourcesOf(placed, run.Run))
		}
		if placed.job.Ended() || placed.task.Stopping {
			member.stops = append(member.stops, session.Stop{Task: run.Task, Run: run.Run}) // the earlier stop command may have been lost
		}
	}
	for id, placed := range tasks {
		if listedRun, ok := listedRunByTask[id]; (!ok || listedRun < placed.task.Run) && placed.task.StartMaybeSent &&
			placed.task.CommandSeq <= msg.AckSeq {
			o.endRun(placed, jobs.EndLost, "", "unknown to the agent")
		}
	}
	o.updateColocation(member, msg)
	if !member.runsListed {
		member.runsListed = true
		o.sendCommands(member, true) // confirms the report at once: owners may follow each other faster than heartbeats
		o.wakeCommitLoop()
	}
}

// updateProgress stores the checkpoint and the progress of a run from a report.
func (o *Owner) updateProgress(placed *placedTask, run *session.Run) {
	placed.task.SaveReported(run.Checkpoint)
	placed.job.HasBegun = placed.job.HasBegun || run.Started
	slowed := placed.task.PacePercent < jobs.FullPacePercent // slow progress of a slowed run does not indicate a stalled worker
	progressedMs := bootTimeMs()
	if placed.task.LastProgressMs == 0 && !slowed {
		progressedMs = max(1, progressedMs-run.StalledMs) // as the agent has observed under earlier owners
	}
	if slowed || run.ProgressPercent != placed.task.ProgressPercent || placed.task.LastProgressMs == 0 ||
		(run.Started && !placed.task.RunStarted) {
		placed.task.RunStarted = placed.task.RunStarted || run.Started
		placed.task.ProgressPercent, placed.task.LastProgressMs = run.ProgressPercent, progressedMs
	}
}
