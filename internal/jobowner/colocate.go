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
	// minMoveIntervalMs is the minimum time between two moves of best-effort runs away from one worker. The latencies of the
	// serving runs reflect a move only after their averaging window of 500 ms and the reporting delay.
	minMoveIntervalMs = 1000
	// minSlowedDurationMs is how long a best-effort run must be slowed before it is moved. Shorter changes of the serving load
	// do not justify a restart.
	minSlowedDurationMs = 800
	// slowPacePercent is the pace below which a best-effort run counts as slowed and may be moved.
	slowPacePercent = 40
	// maxMoveProgressPercent is the progress above which a run without checkpoints is not moved. Completing such a run
	// interferes with the serving runs for less time than starting the run again on another worker.
	maxMoveProgressPercent = 50
	// paceStepPercent is the granularity of paces, in percent of full speed. It is also the smallest change of a pace that is
	// sent to an agent.
	paceStepPercent = 10
	// minExtrapolationPacePercent is the minimum pace at which the CPU use of a run at full speed is extrapolated from its
	// measured CPU use.
	minExtrapolationPacePercent = 30
)

// pacePercent converts a share of full speed (0 to 1) to percent, rounded down to a multiple of paceStepPercent.
func pacePercent(share float64) int {
	return int(share*jobs.FullPacePercent/paceStepPercent+0.01) * paceStepPercent
}

// updateColocation processes the list of runs in a report. It passes the samples of a new worker poll to the interference
// model, and sends the agent new paces for the best-effort runs. It stops a best-effort run that has been slowed for too long,
// so that the run is placed on another worker.
func (o *Owner) updateColocation(member *memberView, msg *session.FromMember) {
	if member.worker == nil {
		return
	}
	tasks := o.placedByAgent[member.Name]
	if msg.PollSeq > member.lastPollSeq {
		member.lastPollSeq = msg.PollSeq
		o.observeInterference(member, tasks, msg.Runs)
	}
	bestEffort := o.bestEffortRuns(member, tasks, msg.Runs)
	if len(bestEffort) == 0 {
		return
	}
	serving := o.servingTasks(tasks)
	paces := o.interference.Paces(serving, bestEffort)
	for i, run := range bestEffort {
		o.setPace(member, tasks[run.Task], paces[i], run.ConfirmedPercent)
	}
	o.moveSlowedRun(member, tasks, bestEffort)
	if len(member.paces) > 0 {
		o.sendCommands(member, false)
	}
}

// observeInterference passes the latencies of the serving runs and the CPU use of the best-effort runs on a worker to the
// interference model.
func (o *Owner) observeInterference(member *memberView, tasks map[string]*placedTask, runs []session.Run) {
	var serving []placement.ServingSample
	var bestEffort []placement.BestEffortSample
	for i := range runs {
		run := &runs[i]
		placed := tasks[run.Task]
		switch {
		case placed == nil || placed.task.Run != run.Run || !run.Started:
		case placed.step.BestEffort:
			bestEffort = append(bestEffort, placement.BestEffortSample{Task: run.Task, Image: placed.step.Image,
				CPUFraction: float64(run.RecentUsage) / float64(max(1, member.worker.CPU))})
		case placed.step.TargetMs > 0 && run.ProgressPercent == 100:
			serving = append(serving, placement.ServingSample{
				Task: run.Task, Group: placed.job.ID, Image: placed.step.Image,
				LatencyMs: float64(run.RecentUsage), TargetMs: float64(placed.step.TargetMs),
			})
		}
	}
	member.colocation = summariseColocation(serving, bestEffort)
	o.interference.Observe(bootTimeMs(), serving, bestEffort)
}

