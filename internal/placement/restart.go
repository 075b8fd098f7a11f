package placement

import "bamboofork/internal/jobs"

const (
	// soundRunMs is the time after which the run of a perpetual task counts as sound: a worker or a task that fails every run fails it earlier.
	soundRunMs = 5000
	// initialRestartDelayMs and maxRestartDelayMs bound the delay before a perpetual task starts again whose runs fail one after the other.
	// Each further failure doubles the delay. The maximum is well below the 6 s for which the operators let such a task stay away.
	initialRestartDelayMs = 100
	maxRestartDelayMs     = 2000
)

// IsSoundRun reports whether a run of a perpetual task that was placed at placedMs counts as sound.
func IsSoundRun(placedMs, nowMs int64) bool { return nowMs-placedMs >= soundRunMs }

// DelayRestart sets the time of the next start of a perpetual task, a run of which has failed. The first restart is not delayed. The times
// are those of the owner's boot clock.
func DelayRestart(task *jobs.Task, nowMs int64) {
	if IsSoundRun(task.PlacedMs, nowMs) {
		task.EarlyFailures = 0
	}
	task.EarlyFailures++
	delayMs := int64(0)
	if task.EarlyFailures > 1 {
		delayMs = initialRestartDelayMs << min(task.EarlyFailures-2, 16)
	}
	task.NoStartUntilMs = nowMs + min(delayMs, maxRestartDelayMs)
}

// mayStart reports whether a task waits and its restart is not delayed.
func mayStart(task *jobs.Task, nowMs int64) bool {
	return task.State == jobs.TaskWaiting && nowMs >= task.NoStartUntilMs
}
