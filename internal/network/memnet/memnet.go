// Package memnet is a network in memory, over which several processes run in virtual time (testing/synctest).
package memnet

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// Network is a network in memory for virtual time. Each machine has an IP address. A cut direction between two machines
// carries nothing; like TCP, it carries later what was sent meanwhile, if both ends still wait for it. mu guards all state of the
// network and its connections; nobody blocks while holding it.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	links     map[machinePair]LinkFaults
	dark      map[string]bool // machines that reach nothing and that nothing reaches
	conns     map[*conn]bool  // one of the two ends of each open connection per machine
	changed   chan struct{}   // closed and replaced when a link changes
	lastPort  uint16          // the last port chosen for a listener that asked for any
}

// machinePair is a direction between two machines, each given by its IP address.
type machinePair struct{ from, to string }

// LinkFaults are the faults of one direction.
type LinkFaults struct {
	Cut   bool
	Delay time.Duration
}

const linkDelay = time.Millisecond

// New returns a network without faults.
func New() *Network {
	return &Network{listeners: map[string]*listener{}, links: map[machinePair]LinkFaults{}, dark: map[string]bool{}, conns: map[*conn]bool{},
		changed: make(chan struct{}), lastPort: firstFreePort - 1}
}

// firstFreePort is the first port for listeners that ask for any port.
const firstFreePort = 50_000

// MachineOf returns the IP address in addr.
func MachineOf(addr string) string { return netip.MustParseAddrPort(addr).Addr().String() }

// SetLink replaces the faults of the direction from one machine to another.
func (n *Network) SetLink(from, to string, faults LinkFaults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[machinePair{from, to}] = faults
	close(n.changed)
	n.changed = make(chan struct{})
}

// SetDark makes a machine unreachable, as at a power loss, or reachable again.
func (n *Network) SetDark(machine string, isDark bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dark[machine] = isDark
	close(n.changed)
	n.changed = make(chan struct{})
}

// link returns the faults of the direction from one machine to another. The caller holds mu.
func (n *Network) link(from, to string) LinkFaults {
	if n.dark[from] || n.dark[to] {
		return LinkFaults{Cut: true}
	}
	return n.links[machinePair{from, to}]
}

// HealLinks removes the faults of all links.
func (n *Network) HealLinks() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.links)
	close(n.changed)
	n.changed = make(chan struct{})
}

// ResetConns resets the connections of which both ends satisfy the condition.
func (n *Network) ResetConns(matches func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if matches(c.machine, c.peer.machine) || matches(c.peer.machine, c.machine) {
			c.reset()
		}
	}
}

// Process is the network as one process sees it. It implements network.Network. After Kill, it connects to nothing.
type Process struct {
	network *Network
	machine string
	dead    bool // guarded by network.mu
}

// Process returns the network as a new process on the machine sees it.
func (n *Network) Process(machine string) *Process {
	return &Process{network: n, machine: machine}
}

// Kill resets the connections of the process and closes its ports. If silent is set, its peers are not told, as at a power loss.
func (p *Process) Kill(silent bool) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.dead = true
	close(p.network.changed)
	p.network.changed = make(chan struct{})
	for c := range p.network.conns {
		if c.owner == p {
			if silent {
				c.vanish()
			} else {
				c.reset()
			}
		}
	}
	for _, l := range p.network.listeners {
		if l.owner == p {
			l.close()
		}
	}
}

var errDead = &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ENETUNREACH}

// Listen implements network.Network. Port 0 stands for a port that was not used before.
func (p *Process) Listen(addr string) (net.Listener, error) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	if at := netip.MustParseAddrPort(addr); at.Port() == 0 {
		p.network.lastPort++
		addr = netip.AddrPortFrom(at.Addr(), p.network.lastPort).String()
	}
	if p.dead || p.network.listeners[addr] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRINUSE}
	}
	l := &listener{network: p.network, owner: p, addr: addr, backlog: make(chan net.Conn, 1024), done: make(chan struct{})}
	p.network.listeners[addr] = l
	return l, nil
}

// Dial implements network.Network. The handshake needs both directions; an address where nothing listens refuses the connection.
func (p *Process) Dial(ctx context.Context, addr string) (net.Conn, error) {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	to := parsed.Addr().String()
	for {
		n := p.network
		n.mu.Lock()
		there, back, changed := n.link(p.machine, to), n.link(to, p.machine), n.changed
		dead := p.dead
		n.mu.Unlock()
		if dead {
			return nil, errDead
		}
		if there.Cut || back.Cut {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
			}
		}
		select {
		case <-time.After(2*linkDelay + there.Delay + back.Delay):
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
		}
		return p.connect(addr)
	}
}

