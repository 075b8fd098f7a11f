package node

import (
	"context"
	"sync/atomic"
	"time"

	"bamboofork/internal/store"
)

// Abort stops the node so that to other processes it looks killed: its connections break, and it announces, releases
// and writes nothing more. Unlike after a kill, requests that were already forwarded may run to their end, which is the
// harder case for other processes. Run returns after the drain time. Tasks on the worker are not killed.
func (n *Node) Abort() {
	n.abortOnce.Do(func() {
		n.store.detached.Store(true)
		n.pool.Close()
		for _, d := range n.abortClosers {
			d.Close() //nolint:errcheck // fails only if it is already closed
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

// detachableStore wraps the store. Once detached is set, its calls, except watches, fail with store.ErrUnavailable, so that
// an aborted node can no longer change the store.
type detachableStore struct {
	store.Store
	detached atomic.Bool
}

// Get implements store.Store.
func (s *detachableStore) Get(ctx context.Context, key string) (store.KV, error) {
	if s.detached.Load() {
		return store.KV{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

// List implements store.Store.
func (s *detachableStore) List(ctx context.Context, from, to string, limit int) ([]store.KV, int64, error) {
	if s.detached.Load() {
		return nil, 0, store.ErrUnavailable
	}
	return s.Store.List(ctx, from, to, limit)
}

// CompareAndSwap implements store.Store.
func (s *detachableStore) CompareAndSwap(ctx context.Context, key string, expect int64,
	value []byte, lease store.LeaseID) (store.CASResult, error) {
	if s.detached.Load() {
		return store.CASResult{}, store.ErrUnavailable
	}
	return s.Store.CompareAndSwap(ctx, key, expect, value, lease)
}

// DeleteRange implements store.Store.
func (s *detachableStore) DeleteRange(ctx context.Context, from, to string) (int64, error) {
	if s.detached.Load() {
		return 0, store.ErrUnavailable
	}
	return s.Store.DeleteRange(ctx, from, to)
}

// GrantLease implements store.Store.
func (s *detachableStore) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if s.detached.Load() {
		return 0, store.ErrUnavailable
	}
	return s.Store.GrantLease(ctx, ttl)
}

// KeepAlive implements store.Store.
func (s *detachableStore) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	if s.detached.Load() {
		return 0, store.ErrUnavailable
	}
	return s.Store.KeepAlive(ctx, id)
}

// RevokeLease implements store.Store.
func (s *detachableStore) RevokeLease(ctx context.Context, id store.LeaseID) error {
	if s.detached.Load() {
		return store.ErrUnavailable
	}
	return s.Store.RevokeLease(ctx, id)
}
