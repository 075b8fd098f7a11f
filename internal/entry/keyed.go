package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"strconv"
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/invariant"
	"bamboofork/internal/ledger"
	"bamboofork/internal/partition"
	"bamboofork/internal/route"
	"bamboofork/internal/wire"
)

// Timeouts of calls to a partition owner. A claim has a longer one, because it may have to wait until a new owner has taken
// over the partition; it stays within the request's deadline.
const (
	ownerTimeout = 3 * time.Second
	claimTimeout = 6 * time.Second
)

// keyedCall is one request with an idempotency key in progress. claim names the agent of the current attempt.
type keyedCall struct {
	e          *Entry
	req        *Request
	partition  int
	claim      ledger.Claim
	dispatched int // attempts passed to the transport; at most claim.Attempt
}

// SendKeyed runs a request at most once per key. Each attempt is recorded with its agent before it is dispatched, and a
// further attempt is recorded only after proof that the previous one did not run. A request with a repeated key gets the
// recorded outcome. The call continues until the request's deadline even if the caller disconnects.
func (e *Entry) SendKeyed(ctx context.Context, req *Request, key string) *Result {
	req.AtMostOnce = true
	if err := req.Body.buffer(); err != nil {
		return bodyErrorResult(err)
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline)
	fullKey := req.Branch.Branch + "\x00" + key
	k := &keyedCall{e: e, req: req, partition: partition.ForKey(fullKey, e.directory.Partitions)}
	k.claim = ledger.Claim{Key: fullKey, Branch: req.Branch.Branch, RequestID: req.ID, Digest: digest(req)}
	out := k.run(ctx)
	out.onClose(cancel)
	return out
}

