// Package retry limits retries. A retry budget bounds the retries of a branch to a fraction
// of its requests, so that retries cannot amplify an overload, and Attempt.RefusalReason decides
// which outcomes may be retried.
package retry

import (
	"sync"
	"time"

	"bamboofork/internal/wire"
)

// MaxAttempts is the maximum number of attempts of one request, including the first.
const MaxAttempts = 3

// Limits of a budget. maxTokens is small, so that an outage after a time without retries does not start with a retry burst.
const (
	maxTokens     = 10.0 // upper bound of the accumulated retries
	initialTokens = 3.0  // retries of a branch without earlier requests
)

// maxBranches bounds the number of budgets; the settings tree has far fewer branches. Further branches share one budget.
const maxBranches = 4096

// Budget allows retries up to a fraction of the requests of each branch. mu guards tokens.
type Budget struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// NewBudget returns a Budget without recorded requests.
func NewBudget() *Budget { return &Budget{tokens: map[string]float64{}} }

// key returns the key of the branch's budget or, beyond maxBranches, of the shared one. The caller holds mu.
func (b *Budget) key(branch string) string {
	if _, ok := b.tokens[branch]; ok {
		return branch
	}
	if len(b.tokens) >= maxBranches {
		branch = ""
	}
	if _, ok := b.tokens[branch]; !ok {
		b.tokens[branch] = initialTokens
	}
	return branch
}

// Deposit records one request of the branch, which adds fraction to its budget of retries.
func (b *Budget) Deposit(branch string, fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.key(branch)
	b.tokens[k] = min(maxTokens, b.tokens[k]+fraction)
}

// Withdraw takes one retry from the branch's budget. It returns false if the budget is exhausted.
func (b *Budget) Withdraw(branch string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.key(branch)
	if b.tokens[k] < 1 {
		return false
	}
	b.tokens[k]--
	return true
}

// Attempt describes a finished attempt of a request.
type Attempt struct {
	Number     int // starts at 1
	Outcome    wire.Outcome
	AtMostOnce bool // the request must not run more than once
	Deadline   time.Time
}

// Reasons for not retrying.
const (
	ReasonAnswered      = "the request was answered"
	ReasonNotIdempotent = "the request may have run and must not run twice"
	ReasonMaxAttempts   = "the maximum number of attempts was made"
	ReasonDeadline      = "too little time before the deadline"
	ReasonBudget        = "the retry budget is exhausted"
)

// minRemaining is the minimum time before the deadline for another attempt. In less than a round trip between two failure
// domains no response can arrive.
const minRemaining = 5 * time.Millisecond

// RefusalReason returns the reason why the request must not be retried, or "" if it may be. It does not use the budget.
func (a Attempt) RefusalReason(now time.Time) string {
	switch {
	case a.Outcome == wire.OutcomeDone || a.Outcome == wire.OutcomeFailed:
		return ReasonAnswered
	case a.AtMostOnce && a.Outcome != wire.OutcomeNotRun:
		return ReasonNotIdempotent
	case a.Number >= MaxAttempts:
		return ReasonMaxAttempts
	case a.Deadline.Sub(now) < minRemaining:
		return ReasonDeadline
	}
	return ""
}
