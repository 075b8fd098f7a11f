package etcdgw

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"bamboofork/internal/network"
	"bamboofork/internal/store"
)

// Defaults and limits of Client.
const (
	DefaultCallTimeout = 2 * time.Second
	maxResponseBytes   = 64 << 20 // fits a full read of a partition's log
	maxErrorBytes      = 64 << 10
	maxIdleConns       = 8
)

// Client implements store.Store over the etcd v3 HTTP/JSON gateway. It is safe for concurrent use.
type Client struct {
	baseURL    string
	timeout    time.Duration
	httpClient *http.Client
	creds      Credentials
	token      atomic.Pointer[string] // nil if the client must authenticate before the next call
}

// NewClient returns a client for the gateway at the base URL ("http://127.0.0.1:2379").
// A timeout of 0 means DefaultCallTimeout.
func NewClient(baseURL string, timeout time.Duration) *Client {
	return NewClientOn(network.TCPWithKeepAlive, baseURL, timeout)
}

// NewClientOn is NewClient on a given network.
func NewClientOn(n network.Network, baseURL string, timeout time.Duration) *Client {
	if timeout == 0 {
		timeout = DefaultCallTimeout
	}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return network.DialWithin(ctx, n, addr, timeout)
		},
		MaxIdleConnsPerHost: maxIdleConns,
	}
	return &Client{baseURL: baseURL, timeout: timeout, httpClient: &http.Client{Transport: transport}}
}

var _ store.Store = (*Client)(nil)

// Close closes idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// call sends one request and decodes the response into out. If the call fails after the request may have been sent, the error
// is ErrUncertain for a write and ErrUnavailable for a read. If the token has expired, call authenticates again and retries.
func (c *Client) call(ctx context.Context, path string, in, out any, isWrite bool) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if err := c.authenticate(ctx); err != nil {
		return err
	}
	err := c.callOnce(ctx, path, in, out, isWrite)
	if errors.Is(err, errTokenExpired) { // rejected without effect, so a retry is safe
		c.token.Store(nil)
		if err = c.authenticate(ctx); err == nil {
			err = c.callOnce(ctx, path, in, out, isWrite)
		}
	}
	if errors.Is(err, errTokenExpired) {
		return store.ErrDenied
	}
	return err
}

// callOnce sends one request without authentication and without a retry.
func (c *Client) callOnce(ctx context.Context, path string, in, out any, isWrite bool) error {
	resp, err := c.post(ctx, path, in)
	if err != nil {
		return transportError(err, isWrite)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return transportError(err, isWrite)
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(body, isWrite)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return transportError(err, isWrite)
	}
	return nil
}

func (c *Client) post(ctx context.Context, path string, in any) (*http.Response, error) {
	payload, err := json.Marshal(in)
	if err != nil {
		return nil, eris.Wrap(err, "encode store request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(payload))
	if err != nil {
		return nil, eris.Wrap(err, "create store request")
	}
	req.Header.Set("Content-Type", "application/json")
	if token := c.token.Load(); token != nil {
		req.Header.Set("Authorization", *token)
	}
	return c.httpClient.Do(req)
}

// transportError returns the store error for a call without a usable response. A failed dial proves that the request was not
// sent.
func transportError(err error, isWrite bool) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return store.ErrUnavailable
	}
	if isWrite {
		return store.ErrUncertain
	}
	return store.ErrUnavailable
}

// statusError returns the store error for a response with a status other than 200.
func statusError(body []byte, isWrite bool) error {
	var errorBody ErrorBody
	if err := json.Unmarshal(body, &errorBody); err != nil {
		return transportError(err, isWrite)
	}
	switch errorBody.Code {
	case CodeUnavailable:
		return store.ErrUnavailable
	case CodeResourceExhausted:
		return store.ErrRateLimited
	case CodeNotFound:
		return store.ErrLeaseNotFound
	case CodeOutOfRange:
		return store.ErrCompacted
	case CodeUnauthenticated:
		return errTokenExpired
	case CodePermissionDenied:
		return store.ErrDenied
	}
	if isWrite {
		return store.ErrUncertain
	}
	return store.ErrUnavailable
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.KV, error) {
	var out RangeResponse
	if err := c.call(ctx, PathRange, RangeRequest{Key: []byte(key)}, &out, false); err != nil {
		return store.KV{}, err
	}
	if len(out.KVs) == 0 {
		return store.KV{Key: key}, nil
	}
	return fromWire(out.KVs[0]), nil
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, from, to string, limit int) ([]store.KV, int64, error) {
	var out RangeResponse
	in := RangeRequest{Key: []byte(from), RangeEnd: []byte(to), Limit: int64(limit)}
	if err := c.call(ctx, PathRange, in, &out, false); err != nil {
		return nil, 0, err
	}
	kvs := make([]store.KV, len(out.KVs))
	for i, kv := range out.KVs {
		kvs[i] = fromWire(kv)
	}
	return kvs, out.Header.Revision, nil
}

