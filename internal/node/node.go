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
	"bamboofork/internal/network"
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
	network      network.Network
	LiveSettings *settings.ActiveSnapshot
	Table        *membership.Table
	Metrics      *telemetry.Registry
	Entry        *entry.Entry      // nil for agents
	Agent        *agent.Agent      // nil for entries
	stages       [][]app.Component // the components of each stage, in the order in which the stages stop
	cleanupFuncs []func()
	abortClosers []closer // listeners and servers that Abort closes

	ownedPartitions func() []int // nil for entries
	peerPool        *peer.Pool
	detachableStore *detachableStore
	aborted         chan struct{}
	abortOnce       sync.Once
}

// OwnedPartitions returns the numbers of the partitions that this node owns; an entry owns none.
func (n *Node) OwnedPartitions() []int {
	if n.ownedPartitions == nil {
		return nil
	}
	return n.ownedPartitions()
}

// sharedComponents holds the components that entries and agents have in common.
type sharedComponents struct {
	cfg          config.Process
	network      network.Network
	log          zerolog.Logger
	store        *detachableStore
	pool         *peer.Pool
	server       *peer.Server
	table        *membership.Table
	liveSettings *settings.ActiveSnapshot
	syncer       *dissemination.Syncer
	directory    *partition.Directory
	metrics      *telemetry.Registry
	operatorAPI  *operatorapi.API
	security     *nodeSecurity
}

func newSharedComponents(n network.Network, cfg config.Process, role membership.Role, log zerolog.Logger) (*sharedComponents, error) {
	log = log.With().Str("node", cfg.ID).Logger()
	registry := telemetry.New()
	limits := budget.AgentLimits
	if role == membership.RoleEntry {
		limits = budget.EntryLimits
	}
	storeCredentials, err := etcdgw.LoadCredentials(cfg.StoreCredentials)
	if err != nil {
		return nil, err
	}
	nodeSec, err := loadSecurity(cfg, log)
	if err != nil {
		return nil, err
	}
	detachable := &detachableStore{Store: budget.New(etcdgw.NewClientOn(n, cfg.Store, 0).WithCredentials(storeCredentials), limits, registry, log)}
	pool := peer.NewPool(cfg.ID, log, nodeSec.dialFunc(n))
	self := membership.Member{
		ID: cfg.ID, Role: role, Region: cfg.Region, Domain: cfg.Domain, Rack: cfg.Rack,
		Addr: cfg.ControlAddr(), DataAddr: cfg.DataAddr(),
	}
	shared := &sharedComponents{
		cfg: cfg, network: n, log: log, security: nodeSec, store: detachable, pool: pool, server: peer.NewServer(cfg.ID, log),
		liveSettings: settings.NewActiveSnapshot(), directory: partition.NewDirectory(detachable, pool, cfg.PartitionCount),
		metrics: registry,
	}
	shared.syncer = dissemination.NewSyncer(shared.liveSettings, pool, func() { shared.table.TriggerRound() }, log)
	shared.table = membership.NewTable(membership.Config{
		Self: self, Seeds: cfg.Seeds, ActiveRevision: shared.syncer.Revision, OnRevision: shared.syncer.RecordReportedRevision,
		ListHubAddrs: shared.hubs,
	}, pool, log)
	shared.operatorAPI = &operatorapi.API{Table: shared.table, LiveSettings: shared.liveSettings, Metrics: shared.metrics}
	err = errors.Join(shared.server.Register("Member", shared.table.Service()), shared.server.Register("Settings", shared.syncer.Service()))
	return shared, eris.Wrap(err, "register membership and settings services")
}

// hubs returns the addresses of the registered settings hubs. It returns none, and logs the error, if the store is unavailable.
func (b *sharedComponents) hubs(ctx context.Context) []string {
	addrs, err := dissemination.ListHubs(ctx, b.store)
	if err != nil {
		events.StoreUnavailable.Log(&b.log).Err(err).Msg("cannot list settings hubs")
	}
	return addrs
}

// hub returns the settings hub component. Every process runs the component, which is active only while the process is the hub
// of its failure domain.
func (b *sharedComponents) hub() *dissemination.Hub {
	repo := settings.NewRepository(b.store, b.cfg.ID)
	return dissemination.NewHub(dissemination.HubConfig{
		ID: b.cfg.ID, Addr: b.cfg.ControlAddr(), Domain: b.cfg.Domain, LeaseTTL: b.cfg.LeaseTTL, Rank: b.table.HubRank,
		RunWatch: dissemination.NewWatcher(repo, watchSettings(b.store, repo), b.syncer).Run,
	}, b.store, b.log)
}

