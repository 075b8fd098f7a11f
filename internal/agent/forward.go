package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bamboofork/internal/backend"
	"bamboofork/internal/events"
	"bamboofork/internal/gate"
	"bamboofork/internal/settings"
	"bamboofork/internal/wire"
)

// ServeHTTP handles requests from entries: it admits each request at the gate and forwards it to the backend server.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, wire.ForwardPath)
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
	w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
	w.Header().Set(wire.HeaderAgent, a.cfg.ID)
	branch, known := a.liveSettings.Current().Branch(r.Header.Get(wire.HeaderBranch))
	if !known {
		a.respondNotRun(w, r, http.StatusServiceUnavailable, "branch not known to this agent yet")
		return
	}
	dispatch, err := parseDispatch(r)
	if err == nil && r.Header.Get(wire.HeaderRequestID) == "" {
		err = errors.New("the request has no identifier")
	}
	if err == nil && dispatch == nil && !branch.Idempotent {
		err = errors.New("a request of a branch that is not idempotent must be keyed")
	}
	switch {
	case err != nil:
		a.respondNotRun(w, r, http.StatusBadRequest, err.Error())
	case dispatch != nil:
		a.serveKeyed(w, r, path, branch, dispatch)
	default:
		a.serveIdempotent(w, r, path, branch)
	}
}

// serveIdempotent serves a request that may run more than once.
func (a *Agent) serveIdempotent(w http.ResponseWriter, r *http.Request, path string, branch *settings.Effective) {
	ctx, cancel := requestContext(r, branch)
	defer cancel()
	if branch.Class == settings.ClassStream {
		ctx, cancel = a.streamContext(ctx)
		defer cancel()
	}
	arrivedAt := time.Now()
	release, err := a.admitRequest(ctx, r, branch)
	setWaitHeader(w, time.Since(arrivedAt))
	if err != nil {
		a.respondNotRun(w, r, refusalStatus(err), err.Error())
		return
	}
	defer release()
	if ctx.Err() != nil {
		a.respondNotRun(w, r, http.StatusServiceUnavailable, "deadline passed before the request ran")
		return
	}
	a.forwardRequest(ctx, w, r, path, branch)
}

// requestContext returns the request's context, limited by the deadline in the request's header. Streams have no deadline.
func requestContext(r *http.Request, branch *settings.Effective) (context.Context, context.CancelFunc) {
	deadlineMs, err := strconv.ParseInt(r.Header.Get(wire.HeaderDeadlineMs), 10, 64)
	if err != nil || branch.Class == settings.ClassStream {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(deadlineMs)*time.Millisecond)
}

func (a *Agent) admitRequest(ctx context.Context, r *http.Request, branch *settings.Effective) (func(), error) {
	if branch.Class == settings.ClassStream {
		return a.gate.AcquireStream()
	}
	flow, ownIndex := flowOf(a.liveSettings.Current(), branch, r.Header.Get(wire.HeaderCaller))
	deadline, _ := ctx.Deadline()
	return a.gate.AcquireSlot(ctx, gate.Request{Flow: flow, BranchIndex: ownIndex, Timeout: branch.QueueTimeout, Deadline: deadline})
}

