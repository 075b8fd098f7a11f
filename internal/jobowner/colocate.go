package jobowner

import (
	"bamboofork/internal/placement"
	"bamboofork/internal/session"
)

const (
	// moveGapMs is the least time between two moves on a worker: latencies show the effect of a move only after the half
	// second that they average and the way of a report.
	moveGapMs = 1500
	// moveMaxPercent is the progress beyond which a run without checkpoints stays: finishing it disturbs for less time
	// than doing it again elsewhere.
	moveMaxPercent = 50
)

// observe learns from the latencies of a worker's serving runs and moves filling runs away from those they disturb.
func (o *Owner) observe(m *member, runs []session.Run) {
	on := o.placed[m.Name]
	var serving []placement.ServingSample
	var filling []placement.FillingSample
	for i := range runs {
		r := &runs[i]
		p := on[r.Task]
		if p == nil || p.task.Run != r.Run || !r.Started {
			continue
		}
		switch {
		case p.step.Fills && !p.task.Stopping:
			filling = append(filling, placement.FillingSample{
				Task: r.Task, Image: p.step.Image, AgeMs: r.AgeMs, Share: float64(r.Recent) / float64(max(1, m.worker.CPU)),
			})
		case p.step.TargetMs > 0 && r.Percent == 100:
			serving = append(serving, placement.ServingSample{
				Task: r.Task, Image: p.step.Image, LatencyMs: float64(r.Recent), TargetMs: float64(p.step.TargetMs),
			})
		}
	}
	leave := o.interference.Observe(serving, filling)
	if len(leave) == 0 || nowMs() < m.movedMs+moveGapMs {
		return
	}
	for i := range runs {
		r := &runs[i]
		p := on[r.Task]
		if p == nil || !leave[r.Task] || p.task.Stopping {
			continue
		}
		if p.step.Checkpointing || r.Percent <= moveMaxPercent {
			o.stopRun(m.Name, p, "disturbs serving runs")
			m.movedMs = nowMs()
		}
	}
}
