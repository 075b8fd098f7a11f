package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"bamboofork/internal/colocation"
)

// BenchmarkDecision measures placing and ending one task in a fleet that is about 70% full.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{11, 1000, 31000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			merged := colocation.Merge([]colocation.Pair{{Quick: "foot-scan", Batch: "plan", Low: colocation.Estimate{Mean: 0.01, Deviation: 0.001}, High: colocation.Estimate{Mean: 0.02, Deviation: 0.001}}})
			s := New(Options{Seed: 1, InterferenceModel: func(string) InterferenceModel { return merged }})
			infos := fleetOf(n, size(56))
			for i := range infos {
				infos[i].Free = size(float64(rng.IntN(34)))
			}
			s.Update(infos)
			b.ReportAllocs()
			for b.Loop() {
				t := task("job", float64(1+rng.IntN(8)), 50)
				if d := s.Place(t); d.Placed() {
					s.TaskEnded(t.Ref)
				}
			}
		})
	}
}

// BenchmarkCycle measures the whole cycle of a partition owner per task start: 74 units join a queue of 1,000 units that
// cannot be placed, are placed and end. 256 owners with 74 starts/s each make 19,000 starts/s.
func BenchmarkCycle(b *testing.B) {
	for _, n := range []int{11, 1000, 31000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := New(Options{Seed: 1})
			s.Update(fleetOf(n, size(float64(74*8/n+64))))
			unplaceable := map[string]*Unit{}
			for i := range 1000 {
				u := unit(task(fmt.Sprint("wait", i), 5000, 50))
				unplaceable[u.Key] = u
			}
			starts := 0
			for b.Loop() {
				units := maps.Clone(unplaceable)
				for range 74 {
					starts++
					u := unit(task(fmt.Sprint("job", starts), 4, 50))
					units[u.Key] = u
				}
				s.SyncPending(units)
				for _, o := range s.Cycle(256) {
					if o.Placed {
						s.TaskEnded(o.Unit.Lead().Ref)
					}
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(starts), "ns/start")
		})
	}
}
