package partition_test

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// ownerOf returns a running process, other than except, that owns the partition; nil if there is none.
func (f *fleet) ownerOf(part int, except *process) *process {
	for _, p := range f.processes() {
		if p != except && p.running() && slices.Contains(p.manager.Owned(), part) {
			return p
		}
	}
	return nil
}

// awaitOwner waits up to 2 minutes for an owner other than except. It returns the owner, nil if there is none, and the virtual
// time that passed.
func (f *fleet) awaitOwner(part int, except *process) (*process, time.Duration) {
	started := time.Now()
	for time.Since(started) < 2*time.Minute {
		if p := f.ownerOf(part, except); p != nil {
			return p, time.Since(started)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, 2 * time.Minute
}

func withFleet(t *testing.T, seed uint64, do func(c *qt.C, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(4, seed, zerolog.Nop())
		done := make(chan struct{})
		go func() { defer close(done); f.background(ctx) }()
		time.Sleep(8 * time.Second)
		do(qt.New(t), f)
		for _, p := range f.processes() {
			p.cancel()
		}
		f.wg.Wait()
		cancel()
		<-done
	})
}

// measureTakeovers removes the owner of each partition in turn and returns the sorted times until the partition has a new
// owner.
func measureTakeovers(c *qt.C, f *fleet, rounds int, remove func(*process)) []time.Duration {
	times := []time.Duration{}
	for i := range rounds {
		part := i % testPartitions
		old, _ := f.awaitOwner(part, nil)
		c.Assert(old, qt.IsNotNil)
		remove(old)
		_, took := f.awaitOwner(part, old)
		times = append(times, took)
		<-old.done
		old.kill()
		old.restartOnce.Do(func() { f.start(old.id) })
		time.Sleep(10 * time.Second)
	}
	slices.Sort(times)
	return times
}

// TestPartitionsKeepOwnersWhileAllHostsAreReplaced guards against partitions that stay without an owner while the hosts
// are replaced one after another. Each partition must have an owner again within two lease times.
func TestPartitionsKeepOwnersWhileAllHostsAreReplaced(t *testing.T) {
	withFleet(t, 5, func(c *qt.C, f *fleet) {
		for i := range 4 {
			old := f.process(fmt.Sprintf("agent-%d", i+1))
			old.cancel()
			<-old.done
			old.kill()
			for part := range testPartitions {
				_, took := f.awaitOwner(part, old)
				c.Assert(took < 2*testLeaseTTL, qt.IsTrue, qt.Commentf("partition %d was without an owner for %v", part, took))
			}
			old.restartOnce.Do(func() { f.start(old.id) })
			time.Sleep(8 * time.Second)
		}
	})
}

// TestPartitionsKeepOwnersAfterImmediateRestart guards against a partition that stays without an owner after the host of
// its owner was restarted immediately: the membership view lists the host as alive, but the process that owned the
// partition is gone.
func TestPartitionsKeepOwnersAfterImmediateRestart(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		withFleet(t, seed, func(c *qt.C, f *fleet) {
			for i := range 4 {
				old := f.process(fmt.Sprintf("agent-%d", i+1))
				old.cancel()
				<-old.done
				old.kill()
				old.restartOnce.Do(func() { f.start(old.id) })
				for part := range testPartitions {
					_, took := f.awaitOwner(part, old)
					c.Check(took < 2*testLeaseTTL, qt.IsTrue, qt.Commentf("seed %d: partition %d was without an owner for %v", seed, part, took))
				}
				time.Sleep(8 * time.Second)
			}
		})
	}
}

// TestMeasureTakeover prints the takeover times for docs/measurements/batch.md.
func TestMeasureTakeover(t *testing.T) {
	if flag.Lookup("batch.measure").Value.String() != "true" {
		t.Skip("measurement; run with -batch.measure")
	}
	const rounds = 60
	withFleet(t, 1, func(c *qt.C, f *fleet) {
		times := measureTakeovers(c, f, rounds, (*process).kill)
		c.Logf("owner killed: median %v, max %v; in leases of %v: %.2f and %.2f", times[rounds/2], times[rounds-1], testLeaseTTL,
			times[rounds/2].Seconds()/testLeaseTTL.Seconds(), times[rounds-1].Seconds()/testLeaseTTL.Seconds())
	})
	withFleet(t, 1, func(c *qt.C, f *fleet) {
		times := measureTakeovers(c, f, rounds, func(p *process) { p.cancel(); <-p.done })
		c.Logf("graceful shutdown, from the end of the old owner: median %v, max %v; in leases: %.2f and %.2f",
			times[rounds/2], times[rounds-1], times[rounds/2].Seconds()/testLeaseTTL.Seconds(), times[rounds-1].Seconds()/testLeaseTTL.Seconds())
	})
}
