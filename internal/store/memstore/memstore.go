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

// historyLimit is the minimum number of events retained for watches that start at an earlier revision.
const historyLimit = 100_000

type lease struct {
	ttl          time.Duration
	expiresAt    time.Time
	attachedKeys map[string]bool
}

// Engine is an in-memory store.Store. All methods are safe for concurrent use; mu guards all fields.
type Engine struct {
	mu                sync.Mutex
	kvs               map[string]store.KV
	sortedKeys        []string // sorted keys of kvs
	revision          int64
	compactedRevision int64              // newest revision whose events are no longer retained
	history           []store.WatchEvent // retained events, oldest first
	leases            map[store.LeaseID]*lease
	lastLease         store.LeaseID // ID of the newest lease
	openWatches       map[*watch]bool
}

type watch struct {
	prefix        string
	pendingEvents []store.WatchEvent
	notify        chan struct{} // holds a value while serveWatch must send a batch
	isCut         bool          // the watch must end with ErrUnavailable
}

// New returns an empty engine.
func New() *Engine {
	return &Engine{
		kvs:         map[string]store.KV{},
		leases:      map[store.LeaseID]*lease{},
		openWatches: map[*watch]bool{},
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
	kvs := []store.KV{}
	for i := sort.SearchStrings(e.sortedKeys, from); i < len(e.sortedKeys) && e.sortedKeys[i] < to; i++ {
		if limit > 0 && len(kvs) == limit {
			break
		}
		kvs = append(kvs, e.kvs[e.sortedKeys[i]])
	}
	return kvs, e.revision, nil
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

// put writes the key in a new revision and publishes the event. The caller holds mu.
func (e *Engine) put(key string, value []byte, id store.LeaseID) store.KV {
	old, existed := e.kvs[key]
	if existed && old.Lease != 0 && e.leases[old.Lease] != nil {
		delete(e.leases[old.Lease].attachedKeys, key)
	}
	if !existed {
		i := sort.SearchStrings(e.sortedKeys, key)
		e.sortedKeys = append(e.sortedKeys, "")
		copy(e.sortedKeys[i+1:], e.sortedKeys[i:])
		e.sortedKeys[i] = key
	}
	e.revision++
	kv := store.KV{Key: key, Value: append([]byte(nil), value...), ModRevision: e.revision, Lease: id}
	e.kvs[key] = kv
	if id != 0 {
		e.leases[id].attachedKeys[key] = true
	}
	e.publish(store.WatchEvent{KV: kv})
	return kv
}

// DeleteRange implements store.Store.
func (e *Engine) DeleteRange(_ context.Context, from, to string) (int64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLeasesLocked()
	first := sort.SearchStrings(e.sortedKeys, from)
	last := sort.SearchStrings(e.sortedKeys, to)
	if last <= first {
		return 0, nil
	}
	matched := append([]string(nil), e.sortedKeys[first:last]...)
	e.removeKeys(matched)
	return int64(len(matched)), nil
}

// removeKeys deletes the keys in one new revision and publishes the events. The caller holds mu.
func (e *Engine) removeKeys(keys []string) {
	if len(keys) == 0 {
		return
	}
	e.revision++
	for _, key := range keys {
		kv := e.kvs[key]
		if kv.Lease != 0 && e.leases[kv.Lease] != nil {
			delete(e.leases[kv.Lease].attachedKeys, key)
		}
		delete(e.kvs, key)
		i := sort.SearchStrings(e.sortedKeys, key)
		e.sortedKeys = append(e.sortedKeys[:i], e.sortedKeys[i+1:]...)
		e.publish(store.WatchEvent{KV: store.KV{Key: key, ModRevision: e.revision}, Deleted: true})
	}
}

// GrantLease implements store.Store.
func (e *Engine) GrantLease(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastLease++
	ttl = ttl.Truncate(time.Second) + roundUpIncrement(ttl)
	e.leases[e.lastLease] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl), attachedKeys: map[string]bool{}}
	return e.lastLease, nil
}

