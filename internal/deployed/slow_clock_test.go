package deployed

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/session"
	"bamboofork/platform/standin"
)

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
		cutOff.worker.SetFaults(standin.WorkerFaults{RequestDelay: 380 * time.Millisecond})
		f.runScheduled(time.Now().Add(3*time.Second + time.Duration(seed)*37*time.Millisecond))
		starts := f.checker.StartCount()
		f.isolate(cutOff)
		cutOff.worker.SetFaults(standin.WorkerFaults{})
		f.runScheduled(time.Now().Add(12 * time.Second))
		qt.Check(t, f.checker.StartCount() > starts, qt.IsTrue, qt.Commentf("no task was started elsewhere"))
		f.network.HealLinks()
		f.checkRunningAfter(seed, perpetual, virtualCalm)
	})
}
