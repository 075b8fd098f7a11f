package dissemination_test

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"bamboofork/internal/caslog"
	"bamboofork/internal/dissemination"
	"bamboofork/internal/scale"
	"bamboofork/internal/settings"
	"bamboofork/internal/store"
	"bamboofork/internal/store/memstore"
)

// TestMain sets GOMAXPROCS to 1; for the reason, see TestMain in the tests of package membership.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}

func commitTeam(t *testing.T, st store.Store, branch string) int64 {
	t.Helper()
	value := "team-" + branch
	edit := settings.Edit{Author: "test", Changes: []settings.Change{{Branch: branch, Set: map[string]*string{"team": &value}}}}
	repo := settings.NewRepository(st, "operator-"+branch)
	_, base, err := repo.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	rev, err := repo.Commit(t.Context(), base, edit)
	if err != nil {
		t.Fatal(err)
	}
	return rev
}

func startNodes(net *scale.Network, specs []scale.NodeSpec, st store.Store) []*scale.Node {
	nodes := make([]*scale.Node, len(specs))
	for i, s := range specs {
		nodes[i] = scale.NewNode(net, s, &scale.HubStore{Store: st, LeaseTTL: 10 * time.Second}, zerolog.Nop())
		nodes[i].Start()
	}
	return nodes
}

func crashNodes(nodes []*scale.Node) {
	for _, n := range nodes {
		n.Crash()
	}
}

func checkRevision(t *testing.T, nodes []*scale.Node, rev int64) {
	t.Helper()
	for _, n := range nodes {
		if got := n.Live.Current().Revision; got != rev {
			t.Errorf("%s has active revision %d, want %d", n.Spec.ID, got, rev)
		}
	}
}

// Guards against a starting hub that applies an older revision than another process uses. The other process has reported its
// newer revision, the hub cannot pull that revision yet, and the store returns older data.
func TestStartingHubDoesNotApplyOlderStoreData(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, st, stale := scale.NewNetwork(1), memstore.New(), memstore.New()
		for i := range 4 {
			commitTeam(t, st, fmt.Sprintf("b%d", i))
			if i < 2 {
				commitTeam(t, stale, fmt.Sprintf("b%d", i))
			}
		}
		specs := scale.NodeSpecs(2, 2, 1, 1)
		ahead := scale.NewNode(net, specs[0], nil, zerolog.Nop())
		tree, rev, err := settings.NewRepository(st, "reader").Load(t.Context())
		time.Sleep(3 * time.Second)
		if err != nil || ahead.Syncer.ApplyTree(rev, tree) != nil {
			t.Fatalf("load: %v", err)
		}
		net.SetLink(func(_, _ *scale.Endpoint) scale.Link { return scale.Link{Cut: true} })
		starting := scale.NewNode(net, specs[1], nil, zerolog.Nop())
		starting.Syncer.RecordReportedRevision(ahead.Endpoint.Addr, 4, dissemination.Checksum(tree))
		ctx, cancel := context.WithCancel(t.Context())
		watcher := dissemination.NewWatcher(settings.NewRepository(stale, "reader"), func(ctx context.Context, from int64) (<-chan struct{}, error) {
			batches, err := stale.Watch(ctx, settings.Prefix, from)
			return dissemination.ChangeSignals(ctx, batches), err
		}, starting.Syncer)
		done := make(chan error, 2)
		go func() { done <- watcher.Run(ctx) }()
		go func() { done <- starting.Syncer.Run(ctx) }()
		time.Sleep(10 * time.Second)
		checkRevision(t, []*scale.Node{starting}, 0)
		net.SetLink(func(_, _ *scale.Endpoint) scale.Link { return scale.Link{} })
		starting.Syncer.RecordReportedRevision(ahead.Endpoint.Addr, 4, dissemination.Checksum(tree))
		time.Sleep(10 * time.Second)
		checkRevision(t, []*scale.Node{starting}, 4)
		cancel()
		<-done
		<-done
	})
}