// NewEntry assembles an entry and opens its listeners.
func NewEntry(n network.Network, cfg config.Process, log zerolog.Logger) (*Node, error) {
	shared, err := newSharedComponents(n, cfg, membership.RoleEntry, log)
	if err != nil {
		return nil, err
	}
	shared.table.SetWantsCandidates(func() bool { return true })
	trusted, err := callers.ParseTrustedProxies(cfg.TrustedProxies)
	if err != nil {
		return nil, eris.Wrap(err, "trusted_proxies")
	}
	options := entry.Options{Domain: cfg.Domain, RoutingPolicy: cfg.Routing, TrustedProxies: trusted, Network: n}
	entryComponent := entry.New(cfg.ID, options, shared.liveSettings, shared.table, shared.directory, shared.pool, shared.metrics, shared.log)
	node := shared.newNode()
	node.Entry = entryComponent
	callerAPI := newEcho()
	entryComponent.RegisterRoutes(callerAPI)
	shared.registerOperatorAPI(callerAPI)
	if shared.security.peers != nil {
		entryComponent.EnableTLS(shared.security.peers)
	}
	entryComponent.ConfigureShutdown(cfg.DrainTimeout, func() { shared.operatorAPI.IsReady.Store(false) })
	server, err := node.httpComponent("callers", cfg.Listen.Callers, callerAPI, cfg.DrainTimeout, shared.security.callers)
	if err != nil {
		return nil, err
	}
	node.stages = [][]app.Component{{{Name: "entry", Run: entryComponent.Run}}, {server}}
	return node, shared.addSharedComponents(node)
}

// NewAgent assembles an agent and opens its listeners.
func NewAgent(n network.Network, cfg config.Process, log zerolog.Logger) (*Node, error) {
	shared, err := newSharedComponents(n, cfg, membership.RoleAgent, log)
	if err != nil {
		return nil, err
	}
	workerClient := worker.NewHTTPClient(n, cfg.Worker.URL)
	capacity, err := taskCapacity(workerClient, cfg.Worker.Reserve)
	if err != nil {
		return nil, err
	}
	keeper := lease.NewKeeper(shared.store, cfg.LeaseTTL, shared.log)
	processID := partition.ProcessID(cfg.ID, shared.table.Self().Incarnation)
	manager := partition.NewManager(partition.Config{
		MemberID: cfg.ID, ProcessID: processID, Addr: cfg.ControlAddr(), PartitionCount: cfg.PartitionCount,
		MaxPartitions: cfg.MaxPartitions, OutageHold: cfg.OutageHold,
		TeamShareFunc: partition.TeamShares(shared.liveSettings),
	}, shared.store, keeper, shared.table, shared.pool, shared.log)
	shared.operatorAPI.OwnedPartitions = manager.Owned
	shared.table.SetWantsCandidates(func() bool { return len(manager.Owned()) > 0 })
	agentComponent := agent.New(agent.Config{
		ID: cfg.ID, BackendName: cfg.Backend.Name, BackendAddr: cfg.Backend.Addr, Network: n, DrainTimeout: cfg.DrainTimeout,
		Gate: gate.Config{Slots: cfg.Backend.Slots, Conns: maxRequestConns(cfg.Backend), MaxQueue: cfg.Backend.MaxQueue, Resources: capacity},
	}, workerClient, shared.liveSettings, shared.directory, shared.table, shared.metrics, shared.log)
	if err := errors.Join(shared.server.Register("Agent", agentComponent.Service()),
		shared.server.Register("Partition", manager.Service())); err != nil {
		return nil, eris.Wrap(err, "register services")
	}
	node := shared.newNode()
	node.Agent = agentComponent
	node.ownedPartitions = manager.Owned
	node.cleanupFuncs = append(node.cleanupFuncs, workerClient.Close)
	data, err := node.httpComponent("data", cfg.Listen.Data, agentComponent, cfg.DrainTimeout, shared.security.peers)
	if err != nil {
		return nil, err
	}
	node.stages = [][]app.Component{
		{{Name: "agent", Run: agentComponent.Run}},
		{data},
		{{Name: "partitions", Run: func(ctx context.Context) error {
			ctx, cancel := agentComponent.UntilPartitionsDue(ctx)
			defer cancel()
			return manager.Run(ctx)
		}}},
		{{Name: "lease", Run: keeper.Run}},
	}
	if cfg.Listen.Operator != "" {
		e := newEcho()
		shared.registerOperatorAPI(e)
		operator, err := node.httpComponent("operator", cfg.Listen.Operator, e, time.Second, shared.security.callers)
		if err != nil {
			return nil, err
		}
		node.stages = append(node.stages, []app.Component{operator})
	}
	return node, shared.addSharedComponents(node)
}

