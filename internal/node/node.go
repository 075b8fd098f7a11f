// Package node assembles an entry or an agent from its parts.
package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bamboofork/internal/agent"
	"bamboofork/internal/app"
	"bamboofork/internal/callers"
	"bamboofork/internal/config"
	"bamboofork/internal/dissemination"
	"bamboofork/internal/entry"
	"bamboofork/internal/events"
	"bamboofork/internal/gate"
	"bamboofork/internal/lease"
	"bamboofork/internal/membership"
	"bamboofork/internal/operatorapi"
	"bamboofork/internal/partition"
	"bamboofork/internal/peer"
	"bamboofork/internal/settings"
	"bamboofork/internal/store"
	"bamboofork/internal/store/budget"
	"bamboofork/internal/store/etcdgw"
	"bamboofork/internal/telemetry"
	"bamboofork/internal/worker"
)

// Node is one assembled process (or one of several inside bf-dev).
type Node struct {
	Config  config.Process
	Live    *settings.Live
	Table   *membership.Table
	Metrics *telemetry.Registry
	Entry   *entry.Entry // nil for agents
	Agent   *agent.Agent // nil for entries
	stages  [][]app.Part // in the order in which they stop
	closers []func()
}

// base holds what entries and agents share.
type base struct {
	cfg    config.Process
	log    zerolog.Logger
	st     store.Store
	pool   *peer.Pool
	server *peer.Server
	table  *membership.Table
	live   *settings.Live
	sync   *dissemination.Syncer
	dir    *partition.Directory
	reg    *telemetry.Registry
	api    *operatorapi.API
}

func newBase(cfg config.Process, role membership.Role, log zerolog.Logger) (*base, error) {
	log = log.With().Str("node", cfg.ID).Logger()
	reg := telemetry.New()
	limits := budget.AgentLimits
	if role == membership.RoleEntry {
		limits = budget.EntryLimits
	}
	creds, err := etcdgw.LoadCredentials(cfg.StoreCredentials)
	if err != nil {
		return nil, err
	}
	st := budget.New(etcdgw.NewClient(cfg.Store, 0).WithCredentials(creds), limits, reg, log)
	pool := peer.NewPool(cfg.ID, log, nil)
	self := membership.Member{
		ID: cfg.ID, Role: role, Region: cfg.Region, Domain: cfg.Domain, Rack: cfg.Rack,
		Addr: cfg.Listen.Control, DataAddr: cfg.Listen.Data,
	}
	b := &base{
		cfg: cfg, log: log, st: st, pool: pool, server: peer.NewServer(cfg.ID, log),
		live: settings.NewLive(), dir: partition.NewDirectory(st, pool, cfg.Partitions), reg: reg,
	}
	b.sync = dissemination.NewSyncer(b.live, pool, func() { b.table.Kick() }, log)
	b.table = membership.NewTable(membership.Config{
		Self: self, Seeds: cfg.Seeds, Revision: b.sync.Revision, OnRevision: b.sync.OnRevision, Hubs: b.hubs,
	}, pool, log)
	b.api = &operatorapi.API{Table: b.table, Live: b.live, Metrics: b.reg}
	err = errors.Join(b.server.Register("Member", b.table.Service()), b.server.Register("Settings", b.sync.Service()))
	return b, eris.Wrap(err, "register membership and settings services")
}

// hubs lists the registered hubs; none while the store does not answer.
func (b *base) hubs(ctx context.Context) []string {
	addrs, err := dissemination.ListHubs(ctx, b.st)
	if err != nil {
		events.StoreUnavailable.Log(&b.log).Err(err).Msg("hubs not listed")
	}
	return addrs
}

// hub returns the duty of a hub, which this process takes while it represents its failure domain.
func (b *base) hub() *dissemination.Hub {
	repo := settings.NewRepository(b.st, b.cfg.ID)
	return dissemination.NewHub(dissemination.HubConfig{
		ID: b.cfg.ID, Addr: b.cfg.Listen.Control, Domain: b.cfg.Domain, LeaseTTL: b.cfg.LeaseTTL, Rank: b.table.HubRank,
		Watch: dissemination.NewWatcher(repo, watchLog(b.st, repo), b.sync).Run,
	}, b.st, b.log)
}

