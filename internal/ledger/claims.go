package ledger

import "bamboofork/internal/invariant"

// addClaim records a new open claim. It stores a copy, because the operation is encoded later.
func (s *State) addClaim(c *Claim) (Undo, error) {
	if s.Claims[c.Key] != nil {
		return nil, ErrDuplicate
	}
	stored := *c
	s.Claims[c.Key] = &stored
	return func() { delete(s.Claims, c.Key) }, nil
}

// openClaim returns the stored open claim of c's key. It returns ErrNotFound if the key has no claim, and ErrStale if the
// stored claim belongs to another request or attempt or already has an outcome.
func (s *State) openClaim(c *Claim) (*Claim, error) {
	old := s.Claims[c.Key]
	switch {
	case old == nil:
		return nil, ErrNotFound
	case old.Done || old.RequestID != c.RequestID || old.Attempt != c.Attempt:
		return nil, ErrStale
	}
	return old, nil
}

// replaceClaim stores next instead of old. It does not modify old, so pointers to old still see the earlier values. The
// returned Undo stores old again.
func (s *State) replaceClaim(old, next *Claim) Undo {
	s.Claims[old.Key] = next
	return func() { s.Claims[old.Key] = old }
}

// assignClaim moves an open claim to another agent. c contains the new agent and attempt number. The stored claim must have
// the attempt number before it.
func (s *State) assignClaim(c *Claim) (Undo, error) {
	previous := *c
	previous.Attempt--
	old, err := s.openClaim(&previous)
	if err != nil {
		return nil, err
	}
	next := *old
	next.Attempt, next.Agent, next.AgentAddr, next.AgentInc, next.Until = c.Attempt, c.Agent, c.AgentAddr, c.AgentInc, c.Until
	invariant.Check(next.Attempt == old.Attempt+1 && next.RequestID == old.RequestID, "one_dispatch_per_claim",
		"key %q: attempt %d of %s after attempt %d of %s", c.Key, next.Attempt, next.RequestID, old.Attempt, old.RequestID)
	return s.replaceClaim(old, &next), nil
}

// completeClaim records the outcome of the current attempt of an open claim.
func (s *State) completeClaim(c *Claim) (Undo, error) {
	old, err := s.openClaim(c)
	if err != nil {
		return nil, err
	}
	next := *old
	next.Done, next.Ended = true, c.Ended
	next.Outcome, next.Status, next.Header = c.Outcome, c.Status, c.Header
	next.Body, next.Truncated = c.Body, c.Truncated
	return s.replaceClaim(old, &next), nil
}

// releaseClaim removes an open claim, so that its key can be claimed again. The caller has proved that the current attempt
// has not run and never will.
func (s *State) releaseClaim(c *Claim) (Undo, error) {
	old, err := s.openClaim(c)
	if err != nil {
		return nil, ErrStale
	}
	delete(s.Claims, c.Key)
	return func() { s.Claims[c.Key] = old }, nil
}

// pruneClaim removes a claim whose outcome is recorded. For an open claim it returns ErrStale.
func (s *State) pruneClaim(c *Claim) (Undo, error) {
	old := s.Claims[c.Key]
	if old == nil || !old.Done || old.RequestID != c.RequestID {
		return nil, ErrStale
	}
	delete(s.Claims, c.Key)
	return func() { s.Claims[c.Key] = old }, nil
}