func refusalStatus(err error) int {
	if errors.Is(err, gate.ErrQueueFull) || errors.Is(err, gate.ErrWaitExpired) {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// respondNotRun responds and logs that the request was not run, and why.
func (a *Agent) respondNotRun(w http.ResponseWriter, r *http.Request, status int, reason string) {
	a.metrics.Counter("agent_refused").Inc(1)
	events.GateRefused.Log(&a.log).Str("request", r.Header.Get(wire.HeaderRequestID)).Str("reason", reason).Send()
	a.setLoadHeaders(w)
	w.Header().Set(wire.HeaderOutcome, string(wire.OutcomeNotRun))
	w.Header().Set(wire.HeaderReason, reason)
	w.WriteHeader(status)
}

func (a *Agent) setLoadHeaders(w http.ResponseWriter) {
	usage := a.gate.Usage()
	w.Header().Set(wire.HeaderBusy, strconv.Itoa(usage.BusySlots))
	w.Header().Set(wire.HeaderQueued, strconv.Itoa(usage.QueuedRequests))
	if a.drainSignals.isDraining() {
		w.Header().Set(wire.HeaderLeaving, "1")
	}
}

// setWaitHeader sets the header with the time that the request waited at the gate, so that the entry can separate queueing time
// from service time.
func setWaitHeader(w http.ResponseWriter, waitDuration time.Duration) {
	w.Header().Set(wire.HeaderWaitUs, strconv.FormatInt(waitDuration.Microseconds(), 10))
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Transfer-Encoding", "Upgrade", "Te", "Trailer", "Proxy-Connection", "Proxy-Authorization"}

func (a *Agent) forwardRequest(ctx context.Context, w http.ResponseWriter, r *http.Request, path string, branch *settings.Effective) {
	startedAt := time.Now()
	resp, err := a.backend.Do(backendRequest(r.WithContext(ctx), path))
	if err == nil {
		err = checkRequestID(r, resp)
	}
	if err != nil {
		a.handleForwardError(w, r, err)
		return
	}
	defer resp.Body.Close()
	a.startResponse(w, resp)
	readErr, writeErr := copyBody(w, resp.Body, resp.ContentLength < 0)
	if err := errors.Join(readErr, writeErr); err != nil {
		events.ForwardFailed.Log(&a.log).Str("request", r.Header.Get(wire.HeaderRequestID)).Err(err).Msg("response truncated")
		panic(http.ErrAbortHandler) // resets the HTTP/2 stream, so that the entry detects the truncated response
	}
	a.observeLatency(branch, time.Since(startedAt))
}

// backendRequest returns the request to send to the backend server. The body of the returned request cannot be sent twice,
// because net/http would otherwise automatically retry a request with an Idempotency-Key.
func backendRequest(r *http.Request, path string) *http.Request {
	backendReq := r.Clone(r.Context())
	backendReq.URL.Path = path
	backendReq.URL.RawPath = ""
	backendReq.RequestURI = ""
	for _, h := range hopByHopHeaders {
		backendReq.Header.Del(h)
	}
	backendReq.GetBody = nil
	backendReq.Body = singleUseBody{r.Body}
	return backendReq
}

var errRequestIDMismatch = errors.New("the backend server answered another request")

// checkRequestID returns errRequestIDMismatch if the backend server returned the identifier of another request. It then closes
// the response body unread, which closes the connection. A response without an identifier is accepted.
func checkRequestID(r *http.Request, resp *http.Response) error {
	got := resp.Header.Get(wire.HeaderRequestID)
	if got == "" || got == r.Header.Get(wire.HeaderRequestID) {
		return nil
	}
	resp.Body.Close()
	return errRequestIDMismatch
}

func (a *Agent) startResponse(w http.ResponseWriter, resp *http.Response) {
	copyHeader(w.Header(), resp.Header)
	a.setLoadHeaders(w)
	w.Header().Set(wire.HeaderOutcome, string(wire.OutcomeDone))
	w.WriteHeader(resp.StatusCode)
}

// singleUseBody hides http.NoBody and the concrete type of a body, so that the transport never sends it twice.
type singleUseBody struct{ io.ReadCloser }

func (a *Agent) respondUnknown(w http.ResponseWriter, status int, err error) {
	a.setLoadHeaders(w)
	w.Header().Set(wire.HeaderOutcome, string(wire.OutcomeUnknown))
	w.Header().Set(wire.HeaderReason, err.Error())
	w.WriteHeader(status)
}

func (a *Agent) handleForwardError(w http.ResponseWriter, r *http.Request, err error) {
	notRun := errors.Is(err, backend.ErrNotSent)
	events.ForwardFailed.Log(&a.log).Str("request", r.Header.Get(wire.HeaderRequestID)).Err(err).Bool("not_run", notRun).Send()
	a.metrics.Counter("agent_forward_failed").Inc(1)
	a.setLoadHeaders(w)
	err = fmt.Errorf("backend server: %w", err)
	switch {
	case notRun:
		w.Header().Set(wire.HeaderUnhealthy, "1")
		a.respondNotRun(w, r, http.StatusServiceUnavailable, err.Error())
	case errors.Is(err, context.DeadlineExceeded):
		a.respondUnknown(w, http.StatusGatewayTimeout, err)
	default:
		a.respondUnknown(w, http.StatusBadGateway, err)
	}
}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		if strings.HasPrefix(name, "Bf-") {
			continue
		}
		dst[name] = values
	}
	for _, h := range hopByHopHeaders {
		dst.Del(h)
	}
}

// copyBufferBytes is the size of the buffer through which bodies are copied.
const copyBufferBytes = 32 << 10

// copyBody copies a response body to w. flushEachRead is for bodies of unknown length. readErr means that the body is truncated,
// writeErr that the receiver has disconnected.
func copyBody(w http.ResponseWriter, body io.Reader, flushEachRead bool) (readErr, writeErr error) {
	buf := make([]byte, copyBufferBytes)
	flush := func() error { return nil }
	if flushEachRead {
		flush = http.NewResponseController(w).Flush
	}
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return nil, err
			}
			if err := flush(); err != nil {
				return nil, err
			}
		}
		if err == io.EOF {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
	}
}
