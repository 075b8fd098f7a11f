package jobowner

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/boottime"
	"bamboofork/internal/caslog"
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
		o.epoch = 9
		o.inheritSilences(test.lastEpoch)
		o.learnFromMember(&session.PreviousOwner{Epoch: test.toldEpoch, Name: "host-0",
			Silences: []session.Silence{{Number: test.toldNumber, ForMs: (boottime.Now() - since).Milliseconds()}}})
		gain := o.startedAt + takeoverMargin - o.lastReportAt("host-1")
		qt.Check(t, gain > 2*time.Second, qt.Equals, test.inherited, qt.Commentf("%+v", test))
	}
}

// Guards against a hold that is counted from the start of the newest owner because the owners between it and the one whose silence the
// members know have inherited that silence and ended before they announced it.
func TestSilenceIsKnownThroughOwnersThatInheritedIt(t *testing.T) {
	for heirs := 1; heirs <= 3; heirs++ {
		since := boottime.Now() - 3*time.Second
		recorded := jobs.Change{Silence: &jobs.Silence{Agent: "host-1", Epoch: 5, Number: 4}}
		for epoch := int64(6); epoch < int64(6+heirs); epoch++ {
			heir := newTestOwner(t, memstore.New())
			heir.jobsState.Apply(recorded)
			heir.epoch = epoch
			heir.inheritSilences(epoch - 1)
			qt.Assert(t, heir.pendingChanges, qt.HasLen, 1)
			recorded = heir.pendingChanges[0]
		}
		o := newTestOwner(t, memstore.New())
		o.jobsState.Apply(recorded)
		o.epoch = int64(6 + heirs)
		o.inheritSilences(o.epoch - 1)
		o.learnFromMember(&session.PreviousOwner{Epoch: 5, Name: "host-0",
			Silences: []session.Silence{{Number: 4, ForMs: (boottime.Now() - since).Milliseconds()}}})
		gain := o.startedAt + takeoverMargin - o.lastReportAt("host-1")
		qt.Check(t, gain > 2*time.Second, qt.IsTrue, qt.Commentf("%d heirs: %s", heirs, gain))
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
			o.epoch = 9
			o.inheritSilences(test.lastEpoch)
			o.learnFromMember(&session.PreviousOwner{Epoch: 5, Name: "host-0", SeenMs: test.previousAge.Milliseconds()})
			o.members["host-0"] = &memberView{Member: Member{Name: "host-0", Agent: true, MaxHoldBesideOwnerMs: test.besideOwnerMs}}
			reduction := o.startedAt + takeoverMargin - o.lastReportAt("host-0")
			qt.Check(t, (reduction-test.reduction).Abs() < 300*time.Millisecond, qt.IsTrue, qt.Commentf("%s", reduction))
			qt.Check(t, o.lastReportAt("host-1"), qt.Equals, o.startedAt+takeoverMargin)
		})
	}
}

// testTerm is the term of an earlier owner in the log.
type testTerm struct {
	heard      []string // agents whose reports it may have confirmed
	isOld      bool     // the owner has an older version, which records no Term
	snapshots  bool     // it has replaced its records by a snapshot
	isUnseen   bool     // no member has followed it
	unreadable bool     // another writer has filled a position of its records
}

