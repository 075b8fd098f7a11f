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

// ServeHTTP takes requests from entries, admits them at the gate and sends them to the backend server.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, wire.ForwardPath)
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
	w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
	w.Header().Set(wire.HeaderAgent, a.cfg.ID)
	branch, known := a.live.Current().Branch(r.Header.Get(wire.HeaderBranch))
	if !known {
		a.refuse(w, r, http.StatusServiceUnavailable, "branch not known to this agent yet")
		return
	}
	d, err := dispatchOf(r)
	if err == nil && r.Header.Get(wire.HeaderRequestID) == "" {
		err = errors.New("the request has no identifier")
	}
	if err == nil && d == nil && !branch.Idempotent {
		err = errors.New("a request of a branch that is not idempotent must be keyed")
	}
	switch {
	case err != nil:
		a.refuse(w, r, http.StatusBadRequest, err.Error())
	case d != nil:
		a.serveOnce(w, r, path, branch, d)
	default:
		a.serveRepeatable(w, r, path, branch)
	}
}

// serveRepeatable takes a request that may run more than once.
func (a *Agent) serveRepeatable(w http.ResponseWriter, r *http.Request, path string, branch *settings.Effective) {
	ctx, cancel := requestContext(r, branch)
	defer cancel()
	if branch.Class == settings.ClassStream {
		ctx, cancel = a.streamContext(ctx)
		defer cancel()
	}
	arrived := time.Now()
	release, err := a.admit(ctx, r, branch)
	setWait(w, time.Since(arrived))
	if err != nil {
		a.refuse(w, r, refusalStatus(err), err.Error())
		return
	}
	defer release()
	if ctx.Err() != nil {
		a.refuse(w, r, http.StatusServiceUnavailable, "deadline passed before the request ran")
		return
	}
	a.forward(ctx, w, r, path, branch)
}

