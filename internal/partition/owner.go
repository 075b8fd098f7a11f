// Package partition makes ledgers durable. An Owner runs the ledger of one partition. It
// writes the operations in groups to a log in the store, places tasks and renews the holds
// of running tasks. The Owner stops making decisions when this process's store lease may
// have expired.
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
	// ErrNotOwner means that the operations had no effect because this process does not own the partition.
	ErrNotOwner = errors.New("not the owner of the partition")
	// ErrStoreUnavailable means that the operations had no effect because the store is unavailable or rejects the record.
	ErrStoreUnavailable = errors.New("store does not answer")
	// ErrUncertain means that the operations may or may not become durable.
	ErrUncertain = errors.New("outcome of the commit is uncertain")
)

// recordData is the payload of a log record.
type recordData struct {
	Fence   bool `json:"fence,omitempty"`   // first record of a new owner
	Release bool `json:"release,omitempty"` // last record of an owner that shut down gracefully
	// Wait is the longest time after the release for which a hold of this owner or of an earlier owner may last.
	Wait time.Duration `json:"wait,omitempty"`
	Ops  []ledger.Op   `json:"ops,omitempty"`
}

// Timing and sizes of an owner.
const (
	snapshotIntervalRecords = 512              // records between snapshots
	requestQueueCapacity    = 4096             // requests that wait for a group
	DefaultOutageHold       = 15 * time.Minute // how long tasks keep running during a store outage
)

// Owner runs one partition. mu guards the fields below it, except planner, and is never held during I/O.
type Owner struct {
	id            int
	log           *caslog.Log
	keeper        *lease.Keeper
	ownerKeyLease store.LeaseID // lease of the owner key; a newer lease of this process does not prove ownership
	zlog          zerolog.Logger
	outageHold    time.Duration // see OwnerConfig.OutageHold

	retention     time.Duration
	claimStats    claimStats
	appendLimiter *rate.Limiter // limits appends to the log
	requests      chan *request
	stopped       chan struct{} // closed when no more requests are accepted
	drained       chan struct{} // closed when every request has its result

	mu                  sync.Mutex
	state               *ledger.State
	holdExpiry          map[worker.Ref]time.Time     // when the hold of each attempt expires; the agent may run the attempt until then
	lastReports         map[worker.Ref]attemptReport // newest report of each placed attempt
	unschedulableJobs   map[string]unschedulableJob  // jobs that no known worker can run, by ID
	consecutiveRefusals map[string]int               // number of consecutive refusals, by task name
	waiters             map[string][]chan struct{}   // calls that wait for a job to end, by job ID
	waitingCalls        int                          // number of channels in waiters
	finishedSeenAt      map[string]time.Time         // when this owner first saw that a job had finished
	inheritedWait       time.Duration                // recordData.Wait of the previous owner's release
	seq                 int64                        // sequence number of the newest record
	epoch               int64                        // number of this ownership; each owner raises it by one
	lost                bool                         // the owner has stopped or is releasing the partition

	planner *planner // decides where tasks run; not guarded by mu
}

// OwnerConfig configures an Owner.
type OwnerConfig struct {
	Partition        int
	OutageHold       time.Duration // how long tasks keep running during a store outage
	Retention        time.Duration // minimum time that finished jobs and recorded claims are kept
	AppendsPerSecond float64       // sustained appends per second to the log
}

// Recover loads the partition, fences earlier owners and returns an Owner that is ready to run. leaseID is the lease that the
// owner key is attached to.
func Recover(ctx context.Context, cfg OwnerConfig, log *caslog.Log, keeper *lease.Keeper, leaseID store.LeaseID, zlog zerolog.Logger) (*Owner, error) {
	o := &Owner{
		id: cfg.Partition, log: log, keeper: keeper, ownerKeyLease: leaseID, outageHold: cfg.OutageHold, retention: cfg.Retention,
		appendLimiter:       rate.NewLimiter(rate.Limit(cfg.AppendsPerSecond), appendBurst),
		zlog:                zlog.With().Int("partition", cfg.Partition).Logger(),
		requests:            make(chan *request, requestQueueCapacity),
		stopped:             make(chan struct{}),
		drained:             make(chan struct{}),
		holdExpiry:          map[worker.Ref]time.Time{},
		lastReports:         map[worker.Ref]attemptReport{},
		planner:             newPlanner(cfg.Partition, zlog.With().Int("partition", cfg.Partition).Logger()),
		unschedulableJobs:   map[string]unschedulableJob{},
		consecutiveRefusals: map[string]int{},
		finishedSeenAt:      map[string]time.Time{},
		waiters:             map[string][]chan struct{}{},
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

// load reads the snapshot and the records after it. It reports whether the previous owner released the partition.
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
	released := len(stored.Records) == 0 && stored.SnapshotSeq == 0 // a new partition has no earlier owner
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

// replay applies a log record to the state. It reports whether the record releases the partition.
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
	o.inheritedWait = data.Wait
	return data.Release, nil
}

// fence appends the first record of this owner's epoch, after which an append by an earlier owner fails.
func (o *Owner) fence(ctx context.Context) error {
	o.epoch++
	return o.append(ctx, recordData{Fence: true})
}

// inheritHolds sets the holds of all placed tasks. It assumes that an earlier owner renewed each hold at the last possible
// moment. released states whether the previous owner released the partition.
func (o *Owner) inheritHolds(released bool) {
	now := time.Now()
	for _, job := range o.state.Jobs {
		wait := max(job.Hold, o.inheritedWait)
		if !released {
			wait = job.Hold + o.outageHold
		}
		for i := range job.Tasks {
			if job.Tasks[i].State == ledger.TaskPlaced {
				o.holdExpiry[ledger.TaskRef(job.ID, i, job.Tasks[i].Attempt)] = now.Add(wait)
			}
		}
	}
}

// snapshot stores a snapshot of the state and compacts the log. A failure is only logged; the next snapshot follows after
// snapshotIntervalRecords more records.
func (o *Owner) snapshot(ctx context.Context) {
	o.mu.Lock()
	data, err := encodeSnapshot(snapshot{Epoch: o.epoch, State: o.state})
	o.mu.Unlock()
	if err == nil {
		err = o.log.Snapshot(ctx, o.seq, o.epoch, data, o.seq+1)
	}
	if err != nil {
		events.CommitFailed.Log(&o.zlog).Err(err).Msg("cannot store the snapshot")
	}
}
