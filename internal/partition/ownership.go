package partition

import (
	"time"

	"bamboofork/internal/ledger"
)

// ownershipCheckInterval is how often an idle owner checks whether its lease was lost.
const ownershipCheckInterval = time.Second

// ownership states what an owner may currently do.
type ownership int

const (
	ownershipValid ownership = iota // the lease is valid: the owner decides, writes and grants holds
	ownershipGrace                  // the store is unavailable: the owner renews holds of running tasks and decides nothing
	ownershipLost                   // the lease was revoked or replaced, or the outage exceeds the outage hold
)

// ownership derives the ownership from the lease. If the process has no lease or a new one, the owner key is gone and a
// successor may exist.
func (o *Owner) ownership() ownership {
	id, until, ok := o.keeper.Current()
	if id != o.lease {
		return ownershipLost
	}
	switch {
	case ok:
		return ownershipValid
	case time.Now().Before(until.Add(o.outageHold)):
		return ownershipGrace
	}
	return ownershipLost
}

// valid reports whether this process may make decisions for the partition now.
func (o *Owner) valid() bool {
	o.mu.Lock()
	lost := o.lost
	o.mu.Unlock()
	return !lost && o.ownership() == ownershipValid
}

// mayRenewHolds reports whether holds may be renewed now. During a store outage this is safe without a write, because
// until the end of the outage hold a successor places no task that was running.
func (o *Owner) mayRenewHolds() bool {
	if o.ownership() == ownershipLost {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.lost
}

// longestHold returns the longest remaining time of all holds. The caller holds mu.
func (o *Owner) longestHold(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, until := range o.holds {
		longest = max(longest, until.Sub(now))
	}
	return longest
}

// attemptReport is the time of the last report of an attempt and the incarnation of the agent that sent it.
type attemptReport struct {
	at          time.Time
	incarnation int64
}

// afterCommit updates the in-memory data outside the ledger after operations have become durable.
func (o *Owner) afterCommit(ops []ledger.Op) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range ops {
		o.afterOp(&ops[i])
	}
}

// afterOp updates the in-memory data for one operation. The caller holds mu.
func (o *Owner) afterOp(op *ledger.Op) {
	if op.Kind == ledger.OpPrune {
		delete(o.finishedSince, op.JobID)
	}
	if op.Ref == nil {
		o.wakeWaiters(op.JobID)
		return
	}
	job, _ := o.state.Task(op.Ref.Task)
	if op.Kind == ledger.OpPlace && job != nil {
		o.holds[*op.Ref] = time.Now().Add(job.Hold) // covers the offer that is sent next
		o.lastReports[*op.Ref] = attemptReport{at: time.Now(), incarnation: op.AgentInc}
		return
	}
	delete(o.holds, *op.Ref)
	delete(o.lastReports, *op.Ref)
	if job != nil && job.Finished() {
		o.dropJobState(job)
	}
}

// dropJobState drops the in-memory data of a finished job and wakes its waiters. The caller holds mu.
func (o *Owner) dropJobState(job *ledger.Job) {
	for i := range job.Tasks {
		name := ledger.TaskRef(job.ID, i, 0).Task
		delete(o.refusals, name)
	}
	delete(o.unschedulable, job.ID)
	o.wakeWaiters(job.ID)
}
