// Package store defines the interface to the platform's key-value store. The adapter in
// etcdgw implements the published protocol; memstore is the in-memory engine behind the
// simulated platform (package standin). Only etcdgw and the simulated platform depend on
// that protocol.
package store

import (
	"context"
	"errors"
	"time"
)

// Errors of store calls. Any other error is a programming or protocol error.
var (
	// ErrUnavailable: the call failed and had no effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUncertain: the response was lost; the call may have taken effect.
	ErrUncertain = errors.New("store answer lost, outcome uncertain")
	// ErrRateLimited: the store or the local rate budget rejected the call; it had no effect.
	ErrRateLimited = errors.New("store call rate exceeded")
	// ErrLeaseNotFound: the lease expired or never existed.
	ErrLeaseNotFound = errors.New("lease not found")
	// ErrCompacted: the requested revision or log record is no longer available.
	ErrCompacted = errors.New("revision compacted")
	// ErrDenied: the store rejected the credentials or the user lacks permission; the call had no effect.
	ErrDenied = errors.New("store access denied")
	// ErrTooLarge: the value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("value too large")
)

// MaxValueBytes is the largest value that the platform's store accepts.
const MaxValueBytes = 1 << 20

// LeaseID identifies a lease; 0 means no lease.
type LeaseID int64

// KV is a key with its value. ModRevision is the store-wide revision of the key's last write; 0 means absent.
type KV struct {
	Key         string
	Value       []byte
	ModRevision int64
	Lease       LeaseID
}

// CASResult is the outcome of a compare-and-swap whose response was received.
type CASResult struct {
	Swapped bool
	// Current is the key after the call: the new value if swapped, else the existing one.
	Current KV
}

// WatchEvent is one change under a watched prefix.
type WatchEvent struct {
	KV      KV
	Deleted bool
}

// WatchBatch is a group of changes. A batch with Err is the last one before the channel is closed.
type WatchBatch struct {
	Revision int64
	Events   []WatchEvent
	Err      error
}

// Store is the platform's key-value store. Implementations are safe for concurrent use.
type Store interface {
	// Get returns the key; ModRevision is 0 if it is absent.
	Get(ctx context.Context, key string) (KV, error)
	// List returns up to limit keys (0: all) in [from, to) in key order, and the store's revision.
	List(ctx context.Context, from, to string, limit int) ([]KV, int64, error)
	// CompareAndSwap writes the key and attaches it to the lease if its ModRevision equals expect (0: absent).
	CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, lease LeaseID) (CASResult, error)
	// DeleteRange deletes the keys in [from, to) and returns their number.
	DeleteRange(ctx context.Context, from, to string) (int64, error)
	// GrantLease creates a lease. The store grants whole seconds, so ttl is rounded up.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its remaining time.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// RevokeLease ends a lease and deletes the keys attached to it.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Watch streams changes of keys with the prefix, starting at fromRevision (0: from now).
	// The channel is closed after a batch with Err or when ctx is done.
	Watch(ctx context.Context, prefix string, fromRevision int64) (<-chan WatchBatch, error)
}

// PrefixEnd returns the smallest key greater than every key with the prefix.
func PrefixEnd(prefix string) string {
	b := []byte(prefix)
	for i := len(b) - 1; i >= 0; i-- {
		if b[i] < 0xff {
			b[i]++
			return string(b[:i+1])
		}
	}
	return "\x00"
}
