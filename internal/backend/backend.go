// Package backend is the client to the backend server on the agent's host.
package backend

import (
	"net"
	"net/http"
	"time"
)

// DialTimeout bounds a connection attempt on the same host.
const DialTimeout = time.Second

// Client sends requests to one backend server over HTTP/1.1.
type Client struct {
	addr      string
	transport *http.Transport
}

// NewClient returns a client with at most conns connections.
func NewClient(addr string, conns int) *Client {
	return &Client{addr: addr, transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: DialTimeout}).DialContext,
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		DisableCompression:  true,
	}}
}

// Do sends the request to the backend server. A failed dial (net.OpError with Op "dial") proves that it did not run.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	req.URL.Scheme = "http"
	req.URL.Host = c.addr
	return c.transport.RoundTrip(req)
}

// Close drops idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
