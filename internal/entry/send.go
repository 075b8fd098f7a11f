package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/ledger"
	"bamboofork/internal/membership"
	"bamboofork/internal/route"
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
	Body     *Body
	Deadline time.Time
}

// Answer is the outcome of a request. Response is nil unless the request ran; its body must be closed.
type Answer struct {
	Outcome  wire.Outcome
	Status   int // HTTP status for the caller when Response is nil
	Reason   string
	Response *http.Response
	done     func(failed bool)
	final    bool // an unknown outcome that no question can improve
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

// onClose adds a function that runs when the answer is closed, or now if it has no response.
func (a *Answer) onClose(f func()) {
	if a.Response == nil {
		f()
		return
	}
	done := a.done
	a.done = func(failed bool) {
		f()
		if done != nil {
			done(failed)
		}
	}
}

// maxAttempts bounds the tries of one request.
const maxAttempts = 3

// Send routes a request that may run more than once, and tries again where the budget allows it.
func (e *Entry) Send(ctx context.Context, req *Request) *Answer {
	e.budget.Deposit(req.Branch.RetryBudget)
	avoid := map[string]bool{}
	var last *Answer
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		answer := e.try(ctx, req, attempt, avoid)
		if answer == nil {
			break
		}
		last = answer
		if answer.Response != nil || ctx.Err() != nil || !req.Body.replayable() {
			return answer
		}
		if attempt == maxAttempts || time.Now().After(req.Deadline) || !e.budget.Withdraw() {
			break
		}
		e.retried(req, attempt, answer)
	}
	return last
}

func (e *Entry) retried(req *Request, attempt int, answer *Answer) {
	e.metrics.Counter("entry_retries").Inc(1)
	events.RequestRetried.Log(&e.log).Str("request", req.ID).Int("attempt", attempt).Str("reason", answer.Reason).Send()
}

// pick chooses an agent that was not tried before and logs the decision.
func (e *Entry) pick(req *Request, attempt int, avoid map[string]bool) route.Decision {
	e.leaving.avoid(avoid, e.table)
	d := e.balancer.Pick(req.Branch.Backend, e.unreachable.with(avoid))
	if d.Chosen == nil {
		d = e.balancer.Pick(req.Branch.Backend, avoid) // an agent that may answer again is better than none
	}
	if d.Chosen == nil {
		events.RequestUnrouted.Log(&e.log).Str("request", req.ID).Str("decision", d.Explain()).Send()
		return d
	}
	events.RequestRouted.Log(&e.log).Str("request", req.ID).Str("branch", req.Branch.Branch).Int("attempt", attempt).Str("decision", d.Explain()).Send()
	avoid[d.Chosen.ID] = true
	return d
}

func unrouted(d route.Decision) *Answer {
	return refused("no backend server: " + d.Explain())
}

// try sends the request to one agent. It returns nil if an earlier attempt's answer says more than "no agent left".
func (e *Entry) try(ctx context.Context, req *Request, attempt int, avoid map[string]bool) *Answer {
	d := e.pick(req, attempt, avoid)
	if d.Chosen == nil {
		if attempt > 1 {
			return nil
		}
		return unrouted(d)
	}
	out, err := e.exchange(ctx, req, d.Chosen.Member, &ledger.Claim{Attempt: attempt})
	switch {
	case errors.Is(err, errNotSent):
		return refused(err.Error())
	case err != nil:
		return lostAnswer(err)
	}
	return out
}

var errMismatch = errors.New("answer of another request")

