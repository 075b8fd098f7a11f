package deployed

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bamboofork/internal/app"
	"bamboofork/internal/events"
	"bamboofork/internal/intake"
	"bamboofork/internal/jobfront"
	"bamboofork/internal/network"
)

// limitsInterval is how often bodies that do not arrive are looked for and the metrics of the limits are updated.
const limitsInterval = time.Second

// burstEnd is the time without a further refusal after which a burst of refusals counts as over.
const burstEnd = 10 * time.Second

// takeIn applies the limits on what the process takes in from clients. mu guards the fields below it.
type takeIn struct {
	limits  intake.Limits
	budget  *intake.Budget
	started time.Time

	mu          sync.Mutex
	connections map[string]*intake.Connections // by listener
	burst       burst
}

// newTakeIn returns the limits of the process.
func (p *process) newTakeIn() *takeIn {
	settings := p.cfg.CallerLimits.WithDefaults()
	limits := intake.LimitsFor(p.cfg.MemoryMB<<20, p.descriptors())
	if settings.BodyMB > 0 {
		limits.BodyBytes = settings.BodyMB << 20
	}
	if settings.Connections > 0 {
		limits.CallerConnections = settings.Connections
	}
	return &takeIn{limits: limits, started: time.Now(), connections: map[string]*intake.Connections{},
		budget: intake.NewBudget(limits.BodyBytes, settings.Stall(), settings.MinBytesPerS)}
}

// descriptors returns the number of descriptors that the process may have.
func (p *process) descriptors() int {
	var limit syscall.Rlimit
	most := uint64(1 << 20)
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil { // fails only where there is no such limit
		most = min(most, limit.Cur)
	}
	if p.cfg.MaxFDs > 0 {
		most = min(most, uint64(p.cfg.MaxFDs))
	}
	return int(most)
}

// takeIn returns the limits of the process, which all its listeners share.
func (p *process) takeIn() *takeIn {
	p.takeInOnce.Do(func() { p.takeInLimits = p.newTakeIn() })
	return p.takeInLimits
}

func (t *takeIn) now() time.Duration { return time.Since(t.started) }

// limited returns a network whose listeners have at most count connections. name is that of the listener in the metrics.
func (t *takeIn) limited(on network.Network, name string, count int) network.Network {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.connections[name] == nil {
		t.connections[name] = intake.NewConnections(count)
	}
	return limitedNetwork{Network: on, takeIn: t, connections: t.connections[name]}
}

// peerNetwork returns the network on which the process listens for owners.
func (p *process) peerNetwork() network.Network {
	return p.takeIn().limited(p.network, "peers", p.takeIn().limits.PeerConnections)
}

type limitedNetwork struct {
	network.Network
	takeIn      *takeIn
	connections *intake.Connections
}

// Listen implements network.Network.
func (n limitedNetwork) Listen(addr string) (net.Listener, error) {
	listener, err := n.Network.Listen(addr)
	if err != nil {
		return nil, err
	}
	return limitedListener{Listener: listener, takeIn: n.takeIn, connections: n.connections}, nil
}

// receiveBufferBytes is the size of the receive buffers of HTTP connections, which the operating system doubles. Bytes that have been
// received and not read count as memory of the process.
const receiveBufferBytes = 16 << 10

// limitReceiveBuffer sets the size of the receive buffers of the connections that the listener will accept.
func limitReceiveBuffer(listener net.Listener) {
	if limited, ok := listener.(limitedListener); ok {
		listener = limited.Listener
	}
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return // the listener is closed
	}
	// Without the option the buffers have the default size.
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
	})
}

type limitedListener struct {
	net.Listener
	takeIn      *takeIn
	connections *intake.Connections
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		address, _, err := net.SplitHostPort(conn.RemoteAddr().String())
		if err != nil {
			address = conn.RemoteAddr().String()
		}
		closeConn := func() { _ = conn.Close() } // fails only if it is closed
		if entry := l.connections.Open(address, l.takeIn.now(), closeConn); entry != nil {
			return &limitedConn{Conn: conn, address: address, entry: entry}, nil
		}
		closeConn()
	}
}

