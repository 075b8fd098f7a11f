package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/ledger"
	"bamboofork/internal/membership"
	"bamboofork/internal/retry"
	"bamboofork/internal/route"
	"bamboofork/internal/settings"
	"bamboofork/internal/wire"
)

// Request is a caller's request with its branch resolved.
type Request struct {
	ID         string
	Branch     *settings.Effective
	Method     string
	Path       string // at the backend server
	Query      string
	Header     http.Header
	Body       *Body
	Deadline   time.Time
	Caller     netip.Addr // zero if unknown
	AtMostOnce bool       // must not run twice
}

// waitUnknown is the value of Result.Waited if the agent did not report the queueing time.
const waitUnknown time.Duration = -1

// Result is the outcome of a request. Response is nil unless the request ran. A Result must be closed after use.
type Result struct {
	Outcome      wire.Outcome
	Status       int // HTTP status for the caller when Response is nil
	Reason       string
	Response     *http.Response
	Waited       time.Duration // in the agent's admission queue, or waitUnknown
	Overload     bool          // the agent refused the request because of overload
	release      func(failed bool)
	unresolvable bool // the outcome is unknown, and querying the agent cannot resolve it
}

// Close closes the response body and releases the server's slot. failed means that the body could not be read to its end.
func (r *Result) Close(failed bool) {
	if r.Response != nil {
		r.Response.Body.Close()
	}
	if r.release != nil {
		r.release(failed)
		r.release = nil
	}
}

// onClose registers a function to run when the result is closed. It runs at once if there is no response.
func (r *Result) onClose(f func()) {
	if r.Response == nil {
		f()
		return
	}
	done := r.release
	r.release = func(failed bool) {
		f()
		if done != nil {
			done(failed)
		}
	}
}

// Send routes the request. It retries on another agent if a retry is known to be safe and within the retry budget.
func (e *Entry) Send(ctx context.Context, req *Request) *Result {
	e.retryBudget.Deposit(req.Branch.Branch, req.Branch.RetryBudget)
	var tried [retry.MaxAttempts]string
	avoid := route.Tried(tried[:0])
	pick := e.pick(req, avoid)
	for attempt := 1; ; attempt++ {
		if pick.Chosen == nil {
			return e.unroutedResult(req, &pick)
		}
		e.recordRouted(req, attempt, &pick)
		avoid = append(avoid, pick.Chosen.ID)
		result := e.sendAttempt(ctx, req, attempt, pick.Chosen)
		next, again := e.nextAttempt(ctx, req, attempt, avoid, result)
		if !again {
			return result
		}
		pick = next
		e.recordRetry(req, attempt, result)
	}
}

// nextAttempt decides whether to retry and on which agent. After a refusal for overload it retries only on a server that
// has a free slot by this entry's estimate; elsewhere the retry would only add load to a full queue.
func (e *Entry) nextAttempt(ctx context.Context, req *Request, attempt int, avoid route.Tried, last *Result) (route.Decision, bool) {
	a := retry.Attempt{Number: attempt, Outcome: last.Outcome, AtMostOnce: req.AtMostOnce, Deadline: req.Deadline}
	if ctx.Err() != nil || !req.Body.replayable() || a.RefusalReason(time.Now()) != "" {
		return route.Decision{}, false
	}
	pick := e.pick(req, avoid)
	if pick.Chosen == nil {
		return pick, false
	}
	if last.Overload && pick.Load() >= 1 || !e.retryBudget.Withdraw(req.Branch.Branch) {
		e.balancer.Cancel(pick.Chosen)
		return pick, false
	}
	return pick, true
}

func (e *Entry) unroutedResult(req *Request, d *route.Decision) *Result {
	reason := d.Explain()
	events.RequestUnrouted.Log(&e.log).Str("request", req.ID).Str("decision", reason).Send()
	return &Result{Outcome: wire.OutcomeNotRun, Status: http.StatusServiceUnavailable, Reason: "no backend server: " + reason, Waited: waitUnknown}
}

