package placement

import "bamboofork/internal/jobs"

// Bounds of the quarantine of a worker.
const (
	// suspectAfter distinct jobs that fail in a row make a worker suspect; one job may fail by its own fault.
	suspectAfter = 2
	// firstPause and maxPause bound how long a suspect worker gets no work; it doubles with each further failure.
	firstPauseMs = 1000
	maxPauseMs   = 4000
	// probeMs is the time that a start on probation gets to fail; failing workers fail within it.
	probeMs = 700
	// forgetMs without a further failure ends the suspicion: lasting tasks never end well, so a worker that only runs
	// those would stay suspect for good.
	forgetMs = 5000
)

// Health judges workers by how their runs end. It answers workers that fail all that they start: they end tasks faster
// than sound ones and would attract the work of the whole fleet.
type Health struct{ workers map[string]*record }

type record struct {
	row     int // failures of distinct jobs without a success between them
	lastJob string
	pauseMs int64
	untilMs int64
}

// NewHealth returns a Health without evidence.
func NewHealth() *Health { return &Health{workers: map[string]*record{}} }

// Record takes in the end of a run.
func (h *Health) Record(worker, job string, how jobs.Outcome, nowMs int64) {
	switch how {
	case jobs.EndDone:
		delete(h.workers, worker)
	case jobs.EndFailed:
		h.failed(worker, job, nowMs)
	}
}

func (h *Health) failed(worker, job string, nowMs int64) {
	r := h.workers[worker]
	if r == nil {
		r = &record{}
		h.workers[worker] = r
	}
	if r.lastJob != job || r.row == 0 {
		r.row++
		r.lastJob = job
	}
	if r.row >= suspectAfter {
		r.pauseMs = min(max(2*r.pauseMs, firstPauseMs), maxPauseMs)
		r.untilMs = nowMs + r.pauseMs
	}
}

// Suspect puts a worker on probation whose runs stand still.
func (h *Health) Suspect(worker string, nowMs int64) {
	h.workers[worker] = &record{row: suspectAfter, pauseMs: firstPauseMs, untilMs: nowMs + firstPauseMs}
}

// Allowed returns how many tasks may start on the worker now: -1 for no bound, 0 during a pause, and one at a time on
// probation until a run succeeds or nothing has failed for a while.
func (h *Health) Allowed(worker string, nowMs int64) int {
	r := h.workers[worker]
	switch {
	case r == nil || r.row < suspectAfter:
		return -1
	case nowMs > r.untilMs+forgetMs:
		delete(h.workers, worker)
		return -1
	case nowMs < r.untilMs:
		return 0
	}
	return 1
}

// Started notes a start on the worker; on probation the next one waits until this one has had time to fail.
func (h *Health) Started(worker string, nowMs int64) {
	if r := h.workers[worker]; r != nil && r.row >= suspectAfter {
		r.untilMs = max(r.untilMs, nowMs+probeMs)
	}
}
