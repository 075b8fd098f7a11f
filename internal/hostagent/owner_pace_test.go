package hostagent

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/jobs"
	"bamboofork/internal/session"
)

// pacedRunner records the paces that the agent sets.
type pacedRunner struct {
	scriptedRunner
	paces []int
}

func (r *pacedRunner) Pace(_ context.Context, _ WorkerIdentity, _ int64, _ string, _, percent int) error {
	r.paces = append(r.paces, percent)
	return nil
}

// Guards against a best-effort run that is faster than the owner allows at its start, after a change, or while the agent slows
// all best-effort runs. The run must also return to full speed afterwards.
func TestBestEffortPaceStaysWithinOwnersLimit(t *testing.T) {
	r := &pacedRunner{scriptedRunner: scriptedRunner{script: []StartResult{Accepted}}}
	a := newTestAgent(r)
	ctx := context.Background()
	a.mu.Lock()
	a.queueStart(&session.Start{Task: "j.0.0.0", Run: 1, Lifetime: 7, MemMB: 10, BestEffort: true, Pace: 40})
	a.mu.Unlock()
	a.executeStart(ctx, <-a.startQueue)
	<-a.paceDue
	a.applyPaces(ctx)
	allow := func(percent, limit int) {
		a.mu.Lock()
		a.setOwnerPace(&session.Pace{Task: "j.0.0.0", Run: 1, Percent: percent})
		a.paceLimitPercent = limit
		a.mu.Unlock()
		a.applyPaces(ctx)
	}
	allow(80, jobs.FullPacePercent)
	allow(80, 20)
	allow(80, jobs.FullPacePercent)
	allow(100, jobs.FullPacePercent)
	qt.Check(t, r.paces, qt.DeepEquals, []int{40, 80, 20, 80, 100})
	a.mu.Lock()
	defer a.mu.Unlock()
	qt.Check(t, a.runList(false)[0].PacePercent, qt.Equals, 100)
}

// Guards against a run that stays slow permanently. The agent had restarted while the run was slowed, and the new process
// assumed that the run found on the worker was at full speed.
func TestPaceOfAFoundRunIsSetAnew(t *testing.T) {
	r := &pacedRunner{}
	a := newTestAgent(r)
	a.recordActive(&ActiveRun{Task: "j.0.0.0", Run: 1})
	a.setResources(&session.Start{Task: "j.0.0.0", Run: 1, Lifetime: 7, BestEffort: true})
	qt.Check(t, a.runList(false)[0].PacePercent, qt.Equals, 0)
	a.applyPaces(context.Background())
	a.applyPaces(context.Background())
	qt.Check(t, r.paces, qt.DeepEquals, []int{100})
	qt.Check(t, a.runList(false)[0].PacePercent, qt.Equals, 100)
}
