package jobowner

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"bamboofork/internal/app"
	"bamboofork/internal/boottime"
	"bamboofork/internal/caslog"
	"bamboofork/internal/events"
	"bamboofork/internal/jobs"
	"bamboofork/internal/store"
)

const (
	// minCommitInterval is the minimum time between two records. It batches transitions, so that the number of store calls
	// stays far below the store's rate limit; writing a record takes the store about as long.
	minCommitInterval = 12 * time.Millisecond
	// idleCheckInterval bounds the delay in detecting due times, stragglers and lost workers.
	idleCheckInterval = 100 * time.Millisecond
	// minAppendTimeout and maxAppendTimeout bound the timeout of one attempt to write a record. A lost response is detected only
	// by the timeout, so it starts short and grows while the store is slow; a healthy store responds in 4 ms.
	minAppendTimeout = 250 * time.Millisecond
	maxAppendTimeout = 2 * time.Second
	// appendTimeoutFactor is the timeout of the next attempt as a multiple of the last response time.
	appendTimeoutFactor = 4
	// recordsPerSnapshot is the number of records after which a snapshot replaces them; it bounds the reads during recovery.
	recordsPerSnapshot = 400
	// storeStallTimeout is how long the write of a record may stay unanswered before submissions are refused instead of queued
	// behind it, and before a process that reaches the store may take over. Two lost responses in a row take less.
	storeStallTimeout = 900 * time.Millisecond
)

func decodeRecord(r caslog.Record) ([]jobs.Change, error) {
	if len(r.Data) == 0 {
		return nil, nil
	}
	var changes []jobs.Change
	err := json.Unmarshal(r.Data, &changes)
	return changes, eris.Wrapf(err, "decode record %d", r.Seq)
}

// commitLoop plans, batches the changes into records and runs their effects once they are durable.
func (o *Owner) commitLoop(ctx context.Context) error {
	timer := time.NewTimer(idleCheckInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-o.wake:
		case <-timer.C:
		}
		timer.Reset(idleCheckInterval)
		committed, err := o.commit(ctx)
		if err != nil {
			return err
		}
		if committed {
			app.Sleep(ctx, minCommitInterval)
		}
	}
	return nil
}

// commit writes the pending changes as one record. It reports false if there were none.
func (o *Owner) commit(ctx context.Context) (bool, error) {
	o.mu.Lock()
	o.checkTimeouts()
	o.plan()
	changes, effects := o.pending, o.effects
	o.pending, o.effects = nil, nil
	seq := o.lastSeq + 1
	if len(changes) == 0 {
		runEffects(effects)
		o.sendQueuedCommands()
		o.mu.Unlock()
		return false, nil
	}
	changed := map[*jobs.Job]bool{}
	for _, c := range changes {
		id := c.JobID
		if c.Submit != nil {
			id = c.Submit.ID
		}
		if j := o.state.Jobs[id]; j != nil {
			changed[j] = true
		}
	}
	// The states are captured before the lock is released, because later changes are not in this record.
	states := make(map[*jobs.Job]jobs.JobState, len(changed))
	for j := range changed {
		states[j] = j.State()
	}
	data, err := json.Marshal(changes)
	var snapshot []byte // state after this record, without later changes
	if err == nil && seq-o.snapshotSeq >= recordsPerSnapshot {
		snapshot, err = o.state.Encode()
	}
	o.mu.Unlock()
	if err != nil {
		return false, eris.Wrap(err, "encode changes")
	}
	if err := o.appendRecord(ctx, caslog.Record{Seq: seq, Epoch: o.epoch, Time: time.Now(), Data: data}); err != nil {
		return false, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastSeq = seq
	for j, state := range states {
		j.Durable, j.DurableState = true, state
	}
	runEffects(effects)
	o.sendQueuedCommands()
	o.cfg.Metrics.Counter("owner_records").Inc(1)
	o.cfg.Metrics.Counter("owner_changes").Inc(int64(len(changes)))
	if snapshot != nil {
		o.snapshotSeq = seq
		go o.writeSnapshot(ctx, seq, snapshot)
	}
	return true, nil
}

func runEffects(effects []func()) {
	for _, f := range effects {
		f()
	}
}

// appendRecord writes the record, retrying until the store confirms it. The same record is written again after a lost response,
// so it takes effect once. It fails when another owner has fenced the log or ctx is done.
func (o *Owner) appendRecord(ctx context.Context, rec caslog.Record) error {
	start := boottime.Now()
	o.setAppendStart(start)
	defer o.setAppendStart(0)
	reported := false
	for {
		callCtx, cancel := context.WithTimeout(ctx, o.appendTimeout)
		var err error
		attemptStart := boottime.Now()
		rec, err = o.log.Append(callCtx, rec)
		cancel()
		o.adjustAppendTimeout(err, boottime.Now()-attemptStart)
		if err == nil && !o.ownership.LeaseValid() {
			err = o.confirmRecord(ctx, rec)
		}
		if err == nil {
			o.cfg.Metrics.Histogram("owner_append_us").Update((boottime.Now() - start).Microseconds())
			if reported {
				events.StoreRecovered.Log(&o.cfg.Log).Int64("record", rec.Seq).Dur("after_ms", boottime.Now()-start).Send()
			}
			return nil
		}
		if errors.Is(err, caslog.ErrConflict) {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if !reported {
			reported = true
			events.CommitFailed.Log(&o.cfg.Log).Int64("record", rec.Seq).Err(err).Msg("retrying the same record")
		}
		app.Sleep(ctx, retryDelay)
	}
}

// adjustAppendTimeout sets the timeout of the next attempt from the outcome of the last one.
func (o *Owner) adjustAppendTimeout(err error, took time.Duration) {
	switch {
	case err == nil:
		o.appendTimeout = min(maxAppendTimeout, max(minAppendTimeout, appendTimeoutFactor*took))
	case errors.Is(err, store.ErrUncertain):
		o.appendTimeout = min(maxAppendTimeout, 2*o.appendTimeout)
	}
}

func (o *Owner) setAppendStart(start time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.appendStart = start
}

// storeStalled reports whether the current write has been unanswered for longer than storeStallTimeout, so that a new job
// would be queued behind it.
func (o *Owner) storeStalled() bool {
	return o.appendStart != 0 && boottime.Now()-o.appendStart > storeStallTimeout
}

// writeSnapshot replaces the records up to seq by a snapshot. After a failure they stay until the next snapshot.
func (o *Owner) writeSnapshot(ctx context.Context, seq int64, data []byte) {
	callCtx, cancel := context.WithTimeout(ctx, recoverTimeout)
	defer cancel()
	if err := o.log.Snapshot(callCtx, seq, o.epoch, data, seq+1); err != nil {
		events.CommitFailed.Log(&o.cfg.Log).Int64("record", seq).Err(err).Msg("snapshot failed; the log keeps its records")
	}
}

// confirmRecord verifies a record that was written while the lease was not confirmed: a successor may have compacted the log
// past it.
func (o *Owner) confirmRecord(ctx context.Context, rec caslog.Record) error {
	callCtx, cancel := context.WithTimeout(ctx, maxAppendTimeout)
	defer cancel()
	return o.log.CheckNotCompacted(callCtx, rec)
}
