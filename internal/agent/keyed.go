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

// keyedDispatch identifies one dispatch of a keyed request, which must run at most once.
type keyedDispatch struct {
	id          string        // from wire.AttemptID
	incarnation int64         // agent incarnation to which the request was dispatched
	validUntil  time.Duration // agent's clock until which the request may start
}

var errMalformedDispatch = errors.New("malformed headers of a keyed request")

// parseDispatch parses the headers of a keyed request. It returns nil without an error if the request is not keyed.
func parseDispatch(r *http.Request) (*keyedDispatch, error) {
	incarnationText, untilText := r.Header.Get(wire.HeaderIncarnation), r.Header.Get(wire.HeaderUntilMs)
	if incarnationText == "" && untilText == "" {
		return nil, nil
	}
	incarnation, incErr := strconv.ParseInt(incarnationText, 10, 64)
	untilMs, untilErr := strconv.ParseInt(untilText, 10, 64)
	attempt, attemptErr := strconv.Atoi(r.Header.Get(wire.HeaderAttempt))
	if errors.Join(incErr, untilErr, attemptErr) != nil {
		return nil, errMalformedDispatch
	}
	id := wire.AttemptID(r.Header.Get(wire.HeaderRequestID), attempt)
	return &keyedDispatch{id: id, incarnation: incarnation, validUntil: time.Duration(untilMs) * time.Millisecond}, nil
}

// serveKeyed serves a keyed request, which runs at most once. The request is either refused permanently before it starts or runs
// independently of the connection to the entry. If that connection is lost, only the response is lost, not the recorded result.
func (a *Agent) serveKeyed(w http.ResponseWriter, r *http.Request, path string, branch *settings.Effective, dispatch *keyedDispatch) {
	if current := a.table.Self().Incarnation; dispatch.incarnation != current {
		a.respondUnknown(w, http.StatusConflict, errors.New("the request was dispatched to an earlier start of this agent"))
		return
	}
	switch err := a.fences.recordArrival(dispatch.id, dispatch.validUntil); {
	case errors.Is(err, errDuplicate):
		events.RequestRepeated.Log(&a.log).Str("request", dispatch.id).Send()
		a.respondUnknown(w, http.StatusConflict, err)
		return
	case err != nil:
		a.respondNotRun(w, r, http.StatusConflict, err.Error())
		return
	}
	ctx, cancel := requestContext(r, branch)
	defer cancel()
	arrivedAt := time.Now()
	release, body, status, err := a.admitKeyed(ctx, r, branch)
	setWaitHeader(w, time.Since(arrivedAt))
	if err != nil {
		a.fences.fence(dispatch.id)
		a.respondNotRun(w, r, status, err.Error())
		return
	}
	defer release()
	if err := a.fences.markRunning(dispatch.id); err != nil {
		a.respondNotRun(w, r, http.StatusConflict, err.Error())
		return
	}
	a.runKeyed(w, r, path, body, branch, dispatch)
}

// admitKeyed acquires a slot and reads the whole body. It returns the function that releases the slot. On an error the slot is
// released, the request has not run, and status is the HTTP status of the refusal.
func (a *Agent) admitKeyed(ctx context.Context, r *http.Request, branch *settings.Effective) (
	release func(), body []byte, status int, err error) {
	release, err = a.admitRequest(ctx, r, branch)
	if err != nil {
		return nil, nil, refusalStatus(err), err
	}
	body, err = io.ReadAll(io.LimitReader(r.Body, branch.MaxBodyBytes+1))
	switch {
	case err != nil:
		status = http.StatusBadRequest
	case int64(len(body)) > branch.MaxBodyBytes:
		status, err = http.StatusRequestEntityTooLarge, errors.New("body exceeds the limit of the branch")
	case ctx.Err() != nil:
		status, err = http.StatusServiceUnavailable, errors.New("deadline passed before the request ran")
	}
	if err != nil {
		release()
	}
	return release, body, status, err
}

func (a *Agent) runKeyed(w http.ResponseWriter, r *http.Request, path string, body []byte, branch *settings.Effective,
	dispatch *keyedDispatch) {
	ctx, cancel := detachedContext(r, branch)
	defer cancel()
	startedAt := time.Now()
	backendReq := backendRequest(r.WithContext(ctx), path)
	backendReq.Body = singleUseBody{io.NopCloser(bytes.NewReader(body))}
	backendReq.ContentLength = int64(len(body))
	resp, err := a.backend.Do(backendReq)
	if err == nil {
		err = checkRequestID(r, resp)
	}
	if err != nil {
		a.handleKeyedError(w, r, dispatch, err)
		return
	}
	defer resp.Body.Close()
	a.startResponse(w, resp)
	bodyPrefix := &prefixBuffer{limit: wire.MaxStoredBodyBytes}
	readErr, writeErr := copyBody(w, io.TeeReader(resp.Body, bodyPrefix), resp.ContentLength < 0)
	if writeErr != nil && readErr == nil {
		_, readErr = io.Copy(io.Discard, io.TeeReader(resp.Body, bodyPrefix))
	}
	a.fences.recordResult(dispatch.id, resultOf(resp, bodyPrefix, readErr))
	if writeErr != nil || r.Context().Err() != nil {
		a.recordLateResponse(dispatch.id)
	}
	if readErr != nil || writeErr != nil {
		panic(http.ErrAbortHandler)
	}
	a.observeLatency(branch, time.Since(startedAt))
}

func (a *Agent) recordLateResponse(id string) {
	a.metrics.Counter("agent_late_answers").Inc(1)
	events.AnswerLate.Log(&a.log).Str("request", id).Send()
}

// detachedContext returns a context that ends at the request's deadline and not when the connection to the entry ends.
func detachedContext(r *http.Request, branch *settings.Effective) (context.Context, context.CancelFunc) {
	ctx := context.WithoutCancel(r.Context())
	deadlineMs, err := strconv.ParseInt(r.Header.Get(wire.HeaderDeadlineMs), 10, 64)
	if err != nil {
		return context.WithTimeout(ctx, branch.Deadline)
	}
	return context.WithTimeout(ctx, time.Duration(deadlineMs)*time.Millisecond)
}

func (a *Agent) handleKeyedError(w http.ResponseWriter, r *http.Request, dispatch *keyedDispatch, err error) {
	if errors.Is(err, backend.ErrNotSent) {
		a.fences.fence(dispatch.id)
	} else {
		a.fences.recordResult(dispatch.id, wire.Result{Outcome: wire.OutcomeUnknown})
	}
	a.handleForwardError(w, r, err)
}

// resultOf returns the result to record for a response. If the body could not be read completely, the outcome is failed, because
// the request has run.
func resultOf(resp *http.Response, bodyPrefix *prefixBuffer, readErr error) wire.Result {
	result := wire.Result{
		Outcome: wire.OutcomeDone, Status: resp.StatusCode, Body: bodyPrefix.data, Truncated: bodyPrefix.truncated,
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

// prefixBuffer stores the first limit bytes written to it and records whether more bytes were written.
type prefixBuffer struct {
	limit     int
	data      []byte
	truncated bool
}

// Write implements io.Writer and never returns an error.
func (b *prefixBuffer) Write(p []byte) (int, error) {
	remaining := b.limit - len(b.data)
	b.data = append(b.data, p[:min(remaining, len(p))]...)
	b.truncated = b.truncated || len(p) > remaining
	return len(p), nil
}
