// Package election elects the process that owns the jobs. The owner's key in the store is attached to a lease; a
// candidate writes the key when it is absent or when the owner named in it is known to be dead. Ownership is advisory and
// only selects the process that should act; writes are fenced by the job log.
package election

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"bamboofork/internal/store"
)

const (
	// LeaseTTL bounds how long an unresponsive owner keeps the key. A shorter lease would expire during brief store stalls.
	LeaseTTL = 1600 * time.Millisecond
	// renewInterval allows four renewal attempts within a lease.
	renewInterval = 350 * time.Millisecond
	// callTimeout bounds one call to the store, which responds in 4 ms, or in up to 250 ms when it is slow.
	callTimeout = 600 * time.Millisecond
	// driftMargin is the fraction of the lease by which the owner stops early, before the lease expires on the store's clock.
	driftMargin = 0.1
)

// ErrTaken: another process is the owner.
var ErrTaken = errors.New("another process is the owner")

// Owner identifies the owning process. It is the JSON value of the owner's key.
type Owner struct {
	Name        string `json:"name"`
	Addr        string `json:"addr"`
	Incarnation string `json:"incarnation"`
}

// Key is a handle on the owner's key in the store.
type Key struct {
	store store.Store
	name  string
	clock func() time.Duration // monotonic, includes the time that the host is suspended
}

// NewKey returns a handle on the owner's key with the given name. The clock must include the time of suspension.
func NewKey(st store.Store, name string, clock func() time.Duration) *Key {
	return &Key{store: st, name: name, clock: clock}
}

// Read returns the owner and the revision of its key; revision 0 means that there is no owner.
func (k *Key) Read(ctx context.Context) (Owner, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kv, err := k.store.Get(ctx, k.name)
	if err != nil || kv.ModRevision == 0 {
		return Owner{}, 0, err
	}
	var o Owner
	if err := json.Unmarshal(kv.Value, &o); err != nil {
		return Owner{}, kv.ModRevision, nil // an undecodable owner can be replaced like a dead one
	}
	return o, kv.ModRevision, nil
}

// Ownership is a process's ownership of the jobs, held by a lease. mu guards the fields below it.
type Ownership struct {
	key  *Key
	self Owner

	mu         sync.Mutex
	lease      store.LeaseID
	rev        int64
	validUntil time.Duration
}

// Acquire makes self the owner if the key still has the revision. It returns ErrTaken if the key has changed.
func (k *Key) Acquire(ctx context.Context, self Owner, revision int64) (*Ownership, error) {
	o := &Ownership{key: k, self: self}
	return o, o.acquire(ctx, revision)
}

func (o *Ownership) acquire(ctx context.Context, revision int64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := o.key.clock()
	lease, err := o.key.store.GrantLease(ctx, LeaseTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(o.self)
	if err != nil {
		return eris.Wrap(err, "encode owner")
	}
	res, err := o.key.store.CompareAndSwap(ctx, o.key.name, revision, value, lease)
	if errors.Is(err, store.ErrUncertain) {
		return o.resolve(ctx, lease, sentAt)
	}
	if err != nil {
		return err
	}
	if !res.Swapped {
		return ErrTaken
	}
	o.setLease(lease, res.Current.ModRevision, sentAt)
	return nil
}

// resolve reads the key after a lost response and recognizes this process's write by the lease.
func (o *Ownership) resolve(ctx context.Context, lease store.LeaseID, sentAt time.Duration) error {
	kv, err := o.key.store.Get(ctx, o.key.name)
	if err != nil {
		return err
	}
	if kv.ModRevision == 0 || kv.Lease != lease {
		return ErrTaken
	}
	o.setLease(lease, kv.ModRevision, sentAt)
	return nil
}

func (o *Ownership) setLease(lease store.LeaseID, rev int64, sentAt time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lease, o.rev = lease, rev
	o.validUntil = sentAt + time.Duration(float64(LeaseTTL)*(1-driftMargin))
}

// LeaseValid reports whether the lease is still valid on a clock that includes the time of suspension.
func (o *Ownership) LeaseValid() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.key.clock() < o.validUntil
}

// KeepAlive renews the lease until ctx is done. It returns ErrTaken when another process has become the owner.
func (o *Ownership) KeepAlive(ctx context.Context) error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if err := o.renew(ctx); errors.Is(err, ErrTaken) {
			return err
		}
	}
}

func (o *Ownership) renew(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o.mu.Lock()
	lease := o.lease
	o.mu.Unlock()
	sentAt := o.key.clock()
	_, err := o.key.store.KeepAlive(callCtx, lease)
	if errors.Is(err, store.ErrLeaseNotFound) {
		return o.reacquire(ctx)
	}
	if err != nil {
		return err
	}
	wasValid := o.LeaseValid()
	o.mu.Lock()
	rev := o.rev
	o.mu.Unlock()
	o.setLease(lease, rev, sentAt)
	if !wasValid {
		return o.verifyOwner(ctx)
	}
	return nil
}

// verifyOwner reads the key after the lease was not confirmed for a time: the store may have removed the key without
// ending the lease.
func (o *Ownership) verifyOwner(ctx context.Context) error {
	owner, rev, err := o.key.Read(ctx)
	if err != nil {
		return err
	}
	if rev == 0 {
		return o.acquire(ctx, 0)
	}
	if owner.Incarnation != o.self.Incarnation {
		return ErrTaken
	}
	return nil
}

// reacquire writes the key with a new lease after the store has ended the old one, unless another process is the owner.
func (o *Ownership) reacquire(ctx context.Context) error {
	owner, rev, err := o.key.Read(ctx)
	if err != nil {
		return err
	}
	if rev != 0 && owner.Incarnation != o.self.Incarnation {
		return ErrTaken
	}
	return o.acquire(ctx, rev)
}

// Resign revokes the lease, which deletes the key, so that a successor need not wait for the lease to expire.
func (o *Ownership) Resign(ctx context.Context) error {
	o.mu.Lock()
	lease := o.lease
	o.validUntil = 0
	o.mu.Unlock()
	return o.key.store.RevokeLease(ctx, lease)
}
