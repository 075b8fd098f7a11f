package hostagent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against best-effort runs that interfere with a serving task for too long. Best-effort runs must be paused before the
// task has missed its target for 4 s, and must recover when the task meets its target.
func TestPaceLimitFallsAndRecovers(t *testing.T) {
	limit := 100
	for over := time.Duration(0); over < 3*time.Second; over += paceInterval {
		limit = nextPaceLimit(limit, max(over, 1))
		if over <= slowDelay {
			qt.Check(t, limit, qt.Equals, 100)
		}
	}
	qt.Check(t, limit, qt.Equals, 0)
	steps := 0
	for ; limit < 100; steps++ {
		limit = nextPaceLimit(limit, 0)
	}
	qt.Check(t, steps <= 5, qt.IsTrue, qt.Commentf("%d steps", steps))
}
