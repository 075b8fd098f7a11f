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
	frontMetricsPort = "9464" // as in the deploy file
	// drainDelay is how long a stopping entry still accepts connections: the load balancer checks readiness once a second
	// and removes an entry after two failed checks.
	drainDelay = 2300 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for the exit of the process itself.
	exitMargin = 700 * time.Millisecond
)

// Front is the main function of an entry.
func Front() int {
	return Main("bf-front", "Forward callers' job requests to the job owner.", false, frontParts)
}

func frontParts(p *process) ([]app.Component, error) {
	st := platform.NewStore(p.cfg.Store)
	f := &jobfront.Front{Log: p.log, Metrics: p.metrics, Manifest: &queues.Current{}}
	f.Follower = &ownerconn.Follower{Name: p.cfg.Name, Incarnation: p.incarnation, Log: p.log, OwnerConnected: f.OwnerConnected, HandleMessage: f.HandleMessage}
	member := jobowner.Member{Name: p.cfg.Name, Addr: p.cfg.Listen.PeerAddr()}
	// Parts that open requests depend on keep running until the callers' server has stopped, not only until ctx is done.
	partsCtx, stopParts := context.WithCancel(context.Background())
	untilDrained := func(run func(ctx context.Context) error) func(ctx context.Context) error {
		return func(context.Context) error { return run(partsCtx) }
	}
	return []app.Component{
		{Name: "manifest", Run: untilDrained(func(ctx context.Context) error {
			return platform.FollowManifest(ctx, st, f.Manifest, &p.log)
		})},
		{Name: "owner", Run: untilDrained(func(ctx context.Context) error { return f.Follower.Listen(ctx, p.cfg.Listen.Peers) })},
		{Name: "heartbeat", Run: untilDrained(f.Heartbeat)},
		{Name: "announcement", Run: func(ctx context.Context) error {
			if err := ownerconn.Announce(ctx, st, &p.log, jobowner.MemberPrefix+p.cfg.Name, member); err != nil {
				return err
			}
			<-ctx.Done()
			return nil
		}},
		{Name: "readiness", Run: untilDrained(func(ctx context.Context) error {
			return serve(ctx, p.cfg.Listen.Readiness, platform.ReadinessHandler(f.Ready), 0)
		})},
		{Name: "callers", Run: func(ctx context.Context) error {
			defer stopParts()
			return serveCallers(ctx, p, f)
		}},
		p.metricsPart(frontMetricsPort),
	}, nil
}

// serveCallers serves callers until ctx is done. It then reports not ready, so that the load balancer removes the entry,
// closes the listener after drainDelay and waits for requests in progress.
func serveCallers(ctx context.Context, p *process, f *jobfront.Front) error {
	servingCtx, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	unregister := context.AfterFunc(ctx, func() {
		f.Drain()
		events.EntryDraining.Log(&p.log).Send()
		time.AfterFunc(drainDelay, stopServing)
	})
	defer unregister()
	return serve(servingCtx, p.cfg.Listen.Callers, platform.CallerHandler(f), p.cfg.Bounds.Grace()-drainDelay-exitMargin)
}
