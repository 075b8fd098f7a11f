package hostagent

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bamboofork/internal/boottime"
	"bamboofork/internal/ownerconn"
	"bamboofork/internal/session"
	"bamboofork/internal/telemetry"
)

func newTestAgent(runner Runner) *Agent {
	a := New(Config{
		Log: zerolog.Nop(), Metrics: telemetry.New(), Runner: runner, Follower: &ownerconn.Follower{Log: zerolog.Nop()},
		MaxHoldDuration: 8 * time.Second, StopTimeout: 200 * time.Millisecond,
	})
	a.Register(session.Worker{ID: "i-1", Lifetime: 7, Service: "s", CPU: 16_000, MemMB: 1000})
	a.activeListed, a.runsListed, a.token = true, true, 1000
	a.clock = workerClock{readMs: 1000, sentAt: boottime.Now(), receivedAt: time.Now()}
	return a
}

// newConnPair returns the two ends of a new connection: first the end of the agent, then the end of the owner.
func newConnPair(t *testing.T) (*ownerconn.Conn, *session.Conn[session.ToMember, session.FromMember]) {
	x, y := net.Pipe()
	agent, owner := session.New[session.FromMember, session.ToMember](x), session.New[session.ToMember, session.FromMember](y)
	t.Cleanup(agent.Close)
	t.Cleanup(owner.Close)
	return agent, owner
}

// Guards against a task that runs twice after a takeover. A report sent to the new owner before OwnerConnected had omitted ends
// that were reported to the previous owner but not yet durable, so the new owner treated the task as lost.
func TestFirstReportToANewOwnerIsComplete(t *testing.T) {
	a := newTestAgent(nil)
	a.unackedEnds = []session.RunEnd{{Lifetime: 7, Seq: 1, Task: "j.0.0.0", Run: 1, Outcome: "done"}}
	previous, previousOwner := newConnPair(t)
	next, nextOwner := newConnPair(t)
	a.lastCommandSeq = 500
	for _, c := range []struct {
		agent *ownerconn.Conn
		owner *session.Conn[session.ToMember, session.FromMember]
	}{{previous, previousOwner}, {next, nextOwner}} {
		a.mu.Lock()
		a.sendReport(c.agent, false)
		a.mu.Unlock()
		m, err := c.owner.Receive()
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, m.Ends, qt.HasLen, 1)
		qt.Check(t, m.RunsComplete, qt.IsTrue)
		qt.Check(t, m.AckSeq, qt.Equals, int64(0), qt.Commentf("commands of another connection do not count"))
	}
}

// Guards against reports that repeat what the owner knows: the owner of a large fleet spends most of its time on them. A report
// without an end, a refusal or a change of the worker is sent only if it lists all runs.
func TestReportsWithoutNewsAreNotSent(t *testing.T) {
	a := newTestAgent(nil)
	conn, owner := newConnPair(t)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sendReport(conn, false) // complete, because it is the first
	a.sendReport(conn, false) // nothing new
	a.unackedEnds = []session.RunEnd{{Lifetime: 7, Seq: 1, Task: "j.0.0.0", Run: 1, Outcome: "done"}}
	a.sendReport(conn, false) // an end
	draining := *a.worker
	draining.Draining = true
	a.worker = &draining
	a.sendReport(conn, false) // a change of the worker
	a.sendReport(conn, true)  // all runs
	var got []session.FromMember
	for range 4 {
		m, err := owner.Receive()
		qt.Assert(t, err, qt.IsNil)
		got = append(got, m)
	}
	qt.Check(t, got[0].RunsComplete && got[0].Worker != nil, qt.IsTrue)
	qt.Check(t, got[1].Ends, qt.HasLen, 1)
	qt.Check(t, got[1].Worker, qt.IsNil)
	qt.Check(t, got[2].Worker.Draining, qt.IsTrue)
	qt.Check(t, got[3].RunsComplete && got[3].Worker == nil, qt.IsTrue)
}

// Guards against reports of a fleet that grow with its size, and against an agent that is silent for so long that its connection
// counts as lost.
func TestListReportIntervalGrowsWithTheFleet(t *testing.T) {
	qt.Check(t, listReportInterval(0), qt.Equals, minListReportInterval)
	qt.Check(t, listReportInterval(80), qt.Equals, minListReportInterval)
	for _, agents := range []int{240, 350} {
		rate := float64(agents) / listReportInterval(agents).Seconds()
		qt.Check(t, rate <= maxListReportsPerSecond+1, qt.IsTrue, qt.Commentf("%d agents send %.0f reports a second", agents, rate))
	}
	qt.Check(t, listReportInterval(31_000)+reportInterval < session.IdleTimeout, qt.IsTrue)
}
