package jobowner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/boottime"
	"bamboofork/internal/jobs"
	"bamboofork/internal/session"
	"bamboofork/internal/store/memstore"
)

// ownerWithSilentAgent returns an owner that has recorded the silence of host-1, on whose worker a perpetual task is placed.
func ownerWithSilentAgent(t *testing.T) (*Owner, *memberView) {
	o, member := ownerWithLastingRun(t, 20*time.Second)
	o.servedSince = o.startedAt
	member.lastReportAt = boottime.Now() - 2*silenceTimeout
	checkTimeoutsNow(o)
	qt.Assert(t, o.silences["host-1"], qt.IsNotNil)
	return o, member
}

func mustCommit(t *testing.T, o *Owner) {
	_, err := o.commit(t.Context())
	qt.Assert(t, err, qt.IsNil)
}

// Guards against a hold that is extended after the owner has told others that it hears nothing from the agent.
func TestReportsAreConfirmedAfterTheEndOfASilenceIsDurable(t *testing.T) {
	o, member := ownerWithSilentAgent(t)
	mustCommit(t, o)
	o.handleMessage(member, &session.FromMember{ReportSeq: 3})
	qt.Check(t, o.silences["host-1"], qt.IsNotNil, qt.Commentf("the end is not durable yet"))
	mustCommit(t, o)
	qt.Check(t, o.silences["host-1"], qt.IsNil)
	qt.Check(t, o.jobsState.Silences, qt.HasLen, 0)
}

// Guards against a hold that a successor takes for expired although an owner in between may have extended it.
func TestOnlySilencesOfTheLastOwnerAreInherited(t *testing.T) {
	since := boottime.Now() - 3*time.Second
	for lastEpoch, inherited := range map[int64]bool{5: true, 6: false, 0: false} {
		o := newTestOwner(t, memstore.New())
		o.cfg.SilentSince = func(epoch, number int64) (time.Duration, bool) { return since, epoch == 5 && number == 1 }
		for number, agent := range []string{"unheard-of", "host-1"} {
			o.jobsState.Apply(jobs.Change{Silence: &jobs.Silence{Agent: agent, Epoch: 5, Number: int64(2 - number)}})
		}
		o.inheritSilences(lastEpoch)
		qt.Check(t, o.lastReportAt("host-1") == since, qt.Equals, inherited)
		qt.Check(t, o.lastReportAt("unheard-of"), qt.Equals, o.startedAt+takeoverMargin)
	}
}

// Guards against silences that are lost with the records that a snapshot replaces.
func TestSilencesAreRecordedAgainAfterASnapshot(t *testing.T) {
	o, _ := ownerWithSilentAgent(t)
	o.cfg.RecordsPerSnapshot = 1
	o.startedAt = boottime.Now() - 10*time.Second // no predecessor can append
	mustCommit(t, o)
	qt.Assert(t, o.snapshotSeq, qt.Equals, o.lastRecordSeq)
	qt.Assert(t, o.pendingChanges, qt.HasLen, 1)
	qt.Check(t, o.pendingChanges[0].Silence.Agent, qt.Equals, "host-1")
}
