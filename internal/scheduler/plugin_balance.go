package scheduler

// balanceScore prefers workers with a large fraction of free cores, and keeps workers with free accelerators for tasks
// that need one.
type balanceScore struct{}

func (balanceScore) Name() string { return "balance" }

func (balanceScore) Score(_ *Cycle, task *TaskInfo, n *node) float64 {
	if n.info.Capacity.Cores == 0 {
		return 0
	}
	score := max(0, n.free.Cores/n.info.Capacity.Cores)
	if task.Need.Accelerators == 0 && n.free.Accelerators > 0 {
		score *= unneededAcceleratorFactor
	}
	return score
}

// unneededAcceleratorFactor reduces the score of a worker with free accelerators for a task that needs none.
const unneededAcceleratorFactor = 0.5
