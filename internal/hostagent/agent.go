package hostagent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"bamboofork/internal/boottime"
	"bamboofork/internal/events"
	"bamboofork/internal/invariant"
	"bamboofork/internal/jobs"
	"bamboofork/internal/ownerconn"
	"bamboofork/internal/session"
	"bamboofork/internal/telemetry"
)

// Config holds an agent's settings and the services that it uses.
type Config struct {
	Log         zerolog.Logger
	Metrics     *telemetry.Registry
	Runner      Runner
	Follower    *ownerconn.Follower
	MaxHold     time.Duration // how long runs stay held after the newest report that the owner has acknowledged
	StopTimeout time.Duration // upper bound on the time the worker takes to stop a run
}

// Agent is one incarnation of the agent beside a worker. mu is its only lock and guards all fields below it.
type Agent struct {
	cfg        Config
	startQueue chan *run
	stopQueue  chan *run
	reportDue  chan struct{} // wakes reportLoop
	endsAcked  chan struct{} // the owner has acknowledged ends
	paceDue    chan struct{} // the pace of a run may differ from its target

	mu     sync.Mutex
	worker *session.Worker // newest registration
	token  int64           // fencing token of this agent process; 0: not chosen yet
	// tokenStep is added to the token when the worker has seen a higher one.
	tokenStep   int64
	listed      bool // the worker has listed its runs under that token, so runs is complete
	runs        map[string]*run
	unackedEnds []session.RunEnd // listed by the worker, not yet acknowledged
	ackedEndSeq int64

	// owner is the connection to which reportedEndSeq and lastCommandSeq apply.
	owner          *ownerconn.Conn
	reportedEndSeq int64 // newest end reported to the current owner
	refusals       []session.Refusal
	lastCommandSeq int64
	lastReportSeq  int64
	listCount      int64           // run lists received from the worker
	listUnreported bool            // the newest list has not been reported yet
	reportClocks   map[int64]int64 // worker's clock when each report was sent, by report number
	grantedUntilMs int64           // time on the worker's clock until which the owner allows runs to be held

	clockMs     int64         // latest reading of the worker's clock
	clockAt     time.Duration // boot time at which the call for that reading was sent
	heldUntilMs int64         // latest deadline sent to the worker, on the worker's clock
	unreachable bool          // the worker does not respond
	// paceLimit caps the pace, in percent of full speed, of best-effort runs: runs that use only the CPU time that others leave.
	paceLimit    int
	refusedConns int // consecutive calls that the worker's port refused
}

// run is a run that this agent is responsible for.
type run struct {
	start          session.Start
	resourcesKnown bool // start holds the resources that the run reserves
	started        bool // the worker has confirmed it
	stopping       bool
	// recheckAfter is set after a response that leaves the run's state undetermined. The first list requested from the worker
	// after this boot time decides it.
	recheckAfter time.Duration
	refuseReason string
	checkpoint   string
	percent      int
	recentUsage  int // as in session.Run
	pace         int // percent of full speed, as confirmed by the worker
	ownerPace    int // percent of full speed that the owner allows
}

// New returns an agent that waits for its worker to register.
func New(cfg Config) *Agent {
	return &Agent{
		cfg: cfg, startQueue: make(chan *run, 4096), stopQueue: make(chan *run, 4096),
		reportDue: make(chan struct{}, 1), endsAcked: make(chan struct{}, 1), paceDue: make(chan struct{}, 1),
		paceLimit: jobs.FullPace, tokenStep: 1,
		runs: map[string]*run{}, reportClocks: map[int64]int64{},
	}
}

const (
	// startConcurrency bounds the starts in flight, because a worker accepts few connections, which are kept open.
	startConcurrency = 6
	stopConcurrency  = 2
	// reportInterval is the period of the complete run lists sent to the owner.
	reportInterval = 300 * time.Millisecond
	// minListReportInterval is the minimum time between complete reports that are sent because the worker listed its runs.
	minListReportInterval = 180 * time.Millisecond
)

