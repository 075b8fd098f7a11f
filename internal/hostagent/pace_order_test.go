package hostagent

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/jobs"
	"bamboofork/internal/session"
)

// pacedRunner notes the paces that are ordered.
type pacedRunner struct {
	scriptedRunner
	paces []int
}

func (r *pacedRunner) Pace(_ context.Context, _ Identity, _ int64, _ string, _, percent int) error {
	r.paces = append(r.paces, percent)
	return nil
}

// Guards against filling runs that work faster than the owner allows: at their start, after a change, and while the agent
// itself slows all of them; and against a run that stays slow afterwards.
func TestOwnersPaceIsKept(t *testing.T) {
	r := &pacedRunner{scriptedRunner: scriptedRunner{script: []Rejection{Accepted}}}
	a := newTestAgent(r)
	ctx := context.Background()
	a.mu.Lock()
	a.start(&session.Start{Task: "j.0.0.0", Run: 1, Life: 7, MemMB: 10, Fills: true, Pace: 40})
	a.mu.Unlock()
	a.carryOut(ctx, <-a.orders)
	<-a.paced
	a.setPace(ctx)
	allow := func(percent, limit int) {
		a.mu.Lock()
		a.allow(&session.Pace{Task: "j.0.0.0", Run: 1, Percent: percent})
		a.paceLimit = limit
		a.mu.Unlock()
		a.setPace(ctx)
	}
	allow(80, jobs.FullPace)
	allow(80, 20)
	allow(80, jobs.FullPace)
	allow(100, jobs.FullPace)
	qt.Check(t, r.paces, qt.DeepEquals, []int{40, 80, 20, 80, 100})
	a.mu.Lock()
	defer a.mu.Unlock()
	qt.Check(t, a.list()[0].Pace, qt.Equals, 100)
}

// Guards against a run that stays slow for good: the agent ended while the run was slowed, and its next life took the run that
// it found for one at full speed.
func TestPaceOfAFoundRunIsSetAnew(t *testing.T) {
	r := &pacedRunner{}
	a := newTestAgent(r)
	a.seen(&ActiveRun{Task: "j.0.0.0", Run: 1})
	a.size(&session.Start{Task: "j.0.0.0", Run: 1, Life: 7, Fills: true})
	qt.Check(t, a.list()[0].Pace, qt.Equals, 0)
	a.setPace(context.Background())
	a.setPace(context.Background())
	qt.Check(t, r.paces, qt.DeepEquals, []int{100})
	qt.Check(t, a.list()[0].Pace, qt.Equals, 100)
}
