package placement

import "bamboofork/internal/jobs"

// Bounds of the quarantine of a worker.
const (
	// suspectAfter is the number of distinct jobs that fail in a row before a worker is suspect; a single job may itself be
	// faulty.
	suspectAfter = 2
	// firstPauseMs and maxPauseMs bound the time during which a suspect worker gets no work; each further failure doubles it.
	firstPauseMs = 1000
	maxPauseMs   = 4000
	// probeMs is the minimum time between starts on probation; a faulty worker fails a task within it.
	probeMs = 700
	// forgetMs is the time without a further failure after which a worker is no longer suspect. Perpetual tasks never end
	// with success, so a worker that runs only those could not clear itself otherwise.
	forgetMs = 5000
)

// Health quarantines workers by the outcomes of their runs. A worker that fails every task frees its resources faster than
// healthy ones, and would attract the work of the whole fleet.
type Health struct{ workers map[string]*workerHealth }

type workerHealth struct {
	failedJobs int // distinct jobs that failed since the last success
	lastJob    string
	pauseMs    int64
	untilMs    int64
}

// NewHealth returns a Health that suspects no worker.
func NewHealth() *Health { return &Health{workers: map[string]*workerHealth{}} }

// Record updates the worker's health with the outcome of a run.
func (h *Health) Record(worker, job string, outcome jobs.Outcome, nowMs int64) {
	switch outcome {
	case jobs.EndDone:
		delete(h.workers, worker)
	case jobs.EndFailed:
		h.recordFailure(worker, job, nowMs)
	}
}

func (h *Health) recordFailure(worker, job string, nowMs int64) {
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
		r.pauseMs = min(max(2*r.pauseMs, firstPauseMs), maxPauseMs)
		r.untilMs = nowMs + r.pauseMs
	}
}

// Quarantine pauses a worker whose runs make no progress, and puts it on probation afterwards.
func (h *Health) Quarantine(worker string, nowMs int64) {
	h.workers[worker] = &workerHealth{failedJobs: suspectAfter, pauseMs: firstPauseMs, untilMs: nowMs + firstPauseMs}
}

// MaxStarts returns how many tasks may start on the worker now: -1 for no limit, 0 during a pause, and 1 on probation, which
// lasts until a run succeeds or nothing has failed for forgetMs.
func (h *Health) MaxStarts(worker string, nowMs int64) int {
	r := h.workers[worker]
	switch {
	case r == nil || r.failedJobs < suspectAfter:
		return -1
	case nowMs > r.untilMs+forgetMs:
		delete(h.workers, worker)
		return -1
	case nowMs < r.untilMs:
		return 0
	}
	return 1
}

// Started records a start on the worker; on probation the next start waits until this one has had time to fail.
func (h *Health) Started(worker string, nowMs int64) {
	if r := h.workers[worker]; r != nil && r.failedJobs >= suspectAfter {
		r.untilMs = max(r.untilMs, nowMs+probeMs)
	}
}
