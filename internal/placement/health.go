package placement

import "bamboofork/internal/jobs"

// Bounds of the quarantine of a worker.
const (
	// suspectAfter is the number of distinct jobs that fail in a row before a worker is suspect; a single job may itself be
	// faulty.
	suspectAfter = 2
	// initialQuarantineMs and maxQuarantineMs bound a quarantine, during which a suspect worker gets no work; each further failure
	// doubles it.
	initialQuarantineMs = 1000
	maxQuarantineMs     = 4000
	// probationIntervalMs is the minimum time between starts on probation; a faulty worker fails a task within it.
	probationIntervalMs = 700
	// probationTimeoutMs is the time without a further failure after which a worker is no longer suspect. Perpetual tasks never
	// end with success, so a worker that runs only those would otherwise stay suspect.
	probationTimeoutMs = 5000
)

// HealthTracker quarantines workers by the outcomes of their runs. A worker that fails every task frees its resources
// faster than healthy ones, and would attract the work of the whole fleet.
type HealthTracker struct{ workers map[string]*workerHealth }

type workerHealth struct {
	failedJobs     int // distinct jobs that failed since the last success
	lastJob        string
	quarantineMs   int64 // duration of the last quarantine
	noStartUntilMs int64 // end of the quarantine or, on probation, of the interval since the last start
}

// NewHealth returns a HealthTracker that suspects no worker.
func NewHealth() *HealthTracker { return &HealthTracker{workers: map[string]*workerHealth{}} }

// Record updates the worker's health with the outcome of a run.
func (h *HealthTracker) Record(worker, job string, outcome jobs.Outcome, nowMs int64) {
	switch outcome {
	case jobs.EndDone:
		delete(h.workers, worker)
	case jobs.EndFailed:
		h.recordFailure(worker, job, nowMs)
	}
}

func (h *HealthTracker) recordFailure(worker, job string, nowMs int64) {
	r := h.workers[worker]
	if r == nil {
		r = &workerHealth{}
		h.workers[worker] = r
	}
	if r.lastJob != job || r.failedJobs == 0 {
		r.failedJobs++
		r.lastJob = job
	}
	if r.failedJobs >= suspectAfter {
		r.quarantineMs = min(max(2*r.quarantineMs, initialQuarantineMs), maxQuarantineMs)
		r.noStartUntilMs = nowMs + r.quarantineMs
	}
}

// Quarantine excludes a worker whose runs make no progress from new starts, and puts it on probation afterwards.
func (h *HealthTracker) Quarantine(worker string, nowMs int64) {
	h.workers[worker] = &workerHealth{failedJobs: suspectAfter, quarantineMs: initialQuarantineMs,
		noStartUntilMs: nowMs + initialQuarantineMs}
}

// MaxStarts returns how many tasks may start on the worker now: -1 for no limit, 0 in quarantine, and 1 on probation, which
// lasts until a run succeeds or nothing has failed for probationTimeoutMs.
func (h *HealthTracker) MaxStarts(worker string, nowMs int64) int {
	r := h.workers[worker]
	switch {
	case r == nil || r.failedJobs < suspectAfter:
		return -1
	case nowMs > r.noStartUntilMs+probationTimeoutMs:
		delete(h.workers, worker)
		return -1
	case nowMs < r.noStartUntilMs:
		return 0
	}
	return 1
}

// Started records a start on the worker; on probation the next start waits until this one has had time to fail.
func (h *HealthTracker) Started(worker string, nowMs int64) {
	if r := h.workers[worker]; r != nil && r.failedJobs >= suspectAfter {
		r.noStartUntilMs = max(r.noStartUntilMs, nowMs+probationIntervalMs)
	}
}
