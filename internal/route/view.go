package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboofork/internal/invariant"
	"bamboofork/internal/membership"
)

// view is an immutable picture of all pools. Estimates inside it go on changing.
type view struct {
	built time.Time
	pools map[string]*pool
}

// pool holds the servers of one pool that are neither leaving nor suspected.
type pool struct {
	all    []*Server // at most maxServers
	local  []*Server // in the entry's failure domain
	remote []*Server
	means  [2]time.Duration // mean service time of the local and of the remote servers
}

// maxServers bounds the servers of one pool that an entry sends to. Beyond it each entry uses its own subset, by
// rendezvous hashing, so that connections and state do not grow with the fleet and a change of one member moves one
// server. 64 servers of 8 slots are far more than one entry can fill.
const maxServers = 64

// rebuild makes a view from the member list; build must be held.
func (b *Balancer) rebuild(now time.Time) *view {
	v := &view{built: now, pools: map[string]*pool{}}
	seen := make(map[string]bool, len(b.known))
	for _, m := range b.members.Members() {
		if m.Role != membership.RoleAgent || m.Load.Backend == "" {
			continue
		}
		seen[m.ID] = true
		state := b.track(m, now)
		if m.Leaving || m.Suspect || m.Load.BackendDown {
			continue
		}
		p := v.pools[m.Load.Backend]
		if p == nil {
			p = &pool{}
			v.pools[m.Load.Backend] = p
		}
		p.all = append(p.all, &Server{Member: m.Member, local: m.Domain == b.domain, state: state})
	}
	for id := range b.known {
		if !seen[id] {
			delete(b.known, id)
		}
	}
	for _, p := range v.pools {
		p.finish(b.domain)
	}
	return v
}

// track returns the estimates of a member and takes over a newer load report. A restarted server starts anew.
func (b *Balancer) track(m membership.Status, now time.Time) *server {
	s := b.known[m.ID]
	if s == nil {
		s = &server{}
		if now.Sub(b.started) > warmUp {
			s.first = now
		}
		b.known[m.ID] = s
	}
	if m.Version != s.version {
		s.version = m.Version
		s.fromMembership(m, now)
	}
	return s
}

// fromMembership takes over a membership report unless an answer has brought newer news.
func (s *server) fromMembership(m membership.Status, now time.Time) {
	if m.Heard.UnixNano() <= s.reported.Load() {
		return
	}
	s.report(m.Load.SlotsBusy+m.Load.Queued, now)
	s.reported.Store(m.Heard.UnixNano())
}

// finish bounds the pool and splits it by failure domain.
func (p *pool) finish(domain string) {
	if len(p.all) > maxServers {
		p.subset(domain)
	}
	for _, s := range p.all {
		if s.local {
			p.local = append(p.local, s)
		} else {
			p.remote = append(p.remote, s)
		}
	}
	p.means[0] = meanService(p.local)
	p.means[1] = meanService(p.remote)
	p.guessMeans()
	invariant.Check(len(p.all) <= maxServers, "route_subset_bounded", "%d servers in a view", len(p.all))
}

// meanService averages the measured service times, 0 if there are none.
func meanService(servers []*Server) time.Duration {
	var sum, n int64
	for _, s := range servers {
		if t := s.state.service.Load(); t > 0 {
			sum, n = sum+t, n+1
		}
	}
	if n == 0 {
		return 0
	}
	return time.Duration(sum / n)
}

// guessMeans fills in a mean that is not measured yet from the other one and the link's delay.
func (p *pool) guessMeans() {
	if p.means[0] == 0 && p.means[1] == 0 {
		p.means[0] = priorService
	}
	if p.means[0] == 0 {
		p.means[0] = max(p.means[1]-linkDelay, p.means[1]/2)
	}
	if p.means[1] == 0 {
		p.means[1] = p.means[0] + linkDelay
	}
}

// mean returns the mean service time of the servers in the entry's failure domain or outside, link included.
func (p *pool) mean(local bool) time.Duration {
	if local {
		return p.means[0]
	}
	return p.means[1]
}

// subset keeps the servers with the highest hashes, at most three quarters of them local.
func (p *pool) subset(domain string) {
	hash := func(s *Server) uint64 { return xxhash.Sum64String(domain + "\x00" + s.ID) }
	slices.SortFunc(p.all, func(a, b *Server) int {
		if ha, hb := hash(a), hash(b); ha != hb {
			if ha > hb {
				return -1
			}
			return 1
		}
		return 0
	})
	var kept, rest []*Server
	for _, s := range p.all {
		if s.local && len(kept) < maxServers*3/4 {
			kept = append(kept, s)
		} else {
			rest = append(rest, s)
		}
	}
	kept = append(kept, rest...)
	p.all = kept[:maxServers]
}
