package ledger

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestClaimMovesOneAttemptAtATime guards against duplicate dispatches of a keyed request. An attempt number must not be
// skipped, and an operation of an earlier attempt must not change the claim.
func TestClaimMovesOneAttemptAtATime(t *testing.T) {
	s := NewState()
	apply := func(kind OpKind, c Claim) error {
		_, err := s.Apply(Op{Kind: kind, Claim: &c})
		return err
	}
	claim := Claim{Key: "k", RequestID: "r", Attempt: 1, Agent: "a", Digest: "d"}
	qt.Assert(t, apply(OpClaim, claim), qt.IsNil)
	qt.Assert(t, apply(OpClaim, claim), qt.Equals, ErrDuplicate)
	next := claim
	next.Attempt, next.Agent = 3, "b"
	qt.Assert(t, apply(OpAssign, next), qt.Equals, ErrStale)
	next.Attempt = 2
	qt.Assert(t, apply(OpAssign, next), qt.IsNil)
	qt.Assert(t, apply(OpAssign, next), qt.Equals, ErrStale)
	qt.Assert(t, apply(OpRelease, claim), qt.Equals, ErrStale) // a late release of the first attempt
	qt.Assert(t, apply(OpPrune, next), qt.Equals, ErrStale)    // open claims stay
	next.Outcome = "done"
	qt.Assert(t, apply(OpComplete, next), qt.IsNil)
	qt.Assert(t, apply(OpRelease, next), qt.Equals, ErrStale)
	qt.Assert(t, s.Claims["k"].Digest, qt.Equals, "d")
	qt.Assert(t, s.Claims["k"].Agent, qt.Equals, "b")
	qt.Assert(t, apply(OpPrune, next), qt.IsNil)
	qt.Assert(t, apply(OpClaim, claim), qt.IsNil)
}
