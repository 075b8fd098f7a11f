// Package retry bounds retries: a budget that is a share of the requests of a branch,
// so that retries cannot multiply an overload, and the rule which outcomes may be
// tried again.
package retry

import (
	"sync"
	"time"

	"bamboofork/internal/wire"
)

// MaxAttempts bounds the tries of one request, the first included.
const MaxAttempts = 3

// Limits of a budget. Savings are small, so that an outage after a quiet hour does not start with a burst of retries.
const (
	burst = 10.0 // retries that may be saved up
	start = 3.0  // retries of a branch that has sent nothing yet
)

// maxBranches bounds the budgets; the settings tree is far smaller. Beyond it branches share one budget.
const maxBranches = 4096

// Budget allows retries up to a share of the requests seen, for each branch. mu guards tokens.
type Budget struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// NewBudget returns an empty budget.
func NewBudget() *Budget { return &Budget{tokens: map[string]float64{}} }

// key returns the branch's own budget or, when there are too many, the shared one; mu must be held.
func (b *Budget) key(branch string) string {
	if _, ok := b.tokens[branch]; ok {
		return branch
	}
	if len(b.tokens) >= maxBranches {
		branch = ""
	}
	if _, ok := b.tokens[branch]; !ok {
		b.tokens[branch] = start
	}
	return branch
}

// Deposit credits one request of the branch with the share of a retry.
func (b *Budget) Deposit(branch string, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.key(branch)
	b.tokens[k] = min(burst, b.tokens[k]+share)
}

// Withdraw takes one retry; false means that the branch's budget is used up.
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

// Attempt is what is known after one try.
type Attempt struct {
	Number   int // from 1
	Outcome  wire.Outcome
	Once     bool // the request must not run twice
	Deadline time.Time
}

// Refusals to retry, for the log.
const (
	ReasonDone     = "it has an answer"
	ReasonUnsafe   = "it may have run and must not run twice"
	ReasonAttempts = "it was tried often enough"
	ReasonDeadline = "too little time is left"
	ReasonBudget   = "the retry budget is used up"
)

// minRemaining is the time that must be left for another try: less than a round trip between two failure domains
// cannot bring an answer.
const minRemaining = 5 * time.Millisecond

// Refuse says why the request must not be tried again, "" if it may. The budget is not touched.
func (a Attempt) Refuse(now time.Time) string {
	switch {
	case a.Outcome == wire.OutcomeDone || a.Outcome == wire.OutcomeFailed:
		return ReasonDone
	case a.Once && a.Outcome != wire.OutcomeNotRun:
		return ReasonUnsafe
	case a.Number >= MaxAttempts:
		return ReasonAttempts
	case a.Deadline.Sub(now) < minRemaining:
		return ReasonDeadline
	}
	return ""
}
