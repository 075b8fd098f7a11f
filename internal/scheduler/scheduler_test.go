package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/worker"
)

func syncAndCycle(t *testing.T, s *Scheduler, units ...*Unit) []UnitDecision {
	t.Helper()
	s.SyncPending(unitsByKey(units))
	return s.Cycle(1000)
}

// Guards against a partly placed gang, and against assumptions that remain after its rollback.
func TestGangAllOrNone(t *testing.T) {
	panicOnViolation(t)
	s, _ := newTest(nil)
	s.Update(fleetOf(3, size(8)))
	tasks := []*TaskInfo{}
	for i := range 4 {
		member := task("gang", 8, 50)
		member.Ref.Task = fmt.Sprintf("gang/%d", i)
		tasks = append(tasks, member)
	}
	out := s.PlaceGang(tasks)
	qt.Assert(t, out, qt.HasLen, 4)
	for _, d := range out {
		qt.Check(t, d.Placed(), qt.IsFalse)
	}
	qt.Check(t, out[0].Explain(), qt.Contains, "the gang needs all its tasks; gang/3 found no worker")
	fitting := s.PlaceGang(tasks[:3])
	for _, d := range fitting {
		qt.Check(t, d.Placed(), qt.IsTrue, qt.Commentf("%s", d.Explain()))
	}
}

// Guards against an explanation of an unplaced task that leaves out workers or gives no reason.
func TestExplainUnplaced(t *testing.T) {
	s, _ := newTest(func(team string) TeamShare {
		return TeamShare{Weight: 1, Quota: worker.Resources{Cores: map[string]float64{"limited": 2}[team]}}
	})
	s.Update(fleetOf(11, size(8)))
	big := s.Place(task("big", 64, 50))
	qt.Check(t, big.Explain(), qt.Contains, "fit: worker too small (11)")
	limited := task("limited", 4, 50)
	limited.Team = "limited"
	d := s.Place(limited)
	qt.Check(t, d.Explain(), qt.Contains, "quota: team limited: cores over the quota of 2 (11)")
	for i := range 11 {
		d := s.Place(task(fmt.Sprint("fill", i), 8, 50))
		qt.Assert(t, d.Placed(), qt.IsTrue)
	}
	full := s.Place(task("more", 8, 50))
	qt.Check(t, full.Explain(), qt.Contains, "fit: no room now (11)")
}

// Guards against an assumption that is counted twice or removed early when a report arrives before the agent's reply.
func TestAssumeConfirmForget(t *testing.T) {
	for _, tc := range []struct {
		name string
		step func(s *Scheduler, info NodeInfo)
		free float64
	}{
		{"stale report keeps the assumption", func(s *Scheduler, i NodeInfo) { i.Clock = 2 * time.Second; s.Update([]NodeInfo{i}) }, 4},
		{"refused", func(s *Scheduler, _ NodeInfo) { s.TaskRefused(worker.Ref{Task: "a/0", Attempt: 1}, nil) }, 8},
		{"confirmed, then reported", func(s *Scheduler, i NodeInfo) {
			s.TaskAdmitted(worker.Ref{Task: "a/0", Attempt: 1}, 2*time.Second)
			i.Clock, i.Free = 3*time.Second, size(4)
			s.Update([]NodeInfo{i})
		}, 4},
		{"reported, then confirmed", func(s *Scheduler, i NodeInfo) {
			i.Clock, i.Free = 3*time.Second, size(4)
			s.Update([]NodeInfo{i})
			s.TaskAdmitted(worker.Ref{Task: "a/0", Attempt: 1}, 2*time.Second)
		}, 4},
		{"refusal with a fresh report", func(s *Scheduler, i NodeInfo) {
			i.Clock, i.Free = 3*time.Second, size(1)
			s.TaskRefused(worker.Ref{Task: "a/0", Attempt: 1}, &i)
		}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, _ := newTest(nil)
			info := fleetOf(1, size(8))[0]
			s.Update([]NodeInfo{info})
			d := s.Place(task("a", 4, 50))
			qt.Assert(t, d.Placed(), qt.IsTrue)
			tc.step(s, info)
			qt.Check(t, s.cache.nodes[info.ID].free.Cores, qt.Equals, tc.free)
		})
	}
}

// Guards against urgent work queued behind other work, and against team weights or deadlines that do not affect the order.
func TestOrder(t *testing.T) {
	s, c := newTest(func(team string) TeamShare { return TeamShare{Weight: map[string]int{"t1": 1, "t2": 3}[team]} })
	s.Update(fleetOf(8, size(8)))
	units := []*Unit{}
	for i := range 20 {
		a, b := task(fmt.Sprintf("a%02d", i), 4, 50), task(fmt.Sprintf("b%02d", i), 4, 50)
		b.Team = "t2"
		units = append(units, unit(a), unit(b))
	}
	urgent := task("urgent", 4, 95)
	due := task("due", 4, 50)
	due.Deadline = c.now.Add(time.Hour)
	units = append(units, unit(due), unit(urgent))
	out := syncAndCycle(t, s, units...)
	qt.Check(t, out[0].Unit.Key, qt.Equals, "urgent/0")
	qt.Check(t, out[1].Unit.Key, qt.Equals, "due/0")
	placed := map[string]int{}
	for _, o := range out[2:] {
		if o.Placed {
			placed[o.Unit.Lead().Team]++
		}
	}
	qt.Check(t, placed["t2"] > 2*placed["t1"], qt.IsTrue, qt.Commentf("%v", placed))
}

