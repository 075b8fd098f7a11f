package jobowner

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bamboofork/internal/boottime"
	"bamboofork/internal/caslog"
	"bamboofork/internal/election"
	"bamboofork/internal/jobs"
	"bamboofork/internal/network"
	"bamboofork/internal/session"
	"bamboofork/internal/store"
	"bamboofork/internal/store/memstore"
	"bamboofork/internal/telemetry"
)

// gatedStore holds back writes of log records until the test releases them.
type gatedStore struct {
	store.Store
	gate chan struct{} // nil: writes pass; otherwise each write of a record receives once before it is executed
}

func (s *gatedStore) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, lease store.LeaseID) (store.CASResult, error) {
	if s.gate != nil && strings.Contains(key, "/log/") {
		select {
		case <-s.gate:
		case <-ctx.Done():
			return store.CASResult{}, store.ErrUncertain
		}
	}
	return s.Store.CompareAndSwap(ctx, key, expect, value, lease)
}

// newTestOwner returns the owner of an empty log whose loops do not run; the test calls commit.
func newTestOwner(t *testing.T, st store.Store) *Owner {
	key := election.NewKey(st, "owner", boottime.Now)
	ownership, err := key.Acquire(t.Context(), election.Owner{Name: "host-0", Incarnation: "host-0-1"}, 0)
	qt.Assert(t, err, qt.IsNil)
	o, err := Recover(t.Context(), Config{Name: "host-0", Prefix: "jobs", Log: zerolog.Nop(), Metrics: telemetry.New(), Store: st, Network: network.TCP,
		Retention: time.Minute, MaxHold: 5 * time.Second}, ownership, "host-0-1")
	qt.Assert(t, err, qt.IsNil)
	return o
}

func submission(id string) *session.Request {
	return &session.Request{Verb: session.VerbSubmit, JobID: id, Queue: &jobs.Queue{Name: "q", Service: "s"},
		Spec: &jobs.Spec{Steps: []jobs.Step{{Count: 1, CPU: 1000, MemMB: 100}}}}
}

// submitTo submits the job and returns the channel that receives its replies.
func submitTo(o *Owner, id string) chan session.Reply {
	replies := make(chan session.Reply, 4)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.submitJob(submission(id), func(r session.Reply) { replies <- r })
	return replies
}

