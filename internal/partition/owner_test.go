package partition

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bamboofork/internal/caslog"
	"bamboofork/internal/lease"
	"bamboofork/internal/ledger"
	"bamboofork/internal/membership"
	"bamboofork/internal/store"
	"bamboofork/internal/store/memstore"
	"bamboofork/internal/wire"
	"bamboofork/internal/worker"
)

const testHold = 10 * time.Second

// ownerHarness runs one owner on a store with fault injection.
type ownerHarness struct {
	engine       *memstore.Engine
	store        *memstore.Faulty
	rejectWrites atomic.Bool // the store rejects appends but still renews the lease
	keeper       *lease.Keeper
	owner        *Owner
	stop         func()
}

// rejectingStore is a store that rejects writes while on is set.
type rejectingStore struct {
	store.Store
	on *atomic.Bool
}

func (s rejectingStore) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, id store.LeaseID) (store.CASResult, error) {
	if s.on.Load() {
		return store.CASResult{}, store.ErrRateLimited
	}
	return s.Store.CompareAndSwap(ctx, key, expect, value, id)
}

// newOwnerHarness recovers partition 0 as the given log writer and runs its owner without a placer.
func newOwnerHarness(c *qt.C, engine *memstore.Engine, writer string) *ownerHarness {
	r := &ownerHarness{engine: engine, store: memstore.NewFaulty(engine, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	leaseCtx, cancelLease := context.WithCancel(context.Background())
	r.keeper = lease.NewKeeper(r.store, 3*time.Second, zerolog.Nop())
	done := make(chan struct{})
	go func() { defer close(done); _ = r.keeper.Run(leaseCtx) }()
	time.Sleep(10 * time.Millisecond)
	id, _, ok := r.keeper.Current()
	c.Assert(ok, qt.IsTrue)
	cfg := OwnerConfig{OutageHold: 30 * time.Second, Retention: time.Hour, AppendsPerSecond: 100}
	o, err := Recover(ctx, cfg, caslog.New(rejectingStore{r.store, &r.rejectWrites}, LogPrefix(0), writer), r.keeper, id, zerolog.Nop())
	c.Assert(err, qt.IsNil)
	r.owner = o
	ended := make(chan struct{})
	go func() { defer close(ended); _ = o.run(ctx) }()
	r.stop = func() { // the lease outlives the owner, so that the owner can append its release
		cancel()
		<-ended
		cancelLease()
		<-done
	}
	return r
}

func commitPlacedJob(c *qt.C, o *Owner, id string) worker.Ref {
	job := ledger.Job{ID: id, Idempotent: true, Hold: testHold, Tasks: []ledger.Task{{State: ledger.TaskPending}}}
	c.Assert(o.Commit(context.Background(), ledger.Op{Kind: ledger.OpSubmit, Job: &job}), qt.IsNil)
	ref := ledger.TaskRef(id, 0, 1)
	c.Assert(o.Commit(context.Background(), ledger.Op{Kind: ledger.OpPlace, Ref: &ref, Agent: "a", AgentInc: 1}), qt.IsNil)
	return ref
}

func sendReport(o *Owner, ref worker.Ref, state worker.State) wire.ReportReply {
	var reply wire.ReportReply
	o.processReport(wire.ReportArgs{Agent: "a", Incarnation: 1, Tasks: []wire.TaskReport{{Ref: ref, State: state}}}, &reply)
	return reply
}

// TestEndIsNotForgottenBeforeItIsDurable guards against losing a finished task: the reply to a repeated report must not
// rely on an end that is applied but not yet in the store.
func TestEndIsNotForgottenBeforeItIsDurable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := newOwnerHarness(c, memstore.New(), "w1")
		defer r.stop()
		ref := commitPlacedJob(c, r.owner, "00-j")
		r.rejectWrites.Store(true)
		replies := make(chan wire.ReportReply, 5)
		for range cap(replies) { // concurrently, so that they share a group
			go func() { replies <- sendReport(r.owner, ref, worker.StateDone) }()
		}
		for range cap(replies) {
			c.Check((<-replies).Forget, qt.HasLen, 0)
		}
		c.Assert(r.owner.mayDecide(), qt.IsTrue)
		r.rejectWrites.Store(false)
		c.Assert(sendReport(r.owner, ref, worker.StateDone).Forget, qt.HasLen, 1)
		state, err := LoadState(context.Background(), caslog.New(r.engine, LogPrefix(0), "check"))
		c.Assert(err, qt.IsNil)
		c.Assert(state.Jobs["00-j"].Tasks[0].State, qt.Equals, ledger.TaskDone)
	})
}

