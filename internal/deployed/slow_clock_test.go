package deployed

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/session"
)

// maxRequestDelay bounds the delay of requests to a worker. With it, calls that wait for an end are answered just before their timeout.
const maxRequestDelay = 390 * time.Millisecond

// slowWorkers gives workers clocks as slow as PROTOCOL allows, or less slow, and schedules times in which requests to them are late. It draws
// from a source of its own, so that a seed gives the same faults otherwise.
func slowWorkers(seed uint64) func(f *virtualFleet) {
	return func(f *virtualFleet) {
		rng := rand.New(rand.NewPCG(seed, 22))
		for _, m := range f.hosts {
			m.worker.ClockRate = 1 - session.WorkerClockDrift*[]float64{0, rng.Float64(), 1, 1}[rng.IntN(4)]
			for at := time.Duration(0); at < virtualFaultsFor; {
				at += time.Duration(rng.Int64N(int64(5 * time.Second)))
				delay, length := time.Duration(rng.Int64N(int64(maxRequestDelay))), time.Duration(rng.Int64N(int64(5*time.Second)))
				f.after(at, func() {
					f.note("requests to the worker of %s take %s", m.cfg.Name, delay)
					m.worker.SetRequestDelay(delay)
				})
				at += length
				f.after(at, func() { m.worker.SetRequestDelay(0) })
			}
		}
	}
}

// Guards against tasks that run twice (review/12): a host is cut off after requests to its worker were late. Its worker, whose clock is as
// slow as it may be, held the runs for longer than the owner waited before it started the tasks elsewhere.
func TestTasksOfACutOffHostRunOnceAfterLateRequests(t *testing.T) {
	playPhases(t, 8, func(t *testing.T, seed uint64) {
		f := newVirtualFleet(t, seed, func(f *virtualFleet) {
			for _, m := range f.hosts {
				m.worker.ClockRate = 1 - session.WorkerClockDrift
			}
		})
		time.Sleep(time.Second)
		perpetual := f.submitPerpetual(15)
		f.runUntilComplete(perpetual, virtualCalm)
		cutOff := f.hostWithRuns()
		cutOff.worker.SetRequestDelay(380 * time.Millisecond)
		f.runScheduled(time.Now().Add(3*time.Second + time.Duration(seed)*37*time.Millisecond))
		starts := f.checker.StartCount()
		f.isolate(cutOff)
		cutOff.worker.SetRequestDelay(0)
		f.runScheduled(time.Now().Add(12 * time.Second))
		qt.Check(t, f.checker.StartCount() > starts, qt.IsTrue, qt.Commentf("no task was started elsewhere"))
		f.network.HealLinks()
		f.checkRunningAfter(seed, perpetual, virtualCalm)
	})
}
