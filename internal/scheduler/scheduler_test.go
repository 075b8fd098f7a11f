package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/worker"
)

func syncAndCycle(t *testing.T, scheduler *Scheduler, units ...*Unit) []UnitDecision {
	t.Helper()
	scheduler.SyncPending(unitsByKey(units))
	return scheduler.RunCycle(1000)
}

// Guards against a gang of which only some tasks are placed. Also guards against tasks that remain assumed after the rollback of
// their gang.
func TestGangIsPlacedAllOrNone(t *testing.T) {
	panicOnViolation(t)
	scheduler, _ := newTestScheduler(nil)
	scheduler.Update(fleetOf(3, resourcesOf(8)))
	tasks := []*TaskInfo{}
	for i := range 4 {
		member := newTask("gang", 8, 50)
		member.Ref.Task = fmt.Sprintf("gang/%d", i)
		tasks = append(tasks, member)
	}
	decisions := scheduler.PlaceGang(tasks)
	qt.Assert(t, decisions, qt.HasLen, 4)
	for _, decision := range decisions {
		qt.Check(t, decision.Placed(), qt.IsFalse)
	}
	qt.Check(t, decisions[0].Explain(), qt.Contains, "the gang needs all its tasks; gang/3 found no worker")
	fittingDecisions := scheduler.PlaceGang(tasks[:3])
	for _, decision := range fittingDecisions {
		qt.Check(t, decision.Placed(), qt.IsTrue, qt.Commentf("%s", decision.Explain()))
	}
}

// Guards against an explanation of an unplaced task that omits workers or gives no reason for their rejection.
func TestUnplacedDecisionExplainsEveryWorker(t *testing.T) {
	scheduler, _ := newTestScheduler(func(team string) TeamShare {
		return TeamShare{Weight: 1, Quota: worker.Resources{Cores: map[string]float64{"limited": 2}[team]}}
	})
	scheduler.Update(fleetOf(11, resourcesOf(8)))
	tooLargeDecision := scheduler.Place(newTask("big", 64, 50))
	qt.Check(t, tooLargeDecision.Explain(), qt.Contains, "fit: worker too small (11)")
	limitedTask := newTask("limited", 4, 50)
	limitedTask.Team = "limited"
	d := scheduler.Place(limitedTask)
	qt.Check(t, d.Explain(), qt.Contains, "quota: team limited: cores over the quota of 2 (11)")
	for i := range 11 {
		d := scheduler.Place(newTask(fmt.Sprint("fill", i), 8, 50))
		qt.Assert(t, d.Placed(), qt.IsTrue)
	}
	fullFleetDecision := scheduler.Place(newTask("more", 8, 50))
	qt.Check(t, fullFleetDecision.Explain(), qt.Contains, "fit: no room now (11)")
}

// Guards against wrong free resources of a worker with an assumed task. They are wrong if the task is counted both as assumed
// and in a report, or if the assumption is removed before a report includes the task.
func TestAssumptionIsCountedOnceUntilReported(t *testing.T) {
	for _, tc := range []struct {
		name string
		step func(scheduler *Scheduler, info NodeInfo)
		free float64
	}{
		{"stale report keeps the assumption", func(scheduler *Scheduler, i NodeInfo) {
			i.AgentClock = 2 * time.Second
			scheduler.Update([]NodeInfo{i})
		}, 4},
		{"refused", func(scheduler *Scheduler, _ NodeInfo) {
			scheduler.TaskRefused(worker.Ref{Task: "a/0", Attempt: 1}, nil)
		}, 8},
		{"confirmed, then reported", func(scheduler *Scheduler, i NodeInfo) {
			scheduler.TaskAdmitted(worker.Ref{Task: "a/0", Attempt: 1}, 2*time.Second)
			i.AgentClock, i.Free = 3*time.Second, resourcesOf(4)
			scheduler.Update([]NodeInfo{i})
		}, 4},
		{"reported, then confirmed", func(scheduler *Scheduler, i NodeInfo) {
			i.AgentClock, i.Free = 3*time.Second, resourcesOf(4)
			scheduler.Update([]NodeInfo{i})
			scheduler.TaskAdmitted(worker.Ref{Task: "a/0", Attempt: 1}, 2*time.Second)
		}, 4},
		{"refusal with a fresh report", func(scheduler *Scheduler, i NodeInfo) {
			i.AgentClock, i.Free = 3*time.Second, resourcesOf(1)
			scheduler.TaskRefused(worker.Ref{Task: "a/0", Attempt: 1}, &i)
		}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			scheduler, _ := newTestScheduler(nil)
			info := fleetOf(1, resourcesOf(8))[0]
			scheduler.Update([]NodeInfo{info})
			d := scheduler.Place(newTask("a", 4, 50))
			qt.Assert(t, d.Placed(), qt.IsTrue)
			tc.step(scheduler, info)
			qt.Check(t, scheduler.cache.nodeByID[info.ID].free.Cores, qt.Equals, tc.free)
		})
	}
}

