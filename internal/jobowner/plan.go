package jobowner

import (
	"slices"
	"strings"
	"sync"
	"time"

	"bamboofork/internal/boottime"
	"bamboofork/internal/election"
	"bamboofork/internal/events"
	"bamboofork/internal/jobs"
	"bamboofork/internal/placement"
	"bamboofork/internal/session"
)

// takeoverMargin is added to the hold of workers from which this owner has received no message. The previous owner may still
// have confirmed reports of these workers after this term began: it renews its lease only after it has read its own key, so from the
// moment at which another process writes the key, it counts its lease as valid for less than election.LeaseTTL.
const takeoverMargin = election.LeaseTTL

// holdMargin is added to the hold of a worker to allow for late timers of the worker.
const holdMargin = 300 * time.Millisecond

// checkTimeouts ends the runs of workers whose hold has expired, deletes jobs past their retention and stops runs that make no
// progress. It also updates how long jobs and tasks have been waiting. It goes over all placed tasks, so it does nothing if the
// last check is less than idleCheckInterval ago.
func (o *Owner) checkTimeouts() {
	now := boottime.Now()
	if now < o.timeoutsCheckedAt+idleCheckInterval {
		return
	}
	o.timeoutsCheckedAt = now
	o.updateSilences()
	o.reportDomains()
	o.reportColocation()
	for name, tasks := range o.placedByAgent {
		if len(tasks) > 0 {
			o.endRunsOfLostWorker(name, tasks)
		}
	}
	nowWallMs := wallTimeMs()
	for id, job := range o.jobsState.Jobs {
		if job.Ended() && job.IsDurable && nowWallMs-job.EndedMs > o.cfg.Retention.Milliseconds() && !job.HasPlacedTasks() {
			o.apply(jobs.Change{JobID: id, Delete: &struct{}{}})
			o.memory.set(id, 0, now)
		}
	}
	o.updateIdleTimes()
	progressByJob := sync.OnceValue(o.progressByJob)
	for name, tasks := range o.placedByAgent {
		if member := o.members[name]; o.showsProgress(member) {
			o.stopStalledRuns(member, tasks, progressByJob)
		}
		for _, placed := range tasks {
			if member := o.members[name]; member != nil && member.isReady() && !placed.task.Stopping &&
				placement.RunStuck(placed.step, placed.task, bootTimeMs()) {
				o.recordOutcome(name, placed, jobs.EndFailed)
				o.stopRun(name, placed, "no progress")
			}
			o.noteSoundRun(placed)
		}
	}
}

// jobProgress holds the progress of the runs of each job that are not perpetual, by agent.
type jobProgress map[*jobs.Job]map[string][]placement.Progress

// showsProgress reports whether the reports of an agent show the progress of its runs. It is nil for an agent that is not known.
func (o *Owner) showsProgress(member *memberView) bool {
	return member != nil && member.isReady() && !member.bestEffortPaused
}

// mayProgress reports whether a run is expected to make progress until it ends.
func mayProgress(placed *placedTask) bool { return !placed.step.Perpetual && !placed.task.Stopping }

func progressOf(placed *placedTask, nowMs int64) placement.Progress {
	return placement.Progress{EstimateMs: placed.step.EstimateMs, StalledMs: nowMs - placed.task.LastProgressMs,
		HasBegun: placed.task.ProgressPercent > 0}
}

// progressByJob returns the progress of the runs on all workers. It includes runs whose start has not been reported yet.
func (o *Owner) progressByJob() jobProgress {
	byJob, nowMs := jobProgress{}, bootTimeMs()
	for name, tasks := range o.placedByAgent {
		if !o.showsProgress(o.members[name]) {
			continue
		}
		for _, placed := range tasks {
			if !mayProgress(placed) {
				continue
			}
			if byJob[placed.job] == nil {
				byJob[placed.job] = map[string][]placement.Progress{}
			}
			byJob[placed.job][name] = append(byJob[placed.job][name], progressOf(placed, nowMs))
		}
	}
	return byJob
}

