// Package gate is the admission control of one host. Only the gate allocates the backend
// server's slots and connections and the worker's resources. Each allocation is atomic, and
// a refusal guarantees that the work was not run. Queued requests from all entries share the
// slots by the weights of their branches, then by address prefix, then by caller
// (hierarchical start-time fair queuing).
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
	Slots     int              // maximum number of concurrent requests
	Conns     int              // connections to the backend server, streams included
	MaxQueue  int              // maximum number of queued requests per branch
	Resources worker.Resources // resources of the worker for batch tasks
}

// Gate admits work to one host. mu guards all fields below it.
type Gate struct {
	cfg Config

	mu              sync.Mutex
	busySlots       int
	openStreams     int
	queue           *fairQueue
	meanHoldSeconds float64 // EWMA of the time that a request holds a slot; 0 before the first release
	shuttingDown    bool
	freeResources   worker.Resources            // not reserved by batch tasks
	resourcesByTask map[string]worker.Resources // resources reserved by each admitted batch task, by task name
	drained         chan struct{}               // closed once nothing is queued or in flight; nil unless Drain waits
}

// New returns an idle gate.
func New(cfg Config) *Gate {
	return &Gate{cfg: cfg, queue: newFairQueue(cfg.MaxQueue), freeResources: cfg.Resources, resourcesByTask: map[string]worker.Resources{}}
}

// Usage is a snapshot of a gate's slots, queue, connections and resources. Slots, MaxConns and Resources are limits. BusySlots is
// the number of slots in use, QueuedRequests the number of queued requests and Conns the number of connections in use.
type Usage struct {
	Slots, BusySlots, QueuedRequests, Conns, MaxConns int
	Resources, FreeResources                          worker.Resources
}

// Usage returns the current usage.
func (g *Gate) Usage() Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Usage{
		Slots: g.cfg.Slots, BusySlots: g.busySlots, QueuedRequests: g.queue.len(),
		Conns: g.busySlots + g.openStreams, MaxConns: g.cfg.Conns,
		Resources: g.cfg.Resources, FreeResources: g.freeResources,
	}
}

// Request describes a request for a slot.
type Request struct {
	Flow        []FlowLevel   // from the outermost branch to the caller; must not be empty
	BranchIndex int           // index in Flow of the branch to whose queue Config.MaxQueue applies
	Timeout     time.Duration // maximum wait for the slot; 0 or less means that the request does not wait
	Deadline    time.Time     // deadline of the whole request; zero means no deadline
}

// AcquireSlot waits for a slot until ctx is done, the timeout expires or the deadline passes. The caller must call release
// once the request has ended. Further calls of release have no effect. An error guarantees that no slot was granted.
func (g *Gate) AcquireSlot(ctx context.Context, r Request) (release func(), err error) {
	w, err := g.enqueue(r, time.Now())
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(time.Until(w.expiresAt))
	defer timer.Stop()
	select {
	case <-w.completed:
	case <-timer.C:
		g.cancelWait(w)
	case <-ctx.Done():
		g.cancelWait(w)
	}
	<-w.completed // granted or refused; cancelWait has no effect on a slot granted concurrently
	if w.err != nil {
		return nil, w.err
	}
	return sync.OnceFunc(func() { g.releaseSlot(w) }), nil
}

