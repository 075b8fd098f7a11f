package jobs_test

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bamboofork/internal/jobs"
)

func oneStepJob(id string, count int) *jobs.Job {
	return &jobs.Job{ID: id, Queue: jobs.Queue{Name: "q", Service: "s", MaxAttempts: 2}, Spec: jobs.Spec{Steps: []jobs.Step{{Count: count, CPU: 100}}}}
}

func place(id string, index, run int) jobs.Change {
	return jobs.Change{JobID: id, Place: &jobs.Place{Index: index, Run: run, Worker: "w", Lifetime: 1}}
}

func end(id string, index, run int, outcome jobs.Outcome) jobs.Change {
	return jobs.Change{JobID: id, End: &jobs.End{Index: index, Run: run, Outcome: outcome, AtMs: 5}}
}

// Guards against a log that cannot be replayed. If a submission is written with the placements that follow it in the same
// record, replaying the record places the tasks twice, and the broken invariant stops every candidate during recovery.
func TestRecordOfSubmissionAndPlacementReplays(t *testing.T) {
	live := jobs.NewState()
	changes := []jobs.Change{{Submit: oneStepJob("j", 2)}, place("j", 0, 1), place("j", 1, 1)}
	for _, c := range changes {
		live.Apply(c)
	}
	data, err := json.Marshal(changes)
	qt.Assert(t, err, qt.IsNil)
	var read []jobs.Change
	qt.Assert(t, json.Unmarshal(data, &read), qt.IsNil)
	recovered := jobs.NewState()
	for _, c := range read {
		recovered.Apply(c)
	}
	want, err := live.Encode()
	qt.Assert(t, err, qt.IsNil)
	got, err := recovered.Encode()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(got), qt.Equals, string(want))
}

func apply(t *testing.T, changes ...jobs.Change) *jobs.Job {
	s := jobs.NewState()
	for _, c := range changes {
		s.Apply(c)
	}
	qt.Assert(t, s.Jobs["j"], qt.IsNotNil)
	return s.Jobs["j"]
}

// Guards against counting a second end of a run, or the end of an older run.
func TestEndsCountOnce(t *testing.T) {
	j := apply(t, jobs.Change{Submit: oneStepJob("j", 2)}, place("j", 0, 1), end("j", 0, 1, jobs.EndFailed), end("j", 0, 1, jobs.EndFailed),
		place("j", 0, 2), end("j", 0, 1, jobs.EndDone))
	task := j.Task(jobs.TaskID{})
	qt.Check(t, task.Failures, qt.Equals, 1)
	qt.Check(t, task.State, qt.Equals, jobs.TaskPlaced)
	qt.Check(t, j.State(), qt.Equals, jobs.Running)
}

// Guards against exceeding the queue's attempt limit, and against counting lost or stopped runs as attempts.
func TestAttempts(t *testing.T) {
	j := apply(t, jobs.Change{Submit: oneStepJob("j", 1)},
		place("j", 0, 1), end("j", 0, 1, jobs.EndLost), place("j", 0, 2), end("j", 0, 2, jobs.EndStopped),
		place("j", 0, 3), end("j", 0, 3, jobs.EndFailed))
	qt.Check(t, j.State(), qt.Equals, jobs.Running)
	j = apply(t, jobs.Change{Submit: oneStepJob("j", 1)},
		place("j", 0, 1), end("j", 0, 1, jobs.EndFailed), place("j", 0, 2), end("j", 0, 2, jobs.EndFailed))
	qt.Check(t, j.State(), qt.Equals, jobs.Failed)
	qt.Check(t, j.Ended(), qt.IsTrue)
}

