// Package election keeps at most one process in charge of the jobs. The owner's key in the store carries a lease; a
// candidate replaces the key when it is absent or when the process that it names is shown to be dead. Ownership is only a
// hint for who should act: writes are fenced by the log of the jobs.
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
	// LeaseTTL bounds how long a silent owner keeps the key. Shorter leases end during short stalls of the store.
	LeaseTTL = 1600 * time.Millisecond
	// renewEvery gives four attempts within a lease.
	renewEvery = 350 * time.Millisecond
	// callTimeout bounds one call to the store; its answers take 4 ms, and up to 250 ms when it is slow.
	callTimeout = 600 * time.Millisecond
	// driftMargin is the share of the lease that the holder gives up, so that it stops before the store's clock does.
	driftMargin = 0.1
)

// ErrTaken: another process owns the key.
var ErrTaken = errors.New("another process is the owner")

// Owner is the value of the owner's key.
type Owner struct {
	Name        string `json:"name"`
	Addr        string `json:"addr"`
	Incarnation string `json:"incarnation"`
}

// Key is the owner's key in the store.
type Key struct {
	st    store.Store
	name  string
	clock func() time.Duration // counts while the host is suspended
}

// NewKey returns a handle on the owner's key.
func NewKey(st store.Store, name string, clock func() time.Duration) *Key {
	return &Key{st: st, name: name, clock: clock}
}

// Read returns the owner and the revision of its key; revision 0 means that there is none.
func (k *Key) Read(ctx context.Context) (Owner, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kv, err := k.st.Get(ctx, k.name)
	if err != nil || kv.ModRevision == 0 {
		return Owner{}, 0, err
	}
	var o Owner
	if err := json.Unmarshal(kv.Value, &o); err != nil {
		return Owner{}, kv.ModRevision, nil // an unreadable owner can be replaced like a dead one
	}
	return o, kv.ModRevision, nil
}

// Tenure is one process's time as the owner. mu guards the fields below it.
type Tenure struct {
	key *Key
	me  Owner

	mu    sync.Mutex
	lease store.LeaseID
	rev   int64
	until time.Duration
}

// Take makes me the owner if the key still has the revision. It fails with ErrTaken if another was faster.
func (k *Key) Take(ctx context.Context, me Owner, revision int64) (*Tenure, error) {
	t := &Tenure{key: k, me: me}
	return t, t.take(ctx, revision)
}

func (t *Tenure) take(ctx context.Context, revision int64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := t.key.clock()
	lease, err := t.key.st.GrantLease(ctx, LeaseTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(t.me)
	if err != nil {
		return eris.Wrap(err, "encode owner")
	}
	res, err := t.key.st.CompareAndSwap(ctx, t.key.name, revision, value, lease)
	if errors.Is(err, store.ErrUncertain) {
		return t.resolve(ctx, lease, sent)
	}
	if err != nil {
		return err
	}
	if !res.Swapped {
		return ErrTaken
	}
	t.set(lease, res.Current.ModRevision, sent)
	return nil
}

// resolve reads the key after a lost answer and recognises the own write by the lease.
func (t *Tenure) resolve(ctx context.Context, lease store.LeaseID, sent time.Duration) error {
	kv, err := t.key.st.Get(ctx, t.key.name)
	if err != nil {
		return err
	}
	if kv.ModRevision == 0 || kv.Lease != lease {
		return ErrTaken
	}
	t.set(lease, kv.ModRevision, sent)
	return nil
}

func (t *Tenure) set(lease store.LeaseID, rev int64, sent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lease, t.rev = lease, rev
	t.until = sent + time.Duration(float64(LeaseTTL)*(1-driftMargin))
}

// Confirmed reports whether the lease is valid, judged by a clock that counts suspension.
func (t *Tenure) Confirmed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.key.clock() < t.until
}

// Keep renews the lease until ctx ends. It returns ErrTaken when another process has become the owner.
func (t *Tenure) Keep(ctx context.Context) error {
	ticker := time.NewTicker(renewEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if err := t.renew(ctx); errors.Is(err, ErrTaken) {
			return err
		}
	}
}

func (t *Tenure) renew(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t.mu.Lock()
	lease := t.lease
	t.mu.Unlock()
	sent := t.key.clock()
	_, err := t.key.st.KeepAlive(callCtx, lease)
	if errors.Is(err, store.ErrLeaseNotFound) {
		return t.retake(ctx)
	}
	if err != nil {
		return err
	}
	wasConfirmed := t.Confirmed()
	t.mu.Lock()
	rev := t.rev
	t.mu.Unlock()
	t.set(lease, rev, sent)
	if !wasConfirmed {
		return t.check(ctx)
	}
	return nil
}

// check reads the key after a gap, because the store may take keys away while a lease goes on.
func (t *Tenure) check(ctx context.Context) error {
	owner, rev, err := t.key.Read(ctx)
	if err != nil {
		return err
	}
	if rev == 0 {
		return t.take(ctx, 0)
	}
	if owner.Incarnation != t.me.Incarnation {
		return ErrTaken
	}
	return nil
}

// retake creates the key again after the store has ended the lease, unless another process was faster.
func (t *Tenure) retake(ctx context.Context) error {
	owner, rev, err := t.key.Read(ctx)
	if err != nil {
		return err
	}
	if rev != 0 && owner.Incarnation != t.me.Incarnation {
		return ErrTaken
	}
	return t.take(ctx, rev)
}

// Resign ends the lease, which removes the key, so that a successor need not wait.
func (t *Tenure) Resign(ctx context.Context) error {
	t.mu.Lock()
	lease := t.lease
	t.until = 0
	t.mu.Unlock()
	return t.key.st.RevokeLease(ctx, lease)
}
