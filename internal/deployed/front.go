package deployed

import (
	"context"
	"net/http"
	"sync/atomic"
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
	// maxDrainDelay is the time for which an entry still accepts connections after its shutdown has begun. The load balancer
	// checks readiness once a second and removes an entry after two failed checks.
	maxDrainDelay = 2300 * time.Millisecond
	// maxExitMargin is the part of the shutdown grace period that remains for the exit of the process after the last request.
	maxExitMargin = 700 * time.Millisecond
	// maxAnswerMargin is the time between the last answers, which say that no owner has answered, and the end of the connections.
	maxAnswerMargin = 300 * time.Millisecond
	// Limits of these times as fractions of the grace period. The open requests need the rest of it.
	maxDrainFraction  = 0.4
	maxExitFraction   = 0.125
	maxAnswerFraction = 0.1
)

// shutdownPlan holds the times of an entry's shutdown, each counted from its beginning.
type shutdownPlan struct {
	closeListener time.Duration // no connections are accepted any more
	answersDue    time.Duration // open requests are answered without waiting any longer
	closeAll      time.Duration // the remaining connections are closed
}

func planShutdown(grace time.Duration) shutdownPlan {
	upTo := func(limit time.Duration, fraction float64) time.Duration {
		return min(limit, time.Duration(fraction*float64(grace)))
	}
	closeAll := grace - upTo(maxExitMargin, maxExitFraction)
	return shutdownPlan{closeListener: upTo(maxDrainDelay, maxDrainFraction), closeAll: closeAll,
		answersDue: closeAll - upTo(maxAnswerMargin, maxAnswerFraction)}
}

// RunEntry runs an entry and returns the exit code of the process.
func RunEntry() int {
	return RunProcess("bf-front", "Forward callers' job requests to the job owner.", false, frontComponents)
}

func frontComponents(p *process) ([]app.Component, error) {
	store := p.newStore()
	front := &jobfront.Front{Log: p.log, Metrics: p.metrics, Manifest: &queues.CurrentManifest{}, SilentStore: p.cfg.SilentStore.Policy()}
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
		{Name: "owner", Run: untilDrained(func(ctx context.Context) error {
			return front.Follower.Listen(ctx, p.peerNetwork(), p.cfg.Listen.Peers)
		})},
		{Name: "heartbeat", Run: untilDrained(front.Heartbeat)},
		{Name: "announcement", Run: func(ctx context.Context) error {
			ownerconn.Announce(ctx, store, &p.log, jobowner.MemberPrefix+p.cfg.Name, member.Replacing)
			<-ctx.Done()
			return nil
		}},
		{Name: "readiness", Run: untilDrained(func(ctx context.Context) error {
			return p.serveInternal(ctx, "readiness", p.takeIn().limits.ProbeConnections, p.cfg.Listen.Readiness, platform.ReadinessHandler(front.Ready))
		})},
		{Name: "callers", Run: func(ctx context.Context) error {
			defer stopComponents()
			return serveCallers(ctx, p, front)
		}},
		p.limitsComponent(untilDrained),
		p.metricsComponent(frontMetricsPort),
	}, nil
}

// serveCallers serves callers until ctx is done. The entry then reports that it is not ready, so that the load balancer removes
// it. Later serveCallers closes the listener and waits for requests in progress. Shortly before the end of the grace period, it ends
// their waits for an owner, so that all of them are answered.
func serveCallers(ctx context.Context, p *process, front *jobfront.Front) error {
	servingCtx, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	answersDue, endWaits := context.WithCancel(context.Background())
	defer endWaits()
	plan := planShutdown(p.cfg.Bounds.Grace())
	var open atomic.Int64
	unregister := context.AfterFunc(ctx, func() {
		front.Drain()
		events.EntryDraining.Log(&p.log).Int64("open", open.Load()).Send()
		time.AfterFunc(plan.closeListener, stopServing)
		time.AfterFunc(plan.answersDue, endWaits)
	})
	defer unregister()
	handler := endWaitsWith(answersDue, countOpen(&open, platform.JobAPIHandler(front)))
	err := p.serve(servingCtx, "callers", p.takeIn().limits.CallerConnections, p.cfg.Listen.Callers, handler, plan.closeAll-plan.closeListener)
	events.EntryDrained.Log(&p.log).Int64("unanswered", open.Load()).Send()
	return err
}

// countOpen returns a handler that passes requests to next and keeps the number of those that it has not answered yet.
func countOpen(open *atomic.Int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		open.Add(1)
		defer open.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// endWaitsWith returns a handler that passes requests to next. Their contexts also end when due is done.
func endWaitsWith(due context.Context, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := app.UntilEither(r.Context(), due)
		defer cancel()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}
