package deployed

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bamboofork/internal/hostagent"
	"bamboofork/internal/hostconfig"
	"bamboofork/internal/jobowner"
	"bamboofork/internal/ownerconn"
	"bamboofork/internal/session"
	"bamboofork/internal/store/memstore"
	"bamboofork/internal/telemetry"
)

// Guards against a departure that is announced only by chance, because the agent is asked to stop as its worker unregisters.
func TestDepartureAtTheBeginningOfAShutdownIsAnnounced(t *testing.T) {
	for lifetime := int64(1); lifetime <= 20; lifetime++ {
		agent := hostagent.New(hostagent.Config{Log: zerolog.Nop(), Metrics: telemetry.New(), Follower: &ownerconn.Follower{}})
		agent.Register(session.Worker{ID: "i-1", Lifetime: lifetime})
		agent.Unregister("i-1")
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		st := memstore.New()
		p := &process{cfg: hostconfig.Process{Name: "host-1", Bounds: hostconfig.Bounds{GraceS: 6}}}
		announceDepartures(ctx, p, st, agent, jobowner.Member{Name: "host-1", Agent: true})
		qt.Assert(t, announcedDeparture(t.Context(), st, "host-1"), qt.Equals, lifetime)
	}
}
