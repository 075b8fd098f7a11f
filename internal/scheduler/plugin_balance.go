package scheduler

// balanceScore prefers workers with a large fraction of free cores. It lowers the score of workers with free accelerators for
// tasks that need no accelerator.
type balanceScore struct{}

func (balanceScore) Name() string { return "balance" }

func (balanceScore) Score(_ *Cycle, task *TaskInfo, candidate *node) float64 {
	if candidate.info.Capacity.Cores == 0 {
		return 0
	}
	score := max(0, candidate.free.Cores/candidate.info.Capacity.Cores)
	if task.Need.Accelerators == 0 && candidate.free.Accelerators > 0 {
		score *= unneededAcceleratorFactor
	}
	return score
}

// unneededAcceleratorFactor multiplies the score of a worker with free accelerators for a task that needs no accelerator.
const unneededAcceleratorFactor = 0.5
