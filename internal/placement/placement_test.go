package placement_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/jobs"
	"bamboofork/internal/placement"
)

func newJob(id string, q jobs.Queue, acceptedMs int64, steps ...jobs.Step) *jobs.Job {
	s := jobs.NewState()
	q.Service = "pool"
	s.Apply(jobs.Change{Submit: &jobs.Job{ID: id, Queue: q, AcceptedMs: acceptedMs, Spec: jobs.Spec{Steps: steps}}})
	return s.Jobs[id]
}

func newWorker(name string, cpu int) *placement.Worker {
	capacity := placement.Resources{CPU: cpu, MemMB: 250_000}
	return &placement.Worker{Name: name, Service: "pool", Capacity: capacity, Free: capacity, IdleCPU: cpu, MaxStarts: -1}
}

// taskCountByWorker returns the number of assigned tasks by worker.
func taskCountByWorker(plan []placement.Assignment) map[string]int {
	count := map[string]int{}
	for _, a := range plan {
		count[a.Place.Worker]++
	}
	return count
}

// trainedInterference returns an Interference in which the image "heavy" slows the image "serving" and the image "light" does not.
func trainedInterference() *placement.Interference {
	f := placement.NewInterference()
	observe := func(nowMs int64, latencyMs float64, bestEffort ...placement.BestEffortSample) {
		f.Observe(nowMs, []placement.ServingSample{{Task: "a.0.0.0", Group: "a", Image: "serving", LatencyMs: latencyMs, TargetMs: 50}},
			bestEffort)
	}
	for i := range int64(40) {
		observe(900*i, 18)
		observe(900*i+300, 45, placement.BestEffortSample{Task: "h", Image: "heavy", CPUFraction: 0.08})
		observe(900*i+600, 19, placement.BestEffortSample{Task: "l", Image: "light", CPUFraction: 0.08})
	}
	return f
}

// Guards against placing best-effort tasks beside serving tasks that they slow. Also guards against keeping best-effort tasks away
// from serving tasks that they do not slow.
func TestInterferingPairsAreSeparated(t *testing.T) {
	f := trainedInterference()
	qt.Assert(t, f.Pressure("serving", "heavy") > 3*f.Pressure("serving", "light"), qt.IsTrue,
		qt.Commentf("heavy %.2f, light %.2f", f.Pressure("serving", "heavy"), f.Pressure("serving", "light")))
	for image, want := range map[string]int{"heavy": 0, "light": 4} {
		busy, empty := newWorker("busy", 64_000), newWorker("empty", 64_000)
		s := &placement.Snapshot{Interference: f, Workers: []*placement.Worker{busy, empty}}
		s.Allocate(busy, &jobs.Step{CPU: 10_000, TargetMs: 50, Image: "serving", Perpetual: true}, "a", 1)
		empty.IdleCPU = 0
		empty.BestEffortTasks = 1
		s.Jobs = []*jobs.Job{newJob("j", jobs.Queue{}, 0, jobs.Step{Count: 4, CPU: 14_000, BestEffort: true, Image: image, EstimateMs: 2000})}
		tasksOnBusy := taskCountByWorker(placement.Plan(s))["busy"]
		if image == "heavy" {
			qt.Check(t, tasksOnBusy <= want, qt.IsTrue, qt.Commentf("%s: %d tasks beside the serving one", image, tasksOnBusy))
		} else {
			qt.Check(t, tasksOnBusy > want-2, qt.IsTrue, qt.Commentf("%s: %d tasks beside the serving one", image, tasksOnBusy))
		}
	}
}

// Guards against a job that never starts because it would slow a serving task on every worker.
func TestStarvedJobStartsOneTask(t *testing.T) {
	s := &placement.Snapshot{Interference: trainedInterference(), BootTimeMs: 10_000}
	for i := range 3 {
		w := newWorker(fmt.Sprint("w", i), 64_000)
		s.Allocate(w, &jobs.Step{CPU: 10_000, TargetMs: 50, Image: "serving", Perpetual: true}, "a", 1)
		s.Workers = append(s.Workers, w)
	}
	j := newJob("j", jobs.Queue{}, 0, jobs.Step{Count: 4, CPU: 14_000, BestEffort: true, Image: "heavy", EstimateMs: 2000})
	s.Jobs = []*jobs.Job{j}
	qt.Assert(t, placement.Plan(s), qt.HasLen, 0)
	j.IdleSinceMs = s.BootTimeMs - 2000
	qt.Check(t, placement.Plan(s), qt.HasLen, 1)
}

