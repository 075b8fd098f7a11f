package hostagent

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/boottime"
	"bamboofork/internal/session"
)

// scriptedRunner responds to start calls with the results in its script, in order, and records the names of the calls.
type scriptedRunner struct {
	mu        sync.Mutex
	script    []StartResult // noResponse: the call times out
	callNames []string
}

const noResponse StartResult = "silent"

func (r *scriptedRunner) Start(ctx context.Context, _ WorkerIdentity, _ int64, s *session.Start, _ int64) (StartResult, int64, error) {
	r.mu.Lock()
	next := r.script[0]
	r.script = r.script[1:]
	r.callNames = append(r.callNames, "start")
	r.mu.Unlock()
	if next == noResponse {
		<-ctx.Done()
		return "", 0, ErrNoResponse
	}
	return next, 2000, nil
}

func (r *scriptedRunner) Stop(context.Context, WorkerIdentity, int64, string, int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.callNames = append(r.callNames, "stop")
	return nil
}

func (r *scriptedRunner) Hold(context.Context, WorkerIdentity, int64, int64, int64, int) (HoldResponse, error) {
	return HoldResponse{}, ErrNoResponse
}

func (r *scriptedRunner) Pace(context.Context, WorkerIdentity, int64, string, int, int) error {
	return nil
}

func (r *scriptedRunner) calls() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.callNames...)
}

// queueAndExecuteStart creates an agent, queues one start, executes it, and returns the agent.
func queueAndExecuteStart(t *testing.T, r *scriptedRunner) *Agent {
	a := newTestAgent(r)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	a.mu.Lock()
	a.queueStart(&session.Start{Task: "j.0.0.0", Run: 1, Lifetime: 7, CPU: 1000})
	a.mu.Unlock()
	a.executeStart(ctx, <-a.startQueue)
	return a
}

// Guards against dropping a run while an earlier, unanswered start attempt may still take effect. The agent must stop the run
// first, so that the worker rejects the attempt. The run keeps its resources until a list shows that the worker does not have it.
func TestRejectedRepeatIsStopped(t *testing.T) {
	r := &scriptedRunner{script: []StartResult{noResponse, RejectedDeadlinePassed}}
	a := queueAndExecuteStart(t, r)
	a.executeStop(context.Background(), <-a.stopQueue)
	qt.Check(t, r.calls(), qt.DeepEquals, []string{"start", "start", "stop"})
	a.mu.Lock()
	defer a.mu.Unlock()
	qt.Check(t, a.runByTask["j.0.0.0"], qt.IsNotNil)
	qt.Check(t, a.unreportedRefusals, qt.HasLen, 0)
	a.reconcileRuns(&HoldResponse{Lifetime: 7}, a.runByTask["j.0.0.0"].recheckAfter+1)
	qt.Check(t, a.runByTask["j.0.0.0"], qt.IsNil)
	qt.Check(t, a.unreportedRefusals, qt.HasLen, 1)
}

// Guards against releasing the resources of an unanswered start. The agent must repeat the start under the same run number
// until the worker responds.
func TestUnansweredStartIsRepeated(t *testing.T) {
	r := &scriptedRunner{script: []StartResult{noResponse, noResponse, Accepted}}
	a := queueAndExecuteStart(t, r)
	qt.Check(t, r.calls(), qt.DeepEquals, []string{"start", "start", "start"})
	a.mu.Lock()
	defer a.mu.Unlock()
	qt.Check(t, a.runByTask["j.0.0.0"].startConfirmed, qt.IsTrue)
	qt.Check(t, a.refusalReason(&session.Start{Task: "other", Run: 1, Lifetime: 7, CPU: 15_500}), qt.Equals, "no room")
}

// Guards against retrying a start whose first attempt the worker rejected. Without an earlier, unanswered attempt the
// rejection is final.
func TestFirstRejectionIsFinal(t *testing.T) {
	a := queueAndExecuteStart(t, &scriptedRunner{script: []StartResult{RejectedTicket}})
	a.mu.Lock()
	defer a.mu.Unlock()
	qt.Check(t, a.runByTask, qt.HasLen, 0)
	qt.Check(t, a.unreportedRefusals, qt.DeepEquals, []session.Refusal{{Task: "j.0.0.0", Run: 1, Reason: "ticket"}})
}

