package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"bamboofork/internal/events"
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
	Body     []byte
	Deadline time.Time
	Caller   netip.Addr // zero if unknown
	Once     bool       // must not run twice
}

// Answer is the outcome of a request. Response is nil unless the request ran; its body must be closed.
type Answer struct {
	Outcome  wire.Outcome
	Status   int // HTTP status for the caller when Response is nil
	Reason   string
	Response *http.Response
	Waited   time.Duration // at the agent's gate; negative if not known
	Overload bool          // a gate refused the request because of overload
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

// Send routes the request and tries again where that is known to be safe and the budget allows it.
func (e *Entry) Send(ctx context.Context, req *Request) *Answer {
	e.budget.Deposit(req.Branch.Branch, req.Branch.RetryBudget)
	var tried [retry.MaxAttempts]string
	avoid := route.Avoid(tried[:0])
	pick := e.balancer.Pick(req.Branch.Backend, avoid)
	for attempt := 1; ; attempt++ {
		if pick.Chosen == nil {
			return e.unrouted(req, &pick)
		}
		e.decisions.add(decisionRecord{id: req.ID, branch: req.Branch.Branch, attempt: attempt, decision: pick})
		e.logRouted(req, attempt, &pick)
		avoid = append(avoid, pick.Chosen.ID)
		answer := e.try(ctx, req, attempt, pick.Chosen)
		next, again := e.next(ctx, req, attempt, avoid, answer)
		if !again {
			return answer
		}
		pick = next
		e.metrics.Counter("entry_retries").Inc(1)
		events.RequestRetried.Log(&e.log).Str("request", req.ID).Int("attempt", attempt).Str("reason", answer.Reason).Send()
	}
}

// next decides whether to try again and where. A refusal for overload is tried again only at a server with a free
// slot by this entry's estimate, because other full gates would only be loaded more.
func (e *Entry) next(ctx context.Context, req *Request, attempt int, avoid route.Avoid, last *Answer) (route.Decision, bool) {
	a := retry.Attempt{Number: attempt, Outcome: last.Outcome, Once: req.Once, Deadline: req.Deadline}
	if ctx.Err() != nil || a.Refuse(time.Now()) != "" {
		return route.Decision{}, false
	}
	pick := e.balancer.Pick(req.Branch.Backend, avoid)
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
	return &Answer{Outcome: wire.OutcomeNotRun, Status: http.StatusServiceUnavailable, Reason: "no backend server: " + reason, Waited: -1}
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

// try sends the request to one agent.
func (e *Entry) try(ctx context.Context, req *Request, attempt int, s *route.Server) *Answer {
	started := time.Now()
	resp, err := e.roundTrip(ctx, req, attempt, s.Member)
	if err != nil {
		// A server that lets the deadline pass counts as failed: a silent connection shows only in this way until its
		// probe ends. A caller that hangs up says nothing about the server.
		e.balancer.Done(s, route.Result{Failed: !errors.Is(ctx.Err(), context.Canceled), Busy: -1})
		return e.lost(ctx, req, attempt, s.Member, err)
	}
	result := resultOf(resp, time.Since(started))
	done := func(failed bool) {
		result.Failed = failed
		e.balancer.Done(s, result)
	}
	if got := resp.Header.Get(wire.HeaderRequestID); got != req.ID {
		done(true)
		resp.Body.Close()
		events.AnswerMismatch.Log(&e.log).Str("request", req.ID).Str("got", got).Str("agent", s.ID).Send()
		return &Answer{Outcome: wire.OutcomeUnknown, Status: http.StatusBadGateway, Reason: "answer of another request", Waited: -1}
	}
	return answerOf(resp, result, done)
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
		a.Status = resp.StatusCode
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
	out.Header.Set(wire.HeaderCaller, req.Caller.String())
	out.Header.Set(wire.HeaderAttempt, strconv.Itoa(attempt))
	out.Header.Set(wire.HeaderDeadlineMs, strconv.FormatInt(max(1, (time.Until(req.Deadline)-hopReserve).Milliseconds()), 10))
	return e.client.RoundTrip(out)
}

// lost decides what a broken exchange means. Only a failed dial or the agent's fence proves that nothing ran.
func (e *Entry) lost(ctx context.Context, req *Request, attempt int, m membership.Member, cause error) *Answer {
	a := &Answer{Outcome: wire.OutcomeUnknown, Status: http.StatusBadGateway, Reason: cause.Error(), Waited: -1}
	var opErr *net.OpError
	if errors.As(cause, &opErr) && opErr.Op == "dial" || e.fenced(req, attempt, m) {
		a.Outcome, a.Status = wire.OutcomeNotRun, http.StatusServiceUnavailable
		return a
	}
	if errors.Is(cause, context.DeadlineExceeded) {
		a.Status = http.StatusGatewayTimeout
	}
	if req.Once {
		events.RequestUnknown.Log(&e.log).Str("request", req.ID).Str("agent", m.ID).Err(cause).Send()
	}
	return a
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