// stopStalledRuns stops the runs of a worker on which no run progresses, so that the runs are placed elsewhere, unless all of them are of
// jobs that progress nowhere. A run without checkpoints stays if its progress exceeds maxStalledProgressPercent, because it would lose too
// much work. progressByJob returns the progress of the runs on all workers; it is called only if no run of this one progresses.
func (o *Owner) stopStalledRuns(member *memberView, tasks map[string]*placedTask, progressByJob func() jobProgress) {
	now := bootTimeMs()
	var runs []placement.Progress
	var runJobs []*jobs.Job // of runs
	for _, placed := range tasks {
		if mayProgress(placed) && placed.task.RunStarted {
			runs, runJobs = append(runs, progressOf(placed, now)), append(runJobs, placed.job)
		}
	}
	if !placement.WorkerStalled(runs) {
		return
	}
	isProgressing := func(job *jobs.Job) bool { return !placement.JobStalled(progressByJob()[job]) }
	if !slices.ContainsFunc(runJobs, isProgressing) {
		return
	}
	o.workerHealth.Quarantine(member.Name, now)
	for _, placed := range tasks {
		if !placed.step.Perpetual && !placed.task.Stopping && (placed.step.Checkpointing || placed.task.ProgressPercent <= maxStalledProgressPercent) {
			o.stopRun(member.Name, placed, "nothing progresses on the worker")
		}
	}
}

// maxStalledProgressPercent is the progress above which a run without checkpoints stays on its stalled worker.
const maxStalledProgressPercent = 60

// updateIdleTimes records for each active job the time since which the job has no placed task, and the waiting times of its
// tasks.
func (o *Owner) updateIdleTimes() {
	busy := map[*jobs.Job]bool{}
	for _, tasks := range o.placedByAgent {
		for _, placed := range tasks {
			busy[placed.job] = true
		}
	}
	for _, job := range o.activeJobs {
		switch {
		case busy[job]:
			job.IdleSinceMs = 0
		case job.IdleSinceMs == 0:
			job.IdleSinceMs = bootTimeMs()
		}
		updateWaitingTimes(job)
	}
	o.restoreWaits()
}

// updateWaitingTimes records for each waiting perpetual task of a job the time since which the task waits.
func updateWaitingTimes(job *jobs.Job) {
	for occIndex := range job.Occurrences {
		for stepIndex := range job.Spec.Steps {
			if !job.Spec.Steps[stepIndex].Perpetual || job.Occurrences[occIndex].Steps[stepIndex].WaitingTasks == 0 {
				continue
			}
			for taskIndex := range job.Occurrences[occIndex].Steps[stepIndex].Tasks {
				if task := &job.Occurrences[occIndex].Steps[stepIndex].Tasks[taskIndex]; task.State == jobs.TaskWaiting && task.WaitingSinceMs == 0 {
					task.WaitingSinceMs = bootTimeMs()
				}
			}
		}
	}
}

// endRunsOfLostWorker ends the runs of a worker as lost, so that their tasks can be placed again, once the worker's hold must have
// expired by the worker's own clock. Only a confirmed report extends the hold, whether the agent is connected or not: an agent that
// came back after its worker had ended is connected, but knows no worker and reports no runs. The runs of a worker that has left end
// without that wait.
func (o *Owner) endRunsOfLostWorker(name string, tasks map[string]*placedTask) {
	o.endRunsOfDepartedWorker(name)
	lastReportAt := o.lastReportAt(name)
	if boottime.Now() < lastReportAt+session.LongestHold(o.cfg.MaxHold)+holdMargin {
		return
	}
	for _, placed := range tasks {
		o.endRun(placed, jobs.EndLost, "", "the worker is unreachable and its hold has expired")
		placed.task.WaitingSinceMs = lastReportAt.Milliseconds() // the run may have ended right after the report
	}
}

