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

// markUnreachable excludes an agent from routing after a failed request and starts probing the agent. The exclusion ends when
// the agent responds, restarts or leaves the membership.
func (e *Entry) markUnreachable(agent membership.Member) {
	if !e.unreachableAgents.add(agent) {
		return
	}
	events.AgentUnreachable.Log(&e.log).Str("agent", agent.ID).Send()
	go e.probeUntilReachable(agent)
}

func (e *Entry) probeUntilReachable(agent membership.Member) {
	defer e.unreachableAgents.remove(agent)
	for !e.probeAgent(agent) {
		select {
		case <-e.shutdown.begun:
			return
		case <-time.After(agentProbeInterval):
		}
		if current, ok := e.table.Lookup(agent.ID); !ok || current.Incarnation != agent.Incarnation {
			return
		}
	}
	events.AgentReached.Log(&e.log).Str("agent", agent.ID).Send()
}

func (e *Entry) probeAgent(agent membership.Member) bool {
	ctx, cancel := context.WithTimeout(context.Background(), agentProbeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.agentScheme+"://"+agent.DataAddr+pingPath, nil)
	if err != nil {
		return false
	}
	resp, err := e.agentTransport.RoundTrip(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return true
}
