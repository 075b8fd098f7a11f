package deployed

import (
	"context"
	"time"

	"bamboofork/internal/app"
	"bamboofork/internal/events"
	"bamboofork/internal/jobfront"
	"bamboofork/internal/jobowner"
	"bamboofork/internal/ownerconn"
	"bamboofork/internal/queues"
	"bamboofork/platform"
)

const (
	frontMetricsPort = "9464" // must match the deployment file
	// drainDelay is the time for which an entry still accepts connections after its shutdown has begun. The load balancer
	// checks readiness once a second and removes an entry after two failed checks.
	drainDelay = 2300 * time.Millisecond
	// exitMargin is the part of the shutdown grace period that remains for the exit of the process after the last request.
	exitMargin = 700 * time.Millisecond
)

// RunEntry runs an entry and returns the exit code of the process.
func RunEntry() int {
	return RunProcess("bf-front", "Forward callers' job requests to the job owner.", false, frontComponents)
}

func frontComponents(p *process) ([]app.Component, error) {
	store := platform.NewStore(p.cfg.Store, p.network)
	front := &jobfront.Front{Log: p.log, Metrics: p.metrics, Manifest: &queues.CurrentManifest{}}
	front.Follower = &ownerconn.Follower{Name: p.cfg.Name, Incarnation: p.incarnation, Log: p.log,
		OwnerConnected: front.OwnerConnected, HandleMessage: front.HandleMessage}
	member := jobowner.Member{Name: p.cfg.Name, Addr: p.cfg.Listen.PeerAddr()}
	// Open requests depend on some of the components. These components run until the callers' server has stopped, which is after
	// the process's context is done.
	componentsCtx, stopComponents := context.WithCancel(context.Background())
	untilDrained := func(run func(ctx context.Context) error) func(ctx context.Context) error {
		return func(context.Context) error { return run(componentsCtx) }
	}
	return []app.Component{
		{Name: "manifest", Run: untilDrained(func(ctx context.Context) error {
			return platform.FollowManifest(ctx, store, front.Manifest, &p.log)
		})},
		{Name: "owner", Run: untilDrained(func(ctx context.Context) error { return front.Follower.Listen(ctx, p.network, p.cfg.Listen.Peers) })},
		{Name: "heartbeat", Run: untilDrained(front.Heartbeat)},
		{Name: "announcement", Run: func(ctx context.Context) error {
			if err := ownerconn.Announce(ctx, store, &p.log, jobowner.MemberPrefix+p.cfg.Name, member); err != nil {
				return err
			}
			<-ctx.Done()
			return nil
		}},
		{Name: "readiness", Run: untilDrained(func(ctx context.Context) error {
			return p.serve(ctx, p.cfg.Listen.Readiness, platform.ReadinessHandler(front.Ready), 0)
		})},
		{Name: "callers", Run: func(ctx context.Context) error {
			defer stopComponents()
			return serveCallers(ctx, p, front)
		}},
		p.metricsComponent(frontMetricsPort),
	}, nil
}

// serveCallers serves callers until ctx is done. The entry then reports that it is not ready, so that the load balancer removes
// it. After drainDelay, serveCallers closes the listener and waits for requests in progress.
func serveCallers(ctx context.Context, p *process, front *jobfront.Front) error {
	servingCtx, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	unregister := context.AfterFunc(ctx, func() {
		front.Drain()
		events.EntryDraining.Log(&p.log).Send()
		time.AfterFunc(drainDelay, stopServing)
	})
	defer unregister()
	return p.serve(servingCtx, p.cfg.Listen.Callers, platform.JobAPIHandler(front), p.cfg.Bounds.Grace()-drainDelay-exitMargin)
}