// NewEntry assembles an entry and opens its listeners.
func NewEntry(cfg config.Process, log zerolog.Logger) (*Node, error) {
	b, err := newBase(cfg, membership.RoleEntry, log)
	if err != nil {
		return nil, err
	}
	b.table.SetInterest(func() bool { return true })
	trusted, err := callers.ParseTrusted(cfg.TrustedProxies)
	if err != nil {
		return nil, eris.Wrap(err, "trusted_proxies")
	}
	opts := entry.Options{Domain: cfg.Domain, Policy: cfg.Routing, Trusted: trusted}
	e := entry.New(cfg.ID, opts, b.live, b.table, b.dir, b.pool, b.reg, b.log)
	n := b.node()
	n.Entry = e
	callers := newEcho()
	e.Register(callers)
	b.api.Register(callers)
	server, err := httpPart("callers", cfg.Listen.Callers, callers, cfg.Drain)
	if err != nil {
		return nil, err
	}
	n.stages = [][]app.Part{{{Name: "entry", Run: e.Run}}, {server}}
	return n, b.finish(n)
}

// NewAgent assembles an agent and opens its listeners.
func NewAgent(cfg config.Process, log zerolog.Logger) (*Node, error) {
	b, err := newBase(cfg, membership.RoleAgent, log)
	if err != nil {
		return nil, err
	}
	w := worker.NewHTTPClient(cfg.Worker.URL)
	room, err := roomOf(w, cfg.Worker.Reserve)
	if err != nil {
		return nil, err
	}
	keeper := lease.NewKeeper(b.st, cfg.LeaseTTL, b.log)
	unique := partition.ProcessID(cfg.ID, b.table.Self().Incarnation)
	manager := partition.NewManager(partition.Config{
		Self: cfg.ID, ID: unique, Addr: cfg.Listen.Control, Partitions: cfg.Partitions, Max: cfg.MaxPartitions, Outage: cfg.OutageHold,
		Share: partition.Shares(b.live),
	}, b.st, keeper, b.table, b.pool, b.log)
	b.api.Owned = manager.Owned
	b.table.SetInterest(func() bool { return len(manager.Owned()) > 0 })
	a := agent.New(agent.Config{
		ID: cfg.ID, BackendName: cfg.Backend.Name, BackendAddr: cfg.Backend.Addr, Drain: cfg.Drain,
		Gate: gate.Config{Slots: cfg.Backend.Slots, Conns: cfg.Backend.Conns, MaxQueue: cfg.Backend.MaxQueue, Room: room},
	}, w, b.live, b.dir, b.table, b.reg, b.log)
	if err := errors.Join(b.server.Register("Agent", a.Service()), b.server.Register("Partition", manager.Service())); err != nil {
		return nil, eris.Wrap(err, "register services")
	}
	n := b.node()
	n.Agent = a
	n.closers = append(n.closers, w.Close)
	data, err := httpPart("data", cfg.Listen.Data, a, cfg.Drain)
	if err != nil {
		return nil, err
	}
	n.stages = [][]app.Part{
		{{Name: "agent", Run: a.Run}},
		{data},
		{{Name: "partitions", Run: manager.Run}},
		{{Name: "lease", Run: keeper.Run}},
	}
	if cfg.Listen.Operator != "" {
		e := newEcho()
		b.api.Register(e)
		operator, err := httpPart("operator", cfg.Listen.Operator, e, time.Second)
		if err != nil {
			return nil, err
		}
		n.stages = append(n.stages, []app.Part{operator})
	}
	return n, b.finish(n)
}

const capacityAttempts = 20

