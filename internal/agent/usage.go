package agent

import (
	"time"

	"bamboofork/internal/colocation"
	"bamboofork/internal/ledger"
	"bamboofork/internal/scheduler"
	"bamboofork/internal/worker"
)

// recordUsage updates the peak usage of each attempt and returns the measured cores in use by kind of task. previousAt is the time
// of the previous measurement.
func (r *taskRunner) recordUsage(usage worker.Usage, previousAt time.Time) map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	coresByKind := map[string]float64{}
	for _, measured := range usage.Tasks {
		coresByKind[measured.Kind] += measured.Used.Cores
		t := r.attemptByRef[measured.Ref]
		if t == nil || t.placedAt.After(usage.At) {
			continue
		}
		atFullSpeed := measured.Used
		atFullSpeed.Cores /= max(0.05, t.speed)
		if t.speedChangedAt.After(previousAt) {
			atFullSpeed.Cores = t.peakUsage.Cores // the speed changed during the measurement, so the cores cannot be scaled
		}
		t.peakUsage.Cores = max(t.peakUsage.Cores, atFullSpeed.Cores)
		t.peakUsage.MemoryMB = max(t.peakUsage.MemoryMB, atFullSpeed.MemoryMB)
		t.measuredMemoryMB = measured.Used.MemoryMB
	}
	return coresByKind
}

// advanceWork adds the work done since the previous call to workDone. The caller holds taskRunner.mu.
func (t *attempt) advanceWork(now time.Time) {
	if !t.workCountedUntil.IsZero() {
		t.workDone += time.Duration(t.speed * float64(now.Sub(t.workCountedUntil)))
	}
	t.workCountedUntil = now
}

// throttledDuration returns how long the attempt has been below full speed, or 0 at full speed.
func (t *attempt) throttledDuration(now time.Time) time.Duration {
	if t.speed >= 1 || t.throttledSince.IsZero() {
		return 0
	}
	return now.Sub(t.throttledSince)
}

// controlTasks returns the running tasks in the form that the colocation controller uses.
func (r *taskRunner) controlTasks(now time.Time) []colocation.Task {
	r.mu.Lock()
	defer r.mu.Unlock()
	tasks := []colocation.Task{}
	for ref, t := range r.attemptByRef {
		if t.status.State != worker.StateRunning {
			continue
		}
		cores := t.peakUsage.Cores
		if cores == 0 {
			cores = t.spec.Need.Cores
		}
		tasks = append(tasks, colocation.Task{
			Ref: ref, Kind: t.spec.Kind, Priority: t.spec.Priority, Cores: cores, MemoryMB: t.measuredMemoryMB, ReservedMB: t.spec.Need.MemoryMB,
			Speed: t.speed, ThrottledFor: t.throttledDuration(now), Elapsed: now.Sub(t.placedAt), ExpectedRunTime: t.spec.Run,
		})
	}
	return tasks
}

// A worker counts as failing if its latest failureWindowTasks tasks all failed and belonged to at least minFailedJobs different
// jobs.
const (
	failureWindowTasks = 6
	minFailedJobs      = 3
)

// taskEnd is the end of a task on this worker.
type taskEnd struct {
	job    string
	failed bool
}

func (r *taskRunner) recordTaskEnd(ref worker.Ref, failed bool) {
	job, _, err := ledger.SplitTaskName(ref.Task)
	if err != nil {
		return
	}
	r.recentEnds = append(r.recentEnds, taskEnd{job, failed})
	if len(r.recentEnds) > failureWindowTasks {
		r.recentEnds = r.recentEnds[1:]
	}
}

// workerIsFailing reports whether the latest tasks on the worker all failed and belonged to several jobs.
func (r *taskRunner) workerIsFailing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	failedJobs := map[string]bool{}
	for _, end := range r.recentEnds {
		if !end.failed {
			return false
		}
		failedJobs[end.job] = true
	}
	return len(r.recentEnds) == failureWindowTasks && len(failedJobs) >= minFailedJobs
}

// taskLoad is the part of the load report that describes batch tasks.
type taskLoad struct {
	usedByTeam     map[string]worker.Resources
	usedByPriority map[int]worker.Resources
	freeByHorizon  [4]worker.Resources
}

// currentLoad returns the resources of the running tasks by team and by priority. It also returns the free resources expected at each of
// scheduler.ProjectionHorizons, given the current free resources and the expected ends of the tasks.
func (r *taskRunner) currentLoad(free worker.Resources, now time.Time) taskLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	load := taskLoad{usedByTeam: map[string]worker.Resources{}, usedByPriority: map[int]worker.Resources{}}
	for i := range load.freeByHorizon {
		load.freeByHorizon[i] = free
	}
	for _, t := range r.attemptByRef {
		if t.status.State != worker.StateRunning {
			continue
		}
		need := t.spec.Need
		load.usedByTeam[t.spec.Team] = load.usedByTeam[t.spec.Team].Add(need)
		load.usedByPriority[t.spec.Priority] = load.usedByPriority[t.spec.Priority].Add(need)
		endAt := t.expectedEnd(now)
		for i, h := range scheduler.ProjectionHorizons {
			if !endAt.After(now.Add(h)) {
				load.freeByHorizon[i] = load.freeByHorizon[i].Add(need)
			}
		}
	}
	return load
}

// expectedEnd returns when the attempt is expected to end at its current speed. An attempt that has exceeded its expected run
// time, or that has none, is not expected to end within the projection horizons.
func (t *attempt) expectedEnd(now time.Time) time.Time {
	left := t.spec.Run - t.workDone
	if t.status.Progress > 0 && t.spec.Run > 0 {
		left = time.Duration((1 - t.status.Progress) * float64(t.spec.Run))
	}
	if left <= 0 || t.speed <= 0 {
		return now.Add(beyondHorizonsDuration)
	}
	return now.Add(time.Duration(float64(left) / t.speed))
}

// beyondHorizonsDuration is longer than the last of scheduler.ProjectionHorizons.
const beyondHorizonsDuration = 24 * time.Hour
