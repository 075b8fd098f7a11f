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

// HealthConfig configures the quarantine of workers. A zero field means its default.
type HealthConfig struct {
	MinFailedJobs             int           // distinct jobs that must fail on a worker without a success for quarantine, default 3
	MinFailedWorkers          int           // distinct workers on which a job must fail to be considered at fault, default 3
	MaxRestrictedFraction     float64       // maximum fraction of the fleet in quarantine or on probation, default 0.1; at least one worker
	InitialQuarantineDuration time.Duration // time in quarantine before the first probe, default 30 s; each failed probe doubles the time
	MaxQuarantineDuration     time.Duration // maximum time in quarantine before a probe, default 30 min
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
	if c.InitialQuarantineDuration == 0 {
		c.InitialQuarantineDuration = 30 * time.Second
	}
	if c.MaxQuarantineDuration == 0 {
		c.MaxQuarantineDuration = 30 * time.Minute
	}
	return c
}

// probeTimeout is the time after which a probe whose result was not reported is abandoned.
const probeTimeout = 10 * time.Minute

type workerHealth struct {
	state              HealthState
	failedJobs         map[string]bool // jobs that failed on the worker since the last success
	isReportedFailing  bool            // the agent attributes recent failures to the worker
	quarantineEndsAt   time.Time
	quarantineDuration time.Duration // length of the last quarantine
	probeStartedAt     time.Time     // start of the running probe task; zero: none
	ignoreReportsUntil time.Time     // reports of failures are ignored until this time, because they may predate the last success
}

// reportGracePeriod is the time after a success on a worker in which reports may still be about earlier failures.
const reportGracePeriod = 30 * time.Second

// HealthTracker attributes task failures to workers or jobs. A worker is quarantined if several distinct jobs failed on it
// without a success in between. After a time that doubles with each failed probe, a task probes the worker; a success restores
// the worker. A job that failed on several workers is itself at fault: its failures no longer count against the workers.
// Scheduler.mu guards the HealthTracker.
type HealthTracker struct {
	cfg                HealthConfig
	healthByWorker     map[string]*workerHealth
	failedWorkersByJob map[string]map[string]bool // by job: IDs of the workers on which the job failed
	atFaultSinceByJob  map[string]time.Time       // by job at fault: time since which it is at fault
	restrictedCount    int                        // number of workers in quarantine or on probation
	restoredIDs        []string                   // IDs of the workers restored since the last UpdateStates
}

// NewHealthTracker returns a HealthTracker without recorded failures.
func NewHealthTracker(cfg HealthConfig) *HealthTracker {
	return &HealthTracker{cfg: cfg.withDefaults(), healthByWorker: map[string]*workerHealth{},
		failedWorkersByJob: map[string]map[string]bool{},
		atFaultSinceByJob:  map[string]time.Time{}}
}

// State returns the health state of a worker; unknown workers are HealthHealthy.
func (h *HealthTracker) State(id string) HealthState {
	if len(h.healthByWorker) == 0 {
		return HealthHealthy
	}
	if health := h.healthByWorker[id]; health != nil {
		return health.state
	}
	return HealthHealthy
}

// QuarantinedCount returns the number of workers in quarantine, without those on probation.
func (h *HealthTracker) QuarantinedCount() int {
	count := 0
	for _, health := range h.healthByWorker {
		if health.state == HealthQuarantined {
			count++
		}
	}
	return count
}

// IsProbing reports whether a probe is running on the worker.
func (h *HealthTracker) IsProbing(id string) bool {
	health := h.healthByWorker[id]
	return health != nil && !health.probeStartedAt.IsZero()
}

// healthOf returns the health of a worker and creates it if necessary.
func (h *HealthTracker) healthOf(id string) *workerHealth {
	health := h.healthByWorker[id]
	if health == nil {
		health = &workerHealth{failedJobs: map[string]bool{}}
		h.healthByWorker[id] = health
	}
	return health
}

// RecordReport records whether the agent attributes recent failures to the worker. An agent sees the tasks of all partitions.
func (h *HealthTracker) RecordReport(id string, failing bool, now time.Time) {
	health := h.healthByWorker[id]
	if health == nil && !failing {
		return
	}
	health = h.healthOf(id)
	health.isReportedFailing = failing && !now.Before(health.ignoreReportsUntil)
}

// RecordPlacement records that a task was placed. On a worker on probation, the task is the probe.
func (h *HealthTracker) RecordPlacement(id, _ string, now time.Time) {
	if health := h.healthByWorker[id]; health != nil && health.state == HealthProbation {
		health.probeStartedAt = now
	}
}

// RecordResult records whether a task of the job failed or succeeded on a worker. A failed probe puts the worker back into
// quarantine; a success restores the worker.
func (h *HealthTracker) RecordResult(id, job string, failed bool, now time.Time) {
	if id == "" {
		return // the worker is unknown
	}
	if !failed {
		h.recordSuccess(id, job, now)
		return
	}
	h.recordJobFailure(id, job, now)
	if _, isAtFault := h.atFaultSinceByJob[job]; isAtFault {
		if health := h.healthByWorker[id]; health != nil {
			health.probeStartedAt = time.Time{}
		}
		return
	}
	health := h.healthOf(id)
	health.failedJobs[job] = true
	health.probeStartedAt = time.Time{}
	if health.state == HealthProbation {
		health.state = HealthQuarantined
		health.quarantineDuration = min(2*health.quarantineDuration, h.cfg.MaxQuarantineDuration)
		health.quarantineEndsAt = now.Add(health.quarantineDuration)
	}
}