// roomOf reads the worker's capacity and keeps the reserve for the backend server.
func roomOf(w worker.Worker, reserve worker.Resources) (worker.Resources, error) {
	for attempt := range capacityAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		total, err := w.Capacity(ctx)
		cancel()
		if err == nil {
			return total.Sub(reserve), nil
		}
		time.Sleep(time.Duration(attempt+1) * 20 * time.Millisecond)
	}
	return worker.Resources{}, eris.New("the worker does not answer; its capacity is not known")
}

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	return e
}

func (b *base) node() *Node {
	return &Node{Config: b.cfg, Live: b.live, Table: b.table, Metrics: b.reg}
}

// finish adds the shared parts. They stop last, so that a draining node stays known and reachable.
func (b *base) finish(n *Node) error {
	l, err := net.Listen("tcp", b.cfg.Listen.Control)
	if err != nil {
		return eris.Wrap(err, "control listener")
	}
	hub := b.hub()
	n.stages = append(n.stages,
		[]app.Part{{Name: "membership", Run: b.table.Run}, {Name: "settings", Run: b.sync.Run}, {Name: "hub", Run: hub.Run}},
		[]app.Part{{Name: "control", Run: func(ctx context.Context) error { return b.server.Serve(ctx, l) }}})
	n.closers = append(n.closers, b.pool.Close)
	b.api.Ready.Store(true)
	return nil
}

// watchLog adapts a store watch to change signals.
func watchLog(st store.Store, repo *settings.Repository) func(context.Context, int64) (<-chan struct{}, error) {
	return func(ctx context.Context, from int64) (<-chan struct{}, error) {
		batches, err := st.Watch(ctx, repo.RecordPrefix(), from)
		if err != nil {
			return nil, err
		}
		return dissemination.Signals(ctx, batches), nil
	}
}

// httpPart opens a listener and returns its server. HTTP/1.1 and HTTP/2 cleartext are served.
func httpPart(name, addr string, h http.Handler, drain time.Duration) (app.Part, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return app.Part{}, eris.Wrapf(err, "%s listener", name)
	}
	return app.Part{Name: name, Run: func(ctx context.Context) error { return ServeHTTP(ctx, l, h, drain) }}, nil
}

// readHeaderTimeout bounds slow or half-open callers.
const readHeaderTimeout = 5 * time.Second

// ServeHTTP serves until ctx ends, then waits up to drain for requests in flight.
func ServeHTTP(ctx context.Context, l net.Listener, h http.Handler, drain time.Duration) error {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	srv := &http.Server{Handler: h, Protocols: protocols, ReadHeaderTimeout: readHeaderTimeout}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(l) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	if err := srv.Shutdown(drainCtx); err != nil {
		return srv.Close()
	}
	return nil
}

// Run serves until ctx ends or a part fails, then stops the stages one after another.
func (n *Node) Run(ctx context.Context) error {
	defer func() {
		for _, c := range n.closers {
			c()
		}
	}()
	ctx, fail := context.WithCancel(ctx)
	defer fail()
	stages := make([]*stage, len(n.stages))
	for i, parts := range n.stages {
		stages[i] = startStage(parts, fail)
	}
	<-ctx.Done()
	var all []error
	for _, s := range stages {
		all = append(all, s.stop())
	}
	return errors.Join(all...)
}

// stage is a set of parts that stop together.
type stage struct {
	cancel context.CancelFunc
	count  int
	errs   chan error
}

// startStage runs the parts until the stage is stopped; fail is called when a part ends with an error.
func startStage(parts []app.Part, fail func()) *stage {
	ctx, cancel := context.WithCancel(context.Background())
	s := &stage{cancel: cancel, count: len(parts), errs: make(chan error, len(parts))}
	for _, p := range parts {
		go func() {
			err := p.Run(ctx)
			if err != nil {
				err = eris.Wrap(err, p.Name)
				fail()
			}
			s.errs <- err
		}()
	}
	return s
}

func (s *stage) stop() error {
	s.cancel()
	var all []error
	for range s.count {
		all = append(all, <-s.errs)
	}
	return errors.Join(all...)
}
