package intake_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/intake"
)

const (
	stall     = 5 * time.Second
	minPerSec = 4 << 10
	bodySize  = 256 << 10
)

// load is a budget with the bodies of clients. interrupted counts the interruptions of each body.
type load struct {
	*intake.Budget
	now         time.Duration
	interrupted map[*intake.Body]int
}

func newLoad(limit int64) *load {
	return &load{Budget: intake.NewBudget(limit, stall, minPerSec), interrupted: map[*intake.Body]int{}}
}

func (l *load) begin(address string) *intake.Body {
	var body *intake.Body
	body = l.Begin(address, l.now, func() { l.interrupted[body]++ })
	return body
}

// send lets the body arrive in pieces and returns the cause of its end, if it has ended.
func (l *load) send(body *intake.Body, size, piece int64) intake.Cause {
	for sent := int64(0); sent < size; sent += piece {
		if cause := body.Receive(min(piece, size-sent), false, l.now); cause != intake.NotEnded {
			return cause
		}
	}
	return intake.NotEnded
}

func (l *load) used() int64 { return l.Usage(l.now).UsedBytes }

// Load: large bodies that stop short of their end, whole or in pieces. The bytes stay within the budget, and the bodies that have waited for
// longest go first.
func TestCrowdOfUnfinishedBodiesStaysWithinTheBudget(t *testing.T) {
	for _, piece := range []int64{16, 1 << 10, 64 << 10, bodySize} {
		l := newLoad(4 << 20)
		var bodies []*intake.Body
		for range 100 {
			body := l.begin("10.0.0.1")
			qt.Check(t, l.send(body, bodySize-8, piece), qt.Equals, intake.NotEnded, qt.Commentf("the newest body goes first"))
			qt.Check(t, l.used() <= 4<<20, qt.IsTrue)
			bodies = append(bodies, body)
			l.now += time.Millisecond
		}
		ended := 0
		for _, n := range l.interrupted {
			qt.Check(t, n, qt.Equals, 1)
			ended++
		}
		qt.Check(t, ended >= 100-16 && ended < 100, qt.IsTrue, qt.Commentf("%d", ended))
		qt.Check(t, l.interrupted[bodies[0]], qt.Equals, 1)
		for _, body := range bodies {
			body.End()
			body.End()
		}
		qt.Check(t, l.Usage(l.now), qt.Equals, intake.Usage{LimitBytes: 4 << 20, Refused: int64(ended)})
	}
}

// Load: the same crowd, and an ordinary caller with a small body. It needs no room of the budget and is never the one that goes.
func TestSmallBodiesAlwaysFindRoom(t *testing.T) {
	l := newLoad(1 << 20)
	small := l.begin("10.0.0.1")
	for range 50 {
		l.send(l.begin("10.0.0.1"), bodySize-8, bodySize)
		l.now += 10 * time.Millisecond
		qt.Check(t, small.Receive(10, false, l.now), qt.Equals, intake.NotEnded)
	}
	qt.Check(t, small.Receive(10, true, l.now), qt.Equals, intake.NotEnded)
	qt.Check(t, small.Resize(300, l.now), qt.Equals, intake.NotEnded)
	qt.Check(t, l.interrupted[small], qt.Equals, 0)
}

// Load: one client that fills the budget with fresh bodies, and callers elsewhere with older ones. Only the bodies of the client go.
func TestOneAddressDoesNotTakeTheBudgetOfOthers(t *testing.T) {
	l := newLoad(4 << 20)
	other := l.begin("10.0.0.2")
	l.send(other, bodySize-8, 1<<10)
	l.now += 3 * time.Second
	for range 100 {
		l.send(l.begin("10.0.0.1"), bodySize-8, 16<<10)
	}
	qt.Check(t, l.interrupted[other], qt.Equals, 0)
	qt.Check(t, len(l.interrupted) > 80, qt.IsTrue)
}

