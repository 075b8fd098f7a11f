package partition_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"bamboofork/internal/agent"
	"bamboofork/internal/gate"
	"bamboofork/internal/lease"
	"bamboofork/internal/membership"
	"bamboofork/internal/partition"
	"bamboofork/internal/peer"
	"bamboofork/internal/settings"
	"bamboofork/internal/standin"
	"bamboofork/internal/store/memstore"
	"bamboofork/internal/telemetry"
	"bamboofork/internal/wire"
	"bamboofork/internal/worker"
)

// Parameters of the randomised runs. The times are short, so that several holds and takeovers fit into a run.
const (
	testPartitions   = 3
	testLeaseTTL     = 3 * time.Second
	testOutageHold   = 20 * time.Second
	testTaskHold     = 8 * time.Second
	testDrainTimeout = 3 * time.Second
)

var testCapacity = worker.Resources{Cores: 8, MemoryMB: 8000}

// process is one agent process with its partitions. mu guards resumed and isDead.
type process struct {
	fleet       *fleet
	id          string
	addr        string
	agent       *agent.Agent
	manager     *partition.Manager
	table       *membership.Table
	view        *fakeView
	service     *agent.Service
	cancel      context.CancelFunc
	done        chan struct{}
	restartOnce sync.Once // starts the next incarnation once

	mu      sync.Mutex
	resumed chan struct{} // closed when the process resumes; nil unless it is paused
	isDead  bool
}

// waitAlive blocks while the process is paused and reports whether it still exists.
func (p *process) waitAlive() bool {
	for {
		p.mu.Lock()
		resumed, dead := p.resumed, p.isDead
		p.mu.Unlock()
		if resumed == nil || dead {
			return !dead
		}
		<-resumed
	}
}

func (p *process) setPaused(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case on && p.resumed == nil:
		p.resumed = make(chan struct{})
	case !on && p.resumed != nil:
		close(p.resumed)
		p.resumed = nil
	}
}

// kill ends the process without any clean-up that is visible to others.
func (p *process) kill() {
	p.mu.Lock()
	p.isDead = true
	p.mu.Unlock()
	p.setPaused(false)
	p.cancel()
}

func (p *process) dispatch(method string, args any) any {
	switch method {
	case "Partition.Report":
		var r wire.ReportReply
		_ = p.manager.Service().Report(args.(wire.ReportArgs), &r)
		return r
	case "Partition.Submit":
		var r wire.SubmitReply
		_ = p.manager.Service().Submit(args.(wire.SubmitArgs), &r)
		return r
	case "Partition.Cancel":
		var r wire.CancelReply
		_ = p.manager.Service().Cancel(args.(wire.CancelArgs), &r)
		return r
	case "Partition.Get":
		var r wire.GetReply
		_ = p.manager.Service().Get(args.(wire.GetArgs), &r)
		return r
	case "Agent.Place":
		var r wire.PlaceReply
		_ = p.service.Place(args.(wire.PlaceArgs), &r)
		return r
	case "Agent.Query":
		var r wire.QueryReply
		_ = p.service.Query(args.(wire.QueryArgs), &r)
		return r
	case "Agent.Preempt":
		var r wire.PreemptReply
		_ = p.service.Preempt(args.(wire.PreemptArgs), &r)
		return r
	case "Agent.Stop":
		var r wire.StopReply
		_ = p.service.Stop(args.(wire.StopArgs), &r)
		return r
	}
	panic("fake network: unknown method " + method)
}

// fleet is a set of hosts with real agents and owners and simulated workers, on a fake network and store. mu guards
// processByID.
type fleet struct {
	engine   *memstore.Engine
	store    *memstore.Faulty
	net      *network
	observer *observer
	log      zerolog.Logger
	workers  map[string]*standin.SimWorker

	clockLag atomic.Int64 // how far the agents' clocks in the membership views lag behind, in nanoseconds

	mu          sync.Mutex
	processByID map[string]*process
	wg          sync.WaitGroup
}

func newFleet(hosts int, seed uint64, log zerolog.Logger) *fleet {
	f := &fleet{
		engine: memstore.New(), log: log, workers: map[string]*standin.SimWorker{}, processByID: map[string]*process{},
		net: &network{rng: rand.New(rand.NewPCG(seed, 2)), hosts: map[string]*process{}},
	}
	f.store = memstore.NewFaulty(f.engine, seed)
	f.observer = newObserver()
	for i := range hosts {
		id := fmt.Sprintf("agent-%d", i+1)
		f.workers[id] = standin.NewSimWorker("worker-of-"+id, testCapacity, f.observer, seed+uint64(i))
		f.start(id)
	}
	return f
}

