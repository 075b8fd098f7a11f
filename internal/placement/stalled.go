package placement

import "bamboofork/internal/jobs"

const (
	// minStuckMs is the shortest time without progress after which a single run counts as stuck.
	minStuckMs = 4000
	// stuckEstimates is the same in multiples of the submitter's estimate, which may be off by a factor of two.
	stuckEstimates = 3
	// stalledMs is how long a worker's runs may make no progress; it spans several samples of the worker.
	stalledMs = 1200
	// stalledDivisor divides a run's estimate into the time within which its progress must change. Progress is in whole
	// percent, so that of a long run changes rarely.
	stalledDivisor = 25
	// minStalledRuns is the number of runs needed to judge a worker; a single run may itself be faulty.
	minStalledRuns = 2
)

// RunStuck reports whether a run has made no progress for so long that restarting it elsewhere is worth the lost work. It
// detects single stuck tasks on a worker that works otherwise.
func RunStuck(step *jobs.Step, t *jobs.Task, nowMs int64) bool {
	if t.LastProgressMs == 0 || (step.Perpetual && t.Percent > 0) {
		return false
	}
	return nowMs-t.LastProgressMs > max(minStuckMs, stuckEstimates*step.EstimateMs)
}

// Progress is the progress of one run that is not perpetual.
type Progress struct {
	EstimateMs int64
	StalledMs  int64 // since its progress last changed, or since its start
}

// WorkerStalled reports whether none of a worker's runs makes progress. It detects a worker whose tasks hang while it still sends
// reports. Without it, each task on the worker would be restarted only after its own timeout; that would delay most
// jobs, because most have a task there.
func WorkerStalled(runs []Progress) bool {
	if len(runs) < minStalledRuns {
		return false
	}
	for _, r := range runs {
		if r.StalledMs <= max(stalledMs, r.EstimateMs/stalledDivisor) {
			return false
		}
	}
	return true
}
