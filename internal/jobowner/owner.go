// Package jobowner runs the jobs of a deployment in the single process that owns them. It recovers their state from the log
// in the store, handles requests from the entries and reports from the agents, places tasks on workers, makes every
// transition durable before it has an external effect, and sends commands to the agents.
//
// Locking: Owner.mu is the only lock of this package. No connection or store call is made while the lock is held, except for
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
	"bamboofork/internal/delaycost"
	"bamboofork/internal/election"
	"bamboofork/internal/events"
	"bamboofork/internal/jobs"
	"bamboofork/internal/network"
	"bamboofork/internal/outage"
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
	Network   network.Network // through which the owner reaches the members
	Adviser   Adviser         // nil: no queue needs advice
	Retention time.Duration   // how long an ended job is kept
	MaxHold   time.Duration   // maximum time that a worker keeps its runs while its reports do not reach the owner
	Domains   DomainReader    // nil: no failure domain is ever taken out of service
	// DomainsApply is the time within which operators expect that nothing starts in a failure domain any more.
	DomainsApply time.Duration
	// Shortage makes the owner order jobs by what a delay costs their callers when there is too little room.
	Shortage bool
	// RecordsPerSnapshot is the number of records after which a snapshot replaces them; 0: defaultRecordsPerSnapshot.
	RecordsPerSnapshot int64
	// SilentStore bounds the submissions that are held while the store does not respond; nil: none is held.
	SilentStore *outage.Policy
	// PackServing places serving tasks on few workers; see placement.Snapshot.
	PackServing bool
	// MemoryLimit bounds what is kept of the jobs, in bytes as decoded; 0: no limit. See MemoryLimitFor.
	MemoryLimit int64
}

func (c *Config) recordsPerSnapshot() int64 {
	if c.RecordsPerSnapshot > 0 {
		return c.RecordsPerSnapshot
	}
	return defaultRecordsPerSnapshot
}

// Owner is one term of ownership. mu guards all fields below it.
type Owner struct {
	cfg        Config
	jobLog     *caslog.Log
	ownership  *election.Ownership
	epoch      int64
	startedAt  time.Duration // boot time at the start of the term, since which no other process has held the owner's key
	wakeCommit chan struct{}
	// appendTimeout is the timeout of the next attempt to write a record; used by the commit loop only.
	appendTimeout  time.Duration
	adviceRequests chan adviceRequest
	// unreadableMembers holds the keys of announcements that could not be used and were logged.
	unreadableMembers events.Once

	mu             sync.Mutex
	endTerm        context.CancelCauseFunc // ends the term; set by Run
	jobsState      *jobs.State
	activeJobs     map[string]*jobs.Job     // jobs that have not ended, by ID
	pendingChanges []jobs.Change            // applied in memory, not yet in a record
	pendingEffects []func()                 // run under mu when the pending changes are durable
	members        map[string]*memberView   // by name
	agentCount     int                      // number of agents among members
	silences       map[string]*agentSilence // recorded silences, by agent name
	silenceCount   int64                    // number of silences recorded in this term
	durableSilence int64                    // number of the newest silence whose record is durable
	previousEpoch  int64                    // epoch of the previous owner; 0: unknown
	recordedEpochs []recordedEpoch          // of earlier owners, oldest first
	heardEpochs    map[string]int64         // by agent: newest of recordedEpochs whose owner has heard from the agent
	earlierOwners  map[int64]earlierOwner   // by epoch, as members have told
	departures     map[string]departure     // newest ended lifetime of each agent's worker, by agent name
	departureCount int64                    // number of the newest departure
	domains        domainView
	// submitReplies holds the callbacks that reply to submissions once the job's record is durable. The key is the submitted job
	// and not its ID: a caller may repeat a submission that was rejected, while the effects of the rejected one are still pending.
	submitReplies    map[*jobs.Job][]func(session.Reply)
	held             map[*jobs.Job]heldSubmission      // submitted jobs that are in no record
	hasResigned      bool                              // submissions are released
	adviceByStep     map[string]*stepAdvice            // by stepKey
	placedByAgent    map[string]map[string]*placedTask // by agent name and task ID
	workerHealth     *placement.HealthTracker
	limitedStarts    limitedStarts
	memory           keptMemory
	bestEffortBuffer []*placedTask // used by workerView
	// interference is loaded from the store at the start of the term and refined by the reports of the agents.
	interference      *placement.Interference
	costs             *costLearner       // nil: off
	shortage          *delaycost.Backlog // of the last planning pass; nil: jobs can all begin in time
	refusals          refusedCallers
	meteredQueues     map[string]bool // see countRefusal
	servingSince      time.Duration   // boot time at which Run began
	waitsRestored     bool            // see restoreWaits
	nextPlanAt        time.Duration   // boot time before which no planning pass starts
	planPostponed     bool            // a pass was due before nextPlanAt
	timeoutsCheckedAt time.Duration   // boot time of the last check of timeouts
	colocationSeenAt  time.Duration   // boot time of the last report of serving tasks over their target
	waitingReportedAt time.Duration   // boot time of the last report of waiting perpetual tasks
	lastRecordSeq     int64           // sequence number of the newest record
	snapshotSeq       int64           // sequence number of the newest snapshot
	appendStartedAt   time.Duration   // boot time at which the write of the current record began; 0: no write in progress
	stalledUntil      time.Duration   // boot time at which the last write that was unanswered for storeStallTimeout ended; 0: none
}

