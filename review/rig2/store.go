package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or the removal of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in of the platform's metadata store. mu guards its fields.
type store struct {
	mu        sync.Mutex
	items     map[string]*item
	leases    map[int64]*lease
	history   []item
	revision  int64
	nextLease int64
	changed   chan struct{} // closed and replaced with each change
}

const (
	storeDelay   = 4 * time.Millisecond // of each answer
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

func newStore() *store {
	return &store{items: map[string]*item{}, leases: map[int64]*lease{}, revision: 1, nextLease: 1, changed: make(chan struct{})}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// put writes an item as the operator does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, value, 0)
}

func (s *store) set(key string, value []byte, leaseID int64) {
	s.revision++
	created := s.revision
	if old := s.items[key]; old != nil {
		created = old.Created
	}
	i := &item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = i
	s.note(*i)
}

func (s *store) remove(key string) {
	if s.items[key] == nil {
		return
	}
	s.revision++
	delete(s.items, key)
	s.note(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) note(change item) {
	s.history = append(s.history, change)
	const keptChanges = 400
	if len(s.history) > 2*keptChanges {
		s.history = append([]item(nil), s.history[len(s.history)-keptChanges:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

type transaction struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected_rev"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	path, query := r.URL.Path, r.URL.Query()
	switch {
	case path == "/api/kv-watch":
		s.watch(w, r)
		return
	case path == "/api/kv-txn":
		var t transaction
		if json.NewDecoder(r.Body).Decode(&t) != nil {
			answer(w, http.StatusBadRequest, struct{}{})
			return
		}
		status, body := s.apply(&t)
		answer(w, status, body)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	switch {
	case path == "/api/kv-key":
		if i := s.items[query.Get("key")]; i != nil {
			answer(w, http.StatusOK, struct {
				*item
				AsOf int64 `json:"as_of"`
			}{i, s.revision})
		} else {
			answer(w, http.StatusNotFound, map[string]int64{"as_of": s.revision})
		}
	case path == "/api/kv-range":
		page, more := s.page(query.Get("prefix"), query.Get("after"))
		answer(w, http.StatusOK, map[string]any{"items": page, "more_pages": more, "as_of": s.revision})
	case path == "/api/kv-lease":
		var asked struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&asked) != nil {
			answer(w, http.StatusBadRequest, struct{}{})
			return
		}
		s.nextLease++
		ttl := time.Duration(max(asked.TTL, 1000)) * time.Millisecond
		s.leases[s.nextLease] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
		answer(w, http.StatusOK, map[string]int64{"lease": s.nextLease, "ttl_ms": ttl.Milliseconds()})
	case strings.HasPrefix(path, "/api/kv-keep/"):
		id, _ := strconv.ParseInt(path[len("/api/kv-keep/"):], 10, 64)
		l := s.leases[id]
		if l == nil {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
		l.expires = time.Now().Add(l.ttl)
		answer(w, http.StatusOK, map[string]int64{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		id, _ := strconv.ParseInt(path[len("/api/kv-lease-end/"):], 10, 64)
		if s.leases[id] == nil {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
		s.endLease(id)
		answer(w, http.StatusOK, struct{}{})
	default:
		answer(w, http.StatusNotFound, struct{}{})
	}
}

func (s *store) page(prefix, after string) (page []*item, more bool) {
	keys := []string{}
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page, bytes := []*item{}, 0
	for _, key := range keys {
		if len(page) >= maxPageItems || (len(page) > 0 && bytes+len(s.items[key].Value) > maxPageBytes) {
			return page, true
		}
		page, bytes = append(page, s.items[key]), bytes+len(s.items[key].Value)
	}
	return page, false
}

func (s *store) apply(t *transaction) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current, holds := []*item{}, true
	for _, e := range t.Expected {
		revision := int64(0)
		if i := s.items[e.Key]; i != nil {
			current, revision = append(current, i), i.Revision
		}
		holds = holds && revision == e.Revision
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, struct{}{}
		}
		if strings.HasPrefix(p.Key, "op/") {
			return http.StatusForbidden, struct{}{}
		}
	}
	for _, p := range t.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	return http.StatusOK, map[string]int64{"revision": s.revision}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(min(waitMs, 30_000)) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		s.expire()
		events, asOf, changed := []item{}, s.revision, s.changed
		gone := len(s.history) > 0 && s.history[0].Revision > after+1 && s.revision > after && s.history[0].Revision > 2
		for _, change := range s.history {
			if change.Revision > after && strings.HasPrefix(change.Key, query.Get("prefix")) {
				events = append(events, change)
			}
		}
		s.mu.Unlock()
		if gone {
			answer(w, http.StatusGone, struct{}{})
			return
		}
		if len(events) > 0 || ended {
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}
