// Package gate is the atomic admission control of one host. It is the only authority
// over the backend server's slots and connections and over the worker's resources; a
// refusal proves that the work was not run. Waiting requests share the slots by the
// weights of their branches (start-time fair queuing), over all entries.
package gate

import (
	"container/heap"
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

// waiter is a request in the queue. index is its place in the heap, -1 outside.
type waiter struct {
	branch string
	start  float64 // virtual start time
	order  int64
	index  int
	ready  chan struct{}
}

type flow struct {
	finish float64 // virtual finish time of the branch's newest request
	queued int
}

// Gate admits work to one host. mu guards all fields below it.
type Gate struct {
	cfg Config

	mu      sync.Mutex
	busy    int
	streams int
	queue   waitQueue
	flows   map[string]*flow
	virtual float64
	order   int64
	leaving bool
	room    worker.Resources            // free for batch tasks
	tasks   map[string]worker.Resources // admitted batch tasks by name
	idle    chan struct{}               // closed when nothing is in flight; nil if nobody waits
}

// New returns an idle gate.
func New(cfg Config) *Gate {
	return &Gate{cfg: cfg, flows: map[string]*flow{}, room: cfg.Room, tasks: map[string]worker.Resources{}}
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
		Slots: g.cfg.Slots, Busy: g.busy, Queued: len(g.queue),
		Conns: g.busy + g.streams, ConnsMax: g.cfg.Conns,
		Room: g.cfg.Room, Free: g.room,
	}
}

// AcquireSlot waits for a slot until ctx or timeout ends. The caller must release it exactly once.
func (g *Gate) AcquireSlot(ctx context.Context, branch string, weight int, timeout time.Duration) (release func(), err error) {
	w, err := g.enqueue(branch, weight)
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.ready:
		return sync.OnceFunc(g.releaseSlot), nil
	case <-timer.C:
	case <-ctx.Done():
	}
	if g.abandon(w) {
		return nil, ErrExpired
	}
	return sync.OnceFunc(g.releaseSlot), nil // the slot was granted in the same moment
}

func (g *Gate) enqueue(branch string, weight int) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving {
		return nil, ErrLeaving
	}
	f := g.flows[branch]
	if f == nil {
		f = &flow{}
		g.flows[branch] = f
	}
	if f.queued >= g.cfg.MaxQueue {
		return nil, ErrQueue
	}
	g.order++
	w := &waiter{branch: branch, start: max(g.virtual, f.finish), order: g.order, ready: make(chan struct{})}
	f.finish = w.start + 1/float64(max(1, weight))
	f.queued++
	heap.Push(&g.queue, w)
	g.dispatch()
	return w, nil
}

// dispatch grants free slots in the order of virtual start times.
func (g *Gate) dispatch() {
	for len(g.queue) > 0 && g.busy < g.cfg.Slots && g.busy+g.streams < g.cfg.Conns {
		w := heap.Pop(&g.queue).(*waiter)
		g.virtual = max(g.virtual, w.start)
		g.busy++
		g.leaveFlow(w.branch)
		close(w.ready)
	}
	g.checkRoom()
}

func (g *Gate) leaveFlow(branch string) {
	f := g.flows[branch]
	f.queued--
	if f.queued == 0 && f.finish <= g.virtual {
		delete(g.flows, branch)
	}
}

func (g *Gate) checkRoom() {
	invariant.Check(g.busy >= 0 && g.busy <= g.cfg.Slots, "slots_per_host", "%d of %d slots in use", g.busy, g.cfg.Slots)
	invariant.Check(g.streams >= 0 && g.busy+g.streams <= g.cfg.Conns, "connections_per_host",
		"%d slots and %d streams on %d connections", g.busy, g.streams, g.cfg.Conns)
}

// abandon removes a waiter; false means that it was granted already.
func (g *Gate) abandon(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.index < 0 {
		return false
	}
	heap.Remove(&g.queue, w.index)
	g.leaveFlow(w.branch)
	return true
}

func (g *Gate) releaseSlot() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busy--
	g.dispatch()
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
		g.dispatch()
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
	if g.idle != nil && g.busy == 0 && g.streams == 0 && len(g.queue) == 0 {
		close(g.idle)
		g.idle = nil
	}
}

// waitQueue is a heap by virtual start time, then arrival.
type waitQueue []*waiter

func (q waitQueue) Len() int { return len(q) }

func (q waitQueue) Less(i, j int) bool {
	if q[i].start != q[j].start {
		return q[i].start < q[j].start
	}
	return q[i].order < q[j].order
}

func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waitQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	w.index = -1
	*q = old[:len(old)-1]
	return w
}