// Guards against urgent work that is queued behind other work. Also guards against team weights or deadlines without effect on
// the queue order.
func TestQueueOrderHonoursUrgencyDeadlinesAndWeights(t *testing.T) {
	scheduler, clock := newTestScheduler(func(team string) TeamShare { return TeamShare{Weight: map[string]int{"t1": 1, "t2": 3}[team]} })
	scheduler.Update(fleetOf(8, resourcesOf(8)))
	units := []*Unit{}
	for i := range 20 {
		a, b := newTask(fmt.Sprintf("a%02d", i), 4, 50), newTask(fmt.Sprintf("b%02d", i), 4, 50)
		b.Team = "t2"
		units = append(units, unitOf(a), unitOf(b))
	}
	urgentTask := newTask("urgent", 4, 95)
	dueTask := newTask("due", 4, 50)
	dueTask.Deadline = clock.now.Add(time.Hour)
	units = append(units, unitOf(dueTask), unitOf(urgentTask))
	decisions := syncAndCycle(t, scheduler, units...)
	qt.Check(t, decisions[0].Unit.Key, qt.Equals, "urgent/0")
	qt.Check(t, decisions[1].Unit.Key, qt.Equals, "due/0")
	placedByTeam := map[string]int{}
	for _, o := range decisions[2:] {
		if o.Placed {
			placedByTeam[o.Unit.Lead().Team]++
		}
	}
	qt.Check(t, placedByTeam["t2"] > 2*placedByTeam["t1"], qt.IsTrue, qt.Commentf("%v", placedByTeam))
}

// Guards against a large task that gets no reservation. Also guards against a backfilled task that delays the reservation.
func TestBackfillKeepsReservation(t *testing.T) {
	scheduler, clock := newTestScheduler(nil)
	info := fleetOf(1, resourcesOf(8))[0]
	info.Free = resourcesOf(4)
	scheduler.Update([]NodeInfo{info})
	bigUnit := unitOf(newTask("big", 8, 50))
	decisions := syncAndCycle(t, scheduler, bigUnit)
	qt.Assert(t, decisions[0].Placed, qt.IsFalse)
	qt.Check(t, decisions[0].Decisions[0].Explain(), qt.Contains, "worker w00000 is reserved for it")
	longTask, shortTask := newTask("long", 2, 40), newTask("short", 2, 40)
	shortTask.ExpectedRunTime = 30 * time.Second
	decisions = syncAndCycle(t, scheduler, bigUnit, unitOf(longTask), unitOf(shortTask))
	placedByUnit := map[string]bool{}
	for _, o := range decisions {
		placedByUnit[o.Unit.Key] = o.Placed
	}
	qt.Check(t, placedByUnit["long/0"], qt.IsFalse)
	qt.Check(t, placedByUnit["short/0"], qt.IsTrue)
	qt.Check(t, scheduler.Stats().Backfilled, qt.Equals, int64(1))
	scheduler.TaskEnded(worker.Ref{Task: "short/0", Attempt: 1})
	clock.now = clock.now.Add(time.Minute)
	info.Free, info.AgentClock = resourcesOf(8), time.Minute
	scheduler.Update([]NodeInfo{info})
	decisions = syncAndCycle(t, scheduler, bigUnit, unitOf(longTask))
	qt.Check(t, decisions[0].Unit.Key, qt.Equals, "big/0")
	qt.Check(t, decisions[0].Placed, qt.IsTrue)
}

