package entry

import (
	"slices"
	"sync"

	"bamboofork/internal/membership"
	"bamboofork/internal/route"
)

// agentSet is a set of agents to exclude from routing. incarnations holds the incarnation of each agent by agent ID; mu
// guards the map.
type agentSet struct {
	mu           sync.Mutex
	incarnations map[string]int64
}

// add inserts the agent. It returns false if the set already has this incarnation of the agent.
func (s *agentSet) add(agent membership.Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnations == nil {
		s.incarnations = map[string]int64{}
	}
	if s.incarnations[agent.ID] == agent.Incarnation {
		return false
	}
	s.incarnations[agent.ID] = agent.Incarnation
	return true
}

func (s *agentSet) remove(agent membership.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnations[agent.ID] == agent.Incarnation {
		delete(s.incarnations, agent.ID)
	}
}

// appendTo returns a copy of avoid extended by the IDs of the agents in the set. It removes agents from the set that have
// left the membership or restarted. If the set is empty, it returns avoid itself.
func (s *agentSet) appendTo(avoid route.TriedServers, table *membership.Table) route.TriedServers {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.incarnations) == 0 {
		return avoid
	}
	extended := slices.Clone(avoid)
	for agentID, incarnation := range s.incarnations {
		m, ok := table.Lookup(agentID)
		if !ok || m.Incarnation != incarnation {
			delete(s.incarnations, agentID)
			continue
		}
		extended = append(extended, agentID)
	}
	return extended
}
