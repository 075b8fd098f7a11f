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

// Guards against wrongly lost or retained members after random crashes, restarts, graceful shutdowns, pauses, region
// partitions and message loss: once the faults end, each live process sees exactly the live ones. For a longer run, set
// -rapid.checks=N -rapid.seed=S.
func TestRandomFaultsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ops := rapid.SliceOfN(rapid.SampledFrom([]string{"crash", "restart", "leave", "pause", "cut", "heal", "loss", "wait"}), 3, 10).Draw(rt, "ops")
		indexes := rapid.SliceOfN(rapid.IntRange(2, 8), len(ops), len(ops)).Draw(rt, "picks")
		waits := rapid.SliceOfN(rapid.IntRange(1, 12), len(ops), len(ops)).Draw(rt, "seconds")
		var mismatch string
		synctest.Test(t, func(_ *testing.T) { mismatch = runFaults(ops, indexes, waits) })
		if mismatch != "" {
			rt.Fatal(mismatch)
		}
	})
}

func runFaults(ops []string, indexes, waits []int) string {
	f := startFleet(scale.NodeSpecs(9, 4, 3, 2))
	live := map[int]bool{}
	for i := range f.nodes {
		live[i] = true
	}
	time.Sleep(8 * time.Second)
	for i, op := range ops {
		f.inject(op, indexes[i], live)
		time.Sleep(time.Duration(waits[i]) * time.Second)
	}
	f.net.SetLink(func(_, _ *scale.Endpoint) scale.Link { return scale.Link{} })
	time.Sleep(time.Minute)
	mismatch := f.viewMismatch(live)
	for i := range live {
		f.nodes[i].Crash()
	}
	return mismatch
}

func (f *fleet) inject(op string, i int, live map[int]bool) {
	switch {
	case op == "crash" && live[i]:
		f.nodes[i].Crash()
		delete(live, i)
	case op == "leave" && live[i]:
		f.nodes[i].Leave()
		delete(live, i)
	case op == "restart" && !live[i]:
		f.nodes[i] = scale.NewNode(f.net, f.nodes[i].Spec, nil, zerolog.Nop())
		f.nodes[i].Start()
		live[i] = true
	case op == "pause" && live[i]:
		resume := f.nodes[i].Endpoint.Pause()
		time.Sleep(8 * time.Second)
		resume()
	case op == "cut":
		f.net.SetLink(func(a, b *scale.Endpoint) scale.Link { return scale.Link{Cut: a.Region != b.Region} })
	case op == "loss":
		f.net.SetLink(func(_, _ *scale.Endpoint) scale.Link { return scale.Link{Loss: 0.2, Delay: 30 * time.Millisecond} })
	case op == "heal":
		f.net.SetLink(func(_, _ *scale.Endpoint) scale.Link { return scale.Link{} })
	}
}

func (f *fleet) viewMismatch(live map[int]bool) string {
	ids := []string{}
	for i := range live {
		ids = append(ids, f.nodes[i].Spec.ID)
	}
	sort.Strings(ids)
	for i := range live {
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