// TestHoldsAreRenewedDuringStoreOutage guards against running tasks that are stopped by a store outage. Their holds are
// renewed until the outage hold expires, and the owner makes no other decision.
func TestHoldsAreRenewedDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := newOwnerHarness(c, memstore.New(), "w1")
		defer r.stop()
		ref := commitPlacedJob(c, r.owner, "00-j")
		r.store.SetFaults(memstore.Faults{Down: true})
		time.Sleep(20 * time.Second)
		reply := sendReport(r.owner, ref, worker.StateRunning)
		c.Assert(reply.Hold, qt.DeepEquals, []worker.Ref{ref})
		c.Assert(reply.For, qt.Equals, testHold)
		c.Assert(r.owner.Commit(context.Background(), ledger.Op{Kind: ledger.OpCancel, JobID: "00-j"}), qt.ErrorIs, ErrStoreUnavailable)
		time.Sleep(20 * time.Second) // the lease of 3 s and the outage hold of 30 s have expired
		reply = sendReport(r.owner, ref, worker.StateRunning)
		c.Assert(reply.Hold, qt.HasLen, 0)
		c.Assert(reply.Stop, qt.HasLen, 0)
	})
}

// TestReplacedOwnerGivesNoVerdict guards against decisions of a replaced owner that knows only earlier attempts. Such an owner
// must not tell an agent to stop or forget an attempt that the successor placed.
func TestReplacedOwnerGivesNoVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		engine := memstore.New()
		old := newOwnerHarness(c, engine, "w1")
		defer old.stop()
		ref := commitPlacedJob(c, old.owner, "00-j")
		old.store.SetFaults(memstore.Faults{Down: true}) // the old owner cannot reach the store, others can
		time.Sleep(5 * time.Second)
		next := newOwnerHarness(c, engine, "w2")
		defer next.stop()
		synctest.Wait()
		c.Assert(next.owner.epoch > old.owner.epoch, qt.IsTrue)
		c.Assert(next.owner.Commit(context.Background(), ledger.Op{Kind: ledger.OpLost, Ref: &ref}), qt.IsNil)
		second := ledger.TaskRef("00-j", 0, 2)
		c.Assert(next.owner.Commit(context.Background(), ledger.Op{Kind: ledger.OpPlace, Ref: &second, Agent: "a", AgentInc: 1}), qt.IsNil)
		for _, state := range []worker.State{worker.StateRunning, worker.StateDone} {
			reply := sendReport(old.owner, second, state)
			c.Assert(reply.Stop, qt.HasLen, 0)
			c.Assert(reply.Forget, qt.HasLen, 0)
		}
	})
}

// TestNewLeaseDoesNotRestoreOwnership guards against an owner that relies on a lease granted after its owner key was deleted.
func TestNewLeaseDoesNotRestoreOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := newOwnerHarness(c, memstore.New(), "w1")
		defer r.stop()
		c.Assert(r.engine.RevokeLease(context.Background(), r.owner.ownerKeyLease), qt.IsNil)
		time.Sleep(3 * time.Second)
		_, _, ok := r.keeper.Current()
		c.Assert(ok, qt.IsTrue) // the process has a new lease
		c.Assert(r.owner.ownership(), qt.Equals, ownershipLost)
		c.Assert(r.owner.Commit(context.Background(), ledger.Op{Kind: ledger.OpCancel, JobID: "x"}), qt.ErrorIs, ErrNotOwner)
	})
}

// TestLossYieldsToRenewedHold guards against a task that runs twice: a report renews the hold of an attempt after the hold has
// expired, and then the loss of the attempt is committed.
func TestLossYieldsToRenewedHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := newOwnerHarness(c, memstore.New(), "w1")
		defer r.stop()
		ref := commitPlacedJob(c, r.owner, "00-j")
		time.Sleep(testHold + time.Second)
		c.Assert(r.owner.expiredHolds(time.Now()), qt.DeepEquals, []worker.Ref{ref})
		c.Assert(sendReport(r.owner, ref, worker.StateRunning).Hold, qt.HasLen, 1)
		op := ledger.Op{Kind: ledger.OpLost, Ref: &ref}
		err := r.owner.commitIf(context.Background(), func() error { return r.owner.checkExpired(ref) }, op)
		c.Assert(err, qt.ErrorIs, ledger.ErrStale)
	})
}

// TestRollbackKeepsHold guards against a task that stays placed forever. If the end of an attempt is rolled back, its hold must
// be kept, because only the expiry of the hold marks the task as lost.
func TestRollbackKeepsHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := newOwnerHarness(c, memstore.New(), "w1")
		defer r.stop()
		ref := commitPlacedJob(c, r.owner, "00-j")
		r.store.SetFaults(memstore.Faults{Down: true})
		done := make(chan wire.ReportReply, 1)
		go func() { done <- sendReport(r.owner, ref, worker.StateDone) }()
		for range 100 {
			time.Sleep(20 * time.Millisecond)
			r.owner.expiredHolds(time.Now())
		}
		<-done
		time.Sleep(testHold)
		c.Assert(r.owner.expiredHolds(time.Now()), qt.DeepEquals, []worker.Ref{ref})
	})
}

