package scheduler

// fitFilter rejects workers without room.
type fitFilter struct{}

func (fitFilter) Name() string { return "fit" }

func (fitFilter) Filter(task *TaskInfo, n *NodeInfo) Status {
	switch {
	case !task.Need.Fits(n.Capacity):
		return Rejected("worker too small")
	case !task.Need.Fits(n.Free):
		return Rejected("no room now")
	}
	return Success
}

// quarantineFilter rejects workers that fail what they start.
type quarantineFilter struct{}

func (quarantineFilter) Name() string { return "quarantine" }

func (quarantineFilter) Filter(_ *TaskInfo, n *NodeInfo) Status {
	if n.Quarantined {
		return Rejected("quarantined")
	}
	return Success
}

// avoidFilter rejects workers where this task failed or was refused lately.
type avoidFilter struct{}

func (avoidFilter) Name() string { return "avoid" }

func (avoidFilter) Filter(task *TaskInfo, n *NodeInfo) Status {
	if task.Avoid[n.ID] {
		return Rejected("failed or refused there lately")
	}
	return Success
}

// quickLoadScore prefers workers whose backend server is idle.
type quickLoadScore struct{}

func (quickLoadScore) Name() string { return "quick_load" }

func (quickLoadScore) Score(_ *TaskInfo, n *NodeInfo) float64 { return 1 - min(1, n.QuickLoad) }

// balanceScore prefers workers with a large share of free cores.
type balanceScore struct{}

func (balanceScore) Name() string { return "balance" }

func (balanceScore) Score(_ *TaskInfo, n *NodeInfo) float64 {
	if n.Capacity.Cores == 0 {
		return 0
	}
	return max(0, n.Free.Cores/n.Capacity.Cores)
}
