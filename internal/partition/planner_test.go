package partition

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bamboofork/internal/colocation"
	"bamboofork/internal/ledger"
	"bamboofork/internal/membership"
	"bamboofork/internal/scheduler"
	"bamboofork/internal/settings"
	"bamboofork/internal/wire"
	"bamboofork/internal/worker"
)

func member(i int, capacity worker.Resources) membership.Member {
	return membership.Member{
		ID: fmt.Sprint("agent-", i), Role: membership.RoleAgent, Domain: fmt.Sprint("domain-", i%2), Incarnation: 1,
		Load: membership.Load{Capacity: capacity, Free: capacity, Clock: time.Second},
	}
}

func newPlanJob(id string) *ledger.Job {
	return &ledger.Job{ID: id, Kind: "plan", Team: "t", Idempotent: true, Need: worker.Resources{Cores: 8, MemoryMB: 8000}, Run: time.Minute, Tasks: make([]ledger.Task, 1)}
}

// place runs the scheduler for the first task of a job and returns the chosen worker; empty if there is none.
func place(p *planner, job *ledger.Job, attempt int) (worker.Ref, string) {
	info := p.taskInfo(job, 0, attempt)
	p.sched.SyncPending(map[string]*scheduler.Unit{info.Ref.Task: {Key: info.Ref.Task, Tasks: []*scheduler.TaskInfo{info}}})
	for _, o := range p.sched.RunCycle(1) {
		if o.Placed {
			return info.Ref, o.Decisions[0].Node.ID
		}
	}
	return info.Ref, ""
}

// TestPlannerLimitsCorrectedSizeToLargestWorker guards against sizes that are not updated from reports. A corrected size
// must not exceed the largest worker.
func TestPlannerLimitsCorrectedSizeToLargestWorker(t *testing.T) {
	p := newPlanner(0, zerolog.Nop())
	capacity := worker.Resources{Cores: 16, MemoryMB: 20_000}
	p.updateWorkers([]membership.Member{member(1, capacity)})
	for i := range 20 {
		job := newPlanJob(fmt.Sprint("job", i))
		ref, node := place(p, job, 1)
		qt.Assert(t, node, qt.Equals, "agent-1")
		p.taskEnded(endedTask{job: job.ID, kind: "plan", team: "t", declared: job.Need, declaredRun: job.Run},
			wire.TaskReport{Ref: ref, State: worker.StateDone, Used: worker.Resources{Cores: 40, MemoryMB: 4000}, Ran: 2 * time.Minute})
	}
	info := p.taskInfo(newPlanJob("next"), 0, 1)
	qt.Check(t, info.Need.Cores, qt.Equals, 16.0)
	qt.Check(t, info.Need.MemoryMB > 4000 && info.Need.MemoryMB < 6000, qt.IsTrue, qt.Commentf("%d", info.Need.MemoryMB))
	qt.Check(t, info.ExpectedRunTime > time.Minute, qt.IsTrue)
}

// TestPlannerAvoidsFailedWorkerAndIgnoresDuplicateEnd guards against a task that returns at once to the worker on which
// it failed. It also guards against a duplicate end of the first attempt that removes the second attempt from the
// scheduler.
func TestPlannerAvoidsFailedWorkerAndIgnoresDuplicateEnd(t *testing.T) {
	p := newPlanner(0, zerolog.Nop())
	capacity := worker.Resources{Cores: 16, MemoryMB: 20_000}
	p.updateWorkers([]membership.Member{member(1, capacity), member(2, capacity)})
	job := newPlanJob("job")
	ref, first := place(p, job, 1)
	failed := wire.TaskReport{Ref: ref, State: worker.StateFailed, Reason: "exit 1"}
	p.taskEnded(endedTask{job: job.ID}, failed)
	_, second := place(p, job, 2)
	qt.Check(t, second, qt.Not(qt.Equals), first)
	p.taskEnded(endedTask{job: job.ID}, failed)
	qt.Check(t, p.sched.TaskEnded(worker.Ref{Task: "job/0", Attempt: 2}), qt.Equals, second)
}

