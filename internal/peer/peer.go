// Package peer connects the project's own processes with net/rpc, which carries control
// messages only. A connection starts with a version handshake, is checked with
// application-level probes, and is replaced when a probe gets no reply in time.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"bamboofork/internal/events"
)

// ProtocolVersion is exchanged in the handshake and must be the same at both ends of a connection.
const ProtocolVersion = "bamboofork/1"

// Timing of connections.
const (
	DialTimeout       = 1 * time.Second
	HandshakeTimeout  = 1 * time.Second
	ProbeInterval     = 1 * time.Second
	ProbeTimeout      = 2 * time.Second // an unresponsive connection is detected within ProbeInterval + ProbeTimeout
	IdleTimeout       = 1 * time.Minute // a connection without calls is closed, which saves the traffic of its probes
	maxHandshakeBytes = 128             // of a handshake line
)

// Errors of Call other than those returned by the remote method.
var (
	// ErrNotSent means that the request was not sent and had no effect.
	ErrNotSent = errors.New("peer unreachable, request not sent")
	// ErrOutcomeUnknown means that the connection broke or the context ended when the request may already have been sent.
	ErrOutcomeUnknown = errors.New("peer connection lost, outcome unknown")
)

// PingArgs and PingReply are the messages of Peer.Ping, the probe of a connection.
type (
	PingArgs  struct{ From string }
	PingReply struct{ ID string }
)

// pingService is the RPC service that replies to probes.
type pingService struct{ id string }

// Ping replies with the ID of this process.
func (s *pingService) Ping(_ PingArgs, reply *PingReply) error {
	reply.ID = s.id
	return nil
}

func acceptHandshake(conn net.Conn) error {
	if err := conn.SetDeadline(time.Now().Add(HandshakeTimeout)); err != nil {
		return err
	}
	line, err := readLine(conn)
	if err != nil {
		return err
	}
	if line != ProtocolVersion {
		fmt.Fprintf(conn, "refused, expected %s\n", ProtocolVersion)
		return fmt.Errorf("peer offered protocol %q, expected %q", line, ProtocolVersion)
	}
	if _, err := fmt.Fprintf(conn, "%s ok\n", ProtocolVersion); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// readLine reads a line byte by byte, so that it consumes nothing after the line.
func readLine(conn net.Conn) (string, error) {
	var b strings.Builder
	buf := make([]byte, 1)
	for b.Len() < maxHandshakeBytes {
		if _, err := conn.Read(buf); err != nil {
			return "", err
		}
		if buf[0] == '\n' {
			return b.String(), nil
		}
		b.WriteByte(buf[0])
	}
	return "", fmt.Errorf("handshake line longer than %d bytes", maxHandshakeBytes)
}

// DialFunc opens a transport connection to addr.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Pool holds one connection per address, opened on the first call and checked with probes. mu guards clients and closed.
type Pool struct {
	id   string
	log  zerolog.Logger
	dial DialFunc

	mu          sync.Mutex
	clients     map[string]*client
	closed      bool
	lateReplies atomic.Int64
}

type client struct {
	addr        string
	ready       chan struct{} // closed once rpc or err is set
	rpc         *rpc.Client
	err         error
	stop        context.CancelFunc
	log         zerolog.Logger
	lateReplies *atomic.Int64 // the pool's counter
	lastUsed    time.Time     // end of the last call; guarded by the pool's mu
	inFlight    int           // number of calls; guarded by the pool's mu
}

// NewPool returns an empty pool for the process with the given ID. If dial is nil, the pool uses plain TCP.
func NewPool(id string, log zerolog.Logger, dial DialFunc) *Pool {
	if dial == nil {
		dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{Timeout: DialTimeout}).DialContext(ctx, "tcp", addr)
		}
	}
	return &Pool{id: id, log: log, dial: dial, clients: map[string]*client{}}
}

// LateReplies returns the number of calls whose replies arrived after their contexts had ended.
func (p *Pool) LateReplies() int64 { return p.lateReplies.Load() }

// Close closes all connections. Later calls fail with ErrNotSent.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.clients {
		c.stop()
	}
	p.clients = map[string]*client{}
}