// Load: complete jobs that wait for the owner, and unfinished bodies. A body that has arrived whole is never interrupted.
func TestWholeBodiesAreNotInterrupted(t *testing.T) {
	l := newLoad(1 << 20)
	whole := l.begin("10.0.0.1")
	qt.Check(t, whole.Receive(bodySize, true, l.now), qt.Equals, intake.NotEnded)
	l.now += time.Minute
	for range 20 {
		l.send(l.begin("10.0.0.1"), bodySize-8, bodySize)
	}
	_, _ = l.EndStalled(l.now)
	qt.Check(t, l.interrupted[whole], qt.Equals, 0)
	qt.Check(t, whole.Resize(2*bodySize, l.now), qt.Equals, intake.NotEnded)
	// A job that is larger in memory than what is left is refused.
	second := l.begin("10.0.0.1")
	qt.Check(t, second.Receive(1000, true, l.now), qt.Equals, intake.NotEnded)
	qt.Check(t, second.Resize(1<<20, l.now), qt.Equals, intake.NoRoom)
	qt.Check(t, l.interrupted[second], qt.Equals, 0)
}

// Load: bodies that stop, and bodies that drip. A body of the maximum size over a link of 2 Mbit/s that 40 callers share is not given up.
func TestBodiesThatDoNotArriveAreGivenUp(t *testing.T) {
	l := newLoad(4 << 20)
	stopped, dripping, slow := l.begin("a"), l.begin("b"), l.begin("c")
	qt.Check(t, stopped.Receive(1000, false, l.now), qt.Equals, intake.NotEnded)
	const linkBytesPerS, callers = 2_000_000 / 8, 40
	for sent := 0; sent < bodySize-linkBytesPerS/callers; sent += linkBytesPerS / callers {
		l.now += time.Second
		slow.Receive(linkBytesPerS/callers, false, l.now)
		dripping.Receive(1, false, l.now)
		l.EndStalled(l.now)
	}
	qt.Check(t, l.interrupted, qt.DeepEquals, map[*intake.Body]int{stopped: 1, dripping: 1}, qt.Commentf("%v", l.now))
	qt.Check(t, stopped.Receive(1, false, l.now), qt.Equals, intake.Stalled)
	qt.Check(t, slow.Receive(1, true, l.now), qt.Equals, intake.NotEnded)
}

// Load: a body that nobody reads. What is discarded holds nothing, but it has to arrive.
func TestDiscardedBodiesHoldNothing(t *testing.T) {
	l := newLoad(64 << 10)
	body := l.begin("a")
	body.Receive(32<<10, false, l.now)
	body.Discard()
	qt.Check(t, l.send(body, bodySize, 1<<10), qt.Equals, intake.NotEnded)
	qt.Check(t, l.used(), qt.Equals, int64(0))
	l.EndStalled(l.now + stall + 1)
	qt.Check(t, l.interrupted[body], qt.Equals, 1)
}

// Load: more connections than descriptors. Connections without a request go first, the oldest of them; connections with one stay.
func TestConnectionsWithoutARequestGoFirst(t *testing.T) {
	connections := intake.NewConnections(4)
	var closed []string
	open := func(name, address string, now time.Duration) *intake.Connection {
		return connections.Open(address, now, func() { closed = append(closed, name) })
	}
	busy, old, kept, fresh := open("busy", "a", 0), open("old", "a", 1), open("kept", "b", 2), open("fresh", "a", 3)
	qt.Check(t, busy.Busy() && kept.Busy(), qt.IsTrue)
	kept.Idle(2)
	qt.Check(t, open("new", "a", 4).Busy(), qt.IsTrue)
	qt.Check(t, closed, qt.DeepEquals, []string{"old"})
	qt.Check(t, old.Busy(), qt.IsFalse, qt.Commentf("a request on a closed connection is not run"))
	// Address a has three of the four, so the connection of b stays although it has been idle for longer.
	open("newer", "a", 5).Busy()
	qt.Check(t, closed, qt.DeepEquals, []string{"old", "fresh"})
	open("newest", "a", 6).Busy()
	qt.Check(t, closed, qt.DeepEquals, []string{"old", "fresh", "kept"})
	qt.Check(t, open("refused", "a", 7), qt.IsNil)
	fresh.End()
	busy.End()
	qt.Check(t, open("accepted", "a", 8), qt.IsNotNil)
	count, closedCount := connections.Counts()
	qt.Check(t, count, qt.Equals, 4)
	qt.Check(t, closedCount, qt.Equals, int64(4))
}

