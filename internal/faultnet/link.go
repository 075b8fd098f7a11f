package faultnet

import (
	"net"
	"sync"
	"sync/atomic"
)

// link is one relayed connection.
type link struct {
	client, server net.Conn
	muted          [2]atomic.Bool
	ended          atomic.Int32  // directions
	done           chan struct{} // closed when the link is reset
	once           sync.Once
}

func newLink(client, server net.Conn) *link {
	return &link{client: client, server: server, done: make(chan struct{})}
}

func (l *link) silence(d Direction)     { l.muted[d].Store(true) }
func (l *link) silent(d Direction) bool { return l.muted[d].Load() }

// reset aborts both ends.
func (l *link) reset() {
	l.once.Do(func() {
		abort(l.client)
		abort(l.server)
		close(l.done)
	})
}

// abort closes a connection with a TCP reset instead of a regular end.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0) //nolint:errcheck // the connection may be closed already
	}
	c.Close()
}

// closeWrite passes the end of a stream on; false means that the connection cannot be half-closed.
func closeWrite(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	return ok && tcp.CloseWrite() == nil
}
