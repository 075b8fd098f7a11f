package scheduler

import (
	"fmt"

	"bamboofork/internal/invariant"
	"bamboofork/internal/worker"
)

const quotaName = "quota"

// quotaPlugin keeps the running tasks of a team within the team's quota. The placements of one scheduler never exceed a quota.
// Several schedulers together can exceed it, because each sees the placements of the others only with the lag of the load
// reports.
type quotaPlugin struct{}

func (quotaPlugin) Name() string { return quotaName }

func (quotaPlugin) PreFilter(cycle *Cycle, task *TaskInfo) Status {
	quota := cycle.opts.TeamShare(task.Team).Quota
	usage := cycle.cache.teamUsage(task.Team).Add(task.Need)
	if reason := overQuota(usage, quota); reason != "" {
		return Status{Unschedulable, quotaName, "team " + task.Team + ": " + reason}
	}
	return Status{}
}

// overQuota returns a message about the first resource whose use exceeds the quota, empty if none does.
func overQuota(usage, quota worker.Resources) string {
	switch {
	case quota.Cores > 0 && usage.Cores > quota.Cores+1e-6:
		return fmt.Sprintf("cores over the quota of %g", quota.Cores)
	case quota.MemoryMB > 0 && usage.MemoryMB > quota.MemoryMB:
		return fmt.Sprintf("memory over the quota of %d MB", quota.MemoryMB)
	case quota.Accelerators > 0 && usage.Accelerators > quota.Accelerators:
		return fmt.Sprintf("accelerators over the quota of %d", quota.Accelerators)
	}
	return ""
}

func (quotaPlugin) Reserve(cycle *Cycle, task *TaskInfo, _ *node) {
	reason := overQuota(cycle.cache.ownUseByTeam[task.Team], cycle.opts.TeamShare(task.Team).Quota)
	invariant.Check(reason == "", "scheduler_quota", "team %s after task %s: %s", task.Team, task.Ref.Task, reason)
}

func (quotaPlugin) Unreserve(cycle *Cycle, task *TaskInfo) {
	usage := cycle.cache.ownUseByTeam[task.Team]
	invariant.Check(usage.Cores > -1e-3 && usage.MemoryMB >= 0 && usage.Accelerators >= 0, "scheduler_quota_use",
		"team %s uses %+v", task.Team, usage)
}
