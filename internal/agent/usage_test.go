package agent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/gate"
	"bamboofork/internal/wire"
	"bamboofork/internal/worker"
)

func cores(n float64) worker.Resources {
	return worker.Resources{Cores: n, MemoryMB: int64(n) * 1000}
}

// runnerWith has a host of 32 cores with the given running tasks.
func runnerWith(tasks ...*attempt) *taskRunner {
	r := &taskRunner{attempts: map[worker.Ref]*attempt{}, kept: map[string]keptRoom{}}
	r.a = &Agent{gate: gate.New(gate.Config{Room: cores(32)})}
	for _, t := range tasks {
		t.status.State = worker.StateRunning
		if t.throttle == 0 {
			t.throttle = 1
		}
		r.attempts[t.spec.Ref] = t
		if err := r.a.gate.AdmitTask(t.spec.Ref.Task, t.spec.Need); err != nil {
			panic(err)
		}
	}
	return r
}

func running(name string, n float64, priority int, work time.Duration) *attempt {
	return &attempt{work: work, spec: worker.Spec{Ref: worker.Ref{Task: name, Attempt: 1}, Kind: "plan", Team: "t", Need: cores(n), Priority: priority, Run: 10 * time.Minute}}
}

// Guards against a worker that is reported as failing on the evidence of one job.
func TestFailingNeedsSeveralJobs(t *testing.T) {
	r := runnerWith()
	for range endsRemembered {
		r.noteEnd(worker.Ref{Task: "one/0"}, true)
	}
	qt.Check(t, r.failing(), qt.IsFalse)
	for _, name := range []string{"one/1", "two/0", "three/0"} {
		r.noteEnd(worker.Ref{Task: name}, true)
	}
	qt.Check(t, r.failing(), qt.IsTrue)
	r.noteEnd(worker.Ref{Task: "four/0"}, false)
	qt.Check(t, r.failing(), qt.IsFalse)
}

// Guards against preemption of more than is needed, of near equals, or of the task with the most work done.
func TestVictims(t *testing.T) {
	r := runnerWith(running("old/0", 8, 40, time.Hour), running("new/0", 8, 40, time.Minute), running("high/0", 8, 80, 0))
	got, _ := r.victims(wire.PreemptArgs{Need: cores(16), Priority: 95})
	qt.Check(t, got, qt.DeepEquals, []worker.Ref{{Task: "new/0", Attempt: 1}})
	got, reason := r.victims(wire.PreemptArgs{Need: cores(32), Priority: 95})
	qt.Check(t, got, qt.HasLen, 0)
	qt.Check(t, reason, qt.Equals, "lower priority work is not enough")
}

// Guards against room that was freed for an urgent task and is given to another one, and against room kept for ever.
func TestKeptRoom(t *testing.T) {
	r := runnerWith(running("a/0", 16, 40, 0))
	r.keep(wire.PreemptArgs{Task: "urgent/0", Need: cores(12)})
	now := time.Now()
	qt.Check(t, r.keptFromOthers("thief/0", cores(8), now), qt.IsTrue)
	qt.Check(t, r.keptFromOthers("small/0", cores(4), now), qt.IsFalse)
	qt.Check(t, r.keptFromOthers("urgent/0", cores(12), now), qt.IsFalse)
	qt.Check(t, r.keptFromOthers("thief/0", cores(8), now.Add(keepFor+time.Second)), qt.IsFalse)
}

// Guards against a projection that counts on tasks past their expected end, and against use that is not summed.
func TestLoadProjection(t *testing.T) {
	late := running("late/0", 4, 50, 20*time.Minute)
	slow := running("slow/0", 8, 40, 6*time.Minute)
	slow.throttle = 0.5
	r := runnerWith(late, slow)
	l := r.load(cores(20), time.Now())
	qt.Check(t, l.teams["t"], qt.Equals, cores(12))
	qt.Check(t, l.preemptible[40], qt.Equals, cores(8))
	got := [4]float64{}
	for i := range l.freeAt {
		got[i] = l.freeAt[i].Cores
	}
	qt.Check(t, got, qt.Equals, [4]float64{20, 20, 28, 28})
}

// Guards against a size that is learned from the use of a throttled task, or from a measurement of another attempt.
func TestNoteUsage(t *testing.T) {
	slow := running("slow/0", 8, 40, 0)
	slow.throttle = 0.5
	r := runnerWith(slow)
	now := time.Now()
	usage := worker.Usage{At: now, Tasks: []worker.TaskUsage{
		{Ref: slow.spec.Ref, Kind: "plan", Used: worker.Resources{Cores: 3, MemoryMB: 500}},
		{Ref: worker.Ref{Task: "gone/0", Attempt: 4}, Kind: "index", Used: cores(2)},
	}}
	byKind := r.noteUsage(usage, now.Add(-time.Second))
	qt.Check(t, byKind, qt.DeepEquals, map[string]float64{"plan": 3, "index": 2})
	qt.Check(t, slow.used.Cores, qt.Equals, 6.0)
	slow.throttle, slow.throttled = 0.1, now
	r.noteUsage(usage, now.Add(-time.Second))
	qt.Check(t, slow.used.Cores, qt.Equals, 6.0)
}
