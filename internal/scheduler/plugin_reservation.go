package scheduler

// reservationFilter lets a task use a worker that is reserved for another task only if it does not delay that task: it
// ends before the reservation starts, or leaves the reserved room free.
type reservationFilter struct{}

func (reservationFilter) Name() string { return "reservation" }

func (reservationFilter) Filter(c *Cycle, task *TaskInfo, n *node) Status {
	r := n.reserved
	if r == nil || r.Task == task.Ref.Task || task.Urgent() {
		return Status{}
	}
	if task.Run > 0 && !c.Now.Add(task.Run).After(r.At) {
		return Status{}
	}
	if task.Need.Add(r.Need).Fits(r.FreeThen.Sub(r.taken(c.cache, n))) && task.Need.Fits(n.free) {
		return Status{}
	}
	return Status{Unschedulable, "reservation", "would delay the reservation of " + r.Task}
}