// placedTask is a task that occupies resources on a worker.
type placedTask struct {
	job  *jobs.Job
	id   jobs.TaskID
	step *jobs.Step
	task *jobs.Task

	isSound    bool    // a perpetual run that has been at work for long enough, see placement.IsSoundRun
	isMeasured bool    // workMs is the work of the whole run
	workMs     float64 // until measuredMs, in ms at full speed
	measuredMs int64   // time on the owner's boot clock
}

// bootTimeMs returns the time on the boot clock in milliseconds.
func bootTimeMs() int64 { return boottime.Now().Milliseconds() }

// wallTimeMs returns the wall-clock time in Unix milliseconds.
func wallTimeMs() int64 { return time.Now().UnixMilli() }

const (
	// bulkCallTimeout bounds one attempt to recover the log, to write a snapshot or to list the members.
	bulkCallTimeout = 3 * time.Second
	// retryDelay is the delay before a failed store call is repeated.
	retryDelay = 60 * time.Millisecond
	// resignTimeout bounds the store call that ends the owner's lease.
	resignTimeout = 500 * time.Millisecond
)

// Recover loads the jobs from the log and fences the log. After Recover has returned, no earlier owner can change the jobs. The
// writer identifies this process in the records. Recover retries until ctx is done, and then returns the cause; the caller
// renews the ownership meanwhile and ends ctx when another process has become the owner.
func Recover(ctx context.Context, cfg Config, ownership *election.Ownership, writer string) (*Owner, error) {
	o := &Owner{
		cfg: cfg, ownership: ownership, jobLog: caslog.New(cfg.Store, cfg.Prefix, writer),
		startedAt: boottime.Now(), wakeCommit: make(chan struct{}, 1), appendTimeout: minAppendTimeout,
		activeJobs: map[string]*jobs.Job{}, submitReplies: map[*jobs.Job][]func(session.Reply){}, held: map[*jobs.Job]heldSubmission{}, adviceByStep: map[string]*stepAdvice{},
		adviceRequests: make(chan adviceRequest, maxAdviceRequests), members: map[string]*memberView{},
		silences: map[string]*agentSilence{}, earlierOwners: map[int64]earlierOwner{}, departures: map[string]departure{},
		placedByAgent: map[string]map[string]*placedTask{}, workerHealth: placement.NewHealthTracker(),
		interference: placement.NewInterference(), domains: domainView{returnedAt: map[string]time.Duration{}},
	}
	o.jobLog.SkipUnreadable()
	recovery := logRecovery{jobLog: o.jobLog, attemptTimeout: bulkCallTimeout}
	if err := o.retryRecovery(ctx, recovery.attempt); err != nil {
		return nil, err
	}
	if len(recovery.unreadable) > 0 {
		cfg.Metrics.Counter("owner_records_unreadable").Inc(int64(len(recovery.unreadable)))
		events.RecordUnreadable.Log(&cfg.Log).Int64("record", recovery.unreadable[0]).Int("records", len(recovery.unreadable)).Send()
	}
	fence := recovery.fence
	o.jobsState, o.lastRecordSeq, o.epoch, o.snapshotSeq = recovery.state, fence.Seq, fence.Epoch, recovery.snapshotSeq
	o.rebuildIndexes()
	o.memory.limit, o.memory.tailBytes = cfg.MemoryLimit, recovery.tailBytes
	o.recordedEpochs, o.heardEpochs = recovery.epochs, recovery.heardEpochs
	if cfg.Shortage {
		o.costs = newCostLearner(o.activeJobs)
	}
	o.inheritSilences(recovery.lastEpoch)
	ownership.ConfirmUnreplaced(o.confirmUnreplaced)
	recoveryStart := o.startedAt
	if err := o.retryRecovery(ctx, o.confirmTerm); err != nil {
		return nil, err
	}
	o.loadInterference(ctx)
	events.JobsOwned.Log(&cfg.Log).Int64("epoch", o.epoch).Int("jobs", len(o.jobsState.Jobs)).Int("active", len(o.activeJobs)).
		Dur("load_ms", recovery.loadTime).Int("records", recovery.recordCount).Int("snapshot_bytes", recovery.snapshotBytes).
		Dur("took_ms", boottime.Now()-recoveryStart).Send()
	return o, nil
}

