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

// ownership derives the ownership from the lease of the process. If the lease is no longer the lease of the owner key, the
// key is gone and a successor may exist.
func (o *Owner) ownership() ownership {
	id, until, ok := o.keeper.Current()
	if id != o.ownerKeyLease {
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

// mayDecide reports whether this process may make decisions for the partition now.
func (o *Owner) mayDecide() bool {
	o.mu.Lock()
	lost := o.lost
	o.mu.Unlock()
	return !lost && o.ownership() == ownershipValid
}

// mayRenewHolds reports whether holds may be renewed now. During a store outage renewals are safe without a write: a successor
// does not place a running task again before the outage hold has expired.
func (o *Owner) mayRenewHolds() bool {
	if o.ownership() == ownershipLost {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.lost
}

// longestHold returns the longest remaining time of all holds; 0 if there are none. The caller holds mu.
func (o *Owner) longestHold(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, until := range o.holdExpiry {
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
		delete(o.finishedSeenAt, op.JobID)
	}
	if op.Ref == nil {
		o.wakeWaiters(op.JobID)
		return
	}
	job, _ := o.state.Task(op.Ref.Task)
	if op.Kind == ledger.OpPlace && job != nil {
		o.holdExpiry[*op.Ref] = time.Now().Add(job.Hold) // the hold also covers the offer, which is sent after this
		o.lastReports[*op.Ref] = attemptReport{at: time.Now(), incarnation: op.AgentInc}
		return
	}
	delete(o.holdExpiry, *op.Ref)
	delete(o.lastReports, *op.Ref)
	if job != nil && job.Finished() {
		o.dropFinishedJob(job)
	}
}

// dropFinishedJob drops the in-memory data of a finished job and wakes its waiters. The caller holds mu.
func (o *Owner) dropFinishedJob(job *ledger.Job) {
	for i := range job.Tasks {
		name := ledger.TaskRef(job.ID, i, 0).Task
		delete(o.consecutiveRefusals, name)
	}
	delete(o.unschedulableJobs, job.ID)
	o.wakeWaiters(job.ID)
}
