package hostagent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/session"
)

// Guards against a quarantine that ends, or begins anew, with the owner: the agent keeps it for the next one.
func TestFirstReportHasTheSuspicionOfThePreviousOwner(t *testing.T) {
	a := newTestAgent(nil)
	a.keepSuspicion(&session.Suspicion{FailedJobs: 2, LastFailedJob: "j", QuarantineMs: 2000, NoStartForMs: 2000})
	a.suspicionAt -= 500 * time.Millisecond
	conn, owner := newConnPair(t)
	for range 2 {
		a.mu.Lock()
		a.sendReport(conn, true)
		a.mu.Unlock()
	}
	first, err := owner.Receive()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, first.Suspicion, qt.IsNotNil)
	qt.Check(t, first.Suspicion.NoStartForMs <= 1500 && first.Suspicion.NoStartForMs > 1000, qt.IsTrue)
	first.Suspicion.NoStartForMs = 0
	qt.Check(t, *first.Suspicion, qt.Equals, session.Suspicion{FailedJobs: 2, LastFailedJob: "j", QuarantineMs: 2000})
	second, err := owner.Receive()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, second.Suspicion, qt.IsNil)

	a.keepSuspicion(&session.Suspicion{})
	qt.Check(t, a.suspicionForOwner(), qt.IsNil)
}
