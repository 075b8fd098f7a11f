package outage

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var testPolicy = Policy{MaxHeld: 100, MaxHeldBytes: 1 << 20}

// Load: a store that is silent for a few seconds, callers with 3 s. Each is held, and one that is turned away has time for another try.
func TestCallersAreHeldInAShortSilence(t *testing.T) {
	for silent := time.Duration(0); silent <= 5*time.Second; silent += 100 * time.Millisecond {
		decision := testPolicy.Decide(Situation{Silent: silent, Remaining: 3 * time.Second, Bytes: 1000})
		qt.Assert(t, decision.Hold, qt.IsTrue, qt.Commentf("%s: %s", silent, decision.Reason))
		qt.Check(t, decision.HoldFor >= 1500*time.Millisecond, qt.IsTrue)
		qt.Check(t, decision.HoldFor+AnswerReserve <= 3*time.Second, qt.IsTrue)
		if silent >= takeoverTime {
			qt.Check(t, decision.HoldFor+decision.ComeBack < 3*time.Second, qt.IsTrue, qt.Commentf("after %s: %+v", silent, decision))
		}
	}
}

// Load: an owner that is lost or that the store refuses alone. The hold lasts until a successor has usually taken over.
func TestHoldCoversATakeover(t *testing.T) {
	for silent := time.Duration(0); silent < takeoverTime; silent += 100 * time.Millisecond {
		decision := testPolicy.Decide(Situation{Silent: silent, Remaining: 3 * time.Second})
		qt.Check(t, silent+decision.HoldFor >= takeoverTime, qt.IsTrue, qt.Commentf("after %s: %s", silent, decision.HoldFor))
	}
}

// Load: a silence of minutes. Nobody is held for nothing, and the returns spread over a growing window.
func TestCallersAreTurnedAwayAtOnceInALongSilence(t *testing.T) {
	for _, silent := range []time.Duration{14 * time.Second, time.Minute, 15 * time.Minute} {
		var delays []time.Duration
		for i := range 200 {
			decision := testPolicy.Decide(Situation{Silent: silent, Remaining: 3 * time.Second, Spread: float64(i) / 200})
			qt.Assert(t, decision.Hold, qt.IsFalse)
			qt.Check(t, decision.Reason, qt.Equals, ReasonUnlikely)
			qt.Check(t, decision.HoldFor, qt.Equals, time.Duration(0))
			delays = append(delays, decision.ComeBack)
		}
		qt.Check(t, slices.Max(delays) <= 2*maxComeBack, qt.IsTrue)
		qt.Check(t, slices.Min(delays) >= time.Second, qt.IsTrue)
	}
	spread := func(silent time.Duration) time.Duration {
		first := comeBack(silent, time.Hour, 0)
		return comeBack(silent, time.Hour, 1) - first
	}
	qt.Check(t, spread(time.Minute) >= 4*spread(time.Second), qt.IsTrue)
}

// Load: retries at the end of their callers' time. A refusal that comes too late for its caller would end as unclear.
func TestCallersWithoutTimeAreTurnedAwayAtOnce(t *testing.T) {
	for _, remaining := range []time.Duration{-time.Second, 0, 14 * time.Millisecond, 199 * time.Millisecond} {
		decision := testPolicy.Decide(Situation{Silent: time.Second, Remaining: remaining})
		qt.Check(t, decision.Hold, qt.IsFalse)
		qt.Check(t, decision.Reason, qt.Equals, ReasonNoTime)
		qt.Check(t, decision.ComeBack > 0, qt.IsTrue)
	}
}

// Load: one caller's flood during an outage. What is held stays within its bounds.
func TestHeldRequestsAreBounded(t *testing.T) {
	situation := Situation{Silent: time.Second, Remaining: 3 * time.Second, Held: testPolicy.MaxHeld - 1, HeldBytes: testPolicy.MaxHeldBytes - 1000, Bytes: 1000}
	qt.Check(t, testPolicy.Decide(situation).Hold, qt.IsTrue)
	more, larger := situation, situation
	more.Held++
	larger.Bytes++
	for _, full := range []Situation{more, larger} {
		decision := testPolicy.Decide(full)
		qt.Check(t, decision.Hold, qt.IsFalse)
		qt.Check(t, decision.Reason, qt.Equals, ReasonFull)
	}
}

// replay plays callers that arrive evenly from the beginning of a silence to a second after it, have 3 s over all tries and come back when
// they are told to, up to four times. It returns how many are accepted, the mean delay of all callers (their
// whole time for those that are not accepted), the largest number of acceptances after the silence that fall into one tenth of a second, and
// the number of tries.
func replay(silence time.Duration, decide func(silent, remaining time.Duration) Decision) (accepted int, meanDelay time.Duration, peak, tries int) {
	const (
		interval   = 20 * time.Millisecond
		budget     = 3 * time.Second
		maxTries   = 5
		retryExtra = 100 * time.Millisecond
	)
	total, callers, byTime := time.Duration(0), 0, map[time.Duration]int{}
	for first := time.Duration(0); first < silence+time.Second; first += interval {
		at, delay := first, budget
		callers++
		for try := 0; try < maxTries && at < first+budget; try++ {
			tries++
			decision := Decision{}
			if at < silence {
				decision = decide(at, first+budget-at)
			}
			if at >= silence || decision.Hold && at+decision.HoldFor >= silence {
				served := max(at, silence)
				accepted, delay = accepted+1, served-first
				if served > silence {
					byTime[served.Truncate(100*time.Millisecond)]++
				}
				break
			}
			// Callers are told whole seconds.
			at += decision.HoldFor + (decision.ComeBack + time.Second - 1).Truncate(time.Second) + retryExtra
		}
		total += delay
	}
	for _, n := range byTime {
		peak = max(peak, n)
	}
	return accepted, total / time.Duration(callers), peak, tries
}

// Load: silences of 2 to 8 s under a steady stream of callers, against refusing all at once with a second to wait (the former way). Held
// callers are accepted sooner, and no fewer of them.
func TestHoldingServesCallersSooner(t *testing.T) {
	const newcomers = 5 // callers in a tenth of a second
	for _, silence := range []time.Duration{2 * time.Second, 4700 * time.Millisecond, 8 * time.Second} {
		rng := rand.New(rand.NewPCG(1, 2))
		held, heldDelay, heldPeak, heldTries := replay(silence, func(silent, remaining time.Duration) Decision {
			return testPolicy.Decide(Situation{Silent: silent, Remaining: remaining, Spread: rng.Float64()})
		})
		refused, refusedDelay, refusedPeak, refusedTries := replay(silence, func(time.Duration, time.Duration) Decision {
			return Decision{ComeBack: time.Second}
		})
		figures := fmt.Sprintf("silence of %s: held %d accepted, mean delay %s, peak %d, %d tries; refused at once %d, %s, %d, %d",
			silence, held, heldDelay, heldPeak, heldTries, refused, refusedDelay, refusedPeak, refusedTries)
		t.Log(figures)
		qt.Check(t, held >= refused, qt.IsTrue, qt.Commentf("%s", figures))
		qt.Check(t, heldDelay < refusedDelay, qt.IsTrue, qt.Commentf("%s", figures))
		qt.Check(t, heldPeak <= 4*newcomers, qt.IsTrue, qt.Commentf("%s", figures))
		qt.Check(t, heldTries <= refusedTries, qt.IsTrue, qt.Commentf("%s", figures))
	}
}
