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

// Config configures one run.
type Config struct {
	Nodes             int
	Domains           int
	RackSize          int
	Entries           int           // entry nodes, which select agents
	MaxScopeMembers   int           // 0: the product's default
	DomainLoadReports bool          // baseline for comparison: load reports are not merged per rack
	Delay             time.Duration // one way, between failure domains; a tenth of it within one
	Loss              float64       // between failure domains
	Branches          int           // of the settings tree
	SteadyDuration    time.Duration // length of the steady phase
	EditCount         int           // accepted edits whose propagation is measured
	Departures        int           // number of nodes that leave, and of nodes that crash
	Seed              uint64
}

// Fleet is a running fleet.
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
	startSpread   = 2 * time.Second
	readyTimeout  = 60 * time.Second
	readyInterval = 50 * time.Millisecond
)

var errNotReady = errors.New("timed out waiting for all nodes to apply the settings")

// StartFleet starts the nodes and returns when all have applied the settings.
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
		time.Sleep(startSpread / time.Duration(cfg.Nodes))
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
	return Link{Delay: f.cfg.Delay, Loss: f.cfg.Loss}
}

func (f *Fleet) commitTree(ctx context.Context) error {
	edit := settings.Edit{Author: "bf-scale", Changes: settings.NewTree().Diff(GenerateTree(f.cfg.Branches, f.cfg.Seed))}
	_, err := settings.NewRepository(f.Store, "bf-scale").Commit(ctx, 0, edit)
	return err
}

// simulateLoad updates the node's load report at the interval of a real agent until ctx is done.
func (n *Node) simulateLoad(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, uint64(len(n.Spec.ID))+uint64(n.Spec.ID[len(n.Spec.ID)-1])))
	started := n.startedAt
	app.Every(ctx, loadInterval, func() {
		busy := rng.IntN(9)
		rev, _ := n.Syncer.Revision()
		n.Table.Update(func(m *membership.Member) {
			m.SettingsRev = rev
			if m.Role == membership.RoleAgent {
				m.Load.SlotsBusy, m.Load.Clock = busy, time.Since(started)
				m.Load.Free.Cores = float64(56 - 4*busy)
				setLoadFields(&m.Load, busy, rng.Float64())
			}
		})
	})
}

// setLoadFields sets the fields that an agent with three kinds of batch work and the maximum number of learned pairs reports.
// variation, in [0, 1), makes successive reports differ.
func setLoadFields(l *membership.Load, busy int, variation float64) {
	l.QuickKind, l.QuickRatio = "quick-check", variation
	l.Teams, l.Preemptible, l.BatchCores = map[string]worker.Resources{}, map[int]worker.Resources{}, map[string]float64{}
	for i, name := range []string{"team-plates", "team-plans", "team-proofs"} {
		used := worker.Resources{Cores: float64(busy), MemoryMB: int64(4000 * busy)}
		l.Teams[name], l.Preemptible[10*i], l.BatchCores["kind-"+name] = used, used, variation*float64(busy)
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

// Stop crashes all nodes and stops the fleet.
func (f *Fleet) Stop() {
	var wg sync.WaitGroup
	for _, n := range f.Nodes {
		wg.Go(func() { n.Crash() })
	}
	wg.Wait()
	f.stop()
	f.wg.Wait()
}
