package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboofork/internal/invariant"
	"bamboofork/internal/membership"
)

// view is an immutable snapshot of all pools. The serverStates that it refers to keep changing.
type view struct {
	built time.Time
	pools map[string]*pool
}

// pool holds the servers of one pool that are neither shutting down, suspected nor down.
type pool struct {
	all              []*Server // at most maxServers
	local            []*Server // in the entry's failure domain
	remote           []*Server
	meanServiceTimes [2]time.Duration // of the local and of the remote servers
}

// maxServers is the maximum number of servers of a pool that an entry sends to. In a larger pool the entry uses a subset,
// chosen by rendezvous hashing with its failure domain, so that connections and state do not grow with the fleet and a
// change of one member replaces one server. 64 servers of 8 slots are far more than one entry can fill.
const maxServers = 64

// rebuild builds a view from the member list; the caller holds buildMu.
func (b *Balancer) rebuild(now time.Time) *view {
	v := &view{built: now, pools: map[string]*pool{}}
	seen := make(map[string]bool, len(b.servers))
	for _, m := range b.members.Members() {
		if m.Role != membership.RoleAgent || m.Load.Backend == "" {
			continue
		}
		seen[m.ID] = true
		state := b.trackMember(m, now)
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
	for id := range b.servers {
		if !seen[id] {
			delete(b.servers, id)
		}
	}
	for _, p := range v.pools {
		p.finalize(b.domain)
	}
	return v
}

// trackMember returns the state of a member and applies its load report if it is new.
func (b *Balancer) trackMember(m membership.Status, now time.Time) *serverState {
	s := b.servers[m.ID]
	if s == nil {
		s = &serverState{}
		if now.Sub(b.started) > warmUpDuration {
			s.firstSeen = now
		}
		b.servers[m.ID] = s
	}
	if m.Version != s.version {
		s.version = m.Version
		s.applyMembershipReport(m, now)
	}
	return s
}

// applyMembershipReport applies a member's load report unless a newer report is known, such as from a response.
func (s *serverState) applyMembershipReport(m membership.Status, now time.Time) {
	if m.Heard.UnixNano() <= s.reportedAt.Load() {
		return
	}
	s.recordLoad(m.Load.SlotsBusy+m.Load.Queued, now)
	s.reportedAt.Store(m.Heard.UnixNano())
}

// finalize limits the pool to maxServers, splits it into local and remote servers, and computes the means.
func (p *pool) finalize(domain string) {
	if len(p.all) > maxServers {
		p.selectSubset(domain)
	}
	for _, s := range p.all {
		if s.local {
			p.local = append(p.local, s)
		} else {
			p.remote = append(p.remote, s)
		}
	}
	p.meanServiceTimes[0] = averageServiceTime(p.local)
	p.meanServiceTimes[1] = averageServiceTime(p.remote)
	p.estimateMissingMeans()
	invariant.Check(len(p.all) <= maxServers, "route_subset_bounded", "%d servers in a view", len(p.all))
}

// averageServiceTime returns the mean of the measured service times, 0 if there are none.
func averageServiceTime(servers []*Server) time.Duration {
	var sum, n int64
	for _, s := range servers {
		if t := s.state.serviceTime.Load(); t > 0 {
			sum, n = sum+t, n+1
		}
	}
	if n == 0 {
		return 0
	}
	return time.Duration(sum / n)
}

// estimateMissingMeans derives a mean without measurements from the other one and crossDomainDelay.
func (p *pool) estimateMissingMeans() {
	if p.meanServiceTimes[0] == 0 && p.meanServiceTimes[1] == 0 {
		p.meanServiceTimes[0] = defaultServiceTime
	}
	if p.meanServiceTimes[0] == 0 {
		p.meanServiceTimes[0] = max(p.meanServiceTimes[1]-crossDomainDelay, p.meanServiceTimes[1]/2)
	}
	if p.meanServiceTimes[1] == 0 {
		p.meanServiceTimes[1] = p.meanServiceTimes[0] + crossDomainDelay
	}
}

// meanServiceTime returns the mean service time of the local or of the remote servers, network latency included.
func (p *pool) meanServiceTime(local bool) time.Duration {
	if local {
		return p.meanServiceTimes[0]
	}
	return p.meanServiceTimes[1]
}

// selectSubset keeps the maxServers servers with the highest hashes, of which at most three quarters are local while
// there are enough remote ones.
func (p *pool) selectSubset(domain string) {
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
