package hostagent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"bamboofork/internal/boottime"
	"bamboofork/internal/domains"
	"bamboofork/internal/events"
	"bamboofork/internal/invariant"
	"bamboofork/internal/jobs"
	"bamboofork/internal/ownerconn"
	"bamboofork/internal/session"
	"bamboofork/internal/telemetry"
)

// Config holds an agent's settings and the services that it uses.
type Config struct {
	Log             zerolog.Logger
	Metrics         *telemetry.Registry
	Runner          Runner
	Follower        *ownerconn.Follower
	MaxHoldDuration time.Duration // how long runs stay held after the latest report that the owner has acknowledged was sent
	StopTimeout     time.Duration // upper bound on the time the worker takes to stop a run
	// Domains are the failure domains out of service. The agent starts nothing while its worker is in one of them, whoever sends the start.
	// nil: none ever is.
	Domains *domains.Current
}

// Agent is one incarnation of the agent beside a worker. mu is its only lock and guards all fields below it.
type Agent struct {
	cfg        Config
	startQueue chan *run
	stopQueue  chan *run
	reportDue  chan struct{} // wakes reportLoop
	endsAcked  chan struct{} // signals that the owner has acknowledged ended runs
	paceDue    chan struct{} // wakes paceLoop: the pace of a run may differ from its target
	registered chan struct{} // signals that a worker, or its next lifetime, has registered
	departed   chan int64    // holds the lifetime of the worker that has unregistered last

	mu     sync.Mutex
	worker *session.Worker // latest registration; nil before the first; without a lifetime if none has come and the worker's port is closed
	// departedLifetime is the newest lifetime of the worker that an earlier process of the agent has announced as over; 0: none.
	departedLifetime int64
	registration     registrationCheck
	token            int64 // fencing token of this agent process; 0: not chosen yet
	// tokenStepMs is added to the fencing token when the worker has seen a higher token.
	tokenStepMs int64
	// activeListed is true once the worker has listed its active runs to a call with this token. runsListed is true once it has also
	// listed all ends: from then on, each run of the worker is in runByTask or unackedEnds.
	activeListed   bool
	runsListed     bool
	listIncomplete bool // the latest lists were incomplete
	runByTask      map[string]*run
	unackedEnds    []session.RunEnd // ends that the worker has listed and the owner has not acknowledged yet
	ackedEndSeq    int64

	// ownerConn is the connection to the current owner. reportedEndSeq and lastCommandSeq count on this connection only.
	ownerConn          *ownerconn.Conn
	reportedEndSeq     int64 // highest number of an end reported to the current owner
	unreportedRefusals []session.Refusal
	goneReportSeq      int64              // number of the first complete report since the worker is gone; 0: none yet
	goneAcked          bool               // an owner has acknowledged that report or a later one
	suspicion          *session.Suspicion // kept for the next owner; nil: none
	suspicionAt        time.Duration      // boot time at which suspicion was received
	reportedWorker     *session.Worker    // state of the worker in the last report to the current owner
	lastCommandSeq     int64
	lastReportSeq      int64
	listedAt           time.Duration        // boot time at which the latest run list was requested from the worker
	listCount          int64                // number of run lists received from the worker
	listUnreported     bool                 // the latest list has not been reported to the owner yet
	sentReports        map[int64]sentReport // by number, since the last one that the owner has acknowledged
	grantedUntilMs     int64                // time on the worker's clock until which the owner allows the worker to hold its runs
	grantOverAt        time.Duration        // boot time at which the worker's clock has reached grantedUntilMs, unless its host was suspended; 0: no grant yet
	confirmedAt        time.Duration        // boot time at which the owner has acknowledged a report that it had not acknowledged before
	unconfirmedLogged  bool                 // HoldUnconfirmed was logged since confirmedAt

	clock             workerClock
	heldUntilMs       int64 // latest hold deadline that this or an earlier agent process has sent, on the worker's clock
	workerUnreachable bool  // the worker does not respond
	// paceLimitPercent caps the pace of best-effort runs, in percent of full speed. A best-effort run uses only the CPU time that
	// other runs leave.
	paceLimitPercent int
	refusedConns     int // number of consecutive calls whose connection was refused
	// unreadableRowsLogged is true once a list of the worker's lifetime with rows that cannot be decoded was logged.
	unreadableRowsLogged bool
}

