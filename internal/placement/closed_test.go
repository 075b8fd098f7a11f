package placement_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/delaycost"
	"bamboofork/internal/jobs"
	"bamboofork/internal/placement"
)

// closedFleet returns four workers of 16 cores, of which the first ones are closed.
func closedFleet(closed int) *placement.Snapshot {
	s := &placement.Snapshot{BootTimeMs: 100_000, WallMs: 100_000}
	for i := range 4 {
		worker := newWorker(fmt.Sprint("w", i), 16_000)
		worker.Closed = i < closed
		s.Workers = append(s.Workers, worker)
	}
	return s
}

// Load: a failure domain with a quarter of the fleet is emptied while all kinds of tasks wait: short ones, a gang, tasks that last and are
// overdue, best-effort tasks, and jobs that have waited so long that they are let on to any worker. Nothing may start there.
func TestNothingIsPlacedOnClosedWorkers(t *testing.T) {
	steps := map[string]jobs.Step{
		"short":       {Count: 40, CPU: 2000, EstimateMs: 1000},
		"gang":        {Count: 6, CPU: 8000, EstimateMs: 1000, Gang: true},
		"perpetual":   {Count: 14, CPU: 4000, Perpetual: true},
		"best effort": {Count: 20, CPU: 4000, EstimateMs: 1000, BestEffort: true, Image: "batch"},
	}
	for name, step := range steps {
		for closed := range 5 {
			s := closedFleet(closed)
			j := newJob("j", jobs.Queue{Stretch: 1, TargetMs: 300}, 90_000, step)
			j.IdleSinceMs = 1
			for i := range j.Occurrences[0].Steps[0].Tasks {
				j.Occurrences[0].Steps[0].Tasks[i].WaitingSinceMs = 1
			}
			s.Jobs = []*jobs.Job{j}
			count := taskCountByWorker(placement.Plan(s))
			for i := range closed {
				qt.Check(t, count[fmt.Sprint("w", i)], qt.Equals, 0, qt.Commentf("%s, %d closed", name, closed))
			}
			if step.Gang && closed > 1 {
				qt.Check(t, count, qt.HasLen, 0, qt.Commentf("a gang of 48 cores in %d", 16*(4-closed)))
			} else if closed < 4 {
				qt.Check(t, len(count) > 0, qt.IsTrue, qt.Commentf("%s, %d closed", name, closed))
			}
		}
	}
}

// Load: a burst while a quarter of the fleet is closed. What the queue can get is the room of the open workers: the backlog counts against
// that room, the report of a shortage names the closed workers apart, and a worker is held for an overdue task among the open ones only.
func TestClosedWorkersAreNoRoom(t *testing.T) {
	for _, closed := range []int{0, 2, 3} {
		s := closedFleet(closed)
		step := jobs.Step{Count: 4, CPU: 4000, EstimateMs: 1000, BestEffort: true, Image: "batch"}
		s.Jobs = []*jobs.Job{newJob("j", jobs.Queue{Stretch: 1}, 99_000, step)}
		open := closedFleet(0)
		open.Workers, open.Jobs = open.Workers[closed:], s.Jobs
		qt.Check(t, s.Backlog(), qt.Equals, open.Backlog(), qt.Commentf("%d closed", closed))
	}
	s := closedFleet(3)
	j := newJob("j", jobs.Queue{}, 99_000, jobs.Step{Count: 1, CPU: 4000, EstimateMs: 1000})
	s.Jobs = []*jobs.Job{j}
	shortage := s.ShortageOf(j, 0, 0)
	qt.Check(t, shortage.Closed, qt.Equals, 3)
	qt.Check(t, shortage.Workers, qt.Equals, 1)
	qt.Check(t, shortage.Fits, qt.Equals, 4)
	qt.Check(t, shortage.FreeCPU, qt.Equals, 16_000)
}

// Load: a shortage of room for best-effort tasks while half of the fleet is closed and still has best-effort runs. The time that a new job
// would wait comes from what the open workers serve.
func TestRunsOnClosedWorkersAreNotServedCapacity(t *testing.T) {
	step := jobs.Step{Count: 40, CPU: 4000, EstimateMs: 1000, BestEffort: true, Image: "batch"}
	longestMs := func(closed int, withClosed bool) float64 {
		s := closedFleet(closed)
		for i, worker := range s.Workers {
			runs := 1
			if i < closed {
				runs = 3
			}
			for range runs {
				s.Allocate(worker, &step, "running", 1)
			}
		}
		if !withClosed {
			s.Workers = s.Workers[closed:]
		}
		s.DelayCost = delaycost.NewModel()
		s.DelayCost.UnplacedBestEffortCPU = 100_000
		for i := range 10 {
			s.Jobs = append(s.Jobs, newJob(fmt.Sprint("j", i), jobs.Queue{Stretch: 1, TargetMs: 300}, 99_990, step))
		}
		placement.Plan(s)
		return s.Shortage.LongestMs()
	}
	want := longestMs(2, false)
	qt.Assert(t, want > 0, qt.IsTrue)
	qt.Check(t, longestMs(2, true), qt.Equals, want)
}

// Load: a failure domain comes back into service while a queue waits that would fill it. Its workers take a part of it at first and all
// of it after two seconds, while the other workers take what they can at once.
func TestReturningWorkersTakeTheQueueStepByStep(t *testing.T) {
	started := map[int64]int{}
	for _, sinceMs := range []int64{0, 500, 1000, 1500, 2000, 60_000} {
		s := closedFleet(0)
		for _, worker := range s.Workers[:2] {
			worker.LimitReturning(sinceMs)
		}
		s.Jobs = []*jobs.Job{newJob("j", jobs.Queue{Stretch: 1, TargetMs: 5000}, 99_900, jobs.Step{Count: 200, CPU: 1000, EstimateMs: 1000})}
		count := taskCountByWorker(placement.Plan(s))
		qt.Check(t, count["w2"]+count["w3"], qt.Equals, 32)
		started[sinceMs] = count["w0"]
		qt.Check(t, count["w1"], qt.Equals, count["w0"])
	}
	qt.Check(t, started, qt.DeepEquals, map[int64]int{0: 4, 500: 7, 1000: 10, 1500: 13, 2000: 16, 60_000: 16})
}
