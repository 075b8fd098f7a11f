package partition

import (
	"time"

	"bamboofork/internal/ledger"
)

// ownershipCheck is how often an idle owner looks whether its lease was lost.
const ownershipCheck = time.Second

// ownership says what an owner may do now.
type ownership int

const (
	ownershipValid ownership = iota // the lease is valid: decide, write, give normal holds
	ownershipGrace                  // the store does not answer: keep running tasks going, decide nothing
	ownershipLost                   // the store ended the lease, or the outage lasts too long
)

// ownership reads the lease. A lease that the store ended, or a new lease of the same process, means that the owner
// key is gone and a successor may exist.
func (o *Owner) ownership() ownership {
	id, until, ok := o.keeper.Current()
	if id != o.lease {
		return ownershipLost
	}
	switch {
	case ok:
		return ownershipValid
	case time.Now().Before(until.Add(o.outage)):
		return ownershipGrace
	}
	return ownershipLost
}

// valid reports whether this process may decide for the partition now.
func (o *Owner) valid() bool {
	o.mu.Lock()
	lost := o.lost
	o.mu.Unlock()
	return !lost && o.ownership() == ownershipValid
}

// mayHold reports whether holds may be acknowledged now. During an outage that needs no writes: until the end of the
// outage hold a successor places nothing that was running.
func (o *Owner) mayHold() bool {
	if o.ownership() == ownershipLost {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.lost
}

// holdsLeft returns how long the longest hold may still last; mu is held.
func (o *Owner) holdsLeft(now time.Time) time.Duration {
	left := time.Duration(0)
	for _, until := range o.holds {
		left = max(left, until.Sub(now))
	}
	return left
}

// sighting is when and by which incarnation of its agent an attempt was last reported.
type sighting struct {
	at          time.Time
	incarnation int64
}

// afterCommit updates what is kept in memory beside the ledger.
func (o *Owner) afterCommit(ops []ledger.Op) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range ops {
		o.afterOp(&ops[i])
	}
}

func (o *Owner) afterOp(op *ledger.Op) {
	if op.Kind == ledger.OpPrune {
		delete(o.finished, op.JobID)
	}
	if op.Ref == nil {
		o.wake(op.JobID)
		return
	}
	job, _ := o.state.Task(op.Ref.Task)
	if op.Kind == ledger.OpPlace && job != nil {
		o.holds[*op.Ref] = time.Now().Add(job.Hold) // covers the offer that follows
		o.seen[*op.Ref] = sighting{at: time.Now(), incarnation: op.AgentInc}
		return
	}
	delete(o.holds, *op.Ref)
	delete(o.seen, *op.Ref)
	if job != nil && job.Finished() {
		o.forgetJob(job)
	}
}

// forgetJob drops the explanations of a finished job and wakes its waiters; mu is held.
func (o *Owner) forgetJob(job *ledger.Job) {
	for i := range job.Tasks {
		name := ledger.TaskRef(job.ID, i, 0).Task
		delete(o.refusals, name)
	}
	delete(o.aside, job.ID)
	o.wake(job.ID)
}
