package hostagent

import (
	"context"
	"time"

	"bamboofork/internal/boottime"
	"bamboofork/internal/events"
	"bamboofork/internal/session"
)

const (
	// paceInterval matches the half second over which a worker averages its reported figures.
	paceInterval = 500 * time.Millisecond
	// slowAfter is how long a serving run may miss its target before the best-effort runs beside it are slowed. The owner
	// moves an interfering run within about a second; this covers runs that it does not move, and times without an owner.
	slowAfter = 1200 * time.Millisecond
	// pauseAfter is how long it may miss its target before they are paused.
	pauseAfter = 2200 * time.Millisecond
	// initialPacePercent is the pace between slowAfter and pauseAfter, and the first pace after a pause.
	initialPacePercent = 20
	// paceGrowthFactor multiplies the pace in each recovery step.
	paceGrowthFactor = 2
)

// unknownPace is the pace of a run that was found on the worker: a previous agent process may have slowed it.
const unknownPace = -1

// setOwnerPace records the pace that the owner allows a run.
func (a *Agent) setOwnerPace(p *session.Pace) {
	if r := a.runs[p.Task]; r != nil && r.start.Run == p.Run && r.ownerPace != p.Percent {
		r.ownerPace = p.Percent
		a.signalPace()
	}
}

// targetPace returns the pace that a best-effort run should have: the owner's, capped by the agent's limit for all of them.
func (a *Agent) targetPace(r *run) int { return min(r.ownerPace, a.paceLimit) }

func (a *Agent) signalPace() {
	select {
	case a.paceDue <- struct{}{}:
	default:
	}
}

// taskOverTarget returns the task of a serving run whose tail latency exceeds its target, or "".
func taskOverTarget(runs map[string]*run) string {
	for id, r := range runs {
		if r.start.TargetMs > 0 && r.started && int64(r.recentUsage) > r.start.TargetMs {
			return id
		}
	}
	return ""
}

// nextPaceLimit returns the next pace limit of the best-effort runs, in percent of full speed. It protects serving runs from
// interference: the limit falls after a serving run has missed its target for long, and recovers when none misses it.
func nextPaceLimit(limit int, overFor time.Duration) int {
	switch {
	case overFor > pauseAfter:
		return 0
	case overFor > slowAfter:
		return min(limit, initialPacePercent)
	case overFor == 0 && limit < initialPacePercent:
		return initialPacePercent
	case overFor == 0:
		return min(100, limit*paceGrowthFactor)
	}
	return limit
}

// paceLoop adjusts the pace limit periodically and applies the paces.
func (a *Agent) paceLoop(ctx context.Context) {
	ticker := time.NewTicker(paceInterval)
	defer ticker.Stop()
	var overSince time.Duration // boot time since which a serving run misses its target; 0: none does
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.paceDue:
			a.applyPaces(ctx)
			continue
		case <-ticker.C:
		}
		a.mu.Lock()
		task := taskOverTarget(a.runs)
		overFor := time.Duration(0)
		switch {
		case task == "":
			overSince = 0
		case overSince == 0:
			overSince = boottime.Now()
			overFor = 1
		default:
			overFor = boottime.Now() - overSince
		}
		limit := a.paceLimit
		next := nextPaceLimit(limit, overFor)
		if next != limit {
			events.PaceChanged.Log(&a.cfg.Log).Str("serving", task).Int64("over_ms", overFor.Milliseconds()).
				Int("from", limit).Int("to", next).Send()
		}
		a.paceLimit = next
		a.mu.Unlock()
		a.applyPaces(ctx)
	}
}

// applyPaces sets the best-effort runs on the worker to their target paces.
func (a *Agent) applyPaces(ctx context.Context) {
	type change struct {
		run  *run
		pace int
	}
	a.mu.Lock()
	if a.worker == nil {
		a.mu.Unlock()
		return
	}
	id, token := a.identity(), a.token
	var changes []change
	for _, r := range a.runs {
		if target := a.targetPace(r); r.start.BestEffort && r.started && !r.stopping && r.pace != target {
			changes = append(changes, change{r, target})
		}
	}
	a.mu.Unlock()
	for _, c := range changes {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := a.cfg.Runner.Pace(callCtx, id, token, c.run.start.Task, c.run.start.Run, c.pace)
		cancel()
		if err != nil {
			a.cfg.Metrics.Counter("agent_paces_failed").Inc(1)
			continue // retried at the next interval
		}
		a.mu.Lock()
		c.run.pace = c.pace
		a.mu.Unlock()
	}
}
