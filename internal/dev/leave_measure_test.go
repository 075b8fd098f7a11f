package dev_test

import (
	"bytes"
	"context"
	"flag"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bamboofork/internal/dev"
	"bamboofork/internal/faultnet"
)

var leavingRounds = flag.Int("leaving.rounds", 0, "rounds of TestMeasureLeaving; 0 skips it")

// routingLog is a log writer that records when an entry last routed a request to the agent.
type routingLog struct {
	mu           sync.Mutex
	agentText    []byte // identifies the agent in a log line
	lastRoutedAt time.Time
}

func (l *routingLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if bytes.Contains(p, []byte(`"name":"request_routed"`)) && bytes.Contains(p, l.agentText) {
		l.lastRoutedAt = time.Now()
	}
	return len(p), nil
}

// untilLastRouted returns the time from start to the last routing decision for the agent. It returns 0 if no decision for the agent
// was made after start.
func (l *routingLog) untilLastRouted(start time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.lastRoutedAt.Sub(start))
}

// Measures the time until entries stop routing requests to an agent in four scenarios: a graceful shutdown, a graceful shutdown
// while all control links are disconnected, a kill, and connections that stop responding. The limit of 10 s guards against entries
// that route requests to such an agent indefinitely.
func TestMeasureLeaving(t *testing.T) {
	if *leavingRounds == 0 {
		t.Skip("a measurement; run with -leaving.rounds")
	}
	scenarios := map[string]func(f *dev.Fleet){
		"graceful shutdown": func(f *dev.Fleet) { go f.Agent(0).Stop() },
		"graceful shutdown, control links cut": func(f *dev.Fleet) {
			for _, h := range []*dev.Host{f.Agent(0), f.Agent(1), f.Agent(2), f.Entry(0), f.Entry(1)} {
				h.Relays.Control.SetFaults(faultnet.Faults{RefuseNew: true})
				h.Relays.Control.Reset()
			}
			go f.Agent(0).Stop()
		},
		"killed": func(f *dev.Fleet) { f.Agent(0).Node.Abort() },
		"unresponsive": func(f *dev.Fleet) {
			for _, l := range f.Agent(0).Relays.All() {
				l.SetFaults(faultnet.Faults{BlackholeNew: true})
				l.Blackhole(faultnet.ToServer, faultnet.ToClient)
			}
		},
	}
	for name, apply := range scenarios {
		for round := range *leavingRounds {
			routed := &routingLog{agentText: []byte(`"decision":"agent-1 with`)}
			p, err := dev.Workshop()
			qt.Assert(t, err, qt.IsNil)
			p.Entries, p.Agents, p.UseRelays, p.RelaySeed = 2, 3, true, uint64(round)
			f, err := dev.Start(p, zerolog.New(routed))
			qt.Assert(t, err, qt.IsNil)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			qt.Assert(t, f.WaitReady(ctx), qt.IsNil)
			cancel()
			time.Sleep(4 * time.Second) // until partitions have owners
			load := startLoad(f, http.DefaultClient, nil)
			time.Sleep(500 * time.Millisecond)
			start := time.Now()
			apply(f)
			time.Sleep(12 * time.Second)
			load.stop()
			t.Logf("%s, round %d: last routed to after %s, %d requests done, %d failed",
				name, round, routed.untilLastRouted(start), load.doneCount.Load(), len(load.failures))
			if len(load.failures) > 0 {
				t.Logf("first failure: %.300s", load.failures[0])
			}
			qt.Check(t, routed.untilLastRouted(start) < 10*time.Second, qt.IsTrue)
			// The fleet is not stopped: some of its hosts can no longer shut down gracefully.
		}
	}
}
