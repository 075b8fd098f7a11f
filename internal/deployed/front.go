package deployed

import (
	"context"
	"time"

	"bamboofork/internal/app"
	"bamboofork/internal/events"
	"bamboofork/internal/follow"
	"bamboofork/internal/jobfront"
	"bamboofork/internal/jobowner"
	"bamboofork/internal/queues"
	"bamboofork/platform"
)

const (
	frontMetricsPort = "9464" // as in the deploy file
	// leaveRotation is how long a stopping entry still takes connections: the balancer asks once a second and leaves an
	// entry out after two misses.
	leaveRotation = 2300 * time.Millisecond
	// stopReserve is kept back from the grace for the end of the process itself.
	stopReserve = 700 * time.Millisecond
)

// Front is the main function of an entry.
func Front() int {
	return Main("bf-front", "Take callers' jobs to the owner of the jobs.", false, frontParts)
}

func frontParts(p *process) ([]app.Part, error) {
	st := platform.NewStore(p.cfg.Store)
	f := &jobfront.Front{Log: p.log, Metrics: p.metrics, Manifest: &queues.Current{}}
	f.Follower = &follow.Follower{Name: p.cfg.Name, Incarnation: p.incarnation, Log: p.log, Adopted: f.Adopted, Message: f.Message}
	member := jobowner.Member{Name: p.cfg.Name, Addr: p.cfg.Listen.Reachable()}
	// What callers need goes on until the last answer is given.
	inner, cancel := context.WithCancel(context.Background())
	until := func(run func(ctx context.Context) error) func(ctx context.Context) error {
		return func(context.Context) error { return run(inner) }
	}
	return []app.Part{
		{Name: "manifest", Run: until(func(ctx context.Context) error {
			return platform.FollowManifest(ctx, st, f.Manifest, &p.log)
		})},
		{Name: "owner", Run: until(func(ctx context.Context) error { return f.Follower.Listen(ctx, p.cfg.Listen.Peers) })},
		{Name: "heartbeat", Run: until(f.Heartbeat)},
		{Name: "announcement", Run: func(ctx context.Context) error {
			if err := follow.Announce(ctx, st, &p.log, jobowner.MemberPrefix+p.cfg.Name, member); err != nil {
				return err
			}
			<-ctx.Done()
			return nil
		}},
		{Name: "readiness", Run: until(func(ctx context.Context) error {
			return serve(ctx, p.cfg.Listen.Readiness, platform.ReadinessHandler(f.Ready), 0)
		})},
		{Name: "callers", Run: func(ctx context.Context) error {
			defer cancel()
			return serveCallers(ctx, p, f)
		}},
		p.metricsPart(frontMetricsPort),
	}, nil
}

// serveCallers leaves the rotation first when the process is to stop, then closes the listener and answers what was read.
func serveCallers(ctx context.Context, p *process, f *jobfront.Front) error {
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	release := context.AfterFunc(ctx, func() {
		f.Stop()
		events.EntryDraining.Log(&p.log).Send()
		time.AfterFunc(leaveRotation, stop)
	})
	defer release()
	return serve(serving, p.cfg.Listen.Callers, platform.CallerHandler(f), p.cfg.Bounds.Grace()-leaveRotation-stopReserve)
}
