package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"bamboofork/internal/network"
)

// Paths of the worker's HTTP interface.
const (
	PathCapacity   = "/worker/capacity"
	PathTasks      = "/worker/tasks"
	PathRenew      = "/worker/renew"
	PathClock      = "/worker/clock"
	PathUsage      = "/worker/usage"
	PathCheckpoint = "/worker/checkpoint"
	PathThrottle   = "/worker/throttle"
	PathStop       = "/worker/stop"
	PathForget     = "/worker/forget"
)

// Messages of the worker's HTTP interface.
type (
	RenewRequest struct {
		Refs  []Ref         `json:"refs"`
		Lease time.Duration `json:"lease"`           // new duration of the leases, see Spec.Lease
		Until time.Duration `json:"until,omitempty"` // see Spec.Until; 0: no limit
	}
	ClockResponse struct {
		Clock time.Duration `json:"clock"` // time since the worker's start
	}
	ThrottleRequest struct {
		Ref   Ref     `json:"ref"`
		Share float64 `json:"share"` // fraction of full speed, 0 to 1
	}
	CheckpointResponse struct {
		Checkpoint string `json:"checkpoint"`
	}
)

// DefaultTimeout bounds one call to a worker.
const DefaultTimeout = 2 * time.Second

const maxResponseBytes = 16 << 20

// HTTPClient implements Worker and ClockedWorker by calls to the worker's HTTP interface.
type HTTPClient struct {
	baseURL string
	client  *http.Client
}

// NewHTTPClient returns a client of the worker at baseURL.
func NewHTTPClient(n network.Network, baseURL string) *HTTPClient {
	dial := func(ctx context.Context, _, addr string) (net.Conn, error) { return n.Dial(ctx, addr) }
	return &HTTPClient{baseURL: baseURL, client: &http.Client{Timeout: DefaultTimeout, Transport: &http.Transport{DialContext: dial}}}
}

var (
	_ Worker        = (*HTTPClient)(nil)
	_ ClockedWorker = (*HTTPClient)(nil)
)

// Close closes the idle connections of the client.
func (c *HTTPClient) Close() { c.client.CloseIdleConnections() }

func (c *HTTPClient) call(ctx context.Context, method, path string, request, response any) error {
	payload, err := json.Marshal(request)
	if err != nil {
		return eris.Wrap(err, "encode worker request")
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(payload))
	if err != nil {
		return eris.Wrap(err, "worker request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err != nil {
		return ErrUnavailable
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return ErrUnavailable
	}
	return decodeResponse(resp.StatusCode, body, response)
}

func decodeResponse(status int, body []byte, response any) error {
	switch {
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusConflict:
		return fmt.Errorf("%w: %s", ErrRefused, bytes.TrimSpace(body))
	case status >= http.StatusMultipleChoices:
		return ErrUnavailable
	case response == nil:
		return nil
	}
	if err := json.Unmarshal(body, response); err != nil {
		return ErrUnavailable
	}
	return nil
}

// Capacity implements Worker.
func (c *HTTPClient) Capacity(ctx context.Context) (Resources, error) {
	var capacity Resources
	err := c.call(ctx, http.MethodGet, PathCapacity, nil, &capacity)
	return capacity, err
}

// Start implements Worker.
func (c *HTTPClient) Start(ctx context.Context, spec Spec) error {
	return c.call(ctx, http.MethodPost, PathTasks, spec, nil)
}

// Renew implements Worker.
func (c *HTTPClient) Renew(ctx context.Context, refs []Ref, lease time.Duration) error {
	return c.call(ctx, http.MethodPost, PathRenew, RenewRequest{Refs: refs, Lease: lease}, nil)
}

// RenewUntil implements ClockedWorker.
func (c *HTTPClient) RenewUntil(ctx context.Context, refs []Ref, lease, until time.Duration) error {
	return c.call(ctx, http.MethodPost, PathRenew, RenewRequest{Refs: refs, Lease: lease, Until: until}, nil)
}

// Clock implements ClockedWorker.
func (c *HTTPClient) Clock(ctx context.Context) (time.Duration, error) {
	var response ClockResponse
	err := c.call(ctx, http.MethodGet, PathClock, nil, &response)
	return response.Clock, err
}

// List implements Worker.
func (c *HTTPClient) List(ctx context.Context) ([]Status, error) {
	var statuses []Status
	err := c.call(ctx, http.MethodGet, PathTasks, nil, &statuses)
	return statuses, err
}

// Usage implements Worker.
func (c *HTTPClient) Usage(ctx context.Context) (Usage, error) {
	var usage Usage
	err := c.call(ctx, http.MethodGet, PathUsage, nil, &usage)
	return usage, err
}

// Checkpoint implements Worker.
func (c *HTTPClient) Checkpoint(ctx context.Context, ref Ref) (string, error) {
	var response CheckpointResponse
	err := c.call(ctx, http.MethodPost, PathCheckpoint, ref, &response)
	return response.Checkpoint, err
}

// Throttle implements Worker.
func (c *HTTPClient) Throttle(ctx context.Context, ref Ref, fraction float64) error {
	return c.call(ctx, http.MethodPost, PathThrottle, ThrottleRequest{Ref: ref, Share: fraction}, nil)
}

// Stop implements Worker.
func (c *HTTPClient) Stop(ctx context.Context, ref Ref) error {
	return c.call(ctx, http.MethodPost, PathStop, ref, nil)
}

// Forget implements Worker.
func (c *HTTPClient) Forget(ctx context.Context, ref Ref) error {
	return c.call(ctx, http.MethodPost, PathForget, ref, nil)
}
