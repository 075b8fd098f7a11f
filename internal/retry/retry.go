// Package retry limits retries. A retry budget bounds the retries of a branch to a fraction
// of the branch's requests, so that retries cannot amplify an overload. Attempt.RefusalReason
// decides which outcomes may be retried.
package retry

import (
	"sync"
	"time"

	"bamboofork/internal/wire"
)

// MaxAttempts is the maximum number of attempts of one request, including the first.
const MaxAttempts = 3

// Limits of the budget of one branch. One token pays for one retry. maxBudgetTokens is small: a branch that saved tokens
// without using them must not start an outage with a burst of retries.
const (
	maxBudgetTokens     = 10.0
	initialBudgetTokens = 3.0 // tokens of a branch before its first request
)

// maxBudgets bounds the number of budgets of single branches. Branches beyond it share one more budget. The settings tree has
// far fewer branches.
const maxBudgets = 4096

// Budget allows retries up to a fraction of the requests of each branch. mu guards tokensByBranch.
type Budget struct {
	mu             sync.Mutex
	tokensByBranch map[string]float64
}

// NewBudget returns a Budget without recorded requests.
func NewBudget() *Budget { return &Budget{tokensByBranch: map[string]float64{}} }

// budgetKey returns the key of the branch's budget in tokensByBranch, and creates the budget if necessary. With maxBudgets
// budgets, a new branch gets the key of the shared budget, "". The caller holds mu.
func (b *Budget) budgetKey(branch string) string {
	if _, ok := b.tokensByBranch[branch]; ok {
		return branch
	}
	if len(b.tokensByBranch) >= maxBudgets {
		branch = ""
	}
	if _, ok := b.tokensByBranch[branch]; !ok {
		b.tokensByBranch[branch] = initialBudgetTokens
	}
	return branch
}

// Deposit records one request of the branch and adds fraction, the allowed retries per request, to the branch's budget.
func (b *Budget) Deposit(branch string, fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := b.budgetKey(branch)
	b.tokensByBranch[key] = min(maxBudgetTokens, b.tokensByBranch[key]+fraction)
}

// Withdraw takes one retry from the branch's budget. It returns false if the budget is exhausted.
func (b *Budget) Withdraw(branch string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := b.budgetKey(branch)
	if b.tokensByBranch[key] < 1 {
		return false
	}
	b.tokensByBranch[key]--
	return true
}

// Attempt describes a finished attempt of a request.
type Attempt struct {
	Number     int // starts at 1
	Outcome    wire.Outcome
	AtMostOnce bool      // the request must not run more than once
	Deadline   time.Time // deadline of the request
}

// Reasons for not retrying a request.
const (
	ReasonAnswered      = "the request was answered"
	ReasonNotIdempotent = "the request may have run and must not run twice"
	ReasonMaxAttempts   = "the maximum number of attempts was made"
	ReasonDeadline      = "too little time before the deadline"
	ReasonBudget        = "the retry budget is exhausted"
)

// minRemainingTime is the minimum time before the deadline for another attempt. In less time than a round trip between two
// failure domains, no response can arrive.
const minRemainingTime = 5 * time.Millisecond

// RefusalReason returns the reason why the request must not be retried, or "" if a retry is allowed. It does not check the budget.
func (a Attempt) RefusalReason(now time.Time) string {
	switch {
	case a.Outcome == wire.OutcomeDone || a.Outcome == wire.OutcomeFailed:
		return ReasonAnswered
	case a.AtMostOnce && a.Outcome != wire.OutcomeNotRun:
		return ReasonNotIdempotent
	case a.Number >= MaxAttempts:
		return ReasonMaxAttempts
	case a.Deadline.Sub(now) < minRemainingTime:
		return ReasonDeadline
	}
	return ""
}
