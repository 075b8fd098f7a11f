package jobowner

import (
	"slices"
	"strings"
	"time"

	"bamboofork/internal/boottime"
	"bamboofork/internal/events"
	"bamboofork/internal/jobs"
	"bamboofork/internal/placement"
	"bamboofork/internal/session"
)

// takeoverMargin is added to the hold of workers that have sent this owner nothing: the previous owner may still have
// confirmed their reports after this term began.
const takeoverMargin = 2500 * time.Millisecond

// holdMargin allows for delayed timers and messages.
const holdMargin = 300 * time.Millisecond

// checkTimeouts ends the runs of workers whose hold has expired, deletes jobs past their retention and stops runs that make
// no progress.
func (o *Owner) checkTimeouts() {
	for name, tasks := range o.placed {
		if len(tasks) > 0 {
			o.endRunsOfLostWorker(name, tasks)
		}
	}
	wall := wallMs()
	for id, j := range o.state.Jobs {
		if j.Ended() && j.Durable && wall-j.EndedMs > o.cfg.Retention.Milliseconds() && !o.hasPlacedTasks(j) {
			o.apply(jobs.Change{JobID: id, Delete: &struct{}{}})
		}
	}
	o.updateIdleTimes()
	for name, tasks := range o.placed {
		if m := o.members[name]; m != nil && m.live() && !m.bestEffortPaused {
			o.stopStalledRuns(m, tasks)
		}
		for _, p := range tasks {
			if m := o.members[name]; m != nil && m.live() && !p.task.Stopping && placement.RunStuck(p.step, p.task, bootTimeMs()) {
				o.health.Record(name, p.job.ID, jobs.EndFailed, bootTimeMs())
				o.stopRun(name, p, "no progress")
			}
		}
	}
}

// stopStalledRuns stops the runs of a worker on which no run progresses, so that they are placed elsewhere. Runs that would
// lose much work stay.
func (o *Owner) stopStalledRuns(m *member, tasks map[string]*placedTask) {
	now := bootTimeMs()
	var runs []placement.Progress
	for _, p := range tasks {
		if !p.step.Perpetual && p.task.RunStarted && !p.task.Stopping {
			runs = append(runs, placement.Progress{EstimateMs: p.step.EstimateMs, StalledMs: now - p.task.LastProgressMs})
		}
	}
	if !placement.WorkerStalled(runs) {
		return
	}
	o.health.Quarantine(m.Name, now)
	for _, p := range tasks {
		if !p.step.Perpetual && !p.task.Stopping && (p.step.Checkpointing || p.task.Percent <= maxStalledProgressPercent) {
			o.stopRun(m.Name, p, "nothing progresses on the worker")
		}
	}
}

// maxStalledProgressPercent is the progress above which a run without checkpoints stays on its stalled worker.
const maxStalledProgressPercent = 60

// updateIdleTimes records for each active job the time since which it has no placed task.
func (o *Owner) updateIdleTimes() {
	busy := map[*jobs.Job]bool{}
	for _, tasks := range o.placed {
		for _, p := range tasks {
			busy[p.job] = true
		}
	}
	for _, j := range o.active {
		switch {
		case busy[j]:
			j.IdleSinceMs = 0
		case j.IdleSinceMs == 0:
			j.IdleSinceMs = bootTimeMs()
		}
		updateWaitingTimes(j)
	}
}

// updateWaitingTimes records the time since which the waiting perpetual tasks of a job wait.
func updateWaitingTimes(j *jobs.Job) {
	for k := range j.Occ {
		for i := range j.Spec.Steps {
			if !j.Spec.Steps[i].Perpetual || j.Occ[k].Steps[i].Waiting == 0 {
				continue
			}
			for t := range j.Occ[k].Steps[i].Tasks {
				if task := &j.Occ[k].Steps[i].Tasks[t]; task.State == jobs.TaskWaiting && task.WaitingSinceMs == 0 {
					task.WaitingSinceMs = bootTimeMs()
				}
			}
		}
	}
}

func (o *Owner) hasPlacedTasks(j *jobs.Job) bool {
	for _, tasks := range o.placed {
		for _, p := range tasks {
			if p.job == j {
				return true
			}
		}
	}
	return false
}

// endRunsOfLostWorker ends the runs of an unreachable worker as lost once its hold must have expired by the worker's own
// clock, so that their tasks can be placed again.
func (o *Owner) endRunsOfLostWorker(name string, tasks map[string]*placedTask) {
	m := o.members[name]
	lastMessageAt := o.startedAt + takeoverMargin
	if m != nil {
		if m.conn != nil {
			return
		}
		if m.lastMessageAt > o.startedAt {
			lastMessageAt = m.lastMessageAt
		}
	}
	holdTimeout := o.cfg.MaxHold + time.Duration(float64(o.cfg.MaxHold)*session.WorkerClockDrift) + holdMargin
	if boottime.Now() < lastMessageAt+holdTimeout {
		return
	}
	for _, p := range tasks {
		o.endRun(p, jobs.EndLost, "", "the worker is unreachable and its hold has expired")
	}
}

// plan places the waiting tasks that fit on a worker. It does nothing while the lease is not confirmed, because a start needs
// a durable record anyway.
func (o *Owner) plan() {
	if !o.ownership.LeaseValid() || len(o.active) == 0 {
		return
	}
	snap := o.placementSnapshot()
	if len(snap.Jobs) == 0 || len(snap.Workers) == 0 {
		o.interference.SetBacklog(0)
		return
	}
	for _, a := range placement.Plan(snap) {
		o.place(a)
	}
	o.interference.SetBacklog(snap.Backlog())
}