// maxRequestConns returns the maximum number of connections to the backend server for requests. It is one less than the
// connection limit of the backend server, because one connection is reserved for health probes, but at least the number of slots.
func maxRequestConns(b config.Backend) int { return max(b.Slots, b.Conns-1) }

// maxCapacityAttempts bounds the attempts to read the worker's capacity at startup.
const maxCapacityAttempts = 20

// taskCapacity returns the resources of the worker that are available to tasks: its capacity minus reserve, the part for the
// backend server. It fails if the worker does not respond to maxCapacityAttempts calls.
func taskCapacity(workerClient worker.Worker, reserve worker.Resources) (worker.Resources, error) {
	for attempt := range maxCapacityAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		workerCapacity, err := workerClient.Capacity(ctx)
		cancel()
		if err == nil {
			return workerCapacity.Sub(reserve), nil
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

func (b *sharedComponents) newNode() *Node {
	return &Node{Config: b.cfg, network: b.network, LiveSettings: b.liveSettings, Table: b.table, Metrics: b.metrics, peerPool: b.pool,
		detachableStore: b.store, aborted: make(chan struct{})}
}

// addSharedComponents opens the control listener and adds the components that entries and agents have in common to n. These
// components stop last. A draining node thus stays in the membership and can still be reached.
func (b *sharedComponents) addSharedComponents(node *Node) error {
	listener, err := node.listen("control", b.cfg.Listen.Control)
	if err != nil {
		return err
	}
	listener = secureListener(listener, b.security.peers)
	hub := b.hub()
	node.stages = append(node.stages,
		[]app.Component{{Name: "membership", Run: b.table.Run}, {Name: "settings", Run: b.syncer.Run}, {Name: "hub", Run: hub.Run}},
		[]app.Component{{Name: "control", Run: func(ctx context.Context) error { return b.server.Serve(ctx, listener) }}})
	node.cleanupFuncs = append(node.cleanupFuncs, b.pool.Close)
	b.operatorAPI.IsReady.Store(true)
	return nil
}

// watchSettings returns a function that watches the settings records in the store from a given revision. The function returns
// a channel that signals each change.
func watchSettings(st store.Store, repo *settings.Repository) func(context.Context, int64) (<-chan struct{}, error) {
	return func(ctx context.Context, from int64) (<-chan struct{}, error) {
		batches, err := st.Watch(ctx, repo.RecordPrefix(), from)
		if err != nil {
			return nil, err
		}
		return dissemination.ChangeSignals(ctx, batches), nil
	}
}

// Run runs all components until ctx is done, a component fails or Abort is called. It then stops the stages one after
// another, or all at once after Abort, and returns the errors of the components. After Abort it returns nil.
func (n *Node) Run(ctx context.Context) error {
	defer func() {
		for _, c := range n.cleanupFuncs {
			c()
		}
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stages := make([]*stage, len(n.stages))
	for i, components := range n.stages {
		stages[i] = startStage(components, cancel)
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
	cancel         context.CancelFunc
	componentCount int
	errs           chan error
}

// startStage starts the components and returns without waiting for them. They run until the stage is stopped. onFailure
// is called when a component returns an error.
func startStage(components []app.Component, onFailure func()) *stage {
	ctx, cancel := context.WithCancel(context.Background())
	startedStage := &stage{cancel: cancel, componentCount: len(components), errs: make(chan error, len(components))}
	for _, c := range components {
		go func() {
			err := c.Run(ctx)
			if err != nil {
				err = eris.Wrap(err, c.Name)
				onFailure()
			}
			startedStage.errs <- err
		}()
	}
	return startedStage
}

func (s *stage) stop() error {
	s.cancel()
	var errs []error
	for range s.componentCount {
		errs = append(errs, <-s.errs)
	}
	return errors.Join(errs...)
}
