package entry

import (
	"slices"
	"sync"

	"bamboofork/internal/membership"
	"bamboofork/internal/route"
)

// agentSet is a set of agents to exclude from routing, with the incarnation of each. mu guards agents.
type agentSet struct {
	mu     sync.Mutex
	agents map[string]int64
}

// add inserts the agent and reports whether the set changed.
func (s *agentSet) add(m membership.Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.agents == nil {
		s.agents = map[string]int64{}
	}
	if s.agents[m.ID] == m.Incarnation {
		return false
	}
	s.agents[m.ID] = m.Incarnation
	return true
}

func (s *agentSet) remove(m membership.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.agents[m.ID] == m.Incarnation {
		delete(s.agents, m.ID)
	}
}

// appendTo returns avoid extended by the agents of the set. It first removes agents that left the membership or restarted.
func (s *agentSet) appendTo(avoid route.Tried, table *membership.Table) route.Tried {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.agents) == 0 {
		return avoid
	}
	out := slices.Clone(avoid)
	for id, incarnation := range s.agents {
		m, ok := table.Lookup(id)
		if !ok || m.Incarnation != incarnation {
			delete(s.agents, id)
			continue
		}
		out = append(out, id)
	}
	return out
}
