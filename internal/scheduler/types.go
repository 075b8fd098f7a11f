// Package scheduler places batch tasks on workers. It does no I/O: its inputs are worker reports and pending tasks, its
// outputs are placement decisions. Plugins filter and score the workers and are notified of placements. The cache holds the
// reports and the placements that are not in a report yet. The queue orders the pending tasks. Several schedulers decide
// concurrently on stale reports (optimistic concurrency), and the agent on the chosen host admits or refuses each placement.
package scheduler

import (
	"time"

	"bamboofork/internal/colocation"
	"bamboofork/internal/worker"
)

// ProjectionHorizons are the times after a report for which an agent projects the free resources of its host.
var ProjectionHorizons = [4]time.Duration{time.Minute, 5 * time.Minute, 30 * time.Minute, 2 * time.Hour}

// NodeInfo is the reported state of one worker. It is stale by up to the load report interval plus the dissemination delay.
type NodeInfo struct {
	ID                  string
	Incarnation         int64
	Addr                string
	Domain              string // failure domain
	Rack                string
	Capacity            worker.Resources
	Free                worker.Resources
	ProjectedFree       [4]worker.Resources         // projected free resources at ProjectionHorizons
	TeamUsage           map[string]worker.Resources // resources in use by team, over all partitions
	UsageByPriority     map[int]worker.Resources    // resources in use by priority, over all partitions
	LatencyCriticalKind string                      // kind of the latency-critical requests served on the host; empty: none
	BackendLoad         float64                     // fraction of the backend server's slots in use, 0 to 1
	LatencyRatio        float64                     // p99 latency of the latency-critical requests divided by the latency target; 0: unknown
	BatchCores          map[string]float64          // cores in use, by kind of batch work
	IsWorkerFailing     bool                        // the agent attributes the recent task failures to the worker, not to the jobs
	AgentClock          time.Duration               // the agent's clock at the time of the report
}

// TaskInfo describes a task to be placed.
type TaskInfo struct {
	Ref             worker.Ref
	JobID           string
	Kind            string
	Team            string
	Need            worker.Resources // corrected by observed usage, see UsageCorrector
	ExpectedRunTime time.Duration    // declared run time, corrected by observed run times
	Priority        int              // 0 (lowest) to 100; see UrgentPriority
	SubmittedAt     time.Time
	Deadline        time.Time            // zero: none
	AvoidUntil      map[string]time.Time // by worker on which the task failed or was refused: time until which the task avoids the worker
	MayProbe        bool                 // the task may be the probe of a worker on probation
}

// UrgentPriority is the lowest priority of urgent work, which is exempt from fair sharing and may preempt other work.
const UrgentPriority = 90

// Urgent reports whether the task has at least UrgentPriority.
func (t *TaskInfo) Urgent() bool { return t.Priority >= UrgentPriority }

// TeamShare is the quota and fair-share weight of a team, from the settings tree.
type TeamShare struct {
	Quota  worker.Resources // limit on the resources of running tasks; a zero field means no limit
	Weight int              // fair share relative to the weights of other teams, at least 1
}

// InterferenceModel predicts the slowdown of latency-critical work by batch work. colocation.Model and colocation.MergedModel
// implement InterferenceModel.
type InterferenceModel interface {
	// Slowdown estimates the relative slowdown of requests of the kind quick per core that work of the kind batch uses. load is
	// the fraction of the backend server's slots in use, 0 to 1. The estimate has a mean and a standard deviation.
	Slowdown(quick, batch string, load float64) colocation.Estimate
}