// Guards against backfill that delays a reservation, and against a large task that gets no reservation.
func TestBackfillKeepsReservation(t *testing.T) {
	s, c := newTest(nil)
	info := fleetOf(1, size(8))[0]
	info.Free = size(4)
	s.Update([]NodeInfo{info})
	big := unit(task("big", 8, 50))
	out := syncAndCycle(t, s, big)
	qt.Assert(t, out[0].Placed, qt.IsFalse)
	qt.Check(t, out[0].Decisions[0].Explain(), qt.Contains, "worker w00000 is reserved for it")
	long, short := task("long", 2, 40), task("short", 2, 40)
	short.ExpectedRunTime = 30 * time.Second
	out = syncAndCycle(t, s, big, unit(long), unit(short))
	got := map[string]bool{}
	for _, o := range out {
		got[o.Unit.Key] = o.Placed
	}
	qt.Check(t, got["long/0"], qt.IsFalse)
	qt.Check(t, got["short/0"], qt.IsTrue)
	qt.Check(t, s.Stats().Backfilled, qt.Equals, int64(1))
	s.TaskEnded(worker.Ref{Task: "short/0", Attempt: 1})
	c.now = c.now.Add(time.Minute)
	info.Free, info.Clock = size(8), time.Minute
	s.Update([]NodeInfo{info})
	out = syncAndCycle(t, s, big, unit(long))
	qt.Check(t, out[0].Unit.Key, qt.Equals, "big/0")
	qt.Check(t, out[0].Placed, qt.IsTrue)
}

// Guards against preemption although a worker is free, of work of similar priority, or for work that is not urgent.
func TestPreemptLast(t *testing.T) {
	s, _ := newTest(nil)
	infos := fleetOf(2, size(8))
	infos[0].Free, infos[0].UsageByPriority = size(0), map[int]worker.Resources{80: size(8)}
	infos[1].Free, infos[1].UsageByPriority = size(4), map[int]worker.Resources{40: size(4)}
	s.Update(infos)
	out := syncAndCycle(t, s, unit(task("small", 4, 95)))
	qt.Check(t, out[0].Placed, qt.IsTrue)
	out = syncAndCycle(t, s, unit(task("normal", 8, 60)))
	qt.Check(t, out[0].Preempt, qt.IsNil)
	s.TaskEnded(worker.Ref{Task: "small/0", Attempt: 1})
	out = syncAndCycle(t, s, unit(task("urgent", 8, 95)))
	qt.Assert(t, out[0].Preempt, qt.IsNotNil)
	qt.Check(t, out[0].Preempt.ID, qt.Equals, "w00001")
	out = syncAndCycle(t, s, out[0].Unit, unit(task("other", 2, 50)))
	qt.Assert(t, out, qt.HasLen, 1)
	qt.Check(t, out[0].Placed, qt.IsFalse)
	qt.Check(t, strings.Contains(out[0].Decisions[0].Explain(), "reservation of urgent/0"), qt.IsTrue)
}

// Guards against an unschedulable unit that is not retried after resources were freed, or is retried without a change.
func TestUnschedulableRetriedOnChange(t *testing.T) {
	s, c := newTest(nil)
	info := fleetOf(1, size(8))[0]
	info.ProjectedFree = [4]worker.Resources{}
	s.Update([]NodeInfo{info})
	first, second := unit(task("a", 8, 50)), unit(task("b", 8, 50))
	out := syncAndCycle(t, s, first, second)
	qt.Assert(t, len(out), qt.Equals, 2)
	s.SyncPending(unitsByKey([]*Unit{second}))
	s.Cycle(10) // consumes the change that the placement itself caused
	c.now = c.now.Add(time.Second)
	qt.Check(t, s.Cycle(10), qt.HasLen, 0)
	qt.Check(t, s.UnschedulableByPlugin(), qt.DeepEquals, map[string]int{"fit": 1})
	s.TaskEnded(worker.Ref{Task: "a/0", Attempt: 1})
	out = s.Cycle(10)
	qt.Assert(t, out, qt.HasLen, 1)
	qt.Check(t, out[0].Placed, qt.IsTrue)
}

// Guards against a task that is never placed on the only suitable worker after its avoidance ended, because its AvoidUntil set is
// not refreshed while it is queued or because it waits for a change of the fleet.
func TestAvoidanceEnds(t *testing.T) {
	s, c := newTest(nil)
	s.Update(fleetOf(1, size(8)))
	u := unit(task("a", 8, 50))
	u.Lead().AvoidUntil = map[string]time.Time{"w00000": c.now.Add(5 * time.Second)}
	out := syncAndCycle(t, s, u)
	qt.Assert(t, out, qt.HasLen, 1)
	qt.Check(t, out[0].Placed, qt.IsFalse)
	s.Cycle(10)
	for c.now.Before(epoch.Add(20*time.Second)) && !out[len(out)-1].Placed {
		c.now = c.now.Add(100 * time.Millisecond)
		s.SyncPending(unitsByKey([]*Unit{u}))
		out = append(out, s.Cycle(10)...)
	}
	qt.Check(t, out[len(out)-1].Placed, qt.IsTrue)
}
