package scheduler

// reservationFilter admits a task to a worker that is reserved for another task (backfill) only if the task is urgent, ends
// before the reservation starts, or leaves the reserved resources free.
type reservationFilter struct{}

func (reservationFilter) Name() string { return "reservation" }

func (reservationFilter) Filter(c *Cycle, task *TaskInfo, n *node) Status {
	r := n.reservation
	if r == nil || r.Task == task.Ref.Task || task.Urgent() {
		return Status{}
	}
	if task.ExpectedRunTime > 0 && !c.Now.Add(task.ExpectedRunTime).After(r.StartsAt) {
		return Status{}
	}
	if task.Need.Add(r.Need).Fits(r.ProjectedFree.Sub(r.unprojectedUse(c.cache, n))) && task.Need.Fits(n.free) {
		return Status{}
	}
	return Status{Unschedulable, "reservation", "would delay the reservation of " + r.Task}
}
