package jobowner

import (
	"slices"
	"strings"

	"bamboofork/internal/events"
	"bamboofork/internal/jobs"
	"bamboofork/internal/placement"
	"bamboofork/internal/session"
)

const (
	// minMoveIntervalMs is the minimum time between two moves on a worker. A move shows in the latencies only after their
	// averaging window of 500 ms and the reporting delay.
	minMoveIntervalMs = 1000
	// minSlowedMs is how long a run must be slowed before it is moved; shorter load swings do not justify a restart.
	minSlowedMs = 800
	// slowPacePercent is the pace below which a run may be moved.
	slowPacePercent = 40
	// maxMoveProgressPercent is the progress above which a run without checkpoints is not moved: completing it interferes
	// for less time than starting it over elsewhere.
	maxMoveProgressPercent = 50
	// paceStep is the granularity of paces and the smallest change that is sent, in percent.
	paceStep = 10
	// minExtrapolationPacePercent is the pace from which a run's CPU use at full speed can be extrapolated from its measured use.
	minExtrapolationPacePercent = 30
)

// pacePercent converts a share of full speed to percent, rounded down to a multiple of paceStep.
func pacePercent(share float64) int { return int(share*jobs.FullPace/paceStep+0.01) * paceStep }

// updateColocation feeds a report of a worker's runs to the interference model, sets the paces of the best-effort runs next to
// its serving runs, and moves a best-effort run that has been slowed for too long.
func (o *Owner) updateColocation(m *member, msg *session.FromMember) {
	if m.worker == nil {
		return
	}
	tasks := o.placed[m.Name]
	if msg.PollSeq > m.lastPoll {
		m.lastPoll = msg.PollSeq
		o.observeInterference(m, tasks, msg.Runs)
	}
	bestEffort := o.bestEffortRuns(m, tasks, msg.Runs)
	if len(bestEffort) == 0 {
		return
	}
	serving := o.servingTasks(tasks)
	paces := o.interference.Paces(serving, bestEffort)
	for i, r := range bestEffort {
		o.setPace(m, tasks[r.Task], paces[i], r.ConfirmedPercent)
	}
	o.moveSlowedRun(m, tasks, bestEffort)
	if len(m.paces) > 0 {
		o.sendCommands(m, false)
	}
}

func (o *Owner) observeInterference(m *member, tasks map[string]*placedTask, runs []session.Run) {
	var serving []placement.ServingSample
	var bestEffort []placement.BestEffortSample
	for i := range runs {
		r := &runs[i]
		p := tasks[r.Task]
		switch {
		case p == nil || p.task.Run != r.Run || !r.Started:
		case p.step.BestEffort:
			bestEffort = append(bestEffort, placement.BestEffortSample{Task: r.Task, Image: p.step.Image,
				CPUFraction: float64(r.RecentUsage) / float64(max(1, m.worker.CPU))})
		case p.step.TargetMs > 0 && r.Percent == 100:
			serving = append(serving, placement.ServingSample{
				Task: r.Task, Group: p.job.ID, Image: p.step.Image, LatencyMs: float64(r.RecentUsage), TargetMs: float64(p.step.TargetMs),
			})
		}
	}
	o.interference.Observe(bootTimeMs(), serving, bestEffort)
}

// bestEffortRuns returns the worker's best-effort runs, sorted by task ID.
func (o *Owner) bestEffortRuns(m *member, tasks map[string]*placedTask, runs []session.Run) []placement.BestEffortRun {
	var list []placement.BestEffortRun
	for i := range runs {
		r := &runs[i]
		p := tasks[r.Task]
		if p == nil || p.task.Run != r.Run || !p.step.BestEffort || p.task.Stopping {
			continue
		}
		confirmedPercent := r.Pace
		if !r.Started {
			confirmedPercent = p.task.Pace // the start command carries the pace
		}
		cpu := float64(p.step.CPU)
		if r.RecentUsage > 0 && r.Pace >= minExtrapolationPacePercent && r.Pace == p.task.Pace {
			cpu = max(cpu, float64(r.RecentUsage)*jobs.FullPace/float64(r.Pace))
		}
		list = append(list, placement.BestEffortRun{Task: r.Task, Image: p.step.Image,
			CPUFraction: cpu / float64(max(1, m.worker.CPU)), ConfirmedPercent: confirmedPercent})
	}
	slices.SortFunc(list, func(a, b placement.BestEffortRun) int { return strings.Compare(a.Task, b.Task) })
	return list
}

func (o *Owner) servingTasks(tasks map[string]*placedTask) []placement.ServingTask {
	var list []placement.ServingTask
	now := bootTimeMs()
	for _, p := range tasks {
		if p.step.TargetMs > 0 {
			list = append(list, placement.ServingTask{Image: p.step.Image, TargetMs: p.step.TargetMs, Load: o.interference.Load(p.job.ID, now)})
		}
	}
	return list
}

// setPace queues a command with the pace of a run if the pace differs from the last one sent, or if the agent has not confirmed
// that one: the command may have been lost with a connection.
func (o *Owner) setPace(m *member, p *placedTask, pace placement.Pace, confirmedPercent int) {
	previous, percent := p.task.Pace, pacePercent(pace.Share)
	if percent == previous && (confirmedPercent == percent || m.bestEffortPaused) {
		return
	}
	m.paces = append(m.paces, session.Pace{Task: p.id.String(), Run: p.task.Run, Percent: percent})
	if percent == previous {
		return
	}
	p.task.Pace = percent
	if percent >= slowPacePercent {
		p.task.SlowSinceMs = 0
	} else if p.task.SlowSinceMs == 0 {
		p.task.SlowSinceMs = bootTimeMs()
	}
	image, load := "", 0.0
	if pace.SlowedFor != nil {
		image, load = pace.SlowedFor.Image, pace.SlowedFor.Load
	}
	events.RunPaced.Log(&o.cfg.Log).Str("job", p.job.ID).Str("task", p.id.String()).Int("run", p.task.Run).Str("agent", m.Name).
		Int("from", previous).Int("to", percent).Str("for_image", image).Float64("its_load", load).Int64("look", m.lastPoll).Send()
}

// moveSlowedRun stops one run that has been slowed for at least minSlowedMs, so that it is placed again on a worker where it
// runs faster.
func (o *Owner) moveSlowedRun(m *member, tasks map[string]*placedTask, bestEffort []placement.BestEffortRun) {
	now := bootTimeMs()
	if now < m.lastMoveMs+minMoveIntervalMs {
		return
	}
	for _, r := range bestEffort {
		p := tasks[r.Task]
		if p.task.SlowSinceMs == 0 || now < p.task.SlowSinceMs+minSlowedMs || !(p.step.Checkpointing || p.task.Percent <= maxMoveProgressPercent) {
			continue
		}
		o.stopRun(m.Name, p, "slowed for serving runs")
		m.lastMoveMs = now
		return
	}
}