// limitedConn is a connection that counts until it is closed.
type limitedConn struct {
	net.Conn
	address string
	entry   *intake.Connection
	ended   atomic.Bool // interrupt was called
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.ended.Load() { // the HTTP server sets a new deadline for each request
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(p)
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.entry.End()
	return c.Conn.Close()
}

const (
	// lastReadTimeout and lastReadBytes bound what is read of a connection after its last response. What is not read makes the operating
	// system reset the connection, perhaps before the client has the response, and counts as memory of the process until then.
	lastReadTimeout = 500 * time.Millisecond
	lastReadBytes   = 512 << 10
)

// CloseWrite closes the sending side, by which the HTTP server delivers a last response before it has read the whole request.
func (c *limitedConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	if err := half.CloseWrite(); err != nil {
		return err
	}
	if err := c.SetReadDeadline(time.Now().Add(lastReadTimeout)); err != nil {
		return err
	}
	_, err := io.CopyN(io.Discard, struct{ io.Reader }{c.Conn}, lastReadBytes)
	return err
}

// Identified states that the peer has sent a valid first message.
func (c *limitedConn) Identified() { c.entry.Busy() }

// interrupt ends a read of the connection that waits, and all later ones.
func (c *limitedConn) interrupt() {
	c.ended.Store(true)
	_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
}

// connKey is the context key of the connection of a request.
type connKey struct{}

func connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connState tells the limits when a connection has no request.
func (t *takeIn) connState(conn net.Conn, state http.ConnState) {
	if limited, ok := conn.(*limitedConn); ok && state == http.StateIdle {
		limited.entry.Idle(t.now())
	}
}

// errInterrupted is the error of reading a body that has been ended.
type errInterrupted struct{ cause intake.Cause }

func (e errInterrupted) Error() string { return string(e.cause) }

// Is reports that the request may be sent again.
func (e errInterrupted) Is(target error) bool { return target == jobfront.ErrNoRoom }

// countedBody is a request body whose bytes count against the budget.
type countedBody struct {
	io.ReadCloser
	takeIn *takeIn
	conn   *limitedConn
	header http.Header // of the response
	counts *intake.Body
	begun  bool // a read has begun
	ended  bool // the last read returned an error, io.EOF included
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	if !b.begun {
		b.begun = true
		b.conn.entry.Receiving(true, b.takeIn.now())
	}
	n, err := b.ReadCloser.Read(p)
	b.ended = err != nil
	now, whole := b.takeIn.now(), errors.Is(err, io.EOF)
	cause := b.counts.Receive(int64(n), whole, now)
	if !b.conn.entry.Receiving(!whole, now) {
		cause = intake.NoRoom
	}
	if cause != intake.NotEnded {
		b.ended = true
		return 0, b.refusal(cause)
	}
	return n, err
}

// Holds states that the request holds this many bytes instead of its body. It returns an error if there is no room.
func (b *countedBody) Holds(bytes int64) error {
	if cause := b.counts.Resize(bytes, b.takeIn.now()); cause != intake.NotEnded {
		return b.refusal(cause)
	}
	return nil
}

// refusal returns the error for a body that has been ended. The connection is not kept.
func (b *countedBody) refusal(cause intake.Cause) error {
	b.header.Set("Connection", "close")
	return errInterrupted{cause}
}

// maxDiscardedBytes is the size up to which a body that the handler has not read is read, so that the connection can be kept.
const maxDiscardedBytes = 256 << 10

// counted returns a handler that passes requests to next. The bodies of the requests count against the budget until next returns.
func (t *takeIn) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*limitedConn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if !conn.entry.Busy() {
			panic(http.ErrAbortHandler) // the connection has been closed
		}
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		body := &countedBody{ReadCloser: r.Body, takeIn: t, conn: conn, header: w.Header(), counts: t.budget.Begin(conn.address, t.now(), conn.interrupt)}
		defer body.counts.End()
		counted := r.WithContext(r.Context()) // the server looks at the body of its own request
		counted.Body = body
		next.ServeHTTP(w, counted)
		if !body.ended && !body.discard(w, r) {
			conn.interrupt() // the server reads no more of it, in vain or for ever, and closes the connection
		}
	})
}

