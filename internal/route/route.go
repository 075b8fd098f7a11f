// Package route chooses a backend server for a request at an entry. The entry sees
// each server's load late: from the headers of answers, from membership reports, and
// from what it has in flight itself. A request reads an immutable view of the pool and
// atomic estimates; it neither copies nor locks the member list.
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

// Members is the source of candidates.
type Members interface {
	Members() []membership.Status
}

// refreshInterval is the age at which the view is rebuilt from the member list. Membership reports arrive every
// 200 to 300 ms, so a shorter interval would find nothing new.
const refreshInterval = 100 * time.Millisecond

// Balancer chooses servers for one entry. build guards known and is held while a view is built; requests only load
// view.
type Balancer struct {
	domain  string
	members Members
	policy  Policy
	log     zerolog.Logger
	started time.Time
	random  func(n int) int

	build sync.Mutex
	known map[string]*server
	view  atomic.Pointer[view]
}

// Config configures a Balancer.
type Config struct {
	Domain string // failure domain of the entry
	Policy string // name of a policy; "" takes DefaultPolicy
	Random func(n int) int
	Log    zerolog.Logger
}

// New returns a balancer. Random is the source of choices in [0, n); nil takes the process's random source. An unknown
// policy falls back to the default; package config refuses it earlier.
func New(cfg Config, members Members) *Balancer {
	b := &Balancer{
		domain: cfg.Domain, members: members, policy: newPolicy(cfg.Policy), log: cfg.Log,
		started: time.Now(), random: cfg.Random, known: map[string]*server{},
	}
	if b.random == nil {
		b.random = rand.IntN
	}
	return b
}

// Pick chooses a server of the pool that is not in avoid. Picked.Done must be called exactly once if a server is
// chosen.
func (b *Balancer) Pick(pool string, avoid Avoid) Decision {
	now := time.Now()
	v := b.current(now)
	p := v.pools[pool]
	if p == nil {
		return Decision{Policy: b.policy.Name(), None: "no server of pool " + pool + " is known"}
	}
	q := &query{balancer: b, pool: p, avoid: avoid, now: now}
	q.decision.Policy = b.policy.Name()
	if s := b.policy.Choose(q); s != nil {
		q.decision.choose(s, now)
	} else {
		q.decision.None = "no server of pool " + pool + " is eligible"
	}
	return q.decision
}

// current returns the view. The first request after refreshInterval rebuilds it; the others go on with the old one.
func (b *Balancer) current(now time.Time) *view {
	v := b.view.Load()
	if v != nil && now.Sub(v.built) < refreshInterval {
		return v
	}
	if v != nil && !b.build.TryLock() {
		return v
	}
	if v == nil {
		b.build.Lock()
	}
	defer b.build.Unlock()
	if newer := b.view.Load(); newer != v {
		return newer
	}
	v = b.rebuild(now)
	b.view.Store(v)
	return v
}

// Result is what an entry learned from one request.
type Result struct {
	Failed   bool          // no answer, or an answer that shows a fault of the server
	Refused  bool          // not run
	Took     time.Duration // from the dispatch to the answer's header; ignored if Failed or Refused
	Waited   time.Duration // at the agent's gate, part of Took
	Busy     int           // slots in use, from the answer; -1 if not known
	Queued   int           // waiting at the gate, from the answer
	Overload bool          // refused because of overload
}

// load is the load that the answer reports, without the request itself, which still held its slot.
func (r Result) load() int {
	if r.Failed || r.Refused {
		return r.Busy + r.Queued
	}
	return max(0, r.Busy+r.Queued-1)
}

// Done reports the outcome of a picked request.
func (b *Balancer) Done(s *Server, r Result) {
	now := time.Now()
	left := s.state.inflight.Add(-1)
	invariant.Check(left >= 0, "route_inflight", "%d requests in flight at %s", left, s)
	if r.Busy >= 0 {
		s.state.report(r.load(), now)
	}
	if !r.Failed && !r.Refused {
		s.state.observe(max(0, r.Took-r.Waited), now)
	}
	b.judge(s, r.Failed, now)
}

// Cancel gives back a pick that was not used.
func (b *Balancer) Cancel(s *Server) {
	left := s.state.inflight.Add(-1)
	invariant.Check(left >= 0, "route_inflight", "%d requests in flight at %s", left, s)
}

// judge counts a failure and ejects the server where that is called for.
func (b *Balancer) judge(s *Server, failed bool, now time.Time) {
	if !s.state.outcome(failed, now) {
		return
	}
	b.build.Lock()
	defer b.build.Unlock()
	p := b.view.Load().pools[s.Load.Backend]
	if p == nil {
		return
	}
	if !p.mayEject(now) {
		s.state.forgive()
		events.EjectionCapped.Log(&b.log).Str("server", s.ID).Int("servers", len(p.all)).Send()
		return
	}
	took := s.state.eject(now)
	events.ServerEjected.Log(&b.log).Str("server", s.ID).Dur("for", took).Send()
}
