package scheduler

import (
	"fmt"

	"bamboofork/internal/invariant"
	"bamboofork/internal/worker"
)

const quotaName = "quota"

// quotaPlugin keeps the running tasks of a team within its quota. Placements of other schedulers become visible with the
// lag of the load reports, so all schedulers together can exceed a quota by what they place within that lag; the placements
// of one scheduler alone never exceed it.
type quotaPlugin struct{}

func (quotaPlugin) Name() string { return quotaName }

func (quotaPlugin) PreFilter(c *Cycle, task *TaskInfo) Status {
	quota := c.opts.TeamShare(task.Team).Quota
	use := c.cache.teamUsage(task.Team).Add(task.Need)
	if reason := overQuota(use, quota); reason != "" {
		return Status{Unschedulable, quotaName, "team " + task.Team + ": " + reason}
	}
	return Status{}
}

// overQuota returns the reason for the first resource over its quota; empty if none is.
func overQuota(use, quota worker.Resources) string {
	switch {
	case quota.Cores > 0 && use.Cores > quota.Cores+1e-6:
		return fmt.Sprintf("cores over the quota of %g", quota.Cores)
	case quota.MemoryMB > 0 && use.MemoryMB > quota.MemoryMB:
		return fmt.Sprintf("memory over the quota of %d MB", quota.MemoryMB)
	case quota.Accelerators > 0 && use.Accelerators > quota.Accelerators:
		return fmt.Sprintf("accelerators over the quota of %d", quota.Accelerators)
	}
	return ""
}

func (quotaPlugin) Reserve(c *Cycle, task *TaskInfo, _ *node) {
	reason := overQuota(c.cache.ownUse[task.Team], c.opts.TeamShare(task.Team).Quota)
	invariant.Check(reason == "", "scheduler_quota", "team %s after task %s: %s", task.Team, task.Ref.Task, reason)
}

func (quotaPlugin) Unreserve(c *Cycle, task *TaskInfo) {
	use := c.cache.ownUse[task.Team]
	invariant.Check(use.Cores > -1e-3 && use.MemoryMB >= 0 && use.Accelerators >= 0, "scheduler_quota_use", "team %s uses %+v", task.Team, use)
}
