// Package partition makes ledgers durable. An Owner runs one partition's ledger over
// its log in the store, under this process's store lease: it groups operations into
// records, places tasks, renews the holds of running ones, and stops deciding when its
// lease is no longer certain.
package partition

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bamboofork/internal/caslog"
	"bamboofork/internal/events"
	"bamboofork/internal/invariant"
	"bamboofork/internal/lease"
	"bamboofork/internal/ledger"
	"bamboofork/internal/store"
	"bamboofork/internal/worker"
)

// Errors of Commit.
var (
	// ErrNotOwner: the operations had no effect; this process does not own the partition.
	ErrNotOwner = errors.New("not the owner of the partition")
	// ErrNoStore: the operations had no effect; the store does not answer.
	ErrNoStore = errors.New("store does not answer")
	// ErrUncertain: the operations may become durable.
	ErrUncertain = errors.New("outcome of the commit is uncertain")
)

// recordData is the payload of a log record.
type recordData struct {
	Fence   bool        `json:"fence,omitempty"`   // first record of a new owner
	Release bool        `json:"release,omitempty"` // last record of an owner that stopped cleanly
	Ops     []ledger.Op `json:"ops,omitempty"`
}

// Timing and sizes of an owner.
const (
	groupDelay     = 4 * time.Millisecond // waits for more operations to share a record
	maxGroup       = 2000                 // operations per record; about 400 KB
	commitRetry    = 50 * time.Millisecond
	commitPatience = 2 * time.Second // a group that the store refuses for this long is rolled back
	snapshotEvery  = 512             // records between snapshots
	requestBacklog = 4096
	DefaultOutage  = 15 * time.Minute // how long running tasks go on while the store is down
)

// request is a set of operations that commit together or not at all.
type request struct {
	ops  []ledger.Op
	done chan error
}

// Owner runs one partition. Lock order: mu is never held during I/O.
type Owner struct {
	id     int
	log    *caslog.Log
	keeper *lease.Keeper
	zlog   zerolog.Logger
	outage time.Duration

	requests chan request
	claims   claimStats
	ended    chan struct{} // closed when run has returned: what is not answered by then had no effect

	mu      sync.Mutex
	state   *ledger.State
	holds   map[worker.Ref]time.Time // until when an agent may run the attempt
	explain map[string]string        // task -> newest decision
	seq     int64
	epoch   int64
	lost    bool
}

// Recover loads the partition, fences earlier owners and returns an Owner that is ready to run.
func Recover(ctx context.Context, id int, log *caslog.Log, keeper *lease.Keeper, outage time.Duration, zlog zerolog.Logger) (*Owner, error) {
	o := &Owner{
		id: id, log: log, keeper: keeper, outage: outage,
		zlog:     zlog.With().Int("partition", id).Logger(),
		requests: make(chan request, requestBacklog),
		ended:    make(chan struct{}),
		holds:    map[worker.Ref]time.Time{},
		explain:  map[string]string{},
	}
	released, err := o.load(ctx)
	if err != nil {
		return nil, err
	}
	if err := o.fence(ctx); err != nil {
		return nil, err
	}
	o.inheritHolds(released)
	events.PartitionOwned.Log(&o.zlog).Int64("epoch", o.epoch).Int64("seq", o.seq).Int("jobs", len(o.state.Jobs)).Bool("released", released).Send()
	return o, nil
}

// load reads snapshot and records. It reports whether the last owner released the partition.
func (o *Owner) load(ctx context.Context) (bool, error) {
	stored, err := o.log.Load(ctx)
	if err != nil {
		return false, err
	}
	o.state = ledger.NewState()
	if stored.Snapshot != nil {
		var snap snapshot
		if err := json.Unmarshal(stored.Snapshot, &snap); err != nil {
			return false, eris.Wrap(err, "decode partition snapshot")
		}
		o.state, o.epoch = snap.State, snap.Epoch
	}
	released := len(stored.Records) == 0 && stored.SnapshotSeq == 0
	for _, rec := range stored.Records {
		if released, err = o.replay(rec); err != nil {
			return false, err
		}
	}
	o.seq = stored.LastSeq()
	return released, nil
}

// snapshot is the stored form of a partition's state.
type snapshot struct {
	Epoch int64         `json:"epoch"`
	State *ledger.State `json:"state"`
}

func (o *Owner) replay(rec caslog.Record) (released bool, err error) {
	var data recordData
	if err := json.Unmarshal(rec.Data, &data); err != nil {
		return false, eris.Wrapf(err, "decode partition record %d", rec.Seq)
	}
	invariant.Check(rec.Epoch >= o.epoch, "ledger_epoch_monotonic", "record %d has epoch %d after %d", rec.Seq, rec.Epoch, o.epoch)
	o.epoch = rec.Epoch
	for _, op := range data.Ops {
		_, err := o.state.Apply(op)
		invariant.Check(err == nil, "ledger_replay", "record %d, operation %s: %v", rec.Seq, op.Kind, err)
	}
	return data.Release, nil
}

// fence appends the first record of this owner, so that an append of an earlier one fails.
func (o *Owner) fence(ctx context.Context) error {
	o.epoch++
	return o.append(ctx, recordData{Fence: true})
}

