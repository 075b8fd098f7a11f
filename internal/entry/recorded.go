package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"bamboofork/internal/ledger"
	"bamboofork/internal/wire"
)

// recordedResult returns the result of a request whose outcome is already recorded.
func recordedResult(recorded wire.Result) *Result {
	if recorded.Outcome != wire.OutcomeDone {
		return &Result{Outcome: recorded.Outcome, Status: http.StatusBadGateway, Reason: "recorded outcome of the request",
			isUnresolvable: true, QueueTime: queueTimeUnknown}
	}
	header := http.Header{}
	for name, value := range recorded.Header {
		header.Set(name, value)
	}
	header.Set("Bf-Replayed", "true")
	if recorded.Truncated {
		header.Set("Bf-Body", "not kept")
	}
	resp := &http.Response{StatusCode: recorded.Status, Header: header, Body: io.NopCloser(bytes.NewReader(recorded.Body))}
	return &Result{Outcome: wire.OutcomeDone, Response: resp, QueueTime: queueTimeUnknown}
}

// recordBody records the outcome with the response body before the caller gets the response, if the body has at most
// wire.MaxStoredBodyBytes bytes. A larger body is streamed to the caller. At the end of the stream the outcome is recorded
// without the body.
func (k *keyedCall) recordBody(claim ledger.Claim, result *Result) *Result {
	prefix, err := io.ReadAll(io.LimitReader(result.Response.Body, wire.MaxStoredBodyBytes+1))
	if err != nil {
		result.Close(true)
		claim.Outcome, claim.Truncated = string(wire.OutcomeFailed), true
		k.completeClaim(claim, false)
		return &Result{Outcome: wire.OutcomeFailed, Status: http.StatusBadGateway, Reason: "the request ran, its answer was cut off: " + err.Error(),
			QueueTime: queueTimeUnknown}
	}
	if len(prefix) <= wire.MaxStoredBodyBytes {
		claim.Body = prefix
		claim.Truncated = result.Response.Header.Get("Bf-Body") != ""
		k.completeClaim(claim, false)
		result.replaceBody(bytes.NewReader(prefix))
		return result
	}
	claim.Truncated = true
	rest := &endReader{source: result.Response.Body, onEnd: func(err error) {
		if err != nil {
			claim.Outcome = string(wire.OutcomeFailed)
		}
		k.completeClaim(claim, false)
	}}
	result.replaceBody(io.MultiReader(bytes.NewReader(prefix), rest))
	return result
}

// replaceBody makes the response read from body. Closing the response still closes the original body.
func (r *Result) replaceBody(body io.Reader) {
	r.Response.Body = struct {
		io.Reader
		io.Closer
	}{body, r.Response.Body}
}

// endReader calls onEnd once, when a read of source returns an error. The argument is nil on io.EOF, and otherwise the read error.
type endReader struct {
	source io.Reader
	onEnd  func(error)
}

// Read implements io.Reader.
func (e *endReader) Read(p []byte) (int, error) {
	n, err := e.source.Read(p)
	if err != nil && e.onEnd != nil {
		if errors.Is(err, io.EOF) {
			e.onEnd(nil)
		} else {
			e.onEnd(err)
		}
		e.onEnd = nil
	}
	return n, err
}

// sizedBody returns io.EOF after Content-Length bytes, without waiting for the END_STREAM flag of HTTP/2. The flag may arrive
// in a separate frame. If the connection breaks before that frame, the response is complete nevertheless.
type sizedBody struct {
	io.ReadCloser
	remainingBytes int64
}

// Read implements io.Reader.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.remainingBytes == 0 {
		return 0, io.EOF
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.remainingBytes)])
	b.remainingBytes -= int64(n)
	if b.remainingBytes == 0 {
		return n, io.EOF
	}
	if errors.Is(err, io.EOF) {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}
