package session_test

import (
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/jobs"
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

// fullReport is a report with every kind of content.
func fullReport() session.FromMember {
	return session.FromMember{
		Name: "host-1", Incarnation: "host-1-a", AcceptsBinary: true, Agent: true, ReportSeq: 7, AckSeq: 3, RunsComplete: true, PollSeq: 9,
		Worker:  &session.Worker{ID: "w", Lifetime: 1769359541450, Service: "s", CPU: 64000, MemMB: 256000, Labels: []string{"a", "r1-3"}},
		Runs:    []session.Run{{Task: "8215c051b86e18f1.0.0.12", Run: 2, Started: true, Checkpoint: "00000bb87a21d94b", ProgressPercent: 41, RecentUsage: -1}},
		Ends:    []session.RunEnd{{Lifetime: 1769359541450, Seq: 58, Task: "8215c051b86e18f1.0.0.9", Run: 1, Outcome: jobs.EndDone}},
		Refused: []session.Refusal{{Task: "t", Run: 1, Reason: "no room"}},
		Requests: []session.Request{{ID: 5, Verb: session.VerbSubmit, JobID: "8215c051b86e18f1", RemainingMs: 2400,
			Queue: &jobs.Queue{Name: "q", Service: "s", Stretch: 1.5, TargetMs: 300},
			Spec:  &jobs.Spec{Payload: "text", Steps: []jobs.Step{{Count: 3, CPU: 2800}, {Count: 1, After: []int{0}, Image: "i", BestEffort: true}}}}},
	}
}

// connPair returns both ends of a connection.
func connPair(t *testing.T) (*session.Conn[session.ToMember, session.FromMember], *conn) {
	localEnd, remoteEnd := net.Pipe()
	owner, member := session.New[session.ToMember, session.FromMember](localEnd), session.New[session.FromMember, session.ToMember](remoteEnd)
	t.Cleanup(owner.Close)
	t.Cleanup(member.Close)
	return owner, member
}

// Guards against content that is lost in the binary form, or in the change from JSON to the binary form within a connection.
func TestMessagesKeepTheirContentInBothForms(t *testing.T) {
	owner, member := connPair(t)
	want := fullReport()
	for range 3 { // the first message of each side is JSON, the later ones are binary
		qt.Assert(t, member.Send(want), qt.IsTrue)
		got, err := owner.Receive()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.DeepEquals, want)
		command := session.ToMember{Epoch: 4, AcceptsBinary: true, LeaseValid: true, Starts: []session.Start{{Task: "t", Run: 1, CPU: 7000, BestEffort: true}}}
		qt.Assert(t, owner.Send(command), qt.IsTrue)
		answer, err := member.Receive()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, answer, qt.DeepEquals, command)
	}
}

// Guards against binary messages to a process of an older version, which decodes JSON only.
func TestOlderPeerGetsJSON(t *testing.T) {
	localEnd, remoteEnd := net.Pipe()
	owner := session.New[session.ToMember, session.FromMember](localEnd)
	defer owner.Close()
	defer remoteEnd.Close()
	hello := []byte(`{"nm":"host-1","ag":true}`)
	go remoteEnd.Write(append([]byte{0, 0, 0, byte(len(hello))}, hello...))
	_, err := owner.Receive()
	qt.Assert(t, err, qt.IsNil)
	owner.Send(session.ToMember{Epoch: 4, AcceptsBinary: true})
	frame := make([]byte, 5)
	_, err = io.ReadFull(remoteEnd, frame)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, frame[4], qt.Equals, byte('{'))
}

// Guards against a malformed message that ends the process: any bytes give a message or an error, within bounded memory.
func TestMalformedMessagesGiveErrors(t *testing.T) {
	report := fullReport()
	valid, err := report.MarshalMsg(nil)
	qt.Assert(t, err, qt.IsNil)
	rng := rand.New(rand.NewPCG(3, 3))
	for range 20_000 {
		body := slices.Clone(valid[:1+rng.IntN(len(valid))])
		for range rng.IntN(4) {
			body[rng.IntN(len(body))] = byte(rng.Uint32())
		}
		var decoded session.FromMember
		if _, err := decoded.UnmarshalMsg(body); err == nil {
			continue
		}
		var command session.ToMember
		_, _ = command.UnmarshalMsg(body) // must not panic
	}
	huge := []byte{0x81, 0xa2, 'r', 's', 0xdd, 0xff, 0xff, 0xff, 0xff} // a list of runs that claims 4 billion entries
	var decoded session.FromMember
	_, err = decoded.UnmarshalMsg(huge)
	qt.Check(t, err, qt.IsNotNil)
}

// Guards against a stranger who takes memory with the first message of a connection, and against an owner that cannot send large messages
// after it.
func TestFirstMessageOfAnOwnerIsSmall(t *testing.T) {
	for _, first := range []session.ToMember{{Epoch: 1, Owner: "host-0"}, {Owner: strings.Repeat("x", 5000)}} {
		localEnd, remoteEnd := net.Pipe()
		owner := session.New[session.ToMember, session.FromMember](localEnd)
		var member *conn = session.New[session.FromMember, session.ToMember](remoteEnd)
		owner.Send(first)
		owner.Send(session.ToMember{Starts: []session.Start{{Task: strings.Repeat("x", 300_000)}}})
		_, err := member.Receive()
		if len(first.Owner) > 4096 {
			qt.Check(t, err, qt.ErrorMatches, "first frame of .* exceeds the limit")
		} else if qt.Check(t, err, qt.IsNil) {
			second, err := member.Receive()
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, second.Starts[0].Task, qt.HasLen, 300_000)
		}
		owner.Close()
		member.Close()
	}
}