// confirmTerm checks after the fence that this process still holds the owner's key, and sets the start of the term to the time since
// which no other process has held it. The previous owner may have written its key again before the fence, if the store had removed the
// key of this process. After the fence it no longer can (confirmUnreplaced).
func (o *Owner) confirmTerm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, bulkCallTimeout)
	defer cancel()
	err := o.ownership.CheckHeld(ctx)
	if err == nil {
		o.startedAt = max(o.startedAt, o.ownership.RewrittenAt())
	}
	return err
}

// retryRecovery repeats attempt until it succeeds, another process is the owner, or ctx is done. It then returns the cause.
func (o *Owner) retryRecovery(ctx context.Context, attempt func(ctx context.Context) error) error {
	for {
		err := attempt(ctx)
		if err == nil || errors.Is(err, election.ErrTaken) {
			return err
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		events.RecoveryRetried.Log(&o.cfg.Log).Err(err).Send()
		app.Sleep(ctx, retryDelay)
	}
}

// rebuildIndexes fills activeJobs and placedByAgent from the recovered jobs.
func (o *Owner) rebuildIndexes() {
	for id, job := range o.jobsState.Jobs {
		job.MarkDurable()
		releaseSteps(job)
		o.memory.set(id, job.MemoryBytes(), boottime.Now())
		if !job.Ended() {
			o.activeJobs[id] = job
		}
		for occIndex := range job.Occurrences {
			for stepIndex := range job.Occurrences[occIndex].Steps {
				for taskIndex := range job.Occurrences[occIndex].Steps[stepIndex].Tasks {
					task := &job.Occurrences[occIndex].Steps[stepIndex].Tasks[taskIndex]
					if task.State == jobs.TaskPlaced {
						task.StartMaybeSent, task.PlacedMs, task.PacePercent = true, bootTimeMs(), jobs.FullPacePercent
						o.trackPlaced(job, jobs.TaskID{Job: id, Occurrence: occIndex, Step: stepIndex, Index: taskIndex}, task)
					}
				}
			}
		}
	}
}

// trackPlaced adds a task to the placed tasks of its agent.
func (o *Owner) trackPlaced(job *jobs.Job, id jobs.TaskID, task *jobs.Task) {
	tasks := o.placedByAgent[task.Worker]
	if tasks == nil {
		tasks = map[string]*placedTask{}
		o.placedByAgent[task.Worker] = tasks
	}
	tasks[id.String()] = &placedTask{job: job, id: id, step: &job.Spec.Steps[id.Step], task: task}
}

// apply applies a transition in memory and queues it for the next record.
func (o *Owner) apply(change jobs.Change) {
	o.jobsState.Apply(change)
	o.pendingChanges = append(o.pendingChanges, change)
	o.wakeCommitLoop()
}

// wakeCommitLoop makes the commit loop run at once instead of after idleCheckInterval. It does not block.
func (o *Owner) wakeCommitLoop() {
	select {
	case o.wakeCommit <- struct{}{}:
	default:
	}
}

// Run serves the term until ctx is done or another owner has fenced the log. It returns why the term ended, or nil if ctx was
// done without a cause.
func (o *Owner) Run(ctx context.Context) error {
	ctx, endTerm := context.WithCancelCause(ctx)
	defer endTerm(nil)
	o.mu.Lock()
	o.endTerm, o.servingSince = endTerm, boottime.Now()
	o.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := o.commitLoop(ctx); err != nil {
			endTerm(err)
		}
	})
	wg.Go(func() { o.heartbeatLoop(ctx) })
	wg.Go(func() { o.holdLoop(ctx) })
	wg.Go(func() { o.adviceLoop(ctx) })
	wg.Go(func() { o.domainsLoop(ctx) })
	wg.Go(func() { o.storeInterferenceLoop(ctx) })
	wg.Go(func() { o.membersLoop(ctx, &wg) })
	<-ctx.Done()
	wg.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, member := range o.members {
		member.close()
	}
	cause := context.Cause(ctx)
	if errors.Is(cause, context.Canceled) {
		cause = nil
	}
	events.JobsReleased.Log(&o.cfg.Log).Int64("epoch", o.epoch).AnErr("cause", cause).Send()
	return cause
}

// endLease ends the owner's lease, so that a successor need not wait for its expiry.
func endLease(ownership *election.Ownership, log *zerolog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	if err := ownership.Resign(ctx); err != nil {
		events.LeaseLost.Log(log).Err(err).Msg("could not end the owner's lease; it expires at the end of its TTL")
	}
}

// Resign releases ownership voluntarily and notifies the members, so that a successor takes over at once.
func (o *Owner) Resign() {
	o.recordSilencesToResign()
	endLease(o.ownership, &o.cfg.Log)
	o.releaseHeld()
	o.mu.Lock()
	conns := []*session.Conn[session.ToMember, session.FromMember]{}
	for _, member := range o.members {
		if member.conn != nil {
			member.conn.Send(session.ToMember{Resigned: true})
			conns = append(conns, member.conn)
		}
	}
	o.mu.Unlock()
	for _, c := range conns {
		c.Flush(100 * time.Millisecond)
	}
}
