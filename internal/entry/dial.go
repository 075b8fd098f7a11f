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

// Probing of connections to agents: after probeIdle without a frame a PING is sent, after probeTimeout more the
// connection is dropped, so a silent connection is found within 3 s.
const (
	probeIdle    = 1 * time.Second
	probeTimeout = 2 * time.Second
	dialTimeout  = 1 * time.Second
)

// errNotSent proves that a request did not leave this process: no connection could be opened.
var errNotSent = errors.New("agent unreachable, request not sent")

// newTransport speaks HTTP/2 to agents, over TLS if id is not nil, and probes connections with PING frames.
func newTransport(id *security.Identity) *http.Transport {
	protocols := new(http.Protocols)
	t := &http.Transport{
		Protocols:          protocols,
		DisableCompression: true,
		IdleConnTimeout:    time.Minute,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: probeIdle, PingTimeout: probeTimeout, WriteByteTimeout: probeIdle + probeTimeout},
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
