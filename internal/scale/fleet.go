package scale

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"bamboofork/internal/app"
	"bamboofork/internal/colocation"
	"bamboofork/internal/membership"
	"bamboofork/internal/settings"
	"bamboofork/internal/store/memstore"
	"bamboofork/internal/worker"
)

// Config configures one run of a fleet in which all nodes share a process.
type Config struct {
	Nodes             int           // number of nodes, including entries
	Domains           int           // number of failure domains
	RackSize          int           // nodes per rack
	Entries           int           // number of nodes that are entries; the others are agents
	MaxScopeMembers   int           // 0: the default of package membership
	DomainLoadReports bool          // load reports are not merged per rack; baseline for comparison
	Delay             time.Duration // one-way delay between failure domains; within a failure domain, the delay is a tenth of this
	LossRate          float64       // probability that a message between failure domains is lost
	Branches          int           // number of branches of the settings tree, without those of the teams
	SteadyDuration    time.Duration // length of the steady phase
	EditCount         int           // number of edits whose propagation is measured
	Departures        int           // number of agents that leave; as many agents crash after them
	Seed              uint64
}

// Fleet is a running fleet of nodes on an in-memory network and with an in-memory store.
type Fleet struct {
	cfg   Config
	net   *Network
	Store *memstore.Faulty
	Nodes []*Node
	stop  context.CancelFunc
	wg    sync.WaitGroup
}

// Intervals and timeouts of the simulated components.
const (
	loadInterval  = 200 * time.Millisecond // as in package agent
	leaseTTL      = 10 * time.Second
	startDuration = 2 * time.Second // over which the starts of the nodes are spread
	readyTimeout  = 60 * time.Second
	readyInterval = 50 * time.Millisecond // at which waitReady checks the nodes
)

var errNotReady = errors.New("timed out waiting for all nodes to apply the settings")

// StartFleet starts the nodes and returns when all nodes have applied the settings. After an error, the returned fleet holds what was
// started so far; the caller stops the fleet in either case.
func StartFleet(ctx context.Context, cfg Config) (*Fleet, error) {
	ctx, stop := context.WithCancel(ctx)
	engine := memstore.New()
	f := &Fleet{cfg: cfg, net: NewNetwork(cfg.Seed), Store: memstore.NewFaulty(engine, cfg.Seed), stop: stop}
	f.net.SetLink(f.linkBetween)
	f.wg.Go(func() { app.Every(ctx, 100*time.Millisecond, engine.ExpireLeases) })
	if err := f.commitTree(ctx); err != nil {
		return f, err
	}
	hubStore := &HubStore{Store: f.Store, LeaseTTL: leaseTTL}
	for _, s := range NodeSpecs(cfg.Nodes, cfg.Domains, cfg.RackSize, cfg.Entries) {
		s.MaxScopeMembers, s.DomainLoadReports = cfg.MaxScopeMembers, cfg.DomainLoadReports
		n := NewNode(f.net, s, hubStore, zerolog.Nop())
		f.Nodes = append(f.Nodes, n)
		time.Sleep(startDuration / time.Duration(cfg.Nodes))
		n.startedAt = time.Now()
		n.Start()
		f.wg.Go(func() { n.simulateLoad(ctx, cfg.Seed) })
	}
	return f, f.waitReady(ctx)
}

func (f *Fleet) linkBetween(a, b *Endpoint) Link {
	if a.Domain == b.Domain {
		return Link{Delay: f.cfg.Delay / 10}
	}
	return Link{Delay: f.cfg.Delay, LossRate: f.cfg.LossRate}
}

func (f *Fleet) commitTree(ctx context.Context) error {
	edit := settings.Edit{Author: "bf-scale", Changes: settings.NewTree().Diff(GenerateTree(f.cfg.Branches, f.cfg.Seed))}
	_, err := settings.NewRepository(f.Store, "bf-scale").Commit(ctx, 0, edit)
	return err
}

// simulateLoad updates the node's load report at the interval of a real agent until ctx is done.
func (n *Node) simulateLoad(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, uint64(len(n.Spec.ID))+uint64(n.Spec.ID[len(n.Spec.ID)-1])))
	startedAt := n.startedAt
	app.Every(ctx, loadInterval, func() {
		busySlots := rng.IntN(9)
		rev, _ := n.Syncer.Revision()
		n.Table.Update(func(m *membership.Member) {
			m.SettingsRev = rev
			if m.Role == membership.RoleAgent {
				m.Load.SlotsBusy, m.Load.Clock = busySlots, time.Since(startedAt)
				m.Load.Free.Cores = float64(56 - 4*busySlots)
				setLoadFields(&m.Load, busySlots, rng.Float64())
			}
		})
	})
}

// setLoadFields sets the fields of a load report as an agent does that runs three kinds of batch tasks and has the maximum number of
// interference estimates (colocation.MaxPairs). variation, in [0, 1), makes successive reports differ.
func setLoadFields(l *membership.Load, busySlots int, variation float64) {
	l.QuickKind, l.QuickRatio = "quick-check", variation
	l.Teams, l.Preemptible, l.BatchCores = map[string]worker.Resources{}, map[int]worker.Resources{}, map[string]float64{}
	for i, name := range []string{"team-plates", "team-plans", "team-proofs"} {
		used := worker.Resources{Cores: float64(busySlots), MemoryMB: int64(4000 * busySlots)}
		l.Teams[name], l.Preemptible[10*i], l.BatchCores["kind-"+name] = used, used, variation*float64(busySlots)
	}
	for i := range l.FreeAt {
		l.FreeAt[i] = worker.Resources{Cores: l.Free.Cores + float64(i), MemoryMB: l.Free.MemoryMB}
	}
	l.Pairs = make([]colocation.Pair, colocation.MaxPairs)
	for i := range l.Pairs {
		e := colocation.Estimate{Mean: variation + float64(i), Deviation: variation / 3}
		l.Pairs[i] = colocation.Pair{Quick: "quick-check", Batch: "kind-" + strconv.Itoa(i), Low: e, High: e}
	}
}

func (f *Fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !f.allAtRevision(1) {
		select {
		case <-ctx.Done():
			return errNotReady
		case <-time.After(readyInterval):
		}
	}
	return nil
}

func (f *Fleet) allAtRevision(rev int64) bool {
	for _, n := range f.Nodes {
		if n.Live.Current().Revision < rev {
			return false
		}
	}
	return true
}

// Stop crashes all nodes, stops the fleet and waits for its goroutines.
func (f *Fleet) Stop() {
	var wg sync.WaitGroup
	for _, n := range f.Nodes {
		wg.Go(func() { n.Crash() })
	}
	wg.Wait()
	f.stop()
	f.wg.Wait()
}
