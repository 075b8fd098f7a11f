// Package lease keeps one store lease alive for a process. The process treats the lease as valid only until a deadline on its
// own monotonic clock, which is counted from the time before the renewal was sent. A process that was paused therefore never
// relies on a lease that the store may have ended.
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

// renewalsPerTTL is the number of renewals within the time to live of a lease.
const renewalsPerTTL = 3

// driftMarginFraction is the fraction of the time to live by which the holder's deadline is earlier than the lease's end in the
// store. The margin covers clock drift.
const driftMarginFraction = 0.1

// Keeper obtains a lease and renews it. mu guards the fields below it.
type Keeper struct {
	store store.Store
	ttl   time.Duration
	log   zerolog.Logger

	mu          sync.Mutex
	id          store.LeaseID
	validUntil  time.Time
	loggedUntil time.Time // validUntil of the lease whose loss was logged
}

// NewKeeper returns a keeper without a lease; Run obtains one.
func NewKeeper(leaseStore store.Store, ttl time.Duration, log zerolog.Logger) *Keeper {
	return &Keeper{store: leaseStore, ttl: ttl, log: log}
}

// Current returns the lease's ID and the time until which the holder may rely on the lease. ok is false without a valid lease.
func (k *Keeper) Current() (id store.LeaseID, until time.Time, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.id, k.validUntil, k.id != 0 && time.Now().Before(k.validUntil)
}

// TTL returns the lease's time to live in the store.
func (k *Keeper) TTL() time.Duration { return k.ttl }

// Run obtains a lease from the store and renews it until ctx is done, then revokes it.
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
	id, until := k.id, k.validUntil
	k.mu.Unlock()
	sentAt := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, k.ttl/renewalsPerTTL)
	defer cancel()
	if id == 0 {
		k.grant(callCtx, sentAt)
		return
	}
	_, err := k.store.KeepAlive(callCtx, id)
	switch {
	case err == nil:
		k.setLease(id, sentAt)
	case errors.Is(err, store.ErrLeaseNotFound):
		events.LeaseLost.Log(&k.log).Int64("lease", int64(id)).Msg("lease not found in the store")
		k.setLease(0, time.Time{})
	case time.Now().After(until) && k.markLossLogged(until):
		events.LeaseLost.Log(&k.log).Int64("lease", int64(id)).Err(err).Msg("lease expired before a renewal succeeded")
	}
}

// markLossLogged records that the loss of the lease that was valid until the given time is logged. It returns true if the loss
// had not been logged before.
func (k *Keeper) markLossLogged(until time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	isFirst := !k.loggedUntil.Equal(until)
	k.loggedUntil = until
	return isFirst
}

func (k *Keeper) grant(ctx context.Context, sentAt time.Time) {
	id, err := k.store.GrantLease(ctx, k.ttl)
	if err == nil {
		k.setLease(id, sentAt)
	}
}

func (k *Keeper) setLease(id store.LeaseID, sentAt time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.id = id
	k.validUntil = sentAt.Add(time.Duration(float64(k.ttl) * (1 - driftMarginFraction)))
}

const revokeTimeout = time.Second

func (k *Keeper) revoke() {
	id, _, ok := k.Current()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	if err := k.store.RevokeLease(ctx, id); err != nil {
		events.LeaseLost.Log(&k.log).Int64("lease", int64(id)).Err(err).Msg("failed to revoke the lease; it expires after its time to live")
	}
	k.setLease(0, time.Time{})
}
