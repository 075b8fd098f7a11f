package jobowner

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/jobs"
	"bamboofork/internal/session"
)

// Guards against a faulty worker that attracts the tasks of the fleet again after each change of the owner.
func TestSuspicionOfAWorkerIsKeptForTheNextOwner(t *testing.T) {
	previous, member := ownerWithLastingRun(t, 0)
	qt.Check(t, previous.changedSuspicion(member), qt.IsNil)
	for _, job := range []string{"a", "b", "c"} {
		previous.workerHealth.Record("host-1", job, jobs.EndFailed, bootTimeMs())
	}
	kept := previous.changedSuspicion(member)
	qt.Assert(t, kept, qt.IsNotNil)
	qt.Check(t, previous.changedSuspicion(member), qt.IsNil, qt.Commentf("the agent has it"))

	o, member := ownerWithLastingRun(t, 0)
	o.handleMessage(member, &session.FromMember{ReportSeq: 1, RunsComplete: true, Suspicion: kept})
	qt.Check(t, o.workerHealth.MaxStarts("host-1", bootTimeMs()), qt.Equals, 0)
	restored := o.workerHealth.Suspicion("host-1")
	qt.Check(t, restored.FailedJobCount, qt.Equals, 3)
	qt.Check(t, restored.QuarantineMs, qt.Equals, previous.workerHealth.Suspicion("host-1").QuarantineMs)
	qt.Check(t, o.workerHealth.MaxStarts("host-1", restored.NoStartUntilMs), qt.Equals, 1, qt.Commentf("on probation"))

	o.workerHealth.Record("host-1", "d", jobs.EndDone, bootTimeMs())
	qt.Check(t, *o.changedSuspicion(member), qt.Equals, session.Suspicion{}, qt.Commentf("the agent has to forget it"))
}
