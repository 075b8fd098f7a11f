package agent

import (
	"time"

	"bamboofork/internal/colocation"
	"bamboofork/internal/ledger"
	"bamboofork/internal/scheduler"
	"bamboofork/internal/worker"
)

// noteUsage keeps the largest use of each attempt and returns the measured cores in use by kind.
func (r *taskRunner) noteUsage(u worker.Usage, before time.Time) map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	cores := map[string]float64{}
	for _, m := range u.Tasks {
		cores[m.Kind] += m.Used.Cores
		t := r.attempts[m.Ref]
		if t == nil || t.placed.After(u.At) {
			continue
		}
		full := m.Used
		full.Cores /= max(0.05, t.throttle)
		if t.throttled.After(before) {
			full.Cores = t.used.Cores // measured at an unknown speed
		}
		t.used.Cores = max(t.used.Cores, full.Cores)
		t.used.MemoryMB = max(t.used.MemoryMB, full.MemoryMB)
		t.memoryMB = m.Used.MemoryMB
	}
	return cores
}

// advanceWork adds the work done since the last look. r.mu is held.
func (t *attempt) advanceWork(now time.Time) {
	if !t.workAt.IsZero() {
		t.work += time.Duration(t.throttle * float64(now.Sub(t.workAt)))
	}
	t.workAt = now
}

// slowFor is the time since the speed was first reduced; 0 at full speed.
func (t *attempt) slowFor(now time.Time) time.Duration {
	if t.throttle >= 1 || t.slowSince.IsZero() {
		return 0
	}
	return now.Sub(t.slowSince)
}

// controlTasks lists the running tasks for the controller.
func (r *taskRunner) controlTasks(now time.Time) []colocation.Task {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []colocation.Task{}
	for ref, t := range r.attempts {
		if t.status.State != worker.StateRunning {
			continue
		}
		cores := t.used.Cores
		if cores == 0 {
			cores = t.spec.Need.Cores
		}
		out = append(out, colocation.Task{
			Ref: ref, Kind: t.spec.Kind, Priority: t.spec.Priority, Cores: cores, MemoryMB: t.memoryMB, SizeMB: t.spec.Need.MemoryMB,
			Share: t.throttle, SlowFor: t.slowFor(now), Ran: now.Sub(t.placed), Run: t.spec.Run,
		})
	}
	return out
}

// endsRemembered is the number of newest ends that decide whether the worker fails everything, and endsJobs the number
// of different jobs that must be among them.
const (
	endsRemembered = 6
	endsJobs       = 3
)

// ending is the end of a task on this worker.
type ending struct {
	job    string
	failed bool
}

func (r *taskRunner) noteEnd(ref worker.Ref, failed bool) {
	job, _, err := ledger.SplitTask(ref.Task)
	if err != nil {
		return
	}
	r.ends = append(r.ends, ending{job, failed})
	if len(r.ends) > endsRemembered {
		r.ends = r.ends[1:]
	}
}

// failing reports whether the worker failed all of its newest tasks, and those were of several jobs.
func (r *taskRunner) failing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	jobs := map[string]bool{}
	for _, e := range r.ends {
		if !e.failed {
			return false
		}
		jobs[e.job] = true
	}
	return len(r.ends) == endsRemembered && len(jobs) >= endsJobs
}

// taskLoad is the part of the load report about batch tasks.
type taskLoad struct {
	teams       map[string]worker.Resources
	preemptible map[int]worker.Resources
	freeAt      [4]worker.Resources
}

// load sums the running tasks by team and priority, and projects the free room from their expected ends.
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
		for i, h := range scheduler.Horizons {
			if !end.After(now.Add(h)) {
				l.freeAt[i] = l.freeAt[i].Add(need)
			}
		}
	}
	return l
}

// expectedEnd is when the attempt is done at its present speed by its expected run time. An attempt past that time, or
// without one, is not expected to end.
func (t *attempt) expectedEnd(now time.Time) time.Time {
	left := t.spec.Run - t.work
	if t.status.Progress > 0 && t.spec.Run > 0 {
		left = time.Duration((1 - t.status.Progress) * float64(t.spec.Run))
	}
	if left <= 0 || t.throttle <= 0 {
		return now.Add(farEnd)
	}
	return now.Add(time.Duration(float64(left) / t.throttle))
}

// farEnd is past the last horizon.
const farEnd = 24 * time.Hour
