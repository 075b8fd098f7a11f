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

// Guards against reordered or truncated messages when the writer combines many messages in one batch.
func TestMessagesArriveInOrder(t *testing.T) {
	localEnd, remoteEnd := net.Pipe()
	sender := session.New[session.ToMember, session.FromMember](localEnd)
	var receiver *conn = session.New[session.FromMember, session.ToMember](remoteEnd)
	defer sender.Close()
	defer receiver.Close()
	go func() {
		for i := int64(1); i <= 200; i++ {
			sender.Send(session.ToMember{Seq: i, Starts: []session.Start{{Task: strings.Repeat("x", int(i)*20)}}})
		}
	}()
	for i := int64(1); i <= 200; i++ {
		m, err := receiver.Receive()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, m.Seq, qt.Equals, i)
		qt.Assert(t, m.Starts[0].Task, qt.HasLen, int(i)*20)
	}
}

// Guards against a connection that counts as alive although the peer has stopped sending without a reset.
func TestReceiveFailsAfterIdleTimeout(t *testing.T) {
	localEnd, remoteEnd := net.Pipe()
	defer remoteEnd.Close()
	c := session.New[session.ToMember, session.FromMember](localEnd)
	defer c.Close()
	start := time.Now()
	_, err := c.Receive()
	qt.Check(t, err, qt.IsNotNil)
	qt.Check(t, time.Since(start) >= session.IdleTimeout, qt.IsTrue)
}

// Guards against a peer that exhausts the memory by announcing a very large frame.
func TestOversizedFrameIsRejected(t *testing.T) {
	localEnd, remoteEnd := net.Pipe()
	defer remoteEnd.Close()
	c := session.New[session.ToMember, session.FromMember](localEnd)
	defer c.Close()
	go remoteEnd.Write([]byte{0xff, 0xff, 0xff, 0xff})
	_, err := c.Receive()
	qt.Assert(t, err, qt.IsNotNil)
	qt.Check(t, strings.Contains(err.Error(), "frame of"), qt.IsTrue, qt.Commentf("%v", err))
}

// Guards against a write queue that grows without limit because the peer does not read.
func TestSlowReaderIsDisconnected(t *testing.T) {
	localEnd, remoteEnd := net.Pipe()
	defer remoteEnd.Close()
	c := session.New[session.ToMember, session.FromMember](localEnd)
	defer c.Close()
	sent := 0
	for c.Send(session.ToMember{}) {
		sent++
		qt.Assert(t, sent < 10_000, qt.IsTrue)
	}
}
