// Package scheduler places batch tasks on workers. It does no I/O: its inputs are worker reports and pending tasks, its
// outputs are placement decisions. Plugins filter and score workers and are notified of placements; the cache tracks
// placements that are not in a report yet; the queue orders the pending tasks. Several schedulers decide concurrently on
// stale reports (optimistic concurrency), and the agent on the chosen host admits or refuses each placement.
package scheduler

import (
	"time"

	"bamboofork/internal/colocation"
	"bamboofork/internal/worker"
)

// ProjectionHorizons are the times after a report for which an agent projects its free resources.
var ProjectionHorizons = [4]time.Duration{time.Minute, 5 * time.Minute, 30 * time.Minute, 2 * time.Hour}

// NodeInfo is the reported state of one worker. It is stale by up to the load report interval plus the dissemination delay.
type NodeInfo struct {
	ID              string
	Incarnation     int64
	Addr            string
	Domain          string
	Rack            string
	Capacity        worker.Resources
	Free            worker.Resources
	ProjectedFree   [4]worker.Resources         // projected free resources at ProjectionHorizons
	TeamUsage       map[string]worker.Resources // resources in use by team, over all partitions
	UsageByPriority map[int]worker.Resources    // resources in use by priority, over all partitions
	QuickKind       string                      // latency-critical kind served on the host
	QuickLoad       float64                     // fraction of the backend server's slots in use, 0 to 1
	QuickRatio      float64                     // p99 latency of the latency-critical kind / its target; 0: unknown
	BatchCores      map[string]float64          // cores in use by kind of batch work
	WorkerFailing   bool                        // the agent attributes the recent task failures to the worker, not to the jobs
	Clock           time.Duration               // the agent's clock at the time of the report
}

// TaskInfo describes a task to be placed.
type TaskInfo struct {
	Ref             worker.Ref
	JobID           string
	Kind            string
	Team            string
	Need            worker.Resources // corrected by observed usage, see UsageCorrector
	ExpectedRunTime time.Duration    // expected run time, corrected
	Priority        int              // 0 to 100
	Submitted       time.Time
	Deadline        time.Time            // zero: none
	AvoidUntil      map[string]time.Time // workers on which it failed or was refused, and until when to avoid them
	MayProbe        bool                 // may be used to probe a worker on probation
}

// UrgentPriority is the lowest priority of urgent work, which is exempt from fair sharing and may preempt other work.
const UrgentPriority = 90

// Urgent reports whether the task has at least UrgentPriority.
func (t *TaskInfo) Urgent() bool { return t.Priority >= UrgentPriority }

// TeamShare is the quota and fair-share weight of a team, from the settings tree.
type TeamShare struct {
	Quota  worker.Resources // limit on running tasks; a zero field is unlimited
	Weight int              // fair share relative to other teams, at least 1
}

// InterferenceModel predicts the slowdown of latency-critical work by batch work; colocation.Model and colocation.MergedModel implement it.
type InterferenceModel interface {
	// Slowdown returns the relative slowdown of the kind quick per core of the kind batch, at a load from 0 to 1, and its deviation.
	Slowdown(quick, batch string, load float64) colocation.Estimate
}
