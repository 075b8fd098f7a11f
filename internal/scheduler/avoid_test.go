package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a pending task that avoids a worker for too long. The fault occurs if the task's unit keeps the AvoidUntil set
// with which the unit was queued.
func TestQueuedUnitGetsCurrentAvoidUntil(t *testing.T) {
	panicOnViolation(t)
	scheduler, clock := newTestScheduler(nil)
	scheduler.Update(fleetOf(1, resourcesOf(8)))
	avoidingTask := newTask("a", 4, 50)
	avoidingTask.AvoidUntil = map[string]time.Time{"w00000": clock.now.Add(time.Hour)}
	for range 3 {
		decisions := syncAndCycle(t, scheduler, unitOf(avoidingTask))
		for _, decision := range decisions {
			qt.Assert(t, decision.Placed, qt.IsFalse)
		}
		clock.now = clock.now.Add(time.Second)
	}
	isPlaced := false
	for i := 0; i < 12 && !isPlaced; i++ {
		for _, decision := range syncAndCycle(t, scheduler, unitOf(newTask("a", 4, 50))) {
			isPlaced = isPlaced || decision.Placed
		}
		clock.now = clock.now.Add(time.Second)
	}
	qt.Assert(t, isPlaced, qt.IsTrue)
}
