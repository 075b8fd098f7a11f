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

// TestSetAside guards against jobs that can never run: they are set aside with a reason, stay in the ledger, and are
// taken back when a worker is large enough.
func TestSetAside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := newRig(c, memstore.New(), "w1")
		defer r.stop()
		job := &ledger.Job{ID: "00-big", Need: worker.Resources{Cores: 64}, Tasks: []ledger.Task{{State: ledger.TaskPending}}}
		examine := func(cores float64) bool {
			r.owner.mu.Lock()
			defer r.owner.mu.Unlock()
			return r.owner.examine(job, []scheduler.NodeInfo{{ID: "a", Capacity: worker.Resources{Cores: cores}}}, time.Now())
		}
		c.Assert(examine(8), qt.IsTrue) // the membership view may still be incomplete
		time.Sleep(asideAfter)
		c.Assert(examine(8), qt.IsFalse)
		c.Assert(r.owner.planner.newest("00-big/0"), qt.Contains, "64 cores")
		c.Assert(examine(64), qt.IsTrue)
		c.Assert(r.owner.aside, qt.HasLen, 0)
	})
}
