// Package gate is the admission control of one host. It alone allocates the backend
// server's slots and connections and the worker's resources, atomically; a refusal
// guarantees that the work was not run. Queued requests from all entries share the slots
// by the weights of their branches, then by address prefix, then by caller (hierarchical
// start-time fair queuing).
package gate

import (
	"context"
	"errors"
	"sync"
	"time"

	"bamboofork/internal/invariant"
	"bamboofork/internal/worker"
)

// Reasons for a refusal. Each guarantees that the work was not run.
var (
	ErrShuttingDown          = errors.New("backend server is leaving")
	ErrQueueFull             = errors.New("queue is full")
	ErrWaitExpired           = errors.New("waited too long for a slot")
	ErrNoConnection          = errors.New("no free connection")
	ErrInsufficientResources = errors.New("no room on the worker")
	ErrAlreadyAdmitted       = errors.New("already admitted")
)

// Config holds the limits of a gate.
type Config struct {
	Slots     int              // maximum of concurrent requests
	Conns     int              // connections to the backend server, streams included
	MaxQueue  int              // maximum of queued requests per branch
	Resources worker.Resources // resources for batch tasks
}

// Gate admits work to one host. mu guards all fields below it.
type Gate struct {
	cfg Config

	mu           sync.Mutex
	busy         int
	streams      int
	queue        *fairQueue
	meanHold     float64 // EWMA of the time that a request holds a slot, in seconds; 0 before the first release
	shuttingDown bool
	free         worker.Resources            // not reserved by batch tasks
	tasks        map[string]worker.Resources // admitted batch tasks by name
	idle         chan struct{}               // closed once nothing is queued or in flight; nil unless Drain waits
}

// New returns an idle gate.
func New(cfg Config) *Gate {
	return &Gate{cfg: cfg, queue: newFairQueue(cfg.MaxQueue), free: cfg.Resources, tasks: map[string]worker.Resources{}}
}

// Usage is a snapshot of a gate's slots, queue, connections and resources.
type Usage struct {
	Slots, Busy, Queued, Conns, ConnsMax int
	Resources, FreeResources             worker.Resources
}

// Usage returns the current usage.
func (g *Gate) Usage() Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Usage{
		Slots: g.cfg.Slots, Busy: g.busy, Queued: g.queue.len(),
		Conns: g.busy + g.streams, ConnsMax: g.cfg.Conns,
		Resources: g.cfg.Resources, FreeResources: g.free,
	}
}

// Request describes a request for a slot.
type Request struct {
	Flow     []FlowLevel   // from the outermost branch to the caller; must not be empty
	Branch   int           // index in Flow of the branch to whose queue Config.MaxQueue applies
	Timeout  time.Duration // maximum wait for the slot; 0 or less: do not wait
	Deadline time.Time     // deadline of the whole request; zero: none
}

// AcquireSlot waits for a slot until ctx is done or the timeout or the deadline passes. The holder must call release when
// it is done; further calls have no effect. An error guarantees that no slot was granted.
func (g *Gate) AcquireSlot(ctx context.Context, r Request) (release func(), err error) {
	w, err := g.enqueue(r, time.Now())
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(time.Until(w.expires))
	defer timer.Stop()
	select {
	case <-w.ready:
	case <-timer.C:
		g.cancelWait(w)
	case <-ctx.Done():
		g.cancelWait(w)
	}
	<-w.ready // granted or refused; cancelWait has no effect on a slot granted concurrently
	if w.err != nil {
		return nil, w.err
	}
	return sync.OnceFunc(func() { g.releaseSlot(w) }), nil
}

