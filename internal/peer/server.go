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
	maxOpenConns    = 4096                  // further connections are closed as soon as they are accepted
	retryDelay      = 50 * time.Millisecond // delay after a failed accept, and between two calls of failReads in waitForCalls
	shutdownTimeout = time.Second           // time for calls in flight to finish when the server stops
)

// Server accepts connections of other processes and serves their calls. mu guards openConns.
type Server struct {
	rpc *rpc.Server
	log zerolog.Logger

	mu        sync.Mutex
	openConns map[net.Conn]bool
	wg        sync.WaitGroup
}

// NewServer returns a server that replies to probes with the given process ID.
func NewServer(id string, log zerolog.Logger) *Server {
	server := &Server{rpc: rpc.NewServer(), log: log, openConns: map[net.Conn]bool{}}
	if err := server.rpc.RegisterName("Peer", &pingService{id: id}); err != nil {
		panic(err) // the method set is fixed at compile time
	}
	return server
}

// Register makes the exported methods of receiver callable as "name.Method".
func (s *Server) Register(name string, receiver any) error { return s.rpc.RegisterName(name, receiver) }

// Serve accepts connections and serves calls until ctx is done. Calls in flight then have shutdownTimeout to finish, and Serve
// returns nil. It retries after a temporary accept error, such as a lack of file descriptors. If the listener is closed while
// ctx is not done, Serve closes all connections and returns the error.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { l.Close(); s.failReads() })
	defer stop()
	for {
		conn, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				conn.Close()
			}
			s.waitForCalls()
			return nil
		case errors.Is(err, net.ErrClosed):
			s.closeAll() // other processes regard a process without a listener as stopped, so it must not serve any calls
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

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.openConns) >= maxOpenConns {
		conn.Close()
		return false
	}
	s.openConns[conn] = true
	s.wg.Add(1)
	return true
}

func (s *Server) untrack(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.openConns, conn)
	s.wg.Done()
}

// failReads makes the next read of every connection fail. net/rpc then waits for the calls in flight.
func (s *Server) failReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.openConns {
		c.SetReadDeadline(time.Unix(1, 0)) //nolint:errcheck // fails only on a connection that is already closed
	}
}

func (s *Server) waitForCalls() {
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
			s.failReads() // ReadRequestHeader may have set a new read deadline in the meantime
		}
	}
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.openConns {
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
