package budget_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bamboofork/internal/store"
	"bamboofork/internal/store/budget"
	"bamboofork/internal/store/memstore"
	"bamboofork/internal/telemetry"
)

// Guards against a thundering herd: all processes call the store at the same moment after a five-minute outage. Also guards
// against processes that call the store too often during the outage.
func TestOutageDoesNotEndInThunderingHerd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const processes = 100
		st := memstore.NewFaulty(memstore.New(), 1)
		st.SetFaults(memstore.Faults{Down: true})
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		for range processes {
			b := budget.New(st, budget.AgentLimits, telemetry.New(), zerolog.Nop())
			wg.Add(1)
			go func() {
				defer wg.Done()
				for ctx.Err() == nil {
					_, _ = b.Get(ctx, "settings/log/1")
					time.Sleep(50 * time.Millisecond)
				}
			}()
		}
		time.Sleep(5 * time.Minute)
		outageCalls := st.CallsByKind()["get"]
		st.SetFaults(memstore.Faults{})
		time.Sleep(100 * time.Millisecond)
		recoveryCalls := st.CallsByKind()["get"] - outageCalls
		cancel()
		wg.Wait()
		callsPerSecond := float64(outageCalls) / processes / 300
		qt.Assert(t, callsPerSecond < 4, qt.IsTrue, qt.Commentf("%.1f calls/s per process during the outage", callsPerSecond))
		qt.Assert(t, recoveryCalls < processes*2, qt.IsTrue,
			qt.Commentf("%d calls by %d processes in the first 100 ms", recoveryCalls, processes))
	})
}

// Guards against a process that exceeds its share of the store's write rate.
func TestWriteRateStaysWithinLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.NewFaulty(memstore.New(), 1)
		b := budget.New(st, budget.Limits{WritesPerSec: 10, ReadsPerSec: 10}, telemetry.New(), zerolog.Nop())
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		var err error
		for err == nil {
			_, err = b.CompareAndSwap(ctx, "k", -1, nil, 0)
		}
		qt.Assert(t, errors.Is(err, store.ErrRateLimited), qt.IsTrue)
		calls := st.CallsByKind()["cas"]
		qt.Assert(t, calls <= 10*10+21, qt.IsTrue, qt.Commentf("%d writes in 10 s", calls))
	})
}
