package scale

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"bamboofork/internal/membership"
	"bamboofork/internal/worker"
)

// Spec places one node.
type Spec struct {
	ID, Region, Domain, Rack string
	Entry                    bool
	Seeds                    []string
	Interval                 time.Duration // 0: the product's default
	FullLimit                int           // 0: the product's default
	KeepLoadReports          bool
	Incarnation              int64 // 0: the present time
}

// Addr returns the in-memory control address of a node.
func Addr(id string) string { return "mem:" + id }

// Node is a small process: the membership table, the settings syncer and a load report that changes.
type Node struct {
	Spec   Spec
	End    *Endpoint
	Table  *membership.Table
	cancel context.CancelFunc
	done   chan struct{}
}

func (s Spec) member() membership.Member {
	m := membership.Member{
		ID: s.ID, Role: membership.RoleAgent, Region: s.Region, Domain: s.Domain, Rack: s.Rack,
		Addr: Addr(s.ID), DataAddr: "data:" + s.ID, Incarnation: s.Incarnation,
	}
	if s.Entry {
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

// NewNode adds a node to the network without starting it. The configure function may complete the table's settings.
func NewNode(n *Net, s Spec, log zerolog.Logger, configure func(*membership.Config)) *Node {
	node := &Node{Spec: s, End: n.NewEndpoint(Addr(s.ID), s.Domain, s.Region)}
	cfg := membership.Config{
		Self: s.member(), Seeds: s.Seeds, Interval: s.Interval, FullLimit: s.FullLimit, KeepLoadReports: s.KeepLoadReports,
	}
	if configure != nil {
		configure(&cfg)
	}
	node.Table = membership.NewTable(cfg, node.End, log)
	if s.Entry {
		node.Table.SetInterest(func() bool { return true })
	}
	service := node.Table.Service()
	Handle(node.End, "Member.Exchange", service.Exchange)
	Handle(node.End, "Member.Ping", service.Ping)
	Handle(node.End, "Member.Probe", service.Probe)
	Handle(node.End, "Member.Poll", service.Poll)
	Handle(node.End, "Member.Notify", service.Notify)
	Handle(node.End, "Member.Find", service.Find)
	return node
}

// Start runs the node's parts until Leave or Crash.
func (n *Node) Start(parts ...func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel, n.done = cancel, make(chan struct{})
	parts = append(parts, n.Table.Run)
	finished := make(chan struct{}, len(parts))
	for _, run := range parts {
		go func() {
			run(ctx) //nolint:errcheck // the parts end with ctx
			finished <- struct{}{}
		}()
	}
	go func() {
		defer close(n.done)
		for range parts {
			<-finished
		}
	}()
}

// Leave stops the node in order: it announces that it is gone.
func (n *Node) Leave() {
	n.cancel()
	<-n.done
}

// Crash stops the node without a word: the network loses its messages first.
func (n *Node) Crash() {
	n.End.Stop()
	n.cancel()
	<-n.done
}

// Grid places count nodes over the failure domains, racks of rackSize, the first entries of them entries. All start
// from the same two seeds.
func Grid(count, domains, rackSize, entries int) []Spec {
	specs := make([]Spec, count)
	for i := range specs {
		d := i % domains
		specs[i] = Spec{
			ID: fmt.Sprintf("n%04d", i), Region: fmt.Sprintf("region-%d", d/2+1), Domain: fmt.Sprintf("domain-%d", d+1),
			Rack: fmt.Sprintf("rack-%d", i/domains/rackSize+1), Entry: i < entries,
		}
	}
	seeds := []string{Addr(specs[0].ID), Addr(specs[min(1, count-1)].ID)}
	for i := range specs {
		specs[i].Seeds = seeds
	}
	return specs
}
