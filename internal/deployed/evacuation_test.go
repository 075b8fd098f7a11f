package deployed

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/platform/standin"
)

var evacuationSeeds = flag.Uint64("evacuation-seeds", 1, "number of seeds for each fault of TestNothingStartsInAnEvacuatedDomain")

const (
	// evacuationApply is the bound of the operators: the time from the acknowledgement of the key to the last start in the domain.
	evacuationApply = 5 * time.Second
	// evacuationStretch is the time by which an impaired store may stretch that bound.
	evacuationStretch = 6 * time.Second
	evacuationLength  = 9 * time.Second
)

// newEvacuationFleet returns a fleet of three failure domains, each with a third of the hosts, under the load of callers who submit until
// stop is called.
func newEvacuationFleet(t *testing.T, seed uint64) (f *virtualFleet, stop func()) {
	f = newVirtualFleet(t, seed, func(f *virtualFleet) {
		for i, m := range f.hosts {
			m.cfg.Evacuation.ApplyMs = evacuationApply.Milliseconds()
			m.worker.Zone = fmt.Sprint("z", i%3)
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	f.runScheduled(time.Now().Add(time.Second))
	for i := range virtualCallers {
		rng := rand.New(rand.NewPCG(seed, 100+uint64(i)))
		callers.Go(func() { f.call(ctx, rng) })
	}
	f.runScheduled(time.Now().Add(2 * time.Second))
	return f, func() {
		cancel()
		callers.Wait()
	}
}

// lastStartIn returns the time of the newest start in the failure domain.
func (f *virtualFleet) lastStartIn(domain string) time.Time {
	var newest time.Time
	for _, m := range f.hosts {
		if at := m.worker.LastStartAt(); m.worker.Zone == domain && at.After(newest) {
			newest = at
		}
	}
	return newest
}

// playEvacuation takes z0 out of service and puts it back, beside the faults, which begin at the given time before the key is written. It
// checks that nothing starts there once the bound has passed, that callers are served meanwhile and that the domain takes work afterwards.
func playEvacuation(t *testing.T, seed uint64, bound, before time.Duration, faults func(f *virtualFleet)) {
	f, stop := newEvacuationFleet(t, seed)
	faults(f)
	f.runScheduled(time.Now().Add(before))
	f.store.Evacuate("z0", true)
	f.store.Evacuate("no-such-domain", true)
	closedAt := time.Now()
	f.note("z0 goes out of service")
	f.runScheduled(closedAt.Add(bound + evacuationLength))
	last, elsewhere := f.lastStartIn("z0"), f.lastStartIn("z1")
	t.Logf("last start in the domain %s after the key", last.Sub(closedAt))
	qt.Check(t, last.Before(closedAt.Add(bound)), qt.IsTrue, qt.Commentf("last start %s after the key", last.Sub(closedAt)))
	qt.Check(t, elsewhere.After(closedAt.Add(bound)), qt.IsTrue, qt.Commentf("last start in z1 %s after the key", elsewhere.Sub(closedAt)))
	f.store.Evacuate("z0", false)
	backAt := time.Now()
	f.note("z0 is back in service")
	f.runScheduled(backAt.Add(evacuationApply))
	qt.Check(t, f.lastStartIn("z0").After(backAt), qt.IsTrue, qt.Commentf("the domain is in service again"))
	stop()
	f.checkFinished()
	f.close()
	qt.Check(t, f.violations, qt.HasLen, 0)
	if t.Failed() {
		f.writeLogs(seed)
	}
}

// setStoreFaults sets the faults of all processes' paths to the store for a time from now.
func (f *virtualFleet) setStoreFaults(faults standin.StoreFaults, length time.Duration) {
	set := func(faults standin.StoreFaults) {
		for _, m := range f.machines() {
			m.endpoint.SetFaults(faults)
		}
	}
	f.note("store %+v for %s", faults, length)
	set(faults)
	f.after(length, func() { set(standin.StoreFaults{}) })
}

// Guards against starts in a failure domain that is being emptied: by an owner that has just taken over, by one that the store did not
// answer when the key was written, by a watch that lost the event, by agents and owners that start meanwhile, and by a start that was
// unanswered when the key was written.
func TestNothingStartsInAnEvacuatedDomain(t *testing.T) {
	for name, c := range map[string]struct {
		bound  time.Duration
		before time.Duration
		faults func(f *virtualFleet)
	}{
		"no fault":          {evacuationApply, 0, func(*virtualFleet) {}},
		"lost watch events": {evacuationApply, 0, func(f *virtualFleet) { f.setStoreFaults(standin.StoreFaults{NoWatchEvents: true}, 30*time.Second) }},
		"slow store": {evacuationApply, 0, func(f *virtualFleet) {
			f.setStoreFaults(standin.StoreFaults{Delay: 200 * time.Millisecond}, 30*time.Second)
		}},
		"silent store":         {evacuationApply + evacuationStretch, 500 * time.Millisecond, func(f *virtualFleet) { f.silenceStore(5 * time.Second) }},
		"history is forgotten": {evacuationApply, 0, func(f *virtualFleet) { f.after(300*time.Millisecond, f.store.Compact) }},
		"the owner is killed": {evacuationApply, 0, func(f *virtualFleet) {
			f.after(100*time.Millisecond, func() { f.killForOutage(f.owner()) })
			f.after(6*time.Second, func() { f.killForOutage(f.owner()) })
		}},
		"the owner stops twice": {evacuationApply, 0, func(f *virtualFleet) { f.changeOwnersEvery(3*time.Second, stopOwner, stopOwner) }},
		"the owner is cut off":  {evacuationApply, 0, func(f *virtualFleet) { f.after(200*time.Millisecond, func() { cutOffOwner(f) }) }},
		"all processes are killed": {evacuationApply, 0, func(f *virtualFleet) {
			f.after(6*time.Second, func() {
				for _, m := range f.machines() {
					f.killForOutage(m)
				}
			})
		}},
		"agents of the domain restart": {evacuationApply, 0, func(f *virtualFleet) {
			for i := range 5 {
				f.after(time.Duration(2+2*i)*time.Second, func() { f.killForOutage(f.hosts[3*(i%2)]) })
			}
		}},
		"unanswered starts": {evacuationApply, 0, func(f *virtualFleet) {
			for _, m := range f.hosts {
				m.worker.SetFaults(standin.WorkerFaults{DelayedRatio: 0.3, ExecutionDelay: 2 * time.Second})
			}
			f.after(2*time.Second, func() {
				for _, m := range f.hosts {
					m.worker.SetFaults(standin.WorkerFaults{})
				}
			})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playPhases(t, *evacuationSeeds, func(t *testing.T, seed uint64) { playEvacuation(t, seed, c.bound, c.before, c.faults) })
		})
	}
}

// Checks that all domains out of service at once is survived: what callers submit is accepted and waits, and runs when a domain is back.
func TestWorkWaitsWhileAllDomainsAreOutOfService(t *testing.T) {
	playPhases(t, 2, func(t *testing.T, seed uint64) {
		f, stop := newEvacuationFleet(t, seed)
		stop()
		for _, domain := range []string{"z0", "z1", "z2"} {
			f.store.Evacuate(domain, true)
		}
		f.runScheduled(time.Now().Add(evacuationApply))
		before := f.checker.StartCount()
		job := f.newJob(rand.New(rand.NewPCG(seed, 7)))
		qt.Check(t, f.submit(job, f.entries[0]), qt.Equals, http.StatusOK)
		f.runScheduled(time.Now().Add(evacuationApply))
		qt.Check(t, f.checker.StartCount(), qt.Equals, before)
		f.store.Evacuate("z1", false)
		f.checkFinished()
		f.close()
		qt.Check(t, f.violations, qt.HasLen, 0)
		if t.Failed() {
			f.writeLogs(seed)
		}
	})
}

// Checks that a deployment without the setting makes no call for it, and that one with it makes few: two readings a second by one process.
func TestEvacuationCallsAtTheStore(t *testing.T) {
	playPhases(t, 1, func(t *testing.T, _ uint64) {
		calls := map[int64]int{}
		for _, applyMs := range []int64{0, 5000} {
			f := newVirtualFleet(t, 1, func(f *virtualFleet) {
				for _, m := range f.hosts {
					m.cfg.Evacuation.ApplyMs = applyMs
				}
			})
			f.runScheduled(time.Now().Add(3 * time.Second))
			start := 0
			for _, m := range f.machines() {
				start -= m.endpoint.CallCount()
			}
			f.runScheduled(time.Now().Add(20 * time.Second))
			for _, m := range f.machines() {
				start += m.endpoint.CallCount()
			}
			calls[applyMs] = start
			f.close()
		}
		t.Logf("calls in 20 s: %v", calls)
		added := calls[5000] - calls[0]
		qt.Check(t, added > 30 && added <= 45, qt.IsTrue, qt.Commentf("%v", calls))
	})
}