// sentReport is when a report was sent.
type sentReport struct {
	clockMs int64         // a time in milliseconds that the worker's clock had reached
	at      time.Duration // boot time
}

// run is a run that this agent is responsible for.
type run struct {
	start          session.Start
	resourcesKnown bool // start contains the resources that the run reserves
	startConfirmed bool // the worker has confirmed that the run started
	stopRequested  bool
	// recheckAfter is a boot time, set after a response that does not show whether the run is active. The first list requested
	// from the worker after this time shows it. 0: no recheck is needed.
	recheckAfter    time.Duration
	refuseReason    string // reported to the owner if the recheck does not find the run
	checkpoint      string
	progressPercent int
	// progressedAt is the boot time since which neither the progress nor the pace has changed; 0: the worker has not listed the run.
	progressedAt     time.Duration
	recentUsage      int // see session.Run.RecentUsage
	pacePercent      int // percent of full speed, as confirmed by the worker
	ownerPacePercent int // percent of full speed that the owner allows
}

// New returns an agent that waits for its worker to register.
func New(cfg Config) *Agent {
	return &Agent{
		cfg: cfg, startQueue: make(chan *run, 4096), stopQueue: make(chan *run, 4096),
		reportDue: make(chan struct{}, 1), endsAcked: make(chan struct{}, 1), paceDue: make(chan struct{}, 1),
		departed:         make(chan int64, 1),
		registered:       make(chan struct{}, 1),
		paceLimitPercent: jobs.FullPacePercent, tokenStepMs: 1,
		runByTask: map[string]*run{}, sentReports: map[int64]sentReport{},
	}
}

const (
	// startConcurrency is the maximum number of starts in flight. It is low because a worker accepts few connections, and these
	// are kept open.
	startConcurrency = 6
	stopConcurrency  = 2
	// reportInterval is the interval between complete run lists sent to the owner.
	reportInterval = 300 * time.Millisecond
	// minListReportInterval is the minimum time between complete reports that are sent because the worker listed its runs.
	minListReportInterval = 180 * time.Millisecond
	// maxListReportsPerSecond is the rate of complete reports that an owner gets from all agents together. In a large fleet the
	// agents report less often; ends of runs are still reported at once.
	maxListReportsPerSecond = 700
	// maxListReportInterval bounds the interval of a single agent. Several intervals fit into session.IdleTimeout.
	maxListReportInterval = 500 * time.Millisecond
)

// listReportInterval returns the time between two complete reports of one agent. agentCount is the number of agents; 0: unknown.
func listReportInterval(agentCount int) time.Duration {
	return min(maxListReportInterval, max(minListReportInterval, time.Duration(agentCount)*time.Second/maxListReportsPerSecond))
}

// Run serves until ctx is done. The runs on the worker continue afterwards. The next agent process finds them in the worker's
// list.
func (a *Agent) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for range startConcurrency {
		wg.Go(func() { a.executeStarts(ctx) })
	}
	for range stopConcurrency {
		wg.Go(func() { a.executeStops(ctx) })
	}
	wg.Go(func() { a.renewHolds(ctx) })
	wg.Go(func() { a.reportLoop(ctx) })
	wg.Go(func() { a.paceLoop(ctx) })
	wg.Wait()
	return nil
}

// Unregister records that the worker has shut down, which ends all of its runs.
func (a *Agent) Unregister(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.worker == nil || a.worker.ID != id || a.worker.Gone {
		return
	}
	a.refusedConns = 0
	a.markWorkerGone()
	select {
	case <-a.departed:
	default:
	}
	a.departed <- a.worker.Lifetime
}

