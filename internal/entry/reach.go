package entry

import (
	"context"
	"net/http"
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/membership"
)

// Probing of agents whose data connection failed.
const (
	reachEvery   = 500 * time.Millisecond
	reachTimeout = 1 * time.Second
	pingPath     = "/ping" // any answer counts
)

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
