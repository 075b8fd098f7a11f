package scheduler

// avoidFilter rejects workers where this task failed or was refused lately.
type avoidFilter struct{}

func (avoidFilter) Name() string { return "avoid" }

func (avoidFilter) Filter(c *Cycle, task *TaskInfo, n *node) Status {
	if c.Now.Before(task.Avoid[n.info.ID]) {
		return Status{Unschedulable, "avoid", "failed or refused there lately"}
	}
	return Status{}
}
