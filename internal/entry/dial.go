package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"bamboofork/internal/network"
	"bamboofork/internal/security"
)

// Timeouts of connections to agents. The transport sends a PING if no frame has arrived for pingIdleTime. It closes the
// connection if no reply arrives within pingTimeout. An unresponsive connection is thus detected within 3 s.
const (
	pingIdleTime = 1 * time.Second
	pingTimeout  = 2 * time.Second
	dialTimeout  = 1 * time.Second
)

// errNotSent means that no connection could be opened, so no part of the request left this process.
var errNotSent = errors.New("agent unreachable, request not sent")

// newTransport returns an HTTP/2 transport for requests to agents. The transport uses mutual TLS if identity is not nil, and
// checks idle connections with PING frames.
func newTransport(n network.Network, identity *security.Identity) *http.Transport {
	protocols := new(http.Protocols)
	transport := &http.Transport{
		Protocols:          protocols,
		DisableCompression: true,
		IdleConnTimeout:    time.Minute,
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout,
			WriteByteTimeout: pingIdleTime + pingTimeout},
	}
	if identity == nil {
		protocols.SetUnencryptedHTTP2(true)
		transport.DialContext = func(ctx context.Context, _, addr string) (net.Conn, error) { return dialPlain(ctx, n, addr) }
		return transport
	}
	protocols.SetHTTP2(true)
	transport.DialTLSContext = func(ctx context.Context, _, addr string) (net.Conn, error) {
		return dialTLS(ctx, n, addr, identity.ClientConfig("h2"))
	}
	return transport
}

func dialPlain(ctx context.Context, n network.Network, addr string) (net.Conn, error) {
	conn, err := network.DialWithin(ctx, n, addr, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	return conn, nil
}

func dialTLS(ctx context.Context, n network.Network, addr string, cfg *tls.Config) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := security.Dial(ctx, n, addr, cfg)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	return conn, nil
}
