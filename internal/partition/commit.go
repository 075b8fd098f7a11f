package partition

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"bamboofork/internal/caslog"
	"bamboofork/internal/events"
	"bamboofork/internal/invariant"
	"bamboofork/internal/ledger"
	"bamboofork/internal/store"
)

// Timing and sizes of group commits.
const (
	groupDelay          = 4 * time.Millisecond // minimum time that a group waits for more operations
	maxGroupOps         = 2000                 // operations per record
	maxGroupBytes       = 400 << 10            // estimated bytes per record; the store limits a value to 1 MB
	appendBurst         = 20                   // burst of the append rate limiter
	commitRetryDelay    = 50 * time.Millisecond
	commitRetryMaxDelay = 2 * time.Second // limits the store calls of all owners during an outage
	commitTimeout       = 2 * time.Second // a group that the store rejects for this long is rolled back
	opBytes             = 120             // estimated bytes of an encoded operation without job or claim
	taskBytes           = 24              // estimated bytes of an encoded new task
	jobBytes            = 400             // estimated bytes of an encoded job without tasks and payload
	base64Expansion     = 2               // estimated growth of a payload, which is base64-encoded at most twice
)

// request is a set of operations that commit atomically.
type request struct {
	ops          []ledger.Op
	precondition func() error // checked under Owner.mu right before the operations are applied; nil if there is none
	done         chan error   // receives the result of the commit
	err          error        // why the operations could not be applied to the state
}

// size estimates the encoded size of the request in bytes.
func (r *request) size() int {
	n := 0
	for i := range r.ops {
		n += opBytes
		if job := r.ops[i].Job; job != nil {
			n += jobBytes + taskBytes*len(job.Tasks) + base64Expansion*len(job.Payload)
		}
		if claim := r.ops[i].Claim; claim != nil {
			n += jobBytes + base64Expansion*len(claim.Body)
		}
	}
	return n
}

// Commit makes the operations durable atomically. A ledger error means that the operations were not applicable to the state.
// That state is durable when Commit returns.
func (o *Owner) Commit(ctx context.Context, ops ...ledger.Op) error {
	return o.awaitResult(ctx, o.enqueue(ctx, nil, ops...))
}

// commitIf is Commit with a precondition that is checked under Owner.mu together with the operations.
func (o *Owner) commitIf(ctx context.Context, precondition func() error, ops ...ledger.Op) error {
	return o.awaitResult(ctx, o.enqueue(ctx, precondition, ops...))
}

func (o *Owner) enqueue(ctx context.Context, precondition func() error, ops ...ledger.Op) <-chan error {
	r := &request{ops: ops, precondition: precondition, done: make(chan error, 1)}
	select {
	case <-o.stopped:
		r.done <- ErrNotOwner
	case o.requests <- r:
	case <-ctx.Done():
		r.done <- ErrStoreUnavailable
	}
	return r.done
}

func (o *Owner) awaitResult(ctx context.Context, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-o.drained:
		select { // the result may have been sent just before the owner stopped
		case err := <-done:
			return err
		default:
			return ErrNotOwner
		}
	case <-ctx.Done():
		return ErrUncertain
	}
}

// run commits groups until ctx is done or ownership is lost, then rejects the queued requests.
func (o *Owner) run(ctx context.Context) error {
	defer o.rejectPending()
	ticker := time.NewTicker(ownershipCheckInterval)
	defer ticker.Stop()
	recordsSinceSnapshot := 0
	for {
		select {
		case <-ctx.Done():
			return o.release()
		case <-ticker.C:
			if o.ownership() == ownershipLost {
				return ErrNotOwner
			}
			continue
		case r := <-o.requests:
			// A graceful shutdown does not interrupt the commit of a group; the lease limits its duration.
			if err := o.commitGroup(context.WithoutCancel(ctx), o.collectGroup(r)); err != nil {
				return err
			}
		}
		if recordsSinceSnapshot++; recordsSinceSnapshot >= snapshotIntervalRecords {
			recordsSinceSnapshot = 0
			o.snapshot(ctx)
		}
	}
}

// collectGroup returns first and the requests that arrive after it, to be committed as one record. It waits for groupDelay,
// or longer if the append rate limit of this partition requires it. A full group does not wait any longer.
func (o *Owner) collectGroup(first *request) []*request {
	group := []*request{first}
	ops, size := len(first.ops), first.size()
	timer := time.NewTimer(max(groupDelay, o.appendLimiter.Reserve().Delay()))
	defer timer.Stop()
	for ops < maxGroupOps && size < maxGroupBytes {
		select {
		case r := <-o.requests:
			group = append(group, r)
			ops += len(r.ops)
			size += r.size()
		case <-timer.C:
			return group
		}
	}
	return group
}

