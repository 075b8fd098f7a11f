package placement

import "bamboofork/internal/jobs"

const (
	// stillMs is how long a run may show no progress at all beyond its estimate.
	stillMs = 4000
	// stillEstimates is the same in multiples of the submitter's estimate, which may be off by a factor of two.
	stillEstimates = 3
)

// StandsStill reports whether a run has made no progress for so long that starting it elsewhere is worth the work thrown
// away. It answers workers whose tasks stand still while their reports go on.
func StandsStill(step *jobs.Step, t *jobs.Task, nowMs int64) bool {
	if t.ProgressMs == 0 || (step.Perpetual && t.Percent > 0) {
		return false
	}
	return nowMs-t.ProgressMs > max(stillMs, stillEstimates*step.EstimateMs)
}
