package memstore

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"bamboofork/internal/store"
)

// Faults configures the faults that a Faulty store injects. The zero value injects none.
type Faults struct {
	Down         bool          `json:"down" yaml:"down"`                     // every call fails without effect, and open watches end
	Delay        time.Duration `json:"delay" yaml:"delay"`                   // delay before each call
	LoseAnswer   float64       `json:"lose_answer" yaml:"lose_answer"`       // probability that a write takes effect but its response is lost
	WritesPerSec float64       `json:"writes_per_sec" yaml:"writes_per_sec"` // 0 means unlimited
	ReadsPerSec  float64       `json:"reads_per_sec" yaml:"reads_per_sec"`   // 0 means unlimited; a waiting watch counts as one read per second
}

// Faulty wraps a store, injects faults and counts the calls by kind. mu guards the fields below it.
type Faulty struct {
	inner store.Store

	mu           sync.Mutex
	faults       Faults
	rng          *rand.Rand
	writeLimiter *rate.Limiter // nil without a limit
	readLimiter  *rate.Limiter // nil without a limit
	callsByKind  map[string]int64
	watchesCut   chan struct{} // closed to end the open watches, then replaced
}

// NewFaulty returns a Faulty that wraps inner and injects no faults yet. The seed determines which responses are lost.
func NewFaulty(inner store.Store, seed uint64) *Faulty {
	return &Faulty{
		inner:       inner,
		rng:         rand.New(rand.NewPCG(seed, seed)),
		callsByKind: map[string]int64{},
		watchesCut:  make(chan struct{}),
	}
}

var _ store.Store = (*Faulty)(nil)

// SetFaults replaces the configured faults. If Down is set, all open watches end.
func (f *Faulty) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	f.writeLimiter = newLimiter(faults.WritesPerSec)
	f.readLimiter = newLimiter(faults.ReadsPerSec)
	if faults.Down {
		f.cutWatchesLocked()
	}
}

// Faults returns the configured faults.
func (f *Faulty) Faults() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// CutWatches ends all watches that are open now. Watches opened later are not affected.
func (f *Faulty) CutWatches() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutWatchesLocked()
}

// cutWatchesLocked ends all open watches. The caller holds mu.
func (f *Faulty) cutWatchesLocked() {
	close(f.watchesCut)
	f.watchesCut = make(chan struct{})
}

// CallsByKind returns the number of calls by kind, such as "get" or "cas", since the Faulty was created.
func (f *Faulty) CallsByKind() map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	calls := make(map[string]int64, len(f.callsByKind))
	for kind, count := range f.callsByKind {
		calls[kind] = count
	}
	return calls
}

// newLimiter returns a limiter for the rate, or nil if the rate is unlimited.
func newLimiter(perSec float64) *rate.Limiter {
	if perSec <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSec), int(perSec)+1)
}

// beforeCall counts the call and waits for the injected delay. It returns the injected error, or nil if the call may proceed.
func (f *Faulty) beforeCall(ctx context.Context, kind string, isWrite bool) error {
	f.mu.Lock()
	f.callsByKind[kind]++
	faults := f.faults
	limiter := f.readLimiter
	if isWrite {
		limiter = f.writeLimiter
	}
	f.mu.Unlock()
	if faults.Delay > 0 {
		select {
		case <-time.After(faults.Delay):
		case <-ctx.Done():
			return store.ErrUnavailable
		}
	}
	if faults.Down {
		return store.ErrUnavailable
	}
	if limiter != nil && !limiter.Allow() {
		return store.ErrRateLimited
	}
	return nil
}

// drawResponseLoss decides at random whether the response of a write is lost.
func (f *Faulty) drawResponseLoss() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults.LoseAnswer > 0 && f.rng.Float64() < f.faults.LoseAnswer
}

// Get implements store.Store.
func (f *Faulty) Get(ctx context.Context, key string) (store.KV, error) {
	if err := f.beforeCall(ctx, "get", false); err != nil {
		return store.KV{}, err
	}
	return f.inner.Get(ctx, key)
}

// List implements store.Store.
func (f *Faulty) List(ctx context.Context, from, to string, limit int) ([]store.KV, int64, error) {
	if err := f.beforeCall(ctx, "list", false); err != nil {
		return nil, 0, err
	}
	return f.inner.List(ctx, from, to, limit)
}

// CompareAndSwap implements store.Store.
func (f *Faulty) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, lease store.LeaseID) (store.CASResult, error) {
	if err := f.beforeCall(ctx, "cas", true); err != nil {
		return store.CASResult{}, err
	}
	res, err := f.inner.CompareAndSwap(ctx, key, expect, value, lease)
	if err == nil && f.drawResponseLoss() {
		return store.CASResult{}, store.ErrUncertain
	}
	return res, err
}

// DeleteRange implements store.Store.
func (f *Faulty) DeleteRange(ctx context.Context, from, to string) (int64, error) {
	if err := f.beforeCall(ctx, "delete", true); err != nil {
		return 0, err
	}
	n, err := f.inner.DeleteRange(ctx, from, to)
	if err == nil && f.drawResponseLoss() {
		return 0, store.ErrUncertain
	}
	return n, err
}

// GrantLease implements store.Store.
func (f *Faulty) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := f.beforeCall(ctx, "lease_grant", true); err != nil {
		return 0, err
	}
	id, err := f.inner.GrantLease(ctx, ttl)
	if err == nil && f.drawResponseLoss() {
		return 0, store.ErrUncertain
	}
	return id, err
}

// KeepAlive implements store.Store.
func (f *Faulty) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	if err := f.beforeCall(ctx, "lease_keepalive", true); err != nil {
		return 0, err
	}
	ttl, err := f.inner.KeepAlive(ctx, id)
	if err == nil && f.drawResponseLoss() {
		return 0, store.ErrUncertain
	}
	return ttl, err
}

// RevokeLease implements store.Store.
func (f *Faulty) RevokeLease(ctx context.Context, id store.LeaseID) error {
	if err := f.beforeCall(ctx, "lease_revoke", true); err != nil {
		return err
	}
	err := f.inner.RevokeLease(ctx, id)
	if err == nil && f.drawResponseLoss() {
		return store.ErrUncertain
	}
	return err
}

// Watch implements store.Store.
func (f *Faulty) Watch(ctx context.Context, prefix string, from int64) (<-chan store.WatchBatch, error) {
	if err := f.beforeCall(ctx, "watch", false); err != nil {
		return nil, err
	}
	watchCtx, cancel := context.WithCancel(ctx)
	in, err := f.inner.Watch(watchCtx, prefix, from)
	if err != nil {
		cancel()
		return nil, err
	}
	f.mu.Lock()
	cut := f.watchesCut
	f.mu.Unlock()
	out := make(chan store.WatchBatch)
	go func() {
		defer cancel()
		forwardWatch(ctx, in, out, cut)
	}()
	return out, nil
}

// forwardWatch copies batches from in to out until in is closed, ctx is done or a batch has an error. It sends ErrUnavailable
// and stops when cut is closed.
func forwardWatch(ctx context.Context, in <-chan store.WatchBatch, out chan<- store.WatchBatch, cut <-chan struct{}) {
	defer close(out)
	for {
		var batch store.WatchBatch
		var ok bool
		select {
		case <-ctx.Done():
			return
		case <-cut:
			batch, ok = store.WatchBatch{Err: store.ErrUnavailable}, true
		case batch, ok = <-in:
		}
		if !ok {
			return
		}
		select {
		case out <- batch:
		case <-ctx.Done():
			return
		}
		if batch.Err != nil {
			return
		}
	}
}
