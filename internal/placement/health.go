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
type HealthTracker struct{ workers map[string]*Suspicion }

// Suspicion is what a HealthTracker remembers about a worker since its last success.
type Suspicion struct {
	FailedJobCount int // number of distinct jobs with a failed run
	LastFailedJob  string
	QuarantineMs   int64 // duration of the last quarantine
	NoStartUntilMs int64 // end of the quarantine or, on probation, of the interval since the last start
}

// NewHealthTracker returns a HealthTracker that suspects no worker.
func NewHealthTracker() *HealthTracker { return &HealthTracker{workers: map[string]*Suspicion{}} }

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
		health = &Suspicion{}
		h.workers[worker] = health
	}
	if health.LastFailedJob != job || health.FailedJobCount == 0 {
		health.FailedJobCount++
		health.LastFailedJob = job
	}
	if health.FailedJobCount >= suspectAfterJobs {
		health.QuarantineMs = min(max(2*health.QuarantineMs, initialQuarantineMs), maxQuarantineMs)
		health.NoStartUntilMs = nowMs + health.QuarantineMs
	}
}

// Quarantine starts a quarantine of a worker whose runs make no progress. The worker is on probation afterwards.
func (h *HealthTracker) Quarantine(worker string, nowMs int64) {
	h.workers[worker] = &Suspicion{FailedJobCount: suspectAfterJobs, QuarantineMs: initialQuarantineMs,
		NoStartUntilMs: nowMs + initialQuarantineMs}
}

// MaxStarts returns how many tasks may start on the worker now: -1 for no limit, 0 in quarantine, and 1 on probation. A probation
// ends when a run succeeds, or when no run has failed for probationTimeoutMs.
func (h *HealthTracker) MaxStarts(worker string, nowMs int64) int {
	health := h.workers[worker]
	switch {
	case health == nil || health.FailedJobCount < suspectAfterJobs:
		return -1
	case nowMs > health.NoStartUntilMs+probationTimeoutMs:
		delete(h.workers, worker)
		return -1
	case nowMs < health.NoStartUntilMs:
		return 0
	}
	return 1
}

// RecordStart records the start of a task on the worker. On probation, the next task may start only probationIntervalMs later, when this
// one has had time to fail.
func (h *HealthTracker) RecordStart(worker string, nowMs int64) {
	if health := h.workers[worker]; health != nil && health.FailedJobCount >= suspectAfterJobs {
		health.NoStartUntilMs = max(health.NoStartUntilMs, nowMs+probationIntervalMs)
	}
}

// Suspicion returns what is remembered about the worker; the zero value: nothing.
func (h *HealthTracker) Suspicion(worker string) Suspicion {
	if health := h.workers[worker]; health != nil {
		return *health
	}
	return Suspicion{}
}

// Restore sets what an earlier HealthTracker remembered about the worker, unless this one has observations of its own.
func (h *HealthTracker) Restore(worker string, s Suspicion) {
	if h.workers[worker] == nil && s != (Suspicion{}) {
		h.workers[worker] = &s
	}
}
