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

// Bounds of calls to a partition owner. A claim waits for a change of owners, within the request's deadline.
const (
	ownerTimeout = 3 * time.Second
	claimTimeout = 6 * time.Second
)

// keyedCall is one request with an idempotency key on its way. claim names the agent that the current attempt goes to.
type keyedCall struct {
	e          *Entry
	req        *Request
	partition  int
	claim      ledger.Claim
	dispatched int // attempts handed to the transport; never more than claim.Attempt
}

// SendKeyed runs a request at most once for its key. Each attempt is recorded with its agent before its dispatch, and
// the next one is recorded only after proof that the one before did not run. A repeat of the key gets the recorded
// outcome. The call goes on when the caller hangs up, up to the request's deadline.
func (e *Entry) SendKeyed(ctx context.Context, req *Request, key string) *Answer {
	req.Once = true
	if err := req.Body.buffer(); err != nil {
		return bodyAnswer(err)
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline)
	fullKey := req.Branch.Branch + "\x00" + key
	k := &keyedCall{e: e, req: req, partition: partition.Of(fullKey, e.dir.Partitions)}
	k.claim = ledger.Claim{Key: fullKey, Branch: req.Branch.Branch, RequestID: req.ID, Digest: digest(req)}
	out := k.run(ctx)
	out.onClose(cancel)
	return out
}

// digest identifies the content of a request; a key must not be repeated with another content.
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

func (k *keyedCall) run(ctx context.Context) *Answer {
	k.e.budget.Deposit(k.req.Branch.Branch, k.req.Branch.RetryBudget)
	avoid := route.Avoid{}
	pick := k.e.pick(k.req, avoid)
	if pick.Chosen == nil {
		return k.e.unrouted(k.req, &pick)
	}
	for attempt := 1; ; attempt++ {
		k.e.noteRouted(k.req, attempt, &pick)
		avoid = append(avoid, pick.Chosen.ID)
		if answer := k.record(ctx, attempt, pick.Chosen); answer != nil {
			k.e.balancer.Cancel(pick.Chosen)
			return answer
		}
		out := k.dispatch(ctx, pick.Chosen)
		if out.Outcome != wire.OutcomeNotRun {
			return k.finish(out)
		}
		next, again := k.e.next(ctx, k.req, attempt, avoid, out)
		if !again {
			k.complete(k.claim, true)
			return out
		}
		k.e.retried(k.req, attempt, out)
		pick = next
	}
}

// record makes the attempt durable: the claim for the first, its reassignment for the others. A nil answer means that
// the attempt must be dispatched; otherwise nothing is dispatched for it.
func (k *keyedCall) record(ctx context.Context, attempt int, c *route.Server) *Answer {
	k.claim.Attempt = attempt
	k.claim.Agent, k.claim.AgentAddr, k.claim.AgentInc = c.ID, c.Addr, c.Incarnation
	k.claim.Until = c.Load.Clock + wire.DispatchWindow
	if attempt > 1 {
		return k.assign(ctx)
	}
	var reply wire.ClaimReply
	args := wire.ClaimArgs{Partition: k.partition, Claim: k.claim}
	callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := k.e.dir.Call(callCtx, k.partition, "Partition.Claim", args, &reply, func() wire.Code { return reply.Code })
	switch {
	case err != nil:
		// The claim may be durable. This entry dispatches nothing for it, so the request does not run; the owner
		// fences it at its agent and gives the key back.
		return refused("the key could not be claimed, the request was not dispatched: " + err.Error())
	case reply.Code != wire.CodeOK:
		return refused("the key could not be claimed, the request was not dispatched: " + reply.Reason)
	case !reply.Granted:
		return k.earlier(reply.Existing)
	}
	return nil
}

func (k *keyedCall) assign(ctx context.Context) *Answer {
	var reply wire.AssignReply
	args := wire.AssignArgs{Partition: k.partition, Claim: k.claim}
	err := k.e.callOwner(ctx, k.partition, "Partition.Assign", args, &reply, func() wire.Code { return reply.Code })
	if err == nil && reply.Code == wire.CodeOK {
		return nil
	}
	return refused("the next attempt could not be recorded and was not dispatched")
}

