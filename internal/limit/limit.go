// Package limit sheds load at an entry before a request consumes further resources. It
// has a rate limit for each caller and a concurrency limit for each branch. A concurrency
// limit adapts to the wait of the branch's requests at the agents' gates. The gates
// distribute the slots of the backend servers among the branches; the concurrency limits
// only keep excess requests from being sent to the gates. The memory use is bounded.
package limit

import (
	"net/netip"
	"sync"
	"time"

	"bamboofork/internal/settings"
)

// Refusal says why a request was shed without being run and when a retry may succeed.
type Refusal struct {
	Reason     string
	IsOverload bool          // the branch is overloaded (503); false: the caller is over its rate (429)
	RetryAfter time.Duration // time after which a retry may succeed
}

// maxConcurrencyLimits bounds the number of concurrency limits. The settings tree has far fewer branches.
const maxConcurrencyLimits = 4096

// Limiter holds the rate and concurrency limits of one entry. mu guards limitByBranch.
type Limiter struct {
	callerRates *rateTable

	mu            sync.RWMutex
	limitByBranch map[string]*ConcurrencyLimit
}

// New returns a limiter without recorded requests.
func New() *Limiter {
	return &Limiter{callerRates: newRateTable(), limitByBranch: map[string]*ConcurrencyLimit{}}
}

// CheckRate counts one request against the caller's rate limit. It returns nil, or a refusal if the limit is exceeded. It is
// called before the request body is read.
func (l *Limiter) CheckRate(branch *settings.Effective, caller netip.Addr, now time.Time) *Refusal {
	if branch.CallerRate <= 0 {
		return nil
	}
	if wait := l.callerRates.takeTokens(branch, caller, now); wait > 0 {
		return &Refusal{Reason: "the caller is over its rate", RetryAfter: wait}
	}
	return nil
}

// Admit applies the concurrency limit of the branch to a request. It returns either a permit or a refusal; the other result is
// nil. Done must be called exactly once on the permit.
func (l *Limiter) Admit(branch *settings.Effective, caller netip.Addr, now time.Time) (*Permit, *Refusal) {
	return l.limitOf(branch.Branch).admit(branch, caller, now)
}

// limitOf returns the concurrency limit of a branch and creates it if necessary.
func (l *Limiter) limitOf(branchPath string) *ConcurrencyLimit {
	l.mu.RLock()
	branchLimit := l.limitByBranch[branchPath]
	l.mu.RUnlock()
	if branchLimit != nil {
		return branchLimit
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if branchLimit := l.limitByBranch[branchPath]; branchLimit != nil {
		return branchLimit
	}
	if len(l.limitByBranch) >= maxConcurrencyLimits {
		clear(l.limitByBranch) // requests in flight still reach their limit through Permit.branchLimit
	}
	branchLimit = newConcurrencyLimit()
	l.limitByBranch[branchPath] = branchLimit
	return branchLimit
}

// ConcurrencyLimits returns the current concurrency limit of each branch, for metrics.
func (l *Limiter) ConcurrencyLimits() map[string]float64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	limits := make(map[string]float64, len(l.limitByBranch))
	for branchPath, branchLimit := range l.limitByBranch {
		limits[branchPath] = branchLimit.Limit()
	}
	return limits
}
