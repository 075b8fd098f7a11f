package hostagent

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/session"
)

// scriptedRunner returns the results of starts from its script, in order, and records the calls.
type scriptedRunner struct {
	mu     sync.Mutex
	script []Rejection // noAnswer: the call times out
	called []string
}

const noAnswer Rejection = "silent"

func (r *scriptedRunner) Start(ctx context.Context, _ Identity, _ int64, s *session.Start, _ int64) (Rejection, int64, error) {
	r.mu.Lock()
	next := r.script[0]
	r.script = r.script[1:]
	r.called = append(r.called, "start")
	r.mu.Unlock()
	if next == noAnswer {
		<-ctx.Done()
		return "", 0, ErrNoResponse
	}
	return next, 2000, nil
}

func (r *scriptedRunner) Stop(context.Context, Identity, int64, string, int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.called = append(r.called, "stop")
	return nil
}

func (r *scriptedRunner) Hold(context.Context, Identity, int64, int64, int64, int) (HoldResponse, error) {
	return HoldResponse{}, ErrNoResponse
}

func (r *scriptedRunner) Pace(context.Context, Identity, int64, string, int, int) error { return nil }

func (r *scriptedRunner) calls() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.called...)
}

// startOne queues one start, executes it, and returns the agent.
func startOne(t *testing.T, r *scriptedRunner) *Agent {
	a := newTestAgent(r)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	a.mu.Lock()
	a.queueStart(&session.Start{Task: "j.0.0.0", Run: 1, Lifetime: 7, CPU: 1000})
	a.mu.Unlock()
	a.executeStart(ctx, <-a.startQueue)
	return a
}

// Guards against dropping a run while an earlier, unanswered attempt may still take effect. The run is stopped first, which
// makes the worker reject the attempt, and keeps its resources until a list shows that the worker does not have it.
func TestRejectedRepeatIsStopped(t *testing.T) {
	r := &scriptedRunner{script: []Rejection{noAnswer, RejectedDeadlinePassed}}
	a := startOne(t, r)
	a.executeStop(context.Background(), <-a.stopQueue)
	qt.Check(t, r.calls(), qt.DeepEquals, []string{"start", "start", "stop"})
	a.mu.Lock()
	defer a.mu.Unlock()
	qt.Check(t, a.runs["j.0.0.0"], qt.IsNotNil)
	qt.Check(t, a.refusals, qt.HasLen, 0)
	a.reconcile(&HoldResponse{Lifetime: 7}, a.runs["j.0.0.0"].recheckAfter+1)
	qt.Check(t, a.runs["j.0.0.0"], qt.IsNil)
	qt.Check(t, a.refusals, qt.HasLen, 1)
}

// Guards against releasing the resources of an unanswered start, and against repeating it under another run number.
func TestUnansweredStartIsRepeated(t *testing.T) {
	r := &scriptedRunner{script: []Rejection{noAnswer, noAnswer, Accepted}}
	a := startOne(t, r)
	qt.Check(t, r.calls(), qt.DeepEquals, []string{"start", "start", "start"})
	a.mu.Lock()
	defer a.mu.Unlock()
	qt.Check(t, a.runs["j.0.0.0"].started, qt.IsTrue)
	qt.Check(t, a.refusalReason(&session.Start{Task: "other", Run: 1, Lifetime: 7, CPU: 15_500}), qt.Equals, "no room")
}

// Guards against treating the rejection of a first attempt as undetermined: without an earlier attempt it is final.
func TestFirstRejectionIsFinal(t *testing.T) {
	a := startOne(t, &scriptedRunner{script: []Rejection{RejectedTicket}})
	a.mu.Lock()
	defer a.mu.Unlock()
	qt.Check(t, a.runs, qt.HasLen, 0)
	qt.Check(t, a.refusals, qt.DeepEquals, []session.Refusal{{Task: "j.0.0.0", Run: 1, Reason: "ticket"}})
}
