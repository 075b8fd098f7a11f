package faultnet

import (
	"net"
	"sync"
	"sync/atomic"
)

// link is one relayed connection: the connections to the client and to the server between which bytes are forwarded.
type link struct {
	client, server  net.Conn
	blackholed      [2]atomic.Bool // by Direction
	endedDirections atomic.Int32   // number of directions that have ended
	resetDone       chan struct{}  // closed when the link is reset
	resetOnce       sync.Once
}

func newLink(client, server net.Conn) *link {
	return &link{client: client, server: server, resetDone: make(chan struct{})}
}

// blackhole discards all further bytes of a direction.
func (l *link) blackhole(d Direction)         { l.blackholed[d].Store(true) }
func (l *link) isBlackholed(d Direction) bool { return l.blackholed[d].Load() }

// reset closes both connections with a TCP reset.
func (l *link) reset() {
	l.resetOnce.Do(func() {
		abort(l.client)
		abort(l.server)
		close(l.resetDone)
	})
}

// abort closes a connection with a TCP reset instead of a FIN.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0) //nolint:errcheck // the connection may be closed already
	}
	c.Close()
}

// closeWrite closes the write side of a connection, which forwards the end of a stream. It returns false if the connection does not
// support this or the close fails.
func closeWrite(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	return ok && tcp.CloseWrite() == nil
}