// startCommit runs one commit in the background and returns a channel that is closed after it. It returns once the commit has
// taken the pending changes.
func startCommit(t *testing.T, o *Owner) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if _, err := o.commit(context.Background()); err != nil {
			t.Errorf("commit: %v", err)
		}
	}()
	for {
		o.mu.Lock()
		taken := o.appendStartedAt != 0
		o.mu.Unlock()
		if taken {
			return done
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a job that is acknowledged although its record was never written. A submission that waits behind an unanswered
// record is rejected; the caller repeats it. The confirmation of the next record, which does not contain the repeated
// submission, must not acknowledge it.
func TestRepeatedSubmissionIsAcknowledgedOnlyWithItsOwnRecord(t *testing.T) {
	st := &gatedStore{Store: memstore.New()}
	o := newTestOwner(t, st)
	st.gate = make(chan struct{})

	submitTo(o, "aaaaaaaaaaaaaaaa")
	firstCommit := startCommit(t, o)
	rejected := submitTo(o, "bbbbbbbbbbbbbbbb")
	o.mu.Lock()
	o.rejectUncommitted()
	o.mu.Unlock()
	qt.Assert(t, (<-rejected).Code, qt.Equals, session.CodeRejected)
	submitTo(o, "cccccccccccccccc")
	st.gate <- struct{}{}
	<-firstCommit

	secondCommit := startCommit(t, o)
	repeated := submitTo(o, "bbbbbbbbbbbbbbbb")
	st.gate <- struct{}{}
	<-secondCommit
	select {
	case reply := <-repeated:
		t.Fatalf("the repeated submission got %q although no record contains it", reply.Code)
	default:
	}

	thirdCommit := startCommit(t, o)
	st.gate <- struct{}{}
	<-thirdCommit
	qt.Assert(t, (<-repeated).Code, qt.Equals, session.CodeOK)
}

// submitLargeJobs submits jobs whose IDs are the numbers below count, with the largest payload, and returns the channel of the replies.
// The caller holds o.mu.
func submitLargeJobs(o *Owner, count int) chan session.Reply {
	replies := make(chan session.Reply, count)
	for i := range count {
		request := submission(fmt.Sprintf("%016x", i))
		request.Spec.Payload = strings.Repeat("x", jobs.MaxPayload)
		o.submitJob(request, func(r session.Reply) { replies <- r })
	}
	return replies
}

// Guards against an owner that writes nothing any more: more changes have become due at once than a value of the store takes, for
// instance the ends of all runs after a long outage of the store.
func TestMoreChangesThanAValueTakesAreWritten(t *testing.T) {
	engine := memstore.New()
	o := newTestOwner(t, engine)
	const jobCount = 400
	o.mu.Lock()
	replies := submitLargeJobs(o, jobCount)
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	_, err := o.commit(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, len(replies), qt.Equals, jobCount)

	recovery := logRecovery{jobLog: caslog.New(engine, "jobs", "successor"), attemptTimeout: time.Second}
	qt.Assert(t, recovery.attempt(t.Context()), qt.IsNil)
	qt.Check(t, recovery.state.Jobs, qt.HasLen, jobCount)
}

// Guards against an owner that calls a job unknown which its successor has accepted: once its store does not answer, it may have been
// replaced although its lease is still valid.
func TestOwnerThatMayBeReplacedCallsNoJobUnknown(t *testing.T) {
	o := newTestOwner(t, memstore.New())
	answer := func(handle func(*session.Request, func(session.Reply))) (replies []session.Reply) {
		o.mu.Lock()
		defer o.mu.Unlock()
		handle(&session.Request{JobID: "aaaaaaaaaaaaaaaa"}, func(r session.Reply) { replies = append(replies, r) })
		return replies
	}
	qt.Check(t, answer(o.getJob)[0].Code, qt.Equals, session.CodeUnknown)
	qt.Check(t, answer(o.cancelJob)[0].Code, qt.Equals, session.CodeUnknown)
	o.setAppendStart(boottime.Now() - 2*storeStallTimeout)
	qt.Assert(t, o.ownership.LeaseValid(), qt.IsTrue)
	qt.Check(t, answer(o.getJob)[0].Code, qt.Equals, session.CodeRejected)
	qt.Check(t, answer(o.cancelJob), qt.HasLen, 0)
}

// Guards against the same answer after the store has answered again: a candidate that was told of the silence may have taken the key
// while the last write was under way, which the owner learns from its next renewal.
func TestOwnerWhoseStoreAnswersAgainCallsNoJobUnknown(t *testing.T) {
	st := memstore.New()
	o := newTestOwner(t, st)
	o.setAppendStart(boottime.Now() - 2*storeStallTimeout)
	o.setAppendStart(0)
	successor := replaceOwner(t, st)
	accepted := submitTo(successor, "aaaaaaaaaaaaaaaa")
	qt.Assert(t, commitsNothing(t, successor), qt.IsFalse)
	qt.Assert(t, (<-accepted).Code, qt.Equals, session.CodeOK)

	qt.Assert(t, o.ownership.LeaseValid(), qt.IsTrue)
	var replies []session.Reply
	o.mu.Lock()
	o.getJob(&session.Request{JobID: "aaaaaaaaaaaaaaaa"}, func(r session.Reply) { replies = append(replies, r) })
	o.cancelJob(&session.Request{JobID: "aaaaaaaaaaaaaaaa"}, func(r session.Reply) { replies = append(replies, r) })
	o.mu.Unlock()
	qt.Assert(t, replies, qt.HasLen, 1)
	qt.Check(t, replies[0].Code, qt.Equals, session.CodeRejected)
}

// Guards against an owner that calls no job unknown any more after a short silence of its store.
func TestOwnerIsCurrentAgainAfterARenewal(t *testing.T) {
	o := newTestOwner(t, memstore.New())
	o.setAppendStart(boottime.Now() - 2*storeStallTimeout)
	o.setAppendStart(0)
	qt.Check(t, o.isCurrent(), qt.IsFalse)
	ctx, cancel := context.WithTimeout(t.Context(), election.LeaseTTL/2)
	defer cancel()
	qt.Assert(t, o.ownership.KeepAlive(ctx), qt.IsNil)
	qt.Check(t, o.isCurrent(), qt.IsTrue)
}

// Guards against a job that a replaced owner acknowledges although no successor knows it. The successor's snapshot frees the position
// of its fence, so it must wait until no lease of a predecessor can count as valid.
func TestReplacedOwnerWithValidLeaseAppendsNothingAtAFreedPosition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New()
		predecessor := newTestOwner(t, st)
		successor := replaceOwner(t, st)
		submitTo(successor, "aaaaaaaaaaaaaaaa")
		for !commitsNothing(t, successor) {
			synctest.Wait() // a snapshot is written in the background
		}

		qt.Assert(t, predecessor.ownership.LeaseValid(), qt.IsTrue)
		replies := submitTo(predecessor, "bbbbbbbbbbbbbbbb")
		_, err := predecessor.commit(t.Context())
		qt.Check(t, err, qt.ErrorIs, caslog.ErrConflict)
		qt.Check(t, replies, qt.HasLen, 0)

		successor.startedAt -= election.LeaseTTL
		submitTo(successor, "cccccccccccccccc")
		for !commitsNothing(t, successor) {
			synctest.Wait()
		}
		loaded, err := caslog.New(st, "jobs", "reader").Load(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, loaded.SnapshotSeq > 0, qt.IsTrue)
	})
}