// discard reads what the handler has left of the body, within the limits, so that the connection can be kept. It returns false if the
// connection cannot be kept.
func (b *countedBody) discard(w http.ResponseWriter, r *http.Request) bool {
	if w.Header().Get("Connection") == "close" || !b.begun && r.Header.Get("Expect") != "" {
		return false // a client that waits for 100 Continue sends no body
	}
	b.counts.Discard()
	_, err := io.CopyN(io.Discard, b, maxDiscardedBytes+1) // the end comes after the last byte
	return errors.Is(err, io.EOF)
}

// run ends bodies that do not arrive, and logs bursts of refusals, until ctx is done.
func (t *takeIn) run(ctx context.Context, p *process) error {
	app.Every(ctx, limitsInterval, func() {
		t.budget.EndStalled(t.now())
		t.report(p)
	})
	return nil
}

// report updates the metrics and logs the beginning and the end of a burst of refusals.
func (t *takeIn) report(p *process) {
	now := t.now()
	usage := t.budget.Usage(now)
	p.metrics.Gauge("intake_body_bytes_limit").Update(usage.LimitBytes)
	p.metrics.Gauge("intake_body_bytes").Update(usage.UsedBytes)
	p.metrics.Gauge("intake_bodies").Update(int64(usage.Bodies))
	p.metrics.Gauge("intake_oldest_progress_ms").Update(usage.OldestProgress.Milliseconds())
	p.metrics.Gauge("intake_bodies_refused").Update(usage.Refused)
	p.metrics.Gauge("intake_bodies_stalled").Update(usage.Stalled)
	t.mu.Lock()
	defer t.mu.Unlock()
	connectionsClosed := int64(0)
	for name, connections := range t.connections {
		open, closed := connections.Counts()
		p.metrics.Gauge("intake_connections_" + name).Update(int64(open))
		p.metrics.Gauge("intake_connections_closed_" + name).Update(closed)
		connectionsClosed += closed
	}
	switch total := usage.Refused + usage.Stalled + connectionsClosed; t.burst.note(total, now) {
	case burstBegins:
		events.ClientLimitReached.Log(&p.log).Int64("body_bytes", usage.UsedBytes).Int64("body_bytes_limit", usage.LimitBytes).
			Int64("bodies_refused", usage.Refused).Int64("bodies_stalled", usage.Stalled).Int64("connections_closed", connectionsClosed).Send()
	case burstEnds:
		events.ClientLimitOver.Log(&p.log).Int64("refusals", t.burst.refusals).Send()
	}
}

// burst tells when a series of refusals begins and ends.
type burst struct {
	seen     int64 // refusals since the start of the process
	lastAt   time.Duration
	active   bool
	first    int64 // value of seen before the burst
	refusals int64 // of the burst
}

type burstChange int

const (
	burstUnchanged burstChange = iota
	burstBegins
	burstEnds
)

// note takes the number of refusals since the start of the process.
func (b *burst) note(total int64, now time.Duration) burstChange {
	if total != b.seen {
		before := b.seen
		b.seen, b.lastAt = total, now
		if !b.active {
			b.active, b.first = true, before
			return burstBegins
		}
	} else if b.active && now-b.lastAt >= burstEnd {
		b.active, b.refusals = false, b.seen-b.first
		return burstEnds
	}
	return burstUnchanged
}

// limitsComponent applies the limits that depend on time.
func (p *process) limitsComponent(run func(func(ctx context.Context) error) func(ctx context.Context) error) app.Component {
	return app.Component{Name: "limits", Run: run(func(ctx context.Context) error { return p.takeIn().run(ctx, p) })}
}
