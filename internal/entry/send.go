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
	Caller   netip.Addr // zero if unknown
	Once     bool       // must not run twice
}

// waitUnknown is the Waited of an answer that does not tell the time at the gate.
const waitUnknown time.Duration = -1

// Answer is the outcome of a request. Response is nil unless the request ran; its body must be closed.
type Answer struct {
	Outcome  wire.Outcome
	Status   int // HTTP status for the caller when Response is nil
	Reason   string
	Response *http.Response
	Waited   time.Duration // at the agent's gate, or waitUnknown
	Overload bool          // a gate refused the request because of overload
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

// Send routes the request and tries again where that is known to be safe and the budget allows it.
func (e *Entry) Send(ctx context.Context, req *Request) *Answer {
	e.budget.Deposit(req.Branch.Branch, req.Branch.RetryBudget)
	var tried [retry.MaxAttempts]string
	avoid := route.Avoid(tried[:0])
	pick := e.pick(req, avoid)
	for attempt := 1; ; attempt++ {
		if pick.Chosen == nil {
			return e.unrouted(req, &pick)
		}
		e.noteRouted(req, attempt, &pick)
		avoid = append(avoid, pick.Chosen.ID)
		answer := e.try(ctx, req, attempt, pick.Chosen)
		next, again := e.next(ctx, req, attempt, avoid, answer)
		if !again {
			return answer
		}
		pick = next
		e.retried(req, attempt, answer)
	}
}

// next decides whether to try again and where. A refusal for overload is tried again only at a server with a free
// slot by this entry's estimate, because other full gates would only be loaded more.
func (e *Entry) next(ctx context.Context, req *Request, attempt int, avoid route.Avoid, last *Answer) (route.Decision, bool) {
	a := retry.Attempt{Number: attempt, Outcome: last.Outcome, Once: req.Once, Deadline: req.Deadline}
	if ctx.Err() != nil || !req.Body.replayable() || a.Refuse(time.Now()) != "" {
		return route.Decision{}, false
	}
	pick := e.pick(req, avoid)
	if pick.Chosen == nil {
		return pick, false
	}
	if last.Overload && pick.Load() >= 1 || !e.budget.Withdraw(req.Branch.Branch) {
		e.balancer.Cancel(pick.Chosen)
		return pick, false
	}
	return pick, true
}

func (e *Entry) unrouted(req *Request, d *route.Decision) *Answer {
	reason := d.Explain()
	events.RequestUnrouted.Log(&e.log).Str("request", req.ID).Str("decision", reason).Send()
	return &Answer{Outcome: wire.OutcomeNotRun, Status: http.StatusServiceUnavailable, Reason: "no backend server: " + reason, Waited: waitUnknown}
}

func (e *Entry) retried(req *Request, attempt int, answer *Answer) {
	e.metrics.Counter("entry_retries").Inc(1)
	events.RequestRetried.Log(&e.log).Str("request", req.ID).Int("attempt", attempt).Str("reason", answer.Reason).Send()
}

// pick chooses an agent. Those that leave by their own word are never chosen; those that are unreachable only if there
// is no other.
func (e *Entry) pick(req *Request, avoid route.Avoid) route.Decision {
	avoid = e.leaving.with(avoid, e.table)
	d := e.balancer.Pick(req.Branch.Backend, e.unreachable.with(avoid, e.table))
	if d.Chosen == nil {
		d = e.balancer.Pick(req.Branch.Backend, avoid)
	}
	return d
}

func (e *Entry) noteRouted(req *Request, attempt int, d *route.Decision) {
	e.decisions.add(decisionRecord{id: req.ID, branch: req.Branch.Branch, attempt: attempt, decision: *d})
	e.logRouted(req, attempt, d)
}

// logRouted explains a decision for the branch's log_sample share of the requests. Rendering costs more than the
// decision itself, so it happens only for lines that are written.
func (e *Entry) logRouted(req *Request, attempt int, d *route.Decision) {
	if e.log.GetLevel() > events.RequestRouted.Level || rand.Float64() >= req.Branch.LogSample {
		return
	}
	events.RequestRouted.Log(&e.log).Str("request", req.ID).Str("branch", req.Branch.Branch).Int("attempt", attempt).
		Bool("spilled", d.Spilled).Str("decision", d.Explain()).Send()
}

// try sends a request that may run more than once to one agent.
func (e *Entry) try(ctx context.Context, req *Request, attempt int, s *route.Server) *Answer {
	out, err := e.exchange(ctx, req, s, &ledger.Claim{Attempt: attempt})
	switch {
	case errors.Is(err, errNotSent):
		return refused(err.Error())
	case err != nil:
		return lostAnswer(err)
	}
	return out
}

func refused(reason string) *Answer {
	return &Answer{Outcome: wire.OutcomeNotRun, Status: http.StatusServiceUnavailable, Reason: reason, Waited: waitUnknown}
}

var errMismatch = errors.New("answer of another request")

// exchange sends one attempt to an agent and reads the head of its answer. errNotSent proves that the request did not
// leave this process; after other errors its outcome is not known.
func (e *Entry) exchange(ctx context.Context, req *Request, s *route.Server, claim *ledger.Claim) (*Answer, error) {
	started := time.Now()
	resp, err := e.roundTrip(ctx, req, s.Member, claim)
	if err != nil {
		// A server that lets the deadline pass counts as failed: a silent connection shows only in this way until its
		// probe ends. A caller that hangs up says nothing about the server.
		e.balancer.Done(s, route.Result{Failed: !errors.Is(ctx.Err(), context.Canceled), Busy: -1})
		if ctx.Err() == nil {
			e.suspect(s.Member)
		}
		return nil, err
	}
	result := resultOf(resp, time.Since(started))
	done := func(failed bool) {
		result.Failed = failed
		e.balancer.Done(s, result)
	}
	if resp.Header.Get(wire.HeaderRequestID) != req.ID || resp.Header.Get(wire.HeaderAttempt) != strconv.Itoa(claim.Attempt) {
		done(true)
		resp.Body.Close()
		events.AnswerMismatch.Log(&e.log).Str("request", req.ID).Str("got", resp.Header.Get(wire.HeaderRequestID)).Str("agent", s.ID).Send()
		return nil, errMismatch
	}
	if resp.Header.Get(wire.HeaderLeaving) != "" && e.leaving.add(s.Member) {
		events.ServerLeaving.Log(&e.log).Str("agent", s.ID).Send()
	}
	if resp.ContentLength > 0 && req.Method != http.MethodHead {
		resp.Body = &sizedBody{ReadCloser: resp.Body, left: resp.ContentLength}
	}
	return answerOf(resp, result, done), nil
}

// answerOf reads the agent's verdict. The server is released now unless the caller still reads the body.
func answerOf(resp *http.Response, result route.Result, done func(failed bool)) *Answer {
	a := &Answer{Waited: result.Waited, Overload: result.Overload}
	switch a.Outcome = wire.Outcome(resp.Header.Get(wire.HeaderOutcome)); a.Outcome {
	case wire.OutcomeDone:
		a.Response, a.done = resp, done
		return a
	case wire.OutcomeNotRun:
		done(resp.Header.Get(wire.HeaderUnhealthy) != "")
		a.Status = callerStatus(resp.StatusCode)
	default:
		done(true)
		a.Outcome, a.Status = wire.OutcomeUnknown, http.StatusBadGateway
	}
	a.Reason = resp.Header.Get(wire.HeaderReason)
	resp.Body.Close()
	return a
}

// resultOf reads what an answer says about its server.
func resultOf(resp *http.Response, took time.Duration) route.Result {
	r := route.Result{Took: took, Busy: -1}
	if busy, err := strconv.Atoi(resp.Header.Get(wire.HeaderBusy)); err == nil && busy >= 0 {
		r.Busy = busy
	}
	if queued, err := strconv.Atoi(resp.Header.Get(wire.HeaderQueued)); err == nil && queued >= 0 {
		r.Queued = queued
	}
	if us, err := strconv.ParseInt(resp.Header.Get(wire.HeaderWaitUs), 10, 64); err == nil && us >= 0 {
		r.Waited = time.Duration(us) * time.Microsecond
	}
	r.Refused = resp.Header.Get(wire.HeaderOutcome) == string(wire.OutcomeNotRun)
	r.Overload = r.Refused && resp.StatusCode == http.StatusTooManyRequests
	return r
}

// hopReserve is taken off the deadline that the agent is told, so that its refusal of expired work arrives before this
// entry gives up and takes the server for a silent one.
const hopReserve = 5 * time.Millisecond

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
	out.Header.Set(wire.HeaderCaller, req.Caller.String())
	out.Header.Set(wire.HeaderAttempt, strconv.Itoa(claim.Attempt))
	out.Header.Set(wire.HeaderDeadlineMs, strconv.FormatInt(max(1, (time.Until(req.Deadline)-hopReserve).Milliseconds()), 10))
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
	return &Answer{Outcome: wire.OutcomeUnknown, Status: status, Reason: cause.Error(), Waited: waitUnknown}
}
