// Package agent implements the agent process beside a backend server. Only the agent decides what runs on its host. It admits
// requests to the backend server's slots and connections, and batch tasks to the worker's resources. It also renews the tasks'
// leases and reports the tasks to the partition owners.
package agent

import (
	"cmp"
	"context"
	"time"

	"github.com/rs/zerolog"

	"bamboofork/internal/backend"
	"bamboofork/internal/events"
	"bamboofork/internal/gate"
	"bamboofork/internal/membership"
	"bamboofork/internal/network"
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
	Network      network.Network // of the connections to the backend server; nil: TCP
	Gate         gate.Config
	DrainTimeout time.Duration // maximum wait for requests in flight during a graceful shutdown
}

// Agent admits and runs the requests and batch tasks of one host.
type Agent struct {
	cfg          Config
	log          zerolog.Logger
	liveSettings *settings.ActiveSnapshot
	gate         *gate.Gate
	backend      *backend.Client
	fences       *fenceTable
	taskRunner   *taskRunner
	table        *membership.Table
	metrics      *telemetry.Registry
	startedAt    time.Time
	drainSignals *drainSignals
	history      *scheduler.History
}

// New returns an agent; Run starts it.
func New(cfg Config, w worker.Worker, liveSettings *settings.ActiveSnapshot, dir *partition.Directory, table *membership.Table,
	metrics *telemetry.Registry, log zerolog.Logger) *Agent {
	a := &Agent{
		cfg: cfg, log: log, liveSettings: liveSettings, gate: gate.New(cfg.Gate),
		backend: backend.NewClient(cmp.Or(cfg.Network, network.TCPWithKeepAlive), cfg.BackendAddr, cfg.Gate.Conns),
		table:   table, metrics: metrics, startedAt: time.Now(), history: scheduler.NewHistory(), drainSignals: newDrainSignals(),
	}
	a.fences = newFenceTable(a.clock)
	a.taskRunner = newTaskRunner(a, w, dir)
	return a
}

// clock returns the monotonic time since the agent's start.
func (a *Agent) clock() time.Duration { return time.Since(a.startedAt) }

// loadReportInterval is the interval between updates of the host's load in the agent's membership record.
const loadReportInterval = 200 * time.Millisecond

// Run serves until ctx is done and then drains the host. To drain, the agent announces the shutdown, waits for the entries to
// receive the announcement, lets requests in flight finish, and meanwhile checkpoints the batch tasks so that they resume on other
// hosts.
func (a *Agent) Run(ctx context.Context) error {
	if err := a.taskRunner.adoptExistingTasks(ctx); err != nil {
		return err
	}
	taskCtx, stopTasks := context.WithCancel(context.Background())
	tasksDone := make(chan struct{})
	go func() {
		defer close(tasksDone)
		a.taskRunner.runLoop(taskCtx)
	}()
	go a.backend.MonitorHealth(taskCtx, a.handleBackendHealth)
	a.publishMemberRecords(ctx)
	a.drain()
	stopTasks()
	<-tasksDone
	a.backend.Close()
	return nil
}

func (a *Agent) handleBackendHealth(isDown bool) {
	event := events.BackendUp
	if isDown {
		event = events.BackendDown
	}
	event.Log(&a.log).Str("addr", a.cfg.BackendAddr).Send()
	a.updateMemberRecord()
}

func (a *Agent) publishMemberRecords(ctx context.Context) {
	ticker := time.NewTicker(loadReportInterval)
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
	clock := a.clock() // read before the usage, so that a load report with a later clock than an admission includes that admission
	usage := a.gate.Usage()
	revision := a.liveSettings.Current().Revision
	load, latency := a.taskRunner.currentLoad(usage.FreeResources, time.Now()), a.taskRunner.colocationManager.currentSummary()
	interferencePairs := a.taskRunner.colocationManager.model.Pairs()
	a.table.Update(func(m *membership.Member) {
		m.SettingsRev = revision
		m.Load = membership.Load{
			Backend: a.cfg.BackendName, Slots: usage.Slots, SlotsBusy: usage.BusySlots, Queued: usage.QueuedRequests,
			Conns: usage.Conns, ConnsMax: usage.MaxConns, Capacity: usage.Resources, Free: usage.FreeResources, Clock: clock,
			Failing: a.taskRunner.workerIsFailing(), FreeAt: load.freeByHorizon, Teams: load.usedByTeam, Preemptible: load.usedByPriority,
			QuickKind: latency.kind, QuickRatio: latency.ratio, BatchCores: latency.coresByKind, Pairs: interferencePairs,
			BackendDown: a.backend.Down(),
		}
	})
	a.metrics.Gauge("agent_slots_busy").Update(int64(usage.BusySlots))
	a.metrics.Gauge("agent_queued").Update(int64(usage.QueuedRequests))
	a.metrics.Gauge("agent_connections").Update(int64(usage.Conns))
}

// Service handles the control calls from partition owners and entries. It must be registered as "Agent" at the RPC server.
type Service struct{ agent *Agent }

// Service returns the RPC receiver for the control calls to this agent.
func (a *Agent) Service() *Service { return &Service{a} }

// Place admits and starts an attempt of a task, or refuses it with a reason. The reply also contains the agent's clock and the
// host's free resources.
func (s *Service) Place(args wire.PlaceArgs, reply *wire.PlaceReply) error {
	reply.Accepted, reply.Reason = s.agent.taskRunner.placeAttempt(args)
	reply.Kept = reply.Reason == reasonReserved
	reply.Late = reply.Reason == reasonLate
	reply.Clock, reply.Free = s.agent.clock(), s.agent.gate.Usage().FreeResources
	return nil
}

// Stop fences an attempt of a task, stops it if this host knows it, and returns its last report.
func (s *Service) Stop(args wire.StopArgs, reply *wire.StopReply) error {
	reply.Report, reply.Known = s.agent.taskRunner.stopAttempt(args)
	return nil
}

// Query returns the given attempts that this host does not know, and fences them so that they never start here.
func (s *Service) Query(args wire.QueryArgs, reply *wire.QueryReply) error {
	*reply = s.agent.taskRunner.fenceUnknownAttempts(args)
	return nil
}

// FenceRequest returns the state of a dispatched request, with the result if the request has ended. A request that has not
// started is fenced and never starts.
func (s *Service) FenceRequest(args wire.FenceArgs, reply *wire.FenceReply) error {
	reply.Incarnation = s.agent.table.Self().Incarnation
	if args.Incarnation != reply.Incarnation {
		reply.Verdict = wire.VerdictUnknown // the records of requests do not survive a restart
		return nil
	}
	reply.Verdict, reply.Result = s.agent.fences.resolve(args.RequestID, args.Until)
	return nil
}

func (a *Agent) observeLatency(branch *settings.Effective, duration time.Duration) {
	if branch.Class == settings.ClassQuick {
		a.taskRunner.colocationManager.observeLatency(branch, duration)
		a.metrics.Histogram("agent_quick_us").Update(duration.Microseconds())
	}
}
