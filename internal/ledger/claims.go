package ledger

import "bamboofork/internal/invariant"

// claim opens a key. The stored claim is a copy, because the operation is encoded later.
func (s *State) claim(c *Claim) (Undo, error) {
	if s.Claims[c.Key] != nil {
		return nil, ErrDuplicate
	}
	own := *c
	s.Claims[c.Key] = &own
	return func() { delete(s.Claims, c.Key) }, nil
}

// open finds the open claim that c names. Another request or attempt, or a recorded outcome, makes c stale.
func (s *State) open(c *Claim) (*Claim, error) {
	old := s.Claims[c.Key]
	switch {
	case old == nil:
		return nil, ErrUnknown
	case old.Done || old.RequestID != c.RequestID || old.Attempt != c.Attempt:
		return nil, ErrStale
	}
	return old, nil
}

// replace stores next in place of old. Claims are never changed in place, so that copies of the pointer stay valid.
func (s *State) replace(old, next *Claim) Undo {
	s.Claims[old.Key] = next
	return func() { s.Claims[old.Key] = old }
}

// assign moves an open claim to the next agent. c carries the new attempt; the one before it must be current.
func (s *State) assign(c *Claim) (Undo, error) {
	before := *c
	before.Attempt--
	old, err := s.open(&before)
	if err != nil {
		return nil, err
	}
	next := *old
	next.Attempt, next.Agent, next.AgentAddr, next.AgentInc, next.Until = c.Attempt, c.Agent, c.AgentAddr, c.AgentInc, c.Until
	invariant.Check(next.Attempt == old.Attempt+1 && next.RequestID == old.RequestID, "one_dispatch_per_claim",
		"key %q: attempt %d of %s after attempt %d of %s", c.Key, next.Attempt, next.RequestID, old.Attempt, old.RequestID)
	return s.replace(old, &next), nil
}

// complete records the outcome of the current attempt.
func (s *State) complete(c *Claim) (Undo, error) {
	old, err := s.open(c)
	if err != nil {
		return nil, err
	}
	next := *old
	next.Done, next.Ended = true, c.Ended
	next.Outcome, next.Status, next.Header = c.Outcome, c.Status, c.Header
	next.Body, next.Truncated = c.Body, c.Truncated
	return s.replace(old, &next), nil
}

// release gives the key back after proof that the current attempt did not run and never will.
func (s *State) release(c *Claim) (Undo, error) {
	old, err := s.open(c)
	if err != nil {
		return nil, ErrStale
	}
	delete(s.Claims, c.Key)
	return func() { s.Claims[c.Key] = old }, nil
}

// pruneClaim drops a recorded outcome after its time. Open claims are never dropped.
func (s *State) pruneClaim(c *Claim) (Undo, error) {
	old := s.Claims[c.Key]
	if old == nil || !old.Done || old.RequestID != c.RequestID {
		return nil, ErrStale
	}
	delete(s.Claims, c.Key)
	return func() { s.Claims[c.Key] = old }, nil
}