// planPauseFactor is the pause after a planning pass as a multiple of the duration of the pass. It bounds the part of the
// processor that planning takes: with a large backlog a pass costs milliseconds, and the reports of the agents and the requests
// of the callers have to be processed meanwhile.
const planPauseFactor = 3

// planIfDue plans unless the last pass has ended within the pause that its duration demands. The commit loop then wakes up when
// the pause is over.
func (o *Owner) planIfDue() {
	start := boottime.Now()
	o.planPostponed = start < o.nextPlanAt
	if o.planPostponed {
		return
	}
	o.plan()
	end := boottime.Now()
	o.nextPlanAt = end + planPauseFactor*(end-start)
	o.cfg.Metrics.Histogram("owner_plan_us").Update((end - start).Microseconds())
}

// plan places the waiting tasks that fit on a worker. It places nothing while the lease is not confirmed, because a start needs
// a durable record.
func (o *Owner) plan() {
	o.shortage = nil
	if !o.ownership.LeaseValid() || len(o.activeJobs) == 0 || !o.mayPlace() {
		return
	}
	snapshot := o.placementSnapshot()
	o.reportLimitedStarts(snapshot)
	if len(snapshot.Jobs) == 0 || len(snapshot.Workers)+len(snapshot.Quarantined) == 0 {
		o.interference.SetBacklog(0)
		return
	}
	for _, assignment := range placement.Plan(snapshot) {
		o.place(assignment)
	}
	o.noteShortage(snapshot)
	o.interference.SetBacklog(snapshot.Backlog())
	o.reportWaitingTasks(snapshot)
}

const (
	// waitingReportInterval is the interval between two reports of perpetual tasks that wait.
	waitingReportInterval = time.Second
	// minReportedWaitMs is how long a perpetual task waits before it is reported.
	minReportedWaitMs = 2000
)

// reportWaitingTasks logs the perpetual task that has waited for longest, with the reason why no worker takes it, once per
// waitingReportInterval. The snapshot is that of a planning pass that has just ended.
func (o *Owner) reportWaitingTasks(snapshot *placement.Snapshot) {
	now := boottime.Now()
	if now < o.waitingReportedAt+waitingReportInterval {
		return
	}
	waiting := 0
	var longest *jobs.Job
	var longestID jobs.TaskID
	var longestMs int64
	for _, job := range snapshot.Jobs {
		for occIndex := range job.Occurrences {
			for stepIndex := range job.Spec.Steps {
				if !job.Spec.Steps[stepIndex].Perpetual {
					continue
				}
				for taskIndex := range job.Occurrences[occIndex].Steps[stepIndex].Tasks {
					task := &job.Occurrences[occIndex].Steps[stepIndex].Tasks[taskIndex]
					if task.State != jobs.TaskWaiting || task.WaitingSinceMs == 0 || snapshot.BootTimeMs-task.WaitingSinceMs < minReportedWaitMs {
						continue
					}
					waiting++
					if waitMs := snapshot.BootTimeMs - task.WaitingSinceMs; waitMs > longestMs {
						longest, longestMs = job, waitMs
						longestID = jobs.TaskID{Job: job.ID, Occurrence: occIndex, Step: stepIndex, Index: taskIndex}
					}
				}
			}
		}
	}
	if longest == nil {
		return
	}
	o.waitingReportedAt = now
	step, shortage := &longest.Spec.Steps[longestID.Step], snapshot.ShortageOf(longest, longestID.Occurrence, longestID.Step)
	events.TaskWaits.Log(&o.cfg.Log).Str("job", longest.ID).Str("task", longestID.String()).Int("waiting", waiting).
		Int64("waits_ms", longestMs).Int("cpu", step.CPU).Int("mem_mb", step.MemMB).Int("max_per_worker", step.MaxPerWorker).
		Int("workers", shortage.Workers).Int("closed", shortage.Closed).Int("fitting", shortage.Fitting).Int("beside_short", shortage.BesideShort).
		Int("held", shortage.Held).Int("fits", shortage.Fits).Int("full", shortage.Full).
		Int("free_cpu", shortage.FreeCPU).Int("max_free_cpu", shortage.MaxFreeCPU).Int("max_free_mem_mb", shortage.MaxFreeMemMB).Send()
}