func (o *Owner) placementSnapshot() *placement.Snapshot {
	var waiting []*jobs.Job
	for _, j := range o.active {
		if hasWaiting(j) {
			waiting = append(waiting, j)
		}
	}
	if len(waiting) == 0 {
		return &placement.Snapshot{}
	}
	s := o.workerSnapshot()
	s.Jobs = waiting
	for _, j := range s.Jobs {
		o.addAdvice(s, j)
	}
	return s
}

// workerSnapshot returns a snapshot of the workers that may take tasks, without jobs.
func (o *Owner) workerSnapshot() *placement.Snapshot {
	s := &placement.Snapshot{BootTimeMs: bootTimeMs(), WallMs: wallMs(), Interference: o.interference,
		Advised: map[placement.StepID]map[string]bool{}}
	now := boottime.Now()
	for _, m := range o.members {
		w := m.worker
		if !m.Agent || !m.live() || w == nil || w.Draining || w.Gone || now < m.blockedUntil {
			continue
		}
		maxStarts := o.health.MaxStarts(m.Name, bootTimeMs())
		if maxStarts == 0 {
			continue
		}
		s.Workers = append(s.Workers, o.workerView(s, m, w, maxStarts))
	}
	slices.SortFunc(s.Workers, func(a, b *placement.Worker) int { return strings.Compare(a.Name, b.Name) })
	return s
}

// addAdvice adds to the snapshot which agents' workers may run the waiting steps of a job whose queue needs advice.
func (o *Owner) addAdvice(s *placement.Snapshot, j *jobs.Job) {
	if j.Queue.AdviceMs == 0 {
		return
	}
	for k := range j.Occ {
		if j.Spec.DueMs(k) > s.WallMs {
			continue
		}
		for i := range j.Spec.Steps {
			if j.Occ[k].Steps[i].Waiting > 0 && j.StepReady(k, i) {
				s.Advised[placement.StepID{Job: j.ID, Occ: k, Step: i}] = o.agentsWithTickets(j, k, i)
			}
		}
	}
}

func (o *Owner) workerView(s *placement.Snapshot, m *member, w *session.Worker, maxStarts int) *placement.Worker {
	v := &placement.Worker{
		Name: m.Name, Lifetime: w.Lifetime, Service: w.Service, Zone: w.Zone, Rack: rackOf(w.Labels), Labels: w.Labels,
		Capacity: capacityOf(w), Free: capacityOf(w), Idle: w.CPU, BestEffortPaused: m.bestEffortPaused,
	}
	tasks := o.placed[m.Name]
	for _, p := range tasks { // serving tasks first, because best-effort tasks add to their expected utilisation
		if !p.step.BestEffort {
			s.Allocate(v, p.step, p.job.ID, 1)
		}
	}
	for _, p := range tasks {
		if p.step.BestEffort {
			s.Allocate(v, p.step, p.job.ID, float64(p.task.Pace)/jobs.FullPace)
		}
	}
	v.MaxStarts = maxStarts
	return v
}

func hasWaiting(j *jobs.Job) bool {
	for k := range j.Occ {
		for i := range j.Occ[k].Steps {
			if j.Occ[k].Steps[i].Waiting > 0 {
				return true
			}
		}
	}
	return false
}

// place applies an assignment. The start command is sent once the record is durable.
func (o *Owner) place(a placement.Assignment) {
	p := a.Place
	id := jobs.TaskID{Job: a.Job.ID, Occ: p.Occ, Step: p.Step, Index: p.Index}
	o.apply(jobs.Change{JobID: a.Job.ID, Place: &p})
	t := a.Job.Task(id)
	t.PlacedMs, t.LastProgressMs, t.Pace = bootTimeMs(), bootTimeMs(), pacePercent(a.Pace)
	o.trackPlaced(a.Job, id, t)
	o.health.Started(p.Worker, bootTimeMs())
	placed := o.placed[p.Worker][id.String()]
	events.RunPlaced.Log(&o.cfg.Log).Str("job", a.Job.ID).Str("task", id.String()).Int("run", p.Run).Str("agent", p.Worker).
		Str("image", a.Job.Spec.Steps[p.Step].Image).Int64("waited_ms", wallMs()-a.Job.AcceptedMs).Int("pace", t.Pace).Send()
	o.effects = append(o.effects, func() { o.queueStart(placed, p.Run) })
}

func (o *Owner) queueStart(p *placedTask, run int) {
	if p.task.State != jobs.TaskPlaced || p.task.Run != run || o.placed[p.task.Worker][p.id.String()] != p {
		return
	}
	m := o.members[p.task.Worker]
	if m == nil {
		return
	}
	start := startCommand(p, run)
	start.Ticket, start.Pace = o.ticketFor(p, m.worker), p.task.Pace
	m.starts = append(m.starts, start)
	m.startTasks = append(m.startTasks, p)
}

// endUnsentStarts ends the runs whose start commands were never sent as lost, so that their tasks can be placed again.
func (o *Owner) endUnsentStarts(m *member, startTasks []*placedTask) {
	for _, p := range startTasks {
		if o.placed[m.Name][p.id.String()] == p && !p.task.Sent {
			o.endRun(p, jobs.EndLost, "", "the start command could not be sent")
		}
	}
}

// startCommand returns the command that describes a run to the agent, without ticket and pace.
func startCommand(p *placedTask, run int) session.Start {
	step := p.step
	return session.Start{
		Task: p.id.String(), Run: run, Payload: p.job.Spec.Payload, Checkpoint: p.task.Checkpoint, Lifetime: p.task.Lifetime,
		CPU: step.CPU, MemMB: step.MemMB, GPU: step.GPU, TargetMs: step.TargetMs, BestEffort: step.BestEffort, Label: step.Label,
	}
}
