package election

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/boottime"
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