// Load: as many connections as there may be, each with the first bytes of a small body. The one that has stopped for longest makes room for a
// new caller; a request that has arrived whole does not.
func TestConnectionsWhoseBodiesStopMakeRoom(t *testing.T) {
	connections := intake.NewConnections(3)
	var closed []string
	open := func(name string, now time.Duration) *intake.Connection {
		conn := connections.Open("a", now, func() { closed = append(closed, name) })
		qt.Assert(t, conn, qt.IsNotNil)
		qt.Check(t, conn.Busy(), qt.IsTrue)
		return conn
	}
	whole, first, second := open("whole", 0), open("first", 0), open("second", 0)
	qt.Check(t, whole.Receiving(false, 0), qt.IsTrue)
	qt.Check(t, first.Receiving(true, time.Second), qt.IsTrue)
	qt.Check(t, second.Receiving(true, 2*time.Second), qt.IsTrue)
	qt.Check(t, connections.Open("a", 1200*time.Millisecond, nil), qt.IsNil)
	open("new", 3*time.Second)
	qt.Check(t, closed, qt.DeepEquals, []string{"first"})
	qt.Check(t, first.Receiving(false, 4*time.Second), qt.IsFalse, qt.Commentf("the body that completes after all is not run"))
}

// Guards against derived limits that leave no descriptors for the store and the peers, or no memory for the process itself.
func TestDerivedLimitsLeaveRoom(t *testing.T) {
	for _, host := range []struct {
		memoryMB    int64
		descriptors int
	}{{64, 450}, {96, 450}, {152, 4096}, {184, 4100}, {284, 4100}, {536, 8192}} {
		limits := intake.LimitsFor(host.memoryMB<<20, host.descriptors)
		sockets := host.descriptors - 200
		sum := limits.CallerConnections + limits.PeerConnections + limits.ProbeConnections + limits.MetricsConnections
		qt.Check(t, sum <= sockets*9/10, qt.IsTrue, qt.Commentf("%+v: %d of %d sockets", host, sum, sockets))
		memory := limits.BodyBytes + int64(limits.CallerConnections)*28<<10
		qt.Check(t, memory <= host.memoryMB<<20/2, qt.IsTrue, qt.Commentf("%+v: %d bytes", host, memory))
	}
}

// Guards against changed or lost bytes of a body that arrives in any pieces, and against a body whose reading has failed.
func TestReadAll(t *testing.T) {
	for _, size := range []int{0, 1, 1023, 1024, 1025, 16 << 10, 40_000, bodySize} {
		want := []byte(strings.Repeat("abcdefg", size/7+1)[:size])
		for _, r := range []io.Reader{bytes.NewReader(want), iotest.HalfReader(bytes.NewReader(want)), iotest.DataErrReader(bytes.NewReader(want))} {
			received, err := intake.ReadAll(r)
			qt.Assert(t, err, qt.IsNil)
			received.Decode(func(body []byte) { qt.Check(t, bytes.Equal(body, want), qt.IsTrue, qt.Commentf("%d bytes", size)) })
		}
	}
	failure := errors.New("connection lost")
	_, err := intake.ReadAll(io.MultiReader(strings.NewReader(strings.Repeat("x", 50_000)), iotest.ErrReader(failure)))
	qt.Check(t, err, qt.Equals, failure)
}
