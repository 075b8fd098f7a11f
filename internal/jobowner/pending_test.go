package jobowner

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/jobs"
	"bamboofork/internal/session"
	"bamboofork/internal/store/memstore"
)

// Guards against a number of pending jobs that leaves out those of which no task has begun: their tasks are placed, and the starts are refused.
func TestPendingCountsJobsOfWhichNoRunHasBegun(t *testing.T) {
	st := memstore.New()
	o := newTestOwner(t, st)
	submitTo(o, "aaaaaaaaaaaaaaaa")
	mustCommit(t, o)
	member := &memberView{Member: Member{Name: "host-1", Agent: true}, worker: &session.Worker{Lifetime: 7}}
	o.members["host-1"] = member
	o.apply(jobs.Change{JobID: "aaaaaaaaaaaaaaaa", Place: &jobs.Place{Run: 1, Worker: "host-1", Lifetime: 7}})
	o.rebuildIndexes()
	mustCommit(t, o)
	qt.Check(t, o.pendingJobs("q"), qt.Equals, 1, qt.Commentf("placed"))
	o.handleRefusal(member, session.Refusal{Task: "aaaaaaaaaaaaaaaa.0.0.0", Run: 1, Reason: "the worker is busy"})
	mustCommit(t, o)
	qt.Check(t, o.pendingJobs("q"), qt.Equals, 1, qt.Commentf("refused"))
	o.apply(jobs.Change{JobID: "aaaaaaaaaaaaaaaa", Place: &jobs.Place{Run: 2, Worker: "host-1", Lifetime: 7}})
	o.rebuildIndexes()
	mustCommit(t, o)
	successor := replaceOwner(t, st)
	qt.Check(t, successor.pendingJobs("q"), qt.Equals, 1, qt.Commentf("after a takeover"))
	placed := successor.placedByAgent["host-1"]["aaaaaaaaaaaaaaaa.0.0.0"]
	successor.updateProgress(placed, &session.Run{Run: 2, Started: true})
	qt.Check(t, successor.pendingJobs("q"), qt.Equals, 0, qt.Commentf("begun"))
	successor.endRun(placed, "lost", "", "its worker is lost")
	mustCommit(t, successor)
	qt.Check(t, replaceOwner(t, st).pendingJobs("q"), qt.Equals, 0, qt.Commentf("begun under an earlier owner"))
}