// roundUpIncrement returns the time to add to the truncated ttl so that the result is ttl rounded up to whole seconds, at
// least one second.
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
	l.expiresAt = time.Now().Add(l.ttl)
	return l.ttl, nil
}

// RevokeLease implements store.Store.
func (e *Engine) RevokeLease(_ context.Context, id store.LeaseID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endLease(id)
	return nil
}

// endLease deletes the lease and the keys attached to it. The caller holds mu.
func (e *Engine) endLease(id store.LeaseID) {
	l := e.leases[id]
	if l == nil {
		return
	}
	keys := make([]string, 0, len(l.attachedKeys))
	for key := range l.attachedKeys {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	e.removeKeys(keys)
	delete(e.leases, id)
}

// expireLeasesLocked ends expired leases. It runs at the start of each call that uses keys or renews a lease, and in
// ExpireLeases. Leases therefore need no timers. The caller holds mu.
func (e *Engine) expireLeasesLocked() {
	now := time.Now()
	for id, l := range e.leases {
		if now.After(l.expiresAt) {
			e.endLease(id)
		}
	}
}

// ExpireLeases ends expired leases, so that watches receive the deletions even if no other calls are made.
func (e *Engine) ExpireLeases() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLeasesLocked()
}

// publish adds an event to the history and to the watches of its key. If the history has more than 2*historyLimit events, the
// oldest events are dropped. The caller holds mu.
func (e *Engine) publish(ev store.WatchEvent) {
	e.history = append(e.history, ev)
	if len(e.history) > 2*historyLimit {
		droppedCount := len(e.history) - historyLimit
		e.compactedRevision = e.history[droppedCount-1].KV.ModRevision
		e.history = append([]store.WatchEvent(nil), e.history[droppedCount:]...)
	}
	for w := range e.openWatches {
		if strings.HasPrefix(ev.KV.Key, w.prefix) {
			w.addEvent(ev)
		}
	}
}

func (w *watch) addEvent(ev store.WatchEvent) {
	w.pendingEvents = append(w.pendingEvents, ev)
	w.wake()
}

// wake makes serveWatch send the next batch.
func (w *watch) wake() {
	select {
	case w.notify <- struct{}{}:
	default:
	}
}

// CutWatches ends every watch that is open now with ErrUnavailable.
func (e *Engine) CutWatches() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for w := range e.openWatches {
		w.isCut = true
		w.wake()
	}
}

// OpenWatchCount returns the number of open watches.
func (e *Engine) OpenWatchCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.openWatches)
}

// Watch implements store.Store.
func (e *Engine) Watch(ctx context.Context, prefix string, from int64) (<-chan store.WatchBatch, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if from > 0 && from <= e.compactedRevision {
		return nil, store.ErrCompacted
	}
	w := &watch{prefix: prefix, notify: make(chan struct{}, 1)}
	if from > 0 {
		for _, ev := range e.history {
			if ev.KV.ModRevision >= from && strings.HasPrefix(ev.KV.Key, prefix) {
				w.addEvent(ev)
			}
		}
	}
	e.openWatches[w] = true
	out := make(chan store.WatchBatch)
	go e.serveWatch(ctx, w, out)
	return out, nil
}

// serveWatch sends the pending events of a watch to out until ctx is done or the watch is cut. It then removes the watch.
func (e *Engine) serveWatch(ctx context.Context, w *watch, out chan<- store.WatchBatch) {
	defer close(out)
	defer func() {
		e.mu.Lock()
		delete(e.openWatches, w)
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

// takeBatch returns the pending events of a watch and clears them.
func (e *Engine) takeBatch(w *watch) store.WatchBatch {
	e.mu.Lock()
	defer e.mu.Unlock()
	batch := store.WatchBatch{Revision: e.revision, Events: w.pendingEvents}
	if w.isCut {
		batch.Err = store.ErrUnavailable
	}
	w.pendingEvents = nil
	return batch
}

// Revision returns the store's revision, which is the revision of the newest write or deletion.
func (e *Engine) Revision() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.revision
}
