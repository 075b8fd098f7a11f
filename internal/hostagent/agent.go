package hostagent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"bamboofork/internal/boottime"
	"bamboofork/internal/events"
	"bamboofork/internal/follow"
	"bamboofork/internal/invariant"
	"bamboofork/internal/jobs"
	"bamboofork/internal/session"
	"bamboofork/internal/telemetry"
)

// Config is what an agent needs from its process.
type Config struct {
	Log      zerolog.Logger
	Metrics  *telemetry.Registry
	Runner   Runner
	Follower *follow.Follower
	Hold     time.Duration // how long runs are held after the newest report that the owner has confirmed
	StopTime time.Duration // longest time that a stop takes on the worker
}

// Agent is one life of the process beside a worker. mu is its only lock and guards all fields below it.
type Agent struct {
	cfg    Config
	orders chan *run
	stops  chan *run
	wake   chan struct{} // a report is due
	acked  chan struct{} // the owner has acknowledged ends
	paced  chan struct{} // a filling run has begun while they are slowed

	mu     sync.Mutex
	worker *session.Worker // newest registration
	token  int64           // fencing token of this life of the agent; 0: not taken yet
	// tokenStep is by how much the token grows when the worker knows a higher one.
	tokenStep int64
	listed    bool // the worker has listed its runs under that token, so that runs holds all of them
	runs      map[string]*run
	ends      []session.RunEnd // listed by the worker, not yet acknowledged
	ackEnds   int64

	// owner is the connection that reported and seenSeq belong to.
	owner    *follow.Conn
	reported int64 // newest end that the present owner was told
	refused  []session.Refusal
	seenSeq  int64
	stamp    int64
	looks    int64           // lists of the worker taken in
	lookDue  bool            // the newest one was not reported yet
	stamps   map[int64]int64 // worker's clock at the sending of a report
	grantMs  int64           // worker's clock until which runs may be held

	clockMs int64         // worker's clock ...
	clockAt time.Duration // ... at this boot time
	heldMs  int64         // worker's clock until which it may hold runs, by the calls made so far
	lost    bool          // the worker does not answer
	// paceLimit is the share of full speed, in percent, that filling runs may have.
	paceLimit int
	closed    int // calls in a row that its port refused
}

// run is a run that this agent is responsible for.
type run struct {
	start    session.Start
	sized    bool // start says what the run takes
	started  bool // the worker has confirmed it
	stopping bool
	// recheck is set after an answer that leaves the run's state open; the first list of the worker that was asked for
	// after this boot time decides.
	recheck time.Duration
	why     string
	saved   string
	percent int
	recent  int
	pace    int // share of full speed, in percent, that the worker has confirmed
	wanted  int // share that the owner allows
}

// New returns an agent without a worker.
func New(cfg Config) *Agent {
	return &Agent{
		cfg: cfg, orders: make(chan *run, 4096), stops: make(chan *run, 4096),
		wake: make(chan struct{}, 1), acked: make(chan struct{}, 1), paced: make(chan struct{}, 1), paceLimit: jobs.FullPace, tokenStep: 1,
		runs: map[string]*run{}, stamps: map[int64]int64{},
	}
}

const (
	// startCallers bounds the starts in flight; connections to a worker are few and are kept.
	startCallers = 6
	stopCallers  = 2
	// reportEvery is how often the owner gets the complete list of runs.
	reportEvery = 300 * time.Millisecond
	// lookGap is the least time between complete reports that follow looks at the worker.
	lookGap = 180 * time.Millisecond
)

// Run serves until ctx ends. Runs on the worker go on; the next life of the agent finds them.
func (a *Agent) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for range startCallers {
		wg.Go(func() { a.startLoop(ctx) })
	}
	for range stopCallers {
		wg.Go(func() { a.stopLoop(ctx) })
	}
	wg.Go(func() { a.holdLoop(ctx) })
	wg.Go(func() { a.reportLoop(ctx) })
	wg.Go(func() { a.paceLoop(ctx) })
	wg.Wait()
	return nil
}

// Register takes in the worker's announcement of itself. An older lifetime than the known one is ignored: a delayed
// announcement may arrive after the worker has started anew.
func (a *Agent) Register(w session.Worker) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.worker
	if old != nil && (w.Life < old.Life || (w.Life == old.Life && old.Gone && a.closed == 0)) {
		return
	}
	if old != nil && w.Life == old.Life && old.Draining {
		w.Draining = true // a worker that drains does not return in the same lifetime
	}
	a.worker = &w
	if old == nil || old.Life != w.Life {
		a.newLife()
	}
	if old == nil || old.Life != w.Life || old.Draining != w.Draining {
		a.signal()
	}
}

// Unregister notes that the worker has left; what ran on it is over.
func (a *Agent) Unregister(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.worker == nil || a.worker.ID != id || a.worker.Gone {
		return
	}
	a.closed = 0
	a.workerGone()
}

// workerGone notes that the present lifetime of the worker is over, and with it all of its runs.
func (a *Agent) workerGone() {
	gone := *a.worker
	gone.Gone = true
	a.worker = &gone
	a.runs = map[string]*run{}
	a.listed = false
	a.signal()
}

// newLife forgets the former lifetime of the worker.
func (a *Agent) newLife() {
	a.token, a.ackEnds, a.reported, a.grantMs, a.clockMs, a.heldMs = 0, 0, 0, 0, 0, 0
	a.listed, a.closed = false, 0
	a.runs, a.stamps, a.ends = map[string]*run{}, map[int64]int64{}, nil
}

