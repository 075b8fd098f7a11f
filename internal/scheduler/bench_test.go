package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"bamboofork/internal/colocation"
)

// BenchmarkDecision measures one placement and its end in a fleet that is about 70% full.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{11, 1000, 31000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			rnd := rand.New(rand.NewPCG(1, 1))
			merged := colocation.Merge([]colocation.Pair{{Quick: "foot-scan", Batch: "plan", Low: colocation.Estimate{Mean: 0.01, Deviation: 0.001}, High: colocation.Estimate{Mean: 0.02, Deviation: 0.001}}})
			s := New(Options{Seed: 1, Effects: func(string) Effects { return merged }})
			infos := fleetOf(n, size(56))
			for i := range infos {
				infos[i].Free = size(float64(rnd.IntN(34)))
			}
			s.Update(infos)
			b.ReportAllocs()
			for b.Loop() {
				t := task("job", float64(1+rnd.IntN(8)), 50)
				if d := s.Place(t); d.Placed() {
					s.Ended(t.Ref)
				}
			}
		})
	}
}
