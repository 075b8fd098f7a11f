package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/jobs"
	"bamboofork/internal/placement"
)

// Guards against the end of the owner's process when a serving step with advice and a best-effort step are planned in one pass: the
// best-effort step looked the serving image up in another table of pairs than the one that had numbered it.
func TestBestEffortStepAfterAdvisedServingStep(t *testing.T) {
	serving := jobs.Step{Count: 1, CPU: 1000, Perpetual: true, Image: "serving", TargetMs: 50, Advised: true}
	for _, bestEffort := range []jobs.Step{
		{Count: 3, CPU: 1000, BestEffort: true, Image: "heavy", EstimateMs: 1000},
		{Count: 3, CPU: 1000, BestEffort: true, Image: "heavy", EstimateMs: 1000, Advised: true},
	} {
		s := &placement.Snapshot{Interference: trainedInterference(), Workers: []*placement.Worker{newWorker("w", 64_000)},
			Jobs: []*jobs.Job{newJob("serving", jobs.Queue{}, 0, serving), newJob("best-effort", jobs.Queue{}, 0, bestEffort)}}
		adviseAll(s)
		qt.Check(t, placement.Plan(s), qt.HasLen, 4)
	}
}

// Guards against advice that changes more than the workers of its step. Advice that names all workers must not change a plan, whatever
// else is planned in the pass: the interference of a pair of images was read from the row of another pair.
func TestAdviceThatNamesAllWorkersChangesNothing(t *testing.T) {
	for seed := range uint64(500) {
		plans := [2][]string{}
		for i, isAdvised := range []bool{false, true} {
			s := drawnSnapshot(rand.New(rand.NewPCG(seed, 1)), isAdvised)
			adviseAll(s)
			plans[i] = planOf(s)
		}
		qt.Assert(t, plans[1], qt.DeepEquals, plans[0], qt.Commentf("seed %d", seed))
	}
}

// planOf returns the assignments of a pass as text, or the panic that ended the pass.
func planOf(s *placement.Snapshot) (plan []string) {
	defer func() {
		if r := recover(); r != nil {
			plan = append(plan, fmt.Sprint("panic: ", r))
		}
	}()
	for _, a := range placement.Plan(s) {
		plan = append(plan, fmt.Sprintf("%s %d/%d on %s at %.3f", a.Job.ID, a.Place.Step, a.Place.Index, a.Place.Worker, a.Pace))
	}
	return plan
}

// adviseAll adds advice that names all workers for each step that needs advice.
func adviseAll(s *placement.Snapshot) {
	s.AdvisedWorkers = map[placement.StepID]map[string]bool{}
	for _, j := range s.Jobs {
		for i := range j.Spec.Steps {
			names := map[string]bool{}
			for _, w := range s.Workers {
				names[w.Name] = true
			}
			s.AdvisedWorkers[placement.StepID{Job: j.ID, Step: i}] = names
		}
	}
}

// drawnSnapshot returns a snapshot of serving, best-effort and other jobs. With isAdvised, half of the steps need advice.
func drawnSnapshot(r *rand.Rand, isAdvised bool) *placement.Snapshot {
	s := &placement.Snapshot{Interference: trainedInterference(), BootTimeMs: 60_000, WallMs: 60_000}
	for i := range 2 + r.IntN(4) {
		s.Workers = append(s.Workers, newWorker(fmt.Sprint("w", i), 40_000))
	}
	for i := range 2 + r.IntN(8) {
		step := jobs.Step{Count: 1 + r.IntN(6), CPU: 1000 + r.IntN(9000), MemMB: 1000, EstimateMs: int64(200 + r.IntN(3000)),
			MaxPerWorker: r.IntN(3), Gang: r.IntN(8) == 0, SameRack: r.IntN(8) == 0}
		switch r.IntN(3) {
		case 0:
			step.Perpetual, step.TargetMs, step.Image = true, 50, []string{"serving", "other", "third"}[r.IntN(3)]
		case 1:
			step.BestEffort, step.Image = true, []string{"heavy", "light", "unknown"}[r.IntN(3)]
		}
		step.Advised = r.IntN(2) == 0 && isAdvised
		j := newJob(fmt.Sprint("j", i), jobs.Queue{Stretch: 2, TargetMs: 1000, Priority: r.IntN(2)}, int64(40_000+r.IntN(20_000)), step)
		if r.IntN(3) == 0 {
			j.IdleSinceMs = 50_000
			for k := range j.Occurrences[0].Steps[0].Tasks {
				j.Occurrences[0].Steps[0].Tasks[k].WaitingSinceMs = 50_000
			}
		}
		s.Jobs = append(s.Jobs, j)
	}
	return s
}