func (a *Agent) identity() Identity { return Identity{ID: a.worker.ID, Life: a.worker.Life} }

func (a *Agent) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// noteClock takes in a reading of the worker's clock that was asked for at the boot time.
func (a *Agent) noteClock(life, clockMs int64, asked time.Duration) {
	if a.worker == nil || a.worker.Life != life || clockMs == 0 {
		return
	}
	if a.clockMs == 0 || clockMs > a.clockMs {
		a.clockMs, a.clockAt = clockMs, asked
	}
}

// workerClock estimates the worker's clock. It errs on the late side by the time of one answer.
//
// A worker's clock may be 2% slower than ours, so the estimate is only used shortly after a reading.
func (a *Agent) workerClock() int64 { return a.clockMs + (boottime.Now() - a.clockAt).Milliseconds() }

// Adopted greets a new owner with everything that it needs to know.
func (a *Agent) Adopted(c *follow.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.report(c, true)
}

// bind begins a connection to an owner, which knows nothing yet. It reports whether the connection is new.
func (a *Agent) bind(c *follow.Conn) bool {
	if a.owner == c {
		return false
	}
	a.owner, a.reported, a.seenSeq = c, 0, 0
	return true
}

// Message takes in orders of the owner.
func (a *Agent) Message(c *follow.Conn, m *session.ToMember) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cfg.Follower.Conn() != c {
		return // replaced by a newer owner
	}
	a.bind(c)
	if at, ok := a.stamps[m.Echo]; ok && m.Echo != 0 {
		a.grantMs = max(a.grantMs, at+a.cfg.Hold.Milliseconds())
		for s := range a.stamps {
			if s < m.Echo {
				delete(a.stamps, s)
			}
		}
	}
	for i := range m.Sizes {
		a.size(&m.Sizes[i])
	}
	for i := range m.Paces {
		a.allow(&m.Paces[i])
	}
	for i := range m.Stops {
		a.stop(&m.Stops[i])
	}
	for i := range m.Starts {
		a.start(&m.Starts[i])
	}
	if m.Seq > a.seenSeq {
		a.seenSeq = m.Seq
	}
	a.acknowledge(m)
}

// acknowledge lets the worker forget the ends that the owner has made durable.
func (a *Agent) acknowledge(m *session.ToMember) {
	if a.worker == nil || m.AckLife != a.worker.Life || m.AckEnds <= a.ackEnds {
		return
	}
	a.ackEnds = m.AckEnds
	kept := a.ends[:0]
	for _, e := range a.ends {
		if e.Seq > a.ackEnds {
			kept = append(kept, e)
		}
	}
	a.ends = kept
	select {
	case a.acked <- struct{}{}:
	default:
	}
}

// size completes a run that was found on the worker.
func (a *Agent) size(s *session.Start) {
	if r := a.runs[s.Task]; r != nil && r.start.Run == s.Run && !r.sized {
		r.start, r.sized = *s, true
	}
}

func (a *Agent) refuse(task string, number int, why string) {
	events.RunRefused.Log(&a.cfg.Log).Str("task", task).Int("run", number).Str("why", why).Send()
	a.refused = append(a.refused, session.Refusal{Task: task, Run: number, Reason: why})
	a.signal()
}

// start admits an order if the worker has room for it.
func (a *Agent) start(s *session.Start) {
	if why := a.admit(s); why != "" {
		a.refuse(s.Task, s.Run, why)
		return
	}
	r := &run{start: *s, sized: true, pace: jobs.FullPace, wanted: jobs.FullPace}
	if s.Pace > 0 {
		r.wanted = s.Pace
	}
	a.runs[s.Task] = r
	select {
	case a.orders <- r:
	default:
		delete(a.runs, s.Task)
		a.refuse(s.Task, s.Run, "too many orders")
	}
}

// admit returns why a start is refused, or nothing. The worker does not guard its room; this is the only check that
// counts what is unanswered and what is being stopped.
func (a *Agent) admit(s *session.Start) string {
	w := a.worker
	switch {
	case w == nil || w.Gone:
		return "no worker"
	case w.Life != s.Life:
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
	if !s.Fills {
		cpu = s.CPU
	}
	for _, r := range a.runs {
		if !r.sized {
			return "a run of unknown size"
		}
		if !r.start.Fills {
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

func (a *Agent) stop(s *session.Stop) {
	r := a.runs[s.Task]
	if r == nil || r.start.Run != s.Run || r.stopping {
		return
	}
	r.stopping = true
	select {
	case a.stops <- r:
	default:
		r.stopping = false // ordered again with the next complete list
	}
}

// remove forgets a run whose end is known.
func (a *Agent) remove(r *run) {
	if a.runs[r.start.Task] == r {
		delete(a.runs, r.start.Task)
	}
}

// checkRoom asserts that the runs that the agent let in fit the worker.
func (a *Agent) checkRoom() {
	if a.worker == nil {
		return
	}
	cpu := 0
	for _, r := range a.runs {
		if r.sized && !r.start.Fills {
			cpu += r.start.CPU
		}
	}
	invariant.Check(cpu <= a.worker.CPU, "worker_room", "runs take %d of %d", cpu, a.worker.CPU)
}
