package membership_test

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"bamboofork/internal/scale"
)

// Guards against members that are wrongly removed or kept after random crashes, restarts, graceful shutdowns, pauses, partitions
// between regions and message loss. Once the faults end, each live process must see exactly the live processes. For a longer
// run, set -rapid.checks=N -rapid.seed=S.
func TestRandomFaultsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ops := rapid.SliceOfN(rapid.SampledFrom([]string{"crash", "restart", "leave", "pause", "cut", "heal", "loss", "wait"}), 3, 10).Draw(rt, "ops")
		indexes := rapid.SliceOfN(rapid.IntRange(2, 8), len(ops), len(ops)).Draw(rt, "picks")
		waitSeconds := rapid.SliceOfN(rapid.IntRange(1, 12), len(ops), len(ops)).Draw(rt, "seconds")
		var mismatch string
		synctest.Test(t, func(_ *testing.T) { mismatch = runFaults(ops, indexes, waitSeconds) })
		if mismatch != "" {
			rt.Fatal(mismatch)
		}
	})
}

// runFaults applies operation i to the node at indexes[i] of a new fleet and then waits for waitSeconds[i]. After all operations
// it ends the network faults. It returns the first difference between the view of a live node and the live nodes; empty: none.
func runFaults(ops []string, indexes, waitSeconds []int) string {
	f := startFleet(scale.NodeSpecs(9, 4, 3, 2))
	liveNodes := map[int]bool{}
	for i := range f.nodes {
		liveNodes[i] = true
	}
	time.Sleep(8 * time.Second)
	for i, op := range ops {
		f.inject(op, indexes[i], liveNodes)
		time.Sleep(time.Duration(waitSeconds[i]) * time.Second)
	}
	f.net.SetLink(func(_, _ *scale.Endpoint) scale.Link { return scale.Link{} })
	time.Sleep(time.Minute)
	mismatch := f.viewMismatch(liveNodes)
	for i := range liveNodes {
		f.nodes[i].Crash()
	}
	return mismatch
}

// inject applies a fault operation to node i and updates the set of live nodes.
func (f *fleet) inject(op string, i int, liveNodes map[int]bool) {
	switch {
	case op == "crash" && liveNodes[i]:
		f.nodes[i].Crash()
		delete(liveNodes, i)
	case op == "leave" && liveNodes[i]:
		f.nodes[i].Leave()
		delete(liveNodes, i)
	case op == "restart" && !liveNodes[i]:
		f.nodes[i] = scale.NewNode(f.net, f.nodes[i].Spec, nil, zerolog.Nop())
		f.nodes[i].Start()
		liveNodes[i] = true
	case op == "pause" && liveNodes[i]:
		resume := f.nodes[i].Endpoint.Pause()
		time.Sleep(8 * time.Second)
		resume()
	case op == "cut":
		f.net.SetLink(func(a, b *scale.Endpoint) scale.Link { return scale.Link{Cut: a.Region != b.Region} })
	case op == "loss":
		f.net.SetLink(func(_, _ *scale.Endpoint) scale.Link { return scale.Link{LossRate: 0.2, Delay: 30 * time.Millisecond} })
	case op == "heal":
		f.net.SetLink(func(_, _ *scale.Endpoint) scale.Link { return scale.Link{} })
	}
}

// viewMismatch describes the first difference between the view of a live node and the set of live nodes; empty: none.
func (f *fleet) viewMismatch(liveNodes map[int]bool) string {
	ids := []string{}
	for i := range liveNodes {
		ids = append(ids, f.nodes[i].Spec.ID)
	}
	sort.Strings(ids)
	for i := range liveNodes {
		seen := []string{f.nodes[i].Spec.ID}
		for _, m := range f.nodes[i].Table.Members() {
			if !m.Suspect {
				seen = append(seen, m.ID)
			}
		}
		sort.Strings(seen)
		if a, b := strings.Join(seen, " "), strings.Join(ids, " "); a != b {
			return fmt.Sprintf("%s sees %s, live are %s", f.nodes[i].Spec.ID, a, b)
		}
	}
	return ""
}
