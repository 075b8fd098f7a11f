// Package gate is the atomic admission control of one host. It is the only authority
// over the backend server's slots and connections and over the worker's resources; a
// refusal proves that the work was not run. Waiting requests share the slots by the
// weights of their branches, then by address prefix, then by caller (hierarchical
// start-time fair queuing), over all entries.
package gate

import (
	"context"
	"errors"
	"sync"
	"time"

	"bamboofork/internal/invariant"
	"bamboofork/internal/worker"
)

// Refusals. The work was not run.
var (
	ErrLeaving  = errors.New("backend server is leaving")
	ErrQueue    = errors.New("queue is full")
	ErrExpired  = errors.New("waited too long for a slot")
	ErrNoConn   = errors.New("no free connection")
	ErrNoRoom   = errors.New("no room on the worker")
	ErrConflict = errors.New("already admitted")
)

// Config sizes a gate.
type Config struct {
	Slots    int              // requests that run at once
	Conns    int              // connections to the backend server, streams included
	MaxQueue int              // waiting requests of one branch
	Room     worker.Resources // for batch tasks
}

// Gate admits work to one host. mu guards all fields below it.
type Gate struct {
	cfg Config

	mu      sync.Mutex
	busy    int
	streams int
	queue   *fairQueue
	mean    float64 // EWMA of the time a request holds a slot, in seconds; 0 before the first release
	leaving bool
	room    worker.Resources            // free for batch tasks
	tasks   map[string]worker.Resources // admitted batch tasks by name
	idle    chan struct{}               // closed when nothing is in flight; nil if nobody waits
}

// New returns an idle gate.
func New(cfg Config) *Gate {
	return &Gate{cfg: cfg, queue: newFairQueue(cfg.MaxQueue), room: cfg.Room, tasks: map[string]worker.Resources{}}
}

// Usage is a gate's state at one moment.
type Usage struct {
	Slots, Busy, Queued, Conns, ConnsMax int
	Room, Free                           worker.Resources
}

// Usage returns the current state.
func (g *Gate) Usage() Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Usage{
		Slots: g.cfg.Slots, Busy: g.busy, Queued: g.queue.len(),
		Conns: g.busy + g.streams, ConnsMax: g.cfg.Conns,
		Room: g.cfg.Room, Free: g.room,
	}
}

// Request describes a request for a slot.
type Request struct {
	Flow     []Share       // from the outermost branch to the caller; must not be empty
	Branch   int           // index in Flow of the branch whose waiting requests MaxQueue bounds
	Timeout  time.Duration // longest wait for the slot
	Deadline time.Time     // end of the whole request; zero: none
}

// AcquireSlot waits for a slot until ctx, the timeout or the deadline ends. The caller must release it exactly once.
// An error proves that no slot was granted.
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
		g.abandon(w)
	case <-ctx.Done():
		g.abandon(w)
	}
	<-w.ready // granted or refused; abandon refuses a waiter that was not granted in the same moment
	if w.err != nil {
		return nil, w.err
	}
	return sync.OnceFunc(func() { g.releaseSlot(w) }), nil
}

func (g *Gate) enqueue(r Request, now time.Time) (*waiter, error) {
	w := newWaiter(r, now)
	if !w.expires.After(now) && r.Timeout > 0 {
		return nil, ErrExpired
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving {
		return nil, ErrLeaving
	}
	if r.Timeout <= 0 && !g.free() {
		return nil, ErrExpired
	}
	if !g.queue.push(w, r) {
		return nil, ErrQueue
	}
	g.dispatch(now)
	return w, nil
}

// free reports whether a slot and a connection are free.
func (g *Gate) free() bool {
	return g.busy < g.cfg.Slots && g.busy+g.streams < g.cfg.Conns
}

// dispatch grants free slots in fair order. A waiter whose time is over is refused before it takes a slot.
func (g *Gate) dispatch(now time.Time) {
	for g.queue.len() > 0 && g.free() {
		if w := g.queue.peek(); w.timeout > 0 && !w.expires.After(now) {
			g.queue.remove(w) // a request that never ran is not charged to its flow
			w.finish(ErrExpired)
			continue
		}
		w := g.queue.pop()
		w.granted = now
		g.busy++
		w.finish(nil)
	}
	g.checkRoom()
	g.checkQueue()
}

func (g *Gate) checkRoom() {
	invariant.Check(g.busy >= 0 && g.busy <= g.cfg.Slots, "slots_per_host", "%d of %d slots in use", g.busy, g.cfg.Slots)
	invariant.Check(g.streams >= 0 && g.busy+g.streams <= g.cfg.Conns, "connections_per_host",
		"%d slots and %d streams on %d connections", g.busy, g.streams, g.cfg.Conns)
}

// checkQueue asserts that no slot stays free while a request waits.
func (g *Gate) checkQueue() {
	invariant.Check(g.queue.len() == 0 || !g.free(), "gate_work_conserving",
		"%d waiting with %d of %d slots in use", g.queue.len(), g.busy, g.cfg.Slots)
}

// abandon refuses a waiter that still waits; it has no effect on one that was granted or refused already.
func (g *Gate) abandon(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.remove(w) {
		w.finish(ErrExpired)
		g.signalIdle()
	}
}

// meanShare is the weight of the newest sample in the mean time on a slot.
const meanShare = 0.05

func (g *Gate) releaseSlot(w *waiter) {
	now := time.Now()
	held := now.Sub(w.granted).Seconds()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busy--
	if g.mean == 0 {
		g.mean = held
	}
	g.queue.correct(w, held, g.mean)
	g.mean += meanShare * (held - g.mean)
	g.dispatch(now)
	g.signalIdle()
}

// AcquireStream takes a connection for a long-lived response. One connection per slot stays free for quick work.
func (g *Gate) AcquireStream() (release func(), err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving {
		return nil, ErrLeaving
	}
	if g.streams >= g.cfg.Conns-g.cfg.Slots {
		return nil, ErrNoConn
	}
	g.streams++
	g.checkRoom()
	return sync.OnceFunc(func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.streams--
		g.dispatch(time.Now())
		g.signalIdle()
	}), nil
}

// AdmitTask reserves room for a batch task. Room is given back by ReleaseTask.
func (g *Gate) AdmitTask(name string, need worker.Resources) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving {
		return ErrLeaving
	}
	return g.admit(name, need)
}

// RestoreTask reserves room for a task that already runs, also on a leaving host.
func (g *Gate) RestoreTask(name string, need worker.Resources) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admit(name, need)
}

func (g *Gate) admit(name string, need worker.Resources) error {
	if _, dup := g.tasks[name]; dup {
		return ErrConflict
	}
	if !need.Fits(g.room) {
		return ErrNoRoom
	}
	g.tasks[name] = need
	g.room = g.room.Sub(need)
	invariant.Check(g.room.MemoryMB >= 0 && g.room.Accelerators >= 0 && g.room.Cores > -1e-3, "room_per_host",
		"free room %+v of %+v", g.room, g.cfg.Room)
	return nil
}

// ReleaseTask gives the room of a task back. An unknown name has no effect.
func (g *Gate) ReleaseTask(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	need, ok := g.tasks[name]
	if !ok {
		return
	}
	delete(g.tasks, name)
	g.room = g.room.Add(need)
}

// Leave refuses new work from now on.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
}

// Drain waits until no request or stream is in flight or queued, or ctx ends.
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
