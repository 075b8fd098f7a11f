package session_test

import (
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/session"
)

type conn = session.Conn[session.FromMember, session.ToMember]

// Guards against reordered or truncated messages when many are written in one batch.
func TestMessagesArriveInOrder(t *testing.T) {
	a, b := net.Pipe()
	from := session.New[session.ToMember, session.FromMember](a)
	var to *conn = session.New[session.FromMember, session.ToMember](b)
	defer from.Close()
	defer to.Close()
	go func() {
		for i := int64(1); i <= 200; i++ {
			from.Send(session.ToMember{Seq: i, Starts: []session.Start{{Task: strings.Repeat("x", int(i)*20)}}})
		}
	}()
	for i := int64(1); i <= 200; i++ {
		m, err := to.Receive()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, m.Seq, qt.Equals, i)
		qt.Assert(t, m.Starts[0].Task, qt.HasLen, int(i)*20)
	}
}

// Guards against treating a connection as alive after the peer has stopped sending without a reset.
func TestSilenceEndsAConnection(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	c := session.New[session.ToMember, session.FromMember](a)
	defer c.Close()
	start := time.Now()
	_, err := c.Receive()
	qt.Check(t, err, qt.IsNotNil)
	qt.Check(t, time.Since(start) >= session.IdleTimeout, qt.IsTrue)
}

// Guards against a peer that announces a frame large enough to exhaust the memory.
func TestOversizedFrameIsRefused(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	c := session.New[session.ToMember, session.FromMember](a)
	defer c.Close()
	go b.Write([]byte{0xff, 0xff, 0xff, 0xff})
	_, err := c.Receive()
	qt.Assert(t, err, qt.IsNotNil)
	qt.Check(t, strings.Contains(err.Error(), "frame of"), qt.IsTrue, qt.Commentf("%v", err))
}

// Guards against an unbounded queue for a peer that does not read.
func TestSlowReaderIsDisconnected(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	c := session.New[session.ToMember, session.FromMember](a)
	defer c.Close()
	sent := 0
	for c.Send(session.ToMember{}) {
		sent++
		qt.Assert(t, sent < 10_000, qt.IsTrue)
	}
}
