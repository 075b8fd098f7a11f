package scale

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"bamboofork/internal/dissemination"
	"bamboofork/internal/membership"
	"bamboofork/internal/settings"
	"bamboofork/internal/store"
	"bamboofork/internal/worker"
)

// NodeSpec is the configuration of a node.
type NodeSpec struct {
	ID, Region, Domain, Rack string
	IsEntry                  bool          // the node is an entry, not an agent
	Seeds                    []string      // control addresses that the node contacts first
	Interval                 time.Duration // between two membership rounds; 0: the default of package membership
	MaxScopeMembers          int           // 0: the default of package membership
	DomainLoadReports        bool          // load reports are not merged per rack
	Incarnation              int64         // 0: the current time
}

// NodeAddr returns the in-memory control address of a node.
func NodeAddr(id string) string { return "mem:" + id }

// HubStore is the store that the hubs of a fleet use. LeaseTTL is the TTL of a hub's lease.
type HubStore struct {
	Store    store.Store
	LeaseTTL time.Duration
}

// Node is a process that consists only of a membership table, a settings syncer, a simulated load report and possibly a hub.
type Node struct {
	Spec       NodeSpec
	Endpoint   *Endpoint
	Table      *membership.Table
	Live       *settings.ActiveSnapshot
	Syncer     *dissemination.Syncer
	startedAt  time.Time // zero of the clock in the load reports
	components []func(context.Context) error
	cancel     context.CancelFunc
	done       chan struct{}
}

func (s NodeSpec) member() membership.Member {
	m := membership.Member{
		ID: s.ID, Role: membership.RoleAgent, Region: s.Region, Domain: s.Domain, Rack: s.Rack,
		Addr: NodeAddr(s.ID), DataAddr: "data:" + s.ID, Incarnation: s.Incarnation,
	}
	if s.IsEntry {
		m.Role = membership.RoleEntry
		return m
	}
	m.Load = membership.Load{
		Backend: "pool", Slots: 8, ConnsMax: 64,
		Capacity: worker.Resources{Cores: 56, MemoryMB: 234_000, Accelerators: 2},
		Free:     worker.Resources{Cores: 56, MemoryMB: 234_000, Accelerators: 2},
	}
	return m
}

// NewNode adds a node to the network. The node does not run until Start. If hubStore is nil, the node never becomes a hub.
func NewNode(n *Network, s NodeSpec, hubStore *HubStore, log zerolog.Logger) *Node {
	node := &Node{Spec: s, Endpoint: n.NewEndpoint(NodeAddr(s.ID), s.Domain, s.Region)}
	cfg := membership.Config{
		Self: s.member(), Seeds: s.Seeds, RoundInterval: s.Interval, MaxScopeMembers: s.MaxScopeMembers,
		DomainLoadReports: s.DomainLoadReports,
	}
	node.Live = settings.NewActiveSnapshot()
	node.Syncer = dissemination.NewSyncer(node.Live, node.Endpoint, func() { node.Table.TriggerRound() }, log)
	cfg.ActiveRevision, cfg.OnRevision = node.Syncer.Revision, node.Syncer.RecordReportedRevision
	node.components = append(node.components, node.Syncer.Run)
	if hubStore != nil {
		cfg.ListHubAddrs = func(ctx context.Context) []string { return listHubs(ctx, hubStore.Store) }
	}
	node.Table = membership.NewTable(cfg, node.Endpoint, log)
	node.components = append(node.components, node.Table.Run)
	if hubStore != nil {
		node.components = append(node.components, node.newHub(hubStore, log).Run)
	}
	Handle(node.Endpoint, "Settings.Pull", node.Syncer.Service().Pull)
	if s.IsEntry {
		node.Table.SetWantsCandidates(func() bool { return true })
	}
	service := node.Table.Service()
	Handle(node.Endpoint, "Member.Exchange", service.Exchange)
	Handle(node.Endpoint, "Member.Ping", service.Ping)
	Handle(node.Endpoint, "Member.Probe", service.Probe)
	Handle(node.Endpoint, "Member.Poll", service.Poll)
	Handle(node.Endpoint, "Member.Notify", service.Notify)
	Handle(node.Endpoint, "Member.Find", service.Find)
	return node
}

func listHubs(ctx context.Context, st store.Store) []string {
	addrs, err := dissemination.ListHubs(ctx, st)
	if err != nil {
		return nil // the caller retries later
	}
	return addrs
}

func (n *Node) newHub(hubStore *HubStore, log zerolog.Logger) *dissemination.Hub {
	repo := settings.NewRepository(hubStore.Store, n.Spec.ID)
	watch := func(ctx context.Context, from int64) (<-chan struct{}, error) {
		batches, err := hubStore.Store.Watch(ctx, repo.RecordPrefix(), from)
		if err != nil {
			return nil, err
		}
		return dissemination.ChangeSignals(ctx, batches), nil
	}
	return dissemination.NewHub(dissemination.HubConfig{
		ID: n.Spec.ID, Addr: n.Endpoint.Addr, Domain: n.Spec.Domain, LeaseTTL: hubStore.LeaseTTL, Rank: n.Table.HubRank,
		RunWatch: dissemination.NewWatcher(repo, watch, n.Syncer).Run,
	}, hubStore.Store, log)
}

// Start starts the node's components, which run until Leave or Crash.
func (n *Node) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel, n.done = cancel, make(chan struct{})
	components := n.components
	finished := make(chan struct{}, len(components))
	for _, run := range components {
		go func() {
			run(ctx) //nolint:errcheck // the components return once ctx is done
			finished <- struct{}{}
		}()
	}
	go func() {
		defer close(n.done)
		for range components {
			<-finished
		}
	}()
}

// Leave shuts the node down gracefully. The node announces its departure to other members before Leave returns.
func (n *Node) Leave() {
	n.cancel()
	<-n.done
}

// Crash disconnects the node from the network and then stops it, so that no other node receives an announcement of its departure.
func (n *Node) Crash() {
	n.Endpoint.Stop()
	n.cancel()
	<-n.done
}

// NodeSpecs returns the specs of count nodes. The nodes are distributed round-robin over the failure domains; each failure domain is
// divided into racks of rackSize nodes. The first nodes are entries, and the parameter entries is the number of entries. The first two
// nodes are the seeds of all nodes.
func NodeSpecs(count, domains, rackSize, entries int) []NodeSpec {
	specs := make([]NodeSpec, count)
	for i := range specs {
		domainIndex := i % domains
		specs[i] = NodeSpec{
			ID: fmt.Sprintf("n%04d", i), Region: fmt.Sprintf("region-%d", domainIndex/2+1), Domain: fmt.Sprintf("domain-%d", domainIndex+1),
			Rack: fmt.Sprintf("rack-%d", i/domains/rackSize+1), IsEntry: i < entries,
		}
	}
	seeds := []string{NodeAddr(specs[0].ID), NodeAddr(specs[min(1, count-1)].ID)}
	for i := range specs {
		specs[i].Seeds = seeds
	}
	return specs
}
