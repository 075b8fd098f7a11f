package entry

import (
	"slices"
	"sync"

	"bamboofork/internal/membership"
	"bamboofork/internal/route"
)

// agentSet holds agents that get no new requests, by incarnation. mu guards agents.
type agentSet struct {
	mu     sync.Mutex
	agents map[string]int64
}

// add reports whether the agent was not in the set.
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

// with returns avoid and the agents of the set; it forgets those that are gone or started anew.
func (s *agentSet) with(avoid route.Avoid, table *membership.Table) route.Avoid {
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
