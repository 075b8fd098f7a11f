package jobowner

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"bamboofork/internal/app"
	"bamboofork/internal/boottime"
	"bamboofork/internal/caslog"
	"bamboofork/internal/election"
	"bamboofork/internal/events"
	"bamboofork/internal/jobs"
	"bamboofork/internal/store"
)

const (
	// minCommitInterval is the minimum time between two records. The interval batches transitions, so that the number of store
	// calls stays far below the rate limit of the store. Writing a record takes the store about as long.
	minCommitInterval = 12 * time.Millisecond
	// idleCheckInterval bounds the delay in detecting due times, stragglers and lost workers.
	idleCheckInterval = 100 * time.Millisecond
	// minAppendTimeout and maxAppendTimeout bound the timeout of one attempt to write a record. A lost response is detected only
	// by the timeout. The timeout therefore starts short and grows while the store is slow. A healthy store responds in 4 ms.
	minAppendTimeout = 250 * time.Millisecond
	maxAppendTimeout = 2 * time.Second
	// appendTimeoutFactor is the timeout of the next attempt as a multiple of the last response time.
	appendTimeoutFactor = 4
	// defaultRecordsPerSnapshot is the number of records after which a snapshot replaces them. The number bounds the reads during
	// recovery.
	defaultRecordsPerSnapshot = 150
	// storeStallTimeout is how long the write of a record may stay unanswered before the owner refuses submissions instead of
	// queueing them behind the write. After the same time a process that reaches the store may take over. Two lost responses in
	// a row take less time.
	storeStallTimeout = 900 * time.Millisecond
)

// maxRecordBytes is the maximum size of the changes in a record. It leaves room for the other fields of the record in a value.
const maxRecordBytes = store.MaxValueBytes - 4<<10

// encodeChanges returns the data of the records that hold the changes, in order: one record, unless the changes are too large for
// a value of the store.
func encodeChanges(changes []jobs.Change) ([]json.RawMessage, error) {
	data, err := json.Marshal(changes)
	if err != nil {
		return nil, eris.Wrap(err, "encode changes")
	}
	if len(data) <= maxRecordBytes || len(changes) == 1 {
		return []json.RawMessage{data}, nil
	}
	half := len(changes) / 2
	first, err := encodeChanges(changes[:half])
	if err != nil {
		return nil, err
	}
	second, err := encodeChanges(changes[half:])
	return append(first, second...), err
}

// decodeRecord returns the changes in a record. A fence of an older version has no data and therefore no changes.
func decodeRecord(r caslog.Record) ([]jobs.Change, error) {
	if len(r.Data) == 0 {
		return nil, nil
	}
	var changes []jobs.Change
	err := json.Unmarshal(r.Data, &changes)
	return changes, eris.Wrapf(err, "decode record %d", r.Seq)
}

// commitLoop commits the pending changes when it is woken, and at least once per idleCheckInterval, until ctx is done. It
// returns an error when the term has to end.
func (o *Owner) commitLoop(ctx context.Context) error {
	timer := time.NewTimer(idleCheckInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-o.wakeCommit:
		case <-timer.C:
		}
		committed, err := o.commit(ctx)
		if err != nil {
			return err
		}
		timer.Reset(o.untilNextCommit())
		if committed {
			app.Sleep(ctx, minCommitInterval)
		}
	}
	return nil
}

// untilNextCommit returns the time after which the commit loop runs without being woken: the rest of the pause between two
// planning passes if a pass was postponed, and idleCheckInterval otherwise.
func (o *Owner) untilNextCommit() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.planPostponed {
		return min(idleCheckInterval, max(time.Millisecond, o.nextPlanAt-boottime.Now()))
	}
	return idleCheckInterval
}

