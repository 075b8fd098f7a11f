// Package memstore implements an in-memory store engine with revisions, leases and watches.
// The simulated platform serves it over the published protocol; tests use it directly.
package memstore

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"bamboofork/internal/store"
)

// historyLimit is the number of events retained for watches that start at an earlier revision.
const historyLimit = 100_000

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

// Engine is an in-memory store.Store. All methods are safe for concurrent use; mu guards all fields.
type Engine struct {
	mu        sync.Mutex
	kvs       map[string]store.KV
	keys      []string // sorted keys of kvs
	revision  int64
	compacted int64
	history   []store.WatchEvent
	leases    map[store.LeaseID]*lease
	nextLease store.LeaseID
	watches   map[*watch]bool
}

type watch struct {
	prefix  string
	pending []store.WatchEvent
	notify  chan struct{}
	cut     bool
}

// New returns an empty engine.
func New() *Engine {
	return &Engine{
		kvs:     map[string]store.KV{},
		leases:  map[store.LeaseID]*lease{},
		watches: map[*watch]bool{},
	}
}

var _ store.Store = (*Engine)(nil)

// Get implements store.Store.
func (e *Engine) Get(_ context.Context, key string) (store.KV, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLeasesLocked()
	kv, ok := e.kvs[key]
	if !ok {
		return store.KV{Key: key}, nil
	}
	return kv, nil
}

// List implements store.Store.
func (e *Engine) List(_ context.Context, from, to string, limit int) ([]store.KV, int64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLeasesLocked()
	out := []store.KV{}
	for i := sort.SearchStrings(e.keys, from); i < len(e.keys) && e.keys[i] < to; i++ {
		if limit > 0 && len(out) == limit {
			break
		}
		out = append(out, e.kvs[e.keys[i]])
	}
	return out, e.revision, nil
}

