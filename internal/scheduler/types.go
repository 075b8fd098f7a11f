// Package scheduler places batch tasks. It does no I/O: reports about workers and pending tasks go in, decisions come
// out. Filter, score and reserve plugins decide about one worker; the cache remembers what was decided but not yet
// reported; the queue orders what waits. Several schedulers work at once on stale reports, and the agent on the chosen
// host admits or refuses.
package scheduler

import (
	"time"

	"bamboofork/internal/colocation"
	"bamboofork/internal/worker"
)

// Horizons are the times after a report for which an agent projects its free room.
var Horizons = [4]time.Duration{time.Minute, 5 * time.Minute, 30 * time.Minute, 2 * time.Hour}

// NodeInfo is one worker as a scheduler sees it. It is stale by up to the load report interval plus the dissemination.
type NodeInfo struct {
	ID          string
	Incarnation int64
	Addr        string
	Domain      string
	Rack        string
	Capacity    worker.Resources
	Free        worker.Resources
	FreeAt      [4]worker.Resources         // projected free room at Horizons
	Teams       map[string]worker.Resources // use by team, over all partitions
	Preemptible map[int]worker.Resources    // room in use by priority, over all partitions
	QuickKind   string                      // latency-critical kind served on the host
	QuickLoad   float64                     // share of the backend server's slots in use, 0 to 1
	QuickRatio  float64                     // p99 of the latency-critical kind / its target, 0: not known
	BatchCores  map[string]float64          // cores in use by kind of batch work
	Failing     bool                        // the agent has evidence that the worker fails what it starts
	Clock       time.Duration               // the agent's clock when it wrote the report
}

// TaskInfo is a task to be placed.
type TaskInfo struct {
	Ref       worker.Ref
	JobID     string
	Kind      string
	Team      string
	Need      worker.Resources // corrected by what was observed, see Sizing
	Run       time.Duration    // expected run time, corrected
	Priority  int              // 0 to 100
	Submitted time.Time
	Deadline  time.Time            // zero: none
	Avoid     map[string]time.Time // workers that failed or refused it, and until when to avoid them
	Probe     bool                 // may be used to probe a quarantined worker
}

// UrgentPriority is the lowest priority of urgent work: it goes before all shares and may preempt.
const UrgentPriority = 90

// Urgent reports whether the task is urgent.
func (t *TaskInfo) Urgent() bool { return t.Priority >= UrgentPriority }

// TeamShare is the quota and weight of a team from the settings tree.
type TeamShare struct {
	Quota  worker.Resources // of running tasks; a zero field is unlimited
	Weight int              // fair share relative to other teams, at least 1
}

// Effects predicts the slowdown of latency-critical work; colocation.Model and colocation.Merged implement it.
type Effects interface {
	// Effect returns the relative slowdown of quick per core of batch work at the load (0 to 1), and its deviation.
	Effect(quick, batch string, load float64) colocation.Estimate
}