// commit checks timeouts, plans, and writes the pending changes as a record, or as several if they are too large for one. Once all
// changes are durable, commit runs the pending effects and sends the queued commands. If there are no pending changes, it runs the
// effects and sends the commands at once. It reports whether it wrote a record.
func (o *Owner) commit(ctx context.Context) (bool, error) {
	o.mu.Lock()
	o.checkTimeouts()
	o.planIfDue()
	changes, effects := o.pendingChanges, o.pendingEffects
	o.pendingChanges, o.pendingEffects = nil, nil
	o.takeHeld()
	if len(changes) == 0 {
		runEffects(effects)
		o.sendQueuedCommands()
		o.mu.Unlock()
		return false, nil
	}
	changedJobs := map[*jobs.Job]bool{}
	for _, change := range changes {
		id := change.JobID
		if change.Submit != nil {
			id = change.Submit.ID
		}
		if job := o.jobsState.Jobs[id]; job != nil {
			changedJobs[job] = true
		}
	}
	// The states are captured before the lock is released, because later changes are not in this record.
	stateByJob := make(map[*jobs.Job]jobs.JobState, len(changedJobs))
	for job := range changedJobs {
		stateByJob[job] = job.State()
	}
	records, err := encodeChanges(changes)
	lastSeq := o.lastRecordSeq + int64(len(records))
	var snapshot []byte // state after these records, without later changes
	for _, data := range records {
		o.memory.tailBytes += int64(len(data))
	}
	if err == nil && o.needsSnapshot(lastSeq) && o.maySnapshot() {
		snapshot, err = o.jobsState.Encode()
	}
	firstSeq := o.lastRecordSeq + 1
	o.mu.Unlock()
	if err != nil {
		return false, err
	}
	for i, data := range records {
		record := caslog.Record{Seq: firstSeq + int64(i), Epoch: o.epoch, Time: time.Now(), Data: data}
		if err := o.appendRecord(ctx, record); err != nil {
			return false, err
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastRecordSeq = lastSeq
	for job, state := range stateByJob {
		job.IsDurable, job.DurableState = true, state
	}
	runEffects(effects)
	o.releaseEndedJobs(stateByJob)
	o.sendQueuedCommands()
	o.cfg.Metrics.Counter("owner_records").Inc(int64(len(records)))
	o.cfg.Metrics.Counter("owner_changes").Inc(int64(len(changes)))
	if snapshot != nil {
		o.snapshotSeq = lastSeq
		o.memory.tailBytes = 0
		write := func() { go o.writeSnapshot(ctx, lastSeq, snapshot) }
		if o.repeatSilences() {
			o.pendingEffects = append(o.pendingEffects, write) // once they are durable: a successor may find nothing but the snapshot
		} else {
			write()
		}
	}
	return true, nil
}

func runEffects(effects []func()) {
	for _, f := range effects {
		f()
	}
}

// appendRecord writes the record and retries until the store confirms it. After a lost response the same record is written
// again, so that the record takes effect once. appendRecord fails when another owner has fenced the log or ctx is done.
func (o *Owner) appendRecord(ctx context.Context, rec caslog.Record) error {
	start := boottime.Now()
	o.setAppendStart(start)
	defer o.setAppendStart(0)
	failureLogged := false
	var overtaken atomic.Bool // once for each record: over a thin link, a large record takes longer than many renewals
	for {
		callCtx, cancel := context.WithTimeout(ctx, o.appendTimeout)
		var err error
		attemptStart := boottime.Now()
		watch := time.AfterFunc(minAppendTimeout, func() {
			if !overtaken.Load() {
				overtaken.Store(o.cancelOvertakenAttempt(callCtx, cancel, attemptStart))
			}
		})
		rec, err = o.jobLog.Append(callCtx, rec)
		watch.Stop()
		cancel()
		o.adjustAppendTimeout(err, boottime.Now()-attemptStart)
		if err == nil && !o.ownership.LeaseValid() {
			err = o.confirmRecord(ctx, rec)
		}
		if err == nil {
			o.cfg.Metrics.Histogram("owner_append_us").Update((boottime.Now() - start).Microseconds())
			if failureLogged {
				events.StoreRecovered.Log(&o.cfg.Log).Int64("record", rec.Seq).Dur("after_ms", boottime.Now()-start).Send()
			}
			return nil
		}
		if errors.Is(err, caslog.ErrConflict) || errors.Is(err, store.ErrTooLarge) {
			return err // the next owner does not know the changes; the same record would fail for ever
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if !failureLogged {
			failureLogged = true
			events.CommitFailed.Log(&o.cfg.Log).Int64("record", rec.Seq).Err(err).Msg("retrying the same record")
		}
		app.Sleep(ctx, retryDelay)
	}
}

// overtakenCheckInterval is how often an unanswered attempt to write a record is compared with the renewals of the lease.
const overtakenCheckInterval = 50 * time.Millisecond

// cancelOvertakenAttempt cancels an attempt to write a record once the store has answered a renewal of the lease that was sent
// minAppendTimeout or more after the attempt, and reports whether it did. A store that was silent never answers the calls of that time,
// and the owner would wait for the rest of a timeout that has grown meanwhile. ctx is the context of the attempt.
func (o *Owner) cancelOvertakenAttempt(ctx context.Context, cancel context.CancelFunc, attemptStart time.Duration) bool {
	for ctx.Err() == nil {
		if o.ownership.ConfirmedAt() >= attemptStart+minAppendTimeout {
			cancel()
			return true
		}
		app.Sleep(ctx, overtakenCheckInterval)
	}
	return false
}

// adjustAppendTimeout sets the timeout of the next attempt from the error and the response time of the last attempt.
func (o *Owner) adjustAppendTimeout(err error, responseTime time.Duration) {
	switch {
	case err == nil:
		o.appendTimeout = min(maxAppendTimeout, max(minAppendTimeout, appendTimeoutFactor*responseTime))
	case errors.Is(err, store.ErrUncertain):
		o.appendTimeout = min(maxAppendTimeout, 2*o.appendTimeout)
	}
}

// setAppendStart records the boot time at which the current write began; 0 means that no write is in progress.
func (o *Owner) setAppendStart(start time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.storeStalled() {
		o.stalledUntil = boottime.Now()
	}
	o.appendStartedAt = start
}

// storeStalled reports whether the current write has been unanswered for longer than storeStallTimeout. A new job would be
// queued behind that write.
func (o *Owner) storeStalled() bool {
	return o.appendStartedAt != 0 && boottime.Now()-o.appendStartedAt > storeStallTimeout
}

// isCurrent reports whether the owner has no sign that another process may have become the owner: the lease is valid, the store
// answers, and the key was read after the last silence of the store, which candidates take for a lost store. Without that, the owner
// must not confirm holds, and a job that it does not know may be one of its successor.
func (o *Owner) isCurrent() bool {
	return o.ownership.LeaseValid() && !o.storeStalled() && o.ownership.ConfirmedAt() >= o.stalledUntil
}

// maySnapshot reports whether no predecessor has a lease that it takes for valid. A snapshot frees the positions of the records that it
// covers, also that of this owner's fence. A predecessor whose key was removed or replaced while its lease was valid could append
// there, and does not check its records as long as it takes its lease for valid. The same holds for an owner that has held the key
// during a part of this term.
func (o *Owner) maySnapshot() bool {
	return boottime.Now() >= max(o.startedAt, o.ownership.RewrittenAt())+election.LeaseTTL
}

// confirmUnreplaced returns election.ErrTaken if another owner has fenced the log since the newest record of this one.
func (o *Owner) confirmUnreplaced(ctx context.Context) error {
	o.mu.Lock()
	next := o.lastRecordSeq + 1
	o.mu.Unlock()
	err := o.jobLog.CheckUnreplaced(ctx, next)
	if errors.Is(err, caslog.ErrConflict) {
		return election.ErrTaken
	}
	return err
}

// writeSnapshot replaces the records up to recordSeq by a snapshot. If the write fails, the records stay until the next
// snapshot.
func (o *Owner) writeSnapshot(ctx context.Context, recordSeq int64, data []byte) {
	callCtx, cancel := context.WithTimeout(ctx, bulkCallTimeout)
	defer cancel()
	if err := o.jobLog.Snapshot(callCtx, recordSeq, o.epoch, data, recordSeq+1); err != nil {
		events.CommitFailed.Log(&o.cfg.Log).Int64("record", recordSeq).Err(err).Msg("snapshot failed; the log keeps its records")
	}
}

// confirmRecord verifies that the log has not been compacted past a record. A successor may have compacted the log if the
// record was written while the lease was not confirmed.
func (o *Owner) confirmRecord(ctx context.Context, rec caslog.Record) error {
	callCtx, cancel := context.WithTimeout(ctx, maxAppendTimeout)
	defer cancel()
	return o.jobLog.CheckNotCompacted(callCtx, rec)
}
