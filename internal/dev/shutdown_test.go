package dev_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/dev"
)

var (
	stopFirst = flag.Uint64("stop-first", 0, "first seed of TestPlannedStopUnderLoad")
	stopSeeds = flag.Uint64("stop-seeds", 3, "number of seeds of TestPlannedStopUnderLoad")
)

const (
	stopCallers   = 8
	meanServiceMs = 20
	balancerPoll  = 50 * time.Millisecond
	warmUp        = 300 * time.Millisecond
	maxSignalGap  = 3 * time.Second // between overlapping signals: up to the end of the announcement and of a short drain
	readyDeadline = time.Minute
)

// stopTrial is a fleet in virtual time under the load of callers. Virtual time stands still while any goroutine runs, so the load of
// the machine does not matter.
type stopTrial struct {
	t    *testing.T
	rng  *rand.Rand
	f    *dev.Fleet
	load *balancedLoad
}

// newStopTrial starts a fleet with that many agents and its load.
func newStopTrial(t *testing.T, seed uint64, agents int) *stopTrial {
	rng := rand.New(rand.NewPCG(seed, 10))
	f, client := startVirtualFleet(t, rng, agents)
	trial := &stopTrial{t: t, rng: rng, f: f, load: startLoad(f, client, rng)}
	time.Sleep(warmUp)
	return trial
}

// stop stops the process with the ID gracefully.
func (s *stopTrial) stop(id string) {
	s.load.note("stop " + id)
	qt.Check(s.t, s.f.EndProcess(id, dev.EndGracefully), qt.IsNil)
	s.load.note(id + " has stopped")
}

// restart starts the process with the ID again and waits until the fleet is ready.
func (s *stopTrial) restart(id string) {
	s.load.note("start " + id)
	qt.Assert(s.t, s.f.StartProcess(id), qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), readyDeadline)
	defer cancel()
	qt.Assert(s.t, s.f.WaitReady(ctx), qt.IsNil)
	time.Sleep(time.Duration(s.rng.Int64N(int64(time.Second))))
}

// inSeries stops and restarts one process after the other.
func (s *stopTrial) inSeries(ids ...string) {
	for _, id := range ids {
		s.stop(id)
		s.restart(id)
	}
}

// overlapping stops processes whose signals come at random times, such that their shutdowns overlap.
func (s *stopTrial) overlapping(ids ...string) {
	var wg sync.WaitGroup
	for i, id := range ids {
		if i > 0 {
			time.Sleep(time.Duration(s.rng.Int64N(int64(maxSignalGap))))
		}
		wg.Go(func() { s.stop(id) })
	}
	wg.Wait()
}

// finish ends the load, checks it and stops the fleet. The processes with the given IDs have stopped already.
func (s *stopTrial) finish(stopped ...string) {
	s.load.stop()
	qt.Check(s.t, s.load.failures, qt.HasLen, 0, qt.Commentf("%s", s.load.history))
	qt.Check(s.t, s.load.doneCount.Load() > 100, qt.IsTrue, qt.Commentf("%d requests are done", s.load.doneCount.Load()))
	qt.Check(s.t, s.f.BackendOverruns(), qt.Equals, int64(0))
	runs := s.f.BackendRuns()
	for _, key := range s.load.doneKeys {
		qt.Check(s.t, runs[key], qt.Equals, 1, qt.Commentf("runs of %s", key))
	}
	s.t.Logf("%d requests are done, %d of them keyed; the slowest took %s", s.load.doneCount.Load(), len(s.load.doneKeys), s.load.slowest)
	for _, id := range stopped {
		s.f.Remove(s.f.Host(id))
	}
	stopVirtualFleet(s.t, s.f, s.load.client)
}

// balancedLoad sends requests to the entries that report that they are ready, as the platform's load balancer does. The load ends
// when stop is called. mu guards doneKeys, slowest, failures and history.
type balancedLoad struct {
	client    *http.Client
	start     time.Time
	isReady   [2]atomic.Bool // by entry index
	doneCount atomic.Int64   // responses with the outcome done
	mu        sync.Mutex
	doneKeys  []string
	slowest   time.Duration // longest time of a response with the outcome done
	failures  []string
	history   []string
	stopped   chan struct{} // closed by stop
	wg        sync.WaitGroup
}

