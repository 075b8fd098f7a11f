package jobowner

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/jobs"
	"bamboofork/internal/placement"
)

// Guards against a gang whose runs all end again and again because one of its members is slowed for serving runs and moved.
func TestSlowedMemberOfAGangIsNotMoved(t *testing.T) {
	for _, isGang := range []bool{false, true} {
		o := newDomainsOwner(t)
		o.domains.hasRead = true
		member, _ := addAgentIn(t, o, "host-1", "z0")
		submitSteps(o, "aaaaaaaaaaaaaaaa", jobs.Step{Count: 2, CPU: 1000, EstimateMs: 1000, BestEffort: true, Image: "i", Gang: isGang})
		o.plan()
		tasks := o.placedByAgent["host-1"]
		qt.Assert(t, tasks, qt.HasLen, 2)
		var runs []placement.BestEffortRun
		for id, placed := range tasks {
			placed.task.SlowSinceMs = bootTimeMs() - 2*minSlowedDurationMs
			runs = append(runs, placement.BestEffortRun{Task: id})
		}
		member.lastMoveAtMs = bootTimeMs() - 2*minMoveIntervalMs
		o.moveSlowedRun(member, tasks, runs)
		stopping := 0
		for _, placed := range tasks {
			if placed.task.Stopping {
				stopping++
			}
		}
		qt.Check(t, stopping, qt.Equals, map[bool]int{false: 1, true: 0}[isGang], qt.Commentf("gang %t", isGang))
	}
}
