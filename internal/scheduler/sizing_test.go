package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/worker"
)

// Guards against sizes and run times that are lowered without enough observations. Also guards against declared values that stay
// uncorrected despite enough observations.
func TestUsageCorrectionNeedsEnoughObservations(t *testing.T) {
	declared := worker.Resources{Cores: 10, MemoryMB: 10_000, Accelerators: 1}
	for _, tc := range []struct {
		name       string
		count      int
		jobs       int
		factor     float64
		cores, run [2]float64 // accepted range
	}{
		{"no evidence", 0, 1, 0.2, [2]float64{10, 10}, [2]float64{60, 60}},
		{"too little to lower", 11, 2, 0.2, [2]float64{10, 10}, [2]float64{60, 60}},
		{"one job cannot lower", 40, 1, 0.2, [2]float64{10, 10}, [2]float64{60, 60}},
		{"lowered with margin", 40, 2, 0.5, [2]float64{5.5, 6.5}, [2]float64{29, 33}},
		{"raised early", 3, 1, 3, [2]float64{30, 40}, [2]float64{170, 190}},
		{"never below the floor", 40, 2, 0.01, [2]float64{2.5, 2.5}, [2]float64{15, 15}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			corrector := NewUsageCorrector()
			for i := range tc.count {
				corrector.Observe(TaskUsage{
					Kind: "k", Team: "t", Job: fmt.Sprint(i % tc.jobs), Declared: declared, DeclaredRunTime: time.Minute,
					Used:            worker.Resources{Cores: 10 * tc.factor, MemoryMB: int64(10_000 * tc.factor)},
					MeasuredRunTime: time.Duration(tc.factor * float64(time.Minute)),
				})
			}
			need, runTime := corrector.Correct("k", "t", declared, time.Minute)
			qt.Check(t, need.Cores >= tc.cores[0]-1e-9 && need.Cores <= tc.cores[1]+1e-9, qt.IsTrue, qt.Commentf("%g cores", need.Cores))
			qt.Check(t, runTime.Seconds() >= tc.run[0]-1e-9 && runTime.Seconds() <= tc.run[1]+1e-9, qt.IsTrue, qt.Commentf("%s", runTime))
			qt.Check(t, need.Accelerators, qt.Equals, 1)
		})
	}
}
