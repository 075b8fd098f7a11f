package entry

import (
	"context"
	"net/http"
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/membership"
)

// Timing and path of probes to agents whose data connection failed.
const (
	agentProbeInterval = 500 * time.Millisecond
	agentProbeTimeout  = 1 * time.Second
	pingPath           = "/ping" // any HTTP response counts as reachable
)

// markUnreachable excludes an agent from routing after a failed request and starts to probe it. The agent is included
// again when it responds, and dropped when it restarts or leaves the membership.
func (e *Entry) markUnreachable(m membership.Member) {
	if !e.unreachableAgents.add(m) {
		return
	}
	events.AgentUnreachable.Log(&e.log).Str("agent", m.ID).Send()
	go e.probeUntilReachable(m)
}

func (e *Entry) probeUntilReachable(m membership.Member) {
	defer e.unreachableAgents.remove(m)
	for !e.probeAgent(m) {
		select {
		case <-e.shutdown.begun:
			return
		case <-time.After(agentProbeInterval):
		}
		if now, ok := e.table.Lookup(m.ID); !ok || now.Incarnation != m.Incarnation {
			return
		}
	}
	events.AgentReached.Log(&e.log).Str("agent", m.ID).Send()
}

func (e *Entry) probeAgent(m membership.Member) bool {
	ctx, cancel := context.WithTimeout(context.Background(), agentProbeTimeout)
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
