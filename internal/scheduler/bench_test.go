package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"bamboofork/internal/colocation"
)

// BenchmarkDecision measures the placement and the end of one task in a fleet with about 70% of its resources in use.
func BenchmarkDecision(b *testing.B) {
	for _, workerCount := range []int{11, 1000, 31000} {
		b.Run(fmt.Sprint(workerCount), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			merged := colocation.Merge([]colocation.Pair{{Quick: "foot-scan", Batch: "plan",
				Low:  colocation.Estimate{Mean: 0.01, Deviation: 0.001},
				High: colocation.Estimate{Mean: 0.02, Deviation: 0.001}}})
			scheduler := New(Options{Seed: 1, InterferenceModel: func(string) InterferenceModel { return merged }})
			infos := fleetOf(workerCount, resourcesOf(56))
			for i := range infos {
				infos[i].Free = resourcesOf(float64(rng.IntN(34)))
			}
			scheduler.Update(infos)
			b.ReportAllocs()
			for b.Loop() {
				t := newTask("job", float64(1+rng.IntN(8)), 50)
				if d := scheduler.Place(t); d.Placed() {
					scheduler.TaskEnded(t.Ref)
				}
			}
		})
	}
}

// BenchmarkCycle measures the time per task start of a whole scheduling cycle of a partition owner. In each cycle, 74 units join
// a queue of 1,000 units that cannot be placed; the 74 units are placed and end. 256 owners with 74 starts/s each make 19,000
// starts/s.
func BenchmarkCycle(b *testing.B) {
	for _, workerCount := range []int{11, 1000, 31000} {
		b.Run(fmt.Sprint(workerCount), func(b *testing.B) {
			scheduler := New(Options{Seed: 1})
			scheduler.Update(fleetOf(workerCount, resourcesOf(float64(74*8/workerCount+64))))
			unplaceable := map[string]*Unit{}
			for i := range 1000 {
				u := unitOf(newTask(fmt.Sprint("wait", i), 5000, 50))
				unplaceable[u.Key] = u
			}
			startCount := 0
			for b.Loop() {
				units := maps.Clone(unplaceable)
				for range 74 {
					startCount++
					u := unitOf(newTask(fmt.Sprint("job", startCount), 4, 50))
					units[u.Key] = u
				}
				scheduler.SyncPending(units)
				for _, decision := range scheduler.RunCycle(256) {
					if decision.Placed {
						scheduler.TaskEnded(decision.Unit.Lead().Ref)
					}
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(startCount), "ns/start")
		})
	}
}
