package retry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/retry"
	"bamboofork/internal/wire"
)

// Guards against retries beyond the budgeted fraction, and against a branch that uses up the retry budget of another.
func TestBudget(t *testing.T) {
	b := retry.NewBudget()
	retries := 0
	for range 10_000 {
		b.Deposit("a", 0.1)
		for b.Withdraw("a") {
			retries++
		}
	}
	qt.Check(t, retries >= 999 && retries <= 1003, qt.IsTrue, qt.Commentf("%d retries", retries))
	b.Deposit("b", 0.1)
	qt.Check(t, b.Withdraw("b"), qt.IsTrue)
}

// Guards against a second run of a request that must not run twice.
func TestRefusalReason(t *testing.T) {
	now := time.Now()
	later := now.Add(time.Second)
	for _, c := range []struct {
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
		qt.Check(t, c.attempt.RefusalReason(now), qt.Equals, c.want)
	}
}
