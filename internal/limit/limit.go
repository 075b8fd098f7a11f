// Package limit sheds load at an entry before it costs anything: a rate for each
// caller, and for each branch a concurrency that adapts to the time its requests wait
// at the agents' gates. The gates share the slots among the branches; the limits only
// keep the excess of a branch from travelling there. All state is bounded.
package limit

import (
	"net/netip"
	"sync"
	"time"

	"bamboofork/internal/settings"
)

// Refusal says why a request is shed. It was not run.
type Refusal struct {
	Reason     string
	Overload   bool          // the branch is overloaded (503); false: the caller is over its rate (429)
	RetryAfter time.Duration // when a repeat may succeed
}

// maxBranches bounds the branches with a concurrency limit of their own. The settings tree is far smaller.
const maxBranches = 4096

// Limiter holds the limits of one entry. mu guards branches.
type Limiter struct {
	rates *rateTable

	mu       sync.RWMutex
	branches map[string]*Concurrency
}

// New returns a limiter without any state.
func New() *Limiter {
	return &Limiter{rates: newRateTable(), branches: map[string]*Concurrency{}}
}

// Rate spends one request of the caller's rate, or says why not. It is asked before the body is read.
func (l *Limiter) Rate(branch *settings.Effective, caller netip.Addr, now time.Time) *Refusal {
	if branch.CallerRate <= 0 {
		return nil
	}
	if wait := l.rates.take(branch, caller, now); wait > 0 {
		return &Refusal{Reason: "the caller is over its rate", RetryAfter: wait}
	}
	return nil
}

// Admit takes a request in or says why not. Permit.Done must be called exactly once after a nil refusal.
func (l *Limiter) Admit(branch *settings.Effective, caller netip.Addr, now time.Time) (*Permit, *Refusal) {
	return l.branch(branch.Branch).admit(branch, caller, now)
}

func (l *Limiter) branch(path string) *Concurrency {
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
		clear(l.branches) // permits in flight keep their own pointer
	}
	c = newConcurrency()
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
