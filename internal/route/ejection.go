package route

import "time"

// Parameters of the ejection of failing servers.
const (
	ejectConsecutive   = 3               // consecutive failures that cause an ejection
	ejectFailureRate   = 0.5             // fraction of failures in a window that causes an ejection
	ejectMinOutcomes   = 20              // outcomes in a window before ejectFailureRate applies
	failureWindow      = 5 * time.Second // length of a window
	ejectBaseDuration  = 2 * time.Second // first ejection; doubled for each consecutive one
	ejectMaxDuration   = 30 * time.Second
	maxEjectedFraction = 0.5 // of a pool; beyond it failing servers stay in use, as the fault is then probably a common one
)

// countOutcome counts the outcome of a request and reports whether the server should be ejected.
func (s *serverState) countOutcome(failed bool, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.windowStart) > failureWindow {
		s.windowStart, s.total, s.failures = now, 0, 0
	}
	s.total++
	if !failed {
		s.consecutiveFailures = 0
		if s.probing.Swap(false) {
			s.ejections = 0
		}
		return false
	}
	s.failures++
	s.consecutiveFailures++
	if now.UnixNano() < s.ejectedUntil.Load() {
		return false // the request was sent before the ejection
	}
	if s.probing.Load() {
		return true
	}
	return s.consecutiveFailures >= ejectConsecutive ||
		s.total >= ejectMinOutcomes && float64(s.failures) >= ejectFailureRate*float64(s.total)
}

// eject takes the server out of use and returns the duration of the ejection.
func (s *serverState) eject(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := min(ejectMaxDuration, ejectBaseDuration<<min(s.ejections, 8))
	s.ejections++
	s.consecutiveFailures, s.total, s.failures, s.windowStart = 0, 0, 0, now
	s.ejectedUntil.Store(now.Add(d).UnixNano())
	s.probing.Store(true)
	return d
}

// resetFailures resets the failure counts, so that a capped ejection is reconsidered only after further failures.
func (s *serverState) resetFailures() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.consecutiveFailures, s.total, s.failures = 0, 0, 0
}

// ejected reports whether the server must not be used. After an ejection it gets one request at a time until one succeeds.
func (s *serverState) ejected(now time.Time) bool {
	if now.UnixNano() < s.ejectedUntil.Load() {
		return true
	}
	return s.probing.Load() && s.inflight.Load() > 0
}

// canEject reports whether one more server of the pool may be ejected.
func (p *pool) canEject(now time.Time) bool {
	out := 1
	for _, s := range p.all {
		if now.UnixNano() < s.state.ejectedUntil.Load() {
			out++
		}
	}
	return float64(out) <= maxEjectedFraction*float64(len(p.all))
}