// exchange sends one attempt to an agent and reads the head of its answer. errNotSent proves that the request did not
// leave this process; after other errors its outcome is not known.
func (e *Entry) exchange(ctx context.Context, req *Request, m membership.Member, claim *ledger.Claim) (*Answer, error) {
	resp, err := e.roundTrip(ctx, req, m, claim)
	if err != nil {
		e.balancer.Done(m.ID, ctx.Err() == nil || !errors.Is(err, context.Canceled))
		if ctx.Err() == nil {
			e.suspect(m)
		}
		return nil, err
	}
	done := func(failed bool) { e.balancer.Done(m.ID, failed) }
	if resp.Header.Get(wire.HeaderRequestID) != req.ID || resp.Header.Get(wire.HeaderAttempt) != strconv.Itoa(claim.Attempt) {
		done(true)
		resp.Body.Close()
		events.AnswerMismatch.Log(&e.log).Str("request", req.ID).Str("got", resp.Header.Get(wire.HeaderRequestID)).Str("agent", m.ID).Send()
		return nil, errMismatch
	}
	if resp.Header.Get(wire.HeaderLeaving) != "" && e.leaving.add(m) {
		events.ServerLeaving.Log(&e.log).Str("agent", m.ID).Send()
	}
	outcome := wire.Outcome(resp.Header.Get(wire.HeaderOutcome))
	if outcome == wire.OutcomeDone {
		if resp.ContentLength > 0 && req.Method != http.MethodHead {
			resp.Body = &sizedBody{ReadCloser: resp.Body, left: resp.ContentLength}
		}
		return &Answer{Outcome: outcome, Response: resp, done: done}, nil
	}
	done(outcome != wire.OutcomeNotRun || resp.Header.Get(wire.HeaderBackendDown) != "")
	resp.Body.Close()
	reason := resp.Header.Get(wire.HeaderReason)
	if outcome == wire.OutcomeNotRun {
		return &Answer{Outcome: outcome, Status: callerStatus(resp.StatusCode), Reason: reason}, nil
	}
	return &Answer{Outcome: wire.OutcomeUnknown, Status: http.StatusBadGateway, Reason: reason}, nil
}

// callerStatus maps an agent's refusal to what a caller may see: 503 and 429 invite a repeat, 4xx blame the request.
func callerStatus(status int) int {
	switch status {
	case http.StatusTooManyRequests, http.StatusRequestEntityTooLarge, http.StatusBadRequest:
		return status
	}
	return http.StatusServiceUnavailable
}

// roundTrip sends the attempt. The transport cannot repeat it: the request has no GetBody and its body is never
// http.NoBody.
func (e *Entry) roundTrip(ctx context.Context, req *Request, m membership.Member, claim *ledger.Claim) (*http.Response, error) {
	url := e.scheme + "://" + m.DataAddr + wire.ForwardPath + req.Path
	if req.Query != "" {
		url += "?" + req.Query
	}
	out, err := http.NewRequestWithContext(ctx, req.Method, url, req.Body.reader())
	if err != nil {
		return nil, errors.Join(errNotSent, err)
	}
	out.GetBody = nil
	out.ContentLength = req.Body.length
	if req.Body.length == 0 {
		out.ContentLength = -1 // a length of 0 with a body means "unknown" to net/http as well
	}
	for name, values := range req.Header {
		out.Header[name] = values
	}
	out.Header.Set(wire.HeaderRequestID, req.ID)
	out.Header.Set(wire.HeaderBranch, req.Branch.Branch)
	out.Header.Set(wire.HeaderAttempt, strconv.Itoa(claim.Attempt))
	out.Header.Set(wire.HeaderDeadlineMs, strconv.FormatInt(time.Until(req.Deadline).Milliseconds(), 10))
	if claim.AgentInc != 0 {
		out.Header.Set(wire.HeaderIncarnation, strconv.FormatInt(claim.AgentInc, 10))
		out.Header.Set(wire.HeaderUntilMs, strconv.FormatInt(claim.Until.Milliseconds(), 10))
	}
	return e.client.RoundTrip(out)
}

// lostAnswer is the answer when the exchange broke after the request may have left.
func lostAnswer(cause error) *Answer {
	status := http.StatusBadGateway
	if errors.Is(cause, context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	return &Answer{Outcome: wire.OutcomeUnknown, Status: status, Reason: cause.Error()}
}