func (p *Process) connect(addr string) (net.Conn, error) {
	n := p.network
	n.mu.Lock()
	defer n.mu.Unlock()
	listener := n.listeners[addr]
	if p.dead {
		return nil, errDead
	}
	if listener == nil || len(listener.backlog) == cap(listener.backlog) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	local := &conn{network: n, owner: p, machine: p.machine, addr: p.machine + ":40000", notify: make(chan struct{})}
	remote := &conn{network: n, owner: listener.owner, machine: MachineOf(addr), addr: addr, notify: make(chan struct{})}
	local.peer, remote.peer = remote, local
	n.conns[local], n.conns[remote] = true, true
	listener.backlog <- remote
	return local, nil
}

type listener struct {
	network *Network
	owner   *Process
	addr    string
	backlog chan net.Conn
	done    chan struct{}
	closed  bool
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// close closes the listener and resets the connections that nobody has accepted. The caller holds network.mu.
func (l *listener) close() {
	if l.closed {
		return
	}
	l.closed = true
	close(l.done)
	if l.network.listeners[l.addr] == l {
		delete(l.network.listeners, l.addr)
	}
	for {
		select {
		case c := <-l.backlog:
			c.(*conn).reset()
		default:
			return
		}
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	l.close()
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.addr) }

type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }

// conn is one end of a connection. Its fields are guarded by network.mu.
type conn struct {
	network  *Network
	owner    *Process
	machine  string
	addr     string
	peer     *conn
	incoming []segment
	deadline time.Time
	notify   chan struct{} // closed and replaced when something changes for the reader
	closed   bool          // closed by this end
	broken   bool          // reset
}

// segment is sent data, or the end of the stream if data is nil.
type segment struct {
	data    []byte
	readyAt time.Time
}

func (c *conn) wake() {
	close(c.notify)
	c.notify = make(chan struct{})
}

// reset breaks both ends.
func (c *conn) reset() {
	c.broken, c.peer.broken = true, true
	delete(c.network.conns, c)
	delete(c.network.conns, c.peer)
	c.wake()
	c.peer.wake()
}

// vanish breaks this end without a notice to its peer. What a cut link holds back is lost, because nobody sends it again.
func (c *conn) vanish() {
	c.broken = true
	if c.network.link(c.machine, c.peer.machine).Cut {
		c.peer.incoming = nil
	}
	delete(c.network.conns, c)
	c.wake()
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		c.network.mu.Lock()
		now := time.Now()
		link := c.network.link(c.peer.machine, c.machine)
		var wait time.Duration = -1
		switch {
		case c.closed:
			c.network.mu.Unlock()
			return 0, net.ErrClosed
		case !c.deadline.IsZero() && !now.Before(c.deadline):
			c.network.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case c.broken:
			c.network.mu.Unlock()
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
		case len(c.incoming) > 0 && !link.Cut && !c.incoming[0].readyAt.After(now):
			head := &c.incoming[0]
			if head.data == nil {
				c.network.mu.Unlock()
				return 0, io.EOF
			}
			read := copy(p, head.data)
			if head.data = head.data[read:]; len(head.data) == 0 {
				c.incoming = c.incoming[1:]
			}
			c.network.mu.Unlock()
			return read, nil
		case len(c.incoming) > 0 && !link.Cut:
			wait = c.incoming[0].readyAt.Sub(now)
		}
		if !c.deadline.IsZero() && (wait < 0 || c.deadline.Sub(now) < wait) {
			wait = c.deadline.Sub(now)
		}
		notify, changed := c.notify, c.network.changed
		c.network.mu.Unlock()
		var timeout <-chan time.Time
		var timer *time.Timer
		if wait >= 0 {
			timer = time.NewTimer(wait)
			timeout = timer.C
		}
		select {
		case <-notify:
		case <-changed:
		case <-timeout:
		}
		if timer != nil {
			timer.Stop()
		}
	}
}

// Write implements net.Conn. It never blocks.
func (c *conn) Write(p []byte) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	link := c.network.link(c.machine, c.peer.machine)
	switch {
	case c.closed:
		return 0, net.ErrClosed
	case c.broken:
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}
	case c.peer.closed && !link.Cut:
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.EPIPE}
	case c.peer.closed || c.peer.broken:
		return len(p), nil // lost
	}
	c.send(append([]byte(nil), p...), link)
	return len(p), nil
}

// send queues data, or the end of the stream if data is nil, for the peer.
func (c *conn) send(data []byte, link LinkFaults) {
	readyAt := time.Now().Add(linkDelay + link.Delay)
	if n := len(c.peer.incoming); n > 0 && c.peer.incoming[n-1].readyAt.After(readyAt) {
		readyAt = c.peer.incoming[n-1].readyAt
	}
	c.peer.incoming = append(c.peer.incoming, segment{data: data, readyAt: readyAt})
	c.peer.wake()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	delete(c.network.conns, c)
	if !c.broken && !c.peer.closed {
		c.send(nil, c.network.link(c.machine, c.peer.machine))
	}
	c.wake()
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return address(c.addr) }
func (c *conn) RemoteAddr() net.Addr { return address(c.peer.addr) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.deadline = t
	c.wake()
	return nil
}

// SetWriteDeadline implements net.Conn. Writes do not block.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
