// Package agent implements the agent process beside a backend server. It alone decides
// what runs on its host: it admits requests to the backend server's slots and connections
// and batch tasks to the worker's resources, renews the tasks' leases, and reports to the
// partition owners.
package agent

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"bamboofork/internal/backend"
	"bamboofork/internal/events"
	"bamboofork/internal/gate"
	"bamboofork/internal/membership"
	"bamboofork/internal/partition"
	"bamboofork/internal/scheduler"
	"bamboofork/internal/settings"
	"bamboofork/internal/telemetry"
	"bamboofork/internal/wire"
	"bamboofork/internal/worker"
)

// Config configures an Agent.
type Config struct {
	ID           string
	BackendName  string
	BackendAddr  string
	Gate         gate.Config
	DrainTimeout time.Duration // maximum wait for requests in flight during a graceful shutdown
}

// Agent serves one host.
type Agent struct {
	cfg        Config
	log        zerolog.Logger
	live       *settings.Live
	gate       *gate.Gate
	backend    *backend.Client
	fences     *fenceTable
	tasks      *taskRunner
	table      *membership.Table
	metrics    *telemetry.Registry
	started    time.Time
	drainState *drainState
	history    *scheduler.History
}

// New returns an agent; Run starts it.
func New(cfg Config, w worker.Worker, live *settings.Live, dir *partition.Directory, table *membership.Table,
	metrics *telemetry.Registry, log zerolog.Logger) *Agent {
	a := &Agent{
		cfg: cfg, log: log, live: live, gate: gate.New(cfg.Gate),
		backend: backend.NewClient(cfg.BackendAddr, cfg.Gate.Conns),
		table:   table, metrics: metrics, started: time.Now(), history: scheduler.NewHistory(), drainState: newDrainState(),
	}
	a.fences = newFenceTable(a.clock)
	a.tasks = newTaskRunner(a, w, dir)
	return a
}

// clock returns the monotonic time since the agent's start.
func (a *Agent) clock() time.Duration { return time.Since(a.started) }

// reportInterval is the update interval of the load report in the membership record.
const reportInterval = 200 * time.Millisecond

// Run serves until ctx is done, then drains: it announces the shutdown, waits for the entries to receive the announcement,
// lets requests in flight finish, and checkpoints its batch tasks so that they resume on other hosts.
func (a *Agent) Run(ctx context.Context) error {
	if err := a.tasks.adopt(ctx); err != nil {
		return err
	}
	taskCtx, stopTasks := context.WithCancel(context.Background())
	tasksDone := make(chan struct{})
	go func() {
		defer close(tasksDone)
		a.tasks.run(taskCtx)
	}()
	go a.backend.MonitorHealth(taskCtx, a.backendChanged)
	a.publishLoop(ctx)
	a.drain()
	stopTasks()
	<-tasksDone
	a.backend.Close()
	return nil
}

func (a *Agent) backendChanged(down bool) {
	ev := events.BackendUp
	if down {
		ev = events.BackendDown
	}
	ev.Log(&a.log).Str("addr", a.cfg.BackendAddr).Send()
	a.updateMemberRecord()
}

func (a *Agent) publishLoop(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		a.updateMemberRecord()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *Agent) updateMemberRecord() {
	clock := a.clock() // read before the usage, so that a report with a later clock than an admission includes it
	u := a.gate.Usage()
	rev := a.live.Current().Revision
	load, quick := a.tasks.load(u.FreeResources, time.Now()), a.tasks.colocator.currentSummary()
	pairs := a.tasks.colocator.model.Pairs()
	a.table.Update(func(m *membership.Member) {
		m.SettingsRev = rev
		m.Load = membership.Load{
			Backend: a.cfg.BackendName, Slots: u.Slots, SlotsBusy: u.Busy, Queued: u.Queued,
			Conns: u.Conns, ConnsMax: u.ConnsMax, Capacity: u.Resources, Free: u.FreeResources, Clock: clock,
			Failing: a.tasks.failing(), FreeAt: load.freeAt, Teams: load.teams, Preemptible: load.preemptible,
			QuickKind: quick.kind, QuickRatio: quick.ratio, BatchCores: quick.cores, Pairs: pairs, BackendDown: a.backend.Down(),
		}
	})
	a.metrics.Gauge("agent_slots_busy").Update(int64(u.Busy))
	a.metrics.Gauge("agent_queued").Update(int64(u.Queued))
	a.metrics.Gauge("agent_connections").Update(int64(u.Conns))
}

// Service handles control calls from partition owners and entries; register it as "Agent".
type Service struct{ agent *Agent }

// Service returns the receiver to register.
func (a *Agent) Service() *Service { return &Service{a} }

// Place admits and starts a task, or refuses it.
func (s *Service) Place(args wire.PlaceArgs, reply *wire.PlaceReply) error {
	reply.Accepted, reply.Reason = s.agent.tasks.place(args)
	reply.Kept = reply.Reason == reasonReserved
	reply.Late = reply.Reason == reasonLate
	reply.Clock, reply.Free = s.agent.clock(), s.agent.gate.Usage().FreeResources
	return nil
}

// Stop stops and fences an attempt.
func (s *Service) Stop(args wire.StopArgs, reply *wire.StopReply) error {
	reply.Report, reply.Known = s.agent.tasks.stop(args)
	return nil
}

// Query fences and returns those of the given attempts that this host does not know.
func (s *Service) Query(args wire.QueryArgs, reply *wire.QueryReply) error {
	*reply = s.agent.tasks.query(args)
	return nil
}

// FenceRequest reports how a dispatched request ended. A request that has not started is fenced and never starts.
func (s *Service) FenceRequest(args wire.FenceArgs, reply *wire.FenceReply) error {
	reply.Incarnation = s.agent.table.Self().Incarnation
	if args.Incarnation != reply.Incarnation {
		reply.Verdict = wire.VerdictUnknown // the records of requests do not survive a restart
		return nil
	}
	reply.Verdict, reply.Result = s.agent.fences.resolve(args.RequestID, args.Until)
	return nil
}

func (a *Agent) observeLatency(branch *settings.Effective, took time.Duration) {
	if branch.Class == settings.ClassQuick {
		a.tasks.colocator.observeLatency(branch, took)
		a.metrics.Histogram("agent_quick_us").Update(took.Microseconds())
	}
}
