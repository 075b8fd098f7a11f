// Package lease keeps one store lease alive for a process. The holder trusts it only
// until a deadline on its own monotonic clock, counted from before the renewal was sent,
// so a paused holder never believes in a lease that the store may have ended.
package lease

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"bamboofork/internal/events"
	"bamboofork/internal/store"
)

// renewalsPerTTL is how often a lease is renewed within its time to live.
const renewalsPerTTL = 3

// safetyMargin is the share of the time to live that the holder gives up to cover clock drift.
const safetyMargin = 0.1

// Keeper holds a lease and renews it. mu guards the fields below it.
type Keeper struct {
	st  store.Store
	ttl time.Duration
	log zerolog.Logger

	mu     sync.Mutex
	id     store.LeaseID
	until  time.Time
	logged time.Time // end of the lease whose loss was logged
}

// NewKeeper returns a keeper without a lease; Run obtains one.
func NewKeeper(st store.Store, ttl time.Duration, log zerolog.Logger) *Keeper {
	return &Keeper{st: st, ttl: ttl, log: log}
}

// Current returns the lease and the time until which the holder may act on it; ok is false without a valid one.
func (k *Keeper) Current() (id store.LeaseID, until time.Time, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.id, k.until, k.id != 0 && time.Now().Before(k.until)
}

// TTL returns the lease's time to live in the store.
func (k *Keeper) TTL() time.Duration { return k.ttl }

// Run grants and renews the lease until ctx ends, then revokes it.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(k.ttl / renewalsPerTTL)
	defer ticker.Stop()
	for {
		k.renew(ctx)
		select {
		case <-ctx.Done():
			k.revoke()
			return nil
		case <-ticker.C:
		}
	}
}

func (k *Keeper) renew(ctx context.Context) {
	k.mu.Lock()
	id, until := k.id, k.until
	k.mu.Unlock()
	sent := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, k.ttl/renewalsPerTTL)
	defer cancel()
	if id == 0 {
		k.grant(callCtx, sent)
		return
	}
	_, err := k.st.KeepAlive(callCtx, id)
	switch {
	case err == nil:
		k.set(id, sent)
	case errors.Is(err, store.ErrLeaseNotFound):
		events.LeaseLost.Log(&k.log).Int64("lease", int64(id)).Msg("the store ended the lease")
		k.set(0, time.Time{})
	case time.Now().After(until) && k.firstLoss(until):
		events.LeaseLost.Log(&k.log).Int64("lease", int64(id)).Err(err).Msg("renewal failed for too long")
	}
}

// firstLoss reports whether the loss of the lease that was valid until then is not logged yet.
func (k *Keeper) firstLoss(until time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	first := !k.logged.Equal(until)
	k.logged = until
	return first
}

func (k *Keeper) grant(ctx context.Context, sent time.Time) {
	id, err := k.st.GrantLease(ctx, k.ttl)
	if err == nil {
		k.set(id, sent)
	}
}

func (k *Keeper) set(id store.LeaseID, sent time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.id = id
	k.until = sent.Add(time.Duration(float64(k.ttl) * (1 - safetyMargin)))
}

const revokeTimeout = time.Second

func (k *Keeper) revoke() {
	id, _, ok := k.Current()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	if err := k.st.RevokeLease(ctx, id); err != nil {
		events.LeaseLost.Log(&k.log).Int64("lease", int64(id)).Err(err).Msg("lease not revoked, it expires by itself")
	}
	k.set(0, time.Time{})
}
