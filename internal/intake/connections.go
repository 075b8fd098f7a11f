package intake

import (
	"sync"
	"time"
)

// Connections limits the open connections of a listener. It is safe for concurrent use. mu guards the fields below it. Close functions are
// called without it.
type Connections struct {
	max int

	mu     sync.Mutex
	open   map[*Connection]struct{}
	closed int64
}

// Connection is an open connection of a client. Its fields are guarded by the mutex of Connections.
type Connection struct {
	all       *Connections
	address   string
	close     func()
	busy      bool // it has a request, or its peer is identified
	isClosed  bool
	receiving bool // the body of its request is still arriving
	// waitsSince is the time since which it has been without a request, or its body without progress.
	waitsSince time.Duration
}

// minReceiveWait is the time without progress of a body from which its connection may be closed for a new one.
const minReceiveWait = 500 * time.Millisecond

// NewConnections returns a limit of max connections.
func NewConnections(max int) *Connections {
	return &Connections{max: max, open: map[*Connection]struct{}{}}
}

// Open registers a connection. If there are too many, it closes the one that has been without a request for longest, of the address with
// more than half of all connections if there is one. A connection whose body makes no
// progress is the next choice. It returns nil if there is none; the new connection is to be closed then.
func (c *Connections) Open(address string, now time.Duration, closeConn func()) *Connection {
	c.mu.Lock()
	var victim *Connection
	if len(c.open) >= c.max {
		c.closed++
		if victim = c.victim(now); victim == nil {
			c.mu.Unlock()
			return nil
		}
		victim.isClosed = true
		delete(c.open, victim)
	}
	conn := &Connection{all: c, address: address, close: closeConn, waitsSince: now}
	c.open[conn] = struct{}{}
	c.mu.Unlock()
	if victim != nil {
		victim.close()
	}
	return conn
}

// victim returns the connection that has been without a request for longest. If there is none, it returns the one whose body has been
// without progress for longest, or nil.
func (c *Connections) victim(now time.Duration) *Connection {
	counts := map[string]int{}
	address := ""
	for conn := range c.open {
		if counts[conn.address]++; counts[conn.address] > len(c.open)/2 {
			address = conn.address
		}
	}
	var ofAddress, ofAll, stopped *Connection
	for conn := range c.open {
		if conn.busy {
			if conn.receiving && now-conn.waitsSince >= minReceiveWait && (stopped == nil || conn.waitsSince < stopped.waitsSince) {
				stopped = conn
			}
			continue
		}
		if ofAll == nil || conn.waitsSince < ofAll.waitsSince {
			ofAll = conn
		}
		if conn.address == address && (ofAddress == nil || conn.waitsSince < ofAddress.waitsSince) {
			ofAddress = conn
		}
	}
	switch {
	case ofAddress != nil:
		return ofAddress
	case ofAll != nil:
		return ofAll
	}
	return stopped
}

// Busy states that the connection has a request, or that its peer is identified. It returns false if the connection has been closed.
func (conn *Connection) Busy() bool {
	conn.all.mu.Lock()
	defer conn.all.mu.Unlock()
	conn.busy = true
	return !conn.isClosed
}

// Receiving states that the body of the connection's request has made progress, and whether more of it will arrive. It returns false if the
// connection has been closed; the request must not be run then.
func (conn *Connection) Receiving(more bool, now time.Duration) bool {
	conn.all.mu.Lock()
	defer conn.all.mu.Unlock()
	conn.receiving, conn.waitsSince = more, now
	return !conn.isClosed
}

// Idle states that the connection has no request.
func (conn *Connection) Idle(now time.Duration) {
	conn.all.mu.Lock()
	defer conn.all.mu.Unlock()
	conn.busy, conn.receiving, conn.waitsSince = false, false, now
}

// End removes the connection. It may be called more than once.
func (conn *Connection) End() {
	conn.all.mu.Lock()
	defer conn.all.mu.Unlock()
	conn.isClosed = true
	delete(conn.all.open, conn)
}

// Counts returns the number of open connections, and of those that were closed or refused because there were too many.
func (c *Connections) Counts() (open int, closed int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open), c.closed
}
