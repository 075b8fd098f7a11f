package jobowner

import (
	"bamboofork/internal/placement"
	"bamboofork/internal/session"
)

const (
	// moveMaxPercent is the progress beyond which a run without checkpoints stays: finishing it disturbs for less time
	// than doing it again elsewhere.
	moveMaxPercent = 50
	// moveMinAgeMs keeps a run from being moved before its own effect can have been seen.
	moveMinAgeMs = 900
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
			filling = append(filling, placement.FillingSample{Image: p.step.Image, AgeMs: r.AgeMs, Pace: r.Pace})
		case p.step.TargetMs > 0 && r.Percent == 100:
			serving = append(serving, placement.ServingSample{Image: p.step.Image, Ratio: float64(r.Recent) / float64(p.step.TargetMs)})
		}
	}
	o.interference.Observe(serving, filling)
	over := map[string]bool{}
	for _, s := range serving {
		if s.Ratio > 1 {
			over[s.Image] = true
		}
	}
	if len(over) > 0 {
		o.moveAway(m, runs, over)
	}
}

// moveAway stops the filling runs that are known to disturb a serving run that misses its target; they go on elsewhere.
func (o *Owner) moveAway(m *member, runs []session.Run, over map[string]bool) {
	for i := range runs {
		r := &runs[i]
		p := o.placed[m.Name][r.Task]
		if p == nil || p.task.Run != r.Run || !p.step.Fills || p.task.Stopping || r.AgeMs < moveMinAgeMs {
			continue
		}
		if !p.step.Checkpointing && r.Percent > moveMaxPercent {
			continue
		}
		for image := range over {
			if o.interference.Guilt(image, p.step.Image) >= placement.Guilty {
				o.stopRun(m.Name, p, "disturbs "+image)
				break
			}
		}
	}
}
