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

// Request is a caller's request together with the effective settings of its branch.
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

// queueTimeUnknown is the value of Result.QueueTime if the agent did not report the queueing time.
const queueTimeUnknown time.Duration = -1

// Result is the outcome of a request. Response is nil unless the request ran. The user of a Result must close it.
type Result struct {
	Outcome            wire.Outcome
	Status             int // HTTP status for the caller when Response is nil
	Reason             string
	Response           *http.Response
	QueueTime          time.Duration // time spent in the agent's admission queue, or queueTimeUnknown
	RefusedForOverload bool          // the agent refused the request because of overload
	releaseSlot        func(failed bool)
	isUnresolvable     bool // the outcome is unknown, and querying the agent cannot resolve it
}

// Close closes the response body and releases the slot that the balancer counts for the request at its server. failed means
// that the body could not be read to its end.
func (r *Result) Close(failed bool) {
	if r.Response != nil {
		r.Response.Body.Close()
	}
	if r.releaseSlot != nil {
		r.releaseSlot(failed)
		r.releaseSlot = nil
	}
}

// onClose registers a function to call when the result is closed. If there is no response, onClose calls the function at once.
func (r *Result) onClose(onClose func()) {
	if r.Response == nil {
		onClose()
		return
	}
	previous := r.releaseSlot
	r.releaseSlot = func(failed bool) {
		onClose()
		if previous != nil {
			previous(failed)
		}
	}
}

// Send routes the request to an agent and returns the result. It retries on another agent if a retry is known to be safe and
// the retry budget allows it.
func (e *Entry) Send(ctx context.Context, req *Request) *Result {
	e.retryBudget.Deposit(req.Branch.Branch, req.Branch.RetryBudgetFraction)
	var avoidBuffer [retry.MaxAttempts]string
	avoid := route.TriedServers(avoidBuffer[:0])
	decision := e.pick(req, avoid)
	for attempt := 1; ; attempt++ {
		if decision.Chosen == nil {
			return e.unroutedResult(req, &decision)
		}
		e.recordDecision(req, attempt, &decision)
		avoid = append(avoid, decision.Chosen.ID)
		result := e.sendAttempt(ctx, req, attempt, decision.Chosen)
		nextDecision, retryAllowed := e.nextAttempt(ctx, req, attempt, avoid, result)
		if !retryAllowed {
			return result
		}
		decision = nextDecision
		e.recordRetry(req, attempt, result)
	}
}

// nextAttempt decides whether to retry and on which agent. It returns the routing decision for the retry and true, or false
// if there is no retry. After a refusal for overload it allows a retry only on a server that has a free slot by this entry's
// estimate. On any other server the retry would only add load to a full queue.
func (e *Entry) nextAttempt(ctx context.Context, req *Request, attempt int, avoid route.TriedServers, last *Result) (route.Decision, bool) {
	lastAttempt := retry.Attempt{Number: attempt, Outcome: last.Outcome, AtMostOnce: req.AtMostOnce, Deadline: req.Deadline}
	if ctx.Err() != nil || !req.Body.replayable() || lastAttempt.RefusalReason(time.Now()) != "" {
		return route.Decision{}, false
	}
	decision := e.pick(req, avoid)
	if decision.Chosen == nil {
		return decision, false
	}
	if last.RefusedForOverload && decision.RequestsPerSlot() >= 1 || !e.retryBudget.Withdraw(req.Branch.Branch) {
		e.balancer.Cancel(decision.Chosen)
		return decision, false
	}
	return decision, true
}

func (e *Entry) unroutedResult(req *Request, decision *route.Decision) *Result {
	reason := decision.Explain()
	events.RequestUnrouted.Log(&e.log).Str("request", req.ID).Str("decision", reason).Send()
	return &Result{Outcome: wire.OutcomeNotRun, Status: http.StatusServiceUnavailable, Reason: "no backend server: " + reason,
		QueueTime: queueTimeUnknown}
}

func (e *Entry) recordRetry(req *Request, attempt int, result *Result) {
	e.metrics.Counter("entry_retries").Inc(1)
	events.RequestRetried.Log(&e.log).Str("request", req.ID).Int("attempt", attempt).Str("reason", result.Reason).Send()
}

