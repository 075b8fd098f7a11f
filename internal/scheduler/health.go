package scheduler

import (
	"sort"
	"time"

	"bamboofork/internal/invariant"
)

// HealthState is the health state of a worker.
type HealthState uint8

// Health states.
const (
	HealthHealthy     HealthState = iota
	HealthQuarantined             // gets no tasks
	HealthProbation               // gets one probe task at a time
)

// HealthConfig configures the quarantine of workers. Zero fields take the defaults.
type HealthConfig struct {
	MinFailedJobs         int           // distinct jobs that must fail on a worker without a success, default 3
	MinFailedWorkers      int           // distinct workers on which a job must fail to be considered at fault, default 3
	MaxRestrictedFraction float64       // maximum fraction of the fleet in quarantine or on probation, default 0.1; at least one worker
	InitialQuarantine     time.Duration // time in quarantine before the first probe, default 30 s; doubles up to MaxQuarantine
	MaxQuarantine         time.Duration // default 30 min
}

func (c HealthConfig) withDefaults() HealthConfig {
	if c.MinFailedJobs == 0 {
		c.MinFailedJobs = 3
	}
	if c.MinFailedWorkers == 0 {
		c.MinFailedWorkers = 3
	}
	if c.MaxRestrictedFraction == 0 {
		c.MaxRestrictedFraction = 0.1
	}
	if c.InitialQuarantine == 0 {
		c.InitialQuarantine = 30 * time.Second
	}
	if c.MaxQuarantine == 0 {
		c.MaxQuarantine = 30 * time.Minute
	}
	return c
}

// probeTimeout is the time after which a probe whose result was not reported is abandoned.
const probeTimeout = 10 * time.Minute

type workerHealth struct {
	state              HealthState
	failedJobs         map[string]bool // jobs that failed on the worker since the last success
	reportedFailing    bool            // the agent reports failures on the worker
	quarantineEnd      time.Time
	quarantineTime     time.Duration // length of the last quarantine
	probeStart         time.Time     // start of the running probe; zero: none
	ignoreReportsUntil time.Time     // failure reports are ignored until then, because they may predate the last success
}

// reportGrace covers the lag of load reports after a success on the worker.
const reportGrace = 30 * time.Second

// HealthTracker attributes task failures to workers or jobs. A worker on which several distinct jobs failed without a success in
// between is quarantined, then probed after a time that doubles with each failed probe, and restored by a success. A job
// that failed on several workers is itself at fault, and its failures no longer count against workers. HealthTracker is guarded
// by Scheduler.mu.
type HealthTracker struct {
	cfg         HealthConfig
	workers     map[string]*workerHealth
	failedOn    map[string]map[string]bool // workers on which a job failed, by job
	jobsAtFault map[string]time.Time       // time since which a job is at fault
	restricted  int                        // workers in quarantine or on probation
	restored    []string                   // workers restored since the last Evaluate
}

// NewHealthTracker returns a HealthTracker without evidence.
func NewHealthTracker(cfg HealthConfig) *HealthTracker {
	return &HealthTracker{cfg: cfg.withDefaults(), workers: map[string]*workerHealth{}, failedOn: map[string]map[string]bool{},
		jobsAtFault: map[string]time.Time{}}
}

// State returns the health state of a worker; unknown workers are HealthHealthy.
func (h *HealthTracker) State(id string) HealthState {
	if len(h.workers) == 0 {
		return HealthHealthy
	}
	if w := h.workers[id]; w != nil {
		return w.state
	}
	return HealthHealthy
}

// Quarantined returns the number of workers in quarantine, without those on probation.
func (h *HealthTracker) Quarantined() int {
	n := 0
	for _, w := range h.workers {
		if w.state == HealthQuarantined {
			n++
		}
	}
	return n
}

// Probing reports whether a probe is running on the worker.
func (h *HealthTracker) Probing(id string) bool {
	w := h.workers[id]
	return w != nil && !w.probeStart.IsZero()
}

func (h *HealthTracker) worker(id string) *workerHealth {
	w := h.workers[id]
	if w == nil {
		w = &workerHealth{failedJobs: map[string]bool{}}
		h.workers[id] = w
	}
	return w
}

// RecordReport records whether the agent reports failures. The agent's evidence covers the tasks of all partitions.
func (h *HealthTracker) RecordReport(id string, failing bool, now time.Time) {
	w := h.workers[id]
	if w == nil && !failing {
		return
	}
	w = h.worker(id)
	w.reportedFailing = failing && !now.Before(w.ignoreReportsUntil)
}

// RecordPlacement records that a task was placed; on a worker on probation it is the probe.
func (h *HealthTracker) RecordPlacement(id, _ string, now time.Time) {
	if w := h.workers[id]; w != nil && w.state == HealthProbation {
		w.probeStart = now
	}
}

