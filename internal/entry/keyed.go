package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"strconv"
	"time"

	"bamboofork/internal/app"
	"bamboofork/internal/events"
	"bamboofork/internal/invariant"
	"bamboofork/internal/ledger"
	"bamboofork/internal/partition"
	"bamboofork/internal/route"
	"bamboofork/internal/wire"
)

// Timeouts of calls to a partition owner. A claim has a longer timeout, because it may have to wait until a new owner has
// taken over the partition. A claim also ends at the request's deadline.
const (
	ownerTimeout = 3 * time.Second
	claimTimeout = 6 * time.Second
	// lateRecordTimeout bounds the recording of an outcome once the answers are due in a graceful shutdown.
	lateRecordTimeout = 300 * time.Millisecond
)

// keyedCall is a request with an idempotency key that is being processed. claim names the agent of the current attempt.
type keyedCall struct {
	entry         *Entry
	request       *Request
	partitionID   int
	claim         ledger.Claim
	dispatchCount int // number of attempts passed to the transport; at most claim.Attempt
}

// SendKeyed runs a request at most once per key. It records each attempt and its agent before it dispatches the attempt. It
// records a further attempt only after proof that the previous one did not run. A request with a repeated key gets the
// recorded outcome. SendKeyed continues until the request's deadline, or until the answers are due in a graceful shutdown, even
// if the caller disconnects.
func (e *Entry) SendKeyed(ctx context.Context, request *Request, key string) *Result {
	request.AtMostOnce = true
	if err := request.Body.buffer(); err != nil {
		return bodyErrorResult(err)
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), request.Deadline)
	stopWatching := context.AfterFunc(e.shutdown.answersDue, cancel)
	defer stopWatching()
	fullKey := request.Branch.Branch + "\x00" + key
	call := &keyedCall{entry: e, request: request, partitionID: partition.PartitionForKey(fullKey, e.directory.PartitionCount)}
	call.claim = ledger.Claim{Key: fullKey, Branch: request.Branch.Branch, RequestID: request.ID, Digest: digest(request)}
	result := call.runAttempts(ctx)
	result.onClose(cancel)
	return result
}

// digest returns a hash of the request's method, path, query and body in hexadecimal. A repeated key with another digest was
// reused for a different request.
func digest(req *Request) string {
	hash := sha256.New()
	for _, part := range []string{req.Method, req.Path, req.Query} {
		hash.Write([]byte(strconv.Itoa(len(part))))
		hash.Write([]byte{0})
		hash.Write([]byte(part))
	}
	hash.Write(req.Body.head)
	return hex.EncodeToString(hash.Sum(nil)[:16])
}

func (k *keyedCall) runAttempts(ctx context.Context) *Result {
	k.entry.retryBudget.Deposit(k.request.Branch.Branch, k.request.Branch.RetryBudgetFraction)
	avoid := route.TriedServers{}
	decision := k.entry.pick(k.request, avoid)
	if decision.Chosen == nil {
		return k.entry.unroutedResult(k.request, &decision)
	}
	for attempt := 1; ; attempt++ {
		k.entry.recordDecision(k.request, attempt, &decision)
		avoid = append(avoid, decision.Chosen.ID)
		if result := k.recordAttempt(ctx, attempt, decision.Chosen); result != nil {
			k.entry.balancer.Cancel(decision.Chosen)
			return result
		}
		result := k.dispatch(ctx, decision.Chosen)
		if result.Outcome != wire.OutcomeNotRun {
			return k.recordOutcome(result)
		}
		nextDecision, retryAllowed := k.entry.nextAttempt(ctx, k.request, attempt, avoid, result)
		if !retryAllowed {
			k.completeClaim(k.claim, true)
			return result
		}
		k.entry.recordRetry(k.request, attempt, result)
		decision = nextDecision
	}
}

// recordAttempt records the attempt durably at the partition owner. The first attempt creates the claim; each later attempt
// reassigns it to another agent. If recordAttempt returns nil, the caller must dispatch the attempt. Otherwise the caller
// must not dispatch the attempt and returns the result to the requester.
func (k *keyedCall) recordAttempt(ctx context.Context, attempt int, server *route.Server) *Result {
	k.claim.Attempt = attempt
	k.claim.Agent, k.claim.AgentAddr, k.claim.AgentInc = server.ID, server.Addr, server.Incarnation
	k.claim.Until = server.Load.Clock + wire.DispatchWindow
	if attempt > 1 {
		return k.reassign(ctx)
	}
	var reply wire.ClaimReply
	args := wire.ClaimArgs{Partition: k.partitionID, Claim: k.claim}
	callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := k.entry.directory.Call(callCtx, k.partitionID, "Partition.Claim", args, &reply, func() wire.Code { return reply.Code })
	switch {
	case err != nil:
		// The claim may be durable. This entry does not dispatch the request, so the request does not run. The owner
		// fences the request at the claimed agent and releases the key.
		return notRunResult("the key could not be claimed, the request was not dispatched: " + err.Error())
	case reply.Code != wire.CodeOK:
		return notRunResult("the key could not be claimed, the request was not dispatched: " + reply.Reason)
	case !reply.Granted:
		return k.repeatedResult(reply.Existing)
	}
	return nil
}

func (k *keyedCall) reassign(ctx context.Context) *Result {
	var reply wire.AssignReply
	args := wire.AssignArgs{Partition: k.partitionID, Claim: k.claim}
	err := k.entry.callOwner(ctx, k.partitionID, "Partition.Assign", args, &reply, func() wire.Code { return reply.Code })
	if err == nil && reply.Code == wire.CodeOK {
		return nil
	}
	return notRunResult("the next attempt could not be recorded and was not dispatched")
}