// commitGroup applies the requests that are valid in the current state and appends them as one record. An invalid request
// gets its error only after the append: the cause may be another request of the group that is not durable before.
// commitGroup returns an error only if the owner must stop.
func (o *Owner) commitGroup(ctx context.Context, group []*request) error {
	undo, ops := o.applyGroup(group)
	var err error
	if len(ops) > 0 {
		err = o.append(ctx, recordData{Ops: ops})
	}
	if err != nil {
		events.CommitFailed.Log(&o.zlog).Err(err).Int("ops", len(ops)).Send()
		o.rollback(undo)
	} else {
		o.afterCommit(ops)
	}
	for _, r := range group {
		r.done <- ternary(err == nil, r.err, err)
	}
	if errors.Is(err, ErrStoreUnavailable) {
		return nil
	}
	return err
}

func (o *Owner) applyGroup(group []*request) (undo []ledger.Undo, ops []ledger.Op) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range group {
		var undoSteps []ledger.Undo
		if undoSteps, r.err = o.applyRequest(r); r.err != nil {
			continue
		}
		undo = append(undo, undoSteps...)
		ops = append(ops, r.ops...)
	}
	return undo, ops
}

func (o *Owner) applyRequest(r *request) ([]ledger.Undo, error) {
	if r.precondition != nil {
		if err := r.precondition(); err != nil {
			return nil, err
		}
	}
	undoSteps := []ledger.Undo{}
	for _, op := range r.ops {
		step, err := o.state.Apply(op)
		if err != nil {
			undoAll(undoSteps)
			return nil, err
		}
		undoSteps = append(undoSteps, step)
	}
	return undoSteps, nil
}

func undoAll(undoSteps []ledger.Undo) {
	for i := len(undoSteps) - 1; i >= 0; i-- {
		undoSteps[i]()
	}
}

func (o *Owner) rollback(undoSteps []ledger.Undo) {
	o.mu.Lock()
	defer o.mu.Unlock()
	undoAll(undoSteps)
}

// append writes one record and retries until the outcome is known. While the store is unavailable, an append with an uncertain
// outcome blocks, because no later decision may depend on that record. ErrNotOwner and ErrStoreUnavailable mean that nothing
// was written. After ErrUncertain the owner stops, and its successor finds out whether the record was written.
func (o *Owner) append(ctx context.Context, data recordData) error {
	payload, err := encodeRecord(data)
	if err != nil {
		return err
	}
	rec := caslog.Record{Seq: o.seq + 1, Epoch: o.epoch, Time: time.Now(), Data: payload}
	started, retryDelay, uncertain := time.Now(), commitRetryDelay, false
	for {
		switch o.ownership() {
		case ownershipLost:
			return ternary(uncertain, ErrUncertain, ErrNotOwner)
		case ownershipGrace:
			if !uncertain {
				return ErrStoreUnavailable
			}
		case ownershipValid:
			if rec, err = o.log.Append(ctx, rec); err == nil {
				err = o.confirm(ctx, rec)
			}
		}
		switch {
		case err == nil:
			o.advanceSeq(rec.Seq)
			return nil
		case errors.Is(err, caslog.ErrConflict):
			return ErrNotOwner
		case errors.Is(err, store.ErrTooLarge):
			return ErrStoreUnavailable
		case errors.Is(err, store.ErrUncertain):
			uncertain = true
		case !uncertain && time.Since(started) > commitTimeout:
			return ErrStoreUnavailable
		}
		select {
		case <-ctx.Done():
			return ternary(uncertain, ErrUncertain, ErrStoreUnavailable)
		case <-time.After(retryDelay/2 + rand.N(retryDelay)):
			retryDelay = min(2*retryDelay, commitRetryMaxDelay)
		}
	}
}

// confirm verifies an append whose response arrived after the lease expired; it returns nil if the record is part of the log.
// A successor may have compacted the log past this position by then. The creation of the key therefore proves nothing.
func (o *Owner) confirm(ctx context.Context, rec caslog.Record) error {
	if o.ownership() == ownershipValid {
		return nil
	}
	return o.log.CheckNotCompacted(ctx, rec)
}

// advanceSeq sets the sequence number of the newest record.
func (o *Owner) advanceSeq(seq int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	invariant.Check(seq == o.seq+1, "log_without_gaps", "partition %d: record %d after %d", o.id, seq, o.seq)
	o.seq = seq
}

func ternary[T any](cond bool, yes, no T) T {
	if cond {
		return yes
	}
	return no
}

// rejectPending marks the owner as lost, wakes its waiters and rejects the queued requests.
func (o *Owner) rejectPending() {
	o.mu.Lock()
	o.lost = true
	o.wakeAllWaiters()
	o.mu.Unlock()
	close(o.stopped)
	for {
		select {
		case r := <-o.requests:
			r.done <- ErrNotOwner
		default:
			close(o.drained)
			return
		}
	}
}

const releaseTimeout = 2 * time.Second

// release appends the release record, after which the successor need not wait for the outage hold. The record contains the
// longest remaining hold. This may be a hold inherited from an owner that did not release, and longer than Job.Hold.
func (o *Owner) release() error {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	o.mu.Lock()
	o.lost = true // no hold is granted after the release
	longest := o.longestHold(time.Now())
	o.mu.Unlock()
	err := o.append(ctx, recordData{Release: true, Wait: longest})
	events.PartitionReleased.Log(&o.zlog).AnErr("cause", err).Dur("holds_left", longest).Send()
	return nil
}
