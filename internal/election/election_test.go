package election

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/boottime"
	"bamboofork/internal/store"
	"bamboofork/internal/store/memstore"
)

// Guards against an owner that keeps confirming holds of workers after its key was overwritten. A candidate that takes over from
// an owner without store access overwrites the key; the lease of the replaced owner stays alive and can still be renewed.
func TestReplacedOwnerWithLiveLeaseLosesItsPermission(t *testing.T) {
	st := memstore.New()
	key := NewKey(st, "owner", boottime.Now)
	replaced, err := key.Acquire(t.Context(), Owner{Name: "a", Incarnation: "a-1"}, 0)
	qt.Assert(t, err, qt.IsNil)
	_, revision, err := key.Read(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, replaced.renew(t.Context()), qt.IsNil)

	_, err = key.Acquire(t.Context(), Owner{Name: "b", Incarnation: "b-1"}, revision)
	qt.Assert(t, err, qt.IsNil)
	validUntil := replaced.validUntil
	qt.Check(t, replaced.renew(t.Context()), qt.ErrorIs, ErrTaken)
	qt.Check(t, replaced.validUntil, qt.Equals, validUntil) // not extended
}

// Guards against a process that was suspended and acts on a lease that has expired meanwhile. The clock includes the suspension.
func TestLeaseIsInvalidAfterSuspension(t *testing.T) {
	now := time.Hour
	key := NewKey(memstore.New(), "owner", func() time.Duration { return now })
	ownership, err := key.Acquire(t.Context(), Owner{Name: "a", Incarnation: "a-1"}, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, ownership.LeaseValid(), qt.IsTrue)
	now += LeaseTTL
	qt.Check(t, ownership.LeaseValid(), qt.IsFalse)
}

// hookedStore calls the hooks, if set, right after the store has processed a read and right before it processes a write.
type hookedStore struct {
	store.Store
	afterGet, beforeSwap func()
}

// Get implements store.Store.
func (s *hookedStore) Get(ctx context.Context, key string) (store.KV, error) {
	kv, err := s.Store.Get(ctx, key)
	if s.afterGet != nil {
		s.afterGet()
	}
	return kv, err
}

// CompareAndSwap implements store.Store.
func (s *hookedStore) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, lease store.LeaseID) (store.CASResult, error) {
	if s.beforeSwap != nil {
		s.beforeSwap()
	}
	return s.Store.CompareAndSwap(ctx, key, expect, value, lease)
}

// Guards against an owner that resigns in a graceful shutdown and is made the owner again by its own renewal, which still runs: its
// lease must stay invalid and the key absent, so that the successor need not wait for the end of a process that is gone.
func TestRenewalDoesNotUndoResignation(t *testing.T) {
	for name, setUp := range map[string]func(st *hookedStore, resign func(), endLease func()){
		"renewal after the resignation":  func(_ *hookedStore, resign, _ func()) { resign() },
		"resignation during a renewal":   func(st *hookedStore, resign, _ func()) { st.afterGet = resign },
		"resignation while reacquiring":  func(st *hookedStore, resign, endLease func()) { endLease(); st.afterGet = resign },
		"resignation during the new key": func(st *hookedStore, resign, endLease func()) { endLease(); st.beforeSwap = resign },
	} {
		t.Run(name, func(t *testing.T) {
			st := &hookedStore{Store: memstore.New()}
			key := NewKey(st, "owner", boottime.Now)
			ownership, err := key.Acquire(t.Context(), Owner{Name: "a", Incarnation: "a-1"}, 0)
			qt.Assert(t, err, qt.IsNil)
			resign := func() { qt.Check(t, ownership.Resign(t.Context()), qt.IsNil) }
			endLease := func() { qt.Assert(t, st.RevokeLease(t.Context(), ownership.leaseID), qt.IsNil) }
			setUp(st, resign, endLease)
			_ = ownership.renew(t.Context())
			st.afterGet, st.beforeSwap = nil, nil
			_ = ownership.renew(t.Context())
			qt.Check(t, ownership.LeaseValid(), qt.IsFalse)
			_, revision, err := key.Read(t.Context())
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, revision, qt.Equals, int64(0))
		})
	}
}

// ownershipWithoutKey returns an ownership whose lease counts as expired. The store has removed its key, but not its lease.
func ownershipWithoutKey(t *testing.T) (*Key, *Ownership) {
	now := time.Hour
	st := memstore.New()
	key := NewKey(st, "owner", func() time.Duration { return now })
	ownership, err := key.Acquire(t.Context(), Owner{Name: "a", Incarnation: "a-1"}, 0)
	qt.Assert(t, err, qt.IsNil)
	_, err = st.DeleteRange(t.Context(), "owner", "owner\x00")
	qt.Assert(t, err, qt.IsNil)
	now += LeaseTTL
	return key, ownership
}

// Guards against an owner that counts its lease as valid although it could not find out whether another owner has served since: the
// store removed the key and not the lease, the check after the key was written again failed, and the next renewal skipped it.
func TestRenewalAfterAFailedCheckDoesNotSkipTheCheck(t *testing.T) {
	key, ownership := ownershipWithoutKey(t)
	checkErr := store.ErrUncertain
	ownership.ConfirmUnreplaced(func(context.Context) error { return checkErr })

	qt.Check(t, ownership.renew(t.Context()), qt.ErrorIs, store.ErrUncertain)
	qt.Check(t, ownership.renew(t.Context()), qt.ErrorIs, store.ErrUncertain)
	qt.Check(t, ownership.LeaseValid(), qt.IsFalse)

	checkErr = ErrTaken
	qt.Check(t, ownership.renew(t.Context()), qt.ErrorIs, ErrTaken)
	qt.Check(t, ownership.LeaseValid(), qt.IsFalse)
	_, revision, err := key.Read(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, revision, qt.Equals, int64(0), qt.Commentf("the key stays for a process that is not the owner"))
}

// silentStore executes writes and loses the responses, also those of reads, after the first write.
type silentStore struct {
	store.Store
	lost bool
}

// CompareAndSwap implements store.Store.
func (s *silentStore) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, lease store.LeaseID) (store.CASResult, error) {
	_, err := s.Store.CompareAndSwap(ctx, key, expect, value, lease)
	s.lost = true
	return store.CASResult{}, errors.Join(err, store.ErrUncertain)
}

// Get implements store.Store.
func (s *silentStore) Get(ctx context.Context, key string) (store.KV, error) {
	if s.lost {
		return store.KV{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

// Guards against the same omission of the check after a write of the key whose response was lost.
func TestRenewalAfterALostKeyWriteDoesNotSkipTheCheck(t *testing.T) {
	key, ownership := ownershipWithoutKey(t)
	ownership.ConfirmUnreplaced(func(context.Context) error { return ErrTaken })
	st := key.store

	key.store = &silentStore{Store: st}
	qt.Check(t, ownership.renew(t.Context()), qt.ErrorIs, store.ErrUnavailable)
	key.store = st
	qt.Check(t, ownership.renew(t.Context()), qt.ErrorIs, ErrTaken)
	qt.Check(t, ownership.LeaseValid(), qt.IsFalse)
}
