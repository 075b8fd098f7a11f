package route

import "sync/atomic"

// roundRobinPolicy chooses the eligible servers in turn. It is a baseline for benchmarks.
type roundRobinPolicy struct{ pickCount atomic.Uint64 }

// Name implements Policy.
func (*roundRobinPolicy) Name() string { return PolicyRoundRobin }

// Choose implements Policy.
func (p *roundRobinPolicy) Choose(q *query) *Server {
	if len(q.pool.allServers) == 0 {
		return nil
	}
	from := p.pickCount.Add(1) % uint64(len(q.pool.allServers))
	return q.firstEligible(q.pool.allServers, int(from))
}