// Guards against starting a step before the steps that it depends on are done, and against completing a job too early.
func TestStepsInOrder(t *testing.T) {
	job := oneStepJob("j", 2)
	job.Spec.Steps = append(job.Spec.Steps, jobs.Step{Count: 1, After: []int{0}})
	j := apply(t, jobs.Change{Submit: job}, place("j", 0, 1), place("j", 1, 1), end("j", 0, 1, jobs.EndDone))
	qt.Check(t, j.StepReady(0, 1), qt.IsFalse)
	j = apply(t, jobs.Change{Submit: job}, place("j", 0, 1), place("j", 1, 1), end("j", 0, 1, jobs.EndDone), end("j", 1, 1, jobs.EndDone))
	qt.Check(t, j.StepReady(0, 1), qt.IsTrue)
	qt.Check(t, j.State(), qt.Equals, jobs.Running)
}

// Guards against tasks of a gang that stay placed after the gang has ended: the end of one task ends all of them.
func TestGangEndsTogether(t *testing.T) {
	job := oneStepJob("j", 3)
	job.Spec.Steps[0].Gang = true
	j := apply(t, jobs.Change{Submit: job}, place("j", 0, 1), place("j", 1, 1), place("j", 2, 1), end("j", 1, 1, jobs.EndDone))
	qt.Check(t, j.State(), qt.Equals, jobs.Completed)
}

// Guards against counting a perpetual task as done when its run ends, and against a cancellation that has no effect or that
// the end of a run undoes later.
func TestPerpetualTasksRestartUntilCancelled(t *testing.T) {
	job := oneStepJob("j", 1)
	job.Spec.Steps[0].Perpetual = true
	changes := []jobs.Change{{Submit: job}, place("j", 0, 1), end("j", 0, 1, jobs.EndDone), place("j", 0, 2), end("j", 0, 2, jobs.EndFailed)}
	j := apply(t, changes...)
	qt.Check(t, j.Task(jobs.TaskID{}).State, qt.Equals, jobs.TaskWaiting)
	qt.Check(t, j.State(), qt.Equals, jobs.Running)
	j = apply(t, append(changes, jobs.Change{JobID: "j", Cancel: &jobs.Cancel{AtMs: 9}})...)
	qt.Check(t, j.State(), qt.Equals, jobs.Cancelled)
}

// Guards against a snapshot that loses state: a decoded snapshot encodes to the same data and has the same job state and
// waiting counters.
func TestSnapshotKeepsTheState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := jobs.NewState()
		job := oneStepJob("j", 3)
		job.Queue.MaxAttempts = 3
		job.Spec.Steps = append(job.Spec.Steps, jobs.Step{Count: 2, After: []int{0}})
		s.Apply(jobs.Change{Submit: job})
		j := s.Jobs["j"]
		for range rapid.IntRange(0, 40).Draw(rt, "changes") {
			step := rapid.IntRange(0, 1).Draw(rt, "step")
			index := rapid.IntRange(0, len(j.Occ[0].Steps[step].Tasks)-1).Draw(rt, "index")
			task := j.Task(jobs.TaskID{Step: step, Index: index})
			outcome := rapid.SampledFrom([]jobs.Outcome{jobs.EndDone, jobs.EndFailed, jobs.EndLost}).Draw(rt, "how")
			switch {
			case task.State == jobs.TaskWaiting && j.StepReady(0, step) && !j.Ended():
				s.Apply(jobs.Change{JobID: "j", Place: &jobs.Place{Step: step, Index: index, Run: task.Run + 1, Worker: "w", Lifetime: 1}})
			case task.State == jobs.TaskPlaced:
				s.Apply(jobs.Change{JobID: "j", End: &jobs.End{Step: step, Index: index, Run: task.Run, Outcome: outcome, AtMs: 4}})
			}
		}
		data, err := s.Encode()
		qt.Assert(t, err, qt.IsNil)
		decoded, err := jobs.Decode(data)
		qt.Assert(t, err, qt.IsNil)
		again, err := decoded.Encode()
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(again), qt.Equals, string(data))
		qt.Check(t, decoded.Jobs["j"].State(), qt.Equals, j.State())
		for step := range 2 {
			qt.Check(t, decoded.Jobs["j"].Occ[0].Steps[step].Waiting, qt.Equals, j.Occ[0].Steps[step].Waiting)
		}
	})
}
