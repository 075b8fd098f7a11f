package jobs_test

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/jobs"
)

func oneStep(id string, count int) *jobs.Job {
	return &jobs.Job{ID: id, Queue: jobs.Queue{Name: "q", Service: "s", MaxAttempts: 2}, Spec: jobs.Spec{Steps: []jobs.Step{{Count: count, CPU: 100}}}}
}

func place(id string, index, run int) jobs.Change {
	return jobs.Change{JobID: id, Place: &jobs.Place{Index: index, Run: run, Worker: "w", Life: 1}}
}

func end(id string, index, run int, how jobs.Outcome) jobs.Change {
	return jobs.Change{JobID: id, End: &jobs.End{Index: index, Run: run, How: how, AtMs: 5}}
}

// Guards against a log that cannot be replayed: a job was written with the placements that its own record makes next,
// and every candidate stopped on the broken invariant when it recovered.
func TestRecordOfSubmissionAndPlacementReplays(t *testing.T) {
	live := jobs.NewState()
	changes := []jobs.Change{{Submit: oneStep("j", 2)}, place("j", 0, 1), place("j", 1, 1)}
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
