package hostagent

import (
	"context"
	"time"

	"bamboofork/internal/events"
)

const (
	// paceEvery matches the half second over which a worker averages what it reports.
	paceEvery = 500 * time.Millisecond
	// paceFloor is the least share, in percent, at which a filling run goes on.
	paceFloor = 10
	// paceRaise is added per step while the serving runs have headroom; slower than the cut, so that it does not swing.
	paceRaise = 10
	// headroom is the share of the target, in percent, below which filling runs are released again.
	headroom = 70
)

// pressure is how far the serving runs of a worker are from their targets: the highest tail latency in percent of its
// target. It is 0 without serving runs.
func pressure(runs map[string]*run) (int, string) {
	worst, task := 0, ""
	for id, r := range runs {
		if r.start.TargetMs <= 0 || !r.started {
			continue
		}
		if p := int(int64(r.recent) * 100 / r.start.TargetMs); p > worst {
			worst, task = p, id
		}
	}
	return worst, task
}

// nextPace returns the share at which filling runs go on. It answers filling work that presses on serving work: above
// the target the share is cut in proportion, with headroom it rises slowly, between them it stays.
func nextPace(now, pressure int) int {
	switch {
	case pressure > 100:
		return max(paceFloor, now*100/(pressure+20))
	case pressure < headroom:
		return min(100, now+paceRaise)
	}
	return now
}

// paceLoop slows the filling runs beside serving runs that miss their target.
func (a *Agent) paceLoop(ctx context.Context) {
	ticker := time.NewTicker(paceEvery)
	defer ticker.Stop()
	share := 100
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		a.mu.Lock()
		p, task := pressure(a.runs)
		next := nextPace(share, p)
		if next != share {
			events.PaceChanged.Log(&a.cfg.Log).Str("serving", task).Int("pressure_percent", p).Int("from", share).Int("to", next).Send()
		}
		share = next
		var change []*run
		for _, r := range a.runs {
			if r.start.Fills && r.started && !r.stopping && r.pace != share {
				change = append(change, r)
			}
		}
		if a.worker == nil {
			a.mu.Unlock()
			continue
		}
		who, token := a.identity(), a.token
		a.mu.Unlock()
		for _, r := range change {
			callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
			err := a.cfg.Runner.Pace(callCtx, who, token, r.start.Task, r.start.Run, share)
			cancel()
			if err == nil {
				a.mu.Lock()
				r.pace = share
				a.mu.Unlock()
			}
		}
	}
}
