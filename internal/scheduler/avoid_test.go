package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a pending task that avoids a worker beyond the end of the avoidance, because its unit keeps the AvoidUntil set
// with which it was queued.
func TestAvoidanceEndsWhileWaiting(t *testing.T) {
	panicOnViolation(t)
	s, c := newTest(nil)
	s.Update(fleetOf(1, size(8)))
	first := task("a", 4, 50)
	first.AvoidUntil = map[string]time.Time{"w00000": c.now.Add(time.Hour)}
	for range 3 {
		out := syncAndCycle(t, s, unit(first))
		for _, o := range out {
			qt.Assert(t, o.Placed, qt.IsFalse)
		}
		c.now = c.now.Add(time.Second)
	}
	placed := false
	for i := 0; i < 12 && !placed; i++ {
		for _, o := range syncAndCycle(t, s, unit(task("a", 4, 50))) {
			placed = placed || o.Placed
		}
		c.now = c.now.Add(time.Second)
	}
	qt.Assert(t, placed, qt.IsTrue)
}
