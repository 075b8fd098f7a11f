package jobowner

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/boottime"
	"bamboofork/internal/jobs"
	"bamboofork/internal/outage"
	"bamboofork/internal/session"
	"bamboofork/internal/store/memstore"
)

// inVirtualTime runs the test in virtual time with an owner that holds submissions and whose store holds back records.
func inVirtualTime(t *testing.T, test func(t *testing.T, o *Owner, st *gatedStore)) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now().Add(-time.Hour)
		bootClock := boottime.SetClock(func() time.Duration { return time.Since(start) })
		defer func() { boottime.SetClock(bootClock) }()
		st := &gatedStore{Store: memstore.New()}
		o := newTestOwner(t, st)
		o.cfg.SilentStore = &outage.Policy{MaxHeld: 100, MaxHeldBytes: 1 << 20}
		st.gate = make(chan struct{})
		test(t, o, st)
	})
}

// submitFor submits the job for a caller that waits for the time, and returns the channel that receives its replies.
func submitFor(o *Owner, id string, remaining time.Duration) chan session.Reply {
	replies := make(chan session.Reply, 4)
	request := submission(id)
	request.RemainingMs = remaining.Milliseconds()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.submitJob(request, func(r session.Reply) { replies <- r })
	return replies
}

// checkHolds plays one round of holdLoop.
func checkHolds(o *Owner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.storeStalled() {
		o.rejectUncommitted()
	}
	o.reportHeld()
}

// code returns the code of the reply that has arrived, or "" if there is none.
func code(replies chan session.Reply) session.Code {
	select {
	case reply := <-replies:
		return reply.Code
	default:
		return ""
	}
}

// Load: the store is silent for 1.8 s while callers with 3 s submit. They are accepted with its first answer.
func TestSubmissionsAreHeldOverAShortSilence(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, o *Owner, st *gatedStore) {
		submitTo(o, "aaaaaaaaaaaaaaaa")
		first := startCommit(t, o)
		var held []chan session.Reply
		for i := range 20 {
			held = append(held, submitFor(o, fmt.Sprintf("%016x", i), 3*time.Second))
			time.Sleep(90 * time.Millisecond)
			checkHolds(o)
		}
		qt.Check(t, o.cfg.Metrics.Gauge("owner_submissions_held").Value(), qt.Equals, int64(20))
		st.gate <- struct{}{}
		<-first
		second := startCommit(t, o)
		st.gate <- struct{}{}
		<-second
		for _, replies := range held {
			qt.Check(t, code(replies), qt.Equals, session.CodeOK)
		}
		qt.Check(t, o.held, qt.HasLen, 0)
		qt.Check(t, o.cfg.Metrics.Counter("owner_submissions_served_after_hold").Count(), qt.Equals, int64(11), qt.Commentf("those of over 0.9 s"))
	})
}

// Guards against a refusal that comes too late for its caller, and against a refused job that runs: no later record may contain it.
func TestHeldSubmissionIsTurnedAwayInTimeAndNeverRuns(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, o *Owner, st *gatedStore) {
		submitTo(o, "aaaaaaaaaaaaaaaa")
		first := startCommit(t, o)
		refused := submitFor(o, "bbbbbbbbbbbbbbbb", 3*time.Second)
		start := time.Now()
		var got session.Code
		for got == "" {
			time.Sleep(holdCheckInterval)
			checkHolds(o)
			got = code(refused)
		}
		qt.Check(t, got, qt.Equals, session.CodeRejected)
		qt.Check(t, time.Since(start) >= 1500*time.Millisecond && time.Since(start) <= 3*time.Second-outage.AnswerReserve+holdCheckInterval, qt.IsTrue,
			qt.Commentf("%s", time.Since(start)))
		kept := submitFor(o, "cccccccccccccccc", 3*time.Second)
		st.gate <- struct{}{}
		<-first
		second := startCommit(t, o)
		st.gate <- struct{}{}
		<-second
		qt.Check(t, code(kept), qt.Equals, session.CodeOK)
		st.gate = nil
		successor := replaceOwner(t, st)
		qt.Check(t, successor.jobsState.Jobs["bbbbbbbbbbbbbbbb"], qt.IsNil)
		qt.Check(t, successor.jobsState.Jobs["cccccccccccccccc"], qt.IsNotNil)
	})
}

