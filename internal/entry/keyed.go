package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"bamboofork/internal/ledger"
	"bamboofork/internal/partition"
	"bamboofork/internal/peer"
	"bamboofork/internal/store"
	"bamboofork/internal/wire"
)

// keptBody is the largest response body that is stored with a claim.
const keptBody = 8 << 10

// ownerTimeout bounds a call to a partition owner.
const ownerTimeout = 3 * time.Second

// SendKeyed runs a request at most once for its key: the claim is durable before the dispatch, and a repeat of the
// key gets the recorded outcome.
func (e *Entry) SendKeyed(ctx context.Context, req *Request, key string) *Answer {
	req.Once = true
	fullKey := req.Branch.Branch + "\x00" + key
	id := partition.Of(fullKey, e.dir.Partitions)
	claim := ledger.Claim{Key: fullKey, Branch: req.Branch.Branch, RequestID: req.ID, At: time.Now()}
	reply, answer := e.claim(ctx, id, claim)
	if answer != nil {
		return answer
	}
	if !reply.Granted {
		return earlierOutcome(reply.Existing)
	}
	out := e.Send(ctx, req)
	return e.recordOutcome(id, claim, out)
}

func (e *Entry) claim(ctx context.Context, id int, claim ledger.Claim) (wire.ClaimReply, *Answer) {
	callCtx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	var reply wire.ClaimReply
	err := e.dir.Call(callCtx, id, "Partition.Claim", wire.ClaimArgs{Partition: id, Claim: claim}, &reply, func() wire.Code { return reply.Code })
	switch {
	case err == nil && reply.Code == wire.CodeOK:
		return reply, nil
	case err == nil && reply.Code == wire.CodeNoStore, errors.Is(err, partition.ErrNotOwner), errors.Is(err, peer.ErrNotSent), errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrRateLimited):
		return reply, &Answer{Outcome: wire.OutcomeNotRun, Status: http.StatusServiceUnavailable, Reason: "the key could not be claimed", Waited: -1}
	}
	// The claim may be durable, but this entry dispatches nothing, so the request does not run.
	return reply, &Answer{Outcome: wire.OutcomeNotRun, Status: http.StatusServiceUnavailable, Reason: "the claim of the key was not confirmed; the request was not dispatched", Waited: -1}
}

// earlierOutcome answers a repeated key.
func earlierOutcome(c ledger.Claim) *Answer {
	if !c.Done {
		return &Answer{Outcome: wire.OutcomeUnknown, Status: http.StatusConflict, Reason: "a request with this key is open", Waited: -1}
	}
	if wire.Outcome(c.Outcome) != wire.OutcomeDone {
		return &Answer{Outcome: wire.Outcome(c.Outcome), Status: http.StatusBadGateway, Reason: "recorded outcome of the earlier request", Waited: -1}
	}
	header := http.Header{}
	for name, value := range c.Header {
		header.Set(name, value)
	}
	header.Set("Bf-Replayed", "true")
	if c.Truncated {
		header.Set("Bf-Body", "not kept")
	}
	resp := &http.Response{StatusCode: c.Status, Header: header, Body: io.NopCloser(bytes.NewReader(c.Body))}
	return &Answer{Outcome: wire.OutcomeDone, Response: resp, Waited: -1}
}

// recordOutcome stores the outcome with the claim. A request that was proven not to run gives its key back.
func (e *Entry) recordOutcome(id int, claim ledger.Claim, out *Answer) *Answer {
	release := out.Outcome == wire.OutcomeNotRun
	claim.Done, claim.Outcome = true, string(out.Outcome)
	if out.Response != nil {
		body, err := io.ReadAll(out.Response.Body)
		out.Close(err != nil)
		if err != nil {
			out = &Answer{Outcome: wire.OutcomeUnknown, Status: http.StatusBadGateway, Reason: "answer was cut off: " + err.Error(), Waited: -1}
			claim.Outcome = string(wire.OutcomeUnknown)
		} else {
			out.Response.Body = io.NopCloser(bytes.NewReader(body))
			claim.Status = out.Response.StatusCode
			claim.Header = map[string]string{"Content-Type": out.Response.Header.Get("Content-Type")}
			claim.Truncated = len(body) > keptBody
			if !claim.Truncated {
				claim.Body = body
			}
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), ownerTimeout)
	defer cancel()
	var reply wire.CompleteReply
	args := wire.CompleteArgs{Partition: id, Claim: claim, Release: release}
	if err := e.dir.Call(ctx, id, "Partition.Complete", args, &reply, func() wire.Code { return reply.Code }); err != nil {
		e.metrics.Counter("entry_complete_failed").Inc(1) // the key stays open; repeats get unknown
	}
	return out
}