// Guards against a process that has no settings because the store is down when the process starts. Other processes must
// provide the settings. The test also checks that only hubs watch the store.
func TestProcessStartedDuringStoreOutageGetsSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, engine := scale.NewNetwork(1), memstore.New()
		st := memstore.NewFaulty(engine, 1)
		commitTeam(t, st, "b0")
		specs := scale.NodeSpecs(8, 2, 4, 1)
		nodes := startNodes(net, specs[:7], st)
		time.Sleep(10 * time.Second)
		if n := engine.OpenWatchCount(); n != 2*dissemination.HubsPerDomain {
			t.Errorf("%d watches, want two for each of two failure domains", n)
		}
		st.SetFaults(memstore.Faults{Down: true})
		nodes = append(nodes, startNodes(net, specs[7:], st)...)
		time.Sleep(10 * time.Second)
		checkRevision(t, nodes, 1)
		st.SetFaults(memstore.Faults{})
		commitTeam(t, st, "b1")
		time.Sleep(10 * time.Second)
		checkRevision(t, nodes, 2)
		crashNodes(nodes)
	})
}

// Guards against applying corrupted or forged settings. Records with a wrong or missing checksum or a wrong sequence number must
// be discarded.
func TestUnverifiedRecordsAreDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		live := settings.NewActiveSnapshot()
		s := dissemination.NewSyncer(live, nil, nil, zerolog.Nop())
		time.Sleep(3 * time.Second)
		rec := caslog.Record{Seq: 1, Data: []byte(`{"author":"a","changes":[{"branch":"b0"}]}`)}
		treeAfter, err := settings.ApplyRecord(settings.NewTree(), rec)
		if err != nil {
			t.Fatal(err)
		}
		sum := dissemination.Checksum(treeAfter)
		recAfterGap := rec
		recAfterGap.Seq = 2
		for name, apply := range map[string]func() error{
			"checksum": func() error { return s.ApplyRecords([]caslog.Record{rec}, []uint64{sum + 1}) },
			"missing":  func() error { return s.ApplyRecords([]caslog.Record{rec}, []uint64{}) },
			"gap":      func() error { return s.ApplyRecords([]caslog.Record{recAfterGap}, []uint64{sum}) },
		} {
			if err := apply(); err == nil || live.Current().Revision != 0 {
				t.Errorf("%s: error %v, active revision %d", name, err, live.Current().Revision)
			}
		}
		if err := s.ApplyRecords([]caslog.Record{rec}, []uint64{sum}); err != nil || live.Current().Revision != 1 {
			t.Errorf("valid record: error %v, revision %d", err, live.Current().Revision)
		}
	})
}

// Guards against sending a whole tree in one burst. A transfer must stay within the control traffic budget of 7168 B/s and must
// complete although 2 % of the messages are lost.
func TestTreeTransferStaysWithinTrafficBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := scale.NewNetwork(7)
		specs := scale.NodeSpecs(2, 1, 2, 1)
		nodes := []*scale.Node{}
		for _, s := range specs {
			nodes = append(nodes, scale.NewNode(net, s, nil, zerolog.Nop()))
		}
		tree := scale.GenerateTree(2000, 1)
		time.Sleep(3 * time.Second)
		if err := nodes[0].Syncer.ApplyTree(9, tree); err != nil {
			t.Fatal(err)
		}
		net.SetLink(func(_, _ *scale.Endpoint) scale.Link { return scale.Link{LossRate: 0.02} })
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			nodes[1].Syncer.Run(ctx) //nolint:errcheck // ends with ctx
			close(done)
		}()
		startedAt := time.Now()
		for nodes[1].Live.Current().Revision != 9 && time.Since(startedAt) < 5*time.Minute {
			nodes[1].Syncer.RecordReportedRevision(nodes[0].Endpoint.Addr, 9, dissemination.Checksum(tree))
			time.Sleep(time.Second)
		}
		elapsed := time.Since(startedAt)
		checkRevision(t, nodes, 9)
		if rate := float64(nodes[1].Endpoint.Received.Load()) / elapsed.Seconds(); rate > 7<<10 {
			t.Errorf("%.0f B/s during the transfer, budget 7168", rate)
		}
		cancel()
		<-done
	})
}
