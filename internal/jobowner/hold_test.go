package jobowner

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bamboofork/internal/boottime"
	"bamboofork/internal/jobs"
	"bamboofork/internal/network"
	"bamboofork/internal/ownerconn"
	"bamboofork/internal/session"
	"bamboofork/internal/store"
	"bamboofork/internal/store/memstore"
)

const (
	lastingTask = "aaaaaaaaaaaaaaaa.0.0.0"
	testMaxHold = 5 * time.Second // Config.MaxHold of newTestOwner
)

// ownerWithLastingRun returns an owner whose term began the given time ago. A perpetual task of its only job is placed on the worker
// of host-1, whose agent is connected and has sent nothing.
func ownerWithLastingRun(t *testing.T, termAge time.Duration) (*Owner, *memberView) {
	o := newTestOwner(t, memstore.New())
	o.startedAt -= termAge
	o.apply(jobs.Change{Submit: &jobs.Job{ID: "aaaaaaaaaaaaaaaa", Queue: jobs.Queue{Service: "s"},
		Spec: jobs.Spec{Steps: []jobs.Step{{Count: 1, CPU: 1000, Perpetual: true}}}}})
	o.apply(jobs.Change{JobID: "aaaaaaaaaaaaaaaa", Place: &jobs.Place{Run: 1, Worker: "host-1", Lifetime: 7}})
	o.rebuildIndexes()
	localEnd, remoteEnd := net.Pipe()
	c := session.New[session.ToMember, session.FromMember](localEnd)
	t.Cleanup(c.Close)
	t.Cleanup(func() { remoteEnd.Close() })
	member := &memberView{Member: Member{Name: "host-1", Agent: true}, conn: c}
	o.members["host-1"] = member
	return o, member
}

// checkTimeoutsNow runs a check of timeouts that is due, and reports whether the task waits for a worker afterwards.
func checkTimeoutsNow(o *Owner) bool {
	o.timeoutsCheckedAt = 0
	o.checkTimeouts()
	return o.jobsState.Jobs["aaaaaaaaaaaaaaaa"].Occurrences[0].Steps[0].Tasks[0].State == jobs.TaskWaiting
}

// Guards against a task that is never started again: the worker crashed while its agent was away, so that the agent came back and
// knew no worker. The owner kept the runs for as long as the agent was connected.
func TestRunsEndAlthoughTheAgentIsConnectedWithoutAWorker(t *testing.T) {
	o, member := ownerWithLastingRun(t, 20*time.Second)
	o.handleMessage(member, &session.FromMember{})
	qt.Check(t, checkTimeoutsNow(o), qt.IsTrue)
}

// Guards against a task that runs twice: only the hold ends the runs of a worker of which nothing is known, and each report that the
// owner confirms extends the hold.
func TestRunsStayUntilTheHoldHasExpired(t *testing.T) {
	o, _ := ownerWithLastingRun(t, takeoverMargin+testMaxHold)
	qt.Check(t, checkTimeoutsNow(o), qt.IsFalse, qt.Commentf("the previous owner may have extended the hold"))

	o, early := ownerWithLastingRun(t, takeoverMargin+testMaxHold)
	early.lastReportAt = o.startedAt + 100*time.Millisecond
	qt.Check(t, checkTimeoutsNow(o), qt.IsFalse, qt.Commentf("the previous owner may have extended the hold after the report"))

	o, member := ownerWithLastingRun(t, 20*time.Second)
	report := &session.FromMember{ReportSeq: 1, RunsComplete: true, Runs: []session.Run{{Task: lastingTask, Run: 1, Started: true}}}
	o.handleMessage(member, report)
	qt.Check(t, checkTimeoutsNow(o), qt.IsFalse, qt.Commentf("the run is listed"))
	member.conn, member.runsListed = nil, false
	qt.Check(t, checkTimeoutsNow(o), qt.IsFalse, qt.Commentf("the agent was lost just now"))
	member.lastReportAt = boottime.Now() - testMaxHold
	qt.Check(t, checkTimeoutsNow(o), qt.IsFalse, qt.Commentf("the worker's clock may be slow"))
	member.lastReportAt = boottime.Now() - testMaxHold - 500*time.Millisecond
	qt.Check(t, checkTimeoutsNow(o), qt.IsTrue)
}

// Guards against a task that runs twice because the owner waits for less than a hold takes on the slowest clock of a worker: a clock that is
// 2% slow takes more than 2% longer. The hold is long, so that the difference exceeds the margin.
func TestOwnerWaitsForAHoldOnTheSlowestClock(t *testing.T) {
	o, member := ownerWithLastingRun(t, 0)
	o.cfg.MaxHold = time.Hour
	o.startedAt = -3 * time.Hour
	hold := time.Duration(float64(o.cfg.MaxHold) / (1 - session.WorkerClockDrift))
	member.lastReportAt = boottime.Now() - hold
	qt.Check(t, checkTimeoutsNow(o), qt.IsFalse)
	member.lastReportAt = boottime.Now() - hold - holdMargin
	qt.Check(t, checkTimeoutsNow(o), qt.IsTrue)
}

