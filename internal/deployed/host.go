package deployed

import (
	"context"

	"github.com/rs/zerolog"

	"bamboofork/internal/app"
	"bamboofork/internal/boottime"
	"bamboofork/internal/election"
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
	announcer := newAnnouncer(st, &p.log, jobowner.Member{Name: p.cfg.Name, Addr: p.cfg.Listen.PeerAddr(), Agent: true})
	agent := hostagent.New(hostagent.Config{
		Log: p.log, Metrics: p.metrics, Runner: platform.NewRunner(p.cfg.Worker, p.network), Follower: follower,
		MaxHoldDuration: p.cfg.Bounds.Hold(), StopTimeout: p.cfg.Bounds.StopTimeout(), WorkerEnded: announcer.workerEnded,
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
	return []app.Component{
		{Name: "owner", Run: func(ctx context.Context) error { return follower.Listen(ctx, p.network, p.cfg.Listen.Peers) }},
		{Name: "agent", Run: agent.Run},
		{Name: "registrations", Run: func(ctx context.Context) error {
			return p.serve(ctx, p.cfg.Listen.Registrations, platform.RegistrationHandler(p.cfg.Worker, agent), 0)
		}},
		{Name: "announcer", Run: announcer.run},
		{Name: "candidate", Run: func(ctx context.Context) error {
			select {
			case <-announcer.announced:
			case <-ctx.Done():
				return nil
			}
			return candidate.Run(ctx)
		}},
		p.metricsComponent(hostMetricsPort),
	}, nil
}

// announcer announces an agent, and the end of its worker. The end goes to the store as well as to the owner, because the host may be
// removed with its worker while there is no owner.
type announcer struct {
	store     store.Store
	log       *zerolog.Logger
	member    jobowner.Member
	announced chan struct{} // closed when the agent is announced
	ended     chan int64    // lifetimes of the worker that have ended
}

func newAnnouncer(st store.Store, log *zerolog.Logger, member jobowner.Member) *announcer {
	return &announcer{store: st, log: log, member: member, announced: make(chan struct{}), ended: make(chan int64, 16)}
}

// workerEnded announces the end of a lifetime of the worker. It does not block.
func (a *announcer) workerEnded(lifetime int64) {
	select {
	case a.ended <- lifetime:
	default: // the hold of the worker tells the owner
	}
}

// run announces the agent and then the ends of its worker until ctx is done.
func (a *announcer) run(ctx context.Context) error {
	key := jobowner.MemberPrefix + a.member.Name
	if err := ownerconn.Announce(ctx, a.store, a.log, key, a.member); err != nil {
		return err
	}
	close(a.announced)
	for {
		select {
		case a.member.EndedLifetime = <-a.ended:
		case <-ctx.Done():
			select {
			case a.member.EndedLifetime = <-a.ended:
			default:
				return nil
			}
		}
		if err := ownerconn.AnnounceFinally(ctx, a.store, a.log, key, a.member); err != nil {
			return err
		}
	}
}
