package jobowner

import (
	"slices"
	"strings"

	"bamboofork/internal/events"
	"bamboofork/internal/jobs"
	"bamboofork/internal/placement"
	"bamboofork/internal/session"
)

const (
	// moveGapMs is the least time between two moves on a worker: latencies show the effect of a move only after the half
	// second that they average and the way of a report.
	moveGapMs = 1000
	// moveAfterMs is how long a run is slowed before it is worth a move; a swing of the load may pass sooner.
	moveAfterMs = 800
	// movePace is the pace, in percent, below which a run is worth a move.
	movePace = 40
	// moveMaxPercent is the progress beyond which a run without checkpoints stays: finishing it disturbs for less time
	// than doing it again elsewhere.
	moveMaxPercent = 50
	// paceStep is the granularity of paces and the least change that is ordered, in percent.
	paceStep = 10
	// sharedMinPace is the pace, in percent, above which a run's processor use tells its use at full speed.
	sharedMinPace = 30
)

// percentOf rounds a share of full speed down to a pace.
func percentOf(share float64) int { return int(share*jobs.FullPace/paceStep+0.01) * paceStep }

// colocate learns from a look at a worker's serving runs, sets the paces of the filling runs beside them, and gives back
// those that would have to stay slow.
func (o *Owner) colocate(m *member, msg *session.FromMember) {
	if m.worker == nil {
		return
	}
	on := o.placed[m.Name]
	if msg.Look > m.look {
		m.look = msg.Look
		o.learn(m, on, msg.Runs)
	}
	filling := o.fillingRuns(m, on, msg.Runs)
	if len(filling) == 0 {
		return
	}
	serving := o.servingTasks(on)
	paces := o.interference.Paces(serving, filling)
	for i, f := range filling {
		o.setPace(m, on[f.Task], paces[i], f.Confirmed)
	}
	o.moveSlowed(m, on, filling)
	if len(m.paces) > 0 {
		o.sendOrders(m, false)
	}
}

func (o *Owner) learn(m *member, on map[string]*placedTask, runs []session.Run) {
	var serving []placement.ServingSample
	var filling []placement.FillingSample
	for i := range runs {
		r := &runs[i]
		p := on[r.Task]
		switch {
		case p == nil || p.task.Run != r.Run || !r.Started:
		case p.step.Fills:
			filling = append(filling, placement.FillingSample{Task: r.Task, Image: p.step.Image, Share: float64(r.Recent) / float64(max(1, m.worker.CPU))})
		case p.step.TargetMs > 0 && r.Percent == 100:
			serving = append(serving, placement.ServingSample{
				Task: r.Task, Group: p.job.ID, Image: p.step.Image, LatencyMs: float64(r.Recent), TargetMs: float64(p.step.TargetMs),
			})
		}
	}
	o.interference.Observe(nowMs(), serving, filling)
}

// fillingRuns returns the worker's filling runs in the order of their names.
func (o *Owner) fillingRuns(m *member, on map[string]*placedTask, runs []session.Run) []placement.FillingRun {
	var list []placement.FillingRun
	for i := range runs {
		r := &runs[i]
		p := on[r.Task]
		if p == nil || p.task.Run != r.Run || !p.step.Fills || p.task.Stopping {
			continue
		}
		confirmed := r.Pace
		if !r.Started {
			confirmed = p.task.Pace // its start carries the pace
		}
		cpu := float64(p.step.CPU)
		if r.Recent > 0 && r.Pace >= sharedMinPace && r.Pace == p.task.Pace {
			cpu = max(cpu, float64(r.Recent)*jobs.FullPace/float64(r.Pace))
		}
		list = append(list, placement.FillingRun{Task: r.Task, Image: p.step.Image, Share: cpu / float64(max(1, m.worker.CPU)), Confirmed: confirmed})
	}
	slices.SortFunc(list, func(a, b placement.FillingRun) int { return strings.Compare(a.Task, b.Task) })
	return list
}

func (o *Owner) servingTasks(on map[string]*placedTask) []placement.Serving {
	var list []placement.Serving
	now := nowMs()
	for _, p := range on {
		if p.step.TargetMs > 0 {
			list = append(list, placement.Serving{Image: p.step.Image, TargetMs: p.step.TargetMs, Load: o.interference.Load(p.job.ID, now)})
		}
	}
	return list
}

// setPace orders the pace of a run if it differs from the one that was ordered last, or if the agent has not confirmed that
// one: the order may have been lost with a connection.
func (o *Owner) setPace(m *member, p *placedTask, pace placement.Pace, confirmed int) {
	was, percent := p.task.Pace, percentOf(pace.Share)
	if percent == was && (confirmed == percent || m.slowed) {
		return
	}
	m.paces = append(m.paces, session.Pace{Task: p.id.String(), Run: p.task.Run, Percent: percent})
	if percent == was {
		return
	}
	p.task.Pace = percent
	if percent >= movePace {
		p.task.SlowMs = 0
	} else if p.task.SlowMs == 0 {
		p.task.SlowMs = nowMs()
	}
	image, load := "", 0.0
	if pace.For != nil {
		image, load = pace.For.Image, pace.For.Load
	}
	events.RunPaced.Log(&o.cfg.Log).Str("job", p.job.ID).Str("task", p.id.String()).Int("run", p.task.Run).Str("agent", m.Name).
		Int("from", was).Int("to", percent).Str("for_image", image).Float64("its_load", load).Int64("look", m.look).Send()
}

// moveSlowed stops a run that has been slow for a while, so that it waits for a worker where it is fast.
func (o *Owner) moveSlowed(m *member, on map[string]*placedTask, filling []placement.FillingRun) {
	now := nowMs()
	if now < m.movedMs+moveGapMs {
		return
	}
	for _, f := range filling {
		p := on[f.Task]
		if p.task.SlowMs == 0 || now < p.task.SlowMs+moveAfterMs || !(p.step.Checkpointing || p.task.Percent <= moveMaxPercent) {
			continue
		}
		o.stopRun(m.Name, p, "slowed for serving runs")
		m.movedMs = now
		return
	}
}
