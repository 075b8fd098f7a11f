package hostagent

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/boottime"
	"bamboofork/internal/session"
)

// fencedRunner rejects calls with a fencing token below its own token.
type fencedRunner struct {
	scriptedRunner
	token        int64
	holdCalls    int
	ackedEndSeqs []int64 // lastAckedEndSeq argument of each Hold call
}

func (r *fencedRunner) Hold(_ context.Context, who WorkerIdentity, token, _, lastAckedEndSeq int64, _ int) (HoldResponse, error) {
	r.holdCalls++
	r.ackedEndSeqs = append(r.ackedEndSeqs, lastAckedEndSeq)
	return HoldResponse{Lifetime: who.Lifetime, ClockMs: 1000, Fenced: token < r.token}, nil
}

// Guards against an agent that cannot control its worker. A call from a previous lifetime had left a token far above the clock
// of the new lifetime, and the agent's token grew by only one per call.
func TestTokenExceedsHigherTokenWithinFewCalls(t *testing.T) {
	r := &fencedRunner{token: 500_000}
	a := newTestAgent(r)
	for a.token < r.token && r.holdCalls < 100 {
		qt.Assert(t, a.renewHold(context.Background()), qt.IsNil)
	}
	qt.Check(t, r.holdCalls < 25, qt.IsTrue, qt.Commentf("%d calls", r.holdCalls))
	qt.Assert(t, a.renewHold(context.Background()), qt.IsNil)
	qt.Check(t, a.tokenStepMs, qt.Equals, int64(1))
}

// Guards against a worker that forgets ends that the agent has never read (soak test, seed 11). The worker had crashed and
// restarted under the same ID. The agent's first calls then acknowledged ends by the numbers of the previous lifetime, and
// started runs in the new lifetime.
func TestNothingIsAcknowledgedOrStartedBeforeALostWorkerIsKnownAgain(t *testing.T) {
	r := &fencedRunner{scriptedRunner: scriptedRunner{script: []StartResult{Accepted}}, token: 1}
	a := newTestAgent(r)
	a.ackedEndSeq = 40
	a.handleHoldError(ErrNoResponse)
	a.mu.Lock()
	a.queueStart(&session.Start{Task: "j.0.0.0", Run: 1, Lifetime: 7, CPU: 1000})
	a.mu.Unlock()
	done := make(chan struct{})
	go func() {
		a.executeStart(context.Background(), <-a.startQueue)
		close(done)
	}()
	time.Sleep(3 * callRetryDelay)
	qt.Check(t, len(r.scriptedRunner.calls()), qt.Equals, 0)
	qt.Assert(t, a.renewHold(context.Background()), qt.IsNil)
	<-done
	qt.Assert(t, a.renewHold(context.Background()), qt.IsNil)
	qt.Check(t, r.ackedEndSeqs, qt.DeepEquals, []int64{0, 40})
}

// Guards against unread ends of runs that a restarted worker forgets, because the agent's process was paused over the restart and
// acknowledged ends with a number from before it.
func TestPausedAgentAcknowledgesNoEndsBeforeItReadsTheList(t *testing.T) {
	worker := &fencedRunner{}
	a := newTestAgent(worker)
	a.token, a.ackedEndSeq = 5, 9
	a.clock = workerClock{readMs: 500, sentAt: boottime.Now() - 2*maxAckAge, receivedAt: time.Now().Add(-2 * maxAckAge)}
	qt.Assert(t, a.renewHold(context.Background()), qt.IsNil)
	qt.Check(t, worker.ackedEndSeqs, qt.DeepEquals, []int64{0})
	qt.Assert(t, a.renewHold(context.Background()), qt.IsNil)
	qt.Check(t, worker.ackedEndSeqs, qt.DeepEquals, []int64{0, 9})
}
