package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboofork/internal/invariant"
	"bamboofork/internal/membership"
)

// view is an immutable snapshot of all pools. The serverStates of its servers are shared with later views and do change.
type view struct {
	builtAt time.Time
	pools   map[string]*pool
}

// pool holds the servers of one pool that are neither shutting down, suspected nor down. If all others are suspected, it holds the suspected
// ones: the links of the entry itself are then the more likely fault, and refusing every request would help nobody.
type pool struct {
	suspectedServers []*Server
	allServers       []*Server // local and remote servers, at most maxServers
	localServers     []*Server // in the entry's failure domain
	remoteServers    []*Server
	meanServiceTimes [2]time.Duration // means of the local servers (index 0) and of the remote servers (index 1)
}

// maxServers is the maximum number of servers of a pool that an entry sends to. In a larger pool, the entry uses a subset
// chosen by rendezvous hashing with its failure domain. The connections and state of the entry then do not grow with the
// fleet, and a change of one member replaces one server of the subset. 64 servers of 8 slots are far more than one entry
// can fill.
const maxServers = 64

// rebuild builds a view from the member list; the caller holds buildMu.
func (b *Balancer) rebuild(now time.Time) *view {
	v := &view{builtAt: now, pools: map[string]*pool{}}
	seenIDs := make(map[string]bool, len(b.servers))
	for _, m := range b.members.Members() {
		if m.Role != membership.RoleAgent || m.Load.Backend == "" {
			continue
		}
		seenIDs[m.ID] = true
		state := b.trackMember(m, now)
		if m.Leaving || m.Load.BackendDown {
			continue
		}
		p := v.pools[m.Load.Backend]
		if p == nil {
			p = &pool{}
			v.pools[m.Load.Backend] = p
		}
		server := &Server{Member: m.Member, isLocal: m.Domain == b.domain, state: state}
		if m.Suspect {
			p.suspectedServers = append(p.suspectedServers, server)
		} else {
			p.allServers = append(p.allServers, server)
		}
	}
	for id := range b.servers {
		if !seenIDs[id] {
			delete(b.servers, id)
		}
	}
	for _, p := range v.pools {
		p.finalize(b.domain)
	}
	return v
}

// trackMember finds or creates the state of a member and applies the member's load report if the report is new.
func (b *Balancer) trackMember(m membership.Status, now time.Time) *serverState {
	s := b.servers[m.ID]
	if s == nil {
		s = &serverState{}
		if now.Sub(b.startedAt) > warmUpDuration {
			s.firstSeenAt = now
		}
		b.servers[m.ID] = s
	}
	if m.Version != s.appliedVersion {
		s.appliedVersion = m.Version
		s.applyMembershipReport(m, now)
	}
	return s
}

// applyMembershipReport applies a member's load report, unless a newer report has been applied, for example from a response.
func (s *serverState) applyMembershipReport(m membership.Status, now time.Time) {
	if m.Heard.UnixNano() <= s.reportedAt.Load() {
		return
	}
	s.recordLoad(m.Load.SlotsBusy+m.Load.Queued, now)
	s.reportedAt.Store(m.Heard.UnixNano())
}

// finalize limits the pool to maxServers, splits it into local and remote servers, and computes the means.
func (p *pool) finalize(domain string) {
	if len(p.allServers) == 0 {
		p.allServers = p.suspectedServers
	}
	p.suspectedServers = nil
	if len(p.allServers) > maxServers {
		p.selectSubset(domain)
	}
	for _, s := range p.allServers {
		if s.isLocal {
			p.localServers = append(p.localServers, s)
		} else {
			p.remoteServers = append(p.remoteServers, s)
		}
	}
	p.meanServiceTimes[0] = averageServiceTime(p.localServers)
	p.meanServiceTimes[1] = averageServiceTime(p.remoteServers)
	p.estimateMissingMeans()
	invariant.Check(len(p.allServers) <= maxServers, "route_subset_bounded", "%d servers in a view", len(p.allServers))
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

// estimateMissingMeans derives a missing mean from the other mean and crossDomainDelay. If both means are missing, the local
// mean is defaultServiceTime.
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

// selectSubset keeps the maxServers servers with the highest hashes. At most three quarters of them are local, provided that
// there are enough remote servers.
func (p *pool) selectSubset(domain string) {
	hash := func(s *Server) uint64 { return xxhash.Sum64String(domain + "\x00" + s.ID) }
	slices.SortFunc(p.allServers, func(a, b *Server) int {
		if ha, hb := hash(a), hash(b); ha != hb {
			if ha > hb {
				return -1
			}
			return 1
		}
		return 0
	})
	var kept, rest []*Server
	for _, s := range p.allServers {
		if s.isLocal && len(kept) < maxServers*3/4 {
			kept = append(kept, s)
		} else {
			rest = append(rest, s)
		}
	}
	kept = append(kept, rest...)
	p.allServers = kept[:maxServers]
}
