package scheduler

const fitName = "fit"

// fitFilter rejects workers without enough free resources.
type fitFilter struct{}

func (fitFilter) Name() string { return fitName }

func (fitFilter) Filter(_ *Cycle, task *TaskInfo, candidate *node) Status {
	switch {
	case task.Need.Fits(candidate.free):
		return Status{}
	case !task.Need.Fits(candidate.info.Capacity):
		return Status{Unresolvable, fitName, "worker too small"}
	}
	return Status{Unschedulable, fitName, "no room now"}
}