// inheritHolds assumes that every placed task was acknowledged as late as an earlier owner could have done so.
func (o *Owner) inheritHolds(released bool) {
	now := time.Now()
	for _, job := range o.state.Jobs {
		wait := job.Hold
		if !released {
			wait += o.outage
		}
		for i := range job.Tasks {
			if job.Tasks[i].State == ledger.TaskPlaced {
				o.holds[ledger.TaskRef(job.ID, i, job.Tasks[i].Attempt)] = now.Add(wait)
			}
		}
	}
}

// append writes one record and resolves a lost answer while this process's lease is valid.
func (o *Owner) append(ctx context.Context, data recordData) error {
	payload, err := json.Marshal(data)
	if err != nil {
		return eris.Wrap(err, "encode partition record")
	}
	rec := caslog.Record{Seq: o.seq + 1, Epoch: o.epoch, Time: time.Now(), Data: payload}
	started := time.Now()
	uncertain := false
	for {
		if _, _, ok := o.keeper.Current(); !ok {
			return pick(uncertain, ErrUncertain, ErrNotOwner)
		}
		rec, err = o.log.Append(ctx, rec)
		switch {
		case err == nil:
			o.seq++
			return nil
		case errors.Is(err, caslog.ErrConflict):
			return ErrNotOwner
		case errors.Is(err, store.ErrUncertain):
			uncertain = true
		case !uncertain && time.Since(started) > commitPatience:
			return ErrNoStore
		}
		select {
		case <-ctx.Done():
			return pick(uncertain, ErrUncertain, ErrNoStore)
		case <-time.After(commitRetry):
		}
	}
}

func pick(cond bool, yes, no error) error {
	if cond {
		return yes
	}
	return no
}

// Commit makes the operations durable together. ledger errors mean that they did not fit the state.
func (o *Owner) Commit(ctx context.Context, ops ...ledger.Op) error {
	r := request{ops: ops, done: make(chan error, 1)}
	select {
	case o.requests <- r:
	case <-ctx.Done():
		return ErrNoStore
	}
	select {
	case err := <-r.done:
		return err
	case <-o.ended:
		return o.answerOfEnded(r)
	case <-ctx.Done():
		return ErrUncertain
	}
}

// answerOfEnded is the answer to a request of an owner that has stopped. A request that came in after the waiting ones
// were refused was never looked at.
func (o *Owner) answerOfEnded(r request) error {
	select {
	case err := <-r.done:
		return err
	default:
		return ErrNotOwner
	}
}

// run commits groups until ctx ends or ownership is lost, then refuses what waits.
func (o *Owner) run(ctx context.Context) error {
	defer close(o.ended)
	defer o.refuseWaiting()
	sinceSnapshot := 0
	for {
		select {
		case <-ctx.Done():
			return o.release()
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

// gather waits a little for more requests to share the record.
func (o *Owner) gather(first request) []request {
	group := []request{first}
	ops := len(first.ops)
	timer := time.NewTimer(groupDelay)
	defer timer.Stop()
	for ops < maxGroup {
		select {
		case r := <-o.requests:
			group = append(group, r)
			ops += len(r.ops)
		case <-timer.C:
			return group
		}
	}
	return group
}

// commitGroup applies the requests that fit the state and appends them as one record. It returns an error only
// when ownership ended.
func (o *Owner) commitGroup(ctx context.Context, group []request) error {
	undo, accepted, ops := o.applyGroup(group)
	if len(accepted) == 0 {
		return nil
	}
	err := o.append(ctx, recordData{Ops: ops})
	if err != nil {
		events.CommitFailed.Log(&o.zlog).Err(err).Int("ops", len(ops)).Send()
		o.rollback(undo)
	}
	for _, r := range accepted {
		r.done <- err
	}
	if errors.Is(err, ErrNoStore) {
		return nil
	}
	return err
}

func (o *Owner) applyGroup(group []request) (undo []ledger.Undo, accepted []request, ops []ledger.Op) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range group {
		steps, err := o.applyRequest(r)
		if err != nil {
			r.done <- err
			continue
		}
		undo = append(undo, steps...)
		accepted = append(accepted, r)
		ops = append(ops, r.ops...)
	}
	return undo, accepted, ops
}

func (o *Owner) applyRequest(r request) ([]ledger.Undo, error) {
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

func (o *Owner) refuseWaiting() {
	o.mu.Lock()
	o.lost = true
	o.mu.Unlock()
	for {
		select {
		case r := <-o.requests:
			r.done <- ErrNotOwner
		default:
			return
		}
	}
}

const releaseTimeout = 2 * time.Second

// release tells the successor that it need not wait out an outage hold.
func (o *Owner) release() error {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	err := o.append(ctx, recordData{Release: true})
	events.PartitionReleased.Log(&o.zlog).AnErr("cause", err).Send()
	return nil
}

// snapshot stores the state and compacts the log. A failure is retried after the next records.
func (o *Owner) snapshot(ctx context.Context) {
	o.mu.Lock()
	data, err := json.Marshal(snapshot{Epoch: o.epoch, State: o.state})
	o.mu.Unlock()
	if err == nil {
		err = o.log.Snapshot(ctx, o.seq, o.epoch, data, o.seq+1)
	}
	if err != nil {
		events.CommitFailed.Log(&o.zlog).Err(err).Msg("snapshot not stored")
	}
}

// valid reports whether this process may decide for the partition now.
func (o *Owner) valid() bool {
	o.mu.Lock()
	lost := o.lost
	o.mu.Unlock()
	_, _, ok := o.keeper.Current()
	return ok && !lost
}
