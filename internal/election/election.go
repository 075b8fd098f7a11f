// Package election elects the process that owns the jobs. The owner's key in the store is attached to a lease; a
// candidate writes the key when it is absent or when the owner named in it is known to be dead. Ownership only selects the
// process that should act; writes are fenced by the job log. What an owner does without a write, such as extending the holds
// of workers, depends on a lease that was confirmed together with the key.
package election

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"bamboofork/internal/store"
)

const (
	// LeaseTTL bounds how long an unresponsive owner keeps the key. A shorter lease would expire during brief store stalls.
	LeaseTTL = 1600 * time.Millisecond
	// renewInterval is the interval between lease renewals. It allows four renewal attempts within a lease.
	renewInterval = 350 * time.Millisecond
	// callTimeout bounds one call to the store. The store responds in 4 ms, or in up to 250 ms when it is slow.
	callTimeout = 600 * time.Millisecond
	// driftMarginFraction is the fraction of LeaseTTL by which the owner treats its lease as expired early. The margin covers
	// the drift between the clocks of the owner and the store.
	driftMarginFraction = 0.1
)

// ErrTaken is returned when another process is the owner.
var ErrTaken = errors.New("another process is the owner")

// Owner identifies the owning process. It is the JSON value of the owner's key.
type Owner struct {
	Name        string `json:"name"`
	Addr        string `json:"addr"`
	Incarnation string `json:"incarnation"`
}

// NamesProcess reports whether the key names a process, with an address at which a process can be reached. Another writer may have left
// something else.
func (o *Owner) NamesProcess() bool {
	_, port, err := net.SplitHostPort(o.Addr)
	number, portErr := strconv.ParseUint(port, 10, 16)
	return o.Incarnation != "" && err == nil && portErr == nil && number != 0
}

// Key is a handle on the owner's key in the store.
type Key struct {
	store store.Store
	name  string
	clock func() time.Duration // monotonic, includes the time that the host is suspended
}

// NewKey returns a handle on the owner's key with the given name. The clock must be monotonic and include the time during which
// the host is suspended.
func NewKey(st store.Store, name string, clock func() time.Duration) *Key {
	return &Key{store: st, name: name, clock: clock}
}

// Read returns the owner that the key names and the revision of the key. Revision 0 means that there is no owner. If the key is not one
// that an owner writes, Read returns an empty Owner with the revision of the key: the value cannot be decoded, or the key has no lease
// and would stay for ever.
func (k *Key) Read(ctx context.Context) (Owner, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return k.read(ctx)
}

// read is Read without a timeout of its own.
func (k *Key) read(ctx context.Context) (Owner, int64, error) {
	kv, err := k.store.Get(ctx, k.name)
	if err != nil || kv.ModRevision == 0 {
		return Owner{}, 0, err
	}
	var o Owner
	if err := json.Unmarshal(kv.Value, &o); err != nil || kv.Lease == 0 {
		return Owner{}, kv.ModRevision, nil
	}
	return o, kv.ModRevision, nil
}

// Ownership is a process's ownership of the jobs, held by a lease. mu guards the fields below mu.
type Ownership struct {
	key  *Key
	self Owner

	mu sync.Mutex
	// confirmUnreplaced is called after the key was written again, because another owner may have held it in between. nil: not called.
	confirmUnreplaced func(ctx context.Context) error
	leaseID           store.LeaseID
	validUntil        time.Duration // time on key.clock at which the lease counts as expired
	confirmedAt       time.Duration // time on key.clock at which the call was sent that confirmed the lease last
	confirmedRevision int64         // of the key as this owner wrote it last, after confirmUnreplaced
	rewrittenAt       time.Duration // time on key.clock at which the key was written again during the term; 0: never
	resigned          bool          // Resign was called; the lease is not renewed any more
}

// ConfirmUnreplaced sets a function that is called after the key was written again during the term. Until the function has returned
// nil, the lease does not count as valid. It returns ErrTaken if another owner has held the key in the meantime.
func (o *Ownership) ConfirmUnreplaced(confirm func(ctx context.Context) error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.confirmUnreplaced = confirm
}

// Acquire makes self the owner if the revision of the key is still the given one. It returns ErrTaken if the key has changed.
func (k *Key) Acquire(ctx context.Context, self Owner, revision int64) (*Ownership, error) {
	o := &Ownership{key: k, self: self}
	return o, o.acquire(ctx, revision)
}

// acquire writes the key with a new lease if the revision of the key is still the given one.
func (o *Ownership) acquire(termCtx context.Context, revision int64) error {
	ctx, cancel := context.WithTimeout(termCtx, callTimeout)
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
	written := res.Current.ModRevision
	switch {
	case errors.Is(err, store.ErrUncertain):
		written, err = o.resolveUncertainWrite(ctx, lease)
	case err == nil && !res.Swapped:
		err = ErrTaken
	}
	if err != nil {
		return err
	}
	if err := o.runConfirmUnreplaced(termCtx, lease); err != nil {
		return err
	}
	o.mu.Lock()
	if o.confirmedRevision != 0 {
		o.rewrittenAt = o.key.clock()
	}
	o.confirmedRevision = written
	o.mu.Unlock()
	return o.adoptLease(lease, sentAt)
}

