package scheduler

// quickLoadScore prefers workers whose backend server is idle.
type quickLoadScore struct{}

func (quickLoadScore) Name() string { return "quick_load" }

func (quickLoadScore) Score(_ *Cycle, _ *TaskInfo, n *node) float64 {
	return 1 - min(1, n.info.QuickLoad)
}
