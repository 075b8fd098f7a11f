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
func recordedResult(r wire.Result) *Result {
	if r.Outcome != wire.OutcomeDone {
		return &Result{Outcome: r.Outcome, Status: http.StatusBadGateway, Reason: "recorded outcome of the request",
			unresolvable: true, Waited: waitUnknown}
	}
	header := http.Header{}
	for name, value := range r.Header {
		header.Set(name, value)
	}
	header.Set("Bf-Replayed", "true")
	if r.Truncated {
		header.Set("Bf-Body", "not kept")
	}
	resp := &http.Response{StatusCode: r.Status, Header: header, Body: io.NopCloser(bytes.NewReader(r.Body))}
	return &Result{Outcome: wire.OutcomeDone, Response: resp, Waited: waitUnknown}
}

// recordBody records the outcome with the response body before the caller gets the response, if the body has at most
// wire.MaxStoredBodyBytes bytes. A larger body is streamed to the caller, and the outcome is recorded without it at its end.
func (k *keyedCall) recordBody(claim ledger.Claim, out *Result) *Result {
	head, err := io.ReadAll(io.LimitReader(out.Response.Body, wire.MaxStoredBodyBytes+1))
	if err != nil {
		out.Close(true)
		claim.Outcome, claim.Truncated = string(wire.OutcomeFailed), true
		k.complete(claim, false)
		return &Result{Outcome: wire.OutcomeFailed, Status: http.StatusBadGateway, Reason: "the request ran, its answer was cut off: " + err.Error(), Waited: waitUnknown}
	}
	if len(head) <= wire.MaxStoredBodyBytes {
		claim.Body = head
		claim.Truncated = out.Response.Header.Get("Bf-Body") != ""
		k.complete(claim, false)
		out.replaceBody(bytes.NewReader(head))
		return out
	}
	claim.Truncated = true
	rest := &endReader{r: out.Response.Body, end: func(err error) {
		if err != nil {
			claim.Outcome = string(wire.OutcomeFailed)
		}
		k.complete(claim, false)
	}}
	out.replaceBody(io.MultiReader(bytes.NewReader(head), rest))
	return out
}

// replaceBody makes the response body read from body. Closing it still closes the original body.
func (r *Result) replaceBody(body io.Reader) {
	r.Response.Body = struct {
		io.Reader
		io.Closer
	}{body, r.Response.Body}
}

// endReader calls end once at the end of r: with nil on io.EOF, else with the read error.
type endReader struct {
	r   io.Reader
	end func(error)
}

// Read implements io.Reader.
func (e *endReader) Read(p []byte) (int, error) {
	n, err := e.r.Read(p)
	if err != nil && e.end != nil {
		if errors.Is(err, io.EOF) {
			e.end(nil)
		} else {
			e.end(err)
		}
		e.end = nil
	}
	return n, err
}

// sizedBody ends after Content-Length bytes without waiting for the END_STREAM flag of HTTP/2. The flag may arrive in a
// frame of its own; if the connection breaks before that frame, the response is complete nevertheless.
type sizedBody struct {
	io.ReadCloser
	remaining int64
}

// Read implements io.Reader.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	if b.remaining == 0 {
		return n, io.EOF
	}
	if errors.Is(err, io.EOF) {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}