// Guards against a perpetual task that waits for the reserve of short tasks again after it has been away for the whole hold.
func TestWaitOfATaskCountsFromTheLastReportOfItsWorker(t *testing.T) {
	o, member := ownerWithLastingRun(t, 20*time.Second)
	o.handleMessage(member, &session.FromMember{ReportSeq: 1})
	member.lastReportAt = boottime.Now() - testMaxHold - 500*time.Millisecond
	qt.Assert(t, checkTimeoutsNow(o), qt.IsTrue)
	task := &o.jobsState.Jobs["aaaaaaaaaaaaaaaa"].Occurrences[0].Steps[0].Tasks[0]
	qt.Check(t, task.WaitingSinceMs, qt.Equals, member.lastReportAt.Milliseconds())
}

// Guards against runs that are ended by the announced departure of an earlier lifetime of their worker, and against a connection that is
// ended by the announcement.
func TestAnnouncedDepartureEndsOnlyRunsOfItsLifetime(t *testing.T) {
	o, member := ownerWithLastingRun(t, 0)
	conn := member.conn
	member.Addr = "127.0.0.1:7000"
	for lifetime := int64(6); lifetime <= 7; lifetime++ {
		value, err := json.Marshal(Member{Name: "host-1", Addr: member.Addr, Agent: true, EndedLifetime: lifetime})
		qt.Assert(t, err, qt.IsNil)
		o.updateMember(t.Context(), &sync.WaitGroup{}, store.KV{Key: MemberPrefix + "host-1", Value: value})
		qt.Check(t, checkTimeoutsNow(o), qt.IsFalse, qt.Commentf("the last report may follow"))
		left := o.departures["host-1"]
		left.learned -= departureReportTimeout
		o.departures["host-1"] = left
		qt.Check(t, checkTimeoutsNow(o), qt.Equals, lifetime == 7)
		qt.Check(t, member.conn, qt.Equals, conn)
	}
}

// Guards against a task that runs again although it was done: its worker listed the end and left while the owner changed, so that the new
// owner receives the end and the departure in one report.
func TestEndsInTheLastReportOfADepartedWorkerCount(t *testing.T) {
	o, member := ownerWithLastingRun(t, 0)
	o.jobsState.Jobs["aaaaaaaaaaaaaaaa"].Spec.Steps[0].Perpetual = false
	member.Addr = "127.0.0.1:7000"
	value, err := json.Marshal(map[string]any{"name": "host-1", "addr": member.Addr, "agent": true, "ended_lifetime": 7})
	qt.Assert(t, err, qt.IsNil)
	o.updateMember(t.Context(), &sync.WaitGroup{}, store.KV{Key: MemberPrefix + "host-1", Value: value})
	o.handleMessage(member, &session.FromMember{ReportSeq: 1, Worker: &session.Worker{Lifetime: 7, Gone: true},
		Ends: []session.RunEnd{{Lifetime: 7, Seq: 1, Task: lastingTask, Run: 1, Outcome: jobs.EndDone}}})
	task := o.jobsState.Jobs["aaaaaaaaaaaaaaaa"].Occurrences[0].Steps[0].Tasks[0]
	qt.Check(t, task.State, qt.Equals, jobs.TaskDone)
}

// Guards against a host that was removed and whose address a new host has taken over. The owner announced itself to the new host
// under both names, so that each of the two connections ended the other one, without an end, and the messages of the new host
// extended the hold of the worker that was removed with the old one.
func TestHostAtTheAddressOfARemovedHostKeepsItsConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	addr := listener.Addr().String()
	qt.Assert(t, listener.Close(), qt.IsNil)
	var connections atomic.Int64
	follower := &ownerconn.Follower{Name: "host-2", Incarnation: "host-2-1", Log: zerolog.Nop(),
		OwnerConnected: func(*ownerconn.Conn) { connections.Add(1) },
		HandleMessage:  func(conn *ownerconn.Conn, _ *session.ToMember) { conn.Send(session.FromMember{ReportSeq: 1}) }}
	ctx, cancel := context.WithCancel(t.Context())
	listenDone := make(chan error, 1)
	go func() { listenDone <- follower.Listen(ctx, network.TCP, addr) }()
	defer func() {
		cancel()
		qt.Check(t, <-listenDone, qt.IsNil)
	}()

	engine := memstore.New()
	o := newTestOwner(t, engine)
	for _, name := range []string{"host-1", "host-2"} {
		announcement, err := json.Marshal(Member{Name: name, Addr: addr, Agent: true})
		qt.Assert(t, err, qt.IsNil)
		_, err = engine.CompareAndSwap(ctx, MemberPrefix+name, 0, announcement, store.LeaseID(0))
		qt.Assert(t, err, qt.IsNil)
	}
	ended := make(chan error, 1)
	go func() { ended <- o.Run(ctx) }()
	time.Sleep(1500 * time.Millisecond)
	qt.Check(t, connections.Load(), qt.Equals, int64(1))
	o.mu.Lock()
	removed, present := o.members["host-1"], o.members["host-2"]
	qt.Check(t, removed.conn == nil && removed.lastReportAt == 0, qt.IsTrue, qt.Commentf("the removed host counts as reached"))
	qt.Check(t, present.conn != nil && present.lastReportAt > 0, qt.IsTrue)
	o.mu.Unlock()
	cancel()
	<-ended
}
