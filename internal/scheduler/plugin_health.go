package scheduler

const healthName = "health"

// healthFilter rejects quarantined workers, and limits a worker on probation to one probe task at a time.
type healthFilter struct{}

func (healthFilter) Name() string { return healthName }

func (healthFilter) Filter(c *Cycle, task *TaskInfo, n *node) Status {
	switch c.cache.health.State(n.info.ID) {
	case HealthQuarantined:
		return Status{Unschedulable, healthName, "quarantined"}
	case HealthProbation:
		if !task.MayProbe {
			return Status{Unschedulable, healthName, "on probation, task cannot be a probe"}
		}
		if c.cache.health.Probing(n.info.ID) {
			return Status{Unschedulable, healthName, "on probation, a probe runs"}
		}
	}
	return Status{}
}
