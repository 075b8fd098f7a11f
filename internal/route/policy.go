package route

import (
	"slices"
	"time"
)

// Policy chooses a server of a pool. Implementations must be safe for concurrent use.
type Policy interface {
	Name() string
	// Choose returns an eligible server, or nil if there is none.
	Choose(q *query) *Server
}

// DefaultPolicy is used by an entry that configures no policy.
const DefaultPolicy = PolicyCost

// Names of the policies.
const (
	PolicyCost       = "cost"
	PolicyRandom     = "random"
	PolicyRoundRobin = "round-robin"
)

// Policies lists the names that New accepts.
func Policies() []string { return []string{PolicyCost, PolicyRandom, PolicyRoundRobin} }

func newPolicy(name string) Policy {
	switch name {
	case PolicyRandom:
		return randomPolicy{}
	case PolicyRoundRobin:
		return &roundRobinPolicy{}
	}
	return costPolicy{}
}

// query holds the inputs and the intermediate results of one pick.
type query struct {
	balancer     *Balancer
	pool         *pool
	tried        TriedServers
	now          time.Time
	decision     Decision
	sampleBuffer [localSampleCount + remoteSampleCount]*Server // backing array of sample results
}

// ineligibleReason returns why the server may not be chosen, or "" if the server may be chosen.
func (q *query) ineligibleReason(s *Server) string {
	switch {
	case q.tried.has(s.ID):
		return "already tried"
	case s.state.isEjected(q.now):
		return "ejected"
	}
	return ""
}

// isEligible reports whether the server may be chosen. If not, the reason is recorded
// in the decision.
func (q *query) isEligible(s *Server) bool {
	reason := q.ineligibleReason(s)
	if reason == "" {
		return true
	}
	q.decision.record(Candidate{Server: s, Reason: reason})
	return false
}

// firstEligible returns the first eligible server from position from on. The search wraps around at the end of servers.
// The result is nil if no server is eligible.
func (q *query) firstEligible(servers []*Server, from int) *Server {
	for i := range servers {
		s := servers[(from+i)%len(servers)]
		if q.isEligible(s) {
			return s
		}
	}
	return nil
}

// sample appends up to limit eligible servers to sampled and returns the extended slice. Servers that are already in sampled
// are skipped. The search starts at a random position and advances by a random stride, which needs no copy or shuffle.
// Unless includeWarmUp is set, servers in warm-up are skipped at random.
func (q *query) sample(servers []*Server, limit int, includeWarmUp bool, sampled []*Server) []*Server {
	n := len(servers)
	if n == 0 {
		return sampled
	}
	from := q.balancer.randomIntN(n)
	stride := 1
	if n > 2 {
		stride = coprimeStride(n, 1+q.balancer.randomIntN(n-1))
	}
	addedCount := 0
	for i := 0; i < n && addedCount < limit; i++ {
		s := servers[(from+i*stride)%n]
		if slices.Contains(sampled, s) || !q.isEligible(s) || !includeWarmUp && !q.passesWarmUp(s) {
			continue
		}
		sampled = append(sampled, s)
		addedCount++
	}
	return sampled
}

// warmUpDrawRange is the number of values of the random draw that decides whether a server in warm-up is used.
const warmUpDrawRange = 1000

// passesWarmUp reports whether the server may be used now. During its warm-up, the server is used for a random fraction of
// the picks.
func (q *query) passesWarmUp(s *Server) bool {
	fraction := s.state.warmUpFraction(q.now)
	if fraction >= 1 || float64(q.balancer.randomIntN(warmUpDrawRange)) < fraction*warmUpDrawRange {
		return true
	}
	q.decision.record(Candidate{Server: s, Reason: "warming up"})
	return false
}

// coprimeStride returns the first number from stride on that is coprime to n. A walk around n positions by this stride
// visits every position once.
func coprimeStride(n, stride int) int {
	for gcd(n, stride) != 1 {
		stride++
	}
	return stride
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
