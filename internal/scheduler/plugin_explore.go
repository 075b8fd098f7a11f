package scheduler

import "fmt"

const (
	exploreName = "explore"
	// knownDeviation is the standard deviation of the slowdown per core below which the effect of a pair of kinds counts as known.
	knownDeviation = 0.01
	// maxUnknownFraction is the fraction of a worker's cores that a kind with unknown effect may use; one task is always allowed.
	maxUnknownFraction = 0.25
)

// exploreFilter limits the work of a batch kind on a host with latency-critical traffic until the effect of the kind there
// is known, because measurements lag and the tasks of a full host cannot be evicted at once.
type exploreFilter struct{}

func (exploreFilter) Name() string { return exploreName }

func (exploreFilter) Filter(c *Cycle, task *TaskInfo, n *node) Status {
	if task.Urgent() || n.info.QuickKind == "" {
		return Status{}
	}
	model := c.opts.InterferenceModel(n.info.Domain)
	if model == nil || model.Slowdown(n.info.QuickKind, task.Kind, n.info.QuickLoad).Deviation < knownDeviation {
		return Status{}
	}
	kindCores := n.info.BatchCores[task.Kind]
	for name := range n.assumed {
		if p := c.cache.placements[name]; p != nil && p.task.Kind == task.Kind {
			kindCores += p.task.Need.Cores
		}
	}
	if kindCores == 0 || kindCores+task.Need.Cores <= maxUnknownFraction*n.info.Capacity.Cores {
		return Status{}
	}
	return Status{Unschedulable, exploreName, fmt.Sprintf("effect of %s on %s is not known yet", task.Kind, n.info.QuickKind)}
}
