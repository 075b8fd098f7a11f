// Package node assembles the components of an entry or an agent and runs them.
package node

import (
	"context"
	"errors"
	"sync"
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

// Node is one entry or agent. It is usually a process of its own; bf-dev runs several in one process.
type Node struct {
	Config       config.Process
	Live         *settings.Live
	Table        *membership.Table
	Metrics      *telemetry.Registry
	Entry        *entry.Entry      // nil for agents
	Agent        *agent.Agent      // nil for entries
	stages       [][]app.Component // components by stage, in the order in which the stages stop
	cleanups     []func()
	abortClosers []closer // listeners and servers, for Abort

	owned     func() []int // nil for entries
	pool      *peer.Pool
	store     *detachableStore
	aborted   chan struct{}
	abortOnce sync.Once
}

// OwnedPartitions returns the partitions that this node owns.
func (n *Node) OwnedPartitions() []int {
	if n.owned == nil {
		return nil
	}
	return n.owned()
}

// base holds the components that entries and agents have in common.
type base struct {
	cfg       config.Process
	log       zerolog.Logger
	store     *detachableStore
	pool      *peer.Pool
	server    *peer.Server
	table     *membership.Table
	live      *settings.Live
	sync      *dissemination.Syncer
	directory *partition.Directory
	metrics   *telemetry.Registry
	api       *operatorapi.API
	security  *nodeSecurity
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
	sec, err := loadSecurity(cfg, log)
	if err != nil {
		return nil, err
	}
	st := &detachableStore{Store: budget.New(etcdgw.NewClient(cfg.Store, 0).WithCredentials(creds), limits, reg, log)}
	pool := peer.NewPool(cfg.ID, log, sec.dialer())
	self := membership.Member{
		ID: cfg.ID, Role: role, Region: cfg.Region, Domain: cfg.Domain, Rack: cfg.Rack,
		Addr: cfg.ControlAddr(), DataAddr: cfg.DataAddr(),
	}
	b := &base{
		cfg: cfg, log: log, security: sec, store: st, pool: pool, server: peer.NewServer(cfg.ID, log),
		live: settings.NewLive(), directory: partition.NewDirectory(st, pool, cfg.Partitions), metrics: reg,
	}
	b.sync = dissemination.NewSyncer(b.live, pool, func() { b.table.TriggerRound() }, log)
	b.table = membership.NewTable(membership.Config{
		Self: self, Seeds: cfg.Seeds, Revision: b.sync.Revision, OnRevision: b.sync.OnRevision, Hubs: b.hubs,
	}, pool, log)
	b.api = &operatorapi.API{Table: b.table, Live: b.live, Metrics: b.metrics}
	err = errors.Join(b.server.Register("Member", b.table.Service()), b.server.Register("Settings", b.sync.Service()))
	return b, eris.Wrap(err, "register membership and settings services")
}

// hubs returns the addresses of the registered hubs, or none if the store is unavailable.
func (b *base) hubs(ctx context.Context) []string {
	addrs, err := dissemination.ListHubs(ctx, b.store)
	if err != nil {
		events.StoreUnavailable.Log(&b.log).Err(err).Msg("cannot list settings hubs")
	}
	return addrs
}

// hub returns the settings hub component. It is active while this process is the hub of its failure domain.
func (b *base) hub() *dissemination.Hub {
	repo := settings.NewRepository(b.store, b.cfg.ID)
	return dissemination.NewHub(dissemination.HubConfig{
		ID: b.cfg.ID, Addr: b.cfg.ControlAddr(), Domain: b.cfg.Domain, LeaseTTL: b.cfg.LeaseTTL, Rank: b.table.HubRank,
		Watch: dissemination.NewWatcher(repo, watchSettings(b.store, repo), b.sync).Run,
	}, b.store, b.log)
}

// NewEntry assembles an entry and opens its listeners.
func NewEntry(cfg config.Process, log zerolog.Logger) (*Node, error) {
	b, err := newBase(cfg, membership.RoleEntry, log)
	if err != nil {
		return nil, err
	}
	b.table.SetWantsCandidates(func() bool { return true })
	trusted, err := callers.ParseTrustedProxies(cfg.TrustedProxies)
	if err != nil {
		return nil, eris.Wrap(err, "trusted_proxies")
	}
	opts := entry.Options{Domain: cfg.Domain, Policy: cfg.Routing, Trusted: trusted}
	e := entry.New(cfg.ID, opts, b.live, b.table, b.directory, b.pool, b.metrics, b.log)
	n := b.newNode()
	n.Entry = e
	callerAPI := newEcho()
	e.Register(callerAPI)
	b.registerOperator(callerAPI)
	if b.security.peers != nil {
		e.EnableTLS(b.security.peers)
	}
	e.ConfigureShutdown(cfg.Drain, func() { b.api.Ready.Store(false) })
	server, err := n.httpComponent("callers", cfg.Listen.Callers, callerAPI, cfg.Drain, b.security.callers)
	if err != nil {
		return nil, err
	}
	n.stages = [][]app.Component{{{Name: "entry", Run: e.Run}}, {server}}
	return n, b.addSharedComponents(n)
}

// NewAgent assembles an agent and opens its listeners.
func NewAgent(cfg config.Process, log zerolog.Logger) (*Node, error) {
	b, err := newBase(cfg, membership.RoleAgent, log)
	if err != nil {
		return nil, err
	}
	w := worker.NewHTTPClient(cfg.Worker.URL)
	capacity, err := taskCapacity(w, cfg.Worker.Reserve)
	if err != nil {
		return nil, err
	}
	keeper := lease.NewKeeper(b.store, cfg.LeaseTTL, b.log)
	processID := partition.ProcessID(cfg.ID, b.table.Self().Incarnation)
	manager := partition.NewManager(partition.Config{
		MemberID: cfg.ID, ProcessID: processID, Addr: cfg.ControlAddr(), Partitions: cfg.Partitions, MaxPartitions: cfg.MaxPartitions, OutageHold: cfg.OutageHold,
		TeamShare: partition.TeamShares(b.live),
	}, b.store, keeper, b.table, b.pool, b.log)
	b.api.Owned = manager.Owned
	b.table.SetWantsCandidates(func() bool { return len(manager.Owned()) > 0 })
	a := agent.New(agent.Config{
		ID: cfg.ID, BackendName: cfg.Backend.Name, BackendAddr: cfg.Backend.Addr, DrainTimeout: cfg.Drain,
		Gate: gate.Config{Slots: cfg.Backend.Slots, Conns: requestConns(cfg.Backend), MaxQueue: cfg.Backend.MaxQueue, Resources: capacity},
	}, w, b.live, b.directory, b.table, b.metrics, b.log)
	if err := errors.Join(b.server.Register("Agent", a.Service()), b.server.Register("Partition", manager.Service())); err != nil {
		return nil, eris.Wrap(err, "register services")
	}
	n := b.newNode()
	n.Agent = a
	n.owned = manager.Owned
	n.cleanups = append(n.cleanups, w.Close)
	data, err := n.httpComponent("data", cfg.Listen.Data, a, cfg.Drain, b.security.peers)
	if err != nil {
		return nil, err
	}
	n.stages = [][]app.Component{
		{{Name: "agent", Run: a.Run}},
		{data},
		{{Name: "partitions", Run: manager.Run}},
		{{Name: "lease", Run: keeper.Run}},
	}
	if cfg.Listen.Operator != "" {
		e := newEcho()
		b.registerOperator(e)
		operator, err := n.httpComponent("operator", cfg.Listen.Operator, e, time.Second, b.security.callers)
		if err != nil {
			return nil, err
		}
		n.stages = append(n.stages, []app.Component{operator})
	}
	return n, b.addSharedComponents(n)
}

// requestConns returns the number of connections to the backend server that are used for requests. One further connection
// is reserved for health probes.
func requestConns(b config.Backend) int { return max(b.Slots, b.Conns-1) }

// maxCapacityAttempts bounds the attempts to read the worker's capacity at startup.
const maxCapacityAttempts = 20

// taskCapacity returns the capacity of the worker without the part that is reserved for the backend server.
func taskCapacity(w worker.Worker, reserve worker.Resources) (worker.Resources, error) {
	for attempt := range maxCapacityAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		total, err := w.Capacity(ctx)
		cancel()
		if err == nil {
			return total.Sub(reserve), nil
		}
		time.Sleep(time.Duration(attempt+1) * 20 * time.Millisecond)
	}
	return worker.Resources{}, eris.New("cannot read the worker's capacity: all attempts failed")
}

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	return e
}

