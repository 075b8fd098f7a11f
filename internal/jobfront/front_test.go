package jobfront

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bamboofork/internal/jobs"
	"bamboofork/internal/ownerconn"
	"bamboofork/internal/queues"
	"bamboofork/internal/session"
	"bamboofork/internal/telemetry"
)

// pipeNetwork connects every caller of Dial with its only listener.
type pipeNetwork struct {
	accepted  chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func (n *pipeNetwork) Listen(string) (net.Listener, error) { return n, nil }

func (n *pipeNetwork) Dial(context.Context, string) (net.Conn, error) {
	local, remote := net.Pipe()
	n.accepted <- remote
	return local, nil
}

func (n *pipeNetwork) Accept() (net.Conn, error) {
	select {
	case c := <-n.accepted:
		return c, nil
	case <-n.closed:
		return nil, net.ErrClosed
	}
}

func (n *pipeNetwork) Close() error {
	n.closeOnce.Do(func() { close(n.closed) })
	return nil
}

func (n *pipeNetwork) Addr() net.Addr { return &net.TCPAddr{} }

type ownerSession = session.Conn[session.ToMember, session.FromMember]

// connectOwner connects an owner with the epoch to the entry.
func connectOwner(t *testing.T, n *pipeNetwork, epoch int64) *ownerSession {
	c, err := session.Dial[session.ToMember, session.FromMember](t.Context(), n, "")
	qt.Assert(t, err, qt.IsNil)
	c.Send(session.ToMember{Epoch: epoch, LeaseValid: true})
	return c
}

// receiveRequest returns the next request that the entry sends to the owner.
func receiveRequest(t *testing.T, c *ownerSession) session.Request {
	for {
		msg, err := c.Receive()
		qt.Assert(t, err, qt.IsNil)
		if len(msg.Requests) > 0 {
			return msg.Requests[0]
		}
	}
}

// Guards against an entry that answers that a job was not accepted because the previous owner has rejected it, although the request
// was sent again to the successor, which accepts it.
func TestRejectionByThePreviousOwnerIsNotTheAnswerOfItsSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n := &pipeNetwork{accepted: make(chan net.Conn), closed: make(chan struct{})}
		front := &Front{Log: zerolog.Nop(), Metrics: telemetry.New(), Manifest: &queues.CurrentManifest{}}
		front.Manifest.SetIfNewer((&queues.Manifest{Version: 1, Routes: []queues.Route{{Host: "h", Prefix: "/q/",
			Queue: jobs.Queue{Name: "q", Service: "s"}}}}).BuildIndex())
		front.Follower = &ownerconn.Follower{Name: "front-0", Log: zerolog.Nop(), OwnerConnected: front.OwnerConnected, HandleMessage: front.HandleMessage}
		go front.Follower.Listen(ctx, n, "") //nolint:errcheck // the listener is closed at the end

		previous := connectOwner(t, n, 1)
		results := make(chan Result, 1)
		go func() {
			results <- front.Serve(ctx, Call{Host: "h", Path: "/q/00000000000000aa", Action: Submit, Body: func(int64, bool) (*jobs.Spec, error) {
				return &jobs.Spec{Steps: []jobs.Step{{Count: 1}}}, nil
			}})
		}()
		request := receiveRequest(t, previous)
		previousConn := front.Follower.Conn()

		successor := connectOwner(t, n, 2)
		qt.Assert(t, receiveRequest(t, successor).ID, qt.Equals, request.ID)
		// A message that was received before the connection was closed.
		front.HandleMessage(previousConn, &session.ToMember{Replies: []session.Reply{{RequestID: request.ID, Code: session.CodeRejected}}})
		time.Sleep(connPollInterval)
		successor.Send(session.ToMember{LeaseValid: true, Replies: []session.Reply{{RequestID: request.ID, Code: session.CodeOK, State: jobs.Queued}}})
		qt.Check(t, (<-results).Outcome, qt.Equals, Done)
		previous.Close()
		successor.Close()
	})
}