// CompareAndSwap implements store.Store with a transaction on the key's modification revision.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, lease store.LeaseID) (store.CASResult, error) {
	if len(value) > store.MaxValueBytes {
		return store.CASResult{}, store.ErrTooLarge
	}
	in := TxnRequest{
		Compare: []Compare{{Result: "EQUAL", Target: "MOD", Key: []byte(key), ModRevision: expect}},
		Success: []RequestOp{{Put: &PutRequest{Key: []byte(key), Value: value, Lease: int64(lease)}}},
		Failure: []RequestOp{{Range: &RangeRequest{Key: []byte(key)}}},
	}
	var out TxnResponse
	if err := c.call(ctx, PathTxn, in, &out, true); err != nil {
		return store.CASResult{}, err
	}
	if out.Succeeded {
		kv := store.KV{Key: key, Value: value, ModRevision: out.Header.Revision, Lease: lease}
		return store.CASResult{Swapped: true, Current: kv}, nil
	}
	current := store.KV{Key: key}
	if len(out.Responses) > 0 && out.Responses[0].Range != nil && len(out.Responses[0].Range.KVs) > 0 {
		current = fromWire(out.Responses[0].Range.KVs[0])
	}
	return store.CASResult{Current: current}, nil
}

// DeleteRange implements store.Store.
func (c *Client) DeleteRange(ctx context.Context, from, to string) (int64, error) {
	var out DeleteRangeResponse
	in := DeleteRangeRequest{Key: []byte(from), RangeEnd: []byte(to)}
	err := c.call(ctx, PathDeleteRange, in, &out, true)
	return out.Deleted, err
}

// GrantLease implements store.Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	var out LeaseResponse
	seconds := int64((ttl + time.Second - 1) / time.Second)
	err := c.call(ctx, PathLeaseGrant, LeaseRequest{TTL: seconds}, &out, true)
	return store.LeaseID(out.ID), err
}

// KeepAlive implements store.Store.
func (c *Client) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	var out KeepAliveResponse
	if err := c.call(ctx, PathKeepAlive, LeaseRequest{ID: int64(id)}, &out, true); err != nil {
		return 0, err
	}
	if out.Result.TTL <= 0 {
		return 0, store.ErrLeaseNotFound
	}
	return time.Duration(out.Result.TTL) * time.Second, nil
}

// RevokeLease implements store.Store.
func (c *Client) RevokeLease(ctx context.Context, id store.LeaseID) error {
	var out LeaseResponse
	return c.call(ctx, PathLeaseRevoke, LeaseRequest{ID: int64(id)}, &out, true)
}

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, prefix string, from int64) (<-chan store.WatchBatch, error) {
	in := WatchRequest{Create: WatchCreate{Key: []byte(prefix), RangeEnd: []byte(store.PrefixEnd(prefix)), StartRevision: from}}
	if err := c.authenticate(ctx); err != nil {
		return nil, err
	}
	watchCtx, cancel := context.WithCancel(ctx)
	resp, err := c.post(watchCtx, PathWatch, in)
	if err != nil {
		cancel()
		return nil, transportError(err, false)
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer resp.Body.Close()
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		if err != nil {
			return nil, transportError(err, false)
		}
		c.token.Store(nil) // the next attempt authenticates again
		return nil, statusError(body, false)
	}
	out := make(chan store.WatchBatch)
	go func() {
		defer cancel()
		defer resp.Body.Close()
		readWatch(ctx, json.NewDecoder(resp.Body), out)
	}()
	return out, nil
}

// readWatch sends the messages of a watch stream to out until the stream ends or ctx is done. Messages without events are
// skipped. A broken stream ends with ErrUnavailable, and a watch cancelled by the store with ErrCompacted.
func readWatch(ctx context.Context, dec *json.Decoder, out chan<- store.WatchBatch) {
	defer close(out)
	for {
		var message WatchMessage
		batch := store.WatchBatch{}
		if err := dec.Decode(&message); err != nil {
			batch.Err = store.ErrUnavailable
		} else if message.Result.Canceled {
			batch.Err = store.ErrCompacted
		}
		batch.Revision = message.Result.Header.Revision
		for _, ev := range message.Result.Events {
			batch.Events = append(batch.Events, store.WatchEvent{KV: fromWire(ev.KV), Deleted: ev.Type == "DELETE"})
		}
		if batch.Err == nil && len(batch.Events) == 0 {
			continue
		}
		select {
		case out <- batch:
		case <-ctx.Done():
			return
		}
		if batch.Err != nil {
			return
		}
	}
}
