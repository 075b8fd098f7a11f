package placement_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/jobs"
	"bamboofork/internal/placement"
)

// Guards against a perpetual task that is started again and again without a delay, and against one that stays away for longer than the
// operators allow, because its delay grows without a bound or is kept after a sound run.
func TestRestartsOfAFailingTaskAreDelayed(t *testing.T) {
	task := &jobs.Task{PlacedMs: 1000}
	var delays []int64
	for range 30 {
		placement.DelayRestart(task, task.PlacedMs+300)
		delays = append(delays, task.NoStartUntilMs-task.PlacedMs-300)
	}
	qt.Check(t, delays[:8], qt.DeepEquals, []int64{0, 100, 200, 400, 800, 1600, 2000, 2000})
	qt.Check(t, delays[29], qt.Equals, int64(2000))
	placement.DelayRestart(task, task.PlacedMs+6000)
	qt.Check(t, task.NoStartUntilMs, qt.Equals, task.PlacedMs+6000, qt.Commentf("the run before was sound"))
}

// Guards against starting the other tasks of a gang while the restart of one of them is delayed.
func TestDelayedRestartHoldsTheWholeGang(t *testing.T) {
	for _, isGang := range []bool{false, true} {
		j := newJob("j", jobs.Queue{}, 0, jobs.Step{Count: 3, CPU: 1000, Perpetual: true, TargetMs: 50, Image: "i", Gang: isGang})
		s := &placement.Snapshot{BootTimeMs: 10_000, Workers: []*placement.Worker{newWorker("w", 64_000)}, Jobs: []*jobs.Job{j}}
		j.Occurrences[0].Steps[0].Tasks[1].NoStartUntilMs = 10_001
		qt.Check(t, len(placement.Plan(s)), qt.Equals, map[bool]int{false: 2, true: 0}[isGang])
		s.BootTimeMs++
		qt.Check(t, len(placement.Plan(s)), qt.Equals, map[bool]int{false: 3, true: 3}[isGang])
	}
}
