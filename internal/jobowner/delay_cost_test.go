package jobowner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/boottime"
	"bamboofork/internal/jobs"
	"bamboofork/internal/placement"
	"bamboofork/internal/store/memstore"
)

// Guards against run times that are learned from runs that were slowed, that continued from a checkpoint, that did not end as done, or
// whose beginning this owner has not seen.
func TestRunTimesAreLearnedFromWholeRuns(t *testing.T) {
	for _, c := range []struct {
		name       string
		checkpoint string
		outcome    jobs.Outcome
		recovered  bool
		learns     bool
	}{
		{"whole", "", jobs.EndDone, false, true},
		{"continued", "half", jobs.EndDone, false, false},
		{"stopped", "", jobs.EndStopped, false, false},
		{"begun under the previous owner", "", jobs.EndDone, true, false},
	} {
		nowMs := int64(1000)
		bootClock := boottime.SetClock(func() time.Duration { return time.Duration(nowMs) * time.Millisecond })
		o := newTestOwner(t, memstore.New())
		o.costs = newCostLearner(nil)
		for i := range 40 {
			id := string(rune('a'+i%26)) + string(rune('a'+i/26)) + "aaaaaaaaaaaaaa"
			o.apply(jobs.Change{Submit: &jobs.Job{ID: id, Queue: jobs.Queue{Name: "q", Service: "s", Stretch: 2},
				Spec: jobs.Spec{Steps: []jobs.Step{{Count: 1, CPU: 1000, EstimateMs: 1000, BestEffort: true}}}}})
			job := o.jobsState.Jobs[id]
			o.activeJobs[id] = job
			job.Task(jobs.TaskID{Job: id}).Checkpoint = c.checkpoint
			o.place(placement.Assignment{Job: job, Place: jobs.Place{Run: 1, Worker: "host-1", Lifetime: 7}, Pace: 1})
			if c.recovered {
				o.rebuildIndexes()
			}
			placed := o.placedByAgent["host-1"][jobs.TaskID{Job: id}.String()]
			nowMs += 2000
			placed.addWork(nowMs)
			placed.task.PacePercent = 50
			nowMs += 2000 // at half speed
			o.endRun(placed, c.outcome, "", "test")
		}
		boottime.SetClock(bootClock)
		expectedMs, _ := o.costs.model.RunTimes.Expect("q", 1000)
		if c.learns {
			qt.Check(t, expectedMs > 2500 && expectedMs <= 3000, qt.IsTrue, qt.Commentf("%s: %.0f", c.name, expectedMs))
		} else {
			qt.Check(t, expectedMs, qt.Equals, 1000.0, qt.Commentf("%s", c.name))
		}
		qt.Check(t, len(o.costs.stepRuns), qt.Equals, 0, qt.Commentf("%s: runs of ended jobs are kept", c.name))
	}
}

// Guards against runs of a cancelled job that are kept for ever, because one of them was done before its stop arrived.
func TestRunsOfCancelledJobsAreForgotten(t *testing.T) {
	o := newTestOwner(t, memstore.New())
	o.costs = newCostLearner(nil)
	const id = "aaaaaaaaaaaaaaaa"
	o.apply(jobs.Change{Submit: &jobs.Job{ID: id, Queue: jobs.Queue{Name: "q", Service: "s"},
		Spec: jobs.Spec{Steps: []jobs.Step{{Count: 2, CPU: 1000, EstimateMs: 1000}}}}})
	job := o.jobsState.Jobs[id]
	o.activeJobs[id] = job
	o.place(placement.Assignment{Job: job, Place: jobs.Place{Run: 1, Worker: "host-1", Lifetime: 7}, Pace: 1})
	o.apply(jobs.Change{JobID: id, Cancel: &jobs.Cancel{AtMs: 1}})
	o.cleanUpJob(job)
	qt.Assert(t, job.Ended(), qt.IsTrue)
	o.endRun(o.placedByAgent["host-1"][jobs.TaskID{Job: id}.String()], jobs.EndDone, "", "test")
	qt.Check(t, o.costs.stepRuns, qt.HasLen, 0)
}
