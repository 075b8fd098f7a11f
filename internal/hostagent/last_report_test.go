package hostagent

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/session"
)

// Guards against an agent that stops although nobody else knows that its worker is gone, and against one that delays its stop for nothing.
func TestLastReportIsOwedUntilAnOwnerKnowsThatTheWorkerIsGone(t *testing.T) {
	a := newTestAgent(nil)
	qt.Check(t, a.owesLastReport(), qt.IsFalse, qt.Commentf("the worker runs on"))
	a.handleHoldError(ErrConnRefused)
	qt.Check(t, a.owesLastReport(), qt.IsTrue, qt.Commentf("the worker may be gone"))
	a.unackedEnds = []session.RunEnd{{Lifetime: 7, Seq: 1, Task: "j.0.0.0", Run: 1, Outcome: "done"}}
	a.Unregister("i-1")
	a.lastReportSeq = 4
	conn, _ := newConnPair(t)
	a.OwnerConnected(conn)
	a.applyReportAck(4)   // of a report from before the departure
	a.applyReportAck(500) // of an earlier process of the agent
	qt.Check(t, a.owesLastReport(), qt.IsTrue)
	a.applyReportAck(5)
	qt.Check(t, a.owesLastReport(), qt.IsTrue, qt.Commentf("an end is not durable yet"))
	a.applyAck(&session.ToMember{AckLifetime: 7, AckEndSeq: 1})
	qt.Check(t, a.owesLastReport(), qt.IsFalse)
	a.AwaitLastReport(t.Context())
}
