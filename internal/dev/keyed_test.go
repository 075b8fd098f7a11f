package dev_test

import (
	"context"
	"flag"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bamboofork/internal/dev"
)

var (
	keyedRequests      = flag.Int("keyed.requests", 500, "requests of TestKeyedRun")
	keyedSeed          = flag.Uint64("keyed.seed", 1, "seed of TestKeyedRun")
	keyedFaultInterval = flag.Duration("keyed.faults", 400*time.Millisecond, "mean time between faults of TestKeyedRun, 0: none")
	keyedCallers       = flag.Int("keyed.callers", 64, "concurrent callers of TestKeyedRun")
)

// Guards against a request with an idempotency key that runs twice while links, processes and the store fail. Also guards against
// an outcome reported to a caller that does not match the runs on the backend servers.
func TestKeyedRun(t *testing.T) {
	p, err := dev.Workshop()
	qt.Assert(t, err, qt.IsNil)
	p.UseRelays, p.RelaySeed = true, *keyedSeed
	fleet, err := dev.Start(p, zerolog.Nop())
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	qt.Assert(t, fleet.WaitReady(ctx), qt.IsNil)
	run := &dev.KeyedRun{
		Fleet: fleet, Requests: *keyedRequests, Concurrency: *keyedCallers, Seed: *keyedSeed, FaultInterval: *keyedFaultInterval,
		Branch: "workshop/moulding-orders",
	}
	r := run.Run(ctx)
	t.Logf("%+v", r)
	qt.Check(t, r.Passed(), qt.IsTrue)
	qt.Check(t, r.DoneKeys > *keyedRequests*8/10, qt.IsTrue, qt.Commentf("too few requests were done for a meaningful check"))
	qt.Check(t, fleet.Stop(), qt.IsNil)
}
