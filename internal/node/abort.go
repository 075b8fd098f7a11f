package node

import (
	"context"
	"sync/atomic"
	"time"

	"bamboofork/internal/store"
)

// Abort stops the node in a way that looks like a kill to other processes. The connections of the node break, and the node
// announces nothing, releases nothing and writes nothing to the store. Unlike after a kill, requests that were already
// forwarded may run to their end, which is harder for other processes to handle. Run returns after the drain timeout. Tasks
// on the worker keep running.
func (n *Node) Abort() {
	n.abortOnce.Do(func() {
		n.detachableStore.detached.Store(true)
		n.peerPool.Close()
		for _, c := range n.abortClosers {
			c.Close() //nolint:errcheck // fails only if it is already closed
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

// detachableStore wraps a store. Once detached is set, all calls except Watch fail with store.ErrUnavailable. An aborted node
// can then no longer change the store.
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
