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
	idleSince time.Duration
}

// NewConnections returns a limit of max connections.
func NewConnections(max int) *Connections {
	return &Connections{max: max, open: map[*Connection]struct{}{}}
}

// Open registers a connection. If there are too many, it closes the one that has been without a request for longest, of the address with
// more than half of all connections if there is one. It returns nil if every connection has a request; the new one is to be closed then.
func (c *Connections) Open(address string, now time.Duration, closeConn func()) *Connection {
	c.mu.Lock()
	var victim *Connection
	if len(c.open) >= c.max {
		c.closed++
		if victim = c.victim(); victim == nil {
			c.mu.Unlock()
			return nil
		}
		victim.isClosed = true
		delete(c.open, victim)
	}
	conn := &Connection{all: c, address: address, close: closeConn, idleSince: now}
	c.open[conn] = struct{}{}
	c.mu.Unlock()
	if victim != nil {
		victim.close()
	}
	return conn
}

// victim returns the connection that has been without a request for longest, or nil if there is none.
func (c *Connections) victim() *Connection {
	counts := map[string]int{}
	address := ""
	for conn := range c.open {
		if counts[conn.address]++; counts[conn.address] > len(c.open)/2 {
			address = conn.address
		}
	}
	var ofAddress, ofAll *Connection
	for conn := range c.open {
		switch {
		case conn.busy:
			continue
		case ofAll == nil || conn.idleSince < ofAll.idleSince:
			ofAll = conn
		}
		if conn.address == address && (ofAddress == nil || conn.idleSince < ofAddress.idleSince) {
			ofAddress = conn
		}
	}
	if ofAddress != nil {
		return ofAddress
	}
	return ofAll
}

// Busy states that the connection has a request, or that its peer is identified. It returns false if the connection has been closed.
func (conn *Connection) Busy() bool {
	conn.all.mu.Lock()
	defer conn.all.mu.Unlock()
	conn.busy = true
	return !conn.isClosed
}

// Idle states that the connection has no request.
func (conn *Connection) Idle(now time.Duration) {
	conn.all.mu.Lock()
	defer conn.all.mu.Unlock()
	conn.busy, conn.idleSince = false, now
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