// RecordResult records the result of a task on a worker.
func (h *HealthTracker) RecordResult(id, job string, failed bool, now time.Time) {
	if id == "" {
		return // the worker is unknown
	}
	if !failed {
		h.recordSuccess(id, job, now)
		return
	}
	h.recordJobFailure(id, job, now)
	if _, atFault := h.jobsAtFault[job]; atFault {
		if w := h.workers[id]; w != nil {
			w.probeStart = time.Time{}
		}
		return
	}
	w := h.worker(id)
	w.failedJobs[job] = true
	w.probeStart = time.Time{}
	if w.state == HealthProbation {
		w.state = HealthQuarantined
		w.quarantineTime = min(2*w.quarantineTime, h.cfg.MaxQuarantine)
		w.quarantineEnd = now.Add(w.quarantineTime)
	}
}

func (h *HealthTracker) recordSuccess(id, job string, now time.Time) {
	h.RemoveJob(job)
	w := h.workers[id]
	if w == nil {
		return
	}
	if w.state != HealthHealthy {
		h.restricted--
		h.restored = append(h.restored, id)
	}
	h.workers[id] = &workerHealth{failedJobs: map[string]bool{}, ignoreReportsUntil: now.Add(reportGrace)}
}

// maxJobsTracked bounds the number of jobs in HealthTracker.failedOn.
const maxJobsTracked = 4096

func (h *HealthTracker) recordJobFailure(id, job string, now time.Time) {
	workers := h.failedOn[job]
	if workers == nil {
		h.evictJobIfFull()
		workers = map[string]bool{}
		h.failedOn[job] = workers
	}
	workers[id] = true
	if _, known := h.jobsAtFault[job]; known || len(workers) < h.cfg.MinFailedWorkers {
		return
	}
	h.jobsAtFault[job] = now
	for other := range workers { // the earlier failures of the job do not count against the workers
		if w := h.workers[other]; w != nil {
			delete(w.failedJobs, job)
		}
	}
}

// evictJobIfFull removes an arbitrary job if maxJobsTracked is reached.
func (h *HealthTracker) evictJobIfFull() {
	if len(h.failedOn) < maxJobsTracked {
		return
	}
	for job := range h.failedOn {
		h.RemoveJob(job)
		return
	}
}

// JobAtFault reports whether a job failed on at least HealthConfig.MinFailedWorkers workers without a success.
func (h *HealthTracker) JobAtFault(job string) bool {
	_, ok := h.jobsAtFault[job]
	return ok
}

// RemoveJob removes the failures of a job.
func (h *HealthTracker) RemoveJob(job string) {
	delete(h.failedOn, job)
	delete(h.jobsAtFault, job)
}

// RemoveWorker removes a worker that left the fleet.
func (h *HealthTracker) RemoveWorker(id string) {
	if w := h.workers[id]; w != nil {
		if w.state != HealthHealthy {
			h.restricted--
		}
		delete(h.workers, id)
	}
}

// Evaluate quarantines workers on the recorded evidence and starts probations that are due. It returns the workers whose state changed.
func (h *HealthTracker) Evaluate(fleetSize int, now time.Time) []string {
	changed := append(h.startProbation(now), h.restored...)
	h.restored = nil
	allowed := max(1, int(h.cfg.MaxRestrictedFraction*float64(fleetSize)))
	for _, id := range h.quarantineCandidates() {
		if h.restricted >= allowed {
			break
		}
		w := h.workers[id]
		w.state, w.quarantineTime = HealthQuarantined, h.cfg.InitialQuarantine
		w.quarantineEnd = now.Add(w.quarantineTime)
		h.restricted++
		changed = append(changed, id)
	}
	invariant.Check(h.restricted >= 0 && h.restricted <= max(allowed, len(h.workers)), "quarantine_count",
		"%d workers in quarantine or on probation, %d allowed", h.restricted, allowed)
	return changed
}

func (h *HealthTracker) startProbation(now time.Time) []string {
	changed := []string{}
	for id, w := range h.workers {
		if w.state == HealthQuarantined && !now.Before(w.quarantineEnd) {
			w.state = HealthProbation
			changed = append(changed, id)
		}
		if !w.probeStart.IsZero() && now.Sub(w.probeStart) > probeTimeout {
			w.probeStart = time.Time{}
		}
	}
	return changed
}

// quarantineCandidates returns the workers with enough evidence for quarantine, those with the most failed jobs first.
func (h *HealthTracker) quarantineCandidates() []string {
	ids := []string{}
	for id, w := range h.workers {
		if w.state == HealthHealthy && (w.reportedFailing || len(w.failedJobs) >= h.cfg.MinFailedJobs) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := h.workers[ids[i]], h.workers[ids[j]]
		if len(a.failedJobs) != len(b.failedJobs) {
			return len(a.failedJobs) > len(b.failedJobs)
		}
		return ids[i] < ids[j]
	})
	return ids
}
