package placement

import "bamboofork/internal/jobs"

const (
	// minStuckMs is the shortest time without progress after which a single run counts as stuck.
	minStuckMs = 4000
	// stuckEstimateFactor times the submitter's estimate is the time without progress after which a run with a long estimate counts
	// as stuck. The estimate may be off by a factor of two.
	stuckEstimateFactor = 3
	// minStalledMs is the shortest time without progress after which a run counts as stalled. Several samples of the worker are
	// taken within this time.
	minStalledMs = 1200
	// stalledDivisor is the divisor of a run's estimate that gives the time within which the progress of a long run must change. The
	// progress of a long run changes rarely, because it is reported in whole percent.
	stalledDivisor = 25
	// minStalledRuns is the minimum number of runs on a worker that WorkerStalled judges. A single run may itself be faulty.
	minStalledRuns = 2
)

// RunStuck reports whether a run has made no progress for so long that restarting the task elsewhere is worth the lost work. RunStuck
// detects a single stuck task on a worker whose other tasks make progress.
func RunStuck(step *jobs.Step, task *jobs.Task, nowMs int64) bool {
	if task.LastProgressMs == 0 || (step.Perpetual && task.ProgressPercent > 0) {
		return false
	}
	return nowMs-task.LastProgressMs > max(minStuckMs, stuckEstimateFactor*step.EstimateMs)
}

// Progress is the progress of one run that is not perpetual.
type Progress struct {
	EstimateMs int64
	StalledMs  int64 // time since the last change of the progress, or since the start of the run
	HasBegun   bool  // the run has shown progress since its start
}

// WorkerStalled reports whether none of a worker's runs makes progress. WorkerStalled detects a worker that still sends reports while
// all of its tasks hang. Without this check, each task on the worker would be restarted only when RunStuck reports it. Most jobs
// would be delayed, because most jobs have a task on such a worker.
func WorkerStalled(runs []Progress) bool {
	if len(runs) < minStalledRuns {
		return false
	}
	for i := range runs {
		if runs[i].StalledMs <= runs[i].stallLimitMs() {
			return false
		}
	}
	return true
}

// stallLimitMs returns the time without progress after which the run counts as stalled.
func (p *Progress) stallLimitMs() int64 { return max(minStalledMs, p.EstimateMs/stalledDivisor) }

// JobStalled reports whether no run of one job progresses on any of several workers. The job is then at fault, or slower than its estimate,
// and its runs are no evidence against a worker. runsByWorker holds its runs that are not perpetual, by worker. The runs of a step
// begin at about the same time, and the first of them is judged before the others have stalled. A run therefore counts as progressing only
// if it has shown progress within half of the time after which it would be stalled.
func JobStalled(runsByWorker map[string][]Progress) bool {
	for _, runs := range runsByWorker {
		for i := range runs {
			if runs[i].HasBegun && runs[i].StalledMs <= runs[i].stallLimitMs()/2 {
				return false
			}
		}
	}
	return len(runsByWorker) >= faultyAfterWorkers
}
