package jobowner

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/jobs"
	"bamboofork/internal/store/memstore"
)

// Guards against waits that begin anew with each owner.
func TestWaitsOfAnEarlierOwnerCount(t *testing.T) {
	const waitedMs = 5000
	engine := memstore.New()
	previous := newTestOwner(t, engine)
	acceptedMs := wallTimeMs() - 60_000
	for id, perpetual := range map[string]bool{"aaaaaaaaaaaaaaaa": true, "bbbbbbbbbbbbbbbb": true, "cccccccccccccccc": false} {
		previous.apply(jobs.Change{Submit: &jobs.Job{ID: id, AcceptedMs: acceptedMs, Queue: jobs.Queue{Service: "s"},
			Spec: jobs.Spec{Steps: []jobs.Step{{Count: 1, CPU: 1000, Perpetual: perpetual}, {Count: 1, CPU: 1000, Perpetual: perpetual, After: []int{0}}}}}})
	}
	for _, id := range []string{"aaaaaaaaaaaaaaaa", "cccccccccccccccc"} {
		previous.apply(jobs.Change{JobID: id, Place: &jobs.Place{Run: 1, Worker: "host-1", Lifetime: 7}})
		previous.apply(jobs.Change{JobID: id, End: &jobs.End{Run: 1, Outcome: jobs.EndDone, AtMs: wallTimeMs() - waitedMs}})
	}
	_, err := previous.commit(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, previous.ownership.Resign(t.Context()), qt.IsNil)

	o := newTestOwner(t, engine)
	o.servingSince = o.startedAt
	qt.Assert(t, checkTimeoutsNow(o), qt.IsTrue)
	task := func(id string) *jobs.Task { return &o.jobsState.Jobs[id].Occurrences[0].Steps[0].Tasks[0] }
	waited := func(sinceMs int64) int64 { return (bootTimeMs() - sinceMs) / 1000 * 1000 }
	qt.Check(t, waited(task("aaaaaaaaaaaaaaaa").WaitingSinceMs), qt.Equals, int64(0), qt.Commentf("the agents may not be connected yet"))
	o.servingSince -= agentSettleTime
	qt.Assert(t, checkTimeoutsNow(o), qt.IsTrue)
	qt.Check(t, waited(task("aaaaaaaaaaaaaaaa").WaitingSinceMs), qt.Equals, int64(waitedMs))
	qt.Check(t, waited(task("bbbbbbbbbbbbbbbb").WaitingSinceMs), qt.Equals, int64(60_000), qt.Commentf("never placed"))
	qt.Check(t, waited(o.jobsState.Jobs["aaaaaaaaaaaaaaaa"].IdleSinceMs), qt.Equals, int64(waitedMs))
	qt.Check(t, waited(o.jobsState.Jobs["bbbbbbbbbbbbbbbb"].IdleSinceMs), qt.Equals, int64(60_000))
	qt.Check(t, waited(o.jobsState.Jobs["cccccccccccccccc"].IdleSinceMs), qt.Equals, int64(waitedMs), qt.Commentf("the first step is done"))
	qt.Check(t, task("cccccccccccccccc").EndedMs, qt.Equals, int64(0))
}
