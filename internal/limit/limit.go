// Package limit sheds load at an entry before a request consumes further resources. It
// has a rate limit for each caller, and for each branch a concurrency limit that adapts
// to the wait of its requests at the agents' gates. The gates share the slots among the
// branches; the limits only keep excess requests of a branch from being sent there. All
// state is bounded.
package limit

import (
	"net/netip"
	"sync"
	"time"

	"bamboofork/internal/settings"
)

// Refusal is the reason why a request was shed without being run.
type Refusal struct {
	Reason     string
	Overload   bool          // the branch is overloaded (503); false: the caller is over its rate (429)
	RetryAfter time.Duration // time after which a retry may succeed
}

// maxBranches bounds the number of concurrency limits. The settings tree has far fewer branches.
const maxBranches = 4096

// Limiter holds the rate and concurrency limits of one entry. mu guards branches.
type Limiter struct {
	rates *rateTable

	mu       sync.RWMutex
	branches map[string]*ConcurrencyLimit
}

// New returns a limiter without recorded requests.
func New() *Limiter {
	return &Limiter{rates: newRateTable(), branches: map[string]*ConcurrencyLimit{}}
}

// CheckRate counts one request against the caller's rate limit, and returns a refusal if it is exceeded. It is called before
// the body is read.
func (l *Limiter) CheckRate(branch *settings.Effective, caller netip.Addr, now time.Time) *Refusal {
	if branch.CallerRate <= 0 {
		return nil
	}
	if wait := l.rates.take(branch, caller, now); wait > 0 {
		return &Refusal{Reason: "the caller is over its rate", RetryAfter: wait}
	}
	return nil
}

// Admit applies the concurrency limit to a request. After a nil refusal, Permit.Done must be called exactly once.
func (l *Limiter) Admit(branch *settings.Effective, caller netip.Addr, now time.Time) (*Permit, *Refusal) {
	return l.branch(branch.Branch).admit(branch, caller, now)
}

func (l *Limiter) branch(path string) *ConcurrencyLimit {
	l.mu.RLock()
	c := l.branches[path]
	l.mu.RUnlock()
	if c != nil {
		return c
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.branches[path]; c != nil {
		return c
	}
	if len(l.branches) >= maxBranches {
		clear(l.branches) // permits keep a pointer to their limit
	}
	c = newConcurrencyLimit()
	l.branches[path] = c
	return c
}

// Limits returns the current concurrency limit of each branch, for metrics.
func (l *Limiter) Limits() map[string]float64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	out := make(map[string]float64, len(l.branches))
	for path, c := range l.branches {
		out[path] = c.Limit()
	}
	return out
}