// pick chooses an agent for the request. It never chooses an agent that has announced its shutdown. It chooses an unreachable
// agent only if no other agent is left.
func (e *Entry) pick(req *Request, avoid route.TriedServers) route.Decision {
	avoid = e.shuttingDownAgents.appendTo(avoid, e.table)
	decision := e.balancer.Pick(req.Branch.Backend, e.unreachableAgents.appendTo(avoid, e.table))
	if decision.Chosen == nil {
		decision = e.balancer.Pick(req.Branch.Backend, avoid)
	}
	return decision
}

func (e *Entry) recordDecision(req *Request, attempt int, routed *route.Decision) {
	e.decisions.add(decisionRecord{requestID: req.ID, branch: req.Branch.Branch, attempt: attempt, decision: *routed})
	e.logDecision(req, attempt, routed)
}

// logDecision logs the routing decisions of a random sample of the requests; the branch setting log_sample is the sampled
// fraction. Rendering a decision as text costs more than making it, so only sampled decisions are rendered.
func (e *Entry) logDecision(req *Request, attempt int, decision *route.Decision) {
	if e.log.GetLevel() > events.RequestRouted.Level || rand.Float64() >= req.Branch.LogSampleFraction {
		return
	}
	events.RequestRouted.Log(&e.log).Str("request", req.ID).Str("branch", req.Branch.Branch).Int("attempt", attempt).
		Bool("spilled", decision.CrossDomain).Str("decision", decision.Explain()).Send()
}

// sendAttempt sends one attempt of an idempotent request to an agent and returns its result.
func (e *Entry) sendAttempt(ctx context.Context, req *Request, attempt int, server *route.Server) *Result {
	result, err := e.exchange(ctx, req, server, &ledger.Claim{Attempt: attempt})
	switch {
	case errors.Is(err, errNotSent):
		return notRunResult(err.Error())
	case err != nil:
		return unknownResult(err)
	}
	return result
}

func notRunResult(reason string) *Result {
	return &Result{Outcome: wire.OutcomeNotRun, Status: http.StatusServiceUnavailable, Reason: reason, QueueTime: queueTimeUnknown}
}

var errResponseMismatch = errors.New("answer of another request")

// exchange sends one attempt to an agent and reads the header of the response. The error errNotSent proves that the request
// did not leave this process. After any other error the outcome is unknown.
func (e *Entry) exchange(ctx context.Context, req *Request, server *route.Server, claim *ledger.Claim) (*Result, error) {
	startedAt := time.Now()
	resp, err := e.roundTrip(ctx, req, server.Member, claim)
	if err != nil {
		// A missed deadline counts as a failure of the server, because it is the only sign of an unresponsive connection
		// until the PING times out. A disconnect of the caller does not count as a failure.
		e.balancer.Done(server, route.Result{Failed: !errors.Is(ctx.Err(), context.Canceled), BusySlots: -1})
		if ctx.Err() == nil {
			e.markUnreachable(server.Member)
		}
		return nil, err
	}
	feedback := routingFeedback(resp, time.Since(startedAt))
	releaseSlot := func(failed bool) {
		feedback.Failed = failed
		e.balancer.Done(server, feedback)
	}
	if resp.Header.Get(wire.HeaderRequestID) != req.ID || resp.Header.Get(wire.HeaderAttempt) != strconv.Itoa(claim.Attempt) {
		releaseSlot(true)
		resp.Body.Close()
		events.AnswerMismatch.Log(&e.log).Str("request", req.ID).Str("got", resp.Header.Get(wire.HeaderRequestID)).Str("agent", server.ID).Send()
		return nil, errResponseMismatch
	}
	if resp.Header.Get(wire.HeaderLeaving) != "" && e.shuttingDownAgents.add(server.Member) {
		events.ServerLeaving.Log(&e.log).Str("agent", server.ID).Send()
	}
	if resp.ContentLength > 0 && req.Method != http.MethodHead {
		resp.Body = &sizedBody{ReadCloser: resp.Body, remainingBytes: resp.ContentLength}
	}
	return newResult(resp, feedback, releaseSlot), nil
}

// newResult converts the agent's response to a result. If the request ran, the result takes over releaseSlot, because the
// body is still to be read. Otherwise newResult calls releaseSlot.
func newResult(resp *http.Response, feedback route.Result, releaseSlot func(failed bool)) *Result {
	result := &Result{QueueTime: feedback.QueueTime, RefusedForOverload: feedback.RefusedForOverload}
	switch result.Outcome = wire.Outcome(resp.Header.Get(wire.HeaderOutcome)); result.Outcome {
	case wire.OutcomeDone:
		result.Response, result.releaseSlot = resp, releaseSlot
		return result
	case wire.OutcomeNotRun:
		releaseSlot(resp.Header.Get(wire.HeaderUnhealthy) != "")
		result.Status = callerStatus(resp.StatusCode)
	default:
		releaseSlot(true)
		result.Outcome, result.Status = wire.OutcomeUnknown, http.StatusBadGateway
	}
	result.Reason = resp.Header.Get(wire.HeaderReason)
	resp.Body.Close()
	return result
}

