package jobowner

import (
	"context"
	"flag"
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/jobs"
	"bamboofork/internal/session"
	"bamboofork/internal/store"
	"bamboofork/internal/store/memstore"
)

var churnJobs = flag.Int("churn-jobs", 10_000, "number of jobs of TestJobsThatHaveEndedLeaveNothing")

// logSink accepts the records of the log and keeps none.
type logSink struct{ store.Store }

func (s logSink) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, lease store.LeaseID) (store.CASResult, error) {
	if strings.Contains(key, "/log/") {
		return store.CASResult{Swapped: true}, nil
	}
	return s.Store.CompareAndSwap(ctx, key, expect, value, lease)
}

// churnedJob is the submission of a job whose names no other job has. Most of them are short; some are as long as a body allows.
func churnedJob(i int) *session.Request {
	name := fmt.Sprintf("%016x", i)
	if i%500 == 0 {
		name += strings.Repeat("x", 100_000)
	}
	step := jobs.Step{Count: 1, CPU: 10, MemMB: 1, EstimateMs: 1000, Image: "image-" + name}
	switch i % 4 {
	case 0, 1:
		step.Perpetual, step.TargetMs = true, 100
	case 2:
		step.Perpetual, step.BestEffort = true, true
	case 3:
		step.Label = "label-" + name // that no worker has
	}
	return &session.Request{Verb: session.VerbSubmit, JobID: fmt.Sprintf("%016x", i), Queue: &jobs.Queue{Name: "q", Service: "s"},
		Spec: &jobs.Spec{Steps: []jobs.Step{step}}}
}

// Guards against an owner that grows with each job that callers hand in and cancel (review/11): what it keeps of a job under a name that the
// caller has chosen outlives the job.
func TestJobsThatHaveEndedLeaveNothing(t *testing.T) {
	const batch = 50
	o := newTestOwner(t, logSink{memstore.New()})
	o.cfg.Retention, o.cfg.Shortage, o.cfg.RecordsPerSnapshot = 0, true, 1<<40
	o.costs = newCostLearner(nil)
	renewed := make(chan error, 1)
	ctx, stopRenewals := context.WithCancel(t.Context())
	go func() { renewed <- o.ownership.KeepAlive(ctx) }()
	defer func() {
		stopRenewals()
		qt.Check(t, <-renewed, qt.IsNil)
	}()
	ownerEnd, agentEnd := net.Pipe()
	conn, agent := session.New[session.ToMember, session.FromMember](ownerEnd), session.New[session.FromMember, session.ToMember](agentEnd)
	defer conn.Close()
	go func() {
		for {
			if _, err := agent.Receive(); err != nil {
				return
			}
		}
	}()
	member := &memberView{Member: Member{Name: "host-1", Agent: true}, conn: conn}
	o.members["host-1"] = member
	report := func(runs []session.Run) {
		o.handleMessage(member, &session.FromMember{ReportSeq: member.lastReportSeq + 1, AckSeq: member.commandSeq, RunsComplete: true, Runs: runs,
			PollSeq: member.lastPollSeq + 1, Worker: &session.Worker{ID: "i-1", Lifetime: 7, Service: "s", CPU: 16_000, MemMB: 64_000}})
		mustCommit(t, o)
	}
	report(nil)
	placed := 0
	churn := func(from, to int) {
		for first := from; first < to; first += batch {
			for i := first; i < first+batch; i++ {
				o.submitJob(churnedJob(i), func(session.Reply) {})
			}
			o.nextPlanAt = 0
			mustCommit(t, o) // places the tasks
			mustCommit(t, o)
			var runs []session.Run
			for task, p := range o.placedByAgent["host-1"] {
				runs = append(runs, session.Run{Task: task, Run: p.task.Run, Started: true, RecentUsage: 40, PacePercent: 100})
			}
			placed += len(runs)
			report(runs)
			for i := first; i < first+batch; i++ {
				o.cancelJob(&session.Request{JobID: fmt.Sprintf("%016x", i)}, func(session.Reply) {})
			}
			mustCommit(t, o)
			report(nil)
			time.Sleep(2 * time.Millisecond) // the end of the retention
			o.timeoutsCheckedAt = 0
			mustCommit(t, o)
			learned, budget := o.interference.LearnedBytes()
			qt.Assert(t, learned <= budget, qt.IsTrue)
		}
	}
	liveHeap := func() int64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	churn(0, *churnJobs/10)
	before := liveHeap()
	churn(*churnJobs/10, *churnJobs)
	_, budget := o.interference.LearnedBytes()
	grown := liveHeap() - before
	t.Logf("%d jobs, %d runs, the heap has grown by %d bytes, budget %d", *churnJobs, placed, grown, budget)
	qt.Check(t, placed > *churnJobs/2, qt.IsTrue, qt.Commentf("%d runs", placed))
	qt.Check(t, o.jobsState.Jobs, qt.HasLen, 0)
	qt.Check(t, o.activeJobs, qt.HasLen, 0)
	qt.Check(t, o.memory.jobBytes, qt.Equals, int64(0))
	qt.Check(t, grown < budget+1<<20, qt.IsTrue)
}