// TestReleaseStatesInheritedHolds guards against a release that omits longer holds inherited from an earlier owner.
func TestReleaseStatesInheritedHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		engine := memstore.New()
		first := newOwnerHarness(c, engine, "w1")
		ref := commitPlacedJob(c, first.owner, "00-j")
		first.store.SetFaults(memstore.Faults{Down: true})
		first.stop() // the release record cannot be written
		time.Sleep(5 * time.Second)
		second := newOwnerHarness(c, engine, "w2")
		second.stop()
		third := newOwnerHarness(c, engine, "w3")
		defer third.stop()
		synctest.Wait()
		left := time.Until(third.owner.holdExpiry[ref])
		c.Assert(left > 30*time.Second, qt.IsTrue, qt.Commentf("hold left: %v", left))
	})
}

// TestLateAppendAfterCompactionConflicts guards against an append that creates a key which a successor has removed by
// compaction.
func TestLateAppendAfterCompactionConflicts(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	engine := memstore.New()
	old, next := caslog.New(engine, "p", "w1"), caslog.New(engine, "p", "w2")
	for seq := int64(1); seq <= 3; seq++ {
		_, err := next.Append(ctx, caslog.Record{Seq: seq, Epoch: 2})
		c.Assert(err, qt.IsNil)
	}
	c.Assert(next.Snapshot(ctx, 3, 2, []byte("state"), 4), qt.IsNil)
	rec, err := old.Append(ctx, caslog.Record{Seq: 2, Epoch: 1})
	c.Assert(err, qt.IsNil) // the key was absent
	c.Assert(old.CheckNotCompacted(ctx, rec), qt.ErrorIs, caslog.ErrConflict)
	state, err := next.Load(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(state.Records, qt.HasLen, 0)
}

// TestRecordsAndSnapshotsRoundTrip guards the stored form. Compressed and plain records and compressed snapshots decode
// to the encoded value. A truncated snapshot gives an error.
func TestRecordsAndSnapshotsRoundTrip(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{1, 200} {
		data := recordData{}
		for i := range n {
			ref := ledger.TaskRef("00-j", i, 1)
			data.Ops = append(data.Ops, ledger.Op{Kind: ledger.OpPlace, Ref: &ref, Agent: "agent-1"})
		}
		value, err := encodeRecord(data)
		c.Assert(err, qt.IsNil)
		back, err := decodeRecord(value)
		c.Assert(err, qt.IsNil)
		c.Assert(back, qt.DeepEquals, data)
	}
	state := ledger.NewState()
	value, err := encodeSnapshot(snapshot{Epoch: 3, State: state})
	c.Assert(err, qt.IsNil)
	back, err := decodeSnapshot(value)
	c.Assert(err, qt.IsNil)
	c.Assert(back.Epoch, qt.Equals, int64(3))
	_, err = decodeSnapshot(value[:len(value)/2])
	c.Assert(err, qt.IsNotNil)
}

// TestPartitionIsOwnedAfterLostClaimResponse guards against a partition that stays without an owner after the response
// to a claim was lost.
func TestPartitionIsOwnedAfterLostClaimResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		faulty := memstore.NewFaulty(memstore.New(), 1)
		ctx, cancel := context.WithCancel(context.Background())
		keeper := lease.NewKeeper(faulty, 3*time.Second, zerolog.Nop())
		m := NewManager(Config{MemberID: "a", ProcessID: "a-1", Addr: "a", PartitionCount: 1, MaxPartitions: 1}, faulty, keeper, emptyView{}, nil, zerolog.Nop())
		done := make(chan struct{}, 2)
		go func() { _ = keeper.Run(ctx); done <- struct{}{} }()
		time.Sleep(10 * time.Millisecond)
		faulty.SetFaults(memstore.Faults{LoseAnswer: 1})
		go func() { _ = m.Run(ctx); done <- struct{}{} }()
		time.Sleep(4 * time.Second)
		owned := m.Owned()
		faulty.SetFaults(memstore.Faults{})
		cancel()
		<-done
		<-done
		c.Assert(owned, qt.DeepEquals, []int{0})
	})
}

// unreadableLogs is a store whose logs of partitions cannot be read.
type unreadableLogs struct{ store.Store }