// placementSnapshot returns a snapshot of the jobs with waiting tasks and of the workers that may take tasks. The snapshot is
// empty if no task waits.
func (o *Owner) placementSnapshot() *placement.Snapshot {
	var waiting []*jobs.Job
	for _, job := range o.activeJobs {
		if hasWaitingTasks(job) {
			waiting = append(waiting, job)
		}
	}
	if len(waiting) == 0 {
		return &placement.Snapshot{}
	}
	snapshot := o.workerSnapshot()
	snapshot.Jobs = waiting
	for _, job := range snapshot.Jobs {
		o.addAdvice(snapshot, job)
	}
	return snapshot
}

// workerSnapshot returns a snapshot of the workers that may take tasks. The snapshot contains no jobs.
func (o *Owner) workerSnapshot() *placement.Snapshot {
	snapshot := &placement.Snapshot{BootTimeMs: bootTimeMs(), WallMs: wallTimeMs(), Interference: o.interference, DelayCost: o.delayCost(), PackServing: o.cfg.PackServing,
		AdvisedWorkers: map[placement.StepID]map[string]bool{}}
	now := boottime.Now()
	for _, member := range o.members {
		worker := member.worker
		if !member.Agent || !member.isReady() || worker == nil || worker.Draining || worker.Gone || now < member.blockedUntil ||
			o.isSilent(member) {
			continue
		}
		snapshot.Workers = append(snapshot.Workers, o.workerView(snapshot, member, worker))
	}
	o.limitStarts(snapshot)
	slices.SortFunc(snapshot.Workers, func(a, b *placement.Worker) int { return strings.Compare(a.Name, b.Name) })
	return snapshot
}

// addAdvice handles a job whose queue needs advice. For each due step with waiting tasks, it adds the agents whose workers have
// a ticket to the snapshot.
func (o *Owner) addAdvice(snapshot *placement.Snapshot, job *jobs.Job) {
	if job.Queue.AdviceMs == 0 {
		return
	}
	for occIndex := range job.Occurrences {
		if job.Spec.DueMs(occIndex) > snapshot.WallMs {
			continue
		}
		for stepIndex := range job.Spec.Steps {
			if job.Occurrences[occIndex].Steps[stepIndex].WaitingTasks > 0 && job.StepReady(occIndex, stepIndex) {
				snapshot.AdvisedWorkers[placement.StepID{Job: job.ID, Occ: occIndex, Step: stepIndex}] = o.agentsWithTickets(job, occIndex, stepIndex)
			}
		}
	}
}

// workerView returns the planning data of a worker, from whose free resources the placed tasks are already deducted.
func (o *Owner) workerView(snapshot *placement.Snapshot, member *memberView, worker *session.Worker) *placement.Worker {
	view := &placement.Worker{
		Name: member.Name, Lifetime: worker.Lifetime, Service: worker.Service, Zone: worker.Zone,
		Rack: rackOf(worker.Labels), Labels: worker.Labels,
		Capacity: capacityOf(worker), Free: capacityOf(worker), IdleCPU: worker.CPU, BestEffortPaused: member.bestEffortPaused,
		Closed: o.isOutOfService(member),
	}
	bestEffort := o.bestEffortBuffer[:0]
	for _, placed := range o.placedByAgent[member.Name] {
		if placed.step.BestEffort {
			bestEffort = append(bestEffort, placed)
		} else {
			snapshot.Allocate(view, placed.step, placed.job.ID, 1)
		}
	}
	for _, placed := range bestEffort { // last, because they add to the expected utilisation of the serving tasks
		snapshot.Allocate(view, placed.step, placed.job.ID, float64(placed.task.PacePercent)/jobs.FullPacePercent)
	}
	o.bestEffortBuffer = bestEffort
	if at, ok := o.domains.returnedAt[worker.Zone]; ok {
		view.LimitReturning((boottime.Now() - at).Milliseconds())
	}
	return view
}

