package deployed

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"bamboofork/internal/app"
	"bamboofork/internal/boottime"
	"bamboofork/internal/election"
	"bamboofork/internal/events"
	"bamboofork/internal/hostagent"
	"bamboofork/internal/jobowner"
	"bamboofork/internal/ownerconn"
	"bamboofork/internal/store"
	"bamboofork/platform"
)

const (
	hostMetricsPort = "9465" // must match the deployment file
	ownerKey        = "owner"
	logKeyPrefix    = "jobs"
)

// RunAgent runs an agent and returns the exit code of the process.
func RunAgent() int {
	return RunProcess("bf-host", "Run tasks on the worker of this host; own the jobs when elected.", true, hostComponents)
}

func hostComponents(p *process) ([]app.Component, error) {
	st := platform.NewStore(p.cfg.Store, p.network)
	follower := &ownerconn.Follower{Name: p.cfg.Name, Incarnation: p.incarnation, Log: p.log}
	agent := hostagent.New(hostagent.Config{
		Log: p.log, Metrics: p.metrics, Runner: platform.NewRunner(p.cfg.Worker, p.network), Follower: follower,
		MaxHoldDuration: p.cfg.Bounds.Hold(), StopTimeout: p.cfg.Bounds.StopTimeout(),
	})
	follower.OwnerConnected, follower.HandleMessage = agent.OwnerConnected, agent.HandleMessage
	candidate := &jobowner.Candidate{
		Config: jobowner.Config{
			Name: p.cfg.Name, Prefix: logKeyPrefix, Log: p.log, Metrics: p.metrics, Store: st, Network: p.network,
			Retention: p.cfg.Bounds.Retention(), MaxHold: p.cfg.Bounds.Hold(), RecordsPerSnapshot: p.recordsPerSnapshot,
		},
		Key:      election.NewKey(st, ownerKey, boottime.Now),
		Self:     election.Owner{Name: p.cfg.Name, Addr: p.cfg.Listen.PeerAddr(), Incarnation: p.incarnation},
		Follower: follower,
	}
	if p.cfg.Advice != "" {
		candidate.Config.Adviser = platform.NewAdviser(p.cfg.Advice, p.network)
	}
	member := jobowner.Member{Name: p.cfg.Name, Addr: p.cfg.Listen.PeerAddr(), Agent: true}
	registrationsCtx, endRegistrations := context.WithCancel(context.Background()) // done when the worker can no longer unregister
	return []app.Component{
		{Name: "owner", Run: func(ctx context.Context) error { return follower.Listen(ctx, p.network, p.cfg.Listen.Peers) }},
		{Name: "agent", Run: agent.Run},
		{Name: "registrations", Run: func(ctx context.Context) error {
			defer endRegistrations()
			return p.serveInternal(ctx, p.cfg.Listen.Registrations, platform.RegistrationHandler(p.cfg.Worker, agent))
		}},
		{Name: "candidate", Run: func(ctx context.Context) error {
			member.EndedLifetime = announcedDeparture(ctx, st, p.cfg.Name)
			if err := ownerconn.Announce(ctx, st, &p.log, jobowner.MemberPrefix+p.cfg.Name, member); err != nil {
				return err
			}
			var departures sync.WaitGroup
			defer departures.Wait()
			departures.Go(func() { announceDepartures(registrationsCtx, p, st, agent, member) })
			return candidate.Run(ctx)
		}},
		p.metricsComponent(hostMetricsPort),
	}, nil
}

const (
	// departureReadTimeout bounds one attempt to read the announcement of an earlier process, and departureReadDelay is the delay before
	// the next one.
	departureReadTimeout = 800 * time.Millisecond
	departureReadDelay   = 250 * time.Millisecond
)

// announcedDeparture returns the ended lifetime that an earlier process of the agent has announced, or 0 if there is none or ctx is done. No
// owner may have read it yet.
func announcedDeparture(ctx context.Context, st store.Store, name string) int64 {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, departureReadTimeout)
		kv, err := st.Get(callCtx, jobowner.MemberPrefix+name)
		cancel()
		if err == nil {
			var announced jobowner.Member
			if err := json.Unmarshal(kv.Value, &announced); err != nil {
				return 0 // absent or unreadable
			}
			return announced.EndedLifetime
		}
		app.Sleep(ctx, departureReadDelay)
	}
	return 0
}

// announceDepartures announces each lifetime of the worker that has ended because the worker left before ctx is done. The agent reports
// the same to the owner, but a host that is removed may be gone before the next owner connects. An announcement that the store has not
// taken by then is continued for half of the grace period.
func announceDepartures(ctx context.Context, p *process, st store.Store, agent *hostagent.Agent, member jobowner.Member) {
	announceCtx, cancel := app.Extend(ctx, p.cfg.Bounds.Grace()/2)
	defer cancel()
	for {
		select {
		case member.EndedLifetime = <-agent.Departed():
		case <-ctx.Done():
			select {
			case member.EndedLifetime = <-agent.Departed():
			default:
				return
			}
		}
		if err := ownerconn.Announce(announceCtx, st, &p.log, jobowner.MemberPrefix+p.cfg.Name, member); err != nil {
			events.AnnouncementFailed.Log(&p.log).Str("key", jobowner.MemberPrefix+p.cfg.Name).Err(err).Send()
		}
	}
}
