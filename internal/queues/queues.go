// Package queues holds the newest accepted manifest. A manifest describes how requests are routed to queues and which
// attributes the jobs of each queue get.
package queues

import (
	"strings"
	"sync/atomic"
	"time"

	"bamboofork/internal/jobs"
)

// Route is one queue with the host and the path prefix of the requests for the queue.
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
	// UnreadableRoutes is the number of routes that could not be decoded, and UnreadableCause the error of the first of them.
	UnreadableRoutes int
	UnreadableCause  error

	routesByHost map[string][]*Route // routes by host, built by BuildIndex
}

// BuildIndex builds the lookup table for Match and returns m. It must be called before the manifest is shared.
func (m *Manifest) BuildIndex() *Manifest {
	m.routesByHost = map[string][]*Route{}
	for i := range m.Routes {
		r := &m.Routes[i]
		m.routesByHost[r.Host] = append(m.routesByHost[r.Host], r)
	}
	return m
}

// Match returns the route for a request. Among the routes of the host without its port, it is the route with the longest prefix
// of the path. Match returns nil if there is none.
func (m *Manifest) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	var longestMatch *Route
	for _, r := range m.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (longestMatch == nil || len(r.Prefix) > len(longestMatch.Prefix)) {
			longestMatch = r
		}
	}
	return longestMatch
}

// CurrentManifest holds the newest manifest. It is safe for concurrent use.
type CurrentManifest struct{ manifest atomic.Pointer[Manifest] }

// Get returns the newest manifest, or nil if there is none yet.
func (c *CurrentManifest) Get() *Manifest { return c.manifest.Load() }

// SetIfNewer replaces the manifest if the version of m is higher, and reports whether it did so. The order of arrival does not
// decide, because reads on different connections may complete out of order.
func (c *CurrentManifest) SetIfNewer(m *Manifest) bool {
	for {
		previous := c.manifest.Load()
		if previous != nil && previous.Version >= m.Version {
			return false
		}
		if c.manifest.CompareAndSwap(previous, m) {
			return true
		}
	}
}