// Guards against a hold that is counted from too early, or from the start of the newest owner although the owners before it have not heard
// from the agent.
func TestHoldCountsFromTheEndOfTheLastTermThatHeardTheAgent(t *testing.T) {
	const termLength = 3 * time.Second
	for _, test := range []struct {
		name  string
		terms []testTerm
		from  int // index of the term from whose beginning the hold counts; len(terms): the newest owner
	}{
		{"heard by the previous owner", []testTerm{{}, {heard: []string{"host-1"}}}, 2},
		{"not heard by the previous owner", []testTerm{{heard: []string{"host-1"}}, {heard: []string{"host-2"}}}, 1},
		{"not heard by two owners", []testTerm{{heard: []string{"host-1"}}, {}, {heard: []string{"host-2"}}}, 1},
		{"heard by the one but last", []testTerm{{heard: []string{"host-1"}}, {heard: []string{"host-1"}}, {}}, 2},
		{"an owner that nobody followed", []testTerm{{heard: []string{"host-1"}}, {isUnseen: true}, {}}, 2},
		{"an owner of an older version", []testTerm{{heard: []string{"host-1"}}, {isOld: true}, {}}, 2},
		{"the last owner has an older version", []testTerm{{heard: []string{"host-1"}}, {}, {isOld: true}}, 3},
		{"records replaced by a snapshot", []testTerm{{heard: []string{"host-1"}}, {snapshots: true}}, 2},
		{"records replaced before the last term", []testTerm{{heard: []string{"host-1"}, snapshots: true}, {}}, 1},
		{"a position that cannot be read", []testTerm{{heard: []string{"host-1"}}, {unreadable: true}}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			st := memstore.New()
			log := caslog.New(st, "jobs", "writer")
			seq := int64(0)
			write := func(epoch int64, changes ...jobs.Change) {
				data, err := json.Marshal(changes)
				qt.Assert(t, err, qt.IsNil)
				seq++
				_, err = log.Append(t.Context(), caslog.Record{Seq: seq, Epoch: epoch, Data: data})
				qt.Assert(t, err, qt.IsNil)
			}
			var epochs []int64
			for _, term := range test.terms {
				epoch := seq + 1
				epochs = append(epochs, epoch)
				if term.isOld {
					write(epoch)
				} else {
					write(epoch, jobs.Change{Term: &jobs.Term{Epoch: epoch}})
				}
				for _, agent := range term.heard {
					write(epoch, jobs.Change{Heard: &jobs.Heard{Agent: agent, Epoch: epoch}})
				}
				if term.unreadable {
					seq++
					_, err := st.CompareAndSwap(t.Context(), fmt.Sprintf("jobs/log/%016d", seq), 0, []byte("{"), 0)
					qt.Assert(t, err, qt.IsNil)
				}
				if term.snapshots {
					qt.Assert(t, log.Snapshot(t.Context(), seq, epoch, []byte("[]"), seq+1), qt.IsNil)
				}
			}
			o := newTestOwner(t, st)
			var sinces []time.Duration
			for i, epoch := range epochs {
				age := time.Duration(len(epochs)-i) * termLength
				sinces = append(sinces, boottime.Now()-age)
				if !test.terms[i].isUnseen {
					o.learnFromMember(&session.PreviousOwner{Epoch: epoch, Name: fmt.Sprint("owner-", i), SeenMs: age.Milliseconds()})
				}
			}
			want := append(sinces, o.startedAt)[test.from] + takeoverMargin
			got := o.lastReportAt("host-1")
			qt.Check(t, (got-want).Abs() < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%s from the expected time", got-want))
		})
	}
}

// Guards against reports that are confirmed before it is durable that this owner hears from the agent: a successor would count the hold from
// an earlier term.
func TestReportsAreConfirmedAfterItIsDurableThatTheAgentWasHeard(t *testing.T) {
	o, member := ownerWithLastingRun(t, 0)
	mustCommit(t, o)
	o.handleMessage(member, &session.FromMember{ReportSeq: 3})
	qt.Check(t, member.heardDurable, qt.IsFalse)
	qt.Assert(t, o.pendingChanges, qt.HasLen, 1)
	qt.Check(t, o.pendingChanges[0].Heard, qt.DeepEquals, &jobs.Heard{Agent: "host-1", Epoch: o.epoch})
	mustCommit(t, o)
	qt.Check(t, member.heardDurable, qt.IsTrue)
	o.handleMessage(member, &session.FromMember{ReportSeq: 4})
	qt.Check(t, o.pendingChanges, qt.HasLen, 0)
}

// Guards against a hold that is counted anew because a successor finds a snapshot, and the silences that have to be recorded again after it
// were not written: the store refused the owner in between.
func TestSnapshotIsWrittenAfterTheSilencesAreRecordedAgain(t *testing.T) {
	o, _ := ownerWithSilentAgent(t)
	o.cfg.RecordsPerSnapshot = 1
	o.startedAt = boottime.Now() - 10*time.Second // no predecessor can append
	snapshotSeq := func() int64 {
		time.Sleep(50 * time.Millisecond)
		state, err := o.jobLog.Load(t.Context())
		qt.Assert(t, err, qt.IsNil)
		return state.SnapshotSeq
	}
	for o.snapshotSeq == 0 {
		o.apply(submitChange(fmt.Sprint("job-", o.lastRecordSeq)))
		mustCommit(t, o)
	}
	qt.Check(t, snapshotSeq(), qt.Equals, int64(0))
	mustCommit(t, o)
	qt.Check(t, snapshotSeq(), qt.Equals, o.snapshotSeq)
	state, err := o.jobLog.Load(t.Context())
	qt.Assert(t, err, qt.IsNil)
	changes, err := decodeRecord(state.Records[0])
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, changes[0].Silence.Agent, qt.Equals, "host-1")
}
