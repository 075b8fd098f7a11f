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

// newTestRunner returns the task runner of a host with 32 cores on which the given tasks run.
func newTestRunner(tasks ...*attempt) *taskRunner {
	r := &taskRunner{attemptByRef: map[worker.Ref]*attempt{}, reservationByTask: map[string]reservation{}}
	r.agent = &Agent{gate: gate.New(gate.Config{Resources: cores(32)})}
	for _, t := range tasks {
		t.status.State = worker.StateRunning
		if t.speed == 0 {
			t.speed = 1
		}
		r.attemptByRef[t.spec.Ref] = t
		if err := r.agent.gate.AdmitTask(t.spec.Ref.Task, t.spec.Need); err != nil {
			panic(err)
		}
	}
	return r
}

func runningAttempt(name string, coreCount float64, priority int, workDone time.Duration) *attempt {
	return &attempt{workDone: workDone, spec: worker.Spec{
		Ref: worker.Ref{Task: name, Attempt: 1}, Kind: "plan", Team: "t", Need: cores(coreCount), Priority: priority, Run: 10 * time.Minute}}
}

// Guards against reporting a worker as failing when only one job has failed on it.
func TestFailingNeedsSeveralJobs(t *testing.T) {
	r := newTestRunner()
	for range failureWindowTasks {
		r.recordTaskEnd(worker.Ref{Task: "one/0"}, true)
	}
	qt.Check(t, r.workerIsFailing(), qt.IsFalse)
	for _, name := range []string{"one/1", "two/0", "three/0"} {
		r.recordTaskEnd(worker.Ref{Task: name}, true)
	}
	qt.Check(t, r.workerIsFailing(), qt.IsTrue)
	r.recordTaskEnd(worker.Ref{Task: "four/0"}, false)
	qt.Check(t, r.workerIsFailing(), qt.IsFalse)
}

// Guards against preempting more tasks than necessary or tasks whose priority is close to that of the urgent task. Of two tasks
// with the same priority, the task with less work done must be preempted first.
func TestPreemptionTakesFewestTasksOfLowestPriorityAndLeastWork(t *testing.T) {
	r := newTestRunner(
		runningAttempt("old/0", 8, 40, time.Hour), runningAttempt("new/0", 8, 40, time.Minute), runningAttempt("high/0", 8, 80, 0))
	got, _ := r.selectVictims(wire.PreemptArgs{Need: cores(16), Priority: 95})
	qt.Check(t, got, qt.DeepEquals, []worker.Ref{{Task: "new/0", Attempt: 1}})
	got, reason := r.selectVictims(wire.PreemptArgs{Need: cores(32), Priority: 95})
	qt.Check(t, got, qt.HasLen, 0)
	qt.Check(t, reason, qt.Equals, "lower priority work is not enough")
}

// Guards against placing another task on resources that were freed for an urgent task. The reservation must also expire, so that
// the resources are not blocked forever.
func TestReservationBlocksOtherTasksUntilExpiry(t *testing.T) {
	r := newTestRunner(runningAttempt("a/0", 16, 40, 0))
	r.reserveFreedResources(wire.PreemptArgs{Task: "urgent/0", Need: cores(12)})
	now := time.Now()
	qt.Check(t, r.blockedByReservation("other/0", cores(8), now), qt.IsTrue)
	qt.Check(t, r.blockedByReservation("small/0", cores(4), now), qt.IsFalse)
	qt.Check(t, r.blockedByReservation("urgent/0", cores(12), now), qt.IsFalse)
	qt.Check(t, r.blockedByReservation("other/0", cores(8), now.Add(reservationTTL+time.Second)), qt.IsFalse)
}

// Guards against a load projection that counts on the end of a task that has exceeded its expected run time. The load report must
// also sum the resources of all tasks of a team.
func TestLoadProjectionExpectsNoEndOfOverdueTasks(t *testing.T) {
	late := runningAttempt("late/0", 4, 50, 20*time.Minute)
	slow := runningAttempt("slow/0", 8, 40, 6*time.Minute)
	slow.speed = 0.5
	r := newTestRunner(late, slow)
	load := r.currentLoad(cores(20), time.Now())
	qt.Check(t, load.usedByTeam["t"], qt.Equals, cores(12))
	qt.Check(t, load.usedByPriority[40], qt.Equals, cores(8))
	got := [4]float64{}
	for i := range load.freeByHorizon {
		got[i] = load.freeByHorizon[i].Cores
	}
	qt.Check(t, got, qt.Equals, [4]float64{20, 20, 28, 28})
}

// Guards against recording the usage of a throttled task as its peak usage without scaling it to full speed. A measurement during
// which the speed changed, or of an unknown attempt, must not change the peak usage.
func TestPeakUsageIsScaledToFullSpeed(t *testing.T) {
	slow := runningAttempt("slow/0", 8, 40, 0)
	slow.speed = 0.5
	r := newTestRunner(slow)
	now := time.Now()
	usage := worker.Usage{At: now, Tasks: []worker.TaskUsage{
		{Ref: slow.spec.Ref, Kind: "plan", Used: worker.Resources{Cores: 3, MemoryMB: 500}},
		{Ref: worker.Ref{Task: "gone/0", Attempt: 4}, Kind: "index", Used: cores(2)},
	}}
	byKind := r.recordUsage(usage, now.Add(-time.Second))
	qt.Check(t, byKind, qt.DeepEquals, map[string]float64{"plan": 3, "index": 2})
	qt.Check(t, slow.peakUsage.Cores, qt.Equals, 6.0)
	slow.speed, slow.speedChangedAt = 0.1, now
	r.recordUsage(usage, now.Add(-time.Second))
	qt.Check(t, slow.peakUsage.Cores, qt.Equals, 6.0)
}
