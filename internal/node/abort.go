package node

import (
	"context"
	"sync/atomic"
	"time"

	"bamboofork/internal/store"
)

// Abort ends the node the way a killed process ends for everybody else: its connections break, and nothing is
// announced, released or written any more. Requests that this process has already passed on may still run to their
// end, which makes it a harder case than a dead process. Run returns after the drain time. Tasks on the worker are
// not killed.
func (n *Node) Abort() {
	n.abortOnce.Do(func() {
		n.store.cut.Store(true)
		n.pool.Close()
		for _, d := range n.doors {
			d.Close() //nolint:errcheck // closed already
		}
		close(n.aborted)
	})
}

func (n *Node) isAborted() bool {
	select {
	case <-n.aborted:
		return true
	default:
		return false
	}
}

// cutStore fails every call once cut is set, as if this process did not exist for the store any more.
type cutStore struct {
	store.Store
	cut atomic.Bool
}

// Get implements store.Store.
func (s *cutStore) Get(ctx context.Context, key string) (store.KV, error) {
	if s.cut.Load() {
		return store.KV{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

// List implements store.Store.
func (s *cutStore) List(ctx context.Context, from, to string, limit int) ([]store.KV, int64, error) {
	if s.cut.Load() {
		return nil, 0, store.ErrUnavailable
	}
	return s.Store.List(ctx, from, to, limit)
}

// CompareAndSwap implements store.Store.
func (s *cutStore) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, lease store.LeaseID) (store.CASResult, error) {
	if s.cut.Load() {
		return store.CASResult{}, store.ErrUnavailable
	}
	return s.Store.CompareAndSwap(ctx, key, expect, value, lease)
}

// DeleteRange implements store.Store.
func (s *cutStore) DeleteRange(ctx context.Context, from, to string) (int64, error) {
	if s.cut.Load() {
		return 0, store.ErrUnavailable
	}
	return s.Store.DeleteRange(ctx, from, to)
}

// GrantLease implements store.Store.
func (s *cutStore) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if s.cut.Load() {
		return 0, store.ErrUnavailable
	}
	return s.Store.GrantLease(ctx, ttl)
}

// KeepAlive implements store.Store.
func (s *cutStore) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	if s.cut.Load() {
		return 0, store.ErrUnavailable
	}
	return s.Store.KeepAlive(ctx, id)
}

// RevokeLease implements store.Store.
func (s *cutStore) RevokeLease(ctx context.Context, id store.LeaseID) error {
	if s.cut.Load() {
		return store.ErrUnavailable
	}
	return s.Store.RevokeLease(ctx, id)
}
