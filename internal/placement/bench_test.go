package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"bamboofork/internal/delaycost"
	"bamboofork/internal/jobs"
	"bamboofork/internal/placement"
)

// BenchmarkPlanOfLargeFleetUnderBacklog measures one planning pass as the owner makes it: 240 workers with serving and best-effort
// tasks, some short jobs that start and a backlog of best-effort jobs that mostly does not fit.
func BenchmarkPlanOfLargeFleetUnderBacklog(b *testing.B) {
	rng := rand.New(rand.NewPCG(7, 7))
	interference := placement.NewInterference()
	for s := range 16 {
		for f := range 30 {
			interference.Observe(int64(100*f), []placement.ServingSample{{Task: "t", Group: fmt.Sprint("g", s), Image: fmt.Sprint("serving-", s),
				LatencyMs: 20 + 10*rng.Float64(), TargetMs: 50}},
				[]placement.BestEffortSample{{Task: "f", Image: fmt.Sprint("filling-", f), CPUFraction: 0.1}})
		}
	}
	var waiting []*jobs.Job
	for i := range 10 {
		waiting = append(waiting, newJob(fmt.Sprintf("short-%02d", i), jobs.Queue{Stretch: 1.5, TargetMs: 300}, 0,
			jobs.Step{Count: 13, CPU: 2800, MemMB: 5600, EstimateMs: 800}))
	}
	for i := range 60 {
		waiting = append(waiting, newJob(fmt.Sprintf("mould-%02d", i), jobs.Queue{Priority: 2, Stretch: 2, TargetMs: 1000}, 0,
			jobs.Step{Count: 40, CPU: 7000, MemMB: 13000, EstimateMs: 1700, BestEffort: true, Image: fmt.Sprint("filling-", i%30)}))
	}
	serving := make([]*jobs.Step, 16)
	for i := range serving {
		serving[i] = &jobs.Step{Count: 24, CPU: 13000, MemMB: 26000, Perpetual: true, TargetMs: 50, Image: fmt.Sprint("serving-", i)}
	}
	b.ReportAllocs()
	for b.Loop() {
		snapshot := &placement.Snapshot{BootTimeMs: 10_000, WallMs: 10_000, Interference: interference, Jobs: waiting}
		for i := range 240 {
			w := newWorker(fmt.Sprintf("side-%03d", i), 64_000)
			for k := range 3 {
				image := (i*7 + k*3) % len(serving)
				snapshot.Allocate(w, serving[image], fmt.Sprint("g", image), 1)
			}
			for range 3 {
				snapshot.Allocate(w, &waiting[0].Spec.Steps[0], "", 1)
			}
			for k := range 5 {
				snapshot.Allocate(w, &waiting[10+(i+k)%30].Spec.Steps[0], "", 1)
			}
			snapshot.Workers = append(snapshot.Workers, w)
		}
		placement.Plan(snapshot)
		snapshot.Backlog()
	}
}

// BenchmarkPlanInShortage measures one planning pass with 120 jobs that cannot all begin in time on 76 full workers.
func BenchmarkPlanInShortage(b *testing.B) {
	var waiting []*jobs.Job
	for i := range 120 {
		first := jobs.Step{Count: 20, CPU: 3500, MemMB: 6400, EstimateMs: int64(700 + 20*i), Image: fmt.Sprint("filling-", i%18)}
		second := first
		second.After = []int{0}
		waiting = append(waiting, newJob(fmt.Sprintf("large-%03d", i), jobs.Queue{Name: "large", Priority: 2, Stretch: 2, TargetMs: 1000}, int64(i), first, second))
	}
	for _, c := range []struct {
		name  string
		model *delaycost.Model
	}{{"by slack", nil}, {"by delay cost", delaycost.NewModel()}} {
		if c.model != nil {
			for i := range 1000 {
				c.model.RunTimes.Observe(fmt.Sprint("filling-", i%18), float64(700+i), 1400)
				c.model.Tails.Observe(fmt.Sprint("filling-", i%18), 20, 1400, 2500)
				c.model.Sizes.Submitted("large", float64(i))
			}
		}
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				snapshot := &placement.Snapshot{BootTimeMs: 1000, WallMs: 1000, Jobs: waiting, DelayCost: c.model}
				for i := range 76 {
					w := newWorker(fmt.Sprintf("side-%03d", i), 32_000)
					w.Free.CPU = 2000
					snapshot.Workers = append(snapshot.Workers, w)
				}
				placement.Plan(snapshot)
				snapshot.Backlog()
			}
		})
	}
}
