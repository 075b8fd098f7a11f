package entry

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/membership"
	"bamboofork/internal/route"
)

// Probing of agents whose data connection failed.
const (
	reachEvery   = 500 * time.Millisecond
	reachTimeout = 1 * time.Second
	pingPath     = "/ping" // any answer counts
)

// unreachable holds the agents whose last exchange broke, by incarnation. They get new requests again when a probe on
// the data address is answered; membership alone cannot tell, because control connections may work while data
// connections do not. mu guards agents.
type unreachable struct {
	mu     sync.Mutex
	agents map[string]int64
}

// add reports whether the agent was not in the set.
func (u *unreachable) add(m membership.Member) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.agents == nil {
		u.agents = map[string]int64{}
	}
	if u.agents[m.ID] == m.Incarnation {
		return false
	}
	u.agents[m.ID] = m.Incarnation
	return true
}

func (u *unreachable) remove(m membership.Member) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.agents[m.ID] == m.Incarnation {
		delete(u.agents, m.ID)
	}
}

// with returns avoid and the unreachable agents.
func (u *unreachable) with(avoid route.Avoid) route.Avoid {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.agents) == 0 {
		return avoid
	}
	out := slices.Clone(avoid)
	for id := range u.agents {
		out = append(out, id)
	}
	return out
}

// suspect keeps requests away from an agent whose exchange broke, and probes it until it answers or is gone.
func (e *Entry) suspect(m membership.Member) {
	if !e.unreachable.add(m) {
		return
	}
	events.AgentUnreachable.Log(&e.log).Str("agent", m.ID).Send()
	go e.probeUntilReached(m)
}

func (e *Entry) probeUntilReached(m membership.Member) {
	defer e.unreachable.remove(m)
	for !e.reached(m) {
		select {
		case <-e.stop.ch:
			return
		case <-time.After(reachEvery):
		}
		if now, ok := e.table.Lookup(m.ID); !ok || now.Incarnation != m.Incarnation {
			return
		}
	}
	events.AgentReached.Log(&e.log).Str("agent", m.ID).Send()
}

func (e *Entry) reached(m membership.Member) bool {
	ctx, cancel := context.WithTimeout(context.Background(), reachTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.scheme+"://"+m.DataAddr+pingPath, nil)
	if err != nil {
		return false
	}
	resp, err := e.client.RoundTrip(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return true
}
