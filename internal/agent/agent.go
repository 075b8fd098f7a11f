// Package agent is the process beside a backend server. It is the only authority over
// its host's room: it admits requests to the backend server's slots and connections and
// batch tasks to the worker's resources, keeps the tasks' leases, and reports to the
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
	ID          string
	BackendName string
	BackendAddr string
	Gate        gate.Config
	Drain       time.Duration // bound on the wait for requests in flight at a planned stop
}

// Agent serves one host.
type Agent struct {
	cfg     Config
	log     zerolog.Logger
	live    *settings.Live
	gate    *gate.Gate
	backend *backend.Client
	fences  *fenceTable
	tasks   *taskRunner
	table   *membership.Table
	metrics *telemetry.Registry
	started time.Time
	stop    *stopState
	history *scheduler.History
}

// New returns an agent; Run starts it.
func New(cfg Config, w worker.Worker, live *settings.Live, dir *partition.Directory, table *membership.Table, metrics *telemetry.Registry, log zerolog.Logger) *Agent {
	a := &Agent{
		cfg: cfg, log: log, live: live, gate: gate.New(cfg.Gate),
		backend: backend.NewClient(cfg.BackendAddr, cfg.Gate.Conns),
		table:   table, metrics: metrics, started: time.Now(), history: scheduler.NewHistory(), stop: newStopState(),
	}
	a.fences = newFenceTable(a.clock)
	a.tasks = newTaskRunner(a, w, dir)
	return a
}

// clock is the agent's monotonic time since its start.
func (a *Agent) clock() time.Duration { return time.Since(a.started) }

// reportInterval is how often the load report in the membership record is renewed.
const reportInterval = 200 * time.Millisecond

// Run serves until ctx ends, then drains: it leaves the membership, waits until the entries have heard, lets
// requests in flight finish, and hands its batch tasks over by checkpoint.
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
	go a.backend.Watch(taskCtx, a.backendChanged)
	a.publish(ctx)
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
	a.updateRecord()
}

func (a *Agent) publish(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		a.updateRecord()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *Agent) updateRecord() {
	clock := a.clock() // before the room is read: a report with a later clock than an admission counts it
	u := a.gate.Usage()
	rev := a.live.Current().Revision
	load, quick := a.tasks.load(u.Free, time.Now()), a.tasks.control.current()
	pairs := a.tasks.control.model.Pairs()
	a.table.Update(func(m *membership.Member) {
		m.SettingsRev = rev
		m.Load = membership.Load{
			Backend: a.cfg.BackendName, Slots: u.Slots, SlotsBusy: u.Busy, Queued: u.Queued,
			Conns: u.Conns, ConnsMax: u.ConnsMax, Capacity: u.Room, Free: u.Free, Clock: clock,
			Failing: a.tasks.failing(), FreeAt: load.freeAt, Teams: load.teams, Preemptible: load.preemptible,
			QuickKind: quick.kind, QuickRatio: quick.ratio, BatchCores: quick.cores, Pairs: pairs, BackendDown: a.backend.Down(),
		}
	})
	a.metrics.Gauge("agent_slots_busy").Update(int64(u.Busy))
	a.metrics.Gauge("agent_queued").Update(int64(u.Queued))
	a.metrics.Gauge("agent_connections").Update(int64(u.Conns))
}

// Service answers control calls of partition owners and entries; register it as "Agent".
type Service struct{ a *Agent }

// Service returns the receiver to register.
func (a *Agent) Service() *Service { return &Service{a} }

// Place offers a task.
func (s *Service) Place(args wire.PlaceArgs, reply *wire.PlaceReply) error {
	reply.Accepted, reply.Reason = s.a.tasks.place(args)
	reply.Kept = reply.Reason == reasonKept
	reply.Late = reply.Reason == lateReason
	reply.Clock, reply.Free = s.a.clock(), s.a.gate.Usage().Free
	return nil
}

// Stop ends and fences an attempt.
func (s *Service) Stop(args wire.StopArgs, reply *wire.StopReply) error {
	reply.Report, reply.Known = s.a.tasks.stop(args)
	return nil
}

// Query fences attempts that this host does not know and reports them.
func (s *Service) Query(args wire.QueryArgs, reply *wire.QueryReply) error {
	*reply = s.a.tasks.query(args)
	return nil
}

// FenceRequest reports how a dispatched request ended; if it has not started, it never will.
func (s *Service) FenceRequest(args wire.FenceArgs, reply *wire.FenceReply) error {
	reply.Incarnation = s.a.table.Self().Incarnation
	if args.Incarnation != reply.Incarnation {
		reply.Verdict = wire.VerdictUnknown // a restarted agent does not remember what started before
		return nil
	}
	reply.Verdict, reply.Result = s.a.fences.settle(args.RequestID, args.Until)
	return nil
}

func (a *Agent) observe(branch *settings.Effective, took time.Duration) {
	if branch.Class == settings.ClassQuick {
		a.tasks.control.observe(branch, took)
		a.metrics.Histogram("agent_quick_us").Update(took.Microseconds())
	}
}
