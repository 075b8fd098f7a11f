package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"bamboofork/internal/backend"
	"bamboofork/internal/events"
	"bamboofork/internal/settings"
	"bamboofork/internal/wire"
)

// dispatch identifies one dispatch of a request that must run at most once.
type dispatch struct {
	id          string // wire.AttemptID
	incarnation int64
	until       time.Duration
}

var errMalformedDispatch = errors.New("malformed headers of a keyed request")

// parseDispatch parses the headers of a keyed request; nil without an error means that the request is not keyed.
func parseDispatch(r *http.Request) (*dispatch, error) {
	inc, until := r.Header.Get(wire.HeaderIncarnation), r.Header.Get(wire.HeaderUntilMs)
	if inc == "" && until == "" {
		return nil, nil
	}
	incarnation, incErr := strconv.ParseInt(inc, 10, 64)
	ms, untilErr := strconv.ParseInt(until, 10, 64)
	attempt, attemptErr := strconv.Atoi(r.Header.Get(wire.HeaderAttempt))
	if errors.Join(incErr, untilErr, attemptErr) != nil {
		return nil, errMalformedDispatch
	}
	id := wire.AttemptID(r.Header.Get(wire.HeaderRequestID), attempt)
	return &dispatch{id: id, incarnation: incarnation, until: time.Duration(ms) * time.Millisecond}, nil
}

// serveKeyed serves a keyed request, which runs at most once. The request is either refused permanently before it starts,
// or runs detached from the connection, so that a lost connection loses only the response and not the record of it.
func (a *Agent) serveKeyed(w http.ResponseWriter, r *http.Request, path string, branch *settings.Effective, d *dispatch) {
	if inc := a.table.Self().Incarnation; d.incarnation != inc {
		a.respondUnknown(w, http.StatusConflict, errors.New("the request was dispatched to an earlier start of this agent"))
		return
	}
	switch err := a.fences.recordArrival(d.id, d.until); {
	case errors.Is(err, errDuplicate):
		events.RequestRepeated.Log(&a.log).Str("request", d.id).Send()
		a.respondUnknown(w, http.StatusConflict, err)
		return
	case err != nil:
		a.respondNotRun(w, r, http.StatusConflict, err.Error())
		return
	}
	ctx, cancel := requestContext(r, branch)
	defer cancel()
	arrived := time.Now()
	release, body, status, err := a.admitKeyed(ctx, r, branch)
	setWaitHeader(w, time.Since(arrived))
	if err != nil {
		a.fences.fence(d.id)
		a.respondNotRun(w, r, status, err.Error())
		return
	}
	defer release()
	if err := a.fences.markRunning(d.id); err != nil {
		a.respondNotRun(w, r, http.StatusConflict, err.Error())
		return
	}
	a.runKeyed(w, r, path, body, branch, d)
}

// admitKeyed acquires a slot and reads the whole body; if it fails, the request has not run.
func (a *Agent) admitKeyed(ctx context.Context, r *http.Request, branch *settings.Effective) (
	release func(), body []byte, status int, err error) {
	release, err = a.admit(ctx, r, branch)
	if err != nil {
		return nil, nil, refusalStatus(err), err
	}
	body, err = io.ReadAll(io.LimitReader(r.Body, branch.BodyLimit+1))
	switch {
	case err != nil:
		status = http.StatusBadRequest
	case int64(len(body)) > branch.BodyLimit:
		status, err = http.StatusRequestEntityTooLarge, errors.New("body exceeds the limit of the branch")
	case ctx.Err() != nil:
		status, err = http.StatusServiceUnavailable, errors.New("deadline passed before the request ran")
	}
	if err != nil {
		release()
	}
	return release, body, status, err
}

func (a *Agent) runKeyed(w http.ResponseWriter, r *http.Request, path string, body []byte, branch *settings.Effective, d *dispatch) {
	ctx, cancel := detachedContext(r, branch)
	defer cancel()
	started := time.Now()
	out := backendRequest(r.WithContext(ctx), path)
	out.Body = singleUseBody{io.NopCloser(bytes.NewReader(body))}
	out.ContentLength = int64(len(body))
	resp, err := a.backend.Do(out)
	if err == nil {
		err = checkRequestID(r, resp)
	}
	if err != nil {
		a.handleKeyedError(w, r, d, err)
		return
	}
	defer resp.Body.Close()
	a.startResponse(w, resp)
	prefix := &prefixBuffer{limit: wire.MaxStoredBodyBytes}
	readErr, writeErr := copyBody(w, io.TeeReader(resp.Body, prefix), resp.ContentLength < 0)
	if writeErr != nil && readErr == nil {
		_, readErr = io.Copy(io.Discard, io.TeeReader(resp.Body, prefix))
	}
	a.fences.recordResult(d.id, resultOf(resp, prefix, readErr))
	if writeErr != nil || r.Context().Err() != nil {
		a.recordLateResponse(d.id)
	}
	if readErr != nil || writeErr != nil {
		panic(http.ErrAbortHandler)
	}
	a.observeLatency(branch, time.Since(started))
}

func (a *Agent) recordLateResponse(id string) {
	a.metrics.Counter("agent_late_answers").Inc(1)
	events.AnswerLate.Log(&a.log).Str("request", id).Send()
}

// detachedContext returns a context that ends at the request's deadline, even if the connection ends earlier.
func detachedContext(r *http.Request, branch *settings.Effective) (context.Context, context.CancelFunc) {
	ctx := context.WithoutCancel(r.Context())
	ms, err := strconv.ParseInt(r.Header.Get(wire.HeaderDeadlineMs), 10, 64)
	if err != nil {
		return context.WithTimeout(ctx, branch.Deadline)
	}
	return context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
}

func (a *Agent) handleKeyedError(w http.ResponseWriter, r *http.Request, d *dispatch, err error) {
	if errors.Is(err, backend.ErrNotSent) {
		a.fences.fence(d.id)
	} else {
		a.fences.recordResult(d.id, wire.Result{Outcome: wire.OutcomeUnknown})
	}
	a.handleForwardError(w, r, err)
}

// resultOf returns the record of a response. A truncated body counts as failed, because the request ran.
func resultOf(resp *http.Response, prefix *prefixBuffer, readErr error) wire.Result {
	result := wire.Result{
		Outcome: wire.OutcomeDone, Status: resp.StatusCode, Body: prefix.data, Truncated: prefix.truncated,
		Header: map[string]string{"Content-Type": resp.Header.Get("Content-Type")},
	}
	if readErr != nil {
		result.Outcome, result.Body, result.Truncated = wire.OutcomeFailed, nil, true
	}
	if result.Truncated {
		result.Body = nil
	}
	return result
}

// prefixBuffer stores the first limit bytes written to it and records whether there were more.
type prefixBuffer struct {
	limit     int
	data      []byte
	truncated bool
}

// Write implements io.Writer; it never fails.
func (b *prefixBuffer) Write(p []byte) (int, error) {
	remaining := b.limit - len(b.data)
	b.data = append(b.data, p[:min(remaining, len(p))]...)
	b.truncated = b.truncated || len(p) > remaining
	return len(p), nil
}
