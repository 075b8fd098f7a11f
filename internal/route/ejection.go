package route

import "time"

// Parameters of the ejection of failing servers.
const (
	ejectConsecutiveFailures = 3               // consecutive failures after which a server is ejected
	ejectFailureFraction     = 0.5             // fraction of failed requests in a window from which a server is ejected
	ejectMinOutcomes         = 20              // minimum number of outcomes in a window for ejectFailureFraction
	failureWindowDuration    = 5 * time.Second // length of a window in which outcomes are counted
	ejectBaseDuration        = 2 * time.Second // duration of the first ejection; doubled for each consecutive ejection
	ejectMaxDuration         = 30 * time.Second
	// maxEjectedFraction is the maximum fraction of a pool that is ejected at a time. If more servers fail, the fault is
	// probably common to all servers, so the other failing servers stay in use.
	maxEjectedFraction = 0.5
)

// countOutcome counts the outcome of a request and reports whether the server should be ejected.
func (s *serverState) countOutcome(failed bool, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.windowStartedAt) > failureWindowDuration {
		s.windowStartedAt, s.windowOutcomes, s.windowFailures = now, 0, 0
	}
	s.windowOutcomes++
	if !failed {
		s.consecutiveFailures = 0
		if s.isOnProbation.Swap(false) {
			s.ejections = 0
		}
		return false
	}
	s.windowFailures++
	s.consecutiveFailures++
	if now.UnixNano() < s.ejectedUntil.Load() {
		return false // the request was sent before the ejection
	}
	if s.isOnProbation.Load() {
		return true
	}
	return s.consecutiveFailures >= ejectConsecutiveFailures ||
		s.windowOutcomes >= ejectMinOutcomes && float64(s.windowFailures) >= ejectFailureFraction*float64(s.windowOutcomes)
}

// eject takes the server out of use and returns the duration of the ejection. Afterwards the server is probed.
func (s *serverState) eject(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	duration := min(ejectMaxDuration, ejectBaseDuration<<min(s.ejections, 8))
	s.ejections++
	s.consecutiveFailures, s.windowOutcomes, s.windowFailures, s.windowStartedAt = 0, 0, 0, now
	s.ejectedUntil.Store(now.Add(duration).UnixNano())
	s.isOnProbation.Store(true)
	return duration
}

// resetFailures resets the failure counts. It is called if the ejection would exceed maxEjectedFraction, so that the
// ejection is reconsidered only after further failures.
func (s *serverState) resetFailures() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.consecutiveFailures, s.windowOutcomes, s.windowFailures = 0, 0, 0
}

// isEjected reports whether the server must not be used. After an ejection the server gets one request at a time until a
// request succeeds.
func (s *serverState) isEjected(now time.Time) bool {
	if now.UnixNano() < s.ejectedUntil.Load() {
		return true
	}
	return s.isOnProbation.Load() && s.inflight.Load() > 0
}

// canEject reports whether one more server of the pool may be ejected.
func (p *pool) canEject(now time.Time) bool {
	ejectedCount := 1 // includes the server to be ejected
	for _, s := range p.allServers {
		if now.UnixNano() < s.state.ejectedUntil.Load() {
			ejectedCount++
		}
	}
	return float64(ejectedCount) <= maxEjectedFraction*float64(len(p.allServers))
}
