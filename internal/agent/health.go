package agent

import (
	"time"

	"bamboofork/internal/ledger"
)

// Judgement about a worker.
const (
	endsRemembered = 6                // newest ends that decide whether the worker fails everything
	jobsForFault   = 2                // different jobs among them; the failures of one job may be its own fault
	probeAfter     = 30 * time.Second // a failing worker gets one task again after this time
	probeMax       = 10 * time.Minute // longest time between probes; it doubles with each failed one
)

// taskEnd is one end of a task on the worker.
type taskEnd struct {
	job    string
	failed bool
}

// workerHealth keeps the newest ends. The zero value is a worker that is not known to fail. It is not safe for
// concurrent use.
type workerHealth struct {
	ends  []taskEnd
	since time.Time     // when the worker was last found failing; zero while it is not
	wait  time.Duration // until the next probe, from since
}

// note records the end of a task. A success ends the suspicion.
func (h *workerHealth) note(task string, failed bool, now time.Time) {
	job, _, err := ledger.SplitTask(task)
	if err != nil {
		return
	}
	if !failed {
		*h = workerHealth{}
	}
	h.ends = append(h.ends, taskEnd{job: job, failed: failed})
	if len(h.ends) > endsRemembered {
		h.ends = h.ends[1:]
	}
	if failed && h.allFailed() && h.since.IsZero() {
		h.since = now
		h.wait = min(max(probeAfter, 2*h.wait), probeMax)
	}
}

// failing reports whether the worker gets no tasks now. When its wait is over, one failure less is remembered: the
// next task probes the worker, and its failure is enough to set it aside again.
func (h *workerHealth) failing(now time.Time) bool {
	if h.since.IsZero() {
		return false
	}
	if now.Sub(h.since) < h.wait {
		return true
	}
	h.since = time.Time{}
	h.ends = h.ends[1:]
	return false
}

func (h *workerHealth) allFailed() bool {
	jobs := map[string]bool{}
	for _, e := range h.ends {
		if !e.failed {
			return false
		}
		jobs[e.job] = true
	}
	return len(h.ends) == endsRemembered && len(jobs) >= jobsForFault
}
