package hostagent

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/session"
)

// fencedRunner refuses tokens below its own.
type fencedRunner struct {
	scriptedRunner
	token int64
	asked int
	seen  []int64 // acknowledged ends
}

func (r *fencedRunner) Hold(_ context.Context, who Identity, token, _, lastSeen int64, _ int) (HoldAnswer, error) {
	r.asked++
	r.seen = append(r.seen, lastSeen)
	return HoldAnswer{Life: who.Life, ClockMs: 1000, Fenced: token < r.token}, nil
}

// Guards against an agent that is kept from its worker: a call of a former lifetime left a token behind that is far above the
// new lifetime's clock, and the agent's token grew by one for each call.
func TestTokenPassesAHigherOneInFewCalls(t *testing.T) {
	r := &fencedRunner{token: 500_000}
	a := newTestAgent(r)
	for a.token < r.token && r.asked < 100 {
		qt.Assert(t, a.holdOnce(context.Background()), qt.IsNil)
	}
	qt.Check(t, r.asked < 25, qt.IsTrue, qt.Commentf("%d calls", r.asked))
	qt.Assert(t, a.holdOnce(context.Background()), qt.IsNil)
	qt.Check(t, a.tokenStep, qt.Equals, int64(1))
}

// Guards against ends that nobody has seen being forgotten by the worker: it had crashed and come back under the same id, and
// the first calls acknowledged its ends by the numbers of the former lifetime and began runs there (soak, seed 11).
func TestNothingIsAcknowledgedOrStartedBeforeALostWorkerIsKnownAgain(t *testing.T) {
	r := &fencedRunner{scriptedRunner: scriptedRunner{script: []Rejection{Accepted}}, token: 1}
	a := newTestAgent(r)
	a.ackEnds = 40
	a.workerLost(ErrNoAnswer)
	a.mu.Lock()
	a.start(&session.Start{Task: "j.0.0.0", Run: 1, Life: 7, CPU: 1000})
	a.mu.Unlock()
	done := make(chan struct{})
	go func() {
		a.carryOut(context.Background(), <-a.orders)
		close(done)
	}()
	time.Sleep(3 * orderRetry)
	qt.Check(t, len(r.scriptedRunner.calls()), qt.Equals, 0)
	qt.Assert(t, a.holdOnce(context.Background()), qt.IsNil)
	<-done
	qt.Assert(t, a.holdOnce(context.Background()), qt.IsNil)
	qt.Check(t, r.seen, qt.DeepEquals, []int64{0, 40})
}
