package scheduler

// quickLoadScore prefers workers on hosts whose backend server has a small fraction of its slots in use.
type quickLoadScore struct{}

func (quickLoadScore) Name() string { return "quick_load" }

func (quickLoadScore) Score(_ *Cycle, _ *TaskInfo, candidate *node) float64 {
	return 1 - min(1, candidate.info.BackendLoad)
}
