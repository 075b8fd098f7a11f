package jobs_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bamboofork/internal/jobs"
)

func oneStepJob(id string, count int) *jobs.Job {
	return &jobs.Job{ID: id, Queue: jobs.Queue{Name: "q", Service: "s", MaxAttempts: 2}, Spec: jobs.Spec{Steps: []jobs.Step{{Count: count, CPU: 100}}}}
}

// place returns the change that places run of the task with the index in the first step.
func place(id string, index, run int) jobs.Change {
	return jobs.Change{JobID: id, Place: &jobs.Place{Index: index, Run: run, Worker: "w", Lifetime: 1}}
}

// end returns the change that ends run of the task with the index in the first step.
func end(id string, index, run int, outcome jobs.Outcome) jobs.Change {
	return jobs.Change{JobID: id, End: &jobs.End{Index: index, Run: run, Outcome: outcome, AtMs: 5}}
}

// Guards against a log that cannot be replayed. A record may hold a submission and the placements after it. If the encoded
// submission already contains these placements, replaying the record places the tasks twice. The broken invariant then stops every
// candidate for the ownership during recovery.
func TestRecordOfSubmissionAndPlacementReplays(t *testing.T) {
	original := jobs.NewState()
	changes := []jobs.Change{{Submit: oneStepJob("j", 2)}, place("j", 0, 1), place("j", 1, 1)}
	for _, c := range changes {
		original.Apply(c)
	}
	data, err := json.Marshal(changes)
	qt.Assert(t, err, qt.IsNil)
	var decoded []jobs.Change
	qt.Assert(t, json.Unmarshal(data, &decoded), qt.IsNil)
	recovered := jobs.NewState()
	for _, c := range decoded {
		recovered.Apply(c)
	}
	want, err := original.Encode()
	qt.Assert(t, err, qt.IsNil)
	got, err := recovered.Encode()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(got), qt.Equals, string(want))
}

// jobAfter returns the job with the ID "j" after the changes have been applied to an empty state.
func jobAfter(t *testing.T, changes ...jobs.Change) *jobs.Job {
	s := jobs.NewState()
	for _, c := range changes {
		s.Apply(c)
	}
	qt.Assert(t, s.Jobs["j"], qt.IsNotNil)
	return s.Jobs["j"]
}

// Guards against counting the end of a run twice, and against counting the end of an earlier run of the task.
func TestEndOfRunCountsOnce(t *testing.T) {
	j := jobAfter(t, jobs.Change{Submit: oneStepJob("j", 2)}, place("j", 0, 1), end("j", 0, 1, jobs.EndFailed), end("j", 0, 1, jobs.EndFailed),
		place("j", 0, 2), end("j", 0, 1, jobs.EndDone))
	task := j.Task(jobs.TaskID{})
	qt.Check(t, task.Failures, qt.Equals, 1)
	qt.Check(t, task.State, qt.Equals, jobs.TaskPlaced)
	qt.Check(t, j.State(), qt.Equals, jobs.Running)
}

// Guards against more failed runs of a task than Queue.MaxAttempts. Also guards against counting lost or stopped runs as attempts.
func TestOnlyFailedRunsCountAsAttempts(t *testing.T) {
	j := jobAfter(t, jobs.Change{Submit: oneStepJob("j", 1)},
		place("j", 0, 1), end("j", 0, 1, jobs.EndLost), place("j", 0, 2), end("j", 0, 2, jobs.EndStopped),
		place("j", 0, 3), end("j", 0, 3, jobs.EndFailed))
	qt.Check(t, j.State(), qt.Equals, jobs.Running)
	j = jobAfter(t, jobs.Change{Submit: oneStepJob("j", 1)},
		place("j", 0, 1), end("j", 0, 1, jobs.EndFailed), place("j", 0, 2), end("j", 0, 2, jobs.EndFailed))
	qt.Check(t, j.State(), qt.Equals, jobs.Failed)
	qt.Check(t, j.Ended(), qt.IsTrue)
}

