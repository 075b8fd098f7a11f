package delaycost_test

import (
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/delaycost"
)

// Guards against an order that prefers work that nobody needs any more, or that could as well wait.
func TestCostOfDelay(t *testing.T) {
	urgent := delaycost.Job{Worth: 1, SlackMs: 1000, ObjectiveMs: 5000, Work: 100}
	relaxed, late, useless := urgent, urgent, urgent
	relaxed.SlackMs, late.SlackMs, useless.SlackMs = 20_000, -2000, -14_000
	qt.Check(t, urgent.CostOfDelay(4000) > 5*relaxed.CostOfDelay(4000), qt.IsTrue)
	qt.Check(t, urgent.CostOfDelay(4000) > 5*late.CostOfDelay(4000), qt.IsTrue)
	qt.Check(t, useless.CostOfDelay(4000) < 0.01, qt.IsTrue)
	qt.Check(t, late.ReachableWorth(0) > 0.14 && late.ReachableWorth(0) < 0.16, qt.IsTrue, qt.Commentf("%v", late.ReachableWorth(0)))

	nearlyDone := urgent
	nearlyDone.Work = 10
	qt.Check(t, nearlyDone.CostPerRoom(4000) > urgent.CostPerRoom(4000), qt.IsTrue)

	// With doubt, a job that is expected to be a little late is not written off.
	doubtful := delaycost.Job{Worth: 1, SlackMs: -500, ObjectiveMs: 5000, DoubtMs: 3000, Work: 100}
	known := doubtful
	known.DoubtMs = 0
	qt.Check(t, doubtful.ReachableWorth(0) > 2*known.ReachableWorth(0), qt.IsTrue)
}

// Guards against a delay that is worth something, whatever the job.
func TestDelayNeverGains(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		j := delaycost.Job{Worth: 4 * rng.Float64(), SlackMs: 40_000 * (rng.Float64() - 0.5), ObjectiveMs: 20_000 * rng.Float64(),
			DoubtMs: 5000 * rng.Float64(), Work: 1e6 * rng.Float64()}
		shortMs, longMs := 10_000*rng.Float64(), 10_000+10_000*rng.Float64()
		qt.Assert(t, j.CostOfDelay(shortMs) <= j.CostOfDelay(longMs)+1e-9, qt.IsTrue, qt.Commentf("%+v", j))
		qt.Assert(t, j.CostOfDelay(longMs) <= j.Worth, qt.IsTrue)
	}
}

// Guards against estimates that stay as far off as the declared run times: by a factor, and by chance.
func TestRunTimesLearnTheErrorOfEachKind(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, c := range []struct {
		name             string
		bias, off        float64
		wantErrorAtMost  float64 // mean of the absolute logarithm of expected over true times
		wantDoubtAtLeast float64
	}{
		{"as declared", 1, 0.01, 0.1, 0},
		{"a tenth", 0.1, 0.01, 0.15, 0},
		{"ten times", 10, 0.01, 0.15, 0},
		{"far off by chance", 1, 0.9, 0.45, 0.35},
	} {
		r := delaycost.NewRunTimes()
		draw := func() (declaredMs, trueMs float64) {
			trueMs = 1400 * math.Exp(0.5*rng.NormFloat64())
			return trueMs * c.bias * math.Exp(c.off*rng.NormFloat64()), trueMs
		}
		for range 300 {
			declaredMs, trueMs := draw()
			r.Observe("kind", declaredMs, trueMs)
		}
		sum, doubt := 0.0, 0.0
		for range 300 {
			declaredMs, trueMs := draw()
			expectedMs, spread := r.Expect("kind", declaredMs)
			sum, doubt = sum+math.Abs(math.Log(expectedMs/trueMs)), doubt+spread
		}
		qt.Check(t, sum/300 <= c.wantErrorAtMost, qt.IsTrue, qt.Commentf("%s: off by %.3f", c.name, sum/300))
		qt.Check(t, doubt/300 >= c.wantDoubtAtLeast, qt.IsTrue, qt.Commentf("%s: doubt %.3f", c.name, doubt/300))
		unknownMs, _ := r.Expect("other kind", 1000)
		qt.Check(t, unknownMs, qt.Equals, 1000.0)
	}
}

// Guards against run times of zero, or without bounds, that would make every job of the kind late or free.
func TestRunTimesBearOddValues(t *testing.T) {
	r := delaycost.NewRunTimes()
	for _, v := range []float64{0, -1, 1e-9, 1e18} {
		r.Observe("kind", v, 100)
		r.Observe("kind", 100, v)
	}
	for _, declaredMs := range []float64{0, 1, 1e15} {
		expectedMs, spread := r.Expect("kind", declaredMs)
		qt.Check(t, expectedMs > 0 && !math.IsInf(expectedMs, 0) && !math.IsNaN(expectedMs), qt.IsTrue, qt.Commentf("%v: %v", declaredMs, expectedMs))
		qt.Check(t, spread >= 0 && !math.IsNaN(spread), qt.IsTrue)
	}
}

// Guards against jobs of the largest tenth that are starved by the order and do not go ahead again.
func TestSizesThatAreServedLessWell(t *testing.T) {
	s := delaycost.NewSizes()
	for i := range 100 {
		s.Submitted("queue", float64(1+i%10))
	}
	qt.Check(t, s.SizeOf("queue", 3), qt.Equals, delaycost.Usual)
	qt.Check(t, s.SizeOf("queue", 8), qt.Equals, delaycost.Large)
	qt.Check(t, s.SizeOf("queue", 10), qt.Equals, delaycost.Largest)
	qt.Check(t, s.SizeOf("other queue", 10), qt.Equals, delaycost.Usual)
	qt.Check(t, s.MeanWork("queue"), qt.Equals, 5.5)
	for range 40 {
		s.Ended("queue", delaycost.Usual, true)
	}
	qt.Check(t, s.IsBehind("queue", delaycost.Largest), qt.IsFalse) // none has ended
	for range 5 {
		s.Ended("queue", delaycost.Largest, false)
	}
	qt.Check(t, s.IsBehind("queue", delaycost.Largest), qt.IsTrue)
	qt.Check(t, s.IsBehind("queue", delaycost.Usual), qt.IsFalse)
	for range 40 {
		s.Ended("queue", delaycost.Largest, true)
	}
	qt.Check(t, s.IsBehind("queue", delaycost.Largest), qt.IsFalse)
}

// Guards against the longest task of a step being taken for a usual one.
func TestTailsOfSteps(t *testing.T) {
	tails := delaycost.NewTails()
	qt.Check(t, tails.Expect("kind", 20), qt.Equals, 1.0)
	for range 30 {
		tails.Observe("kind", 20, 100, 400)
		tails.Observe("kind", 2, 100, 120)
	}
	qt.Check(t, math.Abs(tails.Expect("kind", 20)-4) < 0.2, qt.IsTrue)
	qt.Check(t, math.Abs(tails.Expect("kind", 2)-1.2) < 0.1, qt.IsTrue)
}