func (b *base) newNode() *Node {
	return &Node{Config: b.cfg, Live: b.live, Table: b.table, Metrics: b.metrics, pool: b.pool, store: b.store, aborted: make(chan struct{})}
}

// addSharedComponents adds the components that entries and agents have in common. They stop last, so that a draining node
// stays in the membership and reachable.
func (b *base) addSharedComponents(n *Node) error {
	l, err := n.listen("control", b.cfg.Listen.Control)
	if err != nil {
		return err
	}
	l = secureListener(l, b.security.peers)
	hub := b.hub()
	n.stages = append(n.stages,
		[]app.Component{{Name: "membership", Run: b.table.Run}, {Name: "settings", Run: b.sync.Run}, {Name: "hub", Run: hub.Run}},
		[]app.Component{{Name: "control", Run: func(ctx context.Context) error { return b.server.Serve(ctx, l) }}})
	n.cleanups = append(n.cleanups, b.pool.Close)
	b.api.Ready.Store(true)
	return nil
}

// watchSettings returns a function that watches the settings records in the store and signals each change.
func watchSettings(st store.Store, repo *settings.Repository) func(context.Context, int64) (<-chan struct{}, error) {
	return func(ctx context.Context, from int64) (<-chan struct{}, error) {
		batches, err := st.Watch(ctx, repo.RecordPrefix(), from)
		if err != nil {
			return nil, err
		}
		return dissemination.Signals(ctx, batches), nil
	}
}

