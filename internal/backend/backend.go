// Package backend is the HTTP client for the backend server on the agent's host.
package backend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"bamboofork/internal/network"
)

// DialTimeout is the timeout of a connection attempt to the backend server, which is on the same host.
const DialTimeout = time.Second

// idleTimeout is the time after which an idle connection is closed. It is short, so that a connection that stopped
// responding while idle is not reused. A new connection on the same host costs a fraction of a millisecond.
const idleTimeout = time.Second

// ErrNotSent means that no connection could be opened. It guarantees that the request did not reach the backend server.
var ErrNotSent = errors.New("no connection to the backend server")

// Client sends requests to one backend server over HTTP/1.1. The server is probed while responses are pending.
type Client struct {
	addr      string
	transport *http.Transport
	prober    *prober
	isDown    atomic.Bool // result of the last probe by MonitorHealth
}

// NewClient returns a client that opens at most conns connections for requests and one for probes.
func NewClient(n network.Network, addr string, conns int) *Client {
	dial := dialFunc(n)
	return &Client{addr: addr, prober: newProber(addr, dial), transport: &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

type dialContext func(ctx context.Context, _, addr string) (net.Conn, error)

// dialFunc returns a function that opens a connection to the backend server. All its errors match ErrNotSent.
func dialFunc(n network.Network) dialContext {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		conn, err := network.DialWithin(ctx, n, addr, DialTimeout)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return conn, nil
	}
}

// Do sends the request to the backend server. ErrNotSent guarantees that the request was not run. ErrUnresponsive means that
// the server stopped responding to probes while the response was pending. The caller must close the response body.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	req.URL.Scheme = "http"
	req.URL.Host = c.addr
	ctx, done := c.prober.watch(req.Context())
	resp, err := c.transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		cause := context.Cause(ctx)
		done()
		if errors.Is(cause, ErrUnresponsive) {
			return nil, fmt.Errorf("%w: %w", ErrUnresponsive, err)
		}
		return nil, err
	}
	resp.Body = &watchedBody{ReadCloser: resp.Body, done: done}
	return resp, nil
}

// Down reports whether the last probe by MonitorHealth failed, because the backend server refused the connection or did not
// respond.
func (c *Client) Down() bool { return c.isDown.Load() }

// MonitorHealth probes the backend server every ProbeInterval until ctx is done, whether or not requests are pending. It calls
// onChange each time the result of Down changes.
func (c *Client) MonitorHealth(ctx context.Context, onChange func(down bool)) {
	ticker := time.NewTicker(ProbeInterval)
	defer ticker.Stop()
	for {
		down := !c.prober.reachable(ctx)
		if ctx.Err() == nil && c.isDown.Swap(down) != down {
			onChange(down)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Close closes idle connections and stops probing for pending requests.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
	c.prober.stop()
}