// Guards against large jobs that all make a little progress and all end late. With resources for one job, the job with the least
// slack that can still meet its objective must start first. A job that can no longer meet its objective must start last.
func TestJobsThatCanStillEndInTimeGoFirst(t *testing.T) {
	q := jobs.Queue{Stretch: 2, TargetMs: 1000, Priority: 2}
	step := jobs.Step{Count: 1, CPU: 60_000, EstimateMs: 3000}
	s := &placement.Snapshot{WallMs: 20_000, Workers: []*placement.Worker{newWorker("w", 64_000)}, Jobs: []*jobs.Job{
		newJob("too-late", q, 1000, step), newJob("fresh", q, 19_000, step), newJob("tight", q, 16_500, step),
	}}
	plan := placement.Plan(s)
	qt.Assert(t, plan, qt.HasLen, 1)
	qt.Check(t, plan[0].Job.ID, qt.Equals, "tight")
}

// Guards against short tasks that wait behind perpetual tasks. Perpetual tasks must leave a part of each worker's CPU free.
func TestPerpetualTasksLeaveReserveForShortOnes(t *testing.T) {
	s := &placement.Snapshot{Workers: []*placement.Worker{newWorker("w", 64_000)}, Jobs: []*jobs.Job{
		newJob("perpetual", jobs.Queue{}, 0, jobs.Step{Count: 8, CPU: 16_000, Perpetual: true, TargetMs: 50, Image: "i"}),
		newJob("short", jobs.Queue{}, 0, jobs.Step{Count: 2, CPU: 2_000, EstimateMs: 500}),
	}}
	count := map[string]int{}
	for _, a := range placement.Plan(s) {
		count[a.Job.ID]++
	}
	qt.Check(t, count, qt.DeepEquals, map[string]int{"perpetual": 3, "short": 2})
}

// Guards against a worker that fails every task. Its resources become free sooner than those of healthy workers, so it would attract
// the work of the fleet.
func TestWorkerThatFailsDifferentJobsIsQuarantined(t *testing.T) {
	h := placement.NewHealthTracker()
	h.Record("w", "j1", jobs.EndFailed, 1000)
	h.Record("w", "j1", jobs.EndFailed, 1010)
	qt.Check(t, h.MaxStarts("w", 1020), qt.Equals, -1, qt.Commentf("one failing job does not make a worker suspect"))
	h.Record("w", "j2", jobs.EndFailed, 1030)
	qt.Check(t, h.MaxStarts("w", 1040), qt.Equals, 0)
	qt.Check(t, h.MaxStarts("w", 2100), qt.Equals, 1, qt.Commentf("one task at a time on probation"))
	h.RecordStart("w", 2100)
	qt.Check(t, h.MaxStarts("w", 2110), qt.Equals, 0)
	h.Record("w", "j3", jobs.EndDone, 2200)
	qt.Check(t, h.MaxStarts("w", 2210), qt.Equals, -1)
}

// Guards against a worker that stays suspect forever. Perpetual tasks never end with success, so a worker that ran only perpetual
// tasks stayed suspect. A perpetual task that fitted only on such a worker was never started.
func TestSuspicionEndsWithoutASuccess(t *testing.T) {
	h := placement.NewHealthTracker()
	h.Record("w", "j1", jobs.EndFailed, 1000)
	h.Record("w", "j2", jobs.EndFailed, 1010)
	for now := int64(1020); now < 12_000; now += 100 {
		if h.MaxStarts("w", now) > 0 {
			h.RecordStart("w", now)
			qt.Check(t, now < 2200, qt.IsTrue, qt.Commentf("first probe at %d ms", now))
			break
		}
	}
	qt.Check(t, h.MaxStarts("w", 9_000), qt.Equals, -1)
}

// Guards against starting only some of the tasks of a gang.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	gang := jobs.Step{Count: 3, CPU: 30_000, Gang: true, EstimateMs: 100}
	for workers, want := range map[int]int{1: 0, 2: 3} {
		s := &placement.Snapshot{Jobs: []*jobs.Job{newJob("g", jobs.Queue{}, 0, gang)}}
		for i := range workers {
			s.Workers = append(s.Workers, newWorker(fmt.Sprint("w", i), 64_000))
		}
		qt.Check(t, placement.Plan(s), qt.HasLen, want)
		free := 0
		for _, w := range s.Workers {
			free += w.Free.CPU
		}
		qt.Check(t, free, qt.Equals, workers*64_000-want*30_000)
	}
}

// Guards against perpetual tasks that never start after a loss of workers. A perpetual task that has waited too long may use the
// reserve for short tasks, while there are free resources for two tasks of its size.
func TestOverduePerpetualTaskUsesTheReserve(t *testing.T) {
	s := &placement.Snapshot{BootTimeMs: 10_000, Workers: []*placement.Worker{newWorker("a", 64_000), newWorker("b", 64_000)}}
	for _, w := range s.Workers {
		w.Free.CPU = 7_000
	}
	j := newJob("perpetual", jobs.Queue{}, 0, jobs.Step{Count: 1, CPU: 6_000, Perpetual: true, TargetMs: 50, Image: "i"})
	s.Jobs = []*jobs.Job{j}
	qt.Assert(t, placement.Plan(s), qt.HasLen, 0)
	j.Occurrences[0].Steps[0].Tasks[0].WaitingSinceMs = 8_000
	qt.Check(t, placement.Plan(s), qt.HasLen, 1)
}