func (g *Gate) enqueue(r Request, now time.Time) (*waiter, error) {
	w := newWaiter(r, now)
	if !w.expires.After(now) && r.Timeout > 0 {
		return nil, ErrWaitExpired
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shuttingDown {
		return nil, ErrShuttingDown
	}
	if r.Timeout <= 0 && !g.hasFreeSlot() {
		return nil, ErrWaitExpired
	}
	if !g.queue.push(w, r) {
		return nil, ErrQueueFull
	}
	g.dispatch(now)
	return w, nil
}

// hasFreeSlot reports whether a slot and a connection for it are free.
func (g *Gate) hasFreeSlot() bool {
	return g.busy < g.cfg.Slots && g.busy+g.streams < g.cfg.Conns
}

// dispatch grants free slots in fair order and refuses expired waiters. The caller holds mu.
func (g *Gate) dispatch(now time.Time) {
	for g.queue.len() > 0 && g.hasFreeSlot() {
		if w := g.queue.peek(); w.timeout > 0 && !w.expires.After(now) {
			g.queue.remove(w) // remove does not charge the flow for a request that never ran
			w.complete(ErrWaitExpired)
			continue
		}
		w := g.queue.pop()
		w.grantedAt = now
		g.busy++
		w.complete(nil)
	}
	g.checkCapacity()
	g.checkWorkConserving()
}

// checkCapacity asserts that slots and connections stay within their limits.
func (g *Gate) checkCapacity() {
	invariant.Check(g.busy >= 0 && g.busy <= g.cfg.Slots, "slots_per_host", "%d of %d slots in use", g.busy, g.cfg.Slots)
	invariant.Check(g.streams >= 0 && g.busy+g.streams <= g.cfg.Conns, "connections_per_host",
		"%d slots and %d streams on %d connections", g.busy, g.streams, g.cfg.Conns)
}

// checkWorkConserving asserts that no slot is free while requests are queued.
func (g *Gate) checkWorkConserving() {
	invariant.Check(g.queue.len() == 0 || !g.hasFreeSlot(), "gate_work_conserving",
		"%d requests queued with %d of %d slots in use", g.queue.len(), g.busy, g.cfg.Slots)
}

// cancelWait refuses a queued waiter; it has no effect on one that has been granted or refused.
func (g *Gate) cancelWait(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.remove(w) {
		w.complete(ErrWaitExpired)
		g.signalIdle()
	}
}

// holdSmoothing is the weight of the newest sample in the EWMA of slot hold times.
const holdSmoothing = 0.05

func (g *Gate) releaseSlot(w *waiter) {
	now := time.Now()
	held := now.Sub(w.grantedAt).Seconds()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busy--
	if g.meanHold == 0 {
		g.meanHold = held
	}
	g.queue.adjustCharge(w, held, g.meanHold)
	g.meanHold += holdSmoothing * (held - g.meanHold)
	g.dispatch(now)
	g.signalIdle()
}

// AcquireStream takes a connection for a long-lived response. One connection per slot
// stays reserved for short requests.
func (g *Gate) AcquireStream() (release func(), err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shuttingDown {
		return nil, ErrShuttingDown
	}
	if g.streams >= g.cfg.Conns-g.cfg.Slots {
		return nil, ErrNoConnection
	}
	g.streams++
	g.checkCapacity()
	return sync.OnceFunc(func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.streams--
		g.dispatch(time.Now())
		g.signalIdle()
	}), nil
}

// AdmitTask reserves resources for a batch task. ReleaseTask releases them.
func (g *Gate) AdmitTask(name string, need worker.Resources) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shuttingDown {
		return ErrShuttingDown
	}
	return g.admit(name, need)
}

// RestoreTask reserves resources for a task that is already running, even while the host shuts down.
func (g *Gate) RestoreTask(name string, need worker.Resources) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admit(name, need)
}

func (g *Gate) admit(name string, need worker.Resources) error {
	if _, dup := g.tasks[name]; dup {
		return ErrAlreadyAdmitted
	}
	if !need.Fits(g.free) {
		return ErrInsufficientResources
	}
	g.tasks[name] = need
	g.free = g.free.Sub(need)
	invariant.Check(g.free.MemoryMB >= 0 && g.free.Accelerators >= 0 && g.free.Cores > -1e-3, "room_per_host",
		"free resources %+v of %+v", g.free, g.cfg.Resources)
	return nil
}

// ReleaseTask releases the resources of a task. An unknown name has no effect.
func (g *Gate) ReleaseTask(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	need, ok := g.tasks[name]
	if !ok {
		return
	}
	delete(g.tasks, name)
	g.free = g.free.Add(need)
}

// BeginShutdown makes the gate refuse new work, at the start of a graceful shutdown.
func (g *Gate) BeginShutdown() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shuttingDown = true
}

// Drain waits until no request is queued and no request or stream is in flight, or until ctx is done.
func (g *Gate) Drain(ctx context.Context) error {
	g.mu.Lock()
	g.idle = make(chan struct{})
	idle := g.idle
	g.signalIdle()
	g.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *Gate) signalIdle() {
	if g.idle != nil && g.busy == 0 && g.streams == 0 && g.queue.len() == 0 {
		close(g.idle)
		g.idle = nil
	}
}
