package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/jobs"
	"bamboofork/internal/placement"
)

// Guards against a gang of best-effort tasks that never starts beside serving tasks: the way out for a job that starves placed the first of
// its tasks only, and the gang was given up. A gang for which there is room starts once it has waited for starvationMs; before, it does
// not disturb serving tasks that it is not known to spare.
func TestStarvedGangStartsWhole(t *testing.T) {
	for seed := range uint64(1000) {
		r := rand.New(rand.NewPCG(seed, 10))
		s := &placement.Snapshot{Interference: trainedInterference(), BootTimeMs: 60_000, WallMs: 60_000}
		serving := []string{"serving", "other", "third"}
		for i := range 3 + r.IntN(6) {
			w := newWorker(fmt.Sprint("w", i), 40_000)
			for range 1 + r.IntN(2) {
				s.Allocate(w, &jobs.Step{CPU: 4000 + r.IntN(6000), MemMB: 1000, TargetMs: 20, Image: serving[r.IntN(3)], Perpetual: true}, "a", 1)
			}
			s.Workers = append(s.Workers, w)
		}
		gang := jobs.Step{Count: 2 + r.IntN(len(s.Workers)-1), CPU: 8000 + r.IntN(12_000), MemMB: 1000, EstimateMs: 2000, BestEffort: true,
			Gang: true, Image: "heavy", MaxPerWorker: r.IntN(2), SameRack: r.IntN(4) == 0}
		j := newJob("gang", jobs.Queue{Stretch: 2, TargetMs: 1000}, 59_000, gang)
		s.Jobs = []*jobs.Job{j}
		j.IdleSinceMs = s.BootTimeMs - 1900
		qt.Check(t, placement.Plan(s), qt.HasLen, gang.Count, qt.Commentf("seed %d: %d workers, %+v", seed, len(s.Workers), gang))
	}
}

// Guards against a gang that is given up and leaves a trace: resources, starts or planned interference that the rest of the pass cannot use.
// The plan for all other jobs must be the one without the gang. The gang declares no run time, so its work does not change their order.
func TestGangThatDoesNotFitChangesNothing(t *testing.T) {
	tried := 0
	for seed := range uint64(500) {
		var plans [2][]string
		for i, hasGang := range []bool{false, true} {
			r := rand.New(rand.NewPCG(seed, 11))
			s := drawnSnapshot(r, false)
			for _, w := range s.Workers {
				if r.IntN(4) == 0 {
					w.MaxStarts = 1
				}
			}
			step := jobs.Step{Count: 20 * len(s.Workers), CPU: 3000, MemMB: 20_000, Gang: true, BestEffort: r.IntN(2) == 0, Image: "heavy"}
			step.Perpetual = !step.BestEffort
			if step.Perpetual {
				step.TargetMs, step.Image = 50, "a-first"
			}
			if hasGang {
				s.Jobs = append(s.Jobs, newJob("gang", jobs.Queue{Priority: 0, Stretch: 2, TargetMs: 1000}, 1000, step))
			}
			plans[i] = planOf(s)
			if hasGang && !slices.ContainsFunc(plans[i], func(line string) bool { return strings.HasPrefix(line, "gang ") }) {
				tried++
			}
		}
		qt.Assert(t, plans[1], qt.DeepEquals, plans[0], qt.Commentf("seed %d", seed))
	}
	qt.Check(t, tried, qt.Equals, 500)
}