func hasWaitingTasks(job *jobs.Job) bool {
	for occIndex := range job.Occurrences {
		for stepIndex := range job.Occurrences[occIndex].Steps {
			if job.Occurrences[occIndex].Steps[stepIndex].WaitingTasks > 0 {
				return true
			}
		}
	}
	return false
}

// place applies an assignment. The start command is sent once the record of the assignment is durable.
func (o *Owner) place(assignment placement.Assignment) {
	start := assignment.Place
	id := jobs.TaskID{Job: assignment.Job.ID, Occurrence: start.Occ, Step: start.Step, Index: start.Index}
	if assignment.Job.Spec.Steps[start.Step].Gang {
		start.GangCheckpoint = assignment.Job.Occurrences[start.Occ].Steps[start.Step].GangCheckpoint()
	}
	o.apply(jobs.Change{JobID: assignment.Job.ID, Place: &start})
	task := assignment.Job.Task(id)
	task.PlacedMs, task.LastProgressMs, task.PacePercent = bootTimeMs(), bootTimeMs(), pacePercent(assignment.Pace)
	o.trackPlaced(assignment.Job, id, task)
	isProbe := o.limitedStarts.onProbation[start.Worker]
	if isProbe {
		o.workerHealth.RecordStart(start.Worker, bootTimeMs())
	}
	placed := o.placedByAgent[start.Worker][id.String()]
	placed.measure()
	events.RunPlaced.Log(&o.cfg.Log).Str("job", assignment.Job.ID).Str("task", id.String()).Int("run", start.Run).
		Str("agent", start.Worker).Str("image", assignment.Job.Spec.Steps[start.Step].Image).
		Int64("waited_ms", wallTimeMs()-assignment.Job.AcceptedMs).Int("pace", task.PacePercent).
		Str("kind", placed.step.Kind()).Int("cpu", placed.step.CPU).Int64("est_ms", placed.step.EstimateMs).Bool("probe", isProbe).Send()
	o.pendingEffects = append(o.pendingEffects, func() { o.queueStart(placed, start.Run) })
}

// queueStart queues the start command of a run, unless the run has ended in the meantime or its agent is unknown.
func (o *Owner) queueStart(placed *placedTask, run int) {
	if placed.task.State != jobs.TaskPlaced || placed.task.Run != run ||
		o.placedByAgent[placed.task.Worker][placed.id.String()] != placed {
		return
	}
	member := o.members[placed.task.Worker]
	if member == nil {
		return
	}
	start := startCommand(placed, run)
	start.Ticket, start.Pace = o.ticketFor(placed, member.worker), placed.task.PacePercent
	member.starts = append(member.starts, start)
	member.startTasks = append(member.startTasks, placed)
}

// endUnsentStarts ends the runs whose start commands were not sent and are dropped, so that their tasks can be placed again.
func (o *Owner) endUnsentStarts(member *memberView) {
	startTasks := member.startTasks
	member.starts, member.startTasks = nil, nil
	for _, placed := range startTasks {
		if o.placedByAgent[member.Name][placed.id.String()] == placed && !placed.task.StartMaybeSent {
			o.endRun(placed, jobs.EndLost, "", "the start command could not be sent")
		}
	}
}

// startCommand returns the command to start a run, without ticket and pace.
func startCommand(placed *placedTask, run int) session.Start {
	start := resourcesOf(placed, run)
	start.Payload, start.Checkpoint = placed.job.Spec.Payload, placed.task.Checkpoint
	return start
}

// resourcesOf describes a run that its agent has found on the worker.
func resourcesOf(placed *placedTask, run int) session.Start {
	step := placed.step
	return session.Start{
		Task: placed.id.String(), Run: run, Lifetime: placed.task.Lifetime,
		CPU: step.CPU, MemMB: step.MemMB, GPU: step.GPU, TargetMs: step.TargetMs, BestEffort: step.BestEffort, Label: step.Label,
	}
}
