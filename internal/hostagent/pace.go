package hostagent

import (
	"context"
	"time"

	"bamboofork/internal/boottime"
	"bamboofork/internal/events"
	"bamboofork/internal/session"
)

const (
	// paceEvery matches the half second over which a worker averages what it reports.
	paceEvery = 500 * time.Millisecond
	// paceAfter is how long a serving run may miss its target before the filling runs beside it are slowed. The owner
	// moves the run that disturbs within about a second; this is for runs that it does not move, and for its absence.
	paceAfter = 1200 * time.Millisecond
	// paceStop is how long it may miss its target before they stand still.
	paceStop = 2200 * time.Millisecond
	// paceFirst is the share, in percent, between the two, and the first share after a standstill.
	paceFirst = 20
	// paceFactor is by how much the share recovers per step.
	paceFactor = 2
)

// unknownPace is the pace of a run that was found on the worker: a former life of the agent may have slowed it.
const unknownPace = -1

// allow takes in the pace that the owner allows a run.
func (a *Agent) allow(p *session.Pace) {
	if r := a.runs[p.Task]; r != nil && r.start.Run == p.Run && r.wanted != p.Percent {
		r.wanted = p.Percent
		a.signalPace()
	}
}

// paceOf returns the pace that a filling run should have: the owner's, unless the agent has to slow all of them.
func (a *Agent) paceOf(r *run) int { return min(r.wanted, a.paceLimit) }

func (a *Agent) signalPace() {
	select {
	case a.paced <- struct{}{}:
	default:
	}
}

// overTarget returns a serving run whose tail latency is over its target, or nothing.
func overTarget(runs map[string]*run) string {
	for id, r := range runs {
		if r.start.TargetMs > 0 && r.started && int64(r.recent) > r.start.TargetMs {
			return id
		}
	}
	return ""
}

// nextPace returns the share of full speed, in percent, of the filling runs. It answers filling work that presses on
// serving work: the share falls while a serving run misses its target for long, and recovers when none does.
func nextPace(share int, over time.Duration) int {
	switch {
	case over > paceStop:
		return 0
	case over > paceAfter:
		return min(share, paceFirst)
	case over == 0 && share < paceFirst:
		return paceFirst
	case over == 0:
		return min(100, share*paceFactor)
	}
	return share
}

// paceLoop slows the filling runs beside serving runs that miss their target for long.
func (a *Agent) paceLoop(ctx context.Context) {
	ticker := time.NewTicker(paceEvery)
	defer ticker.Stop()
	var since time.Duration // boot time from which a serving run misses its target; 0: none does
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.paced:
			a.setPace(ctx)
			continue
		case <-ticker.C:
		}
		a.mu.Lock()
		task := overTarget(a.runs)
		over := time.Duration(0)
		switch {
		case task == "":
			since = 0
		case since == 0:
			since = boottime.Now()
			over = 1
		default:
			over = boottime.Now() - since
		}
		share := a.paceLimit
		next := nextPace(share, over)
		if next != share {
			events.PaceChanged.Log(&a.cfg.Log).Str("serving", task).Int64("over_ms", over.Milliseconds()).Int("from", share).Int("to", next).Send()
		}
		a.paceLimit = next
		a.mu.Unlock()
		a.setPace(ctx)
	}
}

// setPace brings the filling runs to their paces.
func (a *Agent) setPace(ctx context.Context) {
	type change struct {
		run  *run
		pace int
	}
	a.mu.Lock()
	if a.worker == nil {
		a.mu.Unlock()
		return
	}
	who, token := a.identity(), a.token
	var changes []change
	for _, r := range a.runs {
		if want := a.paceOf(r); r.start.Fills && r.started && !r.stopping && r.pace != want {
			changes = append(changes, change{r, want})
		}
	}
	a.mu.Unlock()
	for _, c := range changes {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		err := a.cfg.Runner.Pace(callCtx, who, token, c.run.start.Task, c.run.start.Run, c.pace)
		cancel()
		if err != nil {
			a.cfg.Metrics.Counter("agent_paces_failed").Inc(1)
			continue // tried again with the next step
		}
		a.mu.Lock()
		c.run.pace = c.pace
		a.mu.Unlock()
	}
}
