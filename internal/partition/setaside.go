package partition

import (
	"fmt"
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/ledger"
	"bamboofork/internal/scheduler"
	"bamboofork/internal/worker"
)

// Timing of jobs that no worker can run.
const (
	asideAfter   = 5 * time.Second  // a job is set aside when no known worker was large enough for this long
	asideRecheck = 10 * time.Second // mean time between examinations of a job that is set aside
)

// setAside is a job whose tasks need more than any known worker has. It is kept in memory only: a successor finds it
// again, and no store call is spent on a job that does nothing.
type setAside struct {
	since  time.Time // when no worker was large enough for the first time
	until  time.Time // not examined before; zero while the job is still offered
	reason string
}

// tooLarge reports whether no worker could run a task even when idle.
func tooLarge(nodes []scheduler.NodeInfo, need worker.Resources) bool {
	for i := range nodes {
		if need.Fits(nodes[i].Capacity) {
			return false
		}
	}
	return len(nodes) > 0
}

// examine notes whether a job can run at all. It returns false if the job is set aside; mu is held.
func (o *Owner) examine(job *ledger.Job, nodes []scheduler.NodeInfo, now time.Time) bool {
	a, known := o.aside[job.ID]
	if !tooLarge(nodes, job.Need) {
		if known && !a.until.IsZero() {
			events.JobTakenBack.Log(&o.zlog).Str("job", job.ID).Send()
		}
		delete(o.aside, job.ID)
		return true
	}
	if !known {
		a.since = now
	}
	if now.Sub(a.since) < asideAfter {
		o.aside[job.ID] = a
		return true
	}
	if a.until.IsZero() {
		events.JobSetAside.Log(&o.zlog).Str("job", job.ID).Int("workers", len(nodes)).Send()
	}
	a.reason = fmt.Sprintf("set aside: each task needs %g cores, %d MB and %d accelerators, more than any of %d workers has",
		job.Need.Cores, job.Need.MemoryMB, job.Need.Accelerators, len(nodes))
	a.until = now.Add(jitter(asideRecheck))
	o.aside[job.ID] = a
	for i := range job.Tasks {
		if name := ledger.TaskRef(job.ID, i, 0).Task; job.Tasks[i].State == ledger.TaskPending {
			o.planner.note(name, "set aside", a.reason)
		}
	}
	return false
}
