package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

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
	w.Header().Set(wire.HeaderAgent, a.cfg.ID)
	branch, known := a.live.Current().Branch(r.Header.Get(wire.HeaderBranch))
	if !known {
		a.refuse(w, r, http.StatusServiceUnavailable, "branch not known to this agent yet")
		return
	}
	ctx, cancel := requestContext(r, branch)
	defer cancel()
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
	switch err := a.fences.start(r.Header.Get(wire.HeaderRequestID) + "/" + r.Header.Get(wire.HeaderAttempt)); err {
	case nil:
	case errFenced:
		a.refuse(w, r, http.StatusConflict, err.Error())
		return
	default:
		a.answerUnknown(w, http.StatusConflict, err)
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
}

// setWait reports the time at the gate, so that the entry can tell queueing from service.
func setWait(w http.ResponseWriter, waited time.Duration) {
	w.Header().Set(wire.HeaderWaitUs, strconv.FormatInt(waited.Microseconds(), 10))
}

// hopHeaders are not passed on.
var hopHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Upgrade", "Te", "Trailer", "Proxy-Connection", "Proxy-Authorization"}

func (a *Agent) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, path string, branch *settings.Effective) {
	started := time.Now()
	out := r.Clone(ctx)
	out.URL.Path = path
	out.URL.RawPath = ""
	out.RequestURI = ""
	for _, h := range hopHeaders {
		out.Header.Del(h)
	}
	out.GetBody = nil
	out.Body = onceBody{r.Body} // net/http repeats a request with an Idempotency-Key unless its body cannot be replayed
	resp, err := a.backend.Do(out)
	if err != nil {
		a.forwardFailed(w, r, err)
		return
	}
	defer resp.Body.Close()
	copyHeader(w.Header(), resp.Header)
	a.loadHeaders(w)
	w.Header().Set(wire.HeaderOutcome, string(wire.OutcomeDone))
	w.WriteHeader(resp.StatusCode)
	if err := wire.CopyBody(w, resp); err != nil {
		events.ForwardFailed.Log(&a.log).Str("request", r.Header.Get(wire.HeaderRequestID)).Err(err).Msg("answer truncated")
		panic(http.ErrAbortHandler) // resets the HTTP/2 stream, so that the entry sees the truncation
	}
	a.observe(branch, time.Since(started))
}

// onceBody hides http.NoBody and the concrete type of a body, so that the transport never sends it twice.
type onceBody struct{ io.ReadCloser }

func (a *Agent) answerUnknown(w http.ResponseWriter, status int, err error) {
	w.Header().Set(wire.HeaderOutcome, string(wire.OutcomeUnknown))
	w.Header().Set(wire.HeaderReason, err.Error())
	w.WriteHeader(status)
}

func (a *Agent) forwardFailed(w http.ResponseWriter, r *http.Request, err error) {
	var opErr *net.OpError
	notRun := errors.As(err, &opErr) && opErr.Op == "dial"
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