// Departed returns the channel that receives the lifetime of the worker each time the worker has unregistered.
func (a *Agent) Departed() <-chan int64 { return a.departed }

// RestoreDeparture sets the lifetime of the worker that was over when the worker unregistered, as an earlier process of the agent has
// announced it; 0: none. A registration of that lifetime is a delayed one.
func (a *Agent) RestoreDeparture(lifetime int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.departedLifetime = max(a.departedLifetime, lifetime)
	if a.worker != nil && !a.worker.Gone && a.worker.Lifetime <= a.departedLifetime {
		a.refusedConns = 0
		a.markWorkerGone()
	}
}

// markWorkerGone records that the current lifetime of the worker and all of its runs have ended.
func (a *Agent) markWorkerGone() {
	goneWorker := *a.worker
	goneWorker.Gone = true
	a.worker = &goneWorker
	a.runByTask = map[string]*run{}
	a.activeListed, a.runsListed, a.listIncomplete, a.goneReportSeq, a.goneAcked = false, false, false, 0, false
	a.signalReport()
}

// resetLifetime discards the state of the worker's previous lifetime.
func (a *Agent) resetLifetime() {
	a.token, a.ackedEndSeq, a.reportedEndSeq, a.grantedUntilMs, a.heldUntilMs, a.clock = 0, 0, 0, 0, 0, workerClock{}
	a.activeListed, a.runsListed, a.listIncomplete, a.unreadableRowsLogged, a.refusedConns = false, false, false, false, 0
	a.runByTask, a.sentReports, a.unackedEnds, a.grantOverAt = map[string]*run{}, map[int64]sentReport{}, nil, 0
}

func (a *Agent) identity() WorkerIdentity {
	return WorkerIdentity{ID: a.worker.ID, Lifetime: a.worker.Lifetime}
}

func (a *Agent) signalReport() {
	select {
	case a.reportDue <- struct{}{}:
	default:
	}
}

// OwnerConnected sends a complete report to a new owner.
func (a *Agent) OwnerConnected(conn *ownerconn.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sendReport(conn, true)
}

// bindOwner makes conn the connection to the owner. If conn is new, bindOwner resets what has been reported and received on the
// previous connection, and returns true.
func (a *Agent) bindOwner(conn *ownerconn.Conn) bool {
	if a.ownerConn == conn {
		return false
	}
	a.ownerConn, a.reportedEndSeq, a.lastCommandSeq, a.reportedWorker = conn, 0, 0, nil
	return true
}

// HandleMessage handles a message from the owner.
func (a *Agent) HandleMessage(conn *ownerconn.Conn, message *session.ToMember) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cfg.Follower.Conn() != conn {
		return // the connection has been replaced by one to a newer owner
	}
	a.bindOwner(conn)
	a.applyReportAck(message.AckReportSeq)
	if message.Suspicion != nil {
		a.keepSuspicion(message.Suspicion)
	}
	for i := range message.RunResources {
		a.setResources(&message.RunResources[i])
	}
	for i := range message.Paces {
		a.setOwnerPace(&message.Paces[i])
	}
	for i := range message.Stops {
		a.queueStop(&message.Stops[i])
	}
	for i := range message.Starts {
		a.queueStart(&message.Starts[i])
	}
	if message.Seq > a.lastCommandSeq {
		a.lastCommandSeq = message.Seq
	}
	if message.AckNow {
		conn.Send(a.emptyReport())
	}
	a.applyAck(message)
}