// runConfirmUnreplaced calls confirmUnreplaced. If another owner has held the key, runConfirmUnreplaced gives the key up again.
func (o *Ownership) runConfirmUnreplaced(ctx context.Context, lease store.LeaseID) error {
	o.mu.Lock()
	confirm := o.confirmUnreplaced
	o.mu.Unlock()
	if confirm == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := confirm(ctx)
	if errors.Is(err, ErrTaken) {
		return errors.Join(err, o.key.store.RevokeLease(ctx, lease))
	}
	return err
}

// resolveUncertainWrite reads the key after the response to a write was lost. The write took effect if the key is attached to
// the new lease; otherwise it returns ErrTaken. It returns the revision of the key.
func (o *Ownership) resolveUncertainWrite(ctx context.Context, lease store.LeaseID) (int64, error) {
	kv, err := o.key.store.Get(ctx, o.key.name)
	if err != nil {
		return 0, err
	}
	if kv.ModRevision == 0 || kv.Lease != lease {
		return 0, ErrTaken
	}
	return kv.ModRevision, nil
}

// adoptLease stores the new lease of the key. It ends the lease at once if the owner has resigned while the key was written.
func (o *Ownership) adoptLease(lease store.LeaseID, sentAt time.Duration) error {
	if o.setLease(lease, sentAt) {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return o.key.store.RevokeLease(ctx, lease)
}

// setLease stores a lease that was granted or renewed by a call sent at sentAt, and computes when the lease counts as expired. It
// returns false and stores nothing if the owner has resigned.
func (o *Ownership) setLease(lease store.LeaseID, sentAt time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.resigned {
		return false
	}
	o.leaseID, o.confirmedAt = lease, sentAt
	o.validUntil = sentAt + time.Duration(float64(LeaseTTL)*(1-driftMarginFraction))
	return true
}

func (o *Ownership) hasResigned() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.resigned
}

// RewrittenAt returns the time on the clock of the key at which the key was written again during the term, or 0. Another owner may
// have held the key before that, and may count its lease as valid for up to LeaseTTL after it.
func (o *Ownership) RewrittenAt() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rewrittenAt
}

// LeaseValid reports whether the lease is still valid on a clock that includes the time during which the host was suspended.
func (o *Ownership) LeaseValid() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.key.clock() < o.validUntil
}

// ConfirmedAt returns the time on the clock of the key after which the lease and the key were confirmed last.
func (o *Ownership) ConfirmedAt() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.confirmedAt
}

// ErrNotHeld is returned when the key does not name this process, or was written by this process without a check for other owners. A
// renewal writes the key again.
var ErrNotHeld = errors.New("the owner's key is not held")

// CheckHeld reads the key and returns nil if this process holds it. It returns ErrTaken when another process is the owner.
func (o *Ownership) CheckHeld(ctx context.Context) error {
	owner, revision, err := o.key.read(ctx)
	if err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case owner != (Owner{}) && owner.Incarnation != o.self.Incarnation:
		return ErrTaken
	case revision == 0 || revision != o.confirmedRevision:
		return ErrNotHeld
	}
	return nil
}

// KeepAlive renews the lease until ctx is done or the owner has resigned, and then returns nil. It returns ErrTaken when another
// process has become the owner. It has to run from the moment of Acquire: recovery of a large log may take longer than the lease.
func (o *Ownership) KeepAlive(ctx context.Context) error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if o.hasResigned() {
			return nil
		}
		if err := o.renew(ctx); errors.Is(err, ErrTaken) && !o.hasResigned() {
			return err
		}
	}
}

// renew renews the lease once and confirms that the key still names this process. A candidate with evidence that this process
// is dead or cannot reach the store overwrites the key without ending the lease, so a renewed lease alone proves nothing. If the
// store has ended the lease, or the key belongs to a lease that did not become valid, renew acquires the key with a new lease.
func (o *Ownership) renew(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o.mu.Lock()
	lease, confirmedRevision := o.leaseID, o.confirmedRevision
	o.mu.Unlock()
	sentAt := o.key.clock()
	_, err := o.key.store.KeepAlive(callCtx, lease)
	if errors.Is(err, store.ErrLeaseNotFound) && !o.hasResigned() {
		return o.reacquire(ctx)
	}
	if err != nil {
		return err
	}
	owner, revision, err := o.key.Read(ctx)
	switch {
	case err != nil:
		return err
	case owner == Owner{} && !o.hasResigned(): // the store may remove the key without ending the lease, another writer may overwrite it
		return o.acquire(ctx, revision)
	case owner.Incarnation != o.self.Incarnation:
		return ErrTaken
	case revision != confirmedRevision && !o.hasResigned(): // written again, but the response or the check failed
		return o.acquire(ctx, revision)
	}
	o.setLease(lease, sentAt)
	return nil
}

// reacquire writes the key with a new lease after the store has ended the old one, unless another process is the owner.
func (o *Ownership) reacquire(ctx context.Context) error {
	owner, revision, err := o.key.Read(ctx)
	if err != nil {
		return err
	}
	if owner != (Owner{}) && owner.Incarnation != o.self.Incarnation {
		return ErrTaken
	}
	return o.acquire(ctx, revision)
}

// Resign revokes the lease, which deletes the key, so that a successor need not wait for the lease to expire. A renewal that is in
// progress or follows has no effect.
func (o *Ownership) Resign(ctx context.Context) error {
	o.mu.Lock()
	lease := o.leaseID
	o.validUntil, o.resigned = 0, true
	o.mu.Unlock()
	return o.key.store.RevokeLease(ctx, lease)
}
