package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"bamboofork/internal/security"
)

// Timeouts of connections to agents. A PING is sent after pingIdle without a frame, and the connection is closed if no
// reply arrives within pingTimeout, so an unresponsive connection is detected within 3 s.
const (
	pingIdle    = 1 * time.Second
	pingTimeout = 2 * time.Second
	dialTimeout = 1 * time.Second
)

// errNotSent means that no connection could be opened, so no part of the request left this process.
var errNotSent = errors.New("agent unreachable, request not sent")

// newTransport returns an HTTP/2 transport for requests to agents. It uses TLS if id is not nil and checks idle
// connections with PING frames.
func newTransport(id *security.Identity) *http.Transport {
	protocols := new(http.Protocols)
	t := &http.Transport{
		Protocols:          protocols,
		DisableCompression: true,
		IdleConnTimeout:    time.Minute,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: pingIdle, PingTimeout: pingTimeout, WriteByteTimeout: pingIdle + pingTimeout},
	}
	if id == nil {
		protocols.SetUnencryptedHTTP2(true)
		t.DialContext = dialPlain
		return t
	}
	protocols.SetHTTP2(true)
	t.DialTLSContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		return dialTLS(ctx, network, addr, id.ClientConfig("h2"))
	}
	return t
}

func dialPlain(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	return conn, nil
}

func dialTLS(ctx context.Context, network, addr string, cfg *tls.Config) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := tls.Dialer{Config: cfg}
	conn, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	return conn, nil
}