// applyReportAck processes the acknowledgement of a report; 0: none. The number may be that of an earlier process of the agent.
func (a *Agent) applyReportAck(ackedSeq int64) {
	if sent, ok := a.sentReports[ackedSeq]; ok {
		maxHold := a.cfg.MaxHoldDuration
		if a.cfg.Follower.IsOwnerLocal() {
			maxHold = min(maxHold, session.MaxHoldBesideOwner)
		}
		a.grantedUntilMs = max(a.grantedUntilMs, sent.clockMs+maxHold.Milliseconds())
		a.grantOverAt = max(a.grantOverAt, sent.at+session.LongestHold(maxHold))
		a.confirmedAt, a.unconfirmedLogged = boottime.Now(), false
		for reportSeq := range a.sentReports {
			if reportSeq <= ackedSeq { // a repeated acknowledgement confirms nothing new
				delete(a.sentReports, reportSeq)
			}
		}
	}
	if a.goneReportSeq != 0 && a.goneReportSeq <= ackedSeq && ackedSeq <= a.lastReportSeq {
		a.goneAcked = true
	}
}

// isGrantOver reports whether the owner may have started the tasks of the worker's runs elsewhere, because it has confirmed no report for the
// time of a hold. The runs have then ended, unless the worker's clock stood still while its host was suspended.
func (a *Agent) isGrantOver() bool { return a.grantOverAt != 0 && boottime.Now() > a.grantOverAt }

// stopOverdueRuns stops the runs that the worker still holds although the grant is over.
func (a *Agent) stopOverdueRuns() {
	if !a.isGrantOver() || a.clock.reachedMs() > a.grantedUntilMs {
		return
	}
	stopped := 0
	for _, r := range a.runByTask {
		if !r.stopRequested {
			stopped++
			a.queueStop(&session.Stop{Task: r.start.Task, Run: r.start.Run})
		}
	}
	if stopped > 0 {
		events.HoldOverdue.Log(&a.cfg.Log).Int("runs", stopped).Int64("over_ms", (boottime.Now()-a.grantOverAt).Milliseconds()).
			Int64("held_until_ms", a.grantedUntilMs).Int64("clock_ms", a.clock.reachedMs()).Send()
	}
}

// maxUnconfirmed is the time without a confirmed report after which the agent logs that the hold is not extended.
const maxUnconfirmed = 2 * time.Second

// logUnconfirmedHold logs, once, that the owner has confirmed no report for maxUnconfirmed.
func (a *Agent) logUnconfirmedHold() {
	if a.unconfirmedLogged || len(a.runByTask) == 0 || boottime.Now() < a.confirmedAt+maxUnconfirmed {
		return
	}
	a.unconfirmedLogged = true
	events.HoldUnconfirmed.Log(&a.cfg.Log).Int64("life", a.worker.Lifetime).Int("runs", len(a.runByTask)).Int64("held_until_ms", a.grantedUntilMs).
		Int64("clock_ms", a.clock.reachedMs()).Int64("read_ms", a.clock.readMs).Int64("read_age_ms", time.Since(a.clock.receivedAt).Milliseconds()).
		Int64("call_ms", a.clock.callTime.Milliseconds()).Send()
}

// applyAck drops the ends that the owner has acknowledged as durable. The next Hold call acknowledges them to the worker,
// which then forgets them.
func (a *Agent) applyAck(message *session.ToMember) {
	if a.worker == nil || message.AckLifetime != a.worker.Lifetime || message.AckEndSeq <= a.ackedEndSeq {
		return
	}
	a.ackedEndSeq = message.AckEndSeq
	kept := a.unackedEnds[:0]
	for _, e := range a.unackedEnds {
		if e.Seq > a.ackedEndSeq {
			kept = append(kept, e)
		}
	}
	a.unackedEnds = kept
	select {
	case a.endsAcked <- struct{}{}:
	default:
	}
}

// setResources stores the start command, with the reserved resources, of a run that was found on the worker.
func (a *Agent) setResources(s *session.Start) {
	if r := a.runByTask[s.Task]; r != nil && r.start.Run == s.Run && !r.resourcesKnown {
		r.start, r.resourcesKnown = *s, true
	}
}

// recordRefusal logs that a start is refused, and why, and adds the refusal to the next report to the owner.
func (a *Agent) recordRefusal(task string, number int, reason string) {
	events.RunRefused.Log(&a.cfg.Log).Str("task", task).Int("run", number).Str("why", reason).Send()
	a.unreportedRefusals = append(a.unreportedRefusals, session.Refusal{Task: task, Run: number, Reason: reason})
	a.signalReport()
}

