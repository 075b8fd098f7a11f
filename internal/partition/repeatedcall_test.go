package partition

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/ledger"
	"bamboofork/internal/peer"
	"bamboofork/internal/store/memstore"
	"bamboofork/internal/wire"
)

// Guards against an entry that gives up a keyed request because the reply to one of its calls was lost: a repeated call has the
// effect and the reply of the first one. Another request with the same key is not granted, and neither is one that has ended.
func TestRepeatedClaimCallsGetTheReplyOfTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := newOwnerHarness(c, memstore.New(), "w1")
		defer r.stop()
		service := &Service{m: &Manager{owners: map[int]*Owner{0: r.owner}}}
		claimed := func(claim ledger.Claim) bool {
			var reply wire.ClaimReply
			c.Assert(service.Claim(wire.ClaimArgs{Claim: claim}, &reply), qt.IsNil)
			c.Assert(reply.Code, qt.Equals, wire.CodeOK)
			return reply.Granted
		}
		assign := func(claim ledger.Claim) wire.Code {
			var reply wire.AssignReply
			c.Assert(service.Assign(wire.AssignArgs{Claim: claim}, &reply), qt.IsNil)
			return reply.Code
		}
		complete := func(claim ledger.Claim, release bool) wire.Code {
			var reply wire.CompleteReply
			c.Assert(service.Complete(wire.CompleteArgs{Claim: claim, Release: release}, &reply), qt.IsNil)
			return reply.Code
		}
		first := ledger.Claim{Key: "k", RequestID: "r", Digest: "d", Attempt: 1, Agent: "a", AgentInc: 1}
		other := first
		other.RequestID = "s"
		c.Assert(claimed(first), qt.IsTrue)
		c.Assert(claimed(first), qt.IsTrue)
		c.Assert(claimed(other), qt.IsFalse)

		second := first
		second.Attempt, second.Agent = 2, "b"
		c.Assert(assign(second), qt.Equals, wire.CodeOK)
		c.Assert(assign(second), qt.Equals, wire.CodeOK)
		c.Assert(claimed(first), qt.IsFalse)
		third := second
		third.Agent = "c" // the attempt is at another agent
		c.Assert(assign(third), qt.Equals, wire.CodeStale)

		second.Outcome = string(wire.OutcomeDone)
		c.Assert(complete(second, false), qt.Equals, wire.CodeOK)
		c.Assert(complete(second, false), qt.Equals, wire.CodeOK)
		contradicting := second
		contradicting.Outcome = string(wire.OutcomeFailed)
		c.Assert(complete(contradicting, false), qt.Equals, wire.CodeStale)
		c.Assert(complete(second, true), qt.Equals, wire.CodeStale)
		c.Assert(claimed(second), qt.IsFalse)

		released := ledger.Claim{Key: "l", RequestID: "r", Attempt: 1, Agent: "a", AgentInc: 1}
		c.Assert(claimed(released), qt.IsTrue)
		c.Assert(complete(released, true), qt.Equals, wire.CodeOK)
		c.Assert(complete(released, true), qt.Equals, wire.CodeOK)
	})
}

// scriptedCaller answers the calls with the given results in turn, and repeats the last one.
type scriptedCaller struct {
	results []callResult
	calls   int
}

type callResult struct {
	err  error
	code wire.Code
}

// Call implements Caller.
func (s *scriptedCaller) Call(_ context.Context, _, _ string, _, reply any) error {
	result := s.results[min(s.calls, len(s.results)-1)]
	s.calls++
	if result.err == nil {
		reply.(*wire.SubmitReply).Code = result.code
	}
	return result.err
}

// Guards against a call that reports that it had no effect although an earlier attempt may have had one: a later refusal proves
// only that the later attempt had none. Also guards against a call that is given up because its connection broke or because its owner
// stopped before the outcome of a write was known.
func TestCallAfterALostReply(t *testing.T) {
	for name, test := range map[string]struct {
		results []callResult
		code    wire.Code
		err     error
	}{
		"reply to the repeated call":       {[]callResult{{err: peer.ErrOutcomeUnknown}, {code: wire.CodeOK}}, wire.CodeOK, nil},
		"owner replaced":                   {[]callResult{{err: peer.ErrOutcomeUnknown}, {code: wire.CodeNotOwner}, {code: wire.CodeOK}}, wire.CodeOK, nil},
		"no owner after it":                {[]callResult{{err: peer.ErrOutcomeUnknown}, {code: wire.CodeNotOwner}}, "", peer.ErrOutcomeUnknown},
		"owner unreachable after it":       {[]callResult{{err: peer.ErrOutcomeUnknown}, {err: peer.ErrNotSent}}, "", peer.ErrOutcomeUnknown},
		"store unavailable after it":       {[]callResult{{err: peer.ErrOutcomeUnknown}, {code: wire.CodeNoStore}}, "", peer.ErrOutcomeUnknown},
		"uncertain, then reply":            {[]callResult{{code: wire.CodeUncertain}, {code: wire.CodeNotOwner}, {code: wire.CodeOK}}, wire.CodeOK, nil},
		"uncertain, then no owner":         {[]callResult{{code: wire.CodeUncertain}, {code: wire.CodeNotOwner}}, "", peer.ErrOutcomeUnknown},
		"no owner at all":                  {[]callResult{{code: wire.CodeNotOwner}}, "", ErrNotOwner},
		"store unavailable from the start": {[]callResult{{code: wire.CodeNoStore}}, wire.CodeNoStore, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := memstore.New()
				_, err := engine.CompareAndSwap(t.Context(), OwnerKey(0), 0, []byte(`{"id":"a-1","addr":"a"}`), 0)
				qt.Assert(t, err, qt.IsNil)
				directory := NewDirectory(engine, &scriptedCaller{results: test.results}, 1)
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				var reply wire.SubmitReply
				err = directory.Call(ctx, 0, "Partition.Submit", wire.SubmitArgs{}, &reply, func() wire.Code { return reply.Code })
				if test.err != nil {
					qt.Check(t, err, qt.ErrorIs, test.err)
					return
				}
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, reply.Code, qt.Equals, test.code)
			})
		})
	}
}
