package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/membership"
	"bamboofork/internal/settings"
	"bamboofork/internal/wire"
)

// Request is a caller's request after its branch is known.
type Request struct {
	ID       string
	Branch   *settings.Effective
	Method   string
	Path     string // at the backend server
	Query    string
	Header   http.Header
	Body     []byte
	Deadline time.Time
	Once     bool // must not run twice
}

// Answer is the outcome of a request. Response is nil unless the request ran; its body must be closed.
type Answer struct {
	Outcome  wire.Outcome
	Status   int // HTTP status for the caller when Response is nil
	Reason   string
	Response *http.Response
	done     func(failed bool)
}

// Close releases the answer. failed says that the body could not be read to its end.
func (a *Answer) Close(failed bool) {
	if a.Response != nil {
		a.Response.Body.Close()
	}
	if a.done != nil {
		a.done(failed)
		a.done = nil
	}
}

// maxAttempts bounds the tries of one request.
const maxAttempts = 3

// Send routes the request and tries again where that is known to be safe and the budget allows it.
func (e *Entry) Send(ctx context.Context, req *Request) *Answer {
	e.budget.Deposit(req.Branch.RetryBudget)
	avoid := map[string]bool{}
	var last *Answer
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		answer, retriable := e.try(ctx, req, attempt, avoid)
		if answer.Response != nil || !retriable {
			return answer
		}
		last = answer
		if attempt == maxAttempts || time.Now().After(req.Deadline) || !e.budget.Withdraw() {
			break
		}
		e.metrics.Counter("entry_retries").Inc(1)
		events.RequestRetried.Log(&e.log).Str("request", req.ID).Int("attempt", attempt).Str("reason", answer.Reason).Send()
	}
	return last
}

// try sends the request to one agent. retriable says that another try cannot run the request twice, or that running
// it twice is harmless.
func (e *Entry) try(ctx context.Context, req *Request, attempt int, avoid map[string]bool) (answer *Answer, retriable bool) {
	d := e.balancer.Pick(req.Branch.Backend, avoid)
	if d.Chosen == nil {
		events.RequestUnrouted.Log(&e.log).Str("request", req.ID).Str("decision", d.Explain()).Send()
		return &Answer{Outcome: wire.OutcomeNotRun, Status: http.StatusServiceUnavailable, Reason: "no backend server: " + d.Explain()}, false
	}
	events.RequestRouted.Log(&e.log).Str("request", req.ID).Str("branch", req.Branch.Branch).Int("attempt", attempt).Str("decision", d.Explain()).Send()
	member := d.Chosen.Member
	avoid[member.ID] = true
	done := func(failed bool) { e.balancer.Done(member.ID, failed) }
	resp, err := e.roundTrip(ctx, req, attempt, member)
	if err != nil {
		done(true)
		return e.lost(ctx, req, attempt, member, err)
	}
	if got := resp.Header.Get(wire.HeaderRequestID); got != req.ID {
		done(true)
		resp.Body.Close()
		events.AnswerMismatch.Log(&e.log).Str("request", req.ID).Str("got", got).Str("agent", member.ID).Send()
		return &Answer{Outcome: wire.OutcomeUnknown, Status: http.StatusBadGateway, Reason: "answer of another request"}, !req.Once
	}
	switch outcome := wire.Outcome(resp.Header.Get(wire.HeaderOutcome)); outcome {
	case wire.OutcomeDone:
		return &Answer{Outcome: outcome, Response: resp, done: done}, false
	case wire.OutcomeNotRun:
		done(false)
		resp.Body.Close()
		return &Answer{Outcome: outcome, Status: resp.StatusCode, Reason: resp.Header.Get(wire.HeaderReason)}, true
	default:
		done(true)
		resp.Body.Close()
		return &Answer{Outcome: wire.OutcomeUnknown, Status: http.StatusBadGateway, Reason: resp.Header.Get(wire.HeaderReason)}, !req.Once
	}
}

func (e *Entry) roundTrip(ctx context.Context, req *Request, attempt int, m membership.Member) (*http.Response, error) {
	url := "http://" + m.DataAddr + wire.ForwardPath + req.Path
	if req.Query != "" {
		url += "?" + req.Query
	}
	out, err := http.NewRequestWithContext(ctx, req.Method, url, bytes.NewReader(req.Body))
	if err != nil {
		return nil, err
	}
	if req.Once {
		out.GetBody = nil // the transport must not repeat the request by itself
		out.Body = io.NopCloser(bytes.NewReader(req.Body))
		out.ContentLength = -1
	}
	for name, values := range req.Header {
		out.Header[name] = values
	}
	out.Header.Set(wire.HeaderRequestID, req.ID)
	out.Header.Set(wire.HeaderBranch, req.Branch.Branch)
	out.Header.Set(wire.HeaderAttempt, strconv.Itoa(attempt))
	out.Header.Set(wire.HeaderDeadlineMs, strconv.FormatInt(time.Until(req.Deadline).Milliseconds(), 10))
	return e.client.RoundTrip(out)
}

// lost decides what a broken exchange means. Only a failed dial or the agent's fence proves that nothing ran.
func (e *Entry) lost(ctx context.Context, req *Request, attempt int, m membership.Member, cause error) (*Answer, bool) {
	var opErr *net.OpError
	if errors.As(cause, &opErr) && opErr.Op == "dial" || e.fenced(req, attempt, m) {
		return &Answer{Outcome: wire.OutcomeNotRun, Status: http.StatusServiceUnavailable, Reason: cause.Error()}, ctx.Err() == nil
	}
	status := http.StatusBadGateway
	if errors.Is(cause, context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	if req.Once {
		events.RequestUnknown.Log(&e.log).Str("request", req.ID).Str("agent", m.ID).Err(cause).Send()
	}
	return &Answer{Outcome: wire.OutcomeUnknown, Status: status, Reason: cause.Error()}, !req.Once && ctx.Err() == nil
}

// fenceTimeout bounds the question to the agent after a lost answer.
const fenceTimeout = time.Second

// fenced asks the agent to refuse the attempt if it has not started; true proves that it never will run.
func (e *Entry) fenced(req *Request, attempt int, m membership.Member) bool {
	if !req.Once {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), fenceTimeout)
	defer cancel()
	var reply wire.FenceReply
	id := req.ID + "/" + strconv.Itoa(attempt)
	err := e.pool.Call(ctx, m.Addr, "Agent.FenceRequest", wire.FenceArgs{RequestID: id}, &reply)
	return err == nil && !reply.Started && reply.Incarnation == m.Incarnation
}

// readBody reads a caller's body up to the branch's limit.
func readBody(r io.Reader, limit int64) (body []byte, tooLarge bool, err error) {
	body, err = io.ReadAll(io.LimitReader(r, limit+1))
	return body, int64(len(body)) > limit, err
}
