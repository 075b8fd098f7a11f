package jobowner

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

	"bamboofork/internal/boottime"
	"bamboofork/internal/caslog"
	"bamboofork/internal/election"
	"bamboofork/internal/jobs"
	"bamboofork/internal/network"
	"bamboofork/internal/ownerconn"
	"bamboofork/internal/store"
	"bamboofork/internal/store/memstore"
	"bamboofork/internal/telemetry"
)

// slowLogStore delays the reads of the log and calls onRead before each of them.
type slowLogStore struct {
	store.Store
	delay  time.Duration
	onRead func()
	reads  atomic.Int64
}

func (s *slowLogStore) List(ctx context.Context, from, to string, limit int) ([]store.KV, int64, error) {
	if strings.Contains(from, "/log/") {
		s.reads.Add(1)
		select {
		case <-time.After(s.delay):
		case <-ctx.Done():
			return nil, 0, store.ErrUnavailable
		}
	}
	kvs, revision, err := s.Store.List(ctx, from, to, limit)
	if strings.Contains(from, "/log/") && s.onRead != nil {
		s.onRead()
	}
	return kvs, revision, err
}

// Guards against ownership that changes without an end. The recovery of a large log on a host with little CPU time takes longer
// than the lease; the term is nevertheless kept, and the other candidates do not take over.
func TestRecoveryLongerThanTheLeaseKeepsOwnership(t *testing.T) {
	engine := memstore.New()
	st := &slowLogStore{Store: engine, delay: election.LeaseTTL + 1200*time.Millisecond}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	candidate := &Candidate{
		Config: Config{Name: "host-0", Prefix: "jobs", Log: zerolog.Nop(), Metrics: telemetry.New(), Store: st, Network: network.TCP, Retention: time.Minute},
		Key:    election.NewKey(st, "owner", boottime.Now), Self: election.Owner{Name: "host-0", Incarnation: "host-0-1"},
		Follower: &ownerconn.Follower{},
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		candidate.Run(ctx)
	}()
	key := election.NewKey(engine, "owner", boottime.Now)
	held := false
	for end := time.Now().Add(st.delay + time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		owner, _, err := key.Read(ctx)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, !held || owner.Name == "host-0", qt.IsTrue, qt.Commentf("the key was lost during recovery"))
		held = held || owner.Name == "host-0"
	}
	qt.Check(t, held, qt.IsTrue)
	fence, err := engine.Get(ctx, "jobs/log/0000000000000001")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, fence.ModRevision != 0, qt.IsTrue, qt.Commentf("the recovery has not fenced the log"))
	cancel()
	<-done
}

// appendChange appends a record with one change, as the previous owner does.
func appendChange(t *testing.T, log *caslog.Log, seq int64, change jobs.Change) {
	data, err := json.Marshal([]jobs.Change{change})
	qt.Assert(t, err, qt.IsNil)
	_, err = log.Append(t.Context(), caslog.Record{Seq: seq, Data: data})
	qt.Assert(t, err, qt.IsNil)
}

func submitChange(id string) jobs.Change {
	return jobs.Change{Submit: &jobs.Job{ID: id, Spec: jobs.Spec{Steps: []jobs.Step{{Count: 1}}}}}
}

// Guards against a recovery that starts over for each record of an owner that still writes, and against records that are missed.
func TestRecoveryContinuesWithRecordsOfThePreviousOwner(t *testing.T) {
	engine := memstore.New()
	previous := caslog.New(engine, "jobs", "previous")
	for seq := range int64(10) {
		appendChange(t, previous, seq+1, submitChange(string(rune('a'+seq))))
	}
	nextSeq := int64(11)
	st := &slowLogStore{Store: engine}
	st.onRead = func() {
		if nextSeq <= 13 {
			appendChange(t, previous, nextSeq, submitChange(string(rune('a'+nextSeq-1))))
			nextSeq++
		}
	}
	recovery := logRecovery{jobLog: caslog.New(st, "jobs", "successor"), attemptTimeout: time.Second}
	attempts := 0
	for recovery.attempt(t.Context()) != nil {
		attempts++
		qt.Assert(t, attempts < 10, qt.IsTrue)
	}
	qt.Check(t, recovery.state.Jobs, qt.HasLen, 13)
	qt.Check(t, recovery.fence.Seq, qt.Equals, int64(14))
}

// Guards against a fence at a position that a snapshot of the previous owner has freed in the meantime. Such a fence stops nobody,
// and the successor would serve a state without the newest records.
func TestFenceAtACompactedPositionIsNotAccepted(t *testing.T) {
	engine := memstore.New()
	previous := caslog.New(engine, "jobs", "previous")
	appendChange(t, previous, 1, submitChange("a"))
	st := &slowLogStore{Store: engine}
	st.onRead = func() {
		st.onRead = nil
		appendChange(t, previous, 2, submitChange("b"))
		state := jobs.NewState()
		state.Apply(submitChange("a"))
		state.Apply(submitChange("b"))
		data, err := state.Encode()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, previous.Snapshot(t.Context(), 2, 0, data, 3), qt.IsNil)
	}
	recovery := logRecovery{jobLog: caslog.New(st, "jobs", "successor"), attemptTimeout: time.Second}
	qt.Assert(t, recovery.attempt(t.Context()), qt.ErrorIs, caslog.ErrConflict)
	qt.Assert(t, recovery.attempt(t.Context()), qt.IsNil)
	qt.Check(t, recovery.state.Jobs, qt.HasLen, 2)
	qt.Check(t, recovery.fence.Seq, qt.Equals, int64(3))
}

// lossyLogStore does not answer the first writes of the log, which take effect.
type lossyLogStore struct {
	store.Store
	unanswered atomic.Int64
}

func (s *lossyLogStore) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, lease store.LeaseID) (store.CASResult, error) {
	res, err := s.Store.CompareAndSwap(ctx, key, expect, value, lease)
	if strings.Contains(key, "/log/") && s.unanswered.Add(-1) >= 0 {
		<-ctx.Done()
		return store.CASResult{}, store.ErrUncertain
	}
	return res, err
}

// Guards against a takeover that takes as long as the whole log may take to be read, because the answer to the fence was lost.
func TestLostAnswerToTheFenceDelaysATakeoverBriefly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &lossyLogStore{Store: memstore.New()}
		st.unanswered.Store(2)
		recovery := logRecovery{jobLog: caslog.New(st, "jobs", "host-0-1"), attemptTimeout: bulkCallTimeout}
		start := time.Now()
		qt.Check(t, recovery.attempt(t.Context()), qt.IsNil)
		qt.Check(t, time.Since(start) < time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(start)))
	})
}
