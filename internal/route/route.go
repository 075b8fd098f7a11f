// Package route is the load balancer of an entry. It chooses a backend server for each
// request. The load of a server is estimated from response headers and membership reports,
// which are delayed, and from the entry's own requests in flight. A pick reads an immutable
// view of the pool and atomic estimates. The pick neither copies nor locks the member list.
package route

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"bamboofork/internal/events"
	"bamboofork/internal/invariant"
	"bamboofork/internal/membership"
)

// MemberSource is the source of the member list.
type MemberSource interface {
	Members() []membership.Status
}

// refreshInterval is the age at which the view is rebuilt from the member list. Membership reports arrive every
// 200 to 300 ms, so a shorter interval would rarely find a change.
const refreshInterval = 100 * time.Millisecond

// Balancer chooses servers for one entry. buildMu guards servers and is held while a view is built. A pick that does not
// rebuild the view only loads the view pointer.
type Balancer struct {
	domain     string
	members    MemberSource
	policy     Policy
	log        zerolog.Logger
	startedAt  time.Time
	randomIntN func(n int) int

	buildMu sync.Mutex
	servers map[string]*serverState
	view    atomic.Pointer[view]
}

// Config configures a Balancer.
type Config struct {
	Domain     string          // failure domain of the entry
	Policy     string          // name of a policy; "" means DefaultPolicy
	RandomIntN func(n int) int // returns a random number in [0, n); nil means math/rand/v2
	Log        zerolog.Logger
}

// New returns a balancer. Config.RandomIntN returns a random number in [0, n). If Config.RandomIntN is nil, math/rand/v2 is used.
// An unknown policy falls back to DefaultPolicy, but package config rejects unknown policies before New is called.
func New(cfg Config, members MemberSource) *Balancer {
	b := &Balancer{
		domain: cfg.Domain, members: members, policy: newPolicy(cfg.Policy), log: cfg.Log,
		startedAt: time.Now(), randomIntN: cfg.RandomIntN, servers: map[string]*serverState{},
	}
	if b.randomIntN == nil {
		b.randomIntN = rand.IntN
	}
	return b
}

// Pick chooses a server of the pool that is not in tried and counts a request in flight to that server. The caller must
// call Done or Cancel exactly once for each chosen server.
func (b *Balancer) Pick(pool string, tried TriedServers) Decision {
	now := time.Now()
	v := b.currentView(now)
	p := v.pools[pool]
	if p == nil {
		return Decision{Policy: b.policy.Name(), NotChosenReason: "no server of pool " + pool + " is known"}
	}
	q := &query{balancer: b, pool: p, tried: tried, now: now}
	q.decision.Policy = b.policy.Name()
	if s := b.policy.Choose(q); s != nil {
		q.decision.setChosen(s, now)
	} else {
		q.decision.NotChosenReason = "no server of pool " + pool + " is eligible"
	}
	return q.decision
}

// currentView returns the current view. The first pick after refreshInterval rebuilds the view. Concurrent picks use the
// old view, except that they wait for the very first view.
func (b *Balancer) currentView(now time.Time) *view {
	v := b.view.Load()
	if v != nil && now.Sub(v.builtAt) < refreshInterval {
		return v
	}
	if v != nil && !b.buildMu.TryLock() {
		return v
	}
	if v == nil {
		b.buildMu.Lock()
	}
	defer b.buildMu.Unlock()
	if newer := b.view.Load(); newer != v {
		return newer
	}
	v = b.rebuild(now)
	b.view.Store(v)
	return v
}

// Result is the outcome of a request, as the entry observed it.
type Result struct {
	Failed             bool          // no response, or a response that indicates a server fault
	Refused            bool          // the request was not run
	ResponseTime       time.Duration // from sending to the response header; ignored if Failed or Refused
	QueueTime          time.Duration // time in the agent's queue, part of ResponseTime
	BusySlots          int           // slots in use according to the response; -1 if unknown
	Queued             int           // queued requests according to the response
	RefusedForOverload bool          // refused because of overload
}

// load returns the number of requests at the server according to the response, without the request itself. A request that
// ran still held its slot when the server reported the number.
func (r Result) load() int {
	if r.Failed || r.Refused {
		return r.BusySlots + r.Queued
	}
	return max(0, r.BusySlots+r.Queued-1)
}

// Done reports the outcome of a request that was sent to a picked server.
func (b *Balancer) Done(s *Server, r Result) {
	now := time.Now()
	inflightCount := s.state.inflight.Add(-1)
	invariant.Check(inflightCount >= 0, "route_inflight", "%d requests in flight at %s", inflightCount, s)
	if r.BusySlots >= 0 {
		s.state.recordLoad(r.load(), now)
	}
	if !r.Failed && !r.Refused {
		s.state.recordServiceTime(max(0, r.ResponseTime-r.QueueTime), now)
	}
	b.recordOutcome(s, r.Failed, now)
}

// Cancel undoes a pick whose request was not sent.
func (b *Balancer) Cancel(s *Server) {
	inflightCount := s.state.inflight.Add(-1)
	invariant.Check(inflightCount >= 0, "route_inflight", "%d requests in flight at %s", inflightCount, s)
}

// recordOutcome counts the outcome of a request and ejects the server after too many failures. The server is not ejected
// if too many servers of the pool are ejected already.
func (b *Balancer) recordOutcome(s *Server, failed bool, now time.Time) {
	if !s.state.countOutcome(failed, now) {
		return
	}
	b.buildMu.Lock()
	defer b.buildMu.Unlock()
	p := b.view.Load().pools[s.Load.Backend]
	if p == nil {
		return
	}
	if !p.canEject(now) {
		s.state.resetFailures()
		events.EjectionCapped.Log(&b.log).Str("server", s.ID).Int("servers", len(p.allServers)).Send()
		return
	}
	duration := s.state.eject(now)
	events.ServerEjected.Log(&b.log).Str("server", s.ID).Dur("for", duration).Send()
}
