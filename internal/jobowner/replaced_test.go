package jobowner

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bamboofork/internal/election"
	"bamboofork/internal/network"
	"bamboofork/internal/ownerconn"
	"bamboofork/internal/session"
	"bamboofork/internal/store"
	"bamboofork/internal/store/memstore"
)

// Guards against an owner that acts on after it was replaced. An owner that cannot reach the store learns of its successor only
// from the members, which answer with the newer epoch; before, it connected to all of them again without an end.
func TestReplacedOwnerWithoutStoreAccessEndsItsTerm(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	addr := listener.Addr().String()
	qt.Assert(t, listener.Close(), qt.IsNil)
	follower := &ownerconn.Follower{Name: "front-0", Incarnation: "front-0-1", Log: zerolog.Nop(),
		OwnerConnected: func(*ownerconn.Conn) {}, HandleMessage: func(*ownerconn.Conn, *session.ToMember) {}}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	listenDone := make(chan error, 1)
	go func() { listenDone <- follower.Listen(ctx, network.TCP, addr) }()

	engine := memstore.New()
	faulty := memstore.NewFaulty(engine, 1)
	o := newTestOwner(t, faulty)
	announcement, err := json.Marshal(Member{Name: "front-0", Addr: addr})
	qt.Assert(t, err, qt.IsNil)
	_, err = engine.CompareAndSwap(ctx, MemberPrefix+"front-0", 0, announcement, store.LeaseID(0))
	qt.Assert(t, err, qt.IsNil)
	ended := make(chan error, 1)
	go func() { ended <- o.Run(ctx) }()
	for follower.Conn() == nil {
		time.Sleep(time.Millisecond)
	}

	faulty.SetFaults(memstore.Faults{Down: true})
	successor, err := session.Dial[session.ToMember, session.FromMember](ctx, network.TCP, addr)
	qt.Assert(t, err, qt.IsNil)
	defer successor.Close()
	successor.Send(session.ToMember{Epoch: o.epoch + 1, Owner: "host-1", LeaseValid: true})
	select {
	case err := <-ended:
		qt.Check(t, err, qt.ErrorIs, election.ErrTaken)
	case <-time.After(3 * time.Second):
		t.Fatal("the replaced owner goes on")
	}
	cancel()
	qt.Check(t, <-listenDone, qt.IsNil)
}

// Guards against a malformed message that ends the owner's process: requests without a job, without a queue or with a job that no
// owner could recover are answered or ignored.
func TestMalformedRequestsAreAnswered(t *testing.T) {
	o := newTestOwner(t, memstore.New())
	localEnd, remoteEnd := net.Pipe()
	c := session.New[session.ToMember, session.FromMember](localEnd)
	peer := session.New[session.FromMember, session.ToMember](remoteEnd)
	defer c.Close()
	defer peer.Close()
	member := &memberView{Member: Member{Name: "front-0"}, conn: c}
	endless := submission("dddddddddddddddd")
	endless.Spec.Steps[0].Count = -1
	requests := []session.Request{
		{ID: 1, Verb: session.VerbSubmit, JobID: "dddddddddddddddd"}, *endless, {ID: 3, Verb: session.VerbPending},
		{ID: 4, Verb: session.VerbGet}, {ID: 5, Verb: session.VerbCancel}, {ID: 6, Verb: "other"},
	}
	requests[1].ID = 2
	o.mu.Lock()
	o.handleMessage(member, &session.FromMember{Requests: requests})
	o.mu.Unlock()
	for range 5 {
		msg, err := peer.Receive()
		qt.Assert(t, err, qt.IsNil)
		reply := msg.Replies[0]
		if reply.RequestID <= 2 {
			qt.Check(t, reply.Code, qt.Equals, session.CodeRejected, qt.Commentf("request %d", reply.RequestID))
		}
	}
	qt.Check(t, o.jobsState.Jobs, qt.HasLen, 0)
}
