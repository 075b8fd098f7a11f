package scheduler

import (
	"sort"
	"time"

	"bamboofork/internal/invariant"
)

// HealthState is the standing of a worker.
type HealthState uint8

// Standings of a worker.
const (
	HealthGood        HealthState = iota
	HealthQuarantined             // gets nothing
	HealthProbation               // gets one probe at a time
)

// HealthConfig bounds the quarantine. Zero fields take the defaults.
type HealthConfig struct {
	Jobs       int           // distinct jobs that must have failed in a row, default 3
	Workers    int           // distinct workers on which a job must fail to be at fault, default 3
	MaxShare   float64       // largest share of the fleet in quarantine or on probation, default 0.1; one worker is always allowed
	FirstProbe time.Duration // time in quarantine before the first probe, default 30 s; doubles up to MaxProbe
	MaxProbe   time.Duration // default 30 min
}

func (c HealthConfig) withDefaults() HealthConfig {
	if c.Jobs == 0 {
		c.Jobs = 3
	}
	if c.Workers == 0 {
		c.Workers = 3
	}
	if c.MaxShare == 0 {
		c.MaxShare = 0.1
	}
	if c.FirstProbe == 0 {
		c.FirstProbe = 30 * time.Second
	}
	if c.MaxProbe == 0 {
		c.MaxProbe = 30 * time.Minute
	}
	return c
}

// probeTimeout ends a probe whose end was never reported.
const probeTimeout = 10 * time.Minute

type workerHealth struct {
	state    HealthState
	failed   map[string]bool // jobs that failed here since the last success
	reported bool            // the agent's own evidence
	until    time.Time       // end of the quarantine
	wait     time.Duration   // length of the quarantine
	probe    time.Time       // start of the running probe; zero: none
	grace    time.Time       // the agent's own evidence is ignored until then, because it may predate the restoration
}

// restoreGrace covers the lag of load reports after a worker was restored.
const restoreGrace = 30 * time.Second

// Health weighs failures. A worker on which several different jobs failed without a success between is quarantined,
// probed after a time that doubles, and restored by a success. A job that failed on several workers is itself at
// fault, and its failures are no longer counted against workers. It is guarded by its Scheduler.
type Health struct {
	cfg      HealthConfig
	workers  map[string]*workerHealth
	jobs     map[string]map[string]bool // job -> workers on which it failed
	fault    map[string]time.Time       // jobs at fault, since when
	count    int                        // workers in quarantine or on probation
	restored []string                   // since the last Tick
}

// NewHealth returns a record without evidence.
func NewHealth(cfg HealthConfig) *Health {
	return &Health{cfg: cfg.withDefaults(), workers: map[string]*workerHealth{}, jobs: map[string]map[string]bool{}, fault: map[string]time.Time{}}
}

// State returns the standing of a worker; unknown workers are good.
func (h *Health) State(id string) HealthState {
	if len(h.workers) == 0 {
		return HealthGood
	}
	if w := h.workers[id]; w != nil {
		return w.state
	}
	return HealthGood
}

// Quarantined is the number of workers that get nothing.
func (h *Health) Quarantined() int {
	n := 0
	for _, w := range h.workers {
		if w.state == HealthQuarantined {
			n++
		}
	}
	return n
}

// Probing reports whether a probe runs on the worker.
func (h *Health) Probing(id string) bool {
	w := h.workers[id]
	return w != nil && !w.probe.IsZero()
}

func (h *Health) worker(id string) *workerHealth {
	w := h.workers[id]
	if w == nil {
		w = &workerHealth{failed: map[string]bool{}}
		h.workers[id] = w
	}
	return w
}

// NoteReport takes in the agent's own evidence, which covers the tasks of all partitions.
func (h *Health) NoteReport(id string, failing bool, now time.Time) {
	w := h.workers[id]
	if w == nil && !failing {
		return
	}
	w = h.worker(id)
	w.reported = failing && !now.Before(w.grace)
}

// NoteProbe notes that a task was placed; on a worker on probation it is the probe.
func (h *Health) NoteProbe(id, _ string, now time.Time) {
	if w := h.workers[id]; w != nil && w.state == HealthProbation {
		w.probe = now
	}
}

