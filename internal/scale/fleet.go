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

// Config describes one run.
type Config struct {
	Nodes           int
	Domains         int
	RackSize        int
	Entries         int           // choosing processes
	FullLimit       int           // 0: the product's default
	KeepLoadReports bool          // baseline: load reports are not merged per rack
	Delay           time.Duration // one way, between failure domains; a tenth of it within one
	Loss            float64       // between failure domains
	Branches        int           // of the settings tree
	Steady          time.Duration // length of the steady phase
	Edits           int           // accepted edits whose way is timed
	Churn           int           // leaving nodes and dead nodes, each
	Seed            uint64
}

// Fleet is a running fleet.
type Fleet struct {
	cfg   Config
	net   *Net
	Store *memstore.Faulty
	Nodes []*Node
	stop  context.CancelFunc
	wg    sync.WaitGroup
}

// Pace of the stand-ins' parts.
const (
	loadInterval  = 200 * time.Millisecond // as package agent reports
	leaseTTL      = 10 * time.Second
	startSpread   = 2 * time.Second
	readyTimeout  = 60 * time.Second
	readyInterval = 50 * time.Millisecond
)

var errNotReady = errors.New("not all nodes had the settings in force in time")

// StartFleet starts the nodes and returns when all have the settings in force.
func StartFleet(ctx context.Context, cfg Config) (*Fleet, error) {
	ctx, stop := context.WithCancel(ctx)
	engine := memstore.New()
	f := &Fleet{cfg: cfg, net: NewNet(cfg.Seed), Store: memstore.NewFaulty(engine, cfg.Seed), stop: stop}
	f.net.SetLink(f.link)
	f.wg.Go(func() { app.Every(ctx, 100*time.Millisecond, engine.Tick) })
	if err := f.seed(ctx); err != nil {
		return f, err
	}
	backing := &Backing{Store: f.Store, LeaseTTL: leaseTTL}
	for _, s := range Grid(cfg.Nodes, cfg.Domains, cfg.RackSize, cfg.Entries) {
		s.FullLimit, s.KeepLoadReports = cfg.FullLimit, cfg.KeepLoadReports
		n := NewNode(f.net, s, backing, zerolog.Nop())
		f.Nodes = append(f.Nodes, n)
		time.Sleep(startSpread / time.Duration(cfg.Nodes))
		n.began = time.Now()
		n.Start()
		f.wg.Go(func() { n.report(ctx, cfg.Seed) })
	}
	return f, f.ready(ctx)
}

func (f *Fleet) link(a, b *Endpoint) Link {
	if a.Domain == b.Domain {
		return Link{Delay: f.cfg.Delay / 10}
	}
	return Link{Delay: f.cfg.Delay, Loss: f.cfg.Loss}
}

func (f *Fleet) seed(ctx context.Context) error {
	edit := settings.Edit{Author: "bf-scale", Changes: settings.NewTree().Diff(Tree(f.cfg.Branches, f.cfg.Seed))}
	_, err := settings.NewRepository(f.Store, "bf-scale").Commit(ctx, 0, edit)
	return err
}

// report changes the node's load as an agent's would be.
func (n *Node) report(ctx context.Context, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, uint64(len(n.Spec.ID))+uint64(n.Spec.ID[len(n.Spec.ID)-1])))
	started := n.began
	app.Every(ctx, loadInterval, func() {
		busy := rnd.IntN(9)
		rev, _ := n.Sync.Revision()
		n.Table.Update(func(m *membership.Member) {
			m.SettingsRev = rev
			if m.Role == membership.RoleAgent {
				m.Load.SlotsBusy, m.Load.Clock = busy, time.Since(started)
				m.Load.Free.Cores = float64(56 - 4*busy)
				details(&m.Load, busy, rnd.Float64())
			}
		})
	})
}

// details fills what an agent with three kinds of batch work and eight learned pairs reports.
func details(l *membership.Load, busy int, x float64) {
	l.QuickKind, l.QuickRatio = "quick-check", x
	l.Teams, l.Preemptible, l.BatchCores = map[string]worker.Resources{}, map[int]worker.Resources{}, map[string]float64{}
	for i, name := range []string{"team-plates", "team-plans", "team-proofs"} {
		used := worker.Resources{Cores: float64(busy), MemoryMB: int64(4000 * busy)}
		l.Teams[name], l.Preemptible[10*i], l.BatchCores["kind-"+name] = used, used, x*float64(busy)
	}
	for i := range l.FreeAt {
		l.FreeAt[i] = worker.Resources{Cores: l.Free.Cores + float64(i), MemoryMB: l.Free.MemoryMB}
	}
	l.Pairs = make([]colocation.Pair, colocation.MaxPairs)
	for i := range l.Pairs {
		e := colocation.Estimate{Mean: x + float64(i), Deviation: x / 3}
		l.Pairs[i] = colocation.Pair{Quick: "quick-check", Batch: "kind-" + strconv.Itoa(i), Low: e, High: e}
	}
}

func (f *Fleet) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !f.allAt(1) {
		select {
		case <-ctx.Done():
			return errNotReady
		case <-time.After(readyInterval):
		}
	}
	return nil
}

func (f *Fleet) allAt(rev int64) bool {
	for _, n := range f.Nodes {
		if n.Live.Current().Revision < rev {
			return false
		}
	}
	return true
}

// Stop ends all nodes.
func (f *Fleet) Stop() {
	var wg sync.WaitGroup
	for _, n := range f.Nodes {
		wg.Go(func() { n.Crash() })
	}
	wg.Wait()
	f.stop()
	f.wg.Wait()
}