// Guards against a refusal of a job that is in a record: the record may be written although its answer is missing.
func TestSubmissionInAnUnansweredRecordIsNotRefused(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, o *Owner, st *gatedStore) {
		recorded := submitFor(o, "aaaaaaaaaaaaaaaa", 3*time.Second)
		first := startCommit(t, o)
		for range 200 {
			time.Sleep(holdCheckInterval)
			checkHolds(o)
		}
		qt.Check(t, code(recorded), qt.Equals, session.Code(""))
		st.gate <- struct{}{}
		<-first
		qt.Check(t, code(recorded), qt.Equals, session.CodeOK)
	})
}

// Guards against a job that is refused to one caller and accepted for the other, who submitted it on another connection: the second hold
// counts for both.
func TestRepeatedSubmissionExtendsTheHold(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, o *Owner, st *gatedStore) {
		submitTo(o, "aaaaaaaaaaaaaaaa")
		first := startCommit(t, o)
		earlier := submitFor(o, "bbbbbbbbbbbbbbbb", 3*time.Second)
		time.Sleep(1500 * time.Millisecond)
		later := submitFor(o, "bbbbbbbbbbbbbbbb", 3*time.Second)
		time.Sleep(1200 * time.Millisecond)
		checkHolds(o)
		qt.Check(t, code(earlier), qt.Equals, session.Code(""))
		qt.Check(t, code(later), qt.Equals, session.Code(""))
		st.gate <- struct{}{}
		<-first
		second := startCommit(t, o)
		st.gate <- struct{}{}
		<-second
		qt.Check(t, code(earlier), qt.Equals, session.CodeOK)
		qt.Check(t, code(later), qt.Equals, session.CodeOK)
	})
}

// Guards against a hold for a caller of an entry that does not say how long its callers wait, and against one without bounds.
func TestSubmissionsThatCannotBeHeldAreRefusedAtOnce(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, o *Owner, st *gatedStore) {
		submitTo(o, "aaaaaaaaaaaaaaaa")
		first := startCommit(t, o)
		earlyOfEarlierVersion := submitFor(o, "bbbbbbbbbbbbbbbb", 0)
		time.Sleep(storeStallTimeout + time.Millisecond)
		qt.Check(t, code(submitFor(o, "cccccccccccccccc", 0)), qt.Equals, session.CodeRejected)
		qt.Check(t, code(submitFor(o, "dddddddddddddddd", 100*time.Millisecond)), qt.Equals, session.CodeRejected)
		checkHolds(o)
		qt.Check(t, code(earlyOfEarlierVersion), qt.Equals, session.CodeRejected)
		for i := range o.cfg.SilentStore.MaxHeld {
			qt.Assert(t, code(submitFor(o, fmt.Sprintf("%016x", i), 3*time.Second)), qt.Equals, session.Code(""))
		}
		qt.Check(t, code(submitFor(o, "eeeeeeeeeeeeeeee", 3*time.Second)), qt.Equals, session.CodeRejected)
		st.gate <- struct{}{}
		<-first
	})
}

// Guards against submissions that wait at an owner which has resigned, and against a released job that a later record of it contains: the
// successor accepts the job too.
func TestResigningOwnerReleasesWhatItHolds(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, o *Owner, st *gatedStore) {
		recorded := submitFor(o, "aaaaaaaaaaaaaaaa", 3*time.Second)
		first := startCommit(t, o)
		held := submitFor(o, "bbbbbbbbbbbbbbbb", 3*time.Second)
		o.Resign()
		qt.Check(t, code(held), qt.Equals, session.CodeReleased)
		qt.Check(t, code(submitFor(o, "cccccccccccccccc", 3*time.Second)), qt.Equals, session.CodeReleased)
		qt.Check(t, code(recorded), qt.Equals, session.Code(""))
		st.gate <- struct{}{}
		<-first
		qt.Check(t, code(recorded), qt.Equals, session.CodeOK)
		_, err := o.commit(t.Context())
		qt.Assert(t, err, qt.IsNil)
		st.gate = nil
		successor, err := recoverSuccessor(t, st, replaceKey(t, st))
		qt.Assert(t, err, qt.IsNil)
		known := []string{}
		for id := range successor.jobsState.Jobs {
			known = append(known, id)
		}
		qt.Check(t, known, qt.DeepEquals, []string{"aaaaaaaaaaaaaaaa"})
	})
}

