package scheduler

// spreadScore prefers domains and racks with few tasks of the same job, so that the loss of a domain or rack affects few of them.
type spreadScore struct{}

func (spreadScore) Name() string { return "spread" }

func (spreadScore) Score(c *Cycle, task *TaskInfo, n *node) float64 {
	s := c.cache.jobs[task.JobID]
	if s == nil {
		return 1
	}
	inDomain, inRack := s.domains[n.info.Domain], s.racks[n.info.Rack]
	return 0.5/float64(1+inDomain) + 0.5/float64(1+inRack)
}
