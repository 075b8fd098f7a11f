package hostagent

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/session"
)

// drainingWorker returns an agent and a function that makes its worker register as draining.
func drainingWorker(r Runner) (*Agent, func()) {
	a := newTestAgent(r)
	return a, func() {
		draining := session.Worker{ID: "i-1", Lifetime: 7, Service: "s", CPU: 16_000, MemMB: 1000, Draining: true}
		a.Register(draining)
	}
}

// Guards against a task that is started on a worker long after the worker has said that it drains (DRAIN, REPORT-3): a start that was not
// answered was repeated for as long as it was not answered. The worker may carry the first attempt out later, so a stop follows.
func TestUnansweredStartIsWithdrawnWhenItsWorkerDrains(t *testing.T) {
	r := &callbackRunner{scriptedRunner: scriptedRunner{script: []StartResult{noResponse, Accepted}}}
	a, drain := drainingWorker(r)
	r.onStart = drain
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	a.mu.Lock()
	a.queueStart(&session.Start{Task: "j.0.0.0", Run: 1, Lifetime: 7, CPU: 1000})
	queued := <-a.startQueue
	a.mu.Unlock()
	a.executeStart(ctx, queued)
	qt.Assert(t, a.stopQueue, qt.HasLen, 1)
	a.executeStop(ctx, <-a.stopQueue)
	qt.Check(t, r.calls(), qt.DeepEquals, []string{"start", "stop"})
	a.mu.Lock()
	defer a.mu.Unlock()
	qt.Assert(t, a.runByTask["j.0.0.0"], qt.IsNotNil, qt.Commentf("it keeps its resources until a list shows that it is not there"))
	a.reconcileRuns(&HoldResponse{Lifetime: 7}, a.runByTask["j.0.0.0"].recheckAfter+1)
	qt.Check(t, a.runByTask, qt.HasLen, 0)
	qt.Check(t, a.unreportedRefusals, qt.HasLen, 1)
}

// Guards against a start that was queued before its worker said that it drains and is executed afterwards.
func TestQueuedStartIsRefusedOnceItsWorkerDrains(t *testing.T) {
	r := &scriptedRunner{script: []StartResult{Accepted}}
	a, drain := drainingWorker(r)
	a.mu.Lock()
	a.queueStart(&session.Start{Task: "j.0.0.0", Run: 1, Lifetime: 7, CPU: 1000})
	queued := <-a.startQueue
	a.mu.Unlock()
	drain()
	a.executeStart(t.Context(), queued)
	qt.Check(t, r.calls(), qt.HasLen, 0)
	a.mu.Lock()
	defer a.mu.Unlock()
	qt.Check(t, a.runByTask, qt.HasLen, 0)
	qt.Check(t, a.unreportedRefusals, qt.DeepEquals, []session.Refusal{{Task: "j.0.0.0", Run: 1, Reason: reasonDraining}})
}
