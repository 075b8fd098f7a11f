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

// query is the state of one pick.
type query struct {
	balancer *Balancer
	pool     *pool
	tried    Tried
	now      time.Time
	decision Decision
	scratch  [localSamples + remoteSamples]*Server // backing array of sample results
}

// ineligibleReason returns why a server may not be chosen, or "" if it may.
func (q *query) ineligibleReason(s *Server) string {
	switch {
	case q.tried.has(s.ID):
		return "already tried"
	case s.state.ejected(q.now):
		return "ejected"
	}
	return ""
}

// eligible reports whether the server may be chosen and records the reason if not.
func (q *query) eligible(s *Server) bool {
	reason := q.ineligibleReason(s)
	if reason == "" {
		return true
	}
	q.decision.record(Candidate{Server: s, Reason: reason})
	return false
}

// firstEligible returns the first eligible server from a position on, wrapping around.
func (q *query) firstEligible(servers []*Server, from int) *Server {
	for i := range servers {
		s := servers[(from+i)%len(servers)]
		if q.eligible(s) {
			return s
		}
	}
	return nil
}

// sample appends up to k eligible servers that are not in into yet. It starts at a random position and advances by a
// random stride, which needs no copy or shuffle. Unless all is set, servers in warm-up are skipped at random.
func (q *query) sample(servers []*Server, k int, all bool, into []*Server) []*Server {
	n := len(servers)
	if n == 0 {
		return into
	}
	from := q.balancer.random(n)
	stride := 1
	if n > 2 {
		stride = coprimeStride(n, 1+q.balancer.random(n-1))
	}
	found := 0
	for i := 0; i < n && found < k; i++ {
		s := servers[(from+i*stride)%n]
		if slices.Contains(into, s) || !q.eligible(s) || !all && !q.passesWarmUp(s) {
			continue
		}
		into = append(into, s)
		found++
	}
	return into
}

// warmUpDraws is the resolution of the random draw for a server in warm-up.
const warmUpDraws = 1000

// passesWarmUp reports whether the server may be used now; during its warm-up it is used for a random fraction of the picks.
func (q *query) passesWarmUp(s *Server) bool {
	fraction := s.state.warmUpFraction(q.now)
	if fraction >= 1 || float64(q.balancer.random(warmUpDraws)) < fraction*warmUpDraws {
		return true
	}
	q.decision.record(Candidate{Server: s, Reason: "warming up"})
	return false
}

// coprimeStride returns the first number from stride on that is coprime to n, so that a walk by this stride visits every
// position once.
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
