package scheduler

// avoidFilter rejects workers on which the task recently failed or was refused.
type avoidFilter struct{}

func (avoidFilter) Name() string { return "avoid" }

func (avoidFilter) Filter(cycle *Cycle, task *TaskInfo, candidate *node) Status {
	if cycle.Now.Before(task.AvoidUntil[candidate.info.ID]) {
		return Status{Unschedulable, "avoid", "failed or refused there lately"}
	}
	return Status{}
}