// routingFeedback returns the feedback for the balancer: the response time and, from the response headers, the agent's busy
// slots, its queue length, the request's queueing time and whether the request was refused.
func routingFeedback(resp *http.Response, responseTime time.Duration) route.Result {
	feedback := route.Result{ResponseTime: responseTime, BusySlots: -1}
	if busy, err := strconv.Atoi(resp.Header.Get(wire.HeaderBusy)); err == nil && busy >= 0 {
		feedback.BusySlots = busy
	}
	if queued, err := strconv.Atoi(resp.Header.Get(wire.HeaderQueued)); err == nil && queued >= 0 {
		feedback.Queued = queued
	}
	if us, err := strconv.ParseInt(resp.Header.Get(wire.HeaderWaitUs), 10, 64); err == nil && us >= 0 {
		feedback.QueueTime = time.Duration(us) * time.Microsecond
	}
	feedback.Refused = resp.Header.Get(wire.HeaderOutcome) == string(wire.OutcomeNotRun)
	feedback.RefusedForOverload = feedback.Refused && resp.StatusCode == http.StatusTooManyRequests
	return feedback
}

// deadlineMargin is subtracted from the deadline that is sent to the agent. With this margin the agent's refusal of an expired
// request arrives before the deadline of this entry. Without it, the entry would treat the server as unresponsive.
const deadlineMargin = 5 * time.Millisecond

// callerStatus returns the HTTP status for the caller of a request that an agent refused with the given status. 429, 413 and
// 400 are passed on: 429 tells the caller to retry, 413 and 400 that the request itself is invalid. All other statuses become
// 503, which also tells the caller to retry.
func callerStatus(status int) int {
	switch status {
	case http.StatusTooManyRequests, http.StatusRequestEntityTooLarge, http.StatusBadRequest:
		return status
	}
	return http.StatusServiceUnavailable
}

// roundTrip sends the attempt and returns the response of the agent. The transport cannot retry the attempt, because the HTTP
// request has no GetBody and its body is never http.NoBody.
func (e *Entry) roundTrip(ctx context.Context, req *Request, agent membership.Member, claim *ledger.Claim) (*http.Response, error) {
	url := e.agentScheme + "://" + agent.DataAddr + wire.ForwardPath + req.Path
	if req.Query != "" {
		url += "?" + req.Query
	}
	forwarded, err := http.NewRequestWithContext(ctx, req.Method, url, req.Body.reader())
	if err != nil {
		return nil, errors.Join(errNotSent, err)
	}
	forwarded.GetBody = nil
	forwarded.ContentLength = req.Body.length
	if req.Body.length == 0 {
		forwarded.ContentLength = -1 // a length of 0 with a body means "unknown" to net/http as well
	}
	for name, values := range req.Header {
		forwarded.Header[name] = values
	}
	forwarded.Header.Set(wire.HeaderRequestID, req.ID)
	forwarded.Header.Set(wire.HeaderBranch, req.Branch.Branch)
	forwarded.Header.Set(wire.HeaderCaller, req.Caller.String())
	forwarded.Header.Set(wire.HeaderAttempt, strconv.Itoa(claim.Attempt))
	forwarded.Header.Set(wire.HeaderDeadlineMs, strconv.FormatInt(max(1, (time.Until(req.Deadline)-deadlineMargin).Milliseconds()), 10))
	if claim.AgentInc != 0 {
		forwarded.Header.Set(wire.HeaderIncarnation, strconv.FormatInt(claim.AgentInc, 10))
		forwarded.Header.Set(wire.HeaderUntilMs, strconv.FormatInt(claim.Until.Milliseconds(), 10))
	}
	return e.agentTransport.RoundTrip(forwarded)
}

// unknownResult returns the result of a request that may have been sent before it failed.
func unknownResult(cause error) *Result {
	status := http.StatusBadGateway
	if errors.Is(cause, context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	return &Result{Outcome: wire.OutcomeUnknown, Status: status, Reason: cause.Error(), QueueTime: queueTimeUnknown}
}