// Guards against a worker that has left and is used again after a restart of its agent: the new process knows nothing, and a delayed
// registration of the worker may still arrive. Nothing starts before the worker itself has listed its runs.
func TestRestartedAgentStartsNothingOnAWorkerThatHasLeft(t *testing.T) {
	a := newTestAgent(nil)
	a.activeListed, a.runsListed, a.token, a.clock = false, false, 0, workerClock{} // as after a restart; the registration is a delayed one
	a.mu.Lock()
	a.queueStart(&session.Start{Task: "j.0.0.0", Run: 1, Lifetime: 7, CPU: 1000})
	qt.Check(t, a.runByTask, qt.HasLen, 0)
	qt.Check(t, a.unreportedRefusals, qt.HasLen, 1)
	a.mu.Unlock()
	for range maxRefusedConns {
		a.handleHoldError(ErrConnRefused)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	qt.Check(t, a.worker.Gone, qt.IsTrue)
	a.queueStart(&session.Start{Task: "j.0.0.0", Run: 2, Lifetime: 7, CPU: 1000})
	qt.Check(t, a.runByTask, qt.HasLen, 0)
}

// Guards against a start on a permission that has run out while the agent was paused: the deadline that goes with the start is never
// later than the owner has granted, so that the worker rejects it as late.
func TestStartAfterAPauseCarriesTheExpiredDeadline(t *testing.T) {
	a := newTestAgent(nil)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.grantedUntilMs = 5000
	a.clock = workerClock{readMs: 1000, sentAt: boottime.Now() - 10*time.Second, receivedAt: time.Now().Add(-10 * time.Second)} // the worker's clock is at 11,000 now
	qt.Check(t, a.nextDeadlineMs() <= 5000, qt.IsTrue)
	qt.Check(t, a.clock.reachedMs() > 5000, qt.IsTrue)
}

// closedRunner is a worker whose port is closed, except for the calls with the given numbers, which get no response.
type closedRunner struct {
	scriptedRunner
	unanswered map[int]bool
	holdCalls  int
}

func (r *closedRunner) Hold(context.Context, WorkerIdentity, int64, int64, int64, int) (HoldResponse, error) {
	r.holdCalls++
	if r.unanswered[r.holdCalls] {
		return HoldResponse{}, ErrNoResponse
	}
	return HoldResponse{}, ErrConnRefused
}

// Guards against a worker that is used as gone although it only does not answer, or that is not used when it registers after its port was
// found closed.
func TestWorkerBeforeItsRegistrationIsGoneOnlyWhileItsPortIsClosed(t *testing.T) {
	r := &closedRunner{unanswered: map[int]bool{maxRefusedConns: true}}
	a := New(newTestAgent(r).cfg)
	for range 2*maxRefusedConns - 1 {
		qt.Assert(t, a.renewHold(t.Context()), qt.ErrorIs, errNoWorker)
		qt.Check(t, a.worker, qt.IsNil)
	}
	qt.Assert(t, a.renewHold(t.Context()), qt.ErrorIs, errNoWorker)
	qt.Check(t, a.worker, qt.DeepEquals, &session.Worker{Gone: true})
	registered := session.Worker{ID: "i-2", Lifetime: 9, Service: "s"}
	a.Register(registered)
	qt.Check(t, a.worker, qt.DeepEquals, &registered)
	qt.Check(t, a.refusedConns, qt.Equals, 0)
}

// Guards against a run in a lifetime that the agent does not know: the worker has restarted under the same ID while the agent was paused, and
// the first thing that the agent does is to execute a start for the earlier lifetime. The task would then run again elsewhere.
func TestStartAfterAPauseWaitsForTheWorker(t *testing.T) {
	r := &scriptedRunner{script: []StartResult{Accepted}}
	a := newTestAgent(r)
	ctx, cancel := context.WithTimeout(t.Context(), 3*callRetryDelay)
	defer cancel()
	a.mu.Lock()
	a.clock.sentAt = boottime.Now() - 2*maxAckAge
	a.queueStart(&session.Start{Task: "j.0.0.0", Run: 1, Lifetime: 7, CPU: 1000})
	queued := <-a.startQueue
	a.mu.Unlock()
	a.executeStart(ctx, queued)
	qt.Check(t, r.calls(), qt.HasLen, 0)
	a.mu.Lock()
	a.clock.sentAt = boottime.Now()
	a.mu.Unlock()
	a.executeStart(t.Context(), queued)
	qt.Check(t, r.calls(), qt.DeepEquals, []string{"start"})
}
