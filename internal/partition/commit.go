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

// Timing and sizes of commits.
const (
	groupDelay      = 4 * time.Millisecond // waits for more operations to share a record
	maxGroup        = 2000                 // operations per record
	maxGroupBytes   = 400 << 10            // estimated bytes per record; the store holds values of up to 1 MB
	appendBurst     = 20                   // appends that need not wait for the pace
	commitRetry     = 50 * time.Millisecond
	commitRetryMax  = 2 * time.Second // bounds the calls of all owners while the store is down
	commitPatience  = 2 * time.Second // a group that the store refuses for this long is rolled back
	opBytes         = 120             // estimated encoding of an operation without job or claim
	taskBytes       = 24              // estimated encoding of a new task
	jobBytes        = 400             // estimated encoding of a job without tasks and payload
	base64Expansion = 2               // payloads are encoded twice as text at most
)

// request is a set of operations that commit together or not at all.
type request struct {
	ops  []ledger.Op
	when func() error // checked under the state's lock right before the operations are applied; nil: always
	done chan error
	err  error // why the request does not fit the state
}

// size estimates the encoded bytes of the request.
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

// Commit makes the operations durable together. ledger errors mean that they did not fit the state, which is durable
// when Commit returns.
func (o *Owner) Commit(ctx context.Context, ops ...ledger.Op) error {
	return o.wait(ctx, o.enqueue(ctx, nil, ops...))
}

// commitIf is Commit with a condition that is checked under the state's lock together with the operations.
func (o *Owner) commitIf(ctx context.Context, when func() error, ops ...ledger.Op) error {
	return o.wait(ctx, o.enqueue(ctx, when, ops...))
}

func (o *Owner) enqueue(ctx context.Context, when func() error, ops ...ledger.Op) <-chan error {
	r := &request{ops: ops, when: when, done: make(chan error, 1)}
	select {
	case <-o.ended:
		r.done <- ErrNotOwner
	case o.requests <- r:
	case <-ctx.Done():
		r.done <- ErrNoStore
	}
	return r.done
}

func (o *Owner) wait(ctx context.Context, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-o.drained:
		select { // the answer may have been given just before the owner ended
		case err := <-done:
			return err
		default:
			return ErrNotOwner
		}
	case <-ctx.Done():
		return ErrUncertain
	}
}

// run commits groups until ctx ends or ownership is lost, then refuses what waits.
func (o *Owner) run(ctx context.Context) error {
	defer o.refuseWaiting()
	ticker := time.NewTicker(ownershipCheck)
	defer ticker.Stop()
	sinceSnapshot := 0
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
			// A planned stop does not cut off a group on its way; the lease bounds its time.
			if err := o.commitGroup(context.WithoutCancel(ctx), o.gather(r)); err != nil {
				return err
			}
		}
		if sinceSnapshot++; sinceSnapshot >= snapshotEvery {
			sinceSnapshot = 0
			o.snapshot(ctx)
		}
	}
}

// gather waits for more requests to share the record: a little while appends are rare, and as long as the pace of
// this partition's share of the store's writes asks for when they are frequent.
func (o *Owner) gather(first *request) []*request {
	group := []*request{first}
	ops, size := len(first.ops), first.size()
	timer := time.NewTimer(max(groupDelay, o.pace.Reserve().Delay()))
	defer timer.Stop()
	for ops < maxGroup && size < maxGroupBytes {
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

// commitGroup applies the requests that fit the state and appends them as one record. A request that does not fit is
// answered together with the others: it may not fit because of one of them, which is not durable yet. commitGroup
// returns an error only when ownership ended.
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
		r.done <- pick(err == nil, r.err, err)
	}
	if errors.Is(err, ErrNoStore) {
		return nil
	}
	return err
}

func (o *Owner) applyGroup(group []*request) (undo []ledger.Undo, ops []ledger.Op) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range group {
		var steps []ledger.Undo
		if steps, r.err = o.applyRequest(r); r.err != nil {
			continue
		}
		undo = append(undo, steps...)
		ops = append(ops, r.ops...)
	}
	return undo, ops
}

func (o *Owner) applyRequest(r *request) ([]ledger.Undo, error) {
	if r.when != nil {
		if err := r.when(); err != nil {
			return nil, err
		}
	}
	steps := []ledger.Undo{}
	for _, op := range r.ops {
		step, err := o.state.Apply(op)
		if err != nil {
			revert(steps)
			return nil, err
		}
		steps = append(steps, step)
	}
	return steps, nil
}

func revert(steps []ledger.Undo) {
	for i := len(steps) - 1; i >= 0; i-- {
		steps[i]()
	}
}

func (o *Owner) rollback(steps []ledger.Undo) {
	o.mu.Lock()
	defer o.mu.Unlock()
	revert(steps)
}

// append writes one record and resolves a lost answer. While the store does not answer, an append whose outcome is
// open waits: nothing else may be decided on top of it. Errors: ErrNotOwner and ErrNoStore (no effect),
// ErrUncertain (the owner ends and a successor decides).
func (o *Owner) append(ctx context.Context, data recordData) error {
	payload, err := encodeRecord(data)
	if err != nil {
		return err
	}
	rec := caslog.Record{Seq: o.seq + 1, Epoch: o.epoch, Time: time.Now(), Data: payload}
	started, pause, open := time.Now(), commitRetry, false
	for {
		switch o.ownership() {
		case ownershipLost:
			return pick(open, ErrUncertain, ErrNotOwner)
		case ownershipGrace:
			if !open {
				return ErrNoStore
			}
		case ownershipValid:
			if rec, err = o.log.Append(ctx, rec); err == nil {
				err = o.confirm(ctx, rec)
			}
		}
		switch {
		case err == nil:
			o.advance(rec.Seq)
			return nil
		case errors.Is(err, caslog.ErrConflict):
			return ErrNotOwner
		case errors.Is(err, store.ErrTooLarge):
			return ErrNoStore
		case errors.Is(err, store.ErrUncertain):
			open = true
		case !open && time.Since(started) > commitPatience:
			return ErrNoStore
		}
		select {
		case <-ctx.Done():
			return pick(open, ErrUncertain, ErrNoStore)
		case <-time.After(pause/2 + rand.N(pause)):
			pause = min(2*pause, commitRetryMax)
		}
	}
}

// confirm checks an append that was answered after the lease's end. A successor may then have compacted the log
// past this position, so that creating the key proves nothing.
func (o *Owner) confirm(ctx context.Context, rec caslog.Record) error {
	if o.ownership() == ownershipValid {
		return nil
	}
	return o.log.Confirm(ctx, rec)
}

// advance notes that record seq is the newest.
func (o *Owner) advance(seq int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	invariant.Check(seq == o.seq+1, "log_without_gaps", "partition %d: record %d after %d", o.id, seq, o.seq)
	o.seq = seq
}

func pick[T any](cond bool, yes, no T) T {
	if cond {
		return yes
	}
	return no
}

func (o *Owner) refuseWaiting() {
	o.mu.Lock()
	o.lost = true
	o.wakeAll()
	o.mu.Unlock()
	close(o.ended)
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

// release tells the successor that it need not wait out an outage hold. Holds inherited from an owner that did not
// release may last longer than those given here, so the record states the longest.
func (o *Owner) release() error {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	o.mu.Lock()
	o.lost = true // no hold is given after the release
	left := o.holdsLeft(time.Now())
	o.mu.Unlock()
	err := o.append(ctx, recordData{Release: true, Wait: left})
	events.PartitionReleased.Log(&o.zlog).AnErr("cause", err).Dur("holds_left", left).Send()
	return nil
}