// earlier answers a repeated key.
func (k *keyedCall) earlier(c ledger.Claim) *Answer {
	switch {
	case c.Digest != k.claim.Digest:
		events.KeyReused.Log(&k.e.log).Str("request", k.req.ID).Str("earlier", c.RequestID).Str("branch", c.Branch).Send()
		return &Answer{Outcome: wire.OutcomeNotRun, Status: http.StatusUnprocessableEntity, Reason: "the key was used for a different request", Waited: waitUnknown}
	case !c.Done:
		return &Answer{Outcome: wire.OutcomeUnknown, Status: http.StatusConflict, Reason: "a request with this key is open", Waited: waitUnknown}
	}
	return recorded(wire.Result{Outcome: wire.Outcome(c.Outcome), Status: c.Status, Header: c.Header, Body: c.Body, Truncated: c.Truncated})
}

// dispatch sends the recorded attempt, once, and asks its agent if the answer does not tell how it ended.
func (k *keyedCall) dispatch(ctx context.Context, c *route.Server) *Answer {
	k.dispatched++
	invariant.Check(k.dispatched == k.claim.Attempt && c.ID == k.claim.Agent && c.Incarnation == k.claim.AgentInc, "one_dispatch_per_claim",
		"request %s: dispatch %d to %s for attempt %d at %s", k.req.ID, k.dispatched, c.ID, k.claim.Attempt, k.claim.Agent)
	out, err := k.e.exchange(ctx, k.req, c, &k.claim)
	if err == nil && out.Outcome != wire.OutcomeUnknown {
		return out
	}
	if errors.Is(err, errNotSent) {
		return refused(err.Error())
	}
	if err != nil {
		out = lostAnswer(err)
	}
	return k.resolve(ctx, out)
}

// Questions to an agent after a lost answer.
const (
	resolveTimeout = time.Second            // of one question
	resolveEvery   = 50 * time.Millisecond  // between questions while the request runs or the agent does not answer
	resolveAfter   = 500 * time.Millisecond // questions go on at least this long, also after the deadline
)

// resolve asks the agent how the attempt ended until it knows or the deadline has passed. If nobody knows, the claim
// stays open and its owner goes on asking.
func (k *keyedCall) resolve(ctx context.Context, out *Answer) *Answer {
	until := time.Now().Add(resolveAfter)
	for {
		reply, err := k.ask()
		if err == nil {
			switch reply.Verdict {
			case wire.VerdictNever:
				return refused(out.Reason + "; the agent has not started the request and refuses it from now on")
			case wire.VerdictEnded:
				return recorded(reply.Result)
			case wire.VerdictUnknown:
				return k.unknown(out)
			}
		}
		if ctx.Err() != nil && time.Now().After(until) {
			return k.unknown(out)
		}
		time.Sleep(resolveEvery)
	}
}

func (k *keyedCall) ask() (wire.FenceReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	var reply wire.FenceReply
	args := wire.FenceArgs{RequestID: wire.AttemptID(k.req.ID, k.claim.Attempt), Incarnation: k.claim.AgentInc, Until: k.claim.Until}
	err := k.e.pool.Call(ctx, k.claim.AgentAddr, "Agent.FenceRequest", args, &reply)
	return reply, err
}

func (k *keyedCall) unknown(out *Answer) *Answer {
	events.RequestUnknown.Log(&k.e.log).Str("request", k.req.ID).Str("agent", k.claim.Agent).Str("reason", out.Reason).Send()
	return out
}

// finish records an outcome. An unknown one leaves the claim open, because its agent may still tell.
func (k *keyedCall) finish(out *Answer) *Answer {
	if out.Outcome == wire.OutcomeUnknown && !out.final {
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
	return k.keepBody(claim, out)
}

// complete records the outcome with the owner. A failure leaves the claim to the owner's own questions.
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
