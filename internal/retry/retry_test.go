package retry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/retry"
	"bamboofork/internal/wire"
)

// Guards against more retries of a branch than the budgeted fraction of its requests. Also guards against a branch that uses up
// the retry budget of another branch.
func TestRetriesStayWithinBranchBudget(t *testing.T) {
	budget := retry.NewBudget()
	retryCount := 0
	for range 10_000 {
		budget.Deposit("a", 0.1)
		for budget.Withdraw("a") {
			retryCount++
		}
	}
	qt.Check(t, retryCount >= 999 && retryCount <= 1003, qt.IsTrue, qt.Commentf("%d retries", retryCount))
	budget.Deposit("b", 0.1)
	qt.Check(t, budget.Withdraw("b"), qt.IsTrue)
}

// Guards against a retry of a request that may have run and must not run twice. Also guards against a retry after the last
// attempt, near the deadline, or after a response.
func TestRefusalReasonPreventsUnsafeRetry(t *testing.T) {
	now := time.Now()
	later := now.Add(time.Second)
	for _, tc := range []struct {
		attempt retry.Attempt
		want    string
	}{
		{retry.Attempt{Number: 1, Outcome: wire.OutcomeNotRun, AtMostOnce: true, Deadline: later}, ""},
		{retry.Attempt{Number: 1, Outcome: wire.OutcomeUnknown, AtMostOnce: true, Deadline: later}, retry.ReasonNotIdempotent},
		{retry.Attempt{Number: 1, Outcome: wire.OutcomeUnknown, Deadline: later}, ""},
		{retry.Attempt{Number: 3, Outcome: wire.OutcomeNotRun, Deadline: later}, retry.ReasonMaxAttempts},
		{retry.Attempt{Number: 1, Outcome: wire.OutcomeNotRun, Deadline: now}, retry.ReasonDeadline},
		{retry.Attempt{Number: 1, Outcome: wire.OutcomeFailed, Deadline: later}, retry.ReasonAnswered},
	} {
		qt.Check(t, tc.attempt.RefusalReason(now), qt.Equals, tc.want)
	}
}
