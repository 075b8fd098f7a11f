package faultnet

import (
	"net"
	"sync"
	"sync/atomic"
)

// link is one relayed connection.
type link struct {
	client, server net.Conn
	blackholed     [2]atomic.Bool
	ended          atomic.Int32  // number of directions that have ended
	done           chan struct{} // closed when the link is reset
	resetOnce      sync.Once
}

func newLink(client, server net.Conn) *link {
	return &link{client: client, server: server, done: make(chan struct{})}
}

// blackhole discards all further bytes of a direction.
func (l *link) blackhole(d Direction)         { l.blackholed[d].Store(true) }
func (l *link) isBlackholed(d Direction) bool { return l.blackholed[d].Load() }

// reset closes both connections with a TCP reset.
func (l *link) reset() {
	l.resetOnce.Do(func() {
		abort(l.client)
		abort(l.server)
		close(l.done)
	})
}

// abort closes a connection with a TCP reset instead of a FIN.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0) //nolint:errcheck // the connection may be closed already
	}
	c.Close()
}

// closeWrite half-closes a connection to forward the end of a stream. It returns false if that is not possible.
func closeWrite(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	return ok && tcp.CloseWrite() == nil
}
