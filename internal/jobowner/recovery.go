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
	"bamboofork/internal/jobs"
	"bamboofork/internal/store"
)

// maxRecoveryAttemptTimeout bounds one attempt of a recovery. The time of an attempt doubles up to this bound, because a host
// with little CPU time cannot load a large log within bulkCallTimeout while the store is slow.
const maxRecoveryAttemptTimeout = 12 * time.Second

// logRecovery loads the jobs from the log and fences the log. It keeps what earlier attempts have loaded, so that a record that
// the previous owner appends in the meantime costs the reading of that record and not of the whole log.
type logRecovery struct {
	jobLog         *caslog.Log
	attemptTimeout time.Duration
	state          *jobs.State // nil: nothing loaded yet
	snapshotSeq    int64
	lastSeq        int64           // newest record that state contains
	lastEpoch      int64           // epoch of that record; an owner writes snapshots of its own records only
	epochs         []recordedEpoch // of the records after the snapshot, oldest first
	// heardEpochs has the newest of the epochs whose owner has recorded that it has heard from an agent, by agent.
	heardEpochs map[string]int64
	fence       caslog.Record
	// loadTime is the time spent on reading and decoding; recordCount and snapshotBytes are what was read.
	loadTime      time.Duration
	recordCount   int
	snapshotBytes int
	tailBytes     int64   // of the records after the snapshot
	unreadable    []int64 // positions whose content is not that of a record of the jobs
}

// recordedEpoch is the epoch of an owner whose records follow the snapshot.
type recordedEpoch struct {
	epoch int64
	// previous is the epoch of the owner before; 0: there was none.
	previous int64
	// complete means that all records of the epoch are in the log, and that its owner has recorded which agents it has heard from. Only
	// then it is known which agents it has not heard from.
	complete bool
}

// attempt loads what is missing and appends the fence. It returns caslog.ErrConflict if another owner has appended a record in
// the meantime; the next attempt continues with that record.
func (r *logRecovery) attempt(ctx context.Context) error {
	attemptCtx, cancel := context.WithTimeout(ctx, r.attemptTimeout)
	defer cancel()
	start := boottime.Now()
	err := r.load(attemptCtx)
	r.loadTime += boottime.Now() - start
	if err == nil {
		err = r.appendFence(attemptCtx)
	}
	if err != nil && attemptCtx.Err() != nil {
		r.attemptTimeout = min(2*r.attemptTimeout, maxRecoveryAttemptTimeout)
	}
	return err
}

// load reads the log, or only the records after lastSeq if an earlier attempt has read the rest. If these have been compacted,
// the next attempt reads the log from the snapshot.
func (r *logRecovery) load(ctx context.Context) error {
	if r.state != nil {
		records, err := r.jobLog.Read(ctx, r.lastSeq+1)
		if errors.Is(err, store.ErrCompacted) {
			r.state = nil
		}
		if err != nil {
			return err
		}
		r.applyRecords(records)
		return nil
	}
	loaded, err := r.jobLog.Load(ctx)
	if err != nil {
		return err
	}
	state, err := jobs.Decode(loaded.Snapshot)
	if err != nil {
		return err
	}
	r.snapshotBytes = len(loaded.Snapshot)
	r.state, r.snapshotSeq, r.lastSeq, r.lastEpoch = state, loaded.SnapshotSeq, loaded.SnapshotSeq, loaded.SnapshotEpoch
	r.epochs, r.heardEpochs, r.unreadable, r.tailBytes = nil, map[string]int64{}, nil, 0
	loaded.Snapshot = nil // not beside the records
	r.applyRecords(loaded.Records)
	return nil
}

// applyRecords applies the changes in the records. A position that another writer has filled has no effect, and owners of this version
// all skip it. What its epoch has recorded then counts as incomplete.
func (r *logRecovery) applyRecords(records []caslog.Record) {
	for _, record := range records {
		changes, err := decodeRecord(record)
		if err != nil || record.Unreadable {
			r.unreadable = append(r.unreadable, record.Seq)
			r.lastSeq = record.Seq
			if len(r.epochs) > 0 {
				r.epochs[len(r.epochs)-1].complete = false
			}
			continue
		}
		beginsTerm := false
		for _, change := range changes {
			r.state.Apply(change)
			if heard := change.Heard; heard != nil {
				r.heardEpochs[heard.Agent] = max(r.heardEpochs[heard.Agent], heard.Epoch)
			}
			beginsTerm = beginsTerm || change.Term != nil && change.Term.Epoch == record.Epoch
		}
		if len(r.epochs) == 0 || record.Epoch != r.lastEpoch {
			isFence := record.Seq == record.Epoch
			r.epochs = append(r.epochs, recordedEpoch{epoch: record.Epoch, previous: r.lastEpoch, complete: isFence && beginsTerm})
		}
		r.lastSeq, r.lastEpoch = record.Seq, record.Epoch
		r.recordCount++
		r.tailBytes += int64(len(record.Data))
	}
}

// appendFence appends the fence after the newest record that has been loaded. It repeats the same write while its outcome is
// uncertain. The previous owner may have replaced the records by a snapshot since they were read, which frees the position of
// the fence; appendFence then returns caslog.ErrConflict and the next attempt loads the snapshot.
func (r *logRecovery) appendFence(ctx context.Context) error {
	epoch := r.lastSeq + 1
	data, err := json.Marshal([]jobs.Change{{Term: &jobs.Term{Epoch: epoch}}})
	if err != nil {
		return eris.Wrap(err, "encode fence")
	}
	fence := caslog.Record{Seq: epoch, Epoch: epoch, Time: time.Now(), Data: data}
	for timeout := minAppendTimeout; ; timeout = min(2*timeout, maxAppendTimeout) {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		var err error
		fence, err = r.jobLog.Append(callCtx, fence)
		cancel()
		if err == nil {
			r.fence = fence
			return r.confirmFence(ctx)
		}
		if !errors.Is(err, store.ErrUncertain) || ctx.Err() != nil {
			return err
		}
		app.Sleep(ctx, retryDelay)
	}
}

// confirmFence checks that no snapshot covers the position of the fence.
func (r *logRecovery) confirmFence(ctx context.Context) error {
	err := r.jobLog.CheckNotCompacted(ctx, r.fence)
	if errors.Is(err, caslog.ErrConflict) {
		r.state = nil
	}
	return err
}
