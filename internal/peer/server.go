package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"bamboofork/internal/events"
)

// Limits of a server.
const (
	maxServed    = 4096 // connections at once; more are closed at once
	acceptPause  = 50 * time.Millisecond
	stopPatience = time.Second // for calls in flight when the server stops
)

// Server accepts connections of other processes. mu guards conns.
type Server struct {
	rpc *rpc.Server
	log zerolog.Logger

	mu    sync.Mutex
	conns map[net.Conn]bool
	wg    sync.WaitGroup
}

// NewServer returns a server that answers probes as id.
func NewServer(id string, log zerolog.Logger) *Server {
	s := &Server{rpc: rpc.NewServer(), log: log, conns: map[net.Conn]bool{}}
	if err := s.rpc.RegisterName("Peer", &pingService{id: id}); err != nil {
		panic(err) // the method set is fixed at compile time
	}
	return s
}

// Register adds the exported methods of receiver under the name.
func (s *Server) Register(name string, receiver any) error { return s.rpc.RegisterName(name, receiver) }

// Serve accepts connections until ctx ends; calls in flight then get stopPatience to be answered. A failure to accept
// that may pass, such as a lack of file descriptors, is tried again.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { l.Close(); s.stopReading() })
	defer stop()
	for {
		conn, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				conn.Close()
			}
			s.finish()
			return nil
		case errors.Is(err, net.ErrClosed):
			s.closeAll() // without a listener the process is gone for others, so it must not answer old connections
			return err
		case err != nil:
			time.Sleep(acceptPause)
			continue
		}
		if s.track(conn) {
			go s.serveConn(ctx, conn)
		}
	}
}

func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= maxServed {
		c.Close()
		return false
	}
	s.conns[c] = true
	s.wg.Add(1)
	return true
}

func (s *Server) untrack(c net.Conn) {
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.wg.Done()
}

// stopReading makes every connection stop before its next request; net/rpc then waits for the calls in flight.
func (s *Server) stopReading() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.SetReadDeadline(time.Unix(1, 0)) //nolint:errcheck // a closed connection has stopped already
	}
}

func (s *Server) finish() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.wg.Wait()
	}()
	deadline := time.After(stopPatience)
	for {
		select {
		case <-done:
			return
		case <-deadline:
			s.closeAll()
			return
		case <-time.After(acceptPause):
			s.stopReading() // a connection may have set its next deadline in between
		}
	}
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	defer s.untrack(conn)
	if ctx.Err() != nil {
		return
	}
	if err := acceptHandshake(conn); err != nil {
		events.PeerRefused.Log(&s.log).Str("remote", conn.RemoteAddr().String()).Err(err).Send()
		return
	}
	s.rpc.ServeCodec(serverCodec{newGobConn(conn)})
}
