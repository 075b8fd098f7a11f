package hostagent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a hung run that each new owner observes anew, and against a run that counts as hung because its agent was paused.
func TestFirstListTellsForHowLongARunHasMadeNoProgress(t *testing.T) {
	a := newTestAgent(nil)
	stalledMs := func(isFirst bool) int64 { return a.runList(isFirst)[0].StalledMs }
	list := func(at time.Duration, percent int) {
		a.reconcileRuns(&HoldResponse{Lifetime: 7, Active: []ActiveRun{{Task: "j.0.0.0", Run: 1, ProgressPercent: percent}}}, at)
	}
	list(10*time.Second, 0)
	qt.Check(t, stalledMs(true), qt.Equals, int64(0), qt.Commentf("an agent that was paused since then has observed nothing"))
	list(12*time.Second, 0)
	qt.Check(t, stalledMs(true), qt.Equals, int64(2000))
	qt.Check(t, stalledMs(false), qt.Equals, int64(0), qt.Commentf("the owner observes the run itself"))
	list(13*time.Second, 1)
	qt.Check(t, stalledMs(true), qt.Equals, int64(0))
	list(14*time.Second, 1)
	qt.Check(t, stalledMs(true), qt.Equals, int64(1000))
}
