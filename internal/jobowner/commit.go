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
	// commitGap is the least time between two records. It groups transitions, so that the number of store calls stays
	// far below the store's rate; a record takes the store about as long.
	commitGap = 12 * time.Millisecond
	// idleWake bounds how late due times, stragglers and lost workers are noticed.
	idleWake = 100 * time.Millisecond
	// appendTimeout and appendTimeoutMax bound one attempt to write a record. A lost answer is only found by the time that
	// it takes, so attempts begin short and grow while the store is slow; a healthy store answers in 4 ms.
	appendTimeout    = 250 * time.Millisecond
	appendTimeoutMax = 2 * time.Second
	// appendSlack is the multiple of the last answer's time that the next attempt may take.
	appendSlack = 4
	// snapshotEvery is the number of records after which a snapshot replaces them; it bounds the reads of a recovery.
	snapshotEvery = 400
	// stuckAfter is how long a record may be unanswered before requests are refused instead of queued behind it, and before
	// a process that reaches the store may take over. Two lost answers in a row take less.
	stuckAfter = 900 * time.Millisecond
)

func decodeRecord(r caslog.Record) ([]jobs.Change, error) {
	if len(r.Data) == 0 {
		return nil, nil
	}
	var changes []jobs.Change
	err := json.Unmarshal(r.Data, &changes)
	return changes, eris.Wrapf(err, "decode record %d", r.Seq)
}

// commitLoop plans, groups the changes into records and runs their effects once they are durable.
func (o *Owner) commitLoop(ctx context.Context) error {
	timer := time.NewTimer(idleWake)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-o.wake:
		case <-timer.C:
		}
		timer.Reset(idleWake)
		committed, err := o.commit(ctx)
		if err != nil {
			return err
		}
		if committed {
			app.Sleep(ctx, commitGap)
		}
	}
	return nil
}

// commit writes one record. It reports false if there was nothing to write.
func (o *Owner) commit(ctx context.Context) (bool, error) {
	o.mu.Lock()
	o.maintain()
	o.plan()
	changes, effects := o.pending, o.effects
	o.pending, o.effects = nil, nil
	seq := o.lastSeq + 1
	if len(changes) == 0 {
		runAll(effects)
		o.flush()
		o.mu.Unlock()
		return false, nil
	}
	touched := map[*jobs.Job]bool{}
	for _, c := range changes {
		id := c.JobID
		if c.Submit != nil {
			id = c.Submit.ID
		}
		if j := o.state.Jobs[id]; j != nil {
			touched[j] = true
		}
	}
	// States are taken now: later changes are not in this record.
	shown := make(map[*jobs.Job]jobs.JobState, len(touched))
	for j := range touched {
		shown[j] = j.State()
	}
	data, err := json.Marshal(changes)
	var snapshot []byte // of the state after this record; later changes are not in it
	if err == nil && seq-o.snapAt >= snapshotEvery {
		snapshot, err = o.state.Encode()
	}
	o.mu.Unlock()
	if err != nil {
		return false, eris.Wrap(err, "encode changes")
	}
	if err := o.append(ctx, caslog.Record{Seq: seq, Epoch: o.epoch, Time: time.Now(), Data: data}); err != nil {
		return false, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastSeq = seq
	for j, state := range shown {
		j.Durable, j.Shown = true, state
	}
	runAll(effects)
	o.flush()
	o.cfg.Metrics.Counter("owner_records").Inc(1)
	o.cfg.Metrics.Counter("owner_changes").Inc(int64(len(changes)))
	if snapshot != nil {
		o.snapAt = seq
		go o.snapshot(ctx, seq, snapshot)
	}
	return true, nil
}

func runAll(effects []func()) {
	for _, f := range effects {
		f()
	}
}

// append writes the record until the store has answered. The same record is written again after a lost answer, so it
// takes effect once. It fails when another owner has fenced the log or ctx ends.
func (o *Owner) append(ctx context.Context, rec caslog.Record) error {
	began := boottime.Now()
	o.setStuck(began)
	defer o.setStuck(0)
	reported := false
	for {
		callCtx, cancel := context.WithTimeout(ctx, o.appendWait)
		var err error
		asked := boottime.Now()
		rec, err = o.log.Append(callCtx, rec)
		cancel()
		o.adaptWait(err, boottime.Now()-asked)
		if err == nil && !o.tenure.Confirmed() {
			err = o.confirm(ctx, rec)
		}
		if err == nil {
			o.cfg.Metrics.Histogram("owner_append_us").Update((boottime.Now() - began).Microseconds())
			if reported {
				events.StoreRecovered.Log(&o.cfg.Log).Int64("record", rec.Seq).Dur("after_ms", boottime.Now()-began).Send()
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
		app.Sleep(ctx, retryPause)
	}
}

// adaptWait sets how long the next attempt may take.
func (o *Owner) adaptWait(err error, took time.Duration) {
	switch {
	case err == nil:
		o.appendWait = min(appendTimeoutMax, max(appendTimeout, appendSlack*took))
	case errors.Is(err, store.ErrUncertain):
		o.appendWait = min(appendTimeoutMax, 2*o.appendWait)
	}
}

func (o *Owner) setStuck(from time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stuckFrom = from
}

// stuck reports whether the store has not answered for a while, so that a new job would wait behind it.
func (o *Owner) stuck() bool {
	return o.stuckFrom != 0 && boottime.Now()-o.stuckFrom > stuckAfter
}

// snapshot replaces the records up to seq. A failure leaves them for the next snapshot.
func (o *Owner) snapshot(ctx context.Context, seq int64, data []byte) {
	callCtx, cancel := context.WithTimeout(ctx, recoverTimeout)
	defer cancel()
	if err := o.log.Snapshot(callCtx, seq, o.epoch, data, seq+1); err != nil {
		events.CommitFailed.Log(&o.cfg.Log).Int64("record", seq).Err(err).Msg("snapshot not written")
	}
}

// confirm checks a record that was written while the lease was in doubt: a successor may have compacted the log past it.
func (o *Owner) confirm(ctx context.Context, rec caslog.Record) error {
	callCtx, cancel := context.WithTimeout(ctx, appendTimeoutMax)
	defer cancel()
	return o.log.Confirm(callCtx, rec)
}
