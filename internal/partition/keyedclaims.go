package partition

import (
	"errors"
	"time"

	"bamboofork/internal/ledger"
	"bamboofork/internal/wire"
)

// Timing and limits of claims. Ages are measured by the owner's clock. A recorded outcome is kept for Config.Retention.
const (
	// minResolveAge is the age below which an open claim is not resolved, because its dispatch may still be in flight.
	minResolveAge = 250 * time.Millisecond
	// sweepResolveAge is the age from which the sweeps resolve an open claim.
	sweepResolveAge = 5 * time.Second
	// recordUnknownAge is the age from which a claim is recorded as unknown if its agent does not respond. It exceeds
	// wire.DispatchWindow, so the dispatch can no longer arrive.
	recordUnknownAge  = 2 * wire.DispatchWindow
	resolveTimeout    = time.Second // limit of the call to the agent
	maxClaims         = 50_000      // per partition; 15 MB at 300 bytes each
	maxClaimBodyBytes = 4 << 20     // bytes of stored response bodies per partition
)

// Claim records a keyed request before its dispatch. If the key already has an open claim of another request, Claim first
// queries the agent of that claim. If the earlier request is proven not to have run, the key is released and the new claim is
// recorded. A repeated call after a lost reply is granted as the first one was.
func (s *Service) Claim(args wire.ClaimArgs, reply *wire.ClaimReply) error {
	claim := args.Claim
	claim.At = time.Now()
	o := s.m.owner(args.Partition)
	if o != nil && o.claimStats.countLimitReached() {
		reply.Code, reply.Reason = wire.CodeNoStore, "the partition holds its largest number of keys"
		return nil
	}
	code, err := s.commit(args.Partition, ledger.Op{Kind: ledger.OpClaim, Claim: &claim})
	if o != nil && errors.Is(err, ledger.ErrDuplicate) && o.holdsAttempt(claim) {
		reply.Code, reply.Granted = wire.CodeOK, true
		return nil
	}
	if o != nil && errors.Is(err, ledger.ErrDuplicate) && s.resolveEarlier(o, claim) {
		code, err = s.commit(args.Partition, ledger.Op{Kind: ledger.OpClaim, Claim: &claim})
	}
	reply.Code, reply.Granted = code, err == nil
	if err != nil {
		reply.Reason = err.Error()
	}
	if o != nil && errors.Is(err, ledger.ErrDuplicate) {
		reply.Code = wire.CodeOK
		reply.Existing = o.lookupClaim(claim.Key)
	}
	return nil
}

// resolveEarlier resolves the open claim that has the same key as a repeated request. It reports whether the key was released.
func (s *Service) resolveEarlier(o *Owner, repeat ledger.Claim) bool {
	existing := o.lookupClaim(repeat.Key)
	if existing.Done || existing.Digest != repeat.Digest || time.Since(existing.At) < minResolveAge {
		return false
	}
	(&claimResolver{owner: o, rpc: s.m.rpc}).resolve(existing)
	return o.lookupClaim(repeat.Key).RequestID == ""
}

func (o *Owner) lookupClaim(key string) ledger.Claim {
	o.mu.Lock()
	defer o.mu.Unlock()
	if c := o.state.Claims[key]; c != nil {
		return *c
	}
	return ledger.Claim{Key: key}
}

// holdsAttempt reports whether the stored claim of the key is open and names the same request, attempt and agent. Only the entry
// that processes the request makes such a claim, and it dispatches the attempt once.
func (o *Owner) holdsAttempt(claim ledger.Claim) bool {
	stored := o.lookupClaim(claim.Key)
	return !stored.Done && stored.RequestID == claim.RequestID && stored.Attempt == claim.Attempt && stored.Agent == claim.Agent &&
		stored.AgentInc == claim.AgentInc
}

// Assign moves an open claim to another agent. The entry has proof that the request did not run at the previous agent.
func (s *Service) Assign(args wire.AssignArgs, reply *wire.AssignReply) error {
	claim := args.Claim
	var err error
	reply.Code, err = s.commit(args.Partition, ledger.Op{Kind: ledger.OpAssign, Claim: &claim})
	if o := s.m.owner(args.Partition); o != nil && errors.Is(err, ledger.ErrStale) && o.holdsAttempt(claim) {
		reply.Code = wire.CodeOK // repeated call after a lost reply
	}
	return nil
}

// Complete records the outcome of a keyed request, or releases its key if the request is proven not to have run.
func (s *Service) Complete(args wire.CompleteArgs, reply *wire.CompleteReply) error {
	claim := args.Claim
	claim.Ended = time.Now()
	op := ledger.Op{Kind: ledger.OpComplete, Claim: &claim}
	if args.Release {
		op.Kind = ledger.OpRelease
	}
	if o := s.m.owner(args.Partition); o != nil && o.claimStats.bodyLimitReached() {
		claim.Truncated, claim.Body = claim.Truncated || len(claim.Body) > 0, nil
	}
	var err error
	reply.Code, err = s.commit(args.Partition, op)
	if o := s.m.owner(args.Partition); o != nil && errors.Is(err, ledger.ErrStale) && o.isCompleted(claim, args.Release) {
		reply.Code = wire.CodeOK // repeated call after a lost reply
	}
	return nil
}

// isCompleted reports whether the outcome of the claim's request is recorded, or whether its key is released.
func (o *Owner) isCompleted(claim ledger.Claim, released bool) bool {
	stored := o.lookupClaim(claim.Key)
	if released {
		return stored.RequestID != claim.RequestID
	}
	return stored.Done && stored.RequestID == claim.RequestID && stored.Attempt == claim.Attempt && stored.Outcome == claim.Outcome
}
