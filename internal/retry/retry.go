// Package retry bounds retries: a budget that is a share of the requests, so that
// retries cannot multiply an overload.
package retry

import "sync"

// Budget allows retries up to a share of the requests seen. mu guards tokens.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// burst is the number of retries that may be saved up.
const burst = 10

// NewBudget returns a budget that starts with a full burst.
func NewBudget() *Budget { return &Budget{tokens: burst} }

// Deposit credits one request with the share of a retry.
func (b *Budget) Deposit(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(burst, b.tokens+share)
}

// Withdraw takes one retry; false means that the budget is used up.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