// TestPlannerCountsOnlyPlacementsOfLedger guards against a scheduler that differs from the ledger. After a takeover the
// scheduler must count the placements of the ledger, and it must no longer count a placement that the ledger has not.
func TestPlannerCountsOnlyPlacementsOfLedger(t *testing.T) {
	p := newPlanner(0, zerolog.Nop())
	p.setTeamShare(func(string) scheduler.TeamShare {
		return scheduler.TeamShare{Weight: 1, Quota: worker.Resources{Cores: 8}}
	})
	p.updateWorkers([]membership.Member{member(1, worker.Resources{Cores: 64, MemoryMB: 64_000})})
	old := scheduler.PlacedTask{Task: *p.taskInfo(newPlanJob("old"), 0, 1), Node: "agent-1"}
	p.sched.Reconcile([]scheduler.PlacedTask{old})
	_, node := place(p, newPlanJob("new"), 1)
	qt.Check(t, node, qt.Equals, "")
	qt.Check(t, p.sched.UnschedulableByPlugin(), qt.DeepEquals, map[string]int{"quota": 1})
	p.sched.Reconcile(nil)
	_, node = place(p, newPlanJob("new"), 1)
	qt.Check(t, node, qt.Equals, "agent-1")
}

// TestTeamShareComesFromTopmostBranch guards against a team quota that is taken from a lower branch. It also guards
// against a quota that is not updated when the settings change.
func TestTeamShareComesFromTopmostBranch(t *testing.T) {
	live := settings.NewActiveSnapshot()
	shares := TeamShares(live)
	qt.Check(t, shares("press").Weight, qt.Equals, 1)
	tree := settings.NewTree()
	tree.Branches["a"] = map[string]string{"quota_cores": "100", "weight": "30"}
	tree.Branches["a/b"] = map[string]string{"team": "press", "quota_memory_mb": "5000"}
	tree.Branches["a/b/c"] = map[string]string{"quota_cores": "7", "weight": "1"}
	snap, err := settings.Compile(1, tree)
	qt.Assert(t, err, qt.IsNil)
	live.Apply(snap)
	qt.Check(t, shares("press"), qt.DeepEquals, scheduler.TeamShare{Weight: 30, Quota: worker.Resources{Cores: 100, MemoryMB: 5000}})
}

// TestInterferenceEstimatesAreMergedByDomain guards against the use of another failure domain's interference estimates
// in a domain that has estimates of its own.
func TestInterferenceEstimatesAreMergedByDomain(t *testing.T) {
	p := newPlanner(0, zerolog.Nop())
	a, b, c := member(0, worker.Resources{}), member(1, worker.Resources{}), member(2, worker.Resources{})
	pair := func(mean float64) []colocation.Pair {
		e := colocation.Estimate{Mean: mean, Deviation: 0.001}
		return []colocation.Pair{{Quick: "scan", Batch: "plan", Low: e, High: e}}
	}
	a.Load.Pairs, b.Load.Pairs, c.Load.Pairs = pair(0.01), pair(0.05), pair(0.03)
	p.mergeInterferenceEstimates([]membership.Member{a, b, c})
	checkMean := func(domain string, want float64) {
		got := p.interferenceModel(domain).Slowdown("scan", "plan", 0.5).Mean
		qt.Check(t, got > want-0.001 && got < want+0.001, qt.IsTrue, qt.Commentf("%s: %g", domain, got))
	}
	checkMean("domain-0", 0.02)
	checkMean("domain-1", 0.05)
	checkMean("domain-9", 0.03)
}

// TestRefusalStopsAcceptedTasksOfGang guards against a gang that runs incomplete: if one task is refused, the other
// tasks must be stopped.
func TestRefusalStopsAcceptedTasksOfGang(t *testing.T) {
	g := &gangOffer{pendingReplies: 3}
	one, two, three := placement{startCheckpoint: "1"}, placement{startCheckpoint: "2"}, placement{startCheckpoint: "3"}
	qt.Check(t, g.recordReply(one, true), qt.HasLen, 0)
	qt.Check(t, g.recordReply(two, false), qt.HasLen, 0)
	toStop := g.recordReply(three, true)
	qt.Assert(t, toStop, qt.HasLen, 2)
	qt.Check(t, toStop[0].startCheckpoint+toStop[1].startCheckpoint, qt.Equals, "13")
	single := &gangOffer{pendingReplies: 1}
	qt.Check(t, single.recordReply(one, true), qt.HasLen, 0)
}
