package placement

import (
	"cmp"
	"slices"

	"bamboofork/internal/jobs"
)

// holds collects the overdue perpetual tasks that fit on no worker, and holds workers for them. Each short task that ends frees less
// than such a task needs, and the next short task would take it. A held worker therefore starts no short tasks until the perpetual
// task fits. No worker is held for a task that would not fit on any worker without its short tasks.
type holds struct {
	tasks []overdueTask
	held  int // number of workers held in this pass
}

// overdueTask is an overdue task of the step of a candidate, which was planned in the scope.
type overdueTask struct {
	scope     scope
	candidate candidate
	stepIndex int
	sinceMs   int64 // time on the owner's boot clock since which the task waits
}

// maxHeldFraction is the fraction of the workers that are held at the same time. One worker may always be held.
const maxHeldFraction = 0.05

func (h *holds) add(s scope, c candidate, stepIndex int, task *jobs.Task) {
	h.tasks = append(h.tasks, overdueTask{scope: s, candidate: c, stepIndex: stepIndex, sinceMs: task.WaitingSinceMs})
}

// apply holds workers for the collected tasks for the rest of the pass, for those that wait for longest first.
func (h *holds) apply(s *Snapshot) {
	slices.SortStableFunc(h.tasks, func(a, b overdueTask) int { return cmp.Compare(a.sinceMs, b.sinceMs) })
	limit := max(1, int(maxHeldFraction*float64(s.openCount())))
	hopeless := map[*jobs.Step]bool{} // steps for which no worker can be held
	for i := 0; i < len(h.tasks) && h.held < limit; i++ {
		step := &h.tasks[i].candidate.job.Spec.Steps[h.tasks[i].stepIndex]
		switch {
		case hopeless[step]:
		case holdWorker(&h.tasks[i]):
			h.held++
		default:
			hopeless[step] = true
		}
	}
	h.tasks = nil
}

// holdWorker reserves the resources of the task on the worker that will soonest have them. It returns false if there is none.
func holdWorker(overdue *overdueTask) bool {
	s, c := overdue.scope, &overdue.candidate
	step := &c.job.Spec.Steps[overdue.stepIndex]
	s.countStepTasks(&c.job.Occurrences[c.occ].Steps[overdue.stepIndex])
	var chosen *Worker
	for _, worker := range s.workers {
		if worker.isHeld || !accepts(worker, c.job, step) || !hasRoomBesidePerpetual(worker, step) {
			continue
		}
		if chosen == nil || worker.Free.CPU > chosen.Free.CPU {
			chosen = worker
		}
	}
	if chosen == nil {
		return false
	}
	chosen.isHeld = true
	chosen.Free = chosen.Free.Sub(Need(step))
	return true
}