// CompareAndSwap implements store.Store.
func (e *Engine) CompareAndSwap(_ context.Context, key string, expect int64, value []byte, id store.LeaseID) (store.CASResult, error) {
	if len(value) > store.MaxValueBytes {
		return store.CASResult{}, store.ErrTooLarge
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLeasesLocked()
	current, ok := e.kvs[key]
	if !ok {
		current = store.KV{Key: key}
	}
	if current.ModRevision != expect {
		return store.CASResult{Current: current}, nil
	}
	if id != 0 && e.leases[id] == nil {
		return store.CASResult{}, store.ErrLeaseNotFound
	}
	return store.CASResult{Swapped: true, Current: e.put(key, value, id)}, nil
}

func (e *Engine) put(key string, value []byte, id store.LeaseID) store.KV {
	old, existed := e.kvs[key]
	if existed && old.Lease != 0 && e.leases[old.Lease] != nil {
		delete(e.leases[old.Lease].keys, key)
	}
	if !existed {
		i := sort.SearchStrings(e.keys, key)
		e.keys = append(e.keys, "")
		copy(e.keys[i+1:], e.keys[i:])
		e.keys[i] = key
	}
	e.revision++
	kv := store.KV{Key: key, Value: append([]byte(nil), value...), ModRevision: e.revision, Lease: id}
	e.kvs[key] = kv
	if id != 0 {
		e.leases[id].keys[key] = true
	}
	e.publish(store.WatchEvent{KV: kv})
	return kv
}

// DeleteRange implements store.Store.
func (e *Engine) DeleteRange(_ context.Context, from, to string) (int64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLeasesLocked()
	first := sort.SearchStrings(e.keys, from)
	last := sort.SearchStrings(e.keys, to)
	if last <= first {
		return 0, nil
	}
	matched := append([]string(nil), e.keys[first:last]...)
	e.remove(matched)
	return int64(len(matched)), nil
}

// remove deletes the keys in one new revision.
func (e *Engine) remove(keys []string) {
	if len(keys) == 0 {
		return
	}
	e.revision++
	for _, key := range keys {
		kv := e.kvs[key]
		if kv.Lease != 0 && e.leases[kv.Lease] != nil {
			delete(e.leases[kv.Lease].keys, key)
		}
		delete(e.kvs, key)
		i := sort.SearchStrings(e.keys, key)
		e.keys = append(e.keys[:i], e.keys[i+1:]...)
		e.publish(store.WatchEvent{KV: store.KV{Key: key, ModRevision: e.revision}, Deleted: true})
	}
}

// GrantLease implements store.Store.
func (e *Engine) GrantLease(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextLease++
	ttl = ttl.Truncate(time.Second) + roundUpIncrement(ttl)
	e.leases[e.nextLease] = &lease{ttl: ttl, expires: time.Now().Add(ttl), keys: map[string]bool{}}
	return e.nextLease, nil
}

// roundUpIncrement returns what to add to the truncated ttl to get whole seconds, at least one.
func roundUpIncrement(ttl time.Duration) time.Duration {
	if ttl%time.Second == 0 && ttl > 0 {
		return 0
	}
	return time.Second
}

// KeepAlive implements store.Store.
func (e *Engine) KeepAlive(_ context.Context, id store.LeaseID) (time.Duration, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLeasesLocked()
	l := e.leases[id]
	if l == nil {
		return 0, store.ErrLeaseNotFound
	}
	l.expires = time.Now().Add(l.ttl)
	return l.ttl, nil
}

// RevokeLease implements store.Store.
func (e *Engine) RevokeLease(_ context.Context, id store.LeaseID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endLease(id)
	return nil
}

func (e *Engine) endLease(id store.LeaseID) {
	l := e.leases[id]
	if l == nil {
		return
	}
	keys := make([]string, 0, len(l.keys))
	for key := range l.keys {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	e.remove(keys)
	delete(e.leases, id)
}

// expireLeasesLocked ends expired leases. Calls that use keys or renew leases run it, as does ExpireLeases, so leases need no
// timers. The caller holds mu.
func (e *Engine) expireLeasesLocked() {
	now := time.Now()
	for id, l := range e.leases {
		if now.After(l.expires) {
			e.endLease(id)
		}
	}
}

// ExpireLeases ends expired leases, so that watches receive the deletions when no other calls are made.
func (e *Engine) ExpireLeases() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLeasesLocked()
}

func (e *Engine) publish(ev store.WatchEvent) {
	e.history = append(e.history, ev)
	if len(e.history) > 2*historyLimit {
		drop := len(e.history) - historyLimit
		e.compacted = e.history[drop-1].KV.ModRevision
		e.history = append([]store.WatchEvent(nil), e.history[drop:]...)
	}
	for w := range e.watches {
		if strings.HasPrefix(ev.KV.Key, w.prefix) {
			w.push(ev)
		}
	}
}

func (w *watch) push(ev store.WatchEvent) {
	w.pending = append(w.pending, ev)
	w.signal()
}

func (w *watch) signal() {
	select {
	case w.notify <- struct{}{}:
	default:
	}
}

// CutWatches ends every open watch with ErrUnavailable.
func (e *Engine) CutWatches() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for w := range e.watches {
		w.cut = true
		w.signal()
	}
}

// Watches returns the number of open watches.
func (e *Engine) Watches() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.watches)
}

// Watch implements store.Store.
func (e *Engine) Watch(ctx context.Context, prefix string, from int64) (<-chan store.WatchBatch, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if from > 0 && from <= e.compacted {
		return nil, store.ErrCompacted
	}
	w := &watch{prefix: prefix, notify: make(chan struct{}, 1)}
	if from > 0 {
		for _, ev := range e.history {
			if ev.KV.ModRevision >= from && strings.HasPrefix(ev.KV.Key, prefix) {
				w.push(ev)
			}
		}
	}
	e.watches[w] = true
	out := make(chan store.WatchBatch)
	go e.serveWatch(ctx, w, out)
	return out, nil
}

func (e *Engine) serveWatch(ctx context.Context, w *watch, out chan<- store.WatchBatch) {
	defer close(out)
	defer func() {
		e.mu.Lock()
		delete(e.watches, w)
		e.mu.Unlock()
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.notify:
		}
		batch := e.takeBatch(w)
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

func (e *Engine) takeBatch(w *watch) store.WatchBatch {
	e.mu.Lock()
	defer e.mu.Unlock()
	batch := store.WatchBatch{Revision: e.revision, Events: w.pending}
	if w.cut {
		batch.Err = store.ErrUnavailable
	}
	w.pending = nil
	return batch
}

// Revision returns the revision of the last write.
func (e *Engine) Revision() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.revision
}