// replaceOwner returns an owner that has taken the key from the owner of newTestOwner and writes a snapshot with each record.
func replaceOwner(t *testing.T, st store.Store) *Owner {
	o, err := recoverSuccessor(t, st, replaceKey(t, st))
	qt.Assert(t, err, qt.IsNil)
	return o
}

// replaceKey takes the key from the owner of newTestOwner.
func replaceKey(t *testing.T, st store.Store) *election.Ownership {
	key := election.NewKey(st, "owner", boottime.Now)
	_, revision, err := key.Read(t.Context())
	qt.Assert(t, err, qt.IsNil)
	ownership, err := key.Acquire(t.Context(), election.Owner{Name: "host-1", Incarnation: "host-1-1"}, revision)
	qt.Assert(t, err, qt.IsNil)
	return ownership
}

func recoverSuccessor(t *testing.T, st store.Store, ownership *election.Ownership) (*Owner, error) {
	return Recover(t.Context(), Config{Name: "host-1", Prefix: "jobs", Log: zerolog.Nop(), Metrics: telemetry.New(), Store: st,
		Network: network.TCP, Retention: time.Minute, MaxHold: 5 * time.Second, RecordsPerSnapshot: 1}, ownership, "host-1-1")
}

// removeKeyAndRenew removes the owner's key without ending its lease, and returns after the ownership has been renewed once.
func removeKeyAndRenew(t *testing.T, st store.Store, ownership *election.Ownership) {
	_, err := st.DeleteRange(t.Context(), "owner", "owner0")
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(t.Context(), election.LeaseTTL/4)
	defer cancel()
	qt.Assert(t, ownership.KeepAlive(ctx), qt.IsNil)
}

// Guards against a job that is acknowledged and lost, and against tasks that run twice: while a successor recovers, its key is removed,
// and the owner before it writes its key again and keeps a valid lease.
func TestSuccessorDoesNotServeBesideItsPredecessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &slowLogStore{Store: memstore.New()}
		predecessor := newTestOwner(t, st)
		successorship := replaceKey(t, st)
		duringRecovery := func(run func()) {
			st.onRead = func() { st.onRead = nil; run() }
		}
		duringRecovery(func() { removeKeyAndRenew(t, st, predecessor.ownership) })
		_, err := recoverSuccessor(t, st, successorship)
		qt.Assert(t, predecessor.ownership.LeaseValid(), qt.IsTrue)
		qt.Check(t, err, qt.ErrorIs, election.ErrTaken)

		var keyRemovedAgain time.Duration
		duringRecovery(func() {
			keyRemovedAgain = boottime.Now()
			removeKeyAndRenew(t, st, successorship)
		})
		successor, err := recoverSuccessor(t, st, successorship)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, predecessor.ownership.LeaseValid(), qt.IsTrue)
		qt.Check(t, successor.startedAt > keyRemovedAgain, qt.IsTrue) // the predecessor may have renewed its lease until then
	})
}

// commitsNothing makes the owner commit its pending changes, and reports whether there were none.
func commitsNothing(t *testing.T, o *Owner) bool {
	committed, err := o.commit(t.Context())
	qt.Assert(t, err, qt.IsNil)
	return !committed
}

// Guards against an owner that comes back although a successor has served since: the owner finds no key, because the successor has
// stopped, and writes the key again. Its records would take the positions that the successor's snapshot has freed.
func TestOwnerThatWasReplacedDoesNotWriteItsKeyAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New()
		predecessor := newTestOwner(t, st)
		successor := replaceOwner(t, st)
		successor.startedAt -= election.LeaseTTL
		submitTo(successor, "aaaaaaaaaaaaaaaa")
		for !commitsNothing(t, successor) {
			synctest.Wait()
		}
		qt.Assert(t, successor.ownership.Resign(t.Context()), qt.IsNil)

		ctx, cancel := context.WithTimeout(t.Context(), 3*election.LeaseTTL)
		defer cancel()
		qt.Check(t, predecessor.ownership.KeepAlive(ctx), qt.ErrorIs, election.ErrTaken)
	})
}

