// Package jobowner runs the jobs of a deployment in the single process that owns them. It recovers their state from the log
// in the store, handles requests from the entries and reports from the agents, places tasks on workers, makes every
// transition durable before it has an external effect, and sends commands to the agents.
//
// Locking: Owner.mu is the only lock of this package. No connection or store call is made while it is held, except for
// queueing a message, which does not block.
package jobowner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"bamboofork/internal/app"
	"bamboofork/internal/boottime"
	"bamboofork/internal/caslog"
	"bamboofork/internal/election"
	"bamboofork/internal/events"
	"bamboofork/internal/jobs"
	"bamboofork/internal/placement"
	"bamboofork/internal/session"
	"bamboofork/internal/store"
	"bamboofork/internal/telemetry"
)

// Config holds the dependencies and settings of an owner.
type Config struct {
	Name      string // of the process
	Prefix    string // of the log in the store
	Log       zerolog.Logger
	Metrics   *telemetry.Registry
	Store     store.Store
	Adviser   Adviser       // nil: no queue needs advice
	Retention time.Duration // how long an ended job is kept
	MaxHold   time.Duration // maximum time that a worker keeps its runs while no report of them reaches the owner
}

// Owner is one term of ownership. mu guards all fields below it.
type Owner struct {
	cfg       Config
	log       *caslog.Log
	ownership *election.Ownership
	epoch     int64
	startedAt time.Duration // boot time at the start of the term
	wake      chan struct{}
	// appendTimeout is the timeout of the next attempt to write a record; used by the commit loop only.
	appendTimeout  time.Duration
	adviceRequests chan adviceRequest

	mu      sync.Mutex
	state   *jobs.State
	active  map[string]*jobs.Job // jobs that have not ended, by ID
	pending []jobs.Change        // applied in memory, not yet in a record
	effects []func()             // run under mu when the pending changes are durable
	members map[string]*member   // by name
	// submitReplies holds the callbacks that reply to submissions once the job's record is durable, by job ID.
	submitReplies map[string][]func(session.Reply)
	advice        map[string]*stepAdvice            // by stepKey
	placed        map[string]map[string]*placedTask // by agent name and task ID
	health        *placement.HealthTracker
	// interference is loaded from the store at the start of the term and refined by the reports of the agents.
	interference *placement.Interference
	lastSeq      int64         // sequence number of the newest record
	snapshotSeq  int64         // sequence number of the newest snapshot
	appendStart  time.Duration // boot time at which the write of the current record began; 0: no write in progress
	endCause     error         // why the term ended; nil after a graceful shutdown
}

// placedTask is a task that occupies resources on a worker.
type placedTask struct {
	job  *jobs.Job
	id   jobs.TaskID
	step *jobs.Step
	task *jobs.Task
}

func bootTimeMs() int64 { return boottime.Now().Milliseconds() }

func wallMs() int64 { return time.Now().UnixMilli() }

const (
	// recoverTimeout bounds one read of the log during recovery.
	recoverTimeout = 3 * time.Second
	// retryDelay is the delay before a failed store call is repeated.
	retryDelay = 60 * time.Millisecond
)

// Recover loads the jobs from the log and fences it. Once it has returned, no earlier owner can change the jobs.
func Recover(ctx context.Context, cfg Config, ownership *election.Ownership, writer string) (*Owner, error) {
	o := &Owner{
		cfg: cfg, ownership: ownership, log: caslog.New(cfg.Store, cfg.Prefix, writer),
		startedAt: boottime.Now(), wake: make(chan struct{}, 1), appendTimeout: minAppendTimeout,
		active: map[string]*jobs.Job{}, submitReplies: map[string][]func(session.Reply){}, advice: map[string]*stepAdvice{},
		adviceRequests: make(chan adviceRequest, maxAdviceRequests), members: map[string]*member{},
		placed: map[string]map[string]*placedTask{}, health: placement.NewHealth(), interference: placement.NewInterference(),
	}
	for {
		err := o.recoverOnce(ctx)
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if errors.Is(err, caslog.ErrConflict) && !ownership.LeaseValid() {
			return nil, election.ErrTaken
		}
		events.RecoveryRetried.Log(&cfg.Log).Err(err).Send()
		app.Sleep(ctx, retryDelay)
	}
	o.loadInterference(ctx)
	events.JobsOwned.Log(&cfg.Log).Int64("epoch", o.epoch).Int("jobs", len(o.state.Jobs)).Int("active", len(o.active)).
		Dur("took_ms", boottime.Now()-o.startedAt).Send()
	return o, nil
}