// startLoad starts the load. The service times are random, or all the same if rng is nil.
func startLoad(f *dev.Fleet, client *http.Client, rng *rand.Rand) *balancedLoad {
	l := &balancedLoad{client: client, start: time.Now(), stopped: make(chan struct{})}
	urls := [2]string{f.EntryURL(0), f.EntryURL(1)}
	for i := range urls {
		l.isReady[i].Store(true)
		l.repeatUntilStopped(func(int) {
			resp, err := client.Get(urls[i] + "/readyz")
			l.isReady[i].Store(err == nil && resp.StatusCode == http.StatusOK)
			if err == nil {
				resp.Body.Close()
			}
			time.Sleep(balancerPoll)
		})
	}
	for c := range stopCallers {
		serviceMs := func() int { return meanServiceMs }
		if rng != nil {
			callerRng := rand.New(rand.NewPCG(rng.Uint64(), uint64(c)))
			serviceMs = func() int { return 1 + callerRng.IntN(2*meanServiceMs) }
		}
		l.repeatUntilStopped(func(n int) {
			i := (c + n) % 2
			if !l.isReady[i].Load() {
				i = 1 - i
			}
			path, key := scanPath, ""
			if n%4 == 0 {
				path, key = orderPath, fmt.Sprintf("leave-%d-%d", c, n)
			}
			url := fmt.Sprintf("%s%s?ms=%d", urls[i], path, serviceMs())
			sentAt := time.Now()
			resp := callWith(client, http.MethodPost, url, key, bytes.NewReader([]byte("load")))
			l.record(i, key, time.Since(sentAt), resp)
		})
	}
	return l
}

func (l *balancedLoad) repeatUntilStopped(action func(n int)) {
	l.wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-l.stopped:
				return
			default:
				action(n)
			}
		}
	})
}

func (l *balancedLoad) record(entryIndex int, key string, took time.Duration, resp response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if resp.err == nil && resp.outcome == "done" {
		l.doneCount.Add(1)
		l.slowest = max(l.slowest, took)
		if key != "" {
			l.doneKeys = append(l.doneKeys, key)
		}
		return
	}
	l.failures = append(l.failures, fmt.Sprintf("%.3f entry %d: %d %v %s", time.Since(l.start).Seconds(), entryIndex, resp.status, resp.err, resp.body))
}

func (l *balancedLoad) note(event string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = append(l.history, fmt.Sprintf("%.3f %s", time.Since(l.start).Seconds(), event))
}

func (l *balancedLoad) stop() {
	close(l.stopped)
	l.wg.Wait()
}

// Guards against a graceful shutdown of an agent or an entry that aborts or refuses requests: in both orders, in series, and with
// shutdowns that overlap. The agents that remain have to be able to own all partitions.
func TestPlannedStopUnderLoad(t *testing.T) {
	const agent, entry, otherAgent, otherEntry = "agent-1", "entry-1", "agent-2", "entry-2"
	for name, c := range map[string]struct {
		agents int
		play   func(s *stopTrial)
	}{
		"agent then entry":          {3, func(s *stopTrial) { s.stop(agent); s.stop(entry); s.finish(agent, entry) }},
		"entry then agent":          {3, func(s *stopTrial) { s.stop(entry); s.stop(agent); s.finish(agent, entry) }},
		"in series":                 {3, func(s *stopTrial) { s.inSeries(agent, entry, otherAgent, otherEntry, agent); s.finish() }},
		"agent, entry overlapping":  {3, func(s *stopTrial) { s.overlapping(agent, entry); s.finish(agent, entry) }},
		"entry, agent overlapping":  {3, func(s *stopTrial) { s.overlapping(entry, agent); s.finish(agent, entry) }},
		"agents, entry overlapping": {4, func(s *stopTrial) { s.overlapping(agent, otherAgent, entry); s.finish(agent, otherAgent, entry) }},
	} {
		for seed := *stopFirst; seed < *stopFirst+*stopSeeds; seed++ {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { c.play(newStopTrial(t, seed, c.agents)) })
			})
		}
	}
}
