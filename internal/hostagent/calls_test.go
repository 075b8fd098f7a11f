package hostagent

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/session"
)

// scriptedRunner answers starts in the order of its script and notes what it is asked.
type scriptedRunner struct {
	mu     sync.Mutex
	script []Rejection // "silent" does not answer
	asked  []string
}

const silent Rejection = "silent"

func (r *scriptedRunner) Start(ctx context.Context, _ Identity, _ int64, s *session.Start, _ int64) (Rejection, int64, error) {
	r.mu.Lock()
	next := r.script[0]
	r.script = r.script[1:]
	r.asked = append(r.asked, "start")
	r.mu.Unlock()
	if next == silent {
		<-ctx.Done()
		return "", 0, ErrNoAnswer
	}
	return next, 2000, nil
}

func (r *scriptedRunner) Stop(context.Context, Identity, int64, string, int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked = append(r.asked, "stop")
	return nil
}

func (r *scriptedRunner) Hold(context.Context, Identity, int64, int64, int64, int) (HoldAnswer, error) {
	return HoldAnswer{}, ErrNoAnswer
}

func (r *scriptedRunner) Pace(context.Context, Identity, int64, string, int, int) error { return nil }

func (r *scriptedRunner) calls() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.asked...)
}

// play orders one start, lets the agent carry it out, and returns the agent.
func play(t *testing.T, r *scriptedRunner) *Agent {
	a := newTestAgent(r)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	a.mu.Lock()
	a.start(&session.Start{Task: "j.0.0.0", Run: 1, Life: 7, CPU: 1000})
	a.mu.Unlock()
	a.carryOut(ctx, <-a.orders)
	return a
}

// Guards against a run that is given up while an earlier, unanswered attempt may still be carried out: it is stopped first,
// which makes the worker reject the attempt, and its room stays taken until a list shows that it is not there.
func TestRejectedRepeatIsStopped(t *testing.T) {
	r := &scriptedRunner{script: []Rejection{silent, RejectedLate}}
	a := play(t, r)
	a.carryOutStop(context.Background(), <-a.stops)
	qt.Check(t, r.calls(), qt.DeepEquals, []string{"start", "start", "stop"})
	a.mu.Lock()
	defer a.mu.Unlock()
	qt.Check(t, a.runs["j.0.0.0"], qt.IsNotNil)
	qt.Check(t, a.refused, qt.HasLen, 0)
	a.takeIn(&HoldAnswer{Life: 7}, a.runs["j.0.0.0"].recheck+1)
	qt.Check(t, a.runs["j.0.0.0"], qt.IsNil)
	qt.Check(t, a.refused, qt.HasLen, 1)
}

// Guards against an unanswered start whose room is given away, and against a repeat under another run number.
func TestUnansweredStartIsRepeated(t *testing.T) {
	r := &scriptedRunner{script: []Rejection{silent, silent, Accepted}}
	a := play(t, r)
	qt.Check(t, r.calls(), qt.DeepEquals, []string{"start", "start", "start"})
	a.mu.Lock()
	defer a.mu.Unlock()
	qt.Check(t, a.runs["j.0.0.0"].started, qt.IsTrue)
	qt.Check(t, a.admit(&session.Start{Task: "other", Run: 1, Life: 7, CPU: 15_500}), qt.Equals, "no room")
}

// Guards against a first answer that is taken for an unclear one: a rejection without an earlier attempt is certain.
func TestFirstRejectionIsFinal(t *testing.T) {
	a := play(t, &scriptedRunner{script: []Rejection{RejectedTicket}})
	a.mu.Lock()
	defer a.mu.Unlock()
	qt.Check(t, a.runs, qt.HasLen, 0)
	qt.Check(t, a.refused, qt.DeepEquals, []session.Refusal{{Task: "j.0.0.0", Run: 1, Reason: "ticket"}})
}
