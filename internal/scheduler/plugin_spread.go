package scheduler

// spreadScore prefers failure domains and racks with few tasks of the same job, so that the loss of a domain or rack affects few
// tasks of the job.
type spreadScore struct{}

func (spreadScore) Name() string { return "spread" }

func (spreadScore) Score(cycle *Cycle, task *TaskInfo, candidate *node) float64 {
	spread := cycle.cache.spreadByJob[task.JobID]
	if spread == nil {
		return 1
	}
	inDomain, inRack := spread.tasksByDomain[candidate.info.Domain], spread.tasksByRack[candidate.info.Rack]
	return 0.5/float64(1+inDomain) + 0.5/float64(1+inRack)
}
