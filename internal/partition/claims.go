package partition

import (
	"errors"
	"time"

	"bamboofork/internal/ledger"
	"bamboofork/internal/wire"
)

// Times and bounds of claims. Times are by the owner's clock. A recorded outcome expires after Config.Retention.
const (
	// settleYoung is the age below which an open claim is not questioned: its dispatch is on the way.
	settleYoung = 250 * time.Millisecond
	// settleAfter is the age from which the owner asks for open claims on its own.
	settleAfter = 5 * time.Second
	// settleGiveUp is the age from which the claim of an agent that does not answer is recorded as unknown. It
	// exceeds wire.DispatchWindow, so that the dispatch cannot arrive any more.
	settleGiveUp   = 2 * wire.DispatchWindow
	settleTimeout  = time.Second
	maxClaims      = 50_000  // of a partition; at 300 bytes each 15 MB
	maxClaimBodies = 4 << 20 // bytes of kept response bodies of a partition
)

// Claim records a keyed request before its dispatch. If the key is taken by an open claim, its agent is asked first;
// a claim that is proven not to run gives way.
func (s *Service) Claim(args wire.ClaimArgs, reply *wire.ClaimReply) error {
	claim := args.Claim
	claim.At = time.Now()
	o := s.m.owner(args.Partition)
	if o != nil && o.claims.full() {
		reply.Code, reply.Reason = wire.CodeNoStore, "the partition holds its largest number of keys"
		return nil
	}
	code, err := s.commit(args.Partition, ledger.Op{Kind: ledger.OpClaim, Claim: &claim})
	if o != nil && errors.Is(err, ledger.ErrDuplicate) && s.settleEarlier(o, claim) {
		code, err = s.commit(args.Partition, ledger.Op{Kind: ledger.OpClaim, Claim: &claim})
	}
	reply.Code, reply.Granted = code, err == nil
	if err != nil {
		reply.Reason = err.Error()
	}
	if o != nil && errors.Is(err, ledger.ErrDuplicate) {
		reply.Code = wire.CodeOK
		reply.Existing = o.claim(claim.Key)
	}
	return nil
}

// settleEarlier resolves the open claim in the way of a repeat and reports whether the key became free.
func (s *Service) settleEarlier(o *Owner, repeat ledger.Claim) bool {
	existing := o.claim(repeat.Key)
	if existing.Done || existing.Digest != repeat.Digest || time.Since(existing.At) < settleYoung {
		return false
	}
	(&settler{owner: o, pool: s.m.pool}).settle(existing)
	return o.claim(repeat.Key).RequestID == ""
}

func (o *Owner) claim(key string) ledger.Claim {
	o.mu.Lock()
	defer o.mu.Unlock()
	if c := o.state.Claims[key]; c != nil {
		return *c
	}
	return ledger.Claim{Key: key}
}

// Assign moves an open claim to another agent, after proof that it did not run at the one before.
func (s *Service) Assign(args wire.AssignArgs, reply *wire.AssignReply) error {
	claim := args.Claim
	reply.Code, _ = s.commit(args.Partition, ledger.Op{Kind: ledger.OpAssign, Claim: &claim})
	return nil
}

// Complete records the outcome of a keyed request, or releases its key if it was proven not to have run.
func (s *Service) Complete(args wire.CompleteArgs, reply *wire.CompleteReply) error {
	claim := args.Claim
	claim.Ended = time.Now()
	op := ledger.Op{Kind: ledger.OpComplete, Claim: &claim}
	if args.Release {
		op.Kind = ledger.OpRelease
	}
	if o := s.m.owner(args.Partition); o != nil && o.claims.bodiesFull() {
		claim.Truncated, claim.Body = claim.Truncated || len(claim.Body) > 0, nil
	}
	reply.Code, _ = s.commit(args.Partition, op)
	return nil
}