// Guards against a cancellation of a held job that acts on a repeated submission, or that is acknowledged although the job may run.
func TestCancellationOfAHeldSubmission(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, o *Owner, st *gatedStore) {
		submitTo(o, "aaaaaaaaaaaaaaaa")
		first := startCommit(t, o)
		held, cancelled := submitFor(o, "bbbbbbbbbbbbbbbb", 3*time.Second), make(chan session.Reply, 1)
		o.mu.Lock()
		o.cancelJob(&session.Request{Verb: session.VerbCancel, JobID: "bbbbbbbbbbbbbbbb"}, func(r session.Reply) { cancelled <- r })
		o.mu.Unlock()
		time.Sleep(3 * time.Second)
		checkHolds(o)
		qt.Check(t, code(held), qt.Equals, session.CodeRejected)
		repeated := submitFor(o, "bbbbbbbbbbbbbbbb", 3*time.Second)
		st.gate <- struct{}{}
		<-first
		second := startCommit(t, o)
		st.gate <- struct{}{}
		<-second
		qt.Check(t, code(cancelled), qt.Equals, session.CodeRejected)
		accepted := <-repeated
		qt.Check(t, accepted.Code, qt.Equals, session.CodeOK)
		qt.Check(t, accepted.State, qt.Not(qt.Equals), jobs.Cancelled)
	})
}

// Load: callers that were turned away come back after the silence, among new ones. Their age counts from their first arrival, so that they
// do not wait behind callers that came later.
func TestReturningCallerKeepsItsAge(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, o *Owner, st *gatedStore) {
		submitTo(o, "aaaaaaaaaaaaaaaa")
		first := startCommit(t, o)
		firstArrival := wallTimeMs()
		held := submitFor(o, "bbbbbbbbbbbbbbbb", 3*time.Second)
		time.Sleep(2500 * time.Millisecond)
		checkHolds(o)
		qt.Assert(t, code(held), qt.Equals, session.CodeRejected)
		secondArrival := wallTimeMs()
		qt.Assert(t, code(submitFor(o, "cccccccccccccccc", 100*time.Millisecond)), qt.Equals, session.CodeRejected)
		st.gate <- struct{}{}
		<-first
		time.Sleep(time.Second)
		submitFor(o, "bbbbbbbbbbbbbbbb", time.Second)
		submitFor(o, "cccccccccccccccc", time.Second)
		submitFor(o, "dddddddddddddddd", time.Second)
		qt.Check(t, o.jobsState.Jobs["bbbbbbbbbbbbbbbb"].AcceptedMs, qt.Equals, firstArrival)
		qt.Check(t, o.jobsState.Jobs["cccccccccccccccc"].AcceptedMs, qt.Equals, secondArrival)
		qt.Check(t, o.jobsState.Jobs["dddddddddddddddd"].AcceptedMs, qt.Equals, wallTimeMs())
	})
}

// Load: a long outage with ever new callers. What is remembered about them is bounded and expires.
func TestMemoryOfTurnedAwayCallersIsBounded(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, o *Owner, _ *gatedStore) {
		o.setAppendStart(boottime.Now() - time.Minute)
		for i := range 2 * maxRefusals {
			qt.Assert(t, code(submitFor(o, fmt.Sprintf("%016x", i), 3*time.Second)), qt.Equals, session.CodeRejected)
		}
		qt.Check(t, o.refusals.firstMsByJob, qt.HasLen, maxRefusals)
		refused := submission("0000000000000001")
		qt.Check(t, o.firstArrivalMs(refused), qt.Equals, wallTimeMs())
		time.Sleep(time.Second)
		qt.Check(t, o.firstArrivalMs(refused), qt.Equals, wallTimeMs()-1000)
		time.Sleep(refusalMemoryMs * time.Millisecond)
		qt.Check(t, o.firstArrivalMs(refused), qt.Equals, wallTimeMs())
	})
}

// Load: the first requests after a loss of power, which waited at the entries for an owner. Their age counts from their arrival there, and
// no entry can make a job older than the memory of arrivals.
func TestTimeAtTheEntryCounts(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, o *Owner, _ *gatedStore) {
		for i, c := range []struct{ waitedMs, ageMs int64 }{{0, 0}, {1900, 1900}, {-5, 0}, {1 << 60, 0}} {
			request := submission(fmt.Sprintf("%016x", i))
			request.WaitedMs = c.waitedMs
			o.mu.Lock()
			o.submitJob(request, func(session.Reply) {})
			o.mu.Unlock()
			qt.Check(t, wallTimeMs()-o.jobsState.Jobs[request.JobID].AcceptedMs, qt.Equals, c.ageMs)
		}
	})
}
