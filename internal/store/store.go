// Package store defines the interface to the platform's key-value store. Package etcdgw
// implements the interface over the published protocol. Package memstore implements it in
// memory, for tests and for the simulated platform (package standin). Only etcdgw and the
// simulated platform depend on the protocol.
package store

import (
	"context"
	"errors"
	"time"
)

// Errors of store calls. Any other error is a programming or protocol error.
var (
	// ErrUnavailable means that the call failed and had no effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUncertain means that the response was lost. The call may have taken effect.
	ErrUncertain = errors.New("store answer lost, outcome uncertain")
	// ErrRateLimited means that the store or the local rate limiter rejected the call. The call had no effect.
	ErrRateLimited = errors.New("store call rate exceeded")
	// ErrLeaseNotFound means that the lease has expired, was revoked or never existed.
	ErrLeaseNotFound = errors.New("lease not found")
	// ErrCompacted means that the requested revision or log record is no longer available.
	ErrCompacted = errors.New("revision compacted")
	// ErrDenied means that the store rejected the credentials or the user lacks permission. The call had no effect.
	ErrDenied = errors.New("store access denied")
	// ErrTooLarge means that the value exceeds MaxValueBytes. The call had no effect.
	ErrTooLarge = errors.New("value too large")
)

// MaxValueBytes is the maximum size of a value that the platform's store accepts.
const MaxValueBytes = 1 << 20

// LeaseID identifies a lease; 0 means no lease.
type LeaseID int64

// KV is a key with its value. ModRevision is the store-wide revision of the last write of the key; 0 means that the key is
// absent. Lease is the lease to which the key is attached.
type KV struct {
	Key         string
	Value       []byte
	ModRevision int64
	Lease       LeaseID
}

// CASResult is the outcome of a compare-and-swap whose response was received.
type CASResult struct {
	Swapped bool
	// Current is the key after the call. It has the new value if Swapped is set, and the existing value otherwise.
	Current KV
}

// WatchEvent is one change of a key under a watched prefix. A deletion has no value.
type WatchEvent struct {
	KV      KV
	Deleted bool
}

// WatchBatch is a group of changes in the order of their revisions. Revision is the store's revision when the batch was sent.
// A batch with Err is the last batch before the channel is closed.
type WatchBatch struct {
	Revision int64
	Events   []WatchEvent
	Err      error
}

// Store is the platform's key-value store. Implementations are safe for concurrent use.
type Store interface {
	// Get returns the key. Its ModRevision is 0 if the key is absent.
	Get(ctx context.Context, key string) (KV, error)
	// List returns up to limit keys in [from, to) in key order, and the store's revision. A limit of 0 means all keys.
	List(ctx context.Context, from, to string, limit int) ([]KV, int64, error)
	// CompareAndSwap writes the key and attaches it to the lease if the key's ModRevision equals expect. An expect of 0
	// means that the key must be absent.
	CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, lease LeaseID) (CASResult, error)
	// DeleteRange deletes the keys in [from, to) and returns the number of deleted keys.
	DeleteRange(ctx context.Context, from, to string) (int64, error)
	// GrantLease creates a lease and returns its ID. The store grants whole seconds, so ttl is rounded up.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns the time until the renewed lease expires.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// RevokeLease ends a lease and deletes the keys attached to it.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Watch streams changes of keys with the prefix, starting at fromRevision. A fromRevision of 0 means changes from now on.
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
