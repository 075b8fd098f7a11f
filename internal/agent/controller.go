package agent

import (
	"context"
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/worker"
)

// Behaviour of the colocation controller.
const (
	controlInterval = 500 * time.Millisecond
	throttleStep    = 0.5
	minThrottle     = 0.25
	violations      = 2 // consecutive intervals above the target before it acts
	recoveries      = 6 // consecutive intervals below recoverShare of the target before it relaxes
	recoverShare    = 0.7
)

// controller keeps quick work fast: it throttles the largest batch task, then evicts it by checkpoint.
type controller struct {
	a     *Agent
	r     *taskRunner
	last  time.Time
	over  int
	under int
}

func newController(a *Agent, r *taskRunner) *controller { return &controller{a: a, r: r} }

// step looks at the newest window of service times.
func (c *controller) step(ctx context.Context) {
	if time.Since(c.last) < controlInterval {
		return
	}
	c.last = time.Now()
	target := c.target()
	p99, n := c.a.quick.p99()
	switch {
	case target == 0 || n == 0:
		c.over, c.under = 0, c.under+1
	case p99 > target:
		c.over, c.under = c.over+1, 0
	case float64(p99) < recoverShare*float64(target):
		c.over, c.under = 0, c.under+1
	}
	if c.over >= violations {
		c.over = 0
		c.slowDown(ctx, p99, target)
	}
	if c.under >= recoveries {
		c.under = 0
		c.speedUp(ctx)
	}
}

// target is the strictest latency target of the branches that this backend server serves.
func (c *controller) target() time.Duration {
	strictest := time.Duration(0)
	snap := c.a.live.Current()
	for _, path := range snap.Tree.Paths() {
		e, _ := snap.Branch(path)
		if e.Backend == c.a.cfg.BackendName && e.LatencyTarget > 0 && (strictest == 0 || e.LatencyTarget < strictest) {
			strictest = e.LatencyTarget
		}
	}
	return strictest
}

func (c *controller) slowDown(ctx context.Context, p99, target time.Duration) {
	ref, throttle, ok := c.largest()
	if !ok {
		return
	}
	if throttle > minThrottle {
		c.setThrottle(ctx, ref, max(minThrottle, throttle*throttleStep), p99, target)
		return
	}
	events.EvictionChosen.Log(&c.a.log).Str("task", ref.Task).Dur("p99", p99).Dur("target", target).Msg("throttling was not enough")
	c.r.end(ref, true, "evicted for quick work")
}

func (c *controller) speedUp(ctx context.Context) {
	c.r.mu.Lock()
	var ref worker.Ref
	share := 1.0
	for candidate, t := range c.r.attempts {
		if t.status.State == worker.StateRunning && t.throttle < 1 {
			ref, share = candidate, t.throttle
		}
	}
	c.r.mu.Unlock()
	if share < 1 {
		c.setThrottle(ctx, ref, min(1, share/throttleStep), 0, 0)
	}
}

func (c *controller) setThrottle(ctx context.Context, ref worker.Ref, share float64, p99, target time.Duration) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.r.w.Throttle(callCtx, ref, share); err != nil {
		return
	}
	c.r.mu.Lock()
	if t := c.r.attempts[ref]; t != nil {
		t.throttle = share
	}
	c.r.mu.Unlock()
	events.TaskThrottled.Log(&c.a.log).Str("task", ref.Task).Float64("share", share).Dur("p99", p99).Dur("target", target).Send()
}

// largest returns the running task with the most cores at its current speed.
func (c *controller) largest() (worker.Ref, float64, bool) {
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	var ref worker.Ref
	throttle, most := 1.0, -1.0
	for candidate, t := range c.r.attempts {
		use := t.spec.Need.Cores * t.throttle
		if t.status.State == worker.StateRunning && (use > most || use == most && candidate.Task < ref.Task) {
			ref, throttle, most = candidate, t.throttle, use
		}
	}
	return ref, throttle, most >= 0
}
