// Package backend is the client to the backend server on the agent's host.
package backend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// DialTimeout bounds a connection attempt on the same host.
const DialTimeout = time.Second

// idleTimeout bounds how long an unused connection is kept. A connection that went silent while unused is thus not
// used again; a new one on the same host costs a fraction of a millisecond.
const idleTimeout = time.Second

// ErrNotSent proves that a request did not reach the backend server: no connection could be opened.
var ErrNotSent = errors.New("no connection to the backend server")

// Client sends requests to one backend server over HTTP/1.1. The prober watches the server while answers are due.
type Client struct {
	addr      string
	transport *http.Transport
	prober    *prober
	down      atomic.Bool
}

// NewClient returns a client with at most conns connections, and one more for probes.
func NewClient(addr string, conns int) *Client {
	return &Client{addr: addr, prober: newProber(addr), transport: &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: DialTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return conn, nil
}

// Do sends the request to the backend server. ErrNotSent proves that it did not run; ErrSilent means that the server
// stopped to answer probes while the answer was due. The response's body must be closed.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	req.URL.Scheme = "http"
	req.URL.Host = c.addr
	ctx, done := c.prober.watch(req.Context())
	resp, err := c.transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		cause := context.Cause(ctx)
		done()
		if errors.Is(cause, ErrSilent) {
			return nil, fmt.Errorf("%w: %w", ErrSilent, err)
		}
		return nil, err
	}
	resp.Body = &watchedBody{ReadCloser: resp.Body, done: done}
	return resp, nil
}

// Down reports whether the backend server refuses connections or does not answer probes. Watch keeps it up to date.
func (c *Client) Down() bool { return c.down.Load() }

// Watch asks the backend server each ProbeInterval, whether or not requests are due, until ctx ends; changed is called
// with each new state.
func (c *Client) Watch(ctx context.Context, changed func(down bool)) {
	ticker := time.NewTicker(ProbeInterval)
	defer ticker.Stop()
	for {
		down := !c.prober.reachable(ctx)
		if ctx.Err() == nil && c.down.Swap(down) != down {
			changed(down)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Close drops idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
	c.prober.close()
}
