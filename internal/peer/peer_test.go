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

type echoService struct{ unblock chan struct{} }

// Wait replies once unblock is closed.
func (s *echoService) Wait(args int, reply *int) error {
	<-s.unblock
	*reply = args
	return nil
}

// Now replies at once.
func (s *echoService) Now(args int, reply *int) error {
	*reply = args
	return nil
}

func startServer(t *testing.T) (addr string, service *echoService) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	service = &echoService{unblock: make(chan struct{})}
	server := NewServer("server", zerolog.Nop())
	qt.Assert(t, server.Register("Echo", service), qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		qt.Check(t, <-done, qt.IsNil)
	})
	return listener.Addr().String(), service
}

// The connection drops all data in one direction without an error. Guards against a call on it that blocks forever, and
// against reporting that call as not sent. Later calls must use a new connection.
func TestBlackholedConnectionIsReplaced(t *testing.T) {
	for name, direction := range map[string]faultnet.Direction{"requests": faultnet.ToServer, "answers": faultnet.ToClient} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, _ := startServer(t)
			relay, err := faultnet.NewRelay(addr, 1)
			qt.Assert(t, err, qt.IsNil)
			defer relay.Close()
			pool := NewPool("client", zerolog.Nop(), nil)
			defer pool.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			var reply int
			qt.Assert(t, pool.Call(ctx, relay.Addr(), "Echo.Now", 1, &reply), qt.IsNil)
			qt.Assert(t, relay.Blackhole(direction), qt.Equals, 1)
			startedAt := time.Now()
			qt.Assert(t, pool.Call(ctx, relay.Addr(), "Echo.Now", 2, &reply), qt.Equals, ErrOutcomeUnknown)
			t.Logf("detected after %s", time.Since(startedAt))
			qt.Assert(t, ctx.Err(), qt.IsNil) // the call was ended by the probe, not by its context
			for pool.Call(ctx, relay.Addr(), "Echo.Now", 3, &reply) != nil {
				qt.Assert(t, ctx.Err(), qt.IsNil)
			}
			qt.Assert(t, reply, qt.Equals, 3)
		})
	}
}

// The reply arrives after the context of the call has ended and Call has returned. Guards against a late reply that overwrites
// the caller's value. LateReplyCount must count the reply.
func TestLateReplyIsCountedAndDropped(t *testing.T) {
	addr, service := startServer(t)
	pool := NewPool("client", zerolog.Nop(), nil)
	defer pool.Close()
	var reply int
	qt.Assert(t, pool.Call(context.Background(), addr, "Echo.Now", 7, &reply), qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	qt.Assert(t, pool.Call(ctx, addr, "Echo.Wait", 9, &reply), qt.Equals, ErrOutcomeUnknown)
	close(service.unblock)
	for pool.LateReplyCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, reply, qt.Equals, 7)
}

// The clients send garbage, another protocol version, or nothing. Guards against a server that keeps such a connection open
// and against a server that stops serving valid clients afterwards.
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

// Guards against a server that keeps serving open connections after its listener has been closed. Another process can then
// listen on the same address, and clients would mistake the stopped process for the new one (found by bf-soak, seed 2).
func TestClosedListenerEndsConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := NewServer("server", zerolog.Nop())
	qt.Assert(t, server.Register("Echo", &echoService{}), qt.IsNil)
	done := make(chan error, 1)
	go func() { done <- server.Serve(context.Background(), listener) }()
	pool := NewPool("client", zerolog.Nop(), nil)
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var reply int
	qt.Assert(t, pool.Call(ctx, listener.Addr().String(), "Echo.Now", 1, &reply), qt.IsNil)
	listener.Close()
	qt.Assert(t, <-done, qt.IsNotNil)
	err = pool.Call(ctx, listener.Addr().String(), "Echo.Now", 2, &reply)
	qt.Assert(t, err, qt.IsNotNil)
}