func (o *Owner) recoverOnce(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, recoverTimeout)
	defer cancel()
	loaded, err := o.log.Load(callCtx)
	if err != nil {
		return err
	}
	state, err := jobs.Decode(loaded.Snapshot)
	if err != nil {
		return err
	}
	for _, r := range loaded.Records {
		changes, err := decodeRecord(r)
		if err != nil {
			return err
		}
		for _, c := range changes {
			state.Apply(c)
		}
	}
	fence := caslog.Record{Seq: loaded.LastSeq() + 1, Epoch: loaded.LastSeq() + 1, Time: time.Now()}
	for {
		fence, err = o.log.Append(callCtx, fence)
		if !errors.Is(err, store.ErrUncertain) || callCtx.Err() != nil {
			break
		}
		app.Sleep(callCtx, retryDelay)
	}
	if err != nil {
		return err
	}
	o.state, o.lastSeq, o.epoch, o.snapshotSeq = state, fence.Seq, fence.Epoch, loaded.SnapshotSeq
	o.rebuildIndexes()
	return nil
}

// rebuildIndexes rebuilds the maps that are derived from the state.
func (o *Owner) rebuildIndexes() {
	for id, j := range o.state.Jobs {
		j.MarkDurable()
		if !j.Ended() {
			o.active[id] = j
		}
		for k := range j.Occ {
			for s := range j.Occ[k].Steps {
				for t := range j.Occ[k].Steps[s].Tasks {
					task := &j.Occ[k].Steps[s].Tasks[t]
					if task.State == jobs.TaskPlaced {
						task.Sent, task.PlacedMs, task.Pace = true, bootTimeMs(), jobs.FullPace
						o.trackPlaced(j, jobs.TaskID{Job: id, Occ: k, Step: s, Index: t}, task)
					}
				}
			}
		}
	}
}

func (o *Owner) trackPlaced(j *jobs.Job, id jobs.TaskID, t *jobs.Task) {
	tasks := o.placed[t.Worker]
	if tasks == nil {
		tasks = map[string]*placedTask{}
		o.placed[t.Worker] = tasks
	}
	tasks[id.String()] = &placedTask{job: j, id: id, step: &j.Spec.Steps[id.Step], task: t}
}

// apply applies a transition in memory and queues it for the next record.
func (o *Owner) apply(c jobs.Change) {
	o.state.Apply(c)
	o.pending = append(o.pending, c)
	o.wakeCommitLoop()
}

func (o *Owner) wakeCommitLoop() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Run serves the term until ctx is done or another process becomes the owner.
func (o *Owner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	fail := func(err error) {
		o.mu.Lock()
		if o.endCause == nil {
			o.endCause = err
		}
		o.mu.Unlock()
		cancel()
	}
	wg.Go(func() {
		if err := o.ownership.KeepAlive(ctx); err != nil {
			fail(err)
		}
	})
	wg.Go(func() {
		if err := o.commitLoop(ctx); err != nil {
			fail(err)
		}
	})
	wg.Go(func() { o.heartbeatLoop(ctx) })
	wg.Go(func() { o.adviceLoop(ctx) })
	wg.Go(func() { o.storeInterferenceLoop(ctx) })
	wg.Go(func() { o.membersLoop(ctx, &wg) })
	<-ctx.Done()
	wg.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, m := range o.members {
		m.close()
	}
	events.JobsReleased.Log(&o.cfg.Log).Int64("epoch", o.epoch).AnErr("cause", o.endCause).Send()
	return o.endCause
}

// Resign ends the term voluntarily. It notifies the members, so that a successor takes over at once.
func (o *Owner) Resign() {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	if err := o.ownership.Resign(ctx); err != nil {
		events.LeaseLost.Log(&o.cfg.Log).Err(err).Msg("could not end the owner's lease; it expires at the end of its TTL")
	}
	o.mu.Lock()
	conns := []*session.Conn[session.ToMember, session.FromMember]{}
	for _, m := range o.members {
		if m.conn != nil {
			m.conn.Send(session.ToMember{Resigned: true})
			conns = append(conns, m.conn)
		}
	}
	o.mu.Unlock()
	for _, c := range conns {
		c.Flush(100 * time.Millisecond)
	}
}
