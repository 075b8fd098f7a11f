// Package partition makes ledgers durable. An Owner runs one partition's ledger over
// its log in the store, under this process's store lease: it groups operations into
// records, places tasks, renews the holds of running ones, and stops deciding when its
// lease is no longer certain.
package partition

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

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
	Fence   bool `json:"fence,omitempty"`   // first record of a new owner
	Release bool `json:"release,omitempty"` // last record of an owner that stopped cleanly
	// Wait is how long after the release a hold given by this owner or inherited from an earlier one may last.
	Wait time.Duration `json:"wait,omitempty"`
	Ops  []ledger.Op   `json:"ops,omitempty"`
}

// Timing and sizes of an owner.
const (
	snapshotEvery  = 512 // records between snapshots
	requestBacklog = 4096
	DefaultOutage  = 15 * time.Minute // how long running tasks go on while the store is down
)

// Owner runs one partition. Lock order: mu is never held during I/O.
type Owner struct {
	id     int
	log    *caslog.Log
	keeper *lease.Keeper
	lease  store.LeaseID // the lease that holds the owner key; another lease of the same process does not count
	zlog   zerolog.Logger
	outage time.Duration

	retention time.Duration
	claims    claimStats
	pace      *rate.Limiter // appends to the log
	requests  chan *request
	ended     chan struct{} // closed when no more requests are taken
	drained   chan struct{} // closed when every request was answered

	mu        sync.Mutex
	state     *ledger.State
	holds     map[worker.Ref]time.Time // until when an agent may run the attempt
	seen      map[worker.Ref]sighting  // newest report of each attempt
	aside     map[string]setAside      // jobs that no worker can run, by id
	refusals  map[string]int           // task -> refusals in a row
	waiters   map[string][]chan struct{}
	waiting   int                  // number of waiters
	finished  map[string]time.Time // when this owner first saw that a job had finished
	inherited time.Duration        // wait stated by the release of the last owner
	seq       int64
	epoch     int64
	lost      bool

	planner *planner // decides where tasks run; not guarded by mu
}

// OwnerConfig configures an Owner.
type OwnerConfig struct {
	Partition int
	Outage    time.Duration // how long running tasks go on while the store is down
	Retention time.Duration // how long finished jobs and recorded claims are kept at least
	Appends   float64       // appends per second to the log in the long run
}

// Recover loads the partition under the lease that holds its owner key, fences earlier owners and returns an Owner that is ready to run.
func Recover(ctx context.Context, cfg OwnerConfig, log *caslog.Log, keeper *lease.Keeper, leaseID store.LeaseID, zlog zerolog.Logger) (*Owner, error) {
	o := &Owner{
		id: cfg.Partition, log: log, keeper: keeper, lease: leaseID, outage: cfg.Outage, retention: cfg.Retention,
		pace:     rate.NewLimiter(rate.Limit(cfg.Appends), appendBurst),
		zlog:     zlog.With().Int("partition", cfg.Partition).Logger(),
		requests: make(chan *request, requestBacklog),
		ended:    make(chan struct{}),
		drained:  make(chan struct{}),
		holds:    map[worker.Ref]time.Time{},
		seen:     map[worker.Ref]sighting{},
		planner:  newPlanner(cfg.Partition, zlog.With().Int("partition", cfg.Partition).Logger()),
		aside:    map[string]setAside{},
		refusals: map[string]int{},
		finished: map[string]time.Time{},
		waiters:  map[string][]chan struct{}{},
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
		snap, err := decodeSnapshot(stored.Snapshot)
		if err != nil {
			return false, err
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

// LoadState reads a partition's state from its log without taking ownership, for inspection and repair tools.
func LoadState(ctx context.Context, log *caslog.Log) (*ledger.State, error) {
	o := &Owner{log: log}
	_, err := o.load(ctx)
	return o.state, err
}

// snapshot is the stored form of a partition's state.
type snapshot struct {
	Epoch int64         `json:"epoch"`
	State *ledger.State `json:"state"`
}

func (o *Owner) replay(rec caslog.Record) (released bool, err error) {
	data, err := decodeRecord(rec.Data)
	if err != nil {
		return false, eris.Wrapf(err, "decode partition record %d", rec.Seq)
	}
	invariant.Check(rec.Epoch >= o.epoch, "ledger_epoch_monotonic", "record %d has epoch %d after %d", rec.Seq, rec.Epoch, o.epoch)
	o.epoch = rec.Epoch
	for _, op := range data.Ops {
		_, err := o.state.Apply(op)
		invariant.Check(err == nil, "ledger_replay", "record %d, operation %s: %v", rec.Seq, op.Kind, err)
	}
	o.inherited = data.Wait
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
		wait := max(job.Hold, o.inherited)
		if !released {
			wait = job.Hold + o.outage
		}
		for i := range job.Tasks {
			if job.Tasks[i].State == ledger.TaskPlaced {
				o.holds[ledger.TaskRef(job.ID, i, job.Tasks[i].Attempt)] = now.Add(wait)
			}
		}
	}
}

// snapshot stores the state and compacts the log. A failure is retried after the next records.
func (o *Owner) snapshot(ctx context.Context) {
	o.mu.Lock()
	data, err := encodeSnapshot(snapshot{Epoch: o.epoch, State: o.state})
	o.mu.Unlock()
	if err == nil {
		err = o.log.Snapshot(ctx, o.seq, o.epoch, data, o.seq+1)
	}
	if err != nil {
		events.CommitFailed.Log(&o.zlog).Err(err).Msg("snapshot not stored")
	}
}
