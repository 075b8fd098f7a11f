package jobs_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/jobs"
)

// Guards against jobs that take more memory than an owner counts for them, by steps, tasks, order of steps or texts.
func TestMemoryOfAJobIsNotUnderestimated(t *testing.T) {
	ordered := func() []jobs.Step {
		var steps []jobs.Step
		for i := range 200 {
			step := jobs.Step{Count: 1, After: make([]int, i)}
			for k := range i {
				step.After[k] = k
			}
			steps = append(steps, step)
		}
		return steps
	}
	for name, spec := range map[string]func() jobs.Spec{
		"one task":   func() jobs.Spec { return jobs.Spec{Steps: []jobs.Step{{Count: 1}}} },
		"many tasks": func() jobs.Spec { return jobs.Spec{Steps: []jobs.Step{{Count: 10_000}}} },
		"repeats":    func() jobs.Spec { return jobs.Spec{Steps: []jobs.Step{{Count: 3}, {Count: 4}}, Repeats: 500} },
		"many steps": func() jobs.Spec { return jobs.Spec{Steps: ordered()} },
		"texts": func() jobs.Spec {
			return jobs.Spec{Payload: strings.Repeat("<", 4000), Steps: []jobs.Step{{Count: 1, Image: strings.Repeat("i", 2000)}}}
		},
	} {
		const count = 200
		state := jobs.NewState()
		counted := int64(0)
		before := heapBytes()
		for i := range count {
			job := &jobs.Job{ID: fmt.Sprint("job-", i), Spec: spec()}
			job.Spec.Payload = strings.Clone(job.Spec.Payload)
			state.Apply(jobs.Change{Submit: job})
			counted += state.Jobs[job.ID].MemoryBytes()
		}
		used := heapBytes() - before
		qt.Check(t, used < counted, qt.IsTrue, qt.Commentf("%s: %d bytes in use, %d counted", name, used, counted))
		encoded, err := state.Encode()
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, int64(len(encoded)) < counted, qt.IsTrue, qt.Commentf("%s: a snapshot of %d bytes, %d counted", name, len(encoded), counted))
		before = heapBytes()
		recovered, err := jobs.Decode(encoded)
		qt.Assert(t, err, qt.IsNil)
		used = heapBytes() - before
		qt.Check(t, used < counted, qt.IsTrue, qt.Commentf("%s: %d bytes in use after a recovery, %d counted", name, used, counted))
		for _, job := range recovered.Jobs {
			job.ReleaseSteps()
		}
		qt.Check(t, heapBytes()-before < count*2048, qt.IsTrue, qt.Commentf("%s: after the steps are released", name))
		runtime.KeepAlive(state)
		runtime.KeepAlive(encoded)
		runtime.KeepAlive(recovered)
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
