package scheduler

// avoidFilter rejects workers on which the task recently failed or was refused.
type avoidFilter struct{}

func (avoidFilter) Name() string { return "avoid" }

func (avoidFilter) Filter(c *Cycle, task *TaskInfo, n *node) Status {
	if c.Now.Before(task.AvoidUntil[n.info.ID]) {
		return Status{Unschedulable, "avoid", "failed or refused there lately"}
	}
	return Status{}
}
