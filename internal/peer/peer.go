// Package peer connects the project's own processes with net/rpc. A connection starts
// with a version handshake, is probed at the application level, and is replaced when a
// probe is not answered in time. net/rpc carries control messages only.
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

// ProtocolVersion must match on both ends of a connection.
const ProtocolVersion = "bamboofork/1"

// Timing of connections.
const (
	DialTimeout      = 1 * time.Second
	HandshakeTimeout = 1 * time.Second
	ProbeInterval    = 1 * time.Second
	ProbeTimeout     = 2 * time.Second // a silent connection is found within ProbeInterval + ProbeTimeout
	IdleTimeout      = 1 * time.Minute // a connection without calls is closed; each probe costs control traffic
	maxHandshake     = 128             // bytes
)

// Errors of Call that are not answers of the remote method.
var (
	// ErrNotSent: the request never left this process.
	ErrNotSent = errors.New("peer unreachable, request not sent")
	// ErrLost: the connection broke or the deadline passed after the request left; the outcome is unknown.
	ErrLost = errors.New("peer connection lost, outcome unknown")
)

// PingArgs and PingReply are the probe's messages.
type (
	PingArgs  struct{ From string }
	PingReply struct{ ID string }
)

// pingService answers probes.
type pingService struct{ id string }

// Ping implements the probe.
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
		return fmt.Errorf("peer speaks %q, expected %s", line, ProtocolVersion)
	}
	if _, err := fmt.Fprintf(conn, "%s ok\n", ProtocolVersion); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// readLine reads byte by byte so that nothing after the line is consumed.
func readLine(conn net.Conn) (string, error) {
	var b strings.Builder
	one := make([]byte, 1)
	for b.Len() < maxHandshake {
		if _, err := conn.Read(one); err != nil {
			return "", err
		}
		if one[0] == '\n' {
			return b.String(), nil
		}
		b.WriteByte(one[0])
	}
	return "", fmt.Errorf("handshake line longer than %d bytes", maxHandshake)
}

// DialFunc opens a transport connection.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Pool keeps one probed connection per address. mu guards clients.
type Pool struct {
	id   string
	log  zerolog.Logger
	dial DialFunc

	mu      sync.Mutex
	clients map[string]*client
	closed  bool
	late    atomic.Int64
}

type client struct {
	addr  string
	ready chan struct{} // closed when the dial finished
	rpc   *rpc.Client
	err   error
	stop  context.CancelFunc
	log   zerolog.Logger
	late  *atomic.Int64 // answers after their callers had given up
	used  time.Time     // last call; guarded by the pool's mu
	calls int           // under way; guarded by the pool's mu
}

// NewPool returns an empty pool for the process id. A nil dial uses TCP.
func NewPool(id string, log zerolog.Logger, dial DialFunc) *Pool {
	if dial == nil {
		dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{Timeout: DialTimeout}).DialContext(ctx, "tcp", addr)
		}
	}
	return &Pool{id: id, log: log, dial: dial, clients: map[string]*client{}}
}

// LateAnswers is the number of calls that were answered after their callers had given up.
func (p *Pool) LateAnswers() int64 { return p.late.Load() }

// Close ends all connections; later calls fail with ErrNotSent.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.clients {
		c.stop()
	}
	p.clients = map[string]*client{}
}

// Call runs a method at the address. Errors: ErrNotSent, ErrLost, or rpc.ServerError from the method.
func (p *Pool) Call(ctx context.Context, addr, method string, args, reply any) error {
	c, err := p.client(addr)
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

// call runs a method. The reply is decoded into a value of its own and copied when the call succeeded, because
// net/rpc still writes to it when the answer arrives after the caller has given up.
func (c *client) call(ctx context.Context, method string, args, reply any) error {
	own := reflect.New(reflect.TypeOf(reply).Elem())
	env := &envelope{args: args}
	call := c.rpc.Go(method, env, own.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		go c.awaitLate(call, method)
		return ErrLost
	}
	var answer rpc.ServerError
	switch {
	case call.Error == nil:
		reflect.ValueOf(reply).Elem().Set(own.Elem())
		return nil
	case errors.As(call.Error, &answer):
		return call.Error
	case !env.sent.Load():
		return ErrNotSent
	}
	return ErrLost
}

// awaitLate accounts for an answer that nobody waits for any more. It ends at the latest with the connection.
func (c *client) awaitLate(call *rpc.Call, method string) {
	<-call.Done
	if call.Error == nil {
		c.late.Add(1)
		events.ControlAnswerLate.Log(&c.log).Str("addr", c.addr).Str("method", method).Send()
	}
}

// client returns the connection to addr and starts to dial it if there is none.
func (p *Pool) client(addr string) (*client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrNotSent
	}
	if c := p.clients[addr]; c != nil {
		c.calls++
		return c, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &client{addr: addr, ready: make(chan struct{}), stop: cancel, calls: 1, log: p.log, late: &p.late}
	p.clients[addr] = c
	go p.run(ctx, c)
	return c, nil
}

func (p *Pool) release(c *client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.calls--
	c.used = time.Now()
}

// retire takes an idle connection out of the pool; later calls open a new one.
func (p *Pool) retire(c *client) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := c.calls == 0 && time.Since(c.used) > IdleTimeout
	if idle && p.clients[c.addr] == c {
		delete(p.clients, c.addr)
	}
	return idle
}

// run dials, then probes the connection until it fails or the pool closes it.
func (p *Pool) run(ctx context.Context, c *client) {
	defer p.forget(c)
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
		return fmt.Errorf("peer answered %q", line)
	}
	return conn.SetDeadline(time.Time{})
}

// probe returns nil when the connection is idle.
func (p *Pool) probe(ctx context.Context, c *client) error {
	ticker := time.NewTicker(ProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if p.retire(c) {
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

func (p *Pool) forget(c *client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[c.addr] == c {
		delete(p.clients, c.addr)
	}
	c.stop()
}
