package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/jobs"
	"bamboofork/internal/placement"
)

// backlogReplay plays short tasks, of which more wait than the fleet can run, beside perpetual tasks.
type backlogReplay struct {
	rng                *rand.Rand
	nowMs              int64
	state              *jobs.State
	workers, workerCPU int
	running            []overloadRun
	ended              int // short tasks
}

func (r *backlogReplay) submit(id string, step jobs.Step) *jobs.Job {
	r.state.Apply(jobs.Change{Submit: &jobs.Job{ID: id, Queue: jobs.Queue{Service: "pool", Stretch: 1.5, TargetMs: 300},
		AcceptedMs: r.nowMs, Spec: jobs.Spec{Steps: []jobs.Step{step}}}})
	return r.state.Jobs[id]
}

// advance ends the runs that are due and places waiting tasks.
func (r *backlogReplay) advance() {
	r.nowMs += 20
	kept := r.running[:0]
	snapshot := &placement.Snapshot{BootTimeMs: r.nowMs, WallMs: r.nowMs}
	for i := range r.workers {
		snapshot.Workers = append(snapshot.Workers, newWorker(fmt.Sprintf("w%02d", i), r.workerCPU))
	}
	for _, run := range r.running {
		job := r.state.Jobs[run.task.Job]
		if run.endMs <= r.nowMs {
			r.state.Apply(jobs.Change{JobID: job.ID, End: &jobs.End{Step: run.task.Step, Index: run.task.Index, Run: run.run,
				Outcome: jobs.EndDone, AtMs: r.nowMs}})
			r.ended++
			continue
		}
		kept = append(kept, run)
		for _, w := range snapshot.Workers {
			if w.Name == job.Task(run.task).Worker {
				snapshot.Allocate(w, &job.Spec.Steps[run.task.Step], job.ID, 1)
			}
		}
	}
	r.running = kept
	for _, job := range r.state.Jobs {
		if job.Ended() {
			continue
		}
		snapshot.Jobs = append(snapshot.Jobs, job)
		for i := range job.Occurrences[0].Steps[0].Tasks {
			if task := &job.Occurrences[0].Steps[0].Tasks[i]; job.Spec.Steps[0].Perpetual && task.State == jobs.TaskWaiting && task.WaitingSinceMs == 0 {
				task.WaitingSinceMs = r.nowMs
			}
		}
	}
	for _, a := range placement.Plan(snapshot) {
		place := a.Place
		r.state.Apply(jobs.Change{JobID: a.Job.ID, Place: &place})
		endMs := r.nowMs + int64(400+r.rng.IntN(1000))
		if a.Job.Spec.Steps[place.Step].Perpetual {
			endMs = 1 << 40
		}
		r.running = append(r.running, overloadRun{task: jobs.TaskID{Job: a.Job.ID, Step: place.Step, Index: place.Index}, run: place.Run, endMs: endMs})
	}
}

// Guards against a perpetual task that waits for as long as short tasks do: each short task that ends leaves less than the perpetual
// task needs, and another short task takes it, although the short tasks of one worker together leave more than enough.
func TestPerpetualTaskStartsBesideABacklogOfShortOnes(t *testing.T) {
	for seed := range uint64(4) {
		r := &backlogReplay{rng: rand.New(rand.NewPCG(seed, 1)), state: jobs.NewState(), workers: 6, workerCPU: 64_000}
		var perpetual *jobs.Job
		waitedMs := int64(0)
		for r.nowMs < 20_000 {
			if r.nowMs%100 == 0 {
				r.submit(fmt.Sprintf("short-%06d", r.nowMs), jobs.Step{Count: 30 + r.rng.IntN(20), CPU: 960 + r.rng.IntN(1900), MemMB: 1900, EstimateMs: 900})
			}
			if r.nowMs == 5_000 {
				perpetual = r.submit("perpetual", jobs.Step{Count: 2, CPU: 14_000, MemMB: 26_000, Perpetual: true, TargetMs: 50, Image: "i"})
			}
			r.advance()
			if perpetual != nil && perpetual.Occurrences[0].Steps[0].WaitingTasks > 0 {
				waitedMs = r.nowMs - 5_000
			}
		}
		t.Logf("seed %d: waited %d ms, %d short tasks ended", seed, waitedMs, r.ended)
		qt.Check(t, waitedMs < 3000, qt.IsTrue, qt.Commentf("seed %d: waited %d ms", seed, waitedMs))
	}
}

// Guards against an overdue task that is passed over because an earlier task of its step has only begun to wait.
func TestOverdueTaskDoesNotWaitForAnEarlierOne(t *testing.T) {
	s := &placement.Snapshot{BootTimeMs: 10_000, Workers: []*placement.Worker{newWorker("a", 64_000), newWorker("b", 64_000)}}
	for _, w := range s.Workers {
		s.Allocate(w, &jobs.Step{CPU: 57_000, Perpetual: true}, "", 1)
	}
	j := newJob("perpetual", jobs.Queue{}, 0, jobs.Step{Count: 2, CPU: 6_000, Perpetual: true, TargetMs: 50, Image: "i"})
	j.Occurrences[0].Steps[0].Tasks[0].WaitingSinceMs = 9_900
	j.Occurrences[0].Steps[0].Tasks[1].WaitingSinceMs = 8_000
	s.Jobs = []*jobs.Job{j}
	plan := placement.Plan(s)
	qt.Assert(t, plan, qt.HasLen, 1)
	qt.Check(t, plan[0].Place.Index, qt.Equals, 1)
}

// Guards against workers that are held in vain: no worker has room for the task even without its short tasks.
func TestNoWorkerIsHeldForATaskThatFitsNowhere(t *testing.T) {
	w := newWorker("w", 64_000)
	s := &placement.Snapshot{BootTimeMs: 10_000, Workers: []*placement.Worker{w}}
	s.Allocate(w, &jobs.Step{CPU: 50_000, Perpetual: true}, "", 1)
	perpetual := newJob("perpetual", jobs.Queue{}, 0, jobs.Step{Count: 1, CPU: 15_000, Perpetual: true})
	perpetual.Occurrences[0].Steps[0].Tasks[0].WaitingSinceMs = 5_000
	s.Jobs = []*jobs.Job{perpetual, newJob("short", jobs.Queue{}, 0, jobs.Step{Count: 20, CPU: 1_000, EstimateMs: 600})}
	qt.Check(t, placement.Plan(s), qt.HasLen, 14)
}
