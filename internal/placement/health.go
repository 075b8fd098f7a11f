package placement

import "bamboofork/internal/jobs"

// Bounds of the quarantine of a worker.
const (
	// suspectAfterJobs is the number of distinct jobs with a failed run, without a success in between, from which a worker is
	// suspect. A single job may itself be faulty.
	suspectAfterJobs = 2
	// initialQuarantineMs and maxQuarantineMs bound the duration of a quarantine, in which a suspect worker gets no tasks. Each
	// further failure doubles the duration.
	initialQuarantineMs = 1000
	maxQuarantineMs     = 4000
	// probationIntervalMs is the minimum time between two starts on a worker on probation. A faulty worker fails a task within this
	// time.
	probationIntervalMs = 700
	// probationTimeoutMs is the time without a further failure after which a worker is no longer suspect. Without this time-out, a
	// worker that runs only perpetual tasks would stay suspect, because perpetual tasks never end with success.
	probationTimeoutMs = 5000
)

// HealthTracker quarantines workers by the outcomes of their runs. Without a quarantine, a worker that fails every task would
// attract the work of the whole fleet, because its resources become free sooner than those of healthy workers.
type HealthTracker struct{ workers map[string]*workerHealth }

type workerHealth struct {
	failedJobCount int // number of distinct jobs with a failed run since the last success
	lastFailedJob  string
	quarantineMs   int64 // duration of the last quarantine
	noStartUntilMs int64 // end of the quarantine or, on probation, of the interval since the last start
}

// NewHealthTracker returns a HealthTracker that suspects no worker.
func NewHealthTracker() *HealthTracker { return &HealthTracker{workers: map[string]*workerHealth{}} }

// Record updates the health of the worker with the outcome of a run. A success ends the suspicion; a failure may start or prolong a
// quarantine. All other outcomes have no effect.
func (h *HealthTracker) Record(worker, job string, outcome jobs.Outcome, nowMs int64) {
	switch outcome {
	case jobs.EndDone:
		delete(h.workers, worker)
	case jobs.EndFailed:
		h.recordFailure(worker, job, nowMs)
	}
}

func (h *HealthTracker) recordFailure(worker, job string, nowMs int64) {
	health := h.workers[worker]
	if health == nil {
		health = &workerHealth{}
		h.workers[worker] = health
	}
	if health.lastFailedJob != job || health.failedJobCount == 0 {
		health.failedJobCount++
		health.lastFailedJob = job
	}
	if health.failedJobCount >= suspectAfterJobs {
		health.quarantineMs = min(max(2*health.quarantineMs, initialQuarantineMs), maxQuarantineMs)
		health.noStartUntilMs = nowMs + health.quarantineMs
	}
}

// Quarantine starts a quarantine of a worker whose runs make no progress. The worker is on probation afterwards.
func (h *HealthTracker) Quarantine(worker string, nowMs int64) {
	h.workers[worker] = &workerHealth{failedJobCount: suspectAfterJobs, quarantineMs: initialQuarantineMs,
		noStartUntilMs: nowMs + initialQuarantineMs}
}

// MaxStarts returns how many tasks may start on the worker now: -1 for no limit, 0 in quarantine, and 1 on probation. A probation
// ends when a run succeeds, or when no run has failed for probationTimeoutMs.
func (h *HealthTracker) MaxStarts(worker string, nowMs int64) int {
	health := h.workers[worker]
	switch {
	case health == nil || health.failedJobCount < suspectAfterJobs:
		return -1
	case nowMs > health.noStartUntilMs+probationTimeoutMs:
		delete(h.workers, worker)
		return -1
	case nowMs < health.noStartUntilMs:
		return 0
	}
	return 1
}

// RecordStart records the start of a task on the worker. On probation, the next task may start only probationIntervalMs later, when this
// one has had time to fail.
func (h *HealthTracker) RecordStart(worker string, nowMs int64) {
	if health := h.workers[worker]; health != nil && health.failedJobCount >= suspectAfterJobs {
		health.noStartUntilMs = max(health.noStartUntilMs, nowMs+probationIntervalMs)
	}
}
