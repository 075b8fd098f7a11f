package peer

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bamboofork/internal/faultnet"
)

type echoService struct{ block chan struct{} }

// Wait replies once the service's channel is closed.
func (s *echoService) Wait(args int, reply *int) error {
	<-s.block
	*reply = args
	return nil
}

// Now replies at once.
func (s *echoService) Now(args int, reply *int) error {
	*reply = args
	return nil
}

func startServer(t *testing.T) (addr string, svc *echoService) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	svc = &echoService{block: make(chan struct{})}
	s := NewServer("server", zerolog.Nop())
	qt.Assert(t, s.Register("Echo", svc), qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		qt.Check(t, <-done, qt.IsNil)
	})
	return l.Addr().String(), svc
}

// Guards against calls that block forever, or are reported as not sent, when a connection silently drops all data in one
// direction.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for name, d := range map[string]faultnet.Direction{"requests": faultnet.ToServer, "answers": faultnet.ToClient} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, _ := startServer(t)
			relay, err := faultnet.New(addr, 1)
			qt.Assert(t, err, qt.IsNil)
			defer relay.Close()
			pool := NewPool("client", zerolog.Nop(), nil)
			defer pool.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			var reply int
			qt.Assert(t, pool.Call(ctx, relay.Addr(), "Echo.Now", 1, &reply), qt.IsNil)
			qt.Assert(t, relay.Blackhole(d), qt.Equals, 1)
			started := time.Now()
			qt.Assert(t, pool.Call(ctx, relay.Addr(), "Echo.Now", 2, &reply), qt.Equals, ErrOutcomeUnknown)
			t.Logf("detected after %s", time.Since(started))
			qt.Assert(t, ctx.Err(), qt.IsNil) // the call was ended by the probe, not by its context
			for pool.Call(ctx, relay.Addr(), "Echo.Now", 3, &reply) != nil {
				qt.Assert(t, ctx.Err(), qt.IsNil)
			}
			qt.Assert(t, reply, qt.Equals, 3)
		})
	}
}

// Guards against a reply that arrives after Call has returned and overwrites the caller's value, and against such a reply
// that is not counted.
func TestLateReplyIsCountedAndDropped(t *testing.T) {
	addr, svc := startServer(t)
	pool := NewPool("client", zerolog.Nop(), nil)
	defer pool.Close()
	var reply int
	qt.Assert(t, pool.Call(context.Background(), addr, "Echo.Now", 7, &reply), qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	qt.Assert(t, pool.Call(ctx, addr, "Echo.Wait", 9, &reply), qt.Equals, ErrOutcomeUnknown)
	close(svc.block)
	for pool.LateReplies() == 0 {
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, reply, qt.Equals, 7)
}

// Guards against a server that fails, or keeps a connection open, on garbage, another protocol version, or a connection
// that sends nothing.
func TestHandshakeRejectsInvalidClients(t *testing.T) {
	addr, _ := startServer(t)
	for name, input := range map[string]string{
		"another version": "bamboofork/0\n", "http": "GET / HTTP/1.1\r\n\r\n", "long": string(make([]byte, 4096)), "nothing": "",
		"garbage after the handshake": ProtocolVersion + "\n\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff",
	} {
		conn, err := net.Dial("tcp", addr)
		qt.Assert(t, err, qt.IsNil)
		_, err = io.WriteString(conn, input)
		qt.Assert(t, err, qt.IsNil, qt.Commentf(name))
		qt.Assert(t, conn.SetReadDeadline(time.Now().Add(30*time.Second)), qt.IsNil)
		_, err = io.Copy(io.Discard, conn)
		var netErr net.Error
		if ok := errorsAs(err, &netErr); ok {
			qt.Check(t, netErr.Timeout(), qt.IsFalse, qt.Commentf("%s: the connection stays open", name))
		}
		conn.Close()
	}
	pool := NewPool("client", zerolog.Nop(), nil)
	defer pool.Close()
	var reply int
	qt.Assert(t, pool.Call(context.Background(), addr, "Echo.Now", 4, &reply), qt.IsNil)
}

// Guards against a server that keeps serving open connections after its listener was closed. Other processes would
// mistake the stopped process for its replacement at the same address (found by bf-soak, seed 2).
func TestClosedListenerEndsConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := NewServer("server", zerolog.Nop())
	qt.Assert(t, s.Register("Echo", &echoService{}), qt.IsNil)
	done := make(chan error, 1)
	go func() { done <- s.Serve(context.Background(), l) }()
	pool := NewPool("client", zerolog.Nop(), nil)
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var reply int
	qt.Assert(t, pool.Call(ctx, l.Addr().String(), "Echo.Now", 1, &reply), qt.IsNil)
	l.Close()
	qt.Assert(t, <-done, qt.IsNotNil)
	err = pool.Call(ctx, l.Addr().String(), "Echo.Now", 2, &reply)
	qt.Assert(t, err, qt.IsNotNil)
}
