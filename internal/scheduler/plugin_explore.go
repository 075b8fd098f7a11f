package scheduler

import "fmt"

const (
	exploreName = "explore"
	// knownDeviation is the deviation of the slowdown per core below which a pair counts as known.
	knownDeviation = 0.01
	// exploreShare is the share of a worker's cores that a kind with unknown effect may use; one task is always allowed.
	exploreShare = 0.25
)

// exploreFilter bounds how much work of a kind a host with latency-critical traffic gets before the kind's effect there
// is known, because measurements lag and a full host cannot be emptied at once.
type exploreFilter struct{}

func (exploreFilter) Name() string { return exploreName }

func (exploreFilter) Filter(c *Cycle, task *TaskInfo, n *node) Status {
	if task.Urgent() || n.info.QuickKind == "" {
		return Status{}
	}
	effects := c.opts.Effects(n.info.Domain)
	if effects == nil || effects.Effect(n.info.QuickKind, task.Kind, n.info.QuickLoad).Deviation < knownDeviation {
		return Status{}
	}
	have := n.info.BatchCores[task.Kind]
	for name := range n.assumed {
		if p := c.cache.placed[name]; p != nil && p.task.Kind == task.Kind {
			have += p.task.Need.Cores
		}
	}
	if have == 0 || have+task.Need.Cores <= exploreShare*n.info.Capacity.Cores {
		return Status{}
	}
	return Status{Unschedulable, exploreName, fmt.Sprintf("effect of %s on %s is not known yet", task.Kind, n.info.QuickKind)}
}
