package placement_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/jobs"
	"bamboofork/internal/placement"
)

// Guards against an overdue task that is passed over because an earlier task of its step has only begun to wait.
func TestOverdueTaskDoesNotWaitForAnEarlierOne(t *testing.T) {
	s := &placement.Snapshot{BootTimeMs: 10_000, Workers: []*placement.Worker{newWorker("a", 64_000), newWorker("b", 64_000)}}
	for _, w := range s.Workers {
		s.Allocate(w, &jobs.Step{CPU: 57_000, Perpetual: true}, "", 1)
	}
	j := newJob("perpetual", jobs.Queue{}, 0, jobs.Step{Count: 2, CPU: 6_000, Perpetual: true, TargetMs: 50, Image: "i"})
	j.Occurrences[0].Steps[0].Tasks[0].WaitingSinceMs = 9_900
	j.Occurrences[0].Steps[0].Tasks[1].WaitingSinceMs = 8_000
	s.Jobs = []*jobs.Job{j}
	plan := placement.Plan(s)
	qt.Assert(t, plan, qt.HasLen, 1)
	qt.Check(t, plan[0].Place.Index, qt.Equals, 1)
}