// Run serves until ctx is done. Runs on the worker continue; the next agent process finds them in the worker's list.
func (a *Agent) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for range startConcurrency {
		wg.Go(func() { a.startLoop(ctx) })
	}
	for range stopConcurrency {
		wg.Go(func() { a.stopLoop(ctx) })
	}
	wg.Go(func() { a.holdLoop(ctx) })
	wg.Go(func() { a.reportLoop(ctx) })
	wg.Go(func() { a.paceLoop(ctx) })
	wg.Wait()
	return nil
}

// Register handles the registration of the worker. A lifetime older than the known one is ignored, because a delayed
// registration may arrive after the worker has restarted.
func (a *Agent) Register(w session.Worker) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.worker
	if old != nil && (w.Lifetime < old.Lifetime || (w.Lifetime == old.Lifetime && old.Gone && a.refusedConns == 0)) {
		return
	}
	if old != nil && w.Lifetime == old.Lifetime && old.Draining {
		w.Draining = true // a draining worker stays draining until it restarts
	}
	a.worker = &w
	if old == nil || old.Lifetime != w.Lifetime {
		a.resetLifetime()
	}
	if old == nil || old.Lifetime != w.Lifetime || old.Draining != w.Draining {
		a.signalReport()
	}
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
}

// markWorkerGone records that the current lifetime of the worker and all of its runs have ended.
func (a *Agent) markWorkerGone() {
	gone := *a.worker
	gone.Gone = true
	a.worker = &gone
	a.runs = map[string]*run{}
	a.listed = false
	a.signalReport()
}

// resetLifetime discards the state of the worker's previous lifetime.
func (a *Agent) resetLifetime() {
	a.token, a.ackedEndSeq, a.reportedEndSeq, a.grantedUntilMs, a.clockMs, a.heldUntilMs = 0, 0, 0, 0, 0, 0
	a.listed, a.refusedConns = false, 0
	a.runs, a.reportClocks, a.unackedEnds = map[string]*run{}, map[int64]int64{}, nil
}

func (a *Agent) identity() Identity { return Identity{ID: a.worker.ID, Lifetime: a.worker.Lifetime} }

func (a *Agent) signalReport() {
	select {
	case a.reportDue <- struct{}{}:
	default:
	}
}

// recordClock stores a reading of the worker's clock. sentAt is the boot time at which the call was sent.
func (a *Agent) recordClock(lifetime, clockMs int64, sentAt time.Duration) {
	if a.worker == nil || a.worker.Lifetime != lifetime || clockMs == 0 {
		return
	}
	if a.clockMs == 0 || clockMs > a.clockMs {
		a.clockMs, a.clockAt = clockMs, sentAt
	}
}

// workerClockMs estimates the worker's clock. The estimate runs ahead by at most the duration of one call.
//
// A worker's clock may run up to 2% slower than ours, so the estimate is only used shortly after a reading.
func (a *Agent) workerClockMs() int64 { return a.clockMs + (boottime.Now() - a.clockAt).Milliseconds() }

// OwnerConnected sends a complete report to a new owner.
func (a *Agent) OwnerConnected(c *ownerconn.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sendReport(c, true)
}

// bindOwner makes c the owner's connection and resets what was reported on the previous one. It reports whether c is new.
func (a *Agent) bindOwner(c *ownerconn.Conn) bool {
	if a.owner == c {
		return false
	}
	a.owner, a.reportedEndSeq, a.lastCommandSeq = c, 0, 0
	return true
}

// HandleMessage handles a message from the owner.
func (a *Agent) HandleMessage(c *ownerconn.Conn, m *session.ToMember) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cfg.Follower.Conn() != c {
		return // replaced by a newer owner
	}
	a.bindOwner(c)
	if at, ok := a.reportClocks[m.AckReport]; ok && m.AckReport != 0 {
		a.grantedUntilMs = max(a.grantedUntilMs, at+a.cfg.MaxHold.Milliseconds())
		for s := range a.reportClocks {
			if s < m.AckReport {
				delete(a.reportClocks, s)
			}
		}
	}
	for i := range m.RunResources {
		a.setResources(&m.RunResources[i])
	}
	for i := range m.Paces {
		a.setOwnerPace(&m.Paces[i])
	}
	for i := range m.Stops {
		a.queueStop(&m.Stops[i])
	}
	for i := range m.Starts {
		a.queueStart(&m.Starts[i])
	}
	if m.Seq > a.lastCommandSeq {
		a.lastCommandSeq = m.Seq
	}
	a.applyAck(m)
}