func (h *HealthTracker) recordSuccess(id, job string, now time.Time) {
	h.RemoveJob(job)
	health := h.healthByWorker[id]
	if health == nil {
		return
	}
	if health.state != HealthHealthy {
		h.restrictedCount--
		h.restoredIDs = append(h.restoredIDs, id)
	}
	h.healthByWorker[id] = &workerHealth{failedJobs: map[string]bool{}, ignoreReportsUntil: now.Add(reportGracePeriod)}
}

// maxJobsTracked bounds the number of jobs in HealthTracker.failedWorkersByJob.
const maxJobsTracked = 4096

func (h *HealthTracker) recordJobFailure(id, job string, now time.Time) {
	failedWorkers := h.failedWorkersByJob[job]
	if failedWorkers == nil {
		h.evictJobIfFull()
		failedWorkers = map[string]bool{}
		h.failedWorkersByJob[job] = failedWorkers
	}
	failedWorkers[id] = true
	if _, isAtFault := h.atFaultSinceByJob[job]; isAtFault || len(failedWorkers) < h.cfg.MinFailedWorkers {
		return
	}
	h.atFaultSinceByJob[job] = now
	for failedID := range failedWorkers { // the earlier failures of the job do not count against the workers
		if health := h.healthByWorker[failedID]; health != nil {
			delete(health.failedJobs, job)
		}
	}
}

// evictJobIfFull removes an arbitrary job if maxJobsTracked is reached.
func (h *HealthTracker) evictJobIfFull() {
	if len(h.failedWorkersByJob) < maxJobsTracked {
		return
	}
	for job := range h.failedWorkersByJob {
		h.RemoveJob(job)
		return
	}
}

// JobAtFault reports whether a job failed on at least HealthConfig.MinFailedWorkers workers without a success.
func (h *HealthTracker) JobAtFault(job string) bool {
	_, ok := h.atFaultSinceByJob[job]
	return ok
}

// RemoveJob removes the recorded failed workers of a job and its fault.
func (h *HealthTracker) RemoveJob(job string) {
	delete(h.failedWorkersByJob, job)
	delete(h.atFaultSinceByJob, job)
}

// RemoveWorker removes the health of a worker that is no longer reported.
func (h *HealthTracker) RemoveWorker(id string) {
	if health := h.healthByWorker[id]; health != nil {
		if health.state != HealthHealthy {
			h.restrictedCount--
		}
		delete(h.healthByWorker, id)
	}
}

// UpdateStates quarantines workers with enough recorded failures, as far as MaxRestrictedFraction allows, and puts workers on
// probation whose time in quarantine has passed. It returns the IDs of these workers, and of the workers that a success restored
// since the last UpdateStates. It does not return workers that a failed probe put back into quarantine.
func (h *HealthTracker) UpdateStates(fleetSize int, now time.Time) []string {
	changedIDs := append(h.startProbation(now), h.restoredIDs...)
	h.restoredIDs = nil
	maxRestricted := max(1, int(h.cfg.MaxRestrictedFraction*float64(fleetSize)))
	for _, id := range h.quarantineCandidates() {
		if h.restrictedCount >= maxRestricted {
			break
		}
		health := h.healthByWorker[id]
		health.state, health.quarantineDuration = HealthQuarantined, h.cfg.InitialQuarantineDuration
		health.quarantineEndsAt = now.Add(health.quarantineDuration)
		h.restrictedCount++
		changedIDs = append(changedIDs, id)
	}
	invariant.Check(h.restrictedCount >= 0 && h.restrictedCount <= max(maxRestricted, len(h.healthByWorker)), "quarantine_count",
		"%d workers in quarantine or on probation, %d allowed", h.restrictedCount, maxRestricted)
	return changedIDs
}

// startProbation puts workers on probation whose time in quarantine has passed, and returns their IDs. It also abandons probes
// that have run longer than probeTimeout.
func (h *HealthTracker) startProbation(now time.Time) []string {
	changedIDs := []string{}
	for id, health := range h.healthByWorker {
		if health.state == HealthQuarantined && !now.Before(health.quarantineEndsAt) {
			health.state = HealthProbation
			changedIDs = append(changedIDs, id)
		}
		if !health.probeStartedAt.IsZero() && now.Sub(health.probeStartedAt) > probeTimeout {
			health.probeStartedAt = time.Time{}
		}
	}
	return changedIDs
}

// quarantineCandidates returns the IDs of the workers with enough failures for quarantine, those with the most failed jobs first.
func (h *HealthTracker) quarantineCandidates() []string {
	ids := []string{}
	for id, health := range h.healthByWorker {
		if health.state == HealthHealthy && (health.isReportedFailing || len(health.failedJobs) >= h.cfg.MinFailedJobs) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := h.healthByWorker[ids[i]], h.healthByWorker[ids[j]]
		if len(a.failedJobs) != len(b.failedJobs) {
			return len(a.failedJobs) > len(b.failedJobs)
		}
		return ids[i] < ids[j]
	})
	return ids
}
