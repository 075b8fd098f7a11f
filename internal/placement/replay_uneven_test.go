package placement_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/jobs"
	"bamboofork/internal/placement"
)

const (
	unevenWorkers         = 24
	unevenServingJobs     = 16
	unevenServingImages   = 8
	unevenBestEffort      = 18 // images of best-effort tasks
	unevenServingCPU      = 11_000
	unevenInterferingPart = 0.55 // share of the pairs of images that interfere strongly
)

// newUnevenReplay returns a replay with serving jobs of many images that take nearly half of the CPU of 24 workers, and best-effort tasks of 18 images.
// Nearly half of the pairs of images hardly interfere. The serving tasks are placed by a planning pass.
func newUnevenReplay(seed uint64, packServing bool) *replay {
	r := newReplay(seed, true)
	r.workers, r.bestEffortImages = nil, unevenBestEffort
	clear(r.pressureByImages)
	for s := range unevenServingImages {
		for f := range unevenBestEffort {
			p := 0.2 + 0.2*r.rng.Float64()
			if r.rng.Float64() < unevenInterferingPart {
				p = 2 + 2.5*r.rng.Float64()
			}
			r.pressureByImages[fmt.Sprint("s", s, "/f", f)] = p
		}
	}
	phases := make([]float64, unevenServingJobs)
	for g := range phases {
		phases[g] = r.rng.Float64() * 2 * math.Pi
	}
	for w := range unevenWorkers {
		r.workers = append(r.workers, &replayWorker{name: fmt.Sprintf("w%02d", w), bestEffort: map[string]*replayBestEffort{}})
	}
	var serving []*jobs.Job
	for g := range phases {
		serving = append(serving, newJob(fmt.Sprintf("g%02d", g), jobs.Queue{}, 0, jobs.Step{Count: 3 + r.rng.IntN(4), CPU: unevenServingCPU, MemMB: 13_000,
			TargetMs: replayTargetMs, Image: fmt.Sprint("s", g%unevenServingImages), Perpetual: true, MaxPerWorker: 1 + r.rng.IntN(3)}))
	}
	snapshot := r.snapshot()
	snapshot.Jobs, snapshot.PackServing = serving, packServing
	for _, a := range placement.Plan(snapshot) {
		g := slices.Index(serving, a.Job)
		for _, w := range r.workers {
			if w.name == a.Place.Worker {
				w.serving = append(w.serving, &replayServing{task: fmt.Sprint(g, "/", a.Place.Index), group: fmt.Sprint("g", g),
					image: fmt.Sprint("s", g%unevenServingImages), phase: phases[g]})
			}
		}
	}
	return r
}

// Guards against serving tasks of many images that are spread over all workers: nearly every worker then has a serving task to which a given best-effort
// task does harm, and jobs wait beside idle CPU. With packed serving tasks, more jobs must meet their objective and the serving tasks
// must be over their target for no longer, at a calm rate and at nearly twice that rate.
func TestPackedServingTasksLeaveRoomForBestEffortJobs(t *testing.T) {
	const forMs, beforeMs = 40_000, 27_000
	for _, load := range []struct {
		submitEveryMs int64
		minMetRatio   float64
	}{{600, 0.95}, {340, 0.7}} {
		for seed := range uint64(2) {
			spread, packed := newUnevenReplay(seed, false), newUnevenReplay(seed, true)
			spread.run(forMs, load.submitEveryMs)
			packed.run(forMs, load.submitEveryMs)
			t.Logf("a job every %d ms, seed %d: objectives met %.2f (spread %.2f), over target %.3f (%.3f), longest %d ms (%d)", load.submitEveryMs, seed,
				packed.objectiveRatio(beforeMs), spread.objectiveRatio(beforeMs), packed.overTargetRatio(), spread.overTargetRatio(),
				packed.longestOverTargetMs, spread.longestOverTargetMs)
			qt.Check(t, packed.objectiveRatio(beforeMs) > load.minMetRatio, qt.IsTrue)
			qt.Check(t, packed.objectiveRatio(beforeMs) > spread.objectiveRatio(beforeMs), qt.IsTrue)
			qt.Check(t, packed.overTargetRatio() < spread.overTargetRatio(), qt.IsTrue)
			qt.Check(t, packed.longestOverTargetMs < 4000, qt.IsTrue)
		}
	}
}

// Guards against packing that ignores the limit of a step for each worker, the reserve for short tasks or the images.
func TestPackedServingTasksFillWorkersOfTheirImageFirst(t *testing.T) {
	c := qt.New(t)
	place := func(pack bool) map[string]int {
		s := &placement.Snapshot{PackServing: pack, Interference: placement.NewInterference()}
		serving := func(id, image string, count, maxPerWorker int) *jobs.Job {
			return newJob(id, jobs.Queue{}, 0, jobs.Step{Count: count, CPU: 10_000, MemMB: 1000, TargetMs: 50, Image: image, Perpetual: true, MaxPerWorker: maxPerWorker})
		}
		s.Jobs = []*jobs.Job{serving("a", "one", 4, 2), serving("b", "one", 2, 1), serving("c", "two", 2, 0)}
		for _, name := range []string{"w0", "w1", "w2", "w3", "w4"} {
			s.Workers = append(s.Workers, newWorker(name, 64_000))
		}
		tasks := map[string]int{}
		for _, a := range placement.Plan(s) {
			tasks[a.Place.Worker+a.Job.ID]++
		}
		return tasks
	}
	c.Check(place(true), qt.DeepEquals, map[string]int{"w0a": 2, "w1a": 2, "w0b": 1, "w1b": 1, "w0c": 2})
	c.Check(len(place(false)) >= 5, qt.IsTrue)
}
