package partition

import (
	"fmt"
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/ledger"
	"bamboofork/internal/scheduler"
	"bamboofork/internal/worker"
)

// Timing of the check for jobs that no worker can run.
const (
	setAsideDelay           = 5 * time.Second  // a job is set aside if no known worker has been large enough for this long
	setAsideRecheckInterval = 10 * time.Second // mean interval between checks of a job that is set aside
)

// unschedulableJob describes a job whose tasks need more than any known worker has. The record is kept in memory only, to save
// store calls. A successor detects the job again.
type unschedulableJob struct {
	since     time.Time // when the job was first found too large for every worker
	nextCheck time.Time // the next check; zero until the job is set aside
	reason    string    // explanation for the job's tasks
}

// exceedsAllWorkers reports whether a task needs more than the capacity of every known worker; false if no worker is known.
func exceedsAllWorkers(nodes []scheduler.NodeInfo, need worker.Resources) bool {
	for i := range nodes {
		if need.Fits(nodes[i].Capacity) {
			return false
		}
	}
	return len(nodes) > 0
}

// checkSchedulable sets a job aside if no known worker has been large enough for setAsideDelay, and takes it back if one is. It
// reports whether the job may be scheduled now. The caller holds mu.
func (o *Owner) checkSchedulable(job *ledger.Job, nodes []scheduler.NodeInfo, now time.Time) bool {
	entry, known := o.unschedulableJobs[job.ID]
	if !exceedsAllWorkers(nodes, job.Need) {
		if known && !entry.nextCheck.IsZero() {
			events.JobTakenBack.Log(&o.zlog).Str("job", job.ID).Send()
		}
		delete(o.unschedulableJobs, job.ID)
		return true
	}
	if !known {
		entry.since = now
	}
	if now.Sub(entry.since) < setAsideDelay {
		o.unschedulableJobs[job.ID] = entry
		return true
	}
	if entry.nextCheck.IsZero() {
		events.JobSetAside.Log(&o.zlog).Str("job", job.ID).Int("workers", len(nodes)).Send()
	}
	entry.reason = fmt.Sprintf("set aside: each task needs %g cores, %d MB and %d accelerators, more than any of %d workers has",
		job.Need.Cores, job.Need.MemoryMB, job.Need.Accelerators, len(nodes))
	entry.nextCheck = now.Add(jitter(setAsideRecheckInterval))
	o.unschedulableJobs[job.ID] = entry
	for i := range job.Tasks {
		if name := ledger.TaskRef(job.ID, i, 0).Task; job.Tasks[i].State == ledger.TaskPending {
			o.planner.recordDecision(name, "set aside", entry.reason)
		}
	}
	return false
}