// digest returns a hash of the request's content. It detects a key that is reused for a different request.
func digest(req *Request) string {
	h := sha256.New()
	for _, part := range []string{req.Method, req.Path, req.Query} {
		h.Write([]byte(strconv.Itoa(len(part))))
		h.Write([]byte{0})
		h.Write([]byte(part))
	}
	h.Write(req.Body.head)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

func (k *keyedCall) run(ctx context.Context) *Result {
	k.e.retryBudget.Deposit(k.req.Branch.Branch, k.req.Branch.RetryBudget)
	avoid := route.Tried{}
	pick := k.e.pick(k.req, avoid)
	if pick.Chosen == nil {
		return k.e.unroutedResult(k.req, &pick)
	}
	for attempt := 1; ; attempt++ {
		k.e.recordRouted(k.req, attempt, &pick)
		avoid = append(avoid, pick.Chosen.ID)
		if result := k.recordAttempt(ctx, attempt, pick.Chosen); result != nil {
			k.e.balancer.Cancel(pick.Chosen)
			return result
		}
		out := k.dispatch(ctx, pick.Chosen)
		if out.Outcome != wire.OutcomeNotRun {
			return k.finish(out)
		}
		next, again := k.e.nextAttempt(ctx, k.req, attempt, avoid, out)
		if !again {
			k.complete(k.claim, true)
			return out
		}
		k.e.recordRetry(k.req, attempt, out)
		pick = next
	}
}

// recordAttempt makes the attempt durable at the partition owner: the first one as a claim, later ones as a reassignment of
// the claim. If it returns nil, the attempt must be dispatched; otherwise it must not be.
func (k *keyedCall) recordAttempt(ctx context.Context, attempt int, server *route.Server) *Result {
	k.claim.Attempt = attempt
	k.claim.Agent, k.claim.AgentAddr, k.claim.AgentInc = server.ID, server.Addr, server.Incarnation
	k.claim.Until = server.Load.Clock + wire.DispatchWindow
	if attempt > 1 {
		return k.assign(ctx)
	}
	var reply wire.ClaimReply
	args := wire.ClaimArgs{Partition: k.partition, Claim: k.claim}
	callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := k.e.directory.Call(callCtx, k.partition, "Partition.Claim", args, &reply, func() wire.Code { return reply.Code })
	switch {
	case err != nil:
		// The claim may be durable. This entry does not dispatch it, so the request does not run; the owner fences it
		// at its agent and releases the key.
		return notRunResult("the key could not be claimed, the request was not dispatched: " + err.Error())
	case reply.Code != wire.CodeOK:
		return notRunResult("the key could not be claimed, the request was not dispatched: " + reply.Reason)
	case !reply.Granted:
		return k.repeatedResult(reply.Existing)
	}
	return nil
}

func (k *keyedCall) assign(ctx context.Context) *Result {
	var reply wire.AssignReply
	args := wire.AssignArgs{Partition: k.partition, Claim: k.claim}
	err := k.e.callOwner(ctx, k.partition, "Partition.Assign", args, &reply, func() wire.Code { return reply.Code })
	if err == nil && reply.Code == wire.CodeOK {
		return nil
	}
	return notRunResult("the next attempt could not be recorded and was not dispatched")
}

// repeatedResult returns the result of a request whose key is already claimed by existing.
func (k *keyedCall) repeatedResult(existing ledger.Claim) *Result {
	switch {
	case existing.Digest != k.claim.Digest:
		events.KeyReused.Log(&k.e.log).Str("request", k.req.ID).Str("earlier", existing.RequestID).Str("branch", existing.Branch).Send()
		return &Result{Outcome: wire.OutcomeNotRun, Status: http.StatusUnprocessableEntity, Reason: "the key was used for a different request", Waited: waitUnknown}
	case !existing.Done:
		return &Result{Outcome: wire.OutcomeUnknown, Status: http.StatusConflict, Reason: "a request with this key is open", Waited: waitUnknown}
	}
	return recordedResult(wire.Result{Outcome: wire.Outcome(existing.Outcome), Status: existing.Status, Header: existing.Header,
		Body: existing.Body, Truncated: existing.Truncated})
}

// dispatch sends the recorded attempt once. If the outcome is not known from the response, it queries the agent.
func (k *keyedCall) dispatch(ctx context.Context, server *route.Server) *Result {
	k.dispatched++
	invariant.Check(k.dispatched == k.claim.Attempt && server.ID == k.claim.Agent && server.Incarnation == k.claim.AgentInc,
		"one_dispatch_per_claim", "request %s: dispatch %d to %s for attempt %d at %s", k.req.ID, k.dispatched, server.ID,
		k.claim.Attempt, k.claim.Agent)
	out, err := k.e.exchange(ctx, k.req, server, &k.claim)
	if err == nil && out.Outcome != wire.OutcomeUnknown {
		return out
	}
	if errors.Is(err, errNotSent) {
		return notRunResult(err.Error())
	}
	if err != nil {
		out = unknownResult(err)
	}
	return k.resolve(ctx, out)
}

// Timing of queries to an agent after a lost response.
const (
	resolveTimeout  = time.Second            // of one query
	resolveInterval = 50 * time.Millisecond  // between queries, while the request runs or the agent does not respond
	minResolveTime  = 500 * time.Millisecond // minimum time spent on queries, even past the deadline
)

// resolve queries the agent for the outcome of the attempt until the outcome is known or the deadline has passed. If it
// stays unknown, the claim stays open and the partition owner continues the queries.
func (k *keyedCall) resolve(ctx context.Context, out *Result) *Result {
	until := time.Now().Add(minResolveTime)
	for {
		reply, err := k.queryAgent()
		if err == nil {
			switch reply.Verdict {
			case wire.VerdictNotStarted:
				return notRunResult(out.Reason + "; the agent has not started the request and refuses it from now on")
			case wire.VerdictEnded:
				return recordedResult(reply.Result)
			case wire.VerdictUnknown:
				return k.logUnknown(out)
			}
		}
		if ctx.Err() != nil && time.Now().After(until) {
			return k.logUnknown(out)
		}
		time.Sleep(resolveInterval)
	}
}

func (k *keyedCall) queryAgent() (wire.FenceReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	var reply wire.FenceReply
	args := wire.FenceArgs{RequestID: wire.AttemptID(k.req.ID, k.claim.Attempt), Incarnation: k.claim.AgentInc, Until: k.claim.Until}
	err := k.e.pool.Call(ctx, k.claim.AgentAddr, "Agent.FenceRequest", args, &reply)
	return reply, err
}

func (k *keyedCall) logUnknown(out *Result) *Result {
	events.RequestUnknown.Log(&k.e.log).Str("request", k.req.ID).Str("agent", k.claim.Agent).Str("reason", out.Reason).Send()
	return out
}

// finish records the outcome. If it is unknown, the claim stays open, because the agent may still report the outcome.
func (k *keyedCall) finish(out *Result) *Result {
	if out.Outcome == wire.OutcomeUnknown && !out.unresolvable {
		return out
	}
	claim := k.claim
	claim.Outcome = string(out.Outcome)
	if out.Response == nil {
		k.complete(claim, false)
		return out
	}
	claim.Status = out.Response.StatusCode
	claim.Header = map[string]string{"Content-Type": out.Response.Header.Get("Content-Type")}
	return k.recordBody(claim, out)
}

// complete records the outcome with the partition owner. If that fails, the owner obtains the outcome by querying the agent.
func (k *keyedCall) complete(claim ledger.Claim, release bool) {
	claim.Done = !release
	var reply wire.CompleteReply
	args := wire.CompleteArgs{Partition: k.partition, Claim: claim, Release: release}
	err := k.e.callOwner(context.Background(), k.partition, "Partition.Complete", args, &reply, func() wire.Code { return reply.Code })
	if err == nil && reply.Code == wire.CodeOK {
		return
	}
	k.e.metrics.Counter("entry_complete_failed").Inc(1)
	events.CompleteFailed.Log(&k.e.log).Str("request", k.req.ID).AnErr("cause", err).Str("code", string(reply.Code)).Send()
}
