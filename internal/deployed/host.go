package deployed

import (
	"context"
	"sync"

	"bamboofork/internal/app"
	"bamboofork/internal/boottime"
	"bamboofork/internal/election"
	"bamboofork/internal/hostagent"
	"bamboofork/internal/jobowner"
	"bamboofork/internal/ownerconn"
	"bamboofork/internal/session"
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
	st := p.newStore()
	follower := &ownerconn.Follower{Name: p.cfg.Name, Incarnation: p.incarnation, Log: p.log}
	agent := hostagent.New(hostagent.Config{
		Log: p.log, Metrics: p.metrics, Runner: platform.NewRunner(p.cfg.Worker, p.network), Follower: follower,
		MaxHoldDuration: p.cfg.Bounds.Hold(), StopTimeout: p.cfg.Bounds.StopTimeout(),
		Domains: &follower.Domains,
	})
	follower.OwnerConnected, follower.HandleMessage = agent.OwnerConnected, agent.HandleMessage
	candidate := &jobowner.Candidate{
		Config: jobowner.Config{
			Name: p.cfg.Name, Prefix: logKeyPrefix, Log: p.log, Metrics: p.metrics, Store: st, Network: p.network,
			Retention: p.cfg.Bounds.Retention(), MaxHold: p.cfg.Bounds.Hold(), RecordsPerSnapshot: p.recordsPerSnapshot,
			Shortage:    p.cfg.Shortage.DelayCost,
			SilentStore: p.cfg.SilentStore.Policy(),
			PackServing: p.cfg.Colocation.PackServing,
			MemoryLimit: jobowner.MemoryLimitFor(p.cfg.MemoryMB << 20),
		},
		Key:      election.NewKey(st, ownerKey, boottime.Now),
		Self:     election.Owner{Name: p.cfg.Name, Addr: p.cfg.Listen.PeerAddr(), Incarnation: p.incarnation},
		Follower: follower,
	}
	if p.cfg.Advice != "" {
		candidate.Config.Adviser = platform.NewAdviser(p.cfg.Advice, p.network)
	}
	if p.cfg.Evacuation.ApplyMs > 0 {
		candidate.Config.Domains, candidate.Config.DomainsApply = platform.NewDomainReader(st), p.cfg.Evacuation.Apply()
	}
	member := jobowner.Member{Name: p.cfg.Name, Addr: p.cfg.Listen.PeerAddr(), Agent: true,
		MaxHoldBesideOwnerMs: session.MaxHoldBesideOwner.Milliseconds(), MemoryMB: p.cfg.MemoryMB}
	untilLastReport := func(run func(ctx context.Context) error) func(ctx context.Context) error {
		return func(ctx context.Context) error {
			extended, cancel := app.Extend(ctx, p.cfg.Bounds.Grace()/2)
			defer cancel()
			stop := context.AfterFunc(ctx, func() {
				agent.AwaitLastReport(extended)
				cancel()
			})
			defer stop()
			return run(extended)
		}
	}
	registrationsCtx, endRegistrations := context.WithCancel(context.Background()) // done when the worker can no longer unregister
	return []app.Component{
		{Name: "owner", Run: untilLastReport(func(ctx context.Context) error { return follower.Listen(ctx, p.peerNetwork(), p.cfg.Listen.Peers) })},
		{Name: "agent", Run: untilLastReport(agent.Run)},
		{Name: "registrations", Run: func(ctx context.Context) error {
			defer endRegistrations()
			return p.serveInternal(ctx, "registrations", p.takeIn().limits.WorkerConnections, p.cfg.Listen.Registrations,
				platform.RegistrationHandler(p.cfg.Worker, agent))
		}},
		{Name: "candidate", Run: func(ctx context.Context) error {
			ownerconn.Announce(ctx, st, &p.log, jobowner.MemberPrefix+p.cfg.Name, func(stored []byte) jobowner.Member {
				member = member.Replacing(stored)
				agent.RestoreDeparture(member.EndedLifetime)
				return member
			})
			var departures sync.WaitGroup
			defer departures.Wait()
			departures.Go(func() { announceDepartures(registrationsCtx, p, st, agent, member) })
			return candidate.Run(ctx)
		}},
		p.limitsComponent(untilLastReport),
		p.metricsComponent(hostMetricsPort),
	}, nil
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
		ownerconn.Announce(announceCtx, st, &p.log, jobowner.MemberPrefix+p.cfg.Name, member.Replacing)
	}
}
