package hostagent

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/boottime"
	"bamboofork/internal/session"
)

// Guards against runs that are taken for lost, or starts that are taken for refused, because their ends are not among those that the worker
// lists first, or cannot be decoded.
func TestIncompleteListsProveNothing(t *testing.T) {
	a := newTestAgent(nil)
	a.runsListed = false
	conn, owner := newConnPair(t)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runByTask["j.0.0.1"] = &run{start: session.Start{Task: "j.0.0.1", Run: 1}, refuseReason: "old run number", recheckAfter: 1}
	reports := func(response *HoldResponse) session.FromMember {
		a.reconcileRuns(response, boottime.Now())
		a.sendReport(conn, true)
		report, err := owner.Receive()
		qt.Assert(t, err, qt.IsNil)
		return report
	}
	first := reports(&HoldResponse{Incomplete: true, Ended: []EndedRun{{Seq: 1, Task: "j.0.0.0", Run: 1, Outcome: "done"}}})
	qt.Check(t, first.RunsComplete, qt.IsFalse)
	qt.Check(t, first.Ends, qt.HasLen, 1)
	qt.Check(t, first.ReportSeq > 0, qt.IsTrue, qt.Commentf("the hold is extended meanwhile"))
	qt.Check(t, a.unreportedRefusals, qt.HasLen, 0)
	qt.Check(t, a.refusalReason(&session.Start{Task: "j.0.0.2", Lifetime: 7}), qt.Equals, "the worker's runs are not known yet")
	unreadable := reports(&HoldResponse{Incomplete: true, UnreadableRows: 1, UnreadableCause: errors.New("row")})
	qt.Check(t, unreadable.RunsComplete, qt.IsFalse)
	last := reports(&HoldResponse{Ended: []EndedRun{{Seq: 2, Task: "j.0.0.1", Run: 1, Outcome: "done"}}})
	qt.Check(t, last.RunsComplete, qt.IsTrue)
	qt.Check(t, last.Ends, qt.HasLen, 1)
	qt.Check(t, last.Refused, qt.HasLen, 0)
	qt.Check(t, a.cfg.Metrics.Counter("agent_rows_unreadable").Count(), qt.Equals, int64(1))
}
