// Package queues is the newest accepted manifest of queues and services as the processes use it: which queue a request
// belongs to and what the queue asks for.
package queues

import (
	"strings"
	"sync/atomic"
	"time"

	"bamboofork/internal/jobs"
)

// Route is one queue and the requests that belong to it.
type Route struct {
	Host    string // value of the Host header, without a port
	Prefix  string // start of the path
	Timeout time.Duration
	Queue   jobs.Queue
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Manifest is one version of the settings of all queues.
type Manifest struct {
	Version int64
	Routes  []Route
	Limits  Limits

	byHost map[string][]*Route
}

// Index prepares a manifest for look-ups. It must be called before the manifest is shared.
func (m *Manifest) Index() *Manifest {
	m.byHost = map[string][]*Route{}
	for i := range m.Routes {
		r := &m.Routes[i]
		m.byHost[r.Host] = append(m.byHost[r.Host], r)
	}
	return m
}

// Match returns the route with the longest prefix of the path on the host, or nil.
func (m *Manifest) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	var best *Route
	for _, r := range m.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Current holds the newest manifest. Safe for concurrent use.
type Current struct{ p atomic.Pointer[Manifest] }

// Get returns the newest manifest, or nil before the first.
func (c *Current) Get() *Manifest { return c.p.Load() }

// Offer replaces the manifest if the offered version is higher and reports whether it did. Versions are compared, not
// the order of arrival, because reads of different connections may overtake each other.
func (c *Current) Offer(m *Manifest) bool {
	for {
		old := c.p.Load()
		if old != nil && old.Version >= m.Version {
			return false
		}
		if c.p.CompareAndSwap(old, m) {
			return true
		}
	}
}
