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

// dispatch is the identity of a request that must run at most once.
type dispatch struct {
	id          string // wire.AttemptID
	incarnation int64
	until       time.Duration
}

var errDispatch = errors.New("malformed headers of a keyed request")

// dispatchOf reads the headers of a keyed request; nil without an error means that the request is not keyed.
func dispatchOf(r *http.Request) (*dispatch, error) {
	inc, until := r.Header.Get(wire.HeaderIncarnation), r.Header.Get(wire.HeaderUntilMs)
	if inc == "" && until == "" {
		return nil, nil
	}
	incarnation, err1 := strconv.ParseInt(inc, 10, 64)
	ms, err2 := strconv.ParseInt(until, 10, 64)
	attempt, err3 := strconv.Atoi(r.Header.Get(wire.HeaderAttempt))
	if errors.Join(err1, err2, err3) != nil {
		return nil, errDispatch
	}
	id := wire.AttemptID(r.Header.Get(wire.HeaderRequestID), attempt)
	return &dispatch{id: id, incarnation: incarnation, until: time.Duration(ms) * time.Millisecond}, nil
}

// serveOnce takes a keyed request. It is refused for good before it starts, or runs detached from the connection, so
// that a lost connection loses only the answer and not the record of it.
func (a *Agent) serveOnce(w http.ResponseWriter, r *http.Request, path string, branch *settings.Effective, d *dispatch) {
	if inc := a.table.Self().Incarnation; d.incarnation != inc {
		a.answerUnknown(w, http.StatusConflict, errors.New("the request was dispatched to an earlier start of this agent"))
		return
	}
	switch err := a.fences.arrive(d.id, d.until); {
	case errors.Is(err, errRepeated):
		events.RequestRepeated.Log(&a.log).Str("request", d.id).Send()
		a.answerUnknown(w, http.StatusConflict, err)
		return
	case err != nil:
		a.refuse(w, r, http.StatusConflict, err.Error())
		return
	}
	ctx, cancel := requestContext(r, branch)
	defer cancel()
	arrived := time.Now()
	release, body, status, err := a.admitOnce(ctx, r, branch)
	setWait(w, time.Since(arrived))
	if err != nil {
		a.fences.refuse(d.id)
		a.refuse(w, r, status, err.Error())
		return
	}
	defer release()
	if err := a.fences.start(d.id); err != nil {
		a.refuse(w, r, http.StatusConflict, err.Error())
		return
	}
	a.runOnce(w, r, path, body, branch, d)
}

// admitOnce gets a slot and the whole body; nothing has run if it fails.
func (a *Agent) admitOnce(ctx context.Context, r *http.Request, branch *settings.Effective) (release func(), body []byte, status int, err error) {
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

func (a *Agent) runOnce(w http.ResponseWriter, r *http.Request, path string, body []byte, branch *settings.Effective, d *dispatch) {
	ctx, cancel := detachedContext(r, branch)
	defer cancel()
	started := time.Now()
	out := outgoing(r.WithContext(ctx), path)
	out.Body = onceBody{io.NopCloser(bytes.NewReader(body))}
	out.ContentLength = int64(len(body))
	resp, err := a.backend.Do(out)
	if err == nil {
		err = checkEcho(r, resp)
	}
	if err != nil {
		a.onceFailed(w, r, d, err)
		return
	}
	defer resp.Body.Close()
	a.startAnswer(w, resp)
	kept := &headBuffer{limit: wire.KeptBody}
	readErr, writeErr := copyBody(w, io.TeeReader(resp.Body, kept), resp.ContentLength < 0)
	if writeErr != nil && readErr == nil {
		_, readErr = io.Copy(io.Discard, io.TeeReader(resp.Body, kept))
	}
	a.fences.end(d.id, resultOf(resp, kept, readErr))
	if writeErr != nil || r.Context().Err() != nil {
		a.answerLate(d.id)
	}
	if readErr != nil || writeErr != nil {
		panic(http.ErrAbortHandler)
	}
	a.observe(branch, time.Since(started))
}

func (a *Agent) answerLate(id string) {
	a.metrics.Counter("agent_late_answers").Inc(1)
	events.AnswerLate.Log(&a.log).Str("request", id).Send()
}

// detachedContext ends at the request's deadline and not with its connection.
func detachedContext(r *http.Request, branch *settings.Effective) (context.Context, context.CancelFunc) {
	ctx := context.WithoutCancel(r.Context())
	ms, err := strconv.ParseInt(r.Header.Get(wire.HeaderDeadlineMs), 10, 64)
	if err != nil {
		return context.WithTimeout(ctx, branch.Deadline)
	}
	return context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
}

func (a *Agent) onceFailed(w http.ResponseWriter, r *http.Request, d *dispatch, err error) {
	if errors.Is(err, backend.ErrNotSent) {
		a.fences.refuse(d.id)
	} else {
		a.fences.end(d.id, wire.Result{Outcome: wire.OutcomeUnknown})
	}
	a.forwardFailed(w, r, err)
}

// resultOf is the record of an answer. A body that broke off counts as failed: the request ran.
func resultOf(resp *http.Response, kept *headBuffer, readErr error) wire.Result {
	result := wire.Result{
		Outcome: wire.OutcomeDone, Status: resp.StatusCode, Body: kept.data, Truncated: kept.over,
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

// headBuffer keeps the first limit bytes written to it and notes whether there were more.
type headBuffer struct {
	limit int
	data  []byte
	over  bool
}

// Write implements io.Writer; it never fails.
func (b *headBuffer) Write(p []byte) (int, error) {
	room := b.limit - len(b.data)
	b.data = append(b.data, p[:min(room, len(p))]...)
	b.over = b.over || len(p) > room
	return len(p), nil
}