// NoteEnd takes in the end of a task on a worker.
func (h *Health) NoteEnd(id, job string, failed bool, now time.Time) {
	if id == "" {
		return // the worker is not known any more
	}
	if !failed {
		h.succeeded(id, job, now)
		return
	}
	h.blameJob(id, job, now)
	if _, atFault := h.fault[job]; atFault {
		if w := h.workers[id]; w != nil {
			w.probe = time.Time{}
		}
		return
	}
	w := h.worker(id)
	w.failed[job] = true
	w.probe = time.Time{}
	if w.state == HealthProbation {
		w.state = HealthQuarantined
		w.wait = min(2*w.wait, h.cfg.MaxProbe)
		w.until = now.Add(w.wait)
	}
}

func (h *Health) succeeded(id, job string, now time.Time) {
	h.ForgetJob(job)
	w := h.workers[id]
	if w == nil {
		return
	}
	if w.state != HealthGood {
		h.count--
		h.restored = append(h.restored, id)
	}
	h.workers[id] = &workerHealth{failed: map[string]bool{}, grace: now.Add(restoreGrace)}
}

// maxJobsTracked bounds the jobs with failures that are remembered.
const maxJobsTracked = 4096

func (h *Health) blameJob(id, job string, now time.Time) {
	on := h.jobs[job]
	if on == nil {
		h.makeRoom()
		on = map[string]bool{}
		h.jobs[job] = on
	}
	on[id] = true
	if _, known := h.fault[job]; known || len(on) < h.cfg.Workers {
		return
	}
	h.fault[job] = now
	for other := range on { // its earlier failures were no evidence against the workers
		if w := h.workers[other]; w != nil {
			delete(w.failed, job)
		}
	}
}

// makeRoom drops any one job when the record is full.
func (h *Health) makeRoom() {
	if len(h.jobs) < maxJobsTracked {
		return
	}
	for job := range h.jobs {
		h.ForgetJob(job)
		return
	}
}

// JobAtFault reports whether a job failed on several workers without a success.
func (h *Health) JobAtFault(job string) bool {
	_, ok := h.fault[job]
	return ok
}

// ForgetJob drops what is known about a job that ended.
func (h *Health) ForgetJob(job string) {
	delete(h.jobs, job)
	delete(h.fault, job)
}

// Forget drops a worker that left.
func (h *Health) Forget(id string) {
	if w := h.workers[id]; w != nil {
		if w.state != HealthGood {
			h.count--
		}
		delete(h.workers, id)
	}
}

// Tick applies the evidence and the time. It returns the workers whose standing changed.
func (h *Health) Tick(fleet int, now time.Time) []string {
	changed := append(h.probeDue(now), h.restored...)
	h.restored = nil
	allowed := max(1, int(h.cfg.MaxShare*float64(fleet)))
	for _, id := range h.suspects() {
		if h.count >= allowed {
			break
		}
		w := h.workers[id]
		w.state, w.wait = HealthQuarantined, h.cfg.FirstProbe
		w.until = now.Add(w.wait)
		h.count++
		changed = append(changed, id)
	}
	invariant.Check(h.count >= 0 && h.count <= max(allowed, len(h.workers)), "quarantine_count", "%d quarantined, %d allowed", h.count, allowed)
	return changed
}

func (h *Health) probeDue(now time.Time) []string {
	changed := []string{}
	for id, w := range h.workers {
		if w.state == HealthQuarantined && !now.Before(w.until) {
			w.state = HealthProbation
			changed = append(changed, id)
		}
		if !w.probe.IsZero() && now.Sub(w.probe) > probeTimeout {
			w.probe = time.Time{}
		}
	}
	return changed
}

// suspects are the workers with enough evidence, those with most failed jobs first.
func (h *Health) suspects() []string {
	ids := []string{}
	for id, w := range h.workers {
		if w.state == HealthGood && (w.reported || len(w.failed) >= h.cfg.Jobs) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := h.workers[ids[i]], h.workers[ids[j]]
		if len(a.failed) != len(b.failed) {
			return len(a.failed) > len(b.failed)
		}
		return ids[i] < ids[j]
	})
	return ids
}
