package partition

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/ledger"
	"bamboofork/internal/scheduler"
	"bamboofork/internal/store/memstore"
	"bamboofork/internal/worker"
)

// TestUnschedulableJobIsSetAsideAndTakenBack guards against jobs that no worker can run and that stay in the queue
// without a reason. Such a job is set aside with a reason and stays in the ledger. It returns to the queue when a worker
// is large enough.
func TestUnschedulableJobIsSetAsideAndTakenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := newOwnerHarness(c, memstore.New(), "w1")
		defer r.stop()
		job := &ledger.Job{ID: "00-big", Need: worker.Resources{Cores: 64}, Tasks: []ledger.Task{{State: ledger.TaskPending}}}
		examine := func(cores float64) bool {
			r.owner.mu.Lock()
			defer r.owner.mu.Unlock()
			return r.owner.checkSchedulable(job, []scheduler.NodeInfo{{ID: "a", Capacity: worker.Resources{Cores: cores}}}, time.Now())
		}
		c.Assert(examine(8), qt.IsTrue) // the membership view may still be incomplete
		time.Sleep(setAsideDelay)
		c.Assert(examine(8), qt.IsFalse)
		c.Assert(r.owner.planner.latestDecision("00-big/0"), qt.Contains, "64 cores")
		c.Assert(examine(64), qt.IsTrue)
		c.Assert(r.owner.unschedulableJobs, qt.HasLen, 0)
	})
}