// bestEffortRuns returns the best-effort runs on the worker that are not being stopped, sorted by task ID.
func (o *Owner) bestEffortRuns(member *memberView, tasks map[string]*placedTask, runs []session.Run) []placement.BestEffortRun {
	var list []placement.BestEffortRun
	for i := range runs {
		run := &runs[i]
		placed := tasks[run.Task]
		if placed == nil || placed.task.Run != run.Run || !placed.step.BestEffort || placed.task.Stopping {
			continue
		}
		confirmedPercent := run.PacePercent
		if !run.Started {
			confirmedPercent = placed.task.PacePercent // the start command carries the pace
		}
		cpu := float64(placed.step.CPU)
		if run.RecentUsage > 0 && run.PacePercent >= minExtrapolationPacePercent && run.PacePercent == placed.task.PacePercent {
			cpu = max(cpu, float64(run.RecentUsage)*jobs.FullPacePercent/float64(run.PacePercent))
		}
		list = append(list, placement.BestEffortRun{Task: run.Task, Image: placed.step.Image,
			CPUFraction: cpu / float64(max(1, member.worker.CPU)), ConfirmedPercent: confirmedPercent})
	}
	slices.SortFunc(list, func(a, b placement.BestEffortRun) int { return strings.Compare(a.Task, b.Task) })
	return list
}

// servingTasks returns the serving tasks among the placed tasks of a worker, each with the load that the interference model has
// for the job.
func (o *Owner) servingTasks(tasks map[string]*placedTask) []placement.ServingTask {
	var list []placement.ServingTask
	now := bootTimeMs()
	for _, placed := range tasks {
		if placed.step.TargetMs > 0 {
			list = append(list, placement.ServingTask{Image: placed.step.Image, TargetMs: placed.step.TargetMs,
				Load: o.interference.ForecastLoad(placed.job.ID, now)})
		}
	}
	return list
}

// setPace queues a command with the pace of a run if the pace differs from the pace sent last. It repeats the command if the
// agent has not confirmed the pace, because the command may have been lost with a connection. It does not repeat the command
// while the agent itself slows its best-effort runs.
func (o *Owner) setPace(member *memberView, placed *placedTask, pace placement.Pace, confirmedPercent int) {
	previousPercent, percent := placed.task.PacePercent, pacePercent(pace.Share)
	if percent == previousPercent && (confirmedPercent == percent || member.bestEffortPaused) {
		return
	}
	member.paces = append(member.paces, session.Pace{Task: placed.id.String(), Run: placed.task.Run, Percent: percent})
	if percent == previousPercent {
		return
	}
	placed.addWork(bootTimeMs())
	placed.task.PacePercent = percent
	if percent >= slowPacePercent {
		placed.task.SlowSinceMs = 0
	} else if placed.task.SlowSinceMs == 0 {
		placed.task.SlowSinceMs = bootTimeMs()
	}
	image, load := "", 0.0
	if pace.SlowedFor != nil {
		image, load = pace.SlowedFor.Image, pace.SlowedFor.Load
	}
	events.RunPaced.Log(&o.cfg.Log).Str("job", placed.job.ID).Str("task", placed.id.String()).Int("run", placed.task.Run).
		Str("agent", member.Name).Int("from", previousPercent).Int("to", percent).Str("for_image", image).
		Float64("its_load", load).Int64("look", member.lastPollSeq).Send()
}

// moveSlowedRun stops at most one run that has been slowed for at least minSlowedDurationMs, so that the run is placed again on
// a worker where it runs faster. The members of a gang stay: stopping one of them ends the runs of all.
func (o *Owner) moveSlowedRun(member *memberView, tasks map[string]*placedTask, bestEffort []placement.BestEffortRun) {
	now := bootTimeMs()
	if now < member.lastMoveAtMs+minMoveIntervalMs {
		return
	}
	for _, run := range bestEffort {
		placed := tasks[run.Task]
		if placed.step.Gang || placed.task.SlowSinceMs == 0 || now < placed.task.SlowSinceMs+minSlowedDurationMs ||
			!(placed.step.Checkpointing || placed.task.ProgressPercent <= maxMoveProgressPercent) {
			continue
		}
		o.stopRun(member.Name, placed, "slowed for serving runs")
		member.lastMoveAtMs = now
		return
	}
}
