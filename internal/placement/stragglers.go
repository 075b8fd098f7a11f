package placement

import "bamboofork/internal/jobs"

const (
	// stillMs is how long a single run may show no progress at all beyond its estimate.
	stillMs = 4000
	// stillEstimates is the same in multiples of the submitter's estimate, which may be off by a factor of two.
	stillEstimates = 3
	// stalledMs is how long no run of a worker may progress; several looks at the worker fall into it.
	stalledMs = 1200
	// stalledPart is the part of a run's estimate in which its progress, in whole percent, must have changed: a long run
	// changes it rarely.
	stalledPart = 25
	// stalledRuns is the number of runs whose standstill convicts a worker; one run may stand still by its own fault.
	stalledRuns = 2
)

// StandsStill reports whether a run has made no progress for so long that starting it elsewhere is worth the work thrown
// away. It answers single tasks that stand still while their worker goes on.
func StandsStill(step *jobs.Step, t *jobs.Task, nowMs int64) bool {
	if t.ProgressMs == 0 || (step.Perpetual && t.Percent > 0) {
		return false
	}
	return nowMs-t.ProgressMs > max(stillMs, stillEstimates*step.EstimateMs)
}

// Progress is what is known of one run that works to an end.
type Progress struct {
	EstimateMs int64
	StillMs    int64 // since its progress changed, or since it began
}

// Stalled reports whether all of a worker's runs stand still. It answers workers whose tasks hang while their reports go
// on: most jobs have a task there, and each would wait until its own time is over.
func Stalled(runs []Progress) bool {
	if len(runs) < stalledRuns {
		return false
	}
	for _, r := range runs {
		if r.StillMs <= max(stalledMs, r.EstimateMs/stalledPart) {
			return false
		}
	}
	return true
}
