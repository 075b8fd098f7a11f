package jobowner

import (
	"fmt"
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
	o.servingSince = o.startedAt
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
	for _, test := range []struct {
		lastEpoch, toldEpoch, toldNumber int64
		inherited                        bool
	}{
		{lastEpoch: 5, toldEpoch: 5, toldNumber: 1, inherited: true},
		{lastEpoch: 5, toldEpoch: 5, toldNumber: 2},
		{lastEpoch: 5, toldEpoch: 4, toldNumber: 1},
		{lastEpoch: 6, toldEpoch: 5, toldNumber: 1},
		{lastEpoch: 6, toldEpoch: 6, toldNumber: 1},
		{lastEpoch: 0, toldEpoch: 0, toldNumber: 1},
	} {
		o := newTestOwner(t, memstore.New())
		o.jobsState.Apply(jobs.Change{Silence: &jobs.Silence{Agent: "host-1", Epoch: 5, Number: 1}})
		o.inheritSilences(test.lastEpoch)
		o.learnFromMember(&session.PreviousOwner{Epoch: test.toldEpoch, Name: "host-0",
			Silences: []session.Silence{{Number: test.toldNumber, ForMs: (boottime.Now() - since).Milliseconds()}}})
		gain := o.startedAt + takeoverMargin - o.lastReportAt("host-1")
		qt.Check(t, gain > 2*time.Second, qt.Equals, test.inherited, qt.Commentf("%+v", test))
	}
}

// Guards against silences that are lost with the records that a snapshot replaces.
func TestSilencesPutOffASnapshotAndAreRecordedAgainAfterIt(t *testing.T) {
	o, _ := ownerWithSilentAgent(t)
	o.cfg.RecordsPerSnapshot = 2
	o.startedAt = boottime.Now() - 10*time.Second // no predecessor can append
	for o.lastRecordSeq < 7 {
		qt.Assert(t, o.snapshotSeq, qt.Equals, int64(0))
		o.apply(submitChange(fmt.Sprint("job-", o.lastRecordSeq)))
		mustCommit(t, o)
	}
	o.apply(submitChange("job-last"))
	mustCommit(t, o)
	qt.Assert(t, o.snapshotSeq, qt.Equals, o.lastRecordSeq)
	qt.Assert(t, o.pendingChanges, qt.HasLen, 1)
	qt.Check(t, o.pendingChanges[0].Silence.Agent, qt.Equals, "host-1")
}

// Guards against a hold of the worker beside the previous owner that is counted as short, although an owner before that one or an agent
// of an older version may have asked for a longer one.
func TestHoldBesideThePreviousOwnerIsShort(t *testing.T) {
	const besideOwner = 2 * time.Second
	for _, test := range []struct {
		name          string
		lastEpoch     int64
		previousAge   time.Duration // since the previous owner was first heard
		besideOwnerMs int64
		reduction     time.Duration
	}{
		{"previous owner with a long term", 5, time.Minute, besideOwner.Milliseconds(), testMaxHold - besideOwner},
		{"previous owner with a short term", 5, 1500 * time.Millisecond, besideOwner.Milliseconds(), 1500 * time.Millisecond},
		{"an owner in between", 6, time.Minute, besideOwner.Milliseconds(), 0},
		{"agent without a shorter hold", 5, time.Minute, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			o := newTestOwner(t, memstore.New())
			o.inheritSilences(test.lastEpoch)
			o.learnFromMember(&session.PreviousOwner{Epoch: 5, Name: "host-0", SeenMs: test.previousAge.Milliseconds()})
			o.members["host-0"] = &memberView{Member: Member{Name: "host-0", Agent: true, MaxHoldBesideOwnerMs: test.besideOwnerMs}}
			reduction := o.startedAt + takeoverMargin - o.lastReportAt("host-0")
			qt.Check(t, (reduction-test.reduction).Abs() < 300*time.Millisecond, qt.IsTrue, qt.Commentf("%s", reduction))
			qt.Check(t, o.lastReportAt("host-1"), qt.Equals, o.startedAt+takeoverMargin)
		})
	}
}
