package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/membership"
	"bamboofork/internal/route"
)

// fakeMembers is a member list that counts how often it is read.
type fakeMembers struct {
	statuses  []membership.Status
	readCount int
}

func (f *fakeMembers) Members() []membership.Status {
	f.readCount++
	return f.statuses
}

func newMembers(n, domains int) *fakeMembers {
	f := &fakeMembers{}
	for i := range n {
		m := membership.Member{
			ID: fmt.Sprintf("agent-%02d", i), Role: membership.RoleAgent, Domain: fmt.Sprintf("d%d", i%domains),
			Load: membership.Load{Backend: "pool", Slots: 8},
		}
		f.statuses = append(f.statuses, membership.Status{Member: m, Heard: time.Now()})
	}
	return f
}

func newBalancer(f *fakeMembers, policy string) *route.Balancer {
	rng := rand.New(rand.NewPCG(1, 2))
	return route.New(route.Config{Domain: "d0", Policy: policy, RandomIntN: rng.IntN}, f)
}

func reportDone(b *route.Balancer, s *route.Server, failed bool) {
	b.Done(s, route.Result{Failed: failed, ResponseTime: 20 * time.Millisecond, BusySlots: -1})
}

// Guards against picks that read, copy or lock the member list.
func TestPickDoesNotReadTheMemberList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMembers(1000, 4)
		b := newBalancer(f, route.PolicyCost)
		for range 1000 {
			d := b.Pick("pool", nil)
			reportDone(b, d.Chosen, false)
		}
		qt.Check(t, f.readCount, qt.Equals, 1)
		allocs := testing.AllocsPerRun(100, func() {
			d := b.Pick("pool", nil)
			b.Cancel(d.Chosen)
		})
		qt.Check(t, allocs <= 1, qt.IsTrue, qt.Commentf("%v allocations for each pick", allocs))
	})
}

// Guards against two faults. A request must not leave the failure domain while the domain has free slots, and requests must
// not queue in a full domain while other domains have free slots.
func TestFullDomainSpillsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer(newMembers(9, 3), route.PolicyCost)
		local, remote := 0, 0
		for range 72 { // the three local servers have 24 slots
			if d := b.Pick("pool", nil); d.CrossDomain {
				remote++
			} else {
				local++
			}
			if local+remote == 16 {
				qt.Check(t, remote, qt.Equals, 0)
			}
		}
		qt.Check(t, remote >= 30, qt.IsTrue, qt.Commentf("%d local, %d remote", local, remote))
		qt.Check(t, local >= 24, qt.IsTrue, qt.Commentf("%d local, %d remote", local, remote))
	})
}

// Guards against an entry that keeps sending to failing servers. Also guards against an entry that ejects most of a
// pool.
func TestEjectionIsCapped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer(newMembers(8, 1), route.PolicyCost)
		picks := map[string]int{}
		for i := range 2000 {
			d := b.Pick("pool", nil)
			picks[d.Chosen.ID]++
			reportDone(b, d.Chosen, d.Chosen.ID < "agent-06") // six of eight servers fail
			if i == 999 {
				clear(picks)
			}
		}
		ejected := 0
		for i := range 6 {
			if picks[fmt.Sprintf("agent-%02d", i)] == 0 {
				ejected++
			}
		}
		qt.Check(t, ejected, qt.Equals, 4, qt.Commentf("%v", picks))
		time.Sleep(3 * time.Second)
		served := 0
		for range 200 {
			d := b.Pick("pool", nil)
			reportDone(b, d.Chosen, false)
			if d.Chosen.ID < "agent-06" {
				served++
			}
		}
		qt.Check(t, served > 20, qt.IsTrue, qt.Commentf("recovered servers got %d of 200", served))
	})
}

// Guards against a new server that gets its full share of the traffic at once, and against a new server that never gets its
// full share.
func TestNewServerTrafficGrowsGradually(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMembers(4, 1)
		b := newBalancer(f, route.PolicyCost)
		b.Pick("pool", nil)
		time.Sleep(10 * time.Second)
		f.statuses = newMembers(5, 1).statuses
		picksOfNewServer := func() int {
			n := 0
			for range 1000 {
				d := b.Pick("pool", nil)
				if d.Chosen.ID == "agent-04" {
					n++
				}
				b.Cancel(d.Chosen)
			}
			return n
		}
		time.Sleep(time.Second)
		early := picksOfNewServer()
		time.Sleep(6 * time.Second)
		late := picksOfNewServer()
		qt.Check(t, early > 0 && early < 60, qt.IsTrue, qt.Commentf("%d of 1000 at the start", early))
		qt.Check(t, late > 120, qt.IsTrue, qt.Commentf("%d of 1000 after the warm-up", late))
	})
}

// Guards against a policy that picks a server that is shutting down or suspected.
func TestLeavingOrSuspectedServerIsNotPicked(t *testing.T) {
	for _, policy := range route.Policies() {
		synctest.Test(t, func(t *testing.T) {
			f := newMembers(3, 1)
			f.statuses[0].Leaving = true
			f.statuses[1].Suspect = true
			b := newBalancer(f, policy)
			for range 100 {
				d := b.Pick("pool", nil)
				qt.Assert(t, d.Chosen.ID, qt.Equals, "agent-02", qt.Commentf("%s", d.Explain()))
				reportDone(b, d.Chosen, false)
			}
			d := b.Pick("pool", route.TriedServers{"agent-02"})
			qt.Check(t, d.Chosen, qt.IsNil)
			qt.Check(t, d.Explain(), qt.Contains, "already tried")
		})
	}
}

// Guards against an entry that refuses all requests of a pool because it suspects all its servers at once, for instance after its own links
// were lost. Servers that leave get nothing even then.
func TestSuspectedServersArePickedIfThereAreNoOthers(t *testing.T) {
	for _, policy := range route.Policies() {
		synctest.Test(t, func(t *testing.T) {
			f := newMembers(3, 1)
			f.statuses[0].Leaving = true
			f.statuses[1].Suspect = true
			f.statuses[2].Suspect = true
			b := newBalancer(f, policy)
			seen := map[string]bool{}
			for range 100 {
				d := b.Pick("pool", nil)
				qt.Assert(t, d.Chosen, qt.IsNotNil, qt.Commentf("%s", d.Explain()))
				seen[d.Chosen.ID] = true
				reportDone(b, d.Chosen, false)
			}
			qt.Check(t, seen["agent-00"], qt.IsFalse)
		})
	}
}

func BenchmarkPick(b *testing.B) {
	f := newMembers(1000, 4)
	bal := newBalancer(f, route.PolicyCost)
	for b.Loop() {
		d := bal.Pick("pool", nil)
		bal.Cancel(d.Chosen)
	}
}
