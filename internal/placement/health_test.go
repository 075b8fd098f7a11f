package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/jobs"
	"bamboofork/internal/placement"
)

// newWorkers returns so many idle workers of one service.
func newWorkers(count int) (workers []*placement.Worker) {
	for i := range count {
		workers = append(workers, newWorker(fmt.Sprint("w", i), 64_000))
	}
	return workers
}

// limited returns the number of workers that do not take all starts.
func limited(h *placement.HealthTracker, workers []*placement.Worker, nowMs int64) (count int) {
	h.LimitStarts(workers, nowMs)
	for _, w := range workers {
		if w.MaxStarts >= 0 {
			count++
		}
	}
	return count
}

// Guards against the quarantine of sound workers because the same few jobs fail on all of them.
func TestJobsAtFaultDoNotQuarantineWorkers(t *testing.T) {
	h, workers := placement.NewHealthTracker(), newWorkers(11)
	for round := range int64(5) {
		for _, w := range workers {
			h.Record(w.Name, "d0", jobs.EndFailed, 1000*round)
			h.Record(w.Name, "d1", jobs.EndFailed, 1000*round+10)
		}
		qt.Check(t, limited(h, workers, 1000*round+20), qt.Equals, 0, qt.Commentf("round %d", round))
	}
	qt.Check(t, h.Suspicion("w0"), qt.Equals, placement.Suspicion{}, qt.Commentf("the next owner must not continue it"))

	h.Record("w3", "a", jobs.EndFailed, 6000)
	h.Record("w3", "b", jobs.EndFailed, 6010)
	qt.Check(t, limited(h, workers, 6020), qt.Equals, 1, qt.Commentf("other jobs fail on one worker only"))
	qt.Check(t, workers[3].MaxStarts, qt.Equals, 0)
}

// Guards against a job that stays at fault after a sound run: its failures would never count against a worker again.
func TestSoundRunEndsTheFaultOfAJob(t *testing.T) {
	h, workers := placement.NewHealthTracker(), newWorkers(4)
	for i, w := range workers[:3] {
		qt.Check(t, h.Record(w.Name, "d", jobs.EndFailed, 0), qt.Equals, i == 2, qt.Commentf("at fault from the third worker on"))
	}
	h.ForgetJob("d")
	h.Record("w3", "d", jobs.EndFailed, 100)
	h.Record("w3", "a", jobs.EndFailed, 110)
	qt.Check(t, limited(h, workers, 120), qt.Equals, 1)
}

// Guards against a quarantine of most of the fleet by any cause, for instance by many jobs that each fail on one worker. The workers with
// the most failed jobs stay limited, and each service keeps half of its open workers.
func TestAtMostHalfOfTheWorkersOfAServiceAreLimited(t *testing.T) {
	h, workers := placement.NewHealthTracker(), newWorkers(12)
	for i, w := range workers {
		if i >= 8 {
			w.Service = "other"
		}
		w.Closed = i == 7
		failures := 2
		if i == 5 {
			failures = 4
		}
		for k := range failures {
			h.Record(w.Name, fmt.Sprintf("j%d-%d", i, k), jobs.EndFailed, 1000)
		}
	}
	qt.Check(t, limited(h, workers[:7], 1010), qt.Equals, 3)
	qt.Check(t, workers[5].MaxStarts, qt.Equals, 0)
	qt.Check(t, limited(h, workers[8:], 1010), qt.Equals, 2)
	qt.Check(t, limited(h, workers[:1], 1010), qt.Equals, 1, qt.Commentf("one worker may always be limited"))
}

// Guards against probes that go to jobs whose failure proves nothing: a worker on probation gave its only start to a lasting job that had
// failed there, and sound jobs never got one.
func TestProbeGoesToAJobThatHasNotFailedOnTheWorker(t *testing.T) {
	h, workers := placement.NewHealthTracker(), newWorkers(1)
	h.Record("w0", "d0", jobs.EndFailed, 1000)
	h.Record("w0", "d1", jobs.EndFailed, 1000)
	lasting := jobs.Step{Count: 1, CPU: 1000, Perpetual: true, TargetMs: 50, Image: "i"}
	s := &placement.Snapshot{BootTimeMs: 2100, Workers: workers, Jobs: []*jobs.Job{newJob("d0", jobs.Queue{}, 0, lasting),
		newJob("d1", jobs.Queue{}, 0, lasting), newJob("sound", jobs.Queue{}, 0, jobs.Step{Count: 3, CPU: 1000, EstimateMs: 500})}}
	h.LimitStarts(workers, s.BootTimeMs)
	plan := placement.Plan(s)
	qt.Assert(t, plan, qt.HasLen, 1)
	qt.Check(t, plan[0].Job.ID, qt.Equals, "sound")
}