// queueStart queues a start command, or refuses the start and reports the refusal to the owner.
func (a *Agent) queueStart(s *session.Start) {
	if reason := a.refusalReason(s); reason != "" {
		a.recordRefusal(s.Task, s.Run, reason)
		return
	}
	r := &run{start: *s, resourcesKnown: true, pacePercent: jobs.FullPacePercent, ownerPacePercent: jobs.FullPacePercent}
	if s.Pace > 0 {
		r.ownerPacePercent = s.Pace
	}
	a.runByTask[s.Task] = r
	select {
	case a.startQueue <- r:
	default:
		delete(a.runByTask, s.Task)
		a.recordRefusal(s.Task, s.Run, "too many orders")
	}
}

// refusalReason returns why a start is refused, or "" if it is admitted. The worker does not enforce its capacity. Only this
// check counts the resources of unanswered starts and of runs that are being stopped.
func (a *Agent) refusalReason(start *session.Start) string {
	worker := a.worker
	switch {
	case worker == nil || worker.Gone:
		return "no worker"
	case worker.Lifetime != start.Lifetime:
		return "another lifetime of the worker"
	case a.closedReason() != "":
		if a.isOutOfService() {
			a.cfg.Metrics.Counter("agent_starts_refused_out_of_service").Inc(1)
		}
		return a.closedReason()
	case start.Label != "" && !slices.Contains(worker.Labels, start.Label):
		return "the worker lacks the label"
	case !a.runsListed:
		return "the worker's runs are not known yet"
	case a.runByTask[start.Task] != nil:
		return "another run of the task is not over"
	}
	cpu, mem, gpu := 0, start.MemMB, start.GPU
	if !start.BestEffort {
		cpu = start.CPU
	}
	for _, r := range a.runByTask {
		if !r.resourcesKnown {
			return "a run of unknown size"
		}
		if !r.start.BestEffort {
			cpu += r.start.CPU
		}
		mem += r.start.MemMB
		gpu += r.start.GPU
	}
	if cpu > worker.CPU || mem > worker.MemMB || gpu > worker.GPU {
		return "no room"
	}
	return ""
}

// Reasons given for refusing a start.
const (
	reasonDraining     = "the worker drains"
	reasonOutOfService = "the failure domain is out of service"
)

// closedReason returns why the worker takes no starts of any task, or "" if it takes them.
func (a *Agent) closedReason() string {
	switch {
	case a.worker != nil && a.worker.Draining:
		return reasonDraining
	case a.isOutOfService():
		return reasonOutOfService
	}
	return ""
}

// isOutOfService reports whether the failure domain of the worker is out of service, as far as this agent knows.
func (a *Agent) isOutOfService() bool {
	return a.worker != nil && a.cfg.Domains.Get().IsOutOfService(a.worker.Zone)
}

func (a *Agent) queueStop(s *session.Stop) {
	r := a.runByTask[s.Task]
	if r == nil || r.start.Run != s.Run || r.stopRequested {
		return
	}
	r.stopRequested = true
	select {
	case a.stopQueue <- r:
	default:
		r.stopRequested = false // the owner repeats the stop after the next complete report
	}
}

// removeRun deletes a run that has ended or will not start. A different run of the same task is kept.
func (a *Agent) removeRun(r *run) {
	if a.runByTask[r.start.Task] == r {
		delete(a.runByTask, r.start.Task)
	}
}

// assertCapacity asserts that the admitted runs fit the worker's CPU capacity.
func (a *Agent) assertCapacity() {
	if a.worker == nil {
		return
	}
	cpu := 0
	for _, r := range a.runByTask {
		if r.resourcesKnown && !r.start.BestEffort {
			cpu += r.start.CPU
		}
	}
	invariant.Check(cpu <= a.worker.CPU, "worker_room", "runs take %d of %d", cpu, a.worker.CPU)
}
