package partition_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/ledger"
	"bamboofork/internal/partition"
	"bamboofork/internal/wire"
	"bamboofork/internal/worker"
)

// TestLateOfferIsRepeated guards against tasks that are never placed: if the agents' clocks in the owner's membership view
// are older than the hold, every offer arrives too late. Reproduced by bf-soak with seed 2 and holds of 2 s.
func TestLateOfferIsRepeated(t *testing.T) {
	withFleet(t, 3, func(c *qt.C, f *fleet) {
		f.clockLag.Store(int64(2 * testTaskHold))
		time.Sleep(5 * time.Second) // until the views contain the old clocks
		owner, _ := f.awaitOwner(0, nil)
		c.Assert(owner, qt.IsNotNil)
		job := ledger.Job{
			ID: partition.JobID(0, "late"), Branch: "b", Kind: "k", Idempotent: true, Need: worker.Resources{Cores: 1, MemoryMB: 10},
			Run: time.Second, Hold: testTaskHold, Submitted: time.Now(), Tasks: make([]ledger.Task, 3),
		}
		for i := range job.Tasks {
			job.Tasks[i].State = ledger.TaskPending
		}
		var reply wire.SubmitReply
		c.Assert(owner.manager.Service().Submit(wire.SubmitArgs{Partition: 0, Job: job}, &reply), qt.IsNil)
		c.Assert(reply.Code, qt.Equals, wire.CodeOK)
		time.Sleep(15 * time.Second)
		var got wire.GetReply
		c.Assert(owner.manager.Service().Get(wire.GetArgs{Partition: 0, JobID: job.ID}, &got), qt.IsNil)
		c.Assert(got.Job.Finished(), qt.IsTrue, qt.Commentf("%+v", got.Job.Tasks))
		f.clockLag.Store(0)
	})
}