// Run runs all components until ctx is done or one of them fails, then stops the stages one after another.
func (n *Node) Run(ctx context.Context) error {
	defer func() {
		for _, c := range n.cleanups {
			c()
		}
	}()
	ctx, fail := context.WithCancel(ctx)
	defer fail()
	stages := make([]*stage, len(n.stages))
	for i, components := range n.stages {
		stages[i] = startStage(components, fail)
	}
	select {
	case <-ctx.Done():
	case <-n.aborted:
	}
	var errs []error
	for i, s := range stages {
		if n.isAborted() {
			cancelAll(stages[i:])
		}
		errs = append(errs, s.stop())
	}
	if n.isAborted() {
		return nil // errors are expected, because Abort closed the connections
	}
	return errors.Join(errs...)
}

func cancelAll(stages []*stage) {
	for _, s := range stages {
		s.cancel()
	}
}

// stage is a set of running components that stop together.
type stage struct {
	cancel context.CancelFunc
	count  int
	errs   chan error
}

// startStage runs the components until the stage is stopped. It calls fail when a component returns an error.
func startStage(components []app.Component, fail func()) *stage {
	ctx, cancel := context.WithCancel(context.Background())
	s := &stage{cancel: cancel, count: len(components), errs: make(chan error, len(components))}
	for _, c := range components {
		go func() {
			err := c.Run(ctx)
			if err != nil {
				err = eris.Wrap(err, c.Name)
				fail()
			}
			s.errs <- err
		}()
	}
	return s
}

func (s *stage) stop() error {
	s.cancel()
	var errs []error
	for range s.count {
		errs = append(errs, <-s.errs)
	}
	return errors.Join(errs...)
}
