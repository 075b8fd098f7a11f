package scheduler

import "fmt"

const (
	exploreName = "explore"
	// maxKnownDeviation is the standard deviation of the learned slowdown per core below which the slowdown of a latency-critical
	// kind by a batch kind counts as known.
	maxKnownDeviation = 0.01
	// maxUnknownCoresFraction is the fraction of a worker's cores that tasks of a batch kind may use while the slowdown that they
	// cause is unknown. One task is always allowed.
	maxUnknownCoresFraction = 0.25
)

// exploreFilter limits the cores that a batch kind uses on a host with latency-critical requests until the slowdown that the
// kind causes is known. Without the limit, a host could be full of harmful tasks before the slowdown is measured, and these
// tasks cannot all be evicted at once.
type exploreFilter struct{}

func (exploreFilter) Name() string { return exploreName }

func (exploreFilter) Filter(cycle *Cycle, task *TaskInfo, candidate *node) Status {
	if task.Urgent() || candidate.info.LatencyCriticalKind == "" {
		return Status{}
	}
	model := cycle.opts.InterferenceModel(candidate.info.Domain)
	if model == nil || model.Slowdown(candidate.info.LatencyCriticalKind, task.Kind,
		candidate.info.BackendLoad).Deviation < maxKnownDeviation {
		return Status{}
	}
	coresOfKind := candidate.info.BatchCores[task.Kind]
	for taskName := range candidate.assumedTasks {
		if assumed := cycle.cache.placementByTask[taskName]; assumed != nil && assumed.task.Kind == task.Kind {
			coresOfKind += assumed.task.Need.Cores
		}
	}
	if coresOfKind == 0 || coresOfKind+task.Need.Cores <= maxUnknownCoresFraction*candidate.info.Capacity.Cores {
		return Status{}
	}
	return Status{Unschedulable, exploreName, fmt.Sprintf("effect of %s on %s is not known yet", task.Kind,
		candidate.info.LatencyCriticalKind)}
}
