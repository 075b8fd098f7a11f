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
	maxConns        = 4096                  // open at a time; further ones are closed as soon as they are accepted
	retryDelay      = 50 * time.Millisecond // after a failed accept, and between passes of drain
	shutdownTimeout = time.Second           // for calls in flight when the server stops
)

// Server accepts connections of other processes and serves their calls. mu guards conns.
type Server struct {
	rpc *rpc.Server
	log zerolog.Logger

	mu    sync.Mutex
	conns map[net.Conn]bool
	wg    sync.WaitGroup
}

// NewServer returns a server that replies to probes with the given process ID.
func NewServer(id string, log zerolog.Logger) *Server {
	s := &Server{rpc: rpc.NewServer(), log: log, conns: map[net.Conn]bool{}}
	if err := s.rpc.RegisterName("Peer", &pingService{id: id}); err != nil {
		panic(err) // the method set is fixed at compile time
	}
	return s
}

// Register makes the exported methods of receiver callable as "name.Method".
func (s *Server) Register(name string, receiver any) error { return s.rpc.RegisterName(name, receiver) }

// Serve accepts connections until ctx is done; calls in flight then have shutdownTimeout to finish. It retries after temporary
// accept errors, such as a lack of file descriptors.
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
			s.drain()
			return nil
		case errors.Is(err, net.ErrClosed):
			s.closeAll() // others regard a process without a listener as stopped, so it must not serve open connections
			return err
		case err != nil:
			time.Sleep(retryDelay)
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
	if len(s.conns) >= maxConns {
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

// stopReading makes every connection fail its next read; net/rpc then waits for the calls in flight.
func (s *Server) stopReading() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.SetReadDeadline(time.Unix(1, 0)) //nolint:errcheck // fails only on a connection that is already closed
	}
}

func (s *Server) drain() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.wg.Wait()
	}()
	deadline := time.After(shutdownTimeout)
	for {
		select {
		case <-done:
			return
		case <-deadline:
			s.closeAll()
			return
		case <-time.After(retryDelay):
			s.stopReading() // ReadRequestHeader may have set a new read deadline in the meantime
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
