package placement

import (
	"cmp"
	"slices"

	"bamboofork/internal/jobs"
)

// Bounds of the quarantine of a worker.
const (
	// suspectAfterJobs is the number of distinct jobs with a failed run, without a success in between, from which a worker is
	// suspect. A single job may itself be faulty.
	suspectAfterJobs = 2
	// faultyAfterWorkers is the number of distinct workers on which runs of a job have failed, without a sound run of the job in
	// between, from which the job is at fault.
	faultyAfterWorkers = 3
	// maxSuspectJobs bounds the number of failed jobs that are remembered for each worker.
	maxSuspectJobs = 16
	// maxLimitedShare is the share of the open workers of a service that are in quarantine or on probation at the same time. If more of
	// them are suspect, the work is the more likely cause.
	maxLimitedShare = 0.5
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

// HealthTracker attributes failed runs to workers or jobs. It quarantines workers on which runs of several jobs have failed. Without a
// quarantine, a worker that fails every task would attract the work of the whole fleet, because its resources become free sooner than
// those of healthy workers. A job that fails on several workers is itself at fault, and its failures do not count against workers:
// otherwise a few such jobs would quarantine the whole fleet.
type HealthTracker struct {
	workers map[string]*workerHealth
	// failedWorkersByJob holds the workers on which runs of a job have failed since its last sound run. From faultyAfterWorkers on
	// the job is at fault.
	failedWorkersByJob map[string]map[string]bool
}

// workerHealth is what is remembered about a worker since its last success.
type workerHealth struct {
	failedJobs     map[string]bool // jobs that are not at fault and have a failed run
	earlierJobs    int             // number of further such jobs, which an earlier owner has seen
	lastFailedJob  string          // in failedJobs; empty: none
	quarantineMs   int64           // duration of the last quarantine
	noStartUntilMs int64           // end of the quarantine or, on probation, of the interval since the last start
}

// Suspicion is what a HealthTracker remembers about a worker since its last success, for the next owner. The zero value: nothing.
type Suspicion struct {
	FailedJobCount int // number of distinct jobs with a failed run
	LastFailedJob  string
	QuarantineMs   int64 // duration of the last quarantine
	NoStartUntilMs int64 // end of the quarantine or, on probation, of the interval since the last start
}

// NewHealthTracker returns a HealthTracker that suspects no worker and no job.
func NewHealthTracker() *HealthTracker {
	return &HealthTracker{workers: map[string]*workerHealth{}, failedWorkersByJob: map[string]map[string]bool{}}
}

// Record updates the health of the worker and of the job with the outcome of a run. A success ends the suspicion of both; a failure may
// start or prolong a quarantine. All other outcomes have no effect. Record reports whether the job is at fault from this run on.
func (h *HealthTracker) Record(worker, job string, outcome jobs.Outcome, nowMs int64) bool {
	switch outcome {
	case jobs.EndDone:
		delete(h.workers, worker)
		h.ForgetJob(job)
	case jobs.EndFailed:
		return h.recordFailure(worker, job, nowMs)
	}
	return false
}

// ForgetJob forgets the failures of a job that has had a sound run or has ended.
func (h *HealthTracker) ForgetJob(job string) { delete(h.failedWorkersByJob, job) }

func (h *HealthTracker) recordFailure(worker, job string, nowMs int64) bool {
	if h.isFaulty(job) {
		return false
	}
	failedWorkers := h.failedWorkersByJob[job]
	if failedWorkers == nil {
		failedWorkers = map[string]bool{}
		h.failedWorkersByJob[job] = failedWorkers
	}
	failedWorkers[worker] = true
	if h.isFaulty(job) {
		h.withdraw(job, failedWorkers)
		return true
	}
	health := h.workers[worker]
	if health == nil {
		health = &workerHealth{failedJobs: map[string]bool{}}
		h.workers[worker] = health
	}
	if len(health.failedJobs) < maxSuspectJobs {
		health.failedJobs[job], health.lastFailedJob = true, job
	}
	if health.isSuspect() {
		health.startQuarantine(nowMs, min(max(2*health.quarantineMs, initialQuarantineMs), maxQuarantineMs))
	}
	return false
}

// withdraw takes back what the failures of a job have counted against the workers.
func (h *HealthTracker) withdraw(job string, failedWorkers map[string]bool) {
	for worker := range failedWorkers {
		health := h.workers[worker]
		if health == nil {
			continue
		}
		delete(health.failedJobs, job)
		if health.lastFailedJob == job {
			health.lastFailedJob = ""
		}
		if health.failedJobCount() == 0 {
			delete(h.workers, worker)
		} else if !health.isSuspect() {
			health.quarantineMs, health.noStartUntilMs = 0, 0
		}
	}
}

// isFaulty reports whether a job is at fault.
func (h *HealthTracker) isFaulty(job string) bool {
	return len(h.failedWorkersByJob[job]) >= faultyAfterWorkers
}

func (w *workerHealth) failedJobCount() int { return w.earlierJobs + len(w.failedJobs) }

func (w *workerHealth) isSuspect() bool { return w.failedJobCount() >= suspectAfterJobs }

func (w *workerHealth) startQuarantine(nowMs, durationMs int64) {
	w.quarantineMs, w.noStartUntilMs = durationMs, nowMs+durationMs
}

// Quarantine starts a quarantine of a worker whose runs make no progress. The worker is on probation afterwards.
func (h *HealthTracker) Quarantine(worker string, nowMs int64) {
	health := &workerHealth{failedJobs: map[string]bool{}, earlierJobs: suspectAfterJobs}
	health.startQuarantine(nowMs, initialQuarantineMs)
	h.workers[worker] = health
}

// LimitStarts sets the number of tasks that may start now on each of the workers, which are all that could take tasks. At most
// maxLimitedShare of the open workers of a service, or one, are limited: those with the most failed jobs.
func (h *HealthTracker) LimitStarts(workers []*Worker, nowMs int64) {
	openByService := map[string]int{}
	suspectsByService := map[string][]*Worker{}
	for _, w := range workers {
		w.MaxStarts = h.MaxStarts(w.Name, nowMs)
		if w.Closed {
			continue
		}
		openByService[w.Service]++
		if w.MaxStarts >= 0 {
			suspectsByService[w.Service] = append(suspectsByService[w.Service], w)
		}
	}
	for service, suspects := range suspectsByService {
		slices.SortFunc(suspects, func(a, b *Worker) int {
			return cmp.Or(cmp.Compare(h.workers[b.Name].failedJobCount(), h.workers[a.Name].failedJobCount()), cmp.Compare(a.Name, b.Name))
		})
		limit := max(1, int(maxLimitedShare*float64(openByService[service])))
		for i, w := range suspects {
			if i >= limit {
				w.MaxStarts = -1
			} else if w.MaxStarts > 0 {
				health := h.workers[w.Name]
				w.isBarred = func(job string) bool { return health.failedJobs[job] || h.isFaulty(job) }
			}
		}
	}
}

// MaxStarts returns how many tasks may start on the worker now: -1 for no limit, 0 in quarantine, and 1 on probation. A probation
// ends when a run succeeds, or when no run has failed for probationTimeoutMs.
func (h *HealthTracker) MaxStarts(worker string, nowMs int64) int {
	health := h.workers[worker]
	switch {
	case health == nil || !health.isSuspect():
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
	if health := h.workers[worker]; health != nil && health.isSuspect() {
		health.noStartUntilMs = max(health.noStartUntilMs, nowMs+probationIntervalMs)
	}
}

// Suspicion returns what is remembered about the worker; the zero value: nothing.
func (h *HealthTracker) Suspicion(worker string) Suspicion {
	health := h.workers[worker]
	if health == nil {
		return Suspicion{}
	}
	return Suspicion{FailedJobCount: health.failedJobCount(), LastFailedJob: health.lastFailedJob, QuarantineMs: health.quarantineMs,
		NoStartUntilMs: health.noStartUntilMs}
}

// Restore sets what an earlier HealthTracker remembered about the worker, unless this one has observations of its own.
func (h *HealthTracker) Restore(worker string, s Suspicion) {
	if h.workers[worker] != nil || s == (Suspicion{}) {
		return
	}
	health := &workerHealth{failedJobs: map[string]bool{}, earlierJobs: s.FailedJobCount, lastFailedJob: s.LastFailedJob,
		quarantineMs: s.QuarantineMs, noStartUntilMs: s.NoStartUntilMs}
	if s.LastFailedJob != "" {
		health.failedJobs[s.LastFailedJob] = true
		health.earlierJobs = max(0, s.FailedJobCount-1)
	}
	h.workers[worker] = health
}