// applyAck drops the ends that the owner has made durable. The next Hold call lets the worker forget them.
func (a *Agent) applyAck(m *session.ToMember) {
	if a.worker == nil || m.AckLifetime != a.worker.Lifetime || m.AckEnds <= a.ackedEndSeq {
		return
	}
	a.ackedEndSeq = m.AckEnds
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

// setResources fills in the start command of a run that was found on the worker.
func (a *Agent) setResources(s *session.Start) {
	if r := a.runs[s.Task]; r != nil && r.start.Run == s.Run && !r.resourcesKnown {
		r.start, r.resourcesKnown = *s, true
	}
}

func (a *Agent) refuse(task string, number int, reason string) {
	events.RunRefused.Log(&a.cfg.Log).Str("task", task).Int("run", number).Str("why", reason).Send()
	a.refusals = append(a.refusals, session.Refusal{Task: task, Run: number, Reason: reason})
	a.signalReport()
}

// queueStart queues a start if the worker has the resources for it, and refuses it otherwise.
func (a *Agent) queueStart(s *session.Start) {
	if reason := a.refusalReason(s); reason != "" {
		a.refuse(s.Task, s.Run, reason)
		return
	}
	r := &run{start: *s, resourcesKnown: true, pace: jobs.FullPace, ownerPace: jobs.FullPace}
	if s.Pace > 0 {
		r.ownerPace = s.Pace
	}
	a.runs[s.Task] = r
	select {
	case a.startQueue <- r:
	default:
		delete(a.runs, s.Task)
		a.refuse(s.Task, s.Run, "too many orders")
	}
}

// refusalReason returns why a start is refused, or "". The worker does not enforce its capacity; only this check counts
// unanswered starts and runs that are being stopped.
func (a *Agent) refusalReason(s *session.Start) string {
	w := a.worker
	switch {
	case w == nil || w.Gone:
		return "no worker"
	case w.Lifetime != s.Lifetime:
		return "another lifetime of the worker"
	case w.Draining:
		return "the worker drains"
	case s.Label != "" && !slices.Contains(w.Labels, s.Label):
		return "the worker lacks the label"
	case !a.listed:
		return "the worker's runs are not known yet"
	case a.runs[s.Task] != nil:
		return "another run of the task is not over"
	}
	cpu, mem, gpu := 0, s.MemMB, s.GPU
	if !s.BestEffort {
		cpu = s.CPU
	}
	for _, r := range a.runs {
		if !r.resourcesKnown {
			return "a run of unknown size"
		}
		if !r.start.BestEffort {
			cpu += r.start.CPU
		}
		mem += r.start.MemMB
		gpu += r.start.GPU
	}
	if cpu > w.CPU || mem > w.MemMB || gpu > w.GPU {
		return "no room"
	}
	return ""
}

func (a *Agent) queueStop(s *session.Stop) {
	r := a.runs[s.Task]
	if r == nil || r.start.Run != s.Run || r.stopping {
		return
	}
	r.stopping = true
	select {
	case a.stopQueue <- r:
	default:
		r.stopping = false // the owner repeats the command after the next complete list
	}
}

// removeRun deletes a run that has ended or will not start.
func (a *Agent) removeRun(r *run) {
	if a.runs[r.start.Task] == r {
		delete(a.runs, r.start.Task)
	}
}

// checkCapacity asserts that the admitted runs fit the worker.
func (a *Agent) checkCapacity() {
	if a.worker == nil {
		return
	}
	cpu := 0
	for _, r := range a.runs {
		if r.resourcesKnown && !r.start.BestEffort {
			cpu += r.start.CPU
		}
	}
	invariant.Check(cpu <= a.worker.CPU, "worker_room", "runs take %d of %d", cpu, a.worker.CPU)
}
