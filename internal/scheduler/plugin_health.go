package scheduler

const healthName = "health"

// healthFilter rejects quarantined workers, and limits a worker on probation to one probe task at a time.
type healthFilter struct{}

func (healthFilter) Name() string { return healthName }

func (healthFilter) Filter(cycle *Cycle, task *TaskInfo, candidate *node) Status {
	switch cycle.cache.health.State(candidate.info.ID) {
	case HealthQuarantined:
		return Status{Unschedulable, healthName, "quarantined"}
	case HealthProbation:
		if !task.MayProbe {
			return Status{Unschedulable, healthName, "on probation, task cannot be a probe"}
		}
		if cycle.cache.health.IsProbing(candidate.info.ID) {
			return Status{Unschedulable, healthName, "on probation, a probe runs"}
		}
	}
	return Status{}
}
