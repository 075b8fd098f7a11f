// Package network opens the connections of the deployed programs. Tests replace TCP by a network in memory, so that several
// programs can run in virtual time.
package network

import (
	"context"
	"net"
	"time"
)

// Network is what a process listens on and connects through.
type Network interface {
	Listen(addr string) (net.Listener, error)
	// Dial connects to addr. It returns an error that wraps syscall.ECONNREFUSED if nothing listens there. The attempt ends when
	// ctx is done; the connection outlives ctx.
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// TCP is the network of the host. It sends no keep-alive probes, for programs that detect silent connections themselves.
var TCP Network = tcp{keepAlive: -1}

// TCPWithKeepAlive is the network of the host with the default keep-alive probes.
var TCPWithKeepAlive Network = tcp{}

type tcp struct{ keepAlive time.Duration }

func (tcp) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

func (t tcp) Dial(ctx context.Context, addr string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: t.keepAlive}
	return dialer.DialContext(ctx, "tcp", addr)
}

// DialWithin connects to addr and gives up after the timeout.
func DialWithin(ctx context.Context, n Network, addr string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return n.Dial(ctx, addr)
}
