package hostagent

import (
	"context"
	"time"

	"bamboofork/internal/boottime"
	"bamboofork/internal/events"
	"bamboofork/internal/session"
)

const (
	// paceInterval is the interval between adjustments of the pace limit. It matches the half second over which a worker averages
	// the latencies that it reports.
	paceInterval = 500 * time.Millisecond
	// slowDelay is how long a serving run may miss its latency target before the best-effort runs on its worker are slowed. The
	// owner normally moves an interfering run within about a second. Slowing covers runs that the owner does not move, and
	// times without an owner.
	slowDelay = 1200 * time.Millisecond
	// pauseDelay is how long a serving run may miss its latency target before the best-effort runs are paused.
	pauseDelay = 2200 * time.Millisecond
	// initialPacePercent is the pace limit between slowDelay and pauseDelay, and the first limit after a pause.
	initialPacePercent = 20
	// paceGrowthFactor multiplies the pace limit in each interval of the recovery.
	paceGrowthFactor = 2
)

// unknownPacePercent stands for the pace of a run that was found on the worker, because a previous agent process may have
// slowed the run.
const unknownPacePercent = -1

// setOwnerPace records the pace that the owner allows a run.
func (a *Agent) setOwnerPace(p *session.Pace) {
	if r := a.runByTask[p.Task]; r != nil && r.start.Run == p.Run && r.ownerPacePercent != p.Percent {
		r.ownerPacePercent = p.Percent
		a.signalPace()
	}
}

// targetPacePercent returns the pace that a best-effort run should have, in percent of full speed: the pace that the owner allows,
// capped by the agent's limit for all best-effort runs.
func (a *Agent) targetPacePercent(r *run) int { return min(r.ownerPacePercent, a.paceLimitPercent) }

func (a *Agent) signalPace() {
	select {
	case a.paceDue <- struct{}{}:
	default:
	}
}

// taskOverTarget returns the task of any serving run whose tail latency exceeds its target, or "" if there is none.
func taskOverTarget(runByTask map[string]*run) string {
	for task, r := range runByTask {
		if r.start.TargetMs > 0 && r.startConfirmed && int64(r.recentUsage) > r.start.TargetMs {
			return task
		}
	}
	return ""
}

// nextPaceLimit returns the next pace limit of the best-effort runs, in percent of full speed. overTargetFor is how long a serving run
// has missed its latency target, or 0. The limit falls after slowDelay and pauseDelay, and recovers while no target is missed.
func nextPaceLimit(limit int, overTargetFor time.Duration) int {
	switch {
	case overTargetFor > pauseDelay:
		return 0
	case overTargetFor > slowDelay:
		return min(limit, initialPacePercent)
	case overTargetFor == 0 && limit < initialPacePercent:
		return initialPacePercent
	case overTargetFor == 0:
		return min(100, limit*paceGrowthFactor)
	}
	return limit
}

// paceLoop adjusts the pace limit periodically and applies the paces.
func (a *Agent) paceLoop(ctx context.Context) {
	ticker := time.NewTicker(paceInterval)
	defer ticker.Stop()
	var overTargetSince time.Duration // boot time since which a serving run has missed its target; 0: no run misses its target
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
		task := taskOverTarget(a.runByTask)
		overTargetFor := time.Duration(0)
		switch {
		case task == "":
			overTargetSince = 0
		case overTargetSince == 0:
			overTargetSince = boottime.Now()
			overTargetFor = 1
		default:
			overTargetFor = boottime.Now() - overTargetSince
		}
		limit := a.paceLimitPercent
		nextLimit := nextPaceLimit(limit, overTargetFor)
		if nextLimit != limit {
			events.PaceChanged.Log(&a.cfg.Log).Str("serving", task).Int64("over_ms", overTargetFor.Milliseconds()).
				Int("from", limit).Int("to", nextLimit).Send()
		}
		a.paceLimitPercent = nextLimit
		a.mu.Unlock()
		a.applyPaces(ctx)
	}
}

// applyPaces sets the pace of each best-effort run on the worker to its target. A failed call is retried at the next interval.
func (a *Agent) applyPaces(ctx context.Context) {
	type change struct {
		run         *run
		pacePercent int
	}
	a.mu.Lock()
	if a.worker == nil {
		a.mu.Unlock()
		return
	}
	workerID, token := a.identity(), a.token
	var changes []change
	for _, r := range a.runByTask {
		if target := a.targetPacePercent(r); r.start.BestEffort && r.startConfirmed && !r.stopRequested && r.pacePercent != target {
			changes = append(changes, change{r, target})
		}
	}
	a.mu.Unlock()
	for _, c := range changes {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := a.cfg.Runner.Pace(callCtx, workerID, token, c.run.start.Task, c.run.start.Run, c.pacePercent)
		cancel()
		if err != nil {
			a.cfg.Metrics.Counter("agent_paces_failed").Inc(1)
			continue
		}
		a.mu.Lock()
		c.run.pacePercent, c.run.progressedAt = c.pacePercent, boottime.Now()
		a.mu.Unlock()
	}
}
