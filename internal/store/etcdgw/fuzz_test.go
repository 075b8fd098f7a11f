package etcdgw

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
)

// cannedResponse is an HTTP transport that returns the same response to every request.
type cannedResponse struct {
	status int
	body   []byte
}

func (c cannedResponse) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: c.status, Body: io.NopCloser(bytes.NewReader(c.body)), Header: http.Header{}}, nil
}

// Guards against a store response that makes the client panic.
func FuzzStoreResponses(f *testing.F) {
	f.Add(200, []byte(`{"header":{"revision":"5"},"succeeded":true,"responses":[{}],"kvs":[{"key":"YQ==","value":"Yg==","mod_revision":"3"}]}`))
	f.Add(200, []byte(`{"responses":[]}`))
	f.Add(503, []byte(`{"code":14}`))
	f.Add(500, []byte(`garbage`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		c := NewClient("http://127.0.0.1:1", 0)
		c.httpClient.Transport = cannedResponse{status, body}
		ctx := context.Background()
		c.Get(ctx, "k")                               //nolint:errcheck // the test checks only for panics
		c.List(ctx, "a", "b", 0)                      //nolint:errcheck // as above
		c.CompareAndSwap(ctx, "k", 0, []byte("v"), 0) //nolint:errcheck // as above
		c.DeleteRange(ctx, "a", "b")                  //nolint:errcheck // as above
		c.GrantLease(ctx, 1e9)                        //nolint:errcheck // as above
		c.KeepAlive(ctx, 1)                           //nolint:errcheck // as above
		c.RevokeLease(ctx, 1)                         //nolint:errcheck // as above
	})
}