// Guards against a cancellation that is acknowledged although the job runs. The cancellation of a submission that was rejected says
// nothing about a repeated submission of the same job.
func TestCancellationOfARejectedSubmissionIsNotAcknowledged(t *testing.T) {
	st := &gatedStore{Store: memstore.New()}
	o := newTestOwner(t, st)
	st.gate = make(chan struct{})

	submitTo(o, "aaaaaaaaaaaaaaaa")
	firstCommit := startCommit(t, o)
	rejected, cancelled := submitTo(o, "bbbbbbbbbbbbbbbb"), make(chan session.Reply, 1)
	o.mu.Lock()
	o.cancelJob(&session.Request{Verb: session.VerbCancel, JobID: "bbbbbbbbbbbbbbbb"}, func(r session.Reply) { cancelled <- r })
	o.rejectUncommitted()
	o.mu.Unlock()
	qt.Assert(t, (<-rejected).Code, qt.Equals, session.CodeRejected)
	repeated := submitTo(o, "bbbbbbbbbbbbbbbb")
	st.gate <- struct{}{}
	<-firstCommit
	secondCommit := startCommit(t, o)
	st.gate <- struct{}{}
	<-secondCommit

	accepted := <-repeated
	qt.Check(t, accepted.Code, qt.Equals, session.CodeOK)
	qt.Check(t, accepted.State, qt.Not(qt.Equals), jobs.Cancelled)
	qt.Check(t, (<-cancelled).Code, qt.Equals, session.CodeRejected)
}

// Guards against changes of which a successor knows a later one and not an earlier one, or which are acknowledged although they were
// cut off: the successor takes over while the changes of its predecessor are written as several records.
func TestTakeoverBetweenRecordsOfOneCommitKeepsThePrefix(t *testing.T) {
	st := &gatedStore{Store: memstore.New()}
	o := newTestOwner(t, st)
	st.gate = make(chan struct{})
	const jobCount = 400
	o.mu.Lock()
	acknowledged := submitLargeJobs(o, jobCount)
	o.cancelJob(&session.Request{JobID: fmt.Sprintf("%016x", jobCount-1)}, func(r session.Reply) { acknowledged <- r })
	o.mu.Unlock()
	committed := make(chan error, 1)
	go func() {
		_, err := o.commit(context.Background())
		committed <- err
	}()
	st.gate <- struct{}{} // the first record
	log := caslog.New(st.Store, "jobs", "reader")
	for records, err := log.Read(t.Context(), 2); len(records) == 0; records, err = log.Read(t.Context(), 2) {
		qt.Assert(t, err, qt.IsNil)
	}

	successor := replaceOwner(t, st.Store)
	known := len(successor.jobsState.Jobs)
	qt.Check(t, known > 0 && known < jobCount, qt.IsTrue, qt.Commentf("%d jobs", known))
	for i := range known {
		job := successor.jobsState.Jobs[fmt.Sprintf("%016x", i)]
		qt.Assert(t, job, qt.IsNotNil, qt.Commentf("job %d of %d", i, known))
		qt.Check(t, job.Ended(), qt.IsFalse)
	}
	var commitErr error
	select {
	case st.gate <- struct{}{}: // the second record
		commitErr = <-committed
	case commitErr = <-committed: // its first attempt has timed out, and the next one has found the fence
	}
	qt.Check(t, commitErr, qt.ErrorIs, caslog.ErrConflict)
	qt.Check(t, acknowledged, qt.HasLen, 0)
}

// Guards against a snapshot that frees positions while the lease of another owner may count as valid: that owner has held the key for
// a part of this owner's term, which began longer ago than a lease.
func TestNoSnapshotSoonAfterTheKeyWasWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now().Add(-time.Hour)
		bootClock := boottime.SetClock(func() time.Duration { return time.Since(start) })
		defer func() { boottime.SetClock(bootClock) }()
		st := memstore.New()
		o := newTestOwner(t, st)
		o.startedAt -= 2 * election.LeaseTTL // a long recovery
		_, err := st.DeleteRange(t.Context(), "owner", "owner\x00")
		qt.Assert(t, err, qt.IsNil)
		ctx, cancel := context.WithTimeout(t.Context(), election.LeaseTTL/2)
		defer cancel()
		qt.Assert(t, o.ownership.KeepAlive(ctx), qt.IsNil) // writes the key again
		qt.Assert(t, o.ownership.LeaseValid(), qt.IsTrue)
		qt.Check(t, o.maySnapshot(), qt.IsFalse)
		time.Sleep(election.LeaseTTL)
		qt.Check(t, o.maySnapshot(), qt.IsTrue)
	})
}