// start starts a new incarnation of an agent.
func (f *fleet) start(id string) {
	p := &process{fleet: f, id: id, addr: id, done: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	st := procStore{f.store, p}
	call := processCaller{f.net, p}
	log := f.log.With().Str("node", id).Logger()
	p.table = membership.NewTable(membership.Config{Self: membership.Member{ID: id, Role: membership.RoleAgent, Addr: p.addr}},
		isolatedPool(log), log)
	p.view = newFakeView(p.table)
	dir := partition.NewDirectory(st, call, testPartitions)
	keeper := lease.NewKeeper(st, testLeaseTTL, log)
	p.manager = partition.NewManager(partition.Config{
		MemberID: id, ProcessID: partition.ProcessID(id, p.table.Self().Incarnation), Addr: p.addr,
		PartitionCount: testPartitions, MaxPartitions: 2, OutageHold: testOutageHold,
	}, st, keeper, p.view, call, log)
	p.agent = agent.New(agent.Config{ID: id, BackendName: "none", BackendAddr: "127.0.0.1:1", DrainTimeout: testDrainTimeout,
		Gate: gate.Config{Slots: 1, Conns: 1, Resources: testCapacity}},
		procWorker{f.workers[id], p}, settings.NewActiveSnapshot(), dir, p.table, telemetry.New(), log)
	p.service = p.agent.Service()
	f.mu.Lock()
	f.processByID[id] = p
	f.mu.Unlock()
	f.net.mu.Lock()
	f.net.hosts[p.addr] = p
	f.net.mu.Unlock()
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		defer close(p.done)
		p.run(ctx, keeper)
	}()
}

// run runs the process until ctx is done. Then it stops the components in the order of a graceful shutdown: agent,
// partitions, lease.
func (p *process) run(ctx context.Context, keeper *lease.Keeper) {
	partitionsCtx, stopPartitions := context.WithCancel(context.Background())
	leaseCtx, stopLease := context.WithCancel(context.Background())
	var partitions, leases, members sync.WaitGroup
	partitions.Add(1)
	leases.Add(1)
	members.Add(1)
	go func() { defer members.Done(); _ = p.table.Run(leaseCtx) }()
	go func() { defer partitions.Done(); _ = p.manager.Run(partitionsCtx) }()
	go func() { defer leases.Done(); _ = keeper.Run(leaseCtx) }()
	_ = p.agent.Run(ctx)
	stopPartitions()
	partitions.Wait()
	stopLease()
	leases.Wait()
	members.Wait()
	p.table.Update(func(m *membership.Member) { m.Leaving, m.Gone = true, true })
}

// isolatedPool returns a pool that cannot connect to any peer, because fleet.gossip distributes the membership records.
func isolatedPool(log zerolog.Logger) *peer.Pool {
	return peer.NewPool("isolated", log, func(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed })
}

func (f *fleet) process(id string) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processByID[id]
}

func (f *fleet) processes() []*process {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := []*process{}
	for _, p := range f.processByID {
		out = append(out, p)
	}
	return out
}

func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resumed == nil && !p.isDead
}

// background advances workers and leases and distributes membership records until ctx is done.
func (f *fleet) background(ctx context.Context) {
	for tick := 0; ctx.Err() == nil; tick++ {
		time.Sleep(20 * time.Millisecond)
		for _, w := range f.workers {
			w.CoresByKind()
		}
		f.engine.ExpireLeases()
		if tick%10 == 0 {
			f.gossip()
		}
	}
}

func (f *fleet) gossip() {
	records := []membership.Member{}
	for _, p := range f.processes() {
		if p.running() {
			record := p.table.Self()
			record.Load.Clock -= time.Duration(f.clockLag.Load())
			records = append(records, record)
		}
	}
	for _, p := range f.processes() {
		if p.running() {
			for _, m := range records {
				p.view.receive(m)
			}
		}
	}
}

// observer checks the invariants of task execution at the simulated workers. mu guards all fields.
type observer struct {
	mu                sync.Mutex
	workerByTask      map[string]string // ID of the worker that runs the task, by task
	offeredCheckpoint map[worker.Ref]string
	resumes           map[string]int // starts from a checkpoint that follow no loss
	startsFrom        map[string]int // starts of non-idempotent tasks, by task and checkpoint
	startCount        int
	completionsByTask map[string]int
	violations        []string
	nonIdempotent     map[string]bool // IDs of non-idempotent jobs
}

func newObserver() *observer {
	return &observer{
		workerByTask: map[string]string{}, offeredCheckpoint: map[worker.Ref]string{}, resumes: map[string]int{},
		startsFrom: map[string]int{}, completionsByTask: map[string]int{}, nonIdempotent: map[string]bool{},
	}
}

func (o *observer) recordOffer(spec worker.Spec) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.offeredCheckpoint[spec.Ref] = spec.Checkpoint
}

func (o *observer) violate(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// TaskStarted implements standin.TaskObserver.
func (o *observer) TaskStarted(ref worker.Ref, workerID string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.startCount++
	if other := o.workerByTask[ref.Task]; other != "" {
		o.violate("%v: task %s attempt %d starts on %s while it runs on %s", time.Now().UTC(), ref.Task, ref.Attempt, workerID, other)
	}
	o.workerByTask[ref.Task] = workerID
	job, _, _ := strings.Cut(ref.Task, "/")
	if !o.nonIdempotent[job] {
		return
	}
	start := ref.Task + " from " + o.offeredCheckpoint[ref]
	if o.startsFrom[start]++; o.startsFrom[start] > 1 {
		o.violate("%v: non-idempotent task %q started %d times", time.Now().UTC(), start, o.startsFrom[start])
	}
}

// TaskEnded implements standin.TaskObserver.
func (o *observer) TaskEnded(ref worker.Ref, workerID string, state worker.State) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.workerByTask[ref.Task] == workerID {
		delete(o.workerByTask, ref.Task)
	}
	if state == worker.StateDone {
		o.completionsByTask[ref.Task]++
	}
}
