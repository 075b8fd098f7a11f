// Package network opens the connections of the deployed programs. Tests replace TCP by a network in memory, so that several
// programs can run in virtual time.
package network

import (
	"context"
	"net"
)

// Network is what a process listens on and connects through.
type Network interface {
	Listen(addr string) (net.Listener, error)
	// Dial connects to addr. It returns an error that wraps syscall.ECONNREFUSED if nothing listens there. The attempt ends when
	// ctx is done; the connection outlives ctx.
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// TCP is the network of the host.
var TCP Network = tcp{}

type tcp struct{}

func (tcp) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Dial sends no keep-alive probes, because all programs detect silent connections themselves.
func (tcp) Dial(ctx context.Context, addr string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", addr)
}
