// Package peer connects the project's own processes with net/rpc. The connections carry
// only control messages. Each connection starts with a version handshake. The client then
// sends a probe message at a fixed interval and replaces the connection when a probe gets
// no reply in time.
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
	"bamboofork/internal/network"
)

// ProtocolVersion is exchanged in the handshake and must be the same at both ends of a connection.
const ProtocolVersion = "bamboofork/1"

// Timing of connections.
const (
	DialTimeout       = 1 * time.Second
	HandshakeTimeout  = 1 * time.Second
	ProbeInterval     = 1 * time.Second
	ProbeTimeout      = 2 * time.Second // an unresponsive connection is detected within ProbeInterval + ProbeTimeout
	ClientIdleTimeout = 1 * time.Minute // a client closes a connection without calls after this time, to save probe traffic
	maxHandshakeBytes = 128             // length of a handshake line
)

// Errors of Call other than those returned by the remote method.
var (
	// ErrNotSent means that the request was not sent and had no effect.
	ErrNotSent = errors.New("peer unreachable, request not sent")
	// ErrOutcomeUnknown means that the request may have been sent before the connection broke or the context ended.
	ErrOutcomeUnknown = errors.New("peer connection lost, outcome unknown")
)

// PingArgs and PingReply are the messages of Peer.Ping, the call that probes a connection. From is the ID of the calling
// process; ID is the ID of the responding process.
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

// readLine returns the next line without its line feed. It reads byte by byte, so that it consumes nothing after the line.
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

// Pool holds one connection per address. It opens a connection on the first call to the address and checks the connection
// with probes. mu guards clientByAddr and isClosed.
type Pool struct {
	id   string
	log  zerolog.Logger
	dial DialFunc

	mu           sync.Mutex
	clientByAddr map[string]*client
	isClosed     bool
	lateReplies  atomic.Int64
}

// client is the connection of a pool to one address.
type client struct {
	addr          string
	connectDone   chan struct{} // closed once rpc or connectErr is set
	rpc           *rpc.Client
	connectErr    error
	cancelProbing context.CancelFunc
	log           zerolog.Logger
	lateReplies   *atomic.Int64 // the pool's counter
	lastUsedAt    time.Time     // end of the last call; guarded by the pool's mu
	callsInFlight int           // guarded by the pool's mu
}

// NewPool returns an empty pool for the process with the given ID. If dial is nil, the pool uses plain TCP.
func NewPool(id string, log zerolog.Logger, dial DialFunc) *Pool {
	if dial == nil {
		dial = network.TCPWithKeepAlive.Dial
	}
	return &Pool{id: id, log: log, dial: dial, clientByAddr: map[string]*client{}}
}

// LateReplyCount returns the number of calls whose reply arrived after the context of the call had ended.
func (p *Pool) LateReplyCount() int64 { return p.lateReplies.Load() }

// Close closes all connections. Later calls fail with ErrNotSent.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	for _, c := range p.clientByAddr {
		c.cancelProbing()
	}
	p.clientByAddr = map[string]*client{}
}

// Call runs a method of the process at addr and stores the reply in reply, which is a pointer. The error is ErrNotSent,
// ErrOutcomeUnknown, or the error of the method as an rpc.ServerError.
func (p *Pool) Call(ctx context.Context, addr, method string, args, reply any) error {
	pooledConn, err := p.acquire(addr)
	if err != nil {
		return err
	}
	defer p.release(pooledConn)
	select {
	case <-pooledConn.connectDone:
	case <-ctx.Done():
		return ErrNotSent
	}
	if pooledConn.connectErr != nil {
		return pooledConn.connectErr
	}
	return pooledConn.call(ctx, method, args, reply)
}

// call runs a method on the connection. It decodes the reply into a separate value and copies the value to reply on success.
// The separate value is needed because net/rpc also stores a reply that arrives after the context has ended.
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

// recordLateReply waits for the end of a call whose context has ended. It counts and logs a successful reply. It returns when
// the call ends, at the latest when the connection closes.
func (c *client) recordLateReply(call *rpc.Call, method string) {
	<-call.Done
	if call.Error == nil {
		c.lateReplies.Add(1)
		events.ControlAnswerLate.Log(&c.log).Str("addr", c.addr).Str("method", method).Send()
	}
}

// acquire returns the connection to addr for one call. If there is none, acquire starts opening one and returns it before it
// is open. The caller must call release after the call.
func (p *Pool) acquire(addr string) (*client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed {
		return nil, ErrNotSent
	}
	if pooledConn := p.clientByAddr[addr]; pooledConn != nil {
		pooledConn.callsInFlight++
		return pooledConn, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	pooledConn := &client{addr: addr, connectDone: make(chan struct{}), cancelProbing: cancel, callsInFlight: 1,
		log: p.log, lateReplies: &p.lateReplies}
	p.clientByAddr[addr] = pooledConn
	go p.connectAndProbe(ctx, pooledConn)
	return pooledConn, nil
}

func (p *Pool) release(pooledConn *client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pooledConn.callsInFlight--
	pooledConn.lastUsedAt = time.Now()
}

// removeIfIdle removes the connection from the pool if it has had no call for ClientIdleTimeout, and reports whether that is so.
// The next call to the address opens a new connection.
func (p *Pool) removeIfIdle(pooledConn *client) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	isIdle := pooledConn.callsInFlight == 0 && time.Since(pooledConn.lastUsedAt) > ClientIdleTimeout
	if isIdle && p.clientByAddr[pooledConn.addr] == pooledConn {
		delete(p.clientByAddr, pooledConn.addr)
	}
	return isIdle
}

// connectAndProbe opens the connection and probes it. It returns when opening or a probe fails, when the connection is idle,
// or when the pool closes the connection. It then removes the connection from the pool.
func (p *Pool) connectAndProbe(ctx context.Context, pooledConn *client) {
	defer p.remove(pooledConn)
	conn, err := p.connect(ctx, pooledConn.addr)
	if err != nil {
		pooledConn.connectErr = ErrNotSent
		close(pooledConn.connectDone)
		return
	}
	pooledConn.rpc = rpc.NewClientWithCodec(clientCodec{newGobConn(conn)})
	defer pooledConn.rpc.Close()
	close(pooledConn.connectDone)
	events.PeerConnected.Log(&p.log).Str("addr", pooledConn.addr).Send()
	err = p.probeUntilIdle(ctx, pooledConn)
	if ctx.Err() == nil && err != nil {
		events.PeerLost.Log(&p.log).Str("addr", pooledConn.addr).AnErr("cause", err).Send()
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

// probeUntilIdle sends a probe every ProbeInterval. It returns nil once the connection is idle, and an error when a probe
// fails or ctx is done.
func (p *Pool) probeUntilIdle(ctx context.Context, pooledConn *client) error {
	ticker := time.NewTicker(ProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if p.removeIfIdle(pooledConn) {
			return nil
		}
		probeCtx, cancel := context.WithTimeout(ctx, ProbeTimeout)
		var reply PingReply
		err := pooledConn.call(probeCtx, "Peer.Ping", PingArgs{From: p.id}, &reply)
		cancel()
		if err != nil {
			return err
		}
	}
}

func (p *Pool) remove(pooledConn *client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clientByAddr[pooledConn.addr] == pooledConn {
		delete(p.clientByAddr, pooledConn.addr)
	}
	pooledConn.cancelProbing()
}
