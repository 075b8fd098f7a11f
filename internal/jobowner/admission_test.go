package jobowner

import (
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/boottime"
	"bamboofork/internal/delaycost"
	"bamboofork/internal/jobs"
	"bamboofork/internal/session"
	"bamboofork/internal/store/memstore"
)

// submitSized submits a job of 20 tasks of 1.4 s whose objective is 3.8 s, and returns the reply; nil if the job is accepted and not
// yet durable.
func submitSized(o *Owner, id string) *session.Reply {
	var got *session.Reply
	o.submitJob(&session.Request{Verb: session.VerbSubmit, JobID: id, Queue: &jobs.Queue{Name: "q", Service: "s", Priority: 2, Stretch: 2, TargetMs: 1000},
		Spec: &jobs.Spec{Steps: []jobs.Step{{Count: 20, CPU: 3500, EstimateMs: 1400}}}}, func(r session.Reply) { got = &r })
	return got
}

// ownerInShortage returns an owner that has served for a while, with the wait before any further job of priority 2.
func ownerInShortage(t *testing.T, waitMs float64) *Owner {
	o := newTestOwner(t, memstore.New())
	o.costs, o.servingSince = newCostLearner(nil), boottime.Now()-time.Minute
	for range 100 { // run times are as declared
		o.costs.model.RunTimes.Observe("q", 1400, 1400)
	}
	o.shortage = &delaycost.Backlog{}
	o.shortage.Begin(2, waitMs, waitMs)
	return o
}

// Guards against a job that is accepted although it surely ends too late to be of use, and against one that is refused while it may be.
// A refused job must be in no record and no reply list, so that it never runs.
func TestHopelessJobIsRefusedAtOnce(t *testing.T) {
	o := ownerInShortage(t, 60_000)
	retries := map[int64]bool{}
	for i := range 20 {
		id := fmt.Sprintf("%016x", i)
		reply := submitSized(o, id)
		qt.Assert(t, reply, qt.IsNotNil)
		qt.Check(t, reply.Code, qt.Equals, session.CodeRejected)
		qt.Check(t, reply.RetryMs >= 1000 && reply.RetryMs <= 60_000, qt.IsTrue, qt.Commentf("%d", reply.RetryMs))
		qt.Check(t, o.jobsState.Jobs[id], qt.IsNil)
		retries[reply.RetryMs] = true
	}
	qt.Check(t, len(retries) > 10, qt.IsTrue, qt.Commentf("callers return together: %v", retries))
	qt.Check(t, o.pendingChanges, qt.HasLen, 0)
	qt.Check(t, o.submitReplies, qt.HasLen, 0)

	for _, c := range []struct {
		name    string
		prepare func(o *Owner)
	}{
		{"the wait is short enough to be of use", func(o *Owner) { o.shortage = ownerInShortage(t, 9_000).shortage }},
		{"no shortage", func(o *Owner) { o.shortage = nil }},
		{"off", func(o *Owner) { o.costs = nil }},
		{"the owner has just begun", func(o *Owner) { o.servingSince = boottime.Now() }},
		{"more urgent than what waits", func(o *Owner) { o.shortage = &delaycost.Backlog{}; o.shortage.Begin(3, 60_000, 60_000) }},
		{"a worker has room", func(o *Owner) {
			localEnd, remoteEnd := net.Pipe()
			c := session.New[session.ToMember, session.FromMember](localEnd)
			t.Cleanup(c.Close)
			t.Cleanup(func() { remoteEnd.Close() })
			o.members["host-1"] = &memberView{Member: Member{Name: "host-1", Agent: true}, conn: c, runsListed: true, lastReportAt: boottime.Now(),
				worker: &session.Worker{Lifetime: 7, Service: "s", CPU: 32_000, MemMB: 1000}}
		}},
	} {
		o := ownerInShortage(t, 60_000)
		c.prepare(o)
		qt.Check(t, submitSized(o, "aaaaaaaaaaaaaaaa"), qt.IsNil, qt.Commentf("%s", c.name))
		qt.Check(t, o.jobsState.Jobs["aaaaaaaaaaaaaaaa"], qt.IsNotNil, qt.Commentf("%s", c.name))
	}
}

// Guards against callers who were refused and return behind newcomers of the same kind.
func TestReturningCallerKeepsItsPlace(t *testing.T) {
	o := ownerInShortage(t, 60_000)
	qt.Assert(t, submitSized(o, "aaaaaaaaaaaaaaaa"), qt.IsNotNil)
	o.refusals.firstMsByJob["aaaaaaaaaaaaaaaa"] -= 2500
	o.shortage = nil
	qt.Assert(t, submitSized(o, "aaaaaaaaaaaaaaaa"), qt.IsNil)
	qt.Assert(t, submitSized(o, "bbbbbbbbbbbbbbbb"), qt.IsNil)
	early := o.jobsState.Jobs["bbbbbbbbbbbbbbbb"].AcceptedMs - o.jobsState.Jobs["aaaaaaaaaaaaaaaa"].AcceptedMs
	qt.Check(t, early >= 2500 && early < 3500, qt.IsTrue, qt.Commentf("%d ms", early))
}

// Load: refusals fill the memory, go on for a while, and end. Later callers are remembered again although the memory was full.
func TestFullMemoryOfRefusalsTakesNewOnesOnceItsEntriesAreOld(t *testing.T) {
	var refusals refusedCallers
	const startMs = 1_000_000
	for i := range maxRefusals + 100 {
		refusals.note(fmt.Sprint(i), startMs)
	}
	refusals.note("just before", startMs+refusalMemoryMs-1)
	qt.Check(t, refusals.firstMs("just before", startMs+refusalMemoryMs), qt.Equals, int64(0))
	laterMs := int64(startMs + refusalMemoryMs + refusalPruneMs)
	refusals.note("later", laterMs)
	qt.Check(t, refusals.firstMs("later", laterMs), qt.Equals, laterMs)
	qt.Check(t, refusals.firstMsByJob, qt.HasLen, 1)
}

// Load: far more callers are refused than are remembered, one after the other within a moment.
func BenchmarkRefusalWithAFullMemory(b *testing.B) {
	var refusals refusedCallers
	for i := range maxRefusals {
		refusals.note(fmt.Sprint(i), 1_000_000)
	}
	i := 0
	for b.Loop() {
		i++
		refusals.note(fmt.Sprint("later ", i), 1_000_000)
	}
}
