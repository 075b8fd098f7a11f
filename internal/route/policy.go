package route

import (
	"slices"
	"time"
)

// Policy chooses among the servers of a pool. It must be safe for concurrent use.
type Policy interface {
	Name() string
	// Choose returns a server that query.reject accepts, or nil.
	Choose(q *query) *Server
}

// DefaultPolicy is the policy of an entry without a setting.
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

// query is one pick in progress.
type query struct {
	balancer *Balancer
	pool     *pool
	avoid    Avoid
	now      time.Time
	decision Decision
	scratch  [localChoices + remoteChoices]*Server // backing of samples
}

// reject says why a server is not eligible, "" if it is.
func (q *query) reject(s *Server) string {
	switch {
	case q.avoid.has(s.ID):
		return "already tried"
	case s.state.ejected(q.now):
		return "ejected"
	}
	return ""
}

// eligible reports whether the server may be chosen and notes the reason if not.
func (q *query) eligible(s *Server) bool {
	reason := q.reject(s)
	if reason == "" {
		return true
	}
	q.decision.note(Considered{Server: s, Reason: reason})
	return false
}

// firstEligible scans the servers from a position on.
func (q *query) firstEligible(servers []*Server, from int) *Server {
	for i := range servers {
		s := servers[(from+i)%len(servers)]
		if q.eligible(s) {
			return s
		}
	}
	return nil
}

// sample returns up to k different eligible servers, taken from a random position in random steps, so that nothing
// is copied or shuffled. Servers in warm-up are passed over by chance unless all says to take them.
func (q *query) sample(servers []*Server, k int, all bool, into []*Server) []*Server {
	n := len(servers)
	if n == 0 {
		return into
	}
	from := q.balancer.random(n)
	step := 1
	if n > 2 {
		step = coprimeStep(n, 1+q.balancer.random(n-1))
	}
	found := 0
	for i := 0; i < n && found < k; i++ {
		s := servers[(from+i*step)%n]
		if slices.Contains(into, s) || !q.eligible(s) || !all && !q.warm(s) {
			continue
		}
		into = append(into, s)
		found++
	}
	return into
}

// warmDraws is the resolution of the draw for a server in warm-up.
const warmDraws = 1000

func (q *query) warm(s *Server) bool {
	share := s.state.warmShare(q.now)
	if share >= 1 || float64(q.balancer.random(warmDraws)) < share*warmDraws {
		return true
	}
	q.decision.note(Considered{Server: s, Reason: "warming up"})
	return false
}

// coprimeStep returns the first number from step on that has no common factor with n, so that steps visit every
// position once.
func coprimeStep(n, step int) int {
	for gcd(n, step) != 1 {
		step++
	}
	return step
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