// Guards against starting best-effort tasks on a worker that already slows its best-effort tasks. Each new run would interfere at
// full speed until the run is slowed too, and the serving task would stay over its target.
func TestSlowedWorkerTakesNoBestEffortTasks(t *testing.T) {
	w := newWorker("w", 64_000)
	w.BestEffortPaused = true
	j := newJob("j", jobs.Queue{}, 0, jobs.Step{Count: 2, CPU: 4_000, BestEffort: true, Image: "i", EstimateMs: 1000})
	j.IdleSinceMs = 1
	s := &placement.Snapshot{BootTimeMs: 10_000, Workers: []*placement.Worker{w}, Jobs: []*jobs.Job{j}}
	qt.Check(t, placement.Plan(s), qt.HasLen, 0)
	w.BestEffortPaused = false
	qt.Check(t, placement.Plan(s), qt.HasLen, 2)
}

// Guards against tasks that wait on a stalled worker. Also guards against judging a healthy worker as stalled: the progress of long
// runs changes rarely, and a single run may itself be faulty.
func TestOnlyWorkerWithoutAnyProgressIsStalled(t *testing.T) {
	stalled := placement.Progress{EstimateMs: 600, StalledMs: 1500}
	for _, c := range []struct {
		name string
		runs []placement.Progress
		want bool
	}{
		{"all stalled", []placement.Progress{stalled, stalled, {EstimateMs: 2700, StalledMs: 1300}}, true},
		{"one progresses", []placement.Progress{stalled, stalled, {EstimateMs: 600, StalledMs: 200}}, false},
		{"a single run", []placement.Progress{stalled}, false},
		{"a long run is between two percent", []placement.Progress{stalled, {EstimateMs: 60_000, StalledMs: 1500}}, false},
		{"nothing runs", nil, false},
	} {
		qt.Check(t, placement.WorkerStalled(c.runs), qt.Equals, c.want, qt.Commentf("%s", c.name))
	}
	h := placement.NewHealthTracker()
	h.Quarantine("w", 1000)
	qt.Check(t, h.MaxStarts("w", 1500), qt.Equals, 0)
	qt.Check(t, h.MaxStarts("w", 2100), qt.Equals, 1)
}

// Guards against a new owner that has to learn the interference of all pairs of images again. Serving tasks would be slowed in the
// meantime.
func TestLearnedStateSurvivesATakeover(t *testing.T) {
	f := trainedInterference()
	data, err := f.Encode()
	qt.Assert(t, err, qt.IsNil)
	const lastSampleMs = 35_700
	restored, err := placement.DecodeInterference(data, lastSampleMs)
	qt.Assert(t, err, qt.IsNil)
	for _, image := range []string{"heavy", "light", "unknown"} {
		qt.Check(t, restored.Pressure("serving", image), qt.Equals, f.Pressure("serving", image))
	}
	qt.Check(t, restored.ForecastLoad("a", lastSampleMs+200), qt.Equals, f.ForecastLoad("a", lastSampleMs+200))
	qt.Check(t, restored.UtilisationLimit("serving", 50), qt.Equals, f.UtilisationLimit("serving", 50))
	_, err = placement.DecodeInterference([]byte("{"), 0)
	qt.Check(t, err, qt.IsNotNil)
}

// Guards against jobs that an overload has left behind and that wait although the overload is over: every worker has a serving task
// with which their image interferes, so they have no worker at full speed. While all waiting jobs are late and half of the CPU is not
// reserved, each of them has a task running. While another job can still be in time, or the workers are full of serving tasks, none of
// them disturbs the serving tasks earlier than after starvationMs.
func TestLateJobsKeepATaskRunningOnceTheOverloadIsOver(t *testing.T) {
	step := jobs.Step{Count: 5, CPU: 6000, MemMB: 1000, EstimateMs: 1700, BestEffort: true, Image: "heavy"}
	for _, c := range []struct {
		hasTimelyJob bool
		servingTasks int
		want         int
	}{{false, 2, 1}, {true, 2, 0}, {false, 3, 0}} {
		s := &placement.Snapshot{Interference: trainedInterference(), BootTimeMs: 60_000, WallMs: 60_000,
			Jobs: []*jobs.Job{newJob("late", jobs.Queue{Stretch: 2, TargetMs: 1000}, 1000, step)}}
		w := newWorker("w", 64_000)
		s.Workers = []*placement.Worker{w}
		for range c.servingTasks {
			s.Allocate(w, &jobs.Step{CPU: 13_000, TargetMs: 20, Image: "serving", Perpetual: true}, "a", 1)
		}
		if c.hasTimelyJob {
			s.Jobs = append(s.Jobs, newJob("timely", jobs.Queue{Stretch: 2, TargetMs: 1000}, 60_000, step))
		}
		qt.Check(t, placement.Plan(s), qt.HasLen, c.want)
	}
}