func (e *Entry) recordRetry(req *Request, attempt int, result *Result) {
	e.metrics.Counter("entry_retries").Inc(1)
	events.RequestRetried.Log(&e.log).Str("request", req.ID).Int("attempt", attempt).Str("reason", result.Reason).Send()
}

// pick chooses an agent. Agents that announced their shutdown are never chosen; unreachable agents are chosen only if there
// is no other.
func (e *Entry) pick(req *Request, avoid route.Tried) route.Decision {
	avoid = e.shuttingDownAgents.appendTo(avoid, e.table)
	d := e.balancer.Pick(req.Branch.Backend, e.unreachableAgents.appendTo(avoid, e.table))
	if d.Chosen == nil {
		d = e.balancer.Pick(req.Branch.Backend, avoid)
	}
	return d
}

func (e *Entry) recordRouted(req *Request, attempt int, d *route.Decision) {
	e.decisions.add(decisionRecord{id: req.ID, branch: req.Branch.Branch, attempt: attempt, decision: *d})
	e.logRouted(req, attempt, d)
}

// logRouted logs the decision for a sample of the requests, set by log_sample of the branch. Rendering the decision costs
// more than making it, so it is done only for lines that are written.
func (e *Entry) logRouted(req *Request, attempt int, d *route.Decision) {
	if e.log.GetLevel() > events.RequestRouted.Level || rand.Float64() >= req.Branch.LogSample {
		return
	}
	events.RequestRouted.Log(&e.log).Str("request", req.ID).Str("branch", req.Branch.Branch).Int("attempt", attempt).
		Bool("spilled", d.CrossDomain).Str("decision", d.Explain()).Send()
}

// sendAttempt sends one attempt of an idempotent request to an agent.
func (e *Entry) sendAttempt(ctx context.Context, req *Request, attempt int, s *route.Server) *Result {
	out, err := e.exchange(ctx, req, s, &ledger.Claim{Attempt: attempt})
	switch {
	case errors.Is(err, errNotSent):
		return notRunResult(err.Error())
	case err != nil:
		return unknownResult(err)
	}
	return out
}

func notRunResult(reason string) *Result {
	return &Result{Outcome: wire.OutcomeNotRun, Status: http.StatusServiceUnavailable, Reason: reason, Waited: waitUnknown}
}

var errResponseMismatch = errors.New("answer of another request")

// exchange sends one attempt to an agent and reads the header of the response. errNotSent proves that the request did not
// leave this process; after any other error the outcome is unknown.
func (e *Entry) exchange(ctx context.Context, req *Request, s *route.Server, claim *ledger.Claim) (*Result, error) {
	started := time.Now()
	resp, err := e.roundTrip(ctx, req, s.Member, claim)
	if err != nil {
		// A missed deadline counts as a failure of the server: until the PING times out, it is the only sign of an unresponsive
		// connection. A disconnect of the caller does not count.
		e.balancer.Done(s, route.Result{Failed: !errors.Is(ctx.Err(), context.Canceled), BusySlots: -1})
		if ctx.Err() == nil {
			e.markUnreachable(s.Member)
		}
		return nil, err
	}
	load := routeResult(resp, time.Since(started))
	done := func(failed bool) {
		load.Failed = failed
		e.balancer.Done(s, load)
	}
	if resp.Header.Get(wire.HeaderRequestID) != req.ID || resp.Header.Get(wire.HeaderAttempt) != strconv.Itoa(claim.Attempt) {
		done(true)
		resp.Body.Close()
		events.AnswerMismatch.Log(&e.log).Str("request", req.ID).Str("got", resp.Header.Get(wire.HeaderRequestID)).Str("agent", s.ID).Send()
		return nil, errResponseMismatch
	}
	if resp.Header.Get(wire.HeaderLeaving) != "" && e.shuttingDownAgents.add(s.Member) {
		events.ServerLeaving.Log(&e.log).Str("agent", s.ID).Send()
	}
	if resp.ContentLength > 0 && req.Method != http.MethodHead {
		resp.Body = &sizedBody{ReadCloser: resp.Body, remaining: resp.ContentLength}
	}
	return newResult(resp, load, done), nil
}

