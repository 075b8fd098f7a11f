// Package queues holds the newest accepted manifest, which describes the queues: how requests are routed to them and which
// attributes their jobs get.
package queues

import (
	"strings"
	"sync/atomic"
	"time"

	"bamboofork/internal/jobs"
)

// Route is one queue with the pattern that requests for it match.
type Route struct {
	Host    string        // value of the Host header without the port
	Prefix  string        // prefix of the path
	Timeout time.Duration // maximum time that callers of the queue wait; 0: not set
	Queue   jobs.Queue
}

// Limits are the limits on callers' HTTP requests and connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Manifest is one version of the routes and limits of all queues.
type Manifest struct {
	Version int64
	Routes  []Route
	Limits  Limits

	byHost map[string][]*Route // routes by host, built by Index
}

// Index builds the lookup table for Match and returns m. It must be called before the manifest is shared.
func (m *Manifest) Index() *Manifest {
	m.byHost = map[string][]*Route{}
	for i := range m.Routes {
		r := &m.Routes[i]
		m.byHost[r.Host] = append(m.byHost[r.Host], r)
	}
	return m
}

// Match returns the route of the host with the longest matching path prefix, or nil.
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
type Current struct{ manifest atomic.Pointer[Manifest] }

// Get returns the newest manifest, or nil if there is none yet.
func (c *Current) Get() *Manifest { return c.manifest.Load() }

// SetIfNewer replaces the manifest if the given one has a higher version, and reports whether it did. The version decides, not
// the order of arrival, because reads on different connections may complete out of order.
func (c *Current) SetIfNewer(m *Manifest) bool {
	for {
		old := c.manifest.Load()
		if old != nil && old.Version >= m.Version {
			return false
		}
		if c.manifest.CompareAndSwap(old, m) {
			return true
		}
	}
}