// requestContext limits a request to its remaining time; streams have no deadline.
func requestContext(r *http.Request, branch *settings.Effective) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(wire.HeaderDeadlineMs), 10, 64)
	if err != nil || branch.Class == settings.ClassStream {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

func (a *Agent) admit(ctx context.Context, r *http.Request, branch *settings.Effective) (func(), error) {
	if branch.Class == settings.ClassStream {
		return a.gate.AcquireStream()
	}
	flow, own := flowOf(a.live.Current(), branch, r.Header.Get(wire.HeaderCaller))
	deadline, _ := ctx.Deadline()
	return a.gate.AcquireSlot(ctx, gate.Request{Flow: flow, Branch: own, Timeout: branch.QueueTimeout, Deadline: deadline})
}

func refusalStatus(err error) int {
	if errors.Is(err, gate.ErrQueue) || errors.Is(err, gate.ErrExpired) {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// refuse answers that the request was not run and why.
func (a *Agent) refuse(w http.ResponseWriter, r *http.Request, status int, reason string) {
	a.metrics.Counter("agent_refused").Inc(1)
	events.GateRefused.Log(&a.log).Str("request", r.Header.Get(wire.HeaderRequestID)).Str("reason", reason).Send()
	a.loadHeaders(w)
	w.Header().Set(wire.HeaderOutcome, string(wire.OutcomeNotRun))
	w.Header().Set(wire.HeaderReason, reason)
	w.WriteHeader(status)
}

func (a *Agent) loadHeaders(w http.ResponseWriter) {
	u := a.gate.Usage()
	w.Header().Set(wire.HeaderBusy, strconv.Itoa(u.Busy))
	w.Header().Set(wire.HeaderQueued, strconv.Itoa(u.Queued))
	if a.stop.isLeaving() {
		w.Header().Set(wire.HeaderLeaving, "1")
	}
}

// setWait reports the time at the gate, so that the entry can tell queueing from service.
func setWait(w http.ResponseWriter, waited time.Duration) {
	w.Header().Set(wire.HeaderWaitUs, strconv.FormatInt(waited.Microseconds(), 10))
}

// hopHeaders are not passed on.
var hopHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Upgrade", "Te", "Trailer", "Proxy-Connection", "Proxy-Authorization"}

func (a *Agent) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, path string, branch *settings.Effective) {
	started := time.Now()
	resp, err := a.backend.Do(outgoing(r.WithContext(ctx), path))
	if err == nil {
		err = checkEcho(r, resp)
	}
	if err != nil {
		a.forwardFailed(w, r, err)
		return
	}
	defer resp.Body.Close()
	a.startAnswer(w, resp)
	readErr, writeErr := copyBody(w, resp.Body, resp.ContentLength < 0)
	if err := errors.Join(readErr, writeErr); err != nil {
		events.ForwardFailed.Log(&a.log).Str("request", r.Header.Get(wire.HeaderRequestID)).Err(err).Msg("answer truncated")
		panic(http.ErrAbortHandler) // resets the HTTP/2 stream, so that the entry sees the truncation
	}
	a.observe(branch, time.Since(started))
}

// outgoing is the request to the backend server. Its body cannot be sent twice: net/http repeats a request with an
// Idempotency-Key by itself unless its body cannot be replayed.
func outgoing(r *http.Request, path string) *http.Request {
	out := r.Clone(r.Context())
	out.URL.Path = path
	out.URL.RawPath = ""
	out.RequestURI = ""
	for _, h := range hopHeaders {
		out.Header.Del(h)
	}
	out.GetBody = nil
	out.Body = onceBody{r.Body}
	return out
}

var errEcho = errors.New("the backend server answered another request")

// checkEcho compares the request identifier if the backend server returns one. A mismatch closes the connection.
func checkEcho(r *http.Request, resp *http.Response) error {
	got := resp.Header.Get(wire.HeaderRequestID)
	if got == "" || got == r.Header.Get(wire.HeaderRequestID) {
		return nil
	}
	resp.Body.Close()
	return errEcho
}

func (a *Agent) startAnswer(w http.ResponseWriter, resp *http.Response) {
	copyHeader(w.Header(), resp.Header)
	a.loadHeaders(w)
	w.Header().Set(wire.HeaderOutcome, string(wire.OutcomeDone))
	w.WriteHeader(resp.StatusCode)
}

// onceBody hides http.NoBody and the concrete type of a body, so that the transport never sends it twice.
type onceBody struct{ io.ReadCloser }

func (a *Agent) answerUnknown(w http.ResponseWriter, status int, err error) {
	a.loadHeaders(w)
	w.Header().Set(wire.HeaderOutcome, string(wire.OutcomeUnknown))
	w.Header().Set(wire.HeaderReason, err.Error())
	w.WriteHeader(status)
}

func (a *Agent) forwardFailed(w http.ResponseWriter, r *http.Request, err error) {
	notRun := errors.Is(err, backend.ErrNotSent)
	events.ForwardFailed.Log(&a.log).Str("request", r.Header.Get(wire.HeaderRequestID)).Err(err).Bool("not_run", notRun).Send()
	a.metrics.Counter("agent_forward_failed").Inc(1)
	a.loadHeaders(w)
	err = fmt.Errorf("backend server: %w", err)
	switch {
	case notRun:
		w.Header().Set(wire.HeaderUnhealthy, "1")
		a.refuse(w, r, http.StatusServiceUnavailable, err.Error())
	case errors.Is(err, context.DeadlineExceeded):
		a.answerUnknown(w, http.StatusGatewayTimeout, err)
	default:
		a.answerUnknown(w, http.StatusBadGateway, err)
	}
}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		if strings.HasPrefix(name, "Bf-") {
			continue
		}
		dst[name] = values
	}
	for _, h := range hopHeaders {
		dst.Del(h)
	}
}

// copyBufferBytes is the unit in which bodies are passed on.
const copyBufferBytes = 32 << 10

// copyBody passes a body on. A body of unknown length may be a stream, so each part is flushed. It tells a body that
// broke off (readErr) from a receiver that is gone (writeErr).
func copyBody(w http.ResponseWriter, body io.Reader, stream bool) (readErr, writeErr error) {
	buf := make([]byte, copyBufferBytes)
	flush := func() error { return nil }
	if stream {
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
