package jobowner

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/boottime"
	"bamboofork/internal/store"
	"bamboofork/internal/store/memstore"
)

// silentStore never answers the calls that begin before a time.
type silentStore struct {
	store.Store
	until atomic.Pointer[time.Time]
}

// await returns nil if the call may be made, or the error of a call without an answer.
func (s *silentStore) await(ctx context.Context, failure error) error {
	if until := s.until.Load(); until == nil || time.Now().After(*until) {
		return nil
	}
	<-ctx.Done()
	return failure
}

func (s *silentStore) Get(ctx context.Context, key string) (store.KV, error) {
	if err := s.await(ctx, store.ErrUnavailable); err != nil {
		return store.KV{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *silentStore) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, lease store.LeaseID) (store.CASResult, error) {
	if err := s.await(ctx, store.ErrUncertain); err != nil {
		return store.CASResult{}, err
	}
	return s.Store.CompareAndSwap(ctx, key, expect, value, lease)
}

func (s *silentStore) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	if err := s.await(ctx, store.ErrUncertain); err != nil {
		return 0, err
	}
	return s.Store.KeepAlive(ctx, id)
}

func (s *silentStore) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := s.await(ctx, store.ErrUncertain); err != nil {
		return 0, err
	}
	return s.Store.GrantLease(ctx, ttl)
}

// Guards against an owner that is replaced although it lives, because it waits for a call that the store will never answer while the
// candidates are served again: they replace an owner that has not reached the store within storeRecoveryGrace.
func TestRecordIsWrittenSoonAfterASilenceOfTheStore(t *testing.T) {
	for silence := 1500 * time.Millisecond; silence < 6*time.Second; silence += 150 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now().Add(-time.Hour)
			bootClock := boottime.SetClock(func() time.Duration { return time.Since(start) })
			defer func() { boottime.SetClock(bootClock) }()
			st := &silentStore{Store: memstore.New()}
			o := newTestOwner(t, st)
			ctx, cancel := context.WithCancel(t.Context())
			renewed := make(chan error, 1)
			go func() { renewed <- o.ownership.KeepAlive(ctx) }()
			time.Sleep(time.Second)
			until := time.Now().Add(silence)
			st.until.Store(&until)
			o.apply(submitChange("aaaaaaaaaaaaaaaa"))
			mustCommit(t, o)
			qt.Check(t, time.Since(until) < storeRecoveryGrace, qt.IsTrue, qt.Commentf("after a silence of %s: %s", silence, time.Since(until)))
			cancel()
			qt.Check(t, <-renewed, qt.IsNil)
		})
	}
}