// Guards against needless preemption: for a task that fits on a worker, or for a task that is not urgent. Also guards against
// the preemption of work whose priority is only slightly lower.
func TestPreemptionOnlyForUrgentWorkWithoutFreeWorker(t *testing.T) {
	scheduler, _ := newTestScheduler(nil)
	infos := fleetOf(2, resourcesOf(8))
	infos[0].Free, infos[0].UsageByPriority = resourcesOf(0), map[int]worker.Resources{80: resourcesOf(8)}
	infos[1].Free, infos[1].UsageByPriority = resourcesOf(4), map[int]worker.Resources{40: resourcesOf(4)}
	scheduler.Update(infos)
	decisions := syncAndCycle(t, scheduler, unitOf(newTask("small", 4, 95)))
	qt.Check(t, decisions[0].Placed, qt.IsTrue)
	decisions = syncAndCycle(t, scheduler, unitOf(newTask("normal", 8, 60)))
	qt.Check(t, decisions[0].PreemptNode, qt.IsNil)
	scheduler.TaskEnded(worker.Ref{Task: "small/0", Attempt: 1})
	decisions = syncAndCycle(t, scheduler, unitOf(newTask("urgent", 8, 95)))
	qt.Assert(t, decisions[0].PreemptNode, qt.IsNotNil)
	qt.Check(t, decisions[0].PreemptNode.ID, qt.Equals, "w00001")
	decisions = syncAndCycle(t, scheduler, decisions[0].Unit, unitOf(newTask("other", 2, 50)))
	qt.Assert(t, decisions, qt.HasLen, 1)
	qt.Check(t, decisions[0].Placed, qt.IsFalse)
	qt.Check(t, strings.Contains(decisions[0].Decisions[0].Explain(), "reservation of urgent/0"), qt.IsTrue)
}

// Guards against an unschedulable unit that is not retried after resources were freed. Also guards against a retry after 1 s
// although the fleet did not change.
func TestUnschedulableUnitIsRetriedOnlyAfterChange(t *testing.T) {
	scheduler, clock := newTestScheduler(nil)
	info := fleetOf(1, resourcesOf(8))[0]
	info.ProjectedFree = [4]worker.Resources{}
	scheduler.Update([]NodeInfo{info})
	firstUnit, secondUnit := unitOf(newTask("a", 8, 50)), unitOf(newTask("b", 8, 50))
	decisions := syncAndCycle(t, scheduler, firstUnit, secondUnit)
	qt.Assert(t, len(decisions), qt.Equals, 2)
	scheduler.SyncPending(unitsByKey([]*Unit{secondUnit}))
	scheduler.RunCycle(10) // handles any fleet change recorded so far, so that the next cycle sees none
	clock.now = clock.now.Add(time.Second)
	qt.Check(t, scheduler.RunCycle(10), qt.HasLen, 0)
	qt.Check(t, scheduler.UnschedulableByPlugin(), qt.DeepEquals, map[string]int{"fit": 1})
	scheduler.TaskEnded(worker.Ref{Task: "a/0", Attempt: 1})
	decisions = scheduler.RunCycle(10)
	qt.Assert(t, decisions, qt.HasLen, 1)
	qt.Check(t, decisions[0].Placed, qt.IsTrue)
}

// Guards against a task that never runs on the only suitable worker because the task once avoided that worker. The fault occurs
// if the AvoidUntil set of a queued task is not refreshed, or if the task waits for a change of the fleet.
func TestAvoidedWorkerIsUsedAfterAvoidanceEnds(t *testing.T) {
	scheduler, clock := newTestScheduler(nil)
	scheduler.Update(fleetOf(1, resourcesOf(8)))
	avoidingUnit := unitOf(newTask("a", 8, 50))
	avoidingUnit.Lead().AvoidUntil = map[string]time.Time{"w00000": clock.now.Add(5 * time.Second)}
	decisions := syncAndCycle(t, scheduler, avoidingUnit)
	qt.Assert(t, decisions, qt.HasLen, 1)
	qt.Check(t, decisions[0].Placed, qt.IsFalse)
	scheduler.RunCycle(10)
	for clock.now.Before(testEpoch.Add(20*time.Second)) && !decisions[len(decisions)-1].Placed {
		clock.now = clock.now.Add(100 * time.Millisecond)
		scheduler.SyncPending(unitsByKey([]*Unit{avoidingUnit}))
		decisions = append(decisions, scheduler.RunCycle(10)...)
	}
	qt.Check(t, decisions[len(decisions)-1].Placed, qt.IsTrue)
}