// enqueue adds a waiter for the request to the queue and grants free slots. An error means that nothing was queued.
func (g *Gate) enqueue(r Request, now time.Time) (*waiter, error) {
	w := newWaiter(r, now)
	if !w.expiresAt.After(now) && r.Timeout > 0 {
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
	return g.busySlots < g.cfg.Slots && g.busySlots+g.openStreams < g.cfg.Conns
}

// dispatch grants free slots to queued waiters in fair order. Waiters that have expired are refused. The caller holds mu.
func (g *Gate) dispatch(now time.Time) {
	for g.queue.len() > 0 && g.hasFreeSlot() {
		if w := g.queue.peek(); w.timeout > 0 && !w.expiresAt.After(now) {
			g.queue.remove(w) // remove does not charge the flow for a request that never ran
			w.complete(ErrWaitExpired)
			continue
		}
		w := g.queue.pop()
		w.grantedAt = now
		g.busySlots++
		w.complete(nil)
	}
	g.assertCapacity()
	g.assertWorkConserving()
}

// assertCapacity asserts that slots and connections stay within their limits.
func (g *Gate) assertCapacity() {
	invariant.Check(g.busySlots >= 0 && g.busySlots <= g.cfg.Slots, "slots_per_host", "%d of %d slots in use", g.busySlots, g.cfg.Slots)
	invariant.Check(g.openStreams >= 0 && g.busySlots+g.openStreams <= g.cfg.Conns, "connections_per_host",
		"%d slots and %d streams on %d connections", g.busySlots, g.openStreams, g.cfg.Conns)
}

// assertWorkConserving asserts that no slot is free while requests are queued.
func (g *Gate) assertWorkConserving() {
	invariant.Check(g.queue.len() == 0 || !g.hasFreeSlot(), "gate_work_conserving",
		"%d requests queued with %d of %d slots in use", g.queue.len(), g.busySlots, g.cfg.Slots)
}

// cancelWait refuses a queued waiter. It has no effect if the waiter has already been granted a slot or been refused.
func (g *Gate) cancelWait(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.remove(w) {
		w.complete(ErrWaitExpired)
		g.signalIfDrained()
	}
}

// meanHoldSampleWeight is the weight of the newest sample in the EWMA of slot hold times.
const meanHoldSampleWeight = 0.05

// releaseSlot frees the slot of w, charges the flow of w for the hold time and grants free slots.
func (g *Gate) releaseSlot(w *waiter) {
	now := time.Now()
	heldSeconds := now.Sub(w.grantedAt).Seconds()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busySlots--
	if g.meanHoldSeconds == 0 {
		g.meanHoldSeconds = heldSeconds
	}
	g.queue.adjustCharge(w, heldSeconds, g.meanHoldSeconds)
	g.meanHoldSeconds += meanHoldSampleWeight * (heldSeconds - g.meanHoldSeconds)
	g.dispatch(now)
	g.signalIfDrained()
}

// AcquireStream acquires a connection for a long-lived response. One connection per slot stays reserved for short requests.
// The caller must call release once the response has ended. Further calls of release have no effect.
func (g *Gate) AcquireStream() (release func(), err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shuttingDown {
		return nil, ErrShuttingDown
	}
	if g.openStreams >= g.cfg.Conns-g.cfg.Slots {
		return nil, ErrNoConnection
	}
	g.openStreams++
	g.assertCapacity()
	return sync.OnceFunc(func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.openStreams--
		g.dispatch(time.Now())
		g.signalIfDrained()
	}), nil
}

// AdmitTask reserves resources for a batch task until ReleaseTask is called with the same name.
func (g *Gate) AdmitTask(name string, need worker.Resources) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shuttingDown {
		return ErrShuttingDown
	}
	return g.reserve(name, need)
}

// RestoreTask reserves resources for a task that is already running, even while the host shuts down.
func (g *Gate) RestoreTask(name string, need worker.Resources) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reserve(name, need)
}

// reserve reserves resources under a task name. It returns ErrAlreadyAdmitted or ErrInsufficientResources if it reserves
// nothing. The caller holds mu.
func (g *Gate) reserve(name string, need worker.Resources) error {
	if _, isReserved := g.resourcesByTask[name]; isReserved {
		return ErrAlreadyAdmitted
	}
	if !need.Fits(g.freeResources) {
		return ErrInsufficientResources
	}
	g.resourcesByTask[name] = need
	g.freeResources = g.freeResources.Sub(need)
	invariant.Check(g.freeResources.MemoryMB >= 0 && g.freeResources.Accelerators >= 0 && g.freeResources.Cores > -1e-3, "room_per_host",
		"free resources %+v of %+v", g.freeResources, g.cfg.Resources)
	return nil
}

// ReleaseTask releases the resources of a task. An unknown name has no effect.
func (g *Gate) ReleaseTask(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	need, ok := g.resourcesByTask[name]
	if !ok {
		return
	}
	delete(g.resourcesByTask, name)
	g.freeResources = g.freeResources.Add(need)
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
	g.drained = make(chan struct{})
	drained := g.drained
	g.signalIfDrained()
	g.mu.Unlock()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// signalIfDrained wakes Drain once nothing is queued or in flight. The caller holds mu.
func (g *Gate) signalIfDrained() {
	if g.drained != nil && g.busySlots == 0 && g.openStreams == 0 && g.queue.len() == 0 {
		close(g.drained)
		g.drained = nil
	}
}