// Call runs a method of the process at addr. The error is ErrNotSent, ErrOutcomeUnknown, or the method's error as an rpc.ServerError.
func (p *Pool) Call(ctx context.Context, addr, method string, args, reply any) error {
	c, err := p.acquire(addr)
	if err != nil {
		return err
	}
	defer p.release(c)
	select {
	case <-c.ready:
	case <-ctx.Done():
		return ErrNotSent
	}
	if c.err != nil {
		return c.err
	}
	return c.call(ctx, method, args, reply)
}

// call runs a method on the connection. The reply is decoded into a separate value and copied on success, because net/rpc
// also writes a reply that arrives after the context has ended.
func (c *client) call(ctx context.Context, method string, args, reply any) error {
	result := reflect.New(reflect.TypeOf(reply).Elem())
	tracked := &trackedArgs{args: args}
	call := c.rpc.Go(method, tracked, result.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		go c.recordLateReply(call, method)
		return ErrOutcomeUnknown
	}
	var serverErr rpc.ServerError
	switch {
	case call.Error == nil:
		reflect.ValueOf(reply).Elem().Set(result.Elem())
		return nil
	case errors.As(call.Error, &serverErr):
		return call.Error
	case !tracked.sent.Load():
		return ErrNotSent
	}
	return ErrOutcomeUnknown
}

// recordLateReply waits for the end of a call whose context has ended, and counts and logs a successful reply. It
// returns at the latest when the connection closes.
func (c *client) recordLateReply(call *rpc.Call, method string) {
	<-call.Done
	if call.Error == nil {
		c.lateReplies.Add(1)
		events.ControlAnswerLate.Log(&c.log).Str("addr", c.addr).Str("method", method).Send()
	}
}

// acquire returns the connection to addr for one call, and starts to open it if there is none. It is paired with release.
func (p *Pool) acquire(addr string) (*client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrNotSent
	}
	if c := p.clients[addr]; c != nil {
		c.inFlight++
		return c, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &client{addr: addr, ready: make(chan struct{}), stop: cancel, inFlight: 1, log: p.log, lateReplies: &p.lateReplies}
	p.clients[addr] = c
	go p.run(ctx, c)
	return c, nil
}

func (p *Pool) release(c *client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.inFlight--
	c.lastUsed = time.Now()
}

// removeIfIdle removes the connection from the pool if it is idle and reports whether it was. Later calls open a new one.
func (p *Pool) removeIfIdle(c *client) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := c.inFlight == 0 && time.Since(c.lastUsed) > IdleTimeout
	if idle && p.clients[c.addr] == c {
		delete(p.clients, c.addr)
	}
	return idle
}

// run opens the connection and probes it until it fails, is idle, or is closed by the pool.
func (p *Pool) run(ctx context.Context, c *client) {
	defer p.remove(c)
	conn, err := p.connect(ctx, c.addr)
	if err != nil {
		c.err = ErrNotSent
		close(c.ready)
		return
	}
	c.rpc = rpc.NewClientWithCodec(clientCodec{newGobConn(conn)})
	defer c.rpc.Close()
	close(c.ready)
	events.PeerConnected.Log(&p.log).Str("addr", c.addr).Send()
	err = p.probe(ctx, c)
	if ctx.Err() == nil && err != nil {
		events.PeerLost.Log(&p.log).Str("addr", c.addr).AnErr("cause", err).Send()
	}
}

func (p *Pool) connect(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	if err := offerHandshake(conn); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

func offerHandshake(conn net.Conn) error {
	if err := conn.SetDeadline(time.Now().Add(HandshakeTimeout)); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(conn, "%s\n", ProtocolVersion); err != nil {
		return err
	}
	line, err := readLine(conn)
	if err != nil {
		return err
	}
	if line != ProtocolVersion+" ok" {
		return fmt.Errorf("peer rejected the handshake: %q", line)
	}
	return conn.SetDeadline(time.Time{})
}

// probe sends a probe every ProbeInterval. It returns nil once the connection is idle, and an error when a probe fails.
func (p *Pool) probe(ctx context.Context, c *client) error {
	ticker := time.NewTicker(ProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if p.removeIfIdle(c) {
			return nil
		}
		probeCtx, cancel := context.WithTimeout(ctx, ProbeTimeout)
		var reply PingReply
		err := c.call(probeCtx, "Peer.Ping", PingArgs{From: p.id}, &reply)
		cancel()
		if err != nil {
			return err
		}
	}
}

func (p *Pool) remove(c *client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[c.addr] == c {
		delete(p.clients, c.addr)
	}
	c.stop()
}