// Guards against starting a step before the steps that it depends on are done. Also guards against completing a job before its last
// step.
func TestStepWaitsForStepsItDependsOn(t *testing.T) {
	job := oneStepJob("j", 2)
	job.Spec.Steps = append(job.Spec.Steps, jobs.Step{Count: 1, After: []int{0}})
	j := jobAfter(t, jobs.Change{Submit: job}, place("j", 0, 1), place("j", 1, 1), end("j", 0, 1, jobs.EndDone))
	qt.Check(t, j.StepReady(0, 1), qt.IsFalse)
	j = jobAfter(t, jobs.Change{Submit: job}, place("j", 0, 1), place("j", 1, 1), end("j", 0, 1, jobs.EndDone), end("j", 1, 1, jobs.EndDone))
	qt.Check(t, j.StepReady(0, 1), qt.IsTrue)
	qt.Check(t, j.State(), qt.Equals, jobs.Running)
}

// Guards against tasks of a gang that stay placed after the gang has ended. One task that is done completes all tasks of the gang.
func TestOneDoneTaskCompletesGang(t *testing.T) {
	job := oneStepJob("j", 3)
	job.Spec.Steps[0].Gang = true
	j := jobAfter(t, jobs.Change{Submit: job}, place("j", 0, 1), place("j", 1, 1), place("j", 2, 1), end("j", 1, 1, jobs.EndDone))
	qt.Check(t, j.State(), qt.Equals, jobs.Completed)
}

// Guards against counting a perpetual task as done when its run ends. Also guards against a cancellation that has no effect, or that
// the end of a run undoes later.
func TestPerpetualTasksRestartUntilCancelled(t *testing.T) {
	job := oneStepJob("j", 1)
	job.Spec.Steps[0].Perpetual = true
	changes := []jobs.Change{{Submit: job}, place("j", 0, 1), end("j", 0, 1, jobs.EndDone), place("j", 0, 2), end("j", 0, 2, jobs.EndFailed)}
	j := jobAfter(t, changes...)
	qt.Check(t, j.Task(jobs.TaskID{}).State, qt.Equals, jobs.TaskWaiting)
	qt.Check(t, j.State(), qt.Equals, jobs.Running)
	j = jobAfter(t, append(changes, jobs.Change{JobID: "j", Cancel: &jobs.Cancel{AtMs: 9}})...)
	qt.Check(t, j.State(), qt.Equals, jobs.Cancelled)
}

// Guards against a snapshot that loses state. A decoded snapshot must encode to the same data, and must have the same job state and,
// unless the job is over, the same numbers of waiting tasks.
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
			index := rapid.IntRange(0, len(j.Occurrences[0].Steps[step].Tasks)-1).Draw(rt, "index")
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
		reencoded, err := decoded.Encode()
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(reencoded), qt.Equals, string(data))
		qt.Check(t, decoded.Jobs["j"].State(), qt.Equals, j.State())
		qt.Check(t, decoded.Jobs["j"].EndedMs, qt.Equals, j.EndedMs)
		qt.Check(t, decoded.Jobs["j"].HasPlacedTasks(), qt.Equals, j.HasPlacedTasks())
		if j.Ended() && !j.HasPlacedTasks() {
			qt.Check(t, decoded.Jobs["j"].Occurrences, qt.HasLen, 0) // none of its tasks can start again
			return
		}
		for step := range 2 {
			qt.Check(t, decoded.Jobs["j"].Occurrences[0].Steps[step].WaitingTasks, qt.Equals, j.Occurrences[0].Steps[step].WaitingTasks)
		}
	})
}

// Guards against snapshots that grow with every job that has ended: an owner has to read the snapshot before it can place anything.
func TestSnapshotOfEndedJobsIsSmall(t *testing.T) {
	s := jobs.NewState()
	for i := range 1000 {
		job := oneStepJob(fmt.Sprintf("%016x", i), 40)
		job.Spec.Payload = strings.Repeat("x", 150)
		s.Apply(jobs.Change{Submit: job})
		s.Apply(jobs.Change{JobID: job.ID, Cancel: &jobs.Cancel{AtMs: 5}})
	}
	data, err := s.Encode()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, len(data) < 200*1000, qt.IsTrue, qt.Commentf("%d bytes for 1,000 ended jobs", len(data)))
}