// newResult converts the agent's response to a result. It releases the server's slot at once, unless the body is still to
// be read.
func newResult(resp *http.Response, load route.Result, done func(failed bool)) *Result {
	result := &Result{Waited: load.QueueTime, Overload: load.Overload}
	switch result.Outcome = wire.Outcome(resp.Header.Get(wire.HeaderOutcome)); result.Outcome {
	case wire.OutcomeDone:
		result.Response, result.release = resp, done
		return result
	case wire.OutcomeNotRun:
		done(resp.Header.Get(wire.HeaderUnhealthy) != "")
		result.Status = callerStatus(resp.StatusCode)
	default:
		done(true)
		result.Outcome, result.Status = wire.OutcomeUnknown, http.StatusBadGateway
	}
	result.Reason = resp.Header.Get(wire.HeaderReason)
	resp.Body.Close()
	return result
}

// routeResult extracts the load and queueing reported in the response headers for the balancer.
func routeResult(resp *http.Response, took time.Duration) route.Result {
	r := route.Result{ResponseTime: took, BusySlots: -1}
	if busy, err := strconv.Atoi(resp.Header.Get(wire.HeaderBusy)); err == nil && busy >= 0 {
		r.BusySlots = busy
	}
	if queued, err := strconv.Atoi(resp.Header.Get(wire.HeaderQueued)); err == nil && queued >= 0 {
		r.Queued = queued
	}
	if us, err := strconv.ParseInt(resp.Header.Get(wire.HeaderWaitUs), 10, 64); err == nil && us >= 0 {
		r.QueueTime = time.Duration(us) * time.Microsecond
	}
	r.Refused = resp.Header.Get(wire.HeaderOutcome) == string(wire.OutcomeNotRun)
	r.Overload = r.Refused && resp.StatusCode == http.StatusTooManyRequests
	return r
}

// deadlineMargin is subtracted from the deadline that is sent to the agent. The agent's refusal of an expired request then
// arrives before this entry times out and treats the server as unresponsive.
const deadlineMargin = 5 * time.Millisecond

// callerStatus maps the status of an agent's refusal to the status for the caller. 429 and 503 invite the caller to retry,
// and the other 4xx statuses mean that the request itself is at fault; all other statuses become 503.
func callerStatus(status int) int {
	switch status {
	case http.StatusTooManyRequests, http.StatusRequestEntityTooLarge, http.StatusBadRequest:
		return status
	}
	return http.StatusServiceUnavailable
}

// roundTrip sends the attempt. The transport cannot retry it, because the request has no GetBody and its body is never
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
	out.Header.Set(wire.HeaderCaller, req.Caller.String())
	out.Header.Set(wire.HeaderAttempt, strconv.Itoa(claim.Attempt))
	out.Header.Set(wire.HeaderDeadlineMs, strconv.FormatInt(max(1, (time.Until(req.Deadline)-deadlineMargin).Milliseconds()), 10))
	if claim.AgentInc != 0 {
		out.Header.Set(wire.HeaderIncarnation, strconv.FormatInt(claim.AgentInc, 10))
		out.Header.Set(wire.HeaderUntilMs, strconv.FormatInt(claim.Until.Milliseconds(), 10))
	}
	return e.client.RoundTrip(out)
}

// unknownResult returns the result of a request that failed after it may have been sent.
func unknownResult(cause error) *Result {
	status := http.StatusBadGateway
	if errors.Is(cause, context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	return &Result{Outcome: wire.OutcomeUnknown, Status: status, Reason: cause.Error(), Waited: waitUnknown}
}