// repeatedResult returns the result of a request whose key already belongs to the claim existing.
func (k *keyedCall) repeatedResult(existing ledger.Claim) *Result {
	switch {
	case existing.Digest != k.claim.Digest:
		events.KeyReused.Log(&k.entry.log).Str("request", k.request.ID).Str("earlier", existing.RequestID).Str("branch", existing.Branch).Send()
		return &Result{Outcome: wire.OutcomeNotRun, Status: http.StatusUnprocessableEntity, Reason: "the key was used for a different request",
			QueueTime: queueTimeUnknown}
	case !existing.Done:
		return &Result{Outcome: wire.OutcomeUnknown, Status: http.StatusConflict, Reason: "a request with this key is open",
			QueueTime: queueTimeUnknown}
	}
	return recordedResult(wire.Result{Outcome: wire.Outcome(existing.Outcome), Status: existing.Status, Header: existing.Header,
		Body: existing.Body, Truncated: existing.Truncated})
}

// dispatch sends the recorded attempt once and returns its result. If the response does not tell the outcome, or no response
// arrives, dispatch queries the agent for the outcome.
func (k *keyedCall) dispatch(ctx context.Context, server *route.Server) *Result {
	k.dispatchCount++
	invariant.Check(k.dispatchCount == k.claim.Attempt && server.ID == k.claim.Agent && server.Incarnation == k.claim.AgentInc,
		"one_dispatch_per_claim", "request %s: dispatch %d to %s for attempt %d at %s", k.request.ID, k.dispatchCount, server.ID,
		k.claim.Attempt, k.claim.Agent)
	result, err := k.entry.exchange(ctx, k.request, server, &k.claim)
	if err == nil && result.Outcome != wire.OutcomeUnknown {
		return result
	}
	if errors.Is(err, errNotSent) {
		return notRunResult(err.Error())
	}
	if err != nil {
		result = unknownResult(err)
	}
	return k.resolveOutcome(ctx, result)
}

// Timing of queries to an agent after a lost response.
const (
	resolveQueryTimeout  = time.Second            // of one query
	resolveQueryInterval = 50 * time.Millisecond  // between queries, while the request runs or the agent does not respond
	minResolveDuration   = 500 * time.Millisecond // minimum time spent on queries, even past the deadline
)

// resolveOutcome queries the agent for the outcome of the attempt until the outcome is known or the deadline has passed. It
// returns unresolved if the outcome stays unknown. The claim then stays open, and the partition owner continues the queries.
func (k *keyedCall) resolveOutcome(ctx context.Context, unresolved *Result) *Result {
	earliestEnd := time.Now().Add(minResolveDuration)
	for {
		reply, err := k.queryAgent()
		if err == nil {
			switch reply.Verdict {
			case wire.VerdictNotStarted:
				return notRunResult(unresolved.Reason + "; the agent has not started the request and refuses it from now on")
			case wire.VerdictEnded:
				return recordedResult(reply.Result)
			case wire.VerdictUnknown:
				return k.logUnknown(unresolved)
			}
		}
		if ctx.Err() != nil && time.Now().After(earliestEnd) {
			return k.logUnknown(unresolved)
		}
		time.Sleep(resolveQueryInterval)
	}
}

func (k *keyedCall) queryAgent() (wire.FenceReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), resolveQueryTimeout)
	defer cancel()
	var reply wire.FenceReply
	args := wire.FenceArgs{RequestID: wire.AttemptID(k.request.ID, k.claim.Attempt), Incarnation: k.claim.AgentInc, Until: k.claim.Until}
	err := k.entry.peerPool.Call(ctx, k.claim.AgentAddr, "Agent.FenceRequest", args, &reply)
	return reply, err
}

func (k *keyedCall) logUnknown(result *Result) *Result {
	events.RequestUnknown.Log(&k.entry.log).Str("request", k.request.ID).Str("agent", k.claim.Agent).Str("reason", result.Reason).Send()
	return result
}

// recordOutcome records the outcome of the request and returns the result for the caller. It does not record an unknown
// outcome that can still be resolved; the claim then stays open, because the agent may still report the outcome.
func (k *keyedCall) recordOutcome(result *Result) *Result {
	if result.Outcome == wire.OutcomeUnknown && !result.isUnresolvable {
		return result
	}
	claim := k.claim
	claim.Outcome = string(result.Outcome)
	if result.Response == nil {
		k.completeClaim(claim, false)
		return result
	}
	claim.Status = result.Response.StatusCode
	claim.Header = map[string]string{"Content-Type": result.Response.Header.Get("Content-Type")}
	return k.recordBody(claim, result)
}

// completeClaim records the outcome with the partition owner, or releases the key if release is set. If the call fails, the
// owner later obtains the outcome by querying the agent.
func (k *keyedCall) completeClaim(claim ledger.Claim, release bool) {
	claim.Done = !release
	var reply wire.CompleteReply
	args := wire.CompleteArgs{Partition: k.partitionID, Claim: claim, Release: release}
	ctx, cancel := app.Extend(k.entry.shutdown.answersDue, lateRecordTimeout)
	defer cancel()
	err := k.entry.callOwner(ctx, k.partitionID, "Partition.Complete", args, &reply, func() wire.Code { return reply.Code })
	if err == nil && reply.Code == wire.CodeOK {
		return
	}
	k.entry.metrics.Counter("entry_complete_failed").Inc(1)
	events.CompleteFailed.Log(&k.entry.log).Str("request", k.request.ID).AnErr("cause", err).Str("code", string(reply.Code)).Send()
}