func (s unreadableLogs) Get(ctx context.Context, key string) (store.KV, error) {
	if strings.HasPrefix(key, LogPrefix(0)) {
		return store.KV{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

// TestClaimedPartitionIsReleasedBeforeItsRecovery guards against a partition that stays without an owner while a stopping process keeps
// its lease for open requests, because the process claimed the partition and did not recover it.
func TestClaimedPartitionIsReleasedBeforeItsRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		engine := memstore.New()
		st := unreadableLogs{memstore.NewFaulty(engine, 1)}
		leaseCtx, endLease := context.WithCancel(context.Background())
		ctx, stop := context.WithCancel(context.Background())
		keeper := lease.NewKeeper(st, 3*time.Second, zerolog.Nop())
		m := NewManager(Config{MemberID: "a", ProcessID: "a-1", Addr: "a", PartitionCount: 1, MaxPartitions: 1}, st, keeper, emptyView{}, nil, zerolog.Nop())
		done := make(chan struct{}, 2)
		go func() { _ = keeper.Run(leaseCtx); done <- struct{}{} }()
		go func() { _ = m.Run(ctx); done <- struct{}{} }()
		record := func() (rec OwnerRecord) {
			kv, err := engine.Get(ctx, OwnerKey(0))
			c.Assert(err, qt.IsNil)
			if kv.ModRevision > 0 {
				c.Assert(json.Unmarshal(kv.Value, &rec), qt.IsNil)
			}
			return rec
		}
		time.Sleep(4 * time.Second)
		c.Check(record().ID, qt.Equals, "a-1")
		stop()
		<-done
		c.Check(record().Released, qt.IsTrue)
		endLease()
		<-done
	})
}

// TestPruneAfterRetention guards against unbounded growth of the state. It also guards against pruning before the retention has
// expired, and against pruning open claims.
func TestPruneAfterRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := newOwnerHarness(c, memstore.New(), "w1")
		defer r.stop()
		ctx := context.Background()
		ref := commitPlacedJob(c, r.owner, "00-j")
		c.Assert(sendReport(r.owner, ref, worker.StateDone).Forget, qt.HasLen, 1)
		for _, done := range []bool{true, false} {
			claim := ledger.Claim{Key: map[bool]string{true: "done", false: "open"}[done], At: time.Now(), Done: done}
			c.Assert(r.owner.Commit(ctx, ledger.Op{Kind: ledger.OpClaim, Claim: &claim}), qt.IsNil)
		}
		r.owner.prune(ctx, time.Now())
		time.Sleep(59 * time.Minute)
		r.owner.prune(ctx, time.Now())
		synctest.Wait()
		c.Assert(r.owner.state.Jobs, qt.HasLen, 1)
		time.Sleep(2 * time.Minute)
		r.owner.prune(ctx, time.Now())
		synctest.Wait()
		c.Assert(r.owner.state.Jobs, qt.HasLen, 0)
		c.Assert(r.owner.state.Claims, qt.HasLen, 1) // the open claim, whose request may have run
		c.Assert(r.owner.finishedSeenAt, qt.HasLen, 0)
	})
}

// TestAwaitJobEndsWithJobOrTimeLimit guards long polls: a waiter wakes when the job ends, or else after its time limit.
func TestAwaitJobEndsWithJobOrTimeLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := newOwnerHarness(c, memstore.New(), "w1")
		defer r.stop()
		ref := commitPlacedJob(c, r.owner, "00-j")
		started := time.Now()
		r.owner.awaitJob("00-j", time.Second)
		c.Assert(time.Since(started), qt.Equals, time.Second)
		go func() {
			time.Sleep(3 * time.Second)
			sendReport(r.owner, ref, worker.StateDone)
		}()
		r.owner.awaitJob("00-j", MaxWait)
		c.Assert(time.Since(started) < 6*time.Second, qt.IsTrue)
		synctest.Wait()
		c.Assert(r.owner.waitingCalls, qt.Equals, 0)
		c.Assert(r.owner.waiters, qt.HasLen, 0)
	})
}

// TestJobFailingOnManyWorkersIsNotRetried guards against endless retries of a task that fails on every worker.
func TestJobFailingOnManyWorkersIsNotRetried(t *testing.T) {
	c := qt.New(t)
	job := &ledger.Job{ID: "j", Idempotent: true}
	task := &ledger.Task{Failures: 2, FailedOn: []string{"a", "b"}}
	op := ledger.Op{State: ledger.TaskFailed}
	decideRetry(&op, job, task, "b", "exit 1")
	c.Assert(op.State, qt.Equals, ledger.TaskPending)
	op = ledger.Op{State: ledger.TaskFailed}
	decideRetry(&op, job, task, "c", "exit 1")
	c.Assert(op.State, qt.Equals, ledger.TaskFailed)
	c.Assert(op.Reason, qt.Equals, "failed on 3 workers, so the job is at fault: exit 1")
}

// emptyView is a membership view without other processes.
type emptyView struct{}

func (emptyView) Members() []membership.Status               { return nil }
func (emptyView) Lookup(id string) (membership.Status, bool) { return membership.Status{}, false }