// Guards against both errors at once, in drawn fleets with faulty workers and faulty jobs: faulty workers that go on drawing work, and sound
// workers that are limited for long because of faulty jobs.
func TestDrawnFailuresAreAttributedToWorkersAndJobs(t *testing.T) {
	const stepMs, warmUpMs, endMs = 50, 5_000, 25_000
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 46))
		h, workers := placement.NewHealthTracker(), newWorkers(11+r.IntN(60))
		faultyWorkers := 1 + r.IntN(max(1, len(workers)/6))
		starts, limitedSteps, lastJob := make([]int, len(workers)), 0, 0
		type run struct {
			worker int
			job    string
			endMs  int64
			failed bool
		}
		var running []run
		start := func(job string, isFaulty bool, nowMs int64) {
			var open []int
			for i, w := range workers {
				if w.MaxStarts != 0 {
					open = append(open, i)
				}
			}
			i := open[r.IntN(len(open))]
			if workers[i].MaxStarts > 0 {
				workers[i].MaxStarts--
				h.RecordStart(workers[i].Name, nowMs)
			}
			if nowMs >= warmUpMs {
				starts[i]++
			}
			failed := isFaulty || i < faultyWorkers
			length := 200 + r.Int64N(1000)
			if failed {
				length = 1 + r.Int64N(500)
			}
			running = append(running, run{i, job, nowMs + length, failed})
		}
		for nowMs := int64(0); nowMs < endMs; nowMs += stepMs {
			var going []run
			for _, past := range running {
				if past.endMs > nowMs {
					going = append(going, past)
					continue
				}
				outcome := jobs.EndDone
				if past.failed {
					outcome = jobs.EndFailed
				}
				h.Record(workers[past.worker].Name, past.job, outcome, nowMs)
			}
			running = going
			h.LimitStarts(workers, nowMs)
			for i, w := range workers {
				if i >= faultyWorkers && w.MaxStarts >= 0 && nowMs >= warmUpMs {
					limitedSteps++
				}
			}
			for range 3 { // tasks of lasting jobs that fail everywhere
				start(fmt.Sprint("faulty", r.IntN(3)), true, nowMs)
			}
			lastJob++
			for range 1 + r.IntN(6) {
				start(fmt.Sprint("sound", lastJob), false, nowMs)
			}
		}
		for i := range faultyWorkers {
			perSecond := float64(starts[i]) / (float64(endMs-warmUpMs) / 1000)
			qt.Check(t, perSecond < 1, qt.IsTrue, qt.Commentf("seed %d: %.2f starts a second on faulty worker %d", seed, perSecond, i))
		}
		share := float64(limitedSteps) / float64((endMs-warmUpMs)/stepMs) / float64(len(workers)-faultyWorkers)
		qt.Check(t, share < 0.02, qt.IsTrue, qt.Commentf("seed %d: sound workers are limited for %.3f of the time", seed, share))
	}
}

// Guards against the quarantine of sound workers because the runs of one job hang, or are slower than their estimate, on all of them. Also
// guards against sparing a worker whose runs stall while other runs of their job progress elsewhere.
func TestJobThatProgressesNowhereIsNoEvidenceAgainstWorkers(t *testing.T) {
	stalled := placement.Progress{EstimateMs: 600, StalledMs: 1500, HasBegun: true}
	late := placement.Progress{EstimateMs: 600, StalledMs: 1100, HasBegun: true}
	young := placement.Progress{EstimateMs: 600, StalledMs: 50}
	progressing := placement.Progress{EstimateMs: 600, StalledMs: 300, HasBegun: true}
	for _, c := range []struct {
		name string
		runs [][]placement.Progress // by worker
		want bool
	}{
		{"stalled on three workers", [][]placement.Progress{{stalled, stalled}, {stalled}, {stalled}}, true},
		{"about to stall on the others", [][]placement.Progress{{stalled}, {late}, {young}}, true},
		{"one run progresses", [][]placement.Progress{{stalled}, {stalled}, {stalled, progressing}}, false},
		{"two workers", [][]placement.Progress{{stalled, stalled}, {stalled}}, false},
		{"no runs", nil, false},
	} {
		runsByWorker := map[string][]placement.Progress{}
		for i, runs := range c.runs {
			runsByWorker[fmt.Sprint("w", i)] = runs
		}
		qt.Check(t, placement.JobStalled(runsByWorker), qt.Equals, c.want, qt.Commentf("%s", c.name))
	}
}
