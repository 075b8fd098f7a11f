package agent

import (
	"time"

	"bamboofork/internal/colocation"
	"bamboofork/internal/ledger"
	"bamboofork/internal/scheduler"
	"bamboofork/internal/worker"
)

// recordUsage updates the peak use of each attempt and returns the measured cores in use by kind.
func (r *taskRunner) recordUsage(u worker.Usage, before time.Time) map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	cores := map[string]float64{}
	for _, m := range u.Tasks {
		cores[m.Kind] += m.Used.Cores
		t := r.attempts[m.Ref]
		if t == nil || t.placedAt.After(u.At) {
			continue
		}
		atFullSpeed := m.Used
		atFullSpeed.Cores /= max(0.05, t.throttle)
		if t.throttleChangedAt.After(before) {
			atFullSpeed.Cores = t.peakUse.Cores // the throttle changed within the measurement, so the speed is unknown
		}
		t.peakUse.Cores = max(t.peakUse.Cores, atFullSpeed.Cores)
		t.peakUse.MemoryMB = max(t.peakUse.MemoryMB, atFullSpeed.MemoryMB)
		t.memoryMB = m.Used.MemoryMB
	}
	return cores
}

// advanceWork adds the work done since the previous call. The caller holds taskRunner.mu.
func (t *attempt) advanceWork(now time.Time) {
	if !t.workCountedUntil.IsZero() {
		t.work += time.Duration(t.throttle * float64(now.Sub(t.workCountedUntil)))
	}
	t.workCountedUntil = now
}

// throttledFor returns the time since the attempt was first throttled; 0 at full speed.
func (t *attempt) throttledFor(now time.Time) time.Duration {
	if t.throttle >= 1 || t.throttledSince.IsZero() {
		return 0
	}
	return now.Sub(t.throttledSince)
}

// controlTasks returns the running tasks as input for the controller.
func (r *taskRunner) controlTasks(now time.Time) []colocation.Task {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []colocation.Task{}
	for ref, t := range r.attempts {
		if t.status.State != worker.StateRunning {
			continue
		}
		cores := t.peakUse.Cores
		if cores == 0 {
			cores = t.spec.Need.Cores
		}
		out = append(out, colocation.Task{
			Ref: ref, Kind: t.spec.Kind, Priority: t.spec.Priority, Cores: cores, MemoryMB: t.memoryMB, ReservedMB: t.spec.Need.MemoryMB,
			Speed: t.throttle, ThrottledFor: t.throttledFor(now), Elapsed: now.Sub(t.placedAt), ExpectedRunTime: t.spec.Run,
		})
	}
	return out
}

// failureWindow is the number of most recent task ends that must all be failures for the worker to count as failing, and
// minFailedJobs the number of different jobs that must be among them.
const (
	failureWindow = 6
	minFailedJobs = 3
)

// taskEnd is the end of a task on this worker.
type taskEnd struct {
	job    string
	failed bool
}

func (r *taskRunner) recordTaskEnd(ref worker.Ref, failed bool) {
	job, _, err := ledger.SplitTask(ref.Task)
	if err != nil {
		return
	}
	r.recentEnds = append(r.recentEnds, taskEnd{job, failed})
	if len(r.recentEnds) > failureWindow {
		r.recentEnds = r.recentEnds[1:]
	}
}

// failing reports whether the most recent tasks on the worker all failed and belonged to several jobs.
func (r *taskRunner) failing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	jobs := map[string]bool{}
	for _, e := range r.recentEnds {
		if !e.failed {
			return false
		}
		jobs[e.job] = true
	}
	return len(r.recentEnds) == failureWindow && len(jobs) >= minFailedJobs
}

// taskLoad is the part of the load report that describes batch tasks.
type taskLoad struct {
	teams       map[string]worker.Resources
	preemptible map[int]worker.Resources
	freeAt      [4]worker.Resources
}

// load sums the resources of the running tasks by team and priority, and projects the free resources at each horizon from
// the expected ends of the tasks.
func (r *taskRunner) load(free worker.Resources, now time.Time) taskLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := taskLoad{teams: map[string]worker.Resources{}, preemptible: map[int]worker.Resources{}}
	for i := range l.freeAt {
		l.freeAt[i] = free
	}
	for _, t := range r.attempts {
		if t.status.State != worker.StateRunning {
			continue
		}
		need := t.spec.Need
		l.teams[t.spec.Team] = l.teams[t.spec.Team].Add(need)
		l.preemptible[t.spec.Priority] = l.preemptible[t.spec.Priority].Add(need)
		end := t.expectedEnd(now)
		for i, h := range scheduler.ProjectionHorizons {
			if !end.After(now.Add(h)) {
				l.freeAt[i] = l.freeAt[i].Add(need)
			}
		}
	}
	return l
}

// expectedEnd returns when the attempt ends at its current speed, according to its expected run time. An attempt past that
// time, or without one, is not expected to end.
func (t *attempt) expectedEnd(now time.Time) time.Time {
	left := t.spec.Run - t.work
	if t.status.Progress > 0 && t.spec.Run > 0 {
		left = time.Duration((1 - t.status.Progress) * float64(t.spec.Run))
	}
	if left <= 0 || t.throttle <= 0 {
		return now.Add(beyondHorizons)
	}
	return now.Add(time.Duration(float64(left) / t.throttle))
}

// beyondHorizons is longer than the last horizon.
const beyondHorizons = 24 * time.Hour
