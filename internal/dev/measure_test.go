package dev_test

import (
	"bytes"
	"flag"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"context"

	"github.com/rs/zerolog"

	"bamboofork/internal/dev"
	"bamboofork/internal/faultnet"
)

var measureLeaving = flag.Int("leaving.rounds", 0, "rounds of TestMeasureLeaving; 0 skips it")

// choices is a log writer that notes when an entry last chose an agent.
type choices struct {
	mu    sync.Mutex
	agent []byte
	last  time.Time
}

func (c *choices) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if bytes.Contains(p, []byte(`"name":"request_routed"`)) && bytes.Contains(p, c.agent) {
		c.last = time.Now()
	}
	return len(p), nil
}

// since returns the time from start to the newest choice.
func (c *choices) since(start time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(0, c.last.Sub(start))
}

// Measures the time until no entry chooses a server that leaves, that leaves while all control links are cut, that
// dies, or whose connections go silent. A bound of 10 s guards against a server that is chosen for ever.
func TestMeasureLeaving(t *testing.T) {
	if *measureLeaving == 0 {
		t.Skip("a measurement; run with -leaving.rounds")
	}
	ways := map[string]func(f *dev.Fleet){
		"leaves": func(f *dev.Fleet) { go f.Agent(0).Stop() },
		"leaves, control cut": func(f *dev.Fleet) {
			for _, h := range []*dev.Host{f.Agent(0), f.Agent(1), f.Agent(2), f.Entry(0), f.Entry(1)} {
				h.Links.Control.SetFaults(faultnet.Faults{Refuse: true})
				h.Links.Control.Reset()
			}
			go f.Agent(0).Stop()
		},
		"dies": func(f *dev.Fleet) { f.Agent(0).Node.Abort() },
		"goes silent": func(f *dev.Fleet) {
			for _, l := range f.Agent(0).Links.All() {
				l.SetFaults(faultnet.Faults{Mute: true})
				l.Silence(faultnet.ToServer, faultnet.ToClient)
			}
		},
	}
	for name, way := range ways {
		for round := range *measureLeaving {
			c := &choices{agent: []byte(`"decision":"agent-1 with`)}
			p, err := dev.Workshop()
			qt.Assert(t, err, qt.IsNil)
			p.Entries, p.Agents, p.Relayed, p.RelaySeed = 2, 3, true, uint64(round)
			f, err := dev.Start(p, zerolog.New(c))
			qt.Assert(t, err, qt.IsNil)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			qt.Assert(t, f.WaitReady(ctx), qt.IsNil)
			cancel()
			time.Sleep(4 * time.Second) // partitions have owners
			load := startLoad(f, 8)
			time.Sleep(500 * time.Millisecond)
			start := time.Now()
			way(f)
			time.Sleep(12 * time.Second)
			load.stop()
			t.Logf("%s, round %d: last chosen after %s, %d answers done, %d not", name, round, c.since(start), load.done.Load(), len(load.bad))
			if len(load.bad) > 0 {
				t.Logf("first of them: %.300s", load.bad[0])
			}
			qt.Check(t, c.since(start) < 10*time.Second, qt.IsTrue)
			// The fleet is left to the end of the process: some of its hosts cannot stop in order any more.
		}
	}
}
