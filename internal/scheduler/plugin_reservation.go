package scheduler

// reservationFilter rejects a worker that is reserved for another task unless the task is urgent, is expected to end before the
// reservation starts, or leaves the reserved resources free (backfill).
type reservationFilter struct{}

func (reservationFilter) Name() string { return "reservation" }

func (reservationFilter) Filter(cycle *Cycle, task *TaskInfo, candidate *node) Status {
	reservation := candidate.reservation
	if reservation == nil || reservation.Task == task.Ref.Task || task.Urgent() {
		return Status{}
	}
	if task.ExpectedRunTime > 0 && !cycle.Now.Add(task.ExpectedRunTime).After(reservation.StartsAt) {
		return Status{}
	}
	if task.Need.Add(reservation.Need).Fits(reservation.ProjectedFree.Sub(reservation.unprojectedUse(cycle.cache, candidate))) &&
		task.Need.Fits(candidate.free) {
		return Status{}
	}
	return Status{Unschedulable, "reservation", "would delay the reservation of " + reservation.Task}
}
