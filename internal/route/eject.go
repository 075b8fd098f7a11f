package route

import "time"

// Ejection of servers whose requests fail.
const (
	ejectAfter     = 3               // consecutive failures
	ejectRate      = 0.5             // failures as a share of the outcomes in a window
	ejectMin       = 20              // outcomes in a window before the rate counts
	failureWindow  = 5 * time.Second // length of a window
	ejectBase      = 2 * time.Second // first ejection; doubled for each in a row
	ejectLongest   = 30 * time.Second
	maxEjectedPart = 0.5 // of a pool; beyond it failing servers stay in use, because the fault is then more likely common
)

// outcome counts one result and reports whether the server should be ejected.
func (s *server) outcome(failed bool, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.windowStart) > failureWindow {
		s.windowStart, s.total, s.failures = now, 0, 0
	}
	s.total++
	if !failed {
		s.consecutive = 0
		if s.probing.Swap(false) {
			s.ejections = 0
		}
		return false
	}
	s.failures++
	s.consecutive++
	if now.UnixNano() < s.until.Load() {
		return false // a request from before the ejection
	}
	if s.probing.Load() {
		return true
	}
	return s.consecutive >= ejectAfter || s.total >= ejectMin && float64(s.failures) >= ejectRate*float64(s.total)
}

// eject takes the server out of use and returns for how long.
func (s *server) eject(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := min(ejectLongest, ejectBase<<min(s.ejections, 8))
	s.ejections++
	s.consecutive, s.total, s.failures, s.windowStart = 0, 0, 0, now
	s.until.Store(now.Add(d).UnixNano())
	s.probing.Store(true)
	return d
}

// forgive starts the count of failures anew, so that a capped ejection is reconsidered after more of them.
func (s *server) forgive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.consecutive, s.total, s.failures = 0, 0, 0
}

// ejected reports whether the server is out of use. After the ejection one request at a time probes it.
func (s *server) ejected(now time.Time) bool {
	if now.UnixNano() < s.until.Load() {
		return true
	}
	return s.probing.Load() && s.inflight.Load() > 0
}

// mayEject reports whether one more server of the pool may be ejected.
func (p *pool) mayEject(now time.Time) bool {
	out := 1
	for _, s := range p.all {
		if now.UnixNano() < s.state.until.Load() {
			out++
		}
	}
	return float64(out) <= maxEjectedPart*float64(len(p.all))
}
