package jobfront

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bamboofork/internal/network"
	"bamboofork/internal/ownerconn"
	"bamboofork/internal/session"
	"bamboofork/internal/telemetry"
)

// fakeOwner is the owner's end of a connection to the front under test.
type fakeOwner struct {
	t    *testing.T
	conn *session.Conn[session.ToMember, session.FromMember]
}

// newFront returns a front that accepts owners until the test ends, and a function that connects an owner with the epoch and waits
// until the front follows it.
func newFront(t *testing.T) (*Front, func(epoch int64) *fakeOwner) {
	// Outgoing connections come from 127.0.0.1, so none can take the port before the follower listens on it.
	listener, err := net.Listen("tcp", "127.77.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	addr := listener.Addr().String()
	qt.Assert(t, listener.Close(), qt.IsNil)
	front := &Front{Log: zerolog.Nop(), Metrics: telemetry.New()}
	front.Follower = &ownerconn.Follower{Name: "entry", Log: zerolog.Nop(), OwnerConnected: front.OwnerConnected, HandleMessage: front.HandleMessage}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- front.Follower.Listen(ctx, network.TCP, addr) }()
	t.Cleanup(func() {
		cancel()
		qt.Check(t, <-done, qt.IsNil)
	})
	return front, func(epoch int64) *fakeOwner {
		var owner *fakeOwner
		for end := time.Now().Add(10 * time.Second); owner == nil; time.Sleep(10 * time.Millisecond) {
			conn, err := session.Dial[session.ToMember, session.FromMember](context.Background(), network.TCP, addr)
			if err == nil {
				owner = &fakeOwner{t: t, conn: conn}
			}
			qt.Assert(t, time.Now().Before(end), qt.IsTrue)
		}
		t.Cleanup(owner.conn.Close)
		owner.conn.Send(session.ToMember{Epoch: epoch, Owner: "owner", LeaseValid: true})
		for end := time.Now().Add(10 * time.Second); front.Follower.OwnerEpoch() != epoch; time.Sleep(time.Millisecond) {
			qt.Assert(t, time.Now().Before(end), qt.IsTrue)
		}
		return owner
	}
}

// awaitRequest returns the next request that the owner receives.
func (o *fakeOwner) awaitRequest() session.Request {
	for {
		o.conn.Send(session.ToMember{LeaseValid: true}) // keeps the connection alive
		msg, err := o.conn.Receive()
		qt.Assert(o.t, err, qt.IsNil)
		if len(msg.Requests) > 0 {
			return msg.Requests[0]
		}
	}
}

// Guards against a submission that is reported as not accepted although the owner to which it was sent last accepts it: the refusal
// is that of an earlier owner and arrives late. A reply of an earlier owner that the job is durable still counts.
func TestRefusalOfAnEarlierOwnerIsNoReply(t *testing.T) {
	for name, test := range map[string]struct {
		earlier, last session.Code
		want          Outcome
	}{
		"rejected, then accepted": {session.CodeRejected, session.CodeOK, Done},
		"unknown, then accepted":  {session.CodeUnknown, session.CodeOK, Done},
		"rejected by both":        {session.CodeRejected, session.CodeRejected, NotAccepted},
		"accepted by the earlier": {session.CodeOK, session.CodeRejected, Done},
	} {
		t.Run(name, func(t *testing.T) {
			front, connect := newFront(t)
			earlier := connect(1)
			earlierConn := front.Follower.Conn()
			results := make(chan Result, 1)
			go func() {
				result, _ := front.sendUntilReply(t.Context(), &session.Request{Verb: session.VerbSubmit, JobID: "j"}, time.Minute, time.Minute)
				results <- result
			}()
			request := earlier.awaitRequest()
			last := connect(2)
			qt.Assert(t, last.awaitRequest().ID, qt.Equals, request.ID)
			// The message was received before the connection was closed and is handled only now.
			front.HandleMessage(earlierConn, &session.ToMember{Replies: []session.Reply{{RequestID: request.ID, Code: test.earlier}}})
			time.Sleep(2 * connPollInterval)
			last.conn.Send(session.ToMember{Replies: []session.Reply{{RequestID: request.ID, Code: test.last}}})
			qt.Check(t, (<-results).Outcome, qt.Equals, test.want)
		})
	}
}

// Guards against a request that is sent to the owner when its answer is already due, so that its outcome would be unclear.
func TestRequestWithoutTimeLeftIsNotSent(t *testing.T) {
	front, connect := newFront(t)
	connect(1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	result, attempts := front.sendUntilReply(ctx, &session.Request{Verb: session.VerbSubmit, JobID: "j"}, time.Minute, time.Minute)
	qt.Check(t, attempts, qt.Equals, 0)
	qt.Check(t, result.Outcome, qt.Equals, NotAccepted)
}

// Guards against a request that ends every process which can own the jobs, because it is sent to each successor of the owners that it has
// ended. A connection to the same owner that was lost counts once.
func TestRequestThatEndsItsReceiverReachesFewOwners(t *testing.T) {
	front, connect := newFront(t)
	results := make(chan Result, 1)
	owner := connect(1)
	go func() {
		result, _ := front.sendUntilReply(t.Context(), &session.Request{Verb: session.VerbSubmit, JobID: "j"}, time.Minute, time.Minute)
		results <- result
	}()
	owner.awaitRequest()
	owner.conn.Close()
	for epoch := int64(1); epoch <= maxOwnersPerRequest; epoch++ {
		owner = connect(epoch)
		owner.awaitRequest()
		owner.conn.Close() // as if the request had ended the process
	}
	connect(maxOwnersPerRequest + 1)
	qt.Check(t, (<-results).Outcome, qt.Equals, Unclear)
}
