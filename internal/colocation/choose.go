package colocation

import (
	"fmt"
	"sort"
	"time"
)

// ranked is a task with what slowing it brings and costs.
type ranked struct {
	Task
	effect float64 // relative slowdown of the latency-critical kind by the task at full speed
	most   float64 // the same with two deviations on top
	value  float64 // effect per lost work
}

// lossFloor is the cost of any checkpoint and resume, in time at full speed.
const lossFloor = 5 * time.Second

// rankByThrottle orders by the effect per lost core: the model's effect, with a priority of 100 halving the value.
func (c *Controller) rankByThrottle(s Sample, tasks []Task) []ranked {
	return c.rank(s, tasks, func(t Task, effect float64) float64 { return effect / max(0.1, t.Cores) })
}

// rankByEviction orders by the effect per work that must be done again if the checkpoint fails.
func (c *Controller) rankByEviction(s Sample, tasks []Task) []ranked {
	return c.rank(s, tasks, func(t Task, effect float64) float64 {
		return effect * t.Share / (max(0.1, t.Cores) * (t.Ran + lossFloor).Seconds())
	})
}

func (c *Controller) rank(s Sample, tasks []Task, value func(Task, float64) float64) []ranked {
	out := make([]ranked, 0, len(tasks))
	for _, t := range tasks {
		e := c.model.Effect(s.Quick, t.Kind, s.Load)
		effect := max(0, e.Mean) * t.Cores
		most := effect + 2*e.Deviation*t.Cores
		out = append(out, ranked{Task: t, effect: effect, most: most, value: value(t, effect) / (1 + float64(t.Priority)/100)})
	}
	sort.SliceStable(out, func(i, j int) bool {
		if out[i].value != out[j].value {
			return out[i].value > out[j].value
		}
		if out[i].Cores*out[i].Share != out[j].Cores*out[j].Share {
			return out[i].Cores*out[i].Share > out[j].Cores*out[j].Share
		}
		return out[i].Ref.Task < out[j].Ref.Task
	})
	return out
}

// slowdown is the predicted total slowdown by the tasks at their present speeds.
func slowdown(list []ranked) float64 {
	sum := 0.0
	for _, t := range list {
		sum += t.effect * t.Share
	}
	return sum
}

// harmlessEffect is a slowdown that is not worth any throttle.
const harmlessEffect = 0.01

// harmless reports whether the model is sure that the task slows latency-critical work by less than harmlessEffect, so
// that something else is the cause.
func (t *ranked) harmless() bool { return t.most < harmlessEffect }

// leastShare is the share of the needed reduction that a further throttle must bring.
const leastShare = 0.1

// throttleStep is the factor of one throttle; it is smaller where the prediction asks for more.
const throttleStep = 0.5

// slowDown throttles the best tasks until the predicted p99 is at the aim; if all are at the lowest speed it evicts one.
func (c *Controller) slowDown(now time.Time, s Sample, tasks []Task) []Action {
	list := c.rankByThrottle(s, tasks)
	total := slowdown(list)
	p99 := c.p99(s)
	need := (1 + total) * max(0, 1-c.cfg.Aim*float64(s.Target)/float64(p99)) // slowdown to take away
	actions := []Action{}
	taken := 0.0
	for _, t := range list {
		if len(actions) >= c.cfg.MaxActions || len(actions) > 0 && taken >= need {
			break
		}
		share := max(c.cfg.MinShare, min(t.Share*throttleStep, t.Share-(need-taken)/max(t.effect, 1e-9)))
		brings := t.effect * (t.Share - share)
		if t.Share <= c.cfg.MinShare || t.harmless() || len(actions) > 0 && brings < leastShare*need {
			continue
		}
		taken += brings
		actions = append(actions, Action{
			Kind: ActionThrottle, Ref: t.Ref, Share: share, Rejected: others(list, t),
			Reason: fmt.Sprintf("%s p99 %s over %s; predicted slowdown by the task %.3f", s.Quick, p99, s.Target, t.effect*t.Share),
		})
	}
	if len(actions) > 0 {
		c.notePatience(now)
		return actions
	}
	return c.evict(now, s, tasks)
}

// others names the candidates that were not chosen, with their values.
func others(list []ranked, chosen ranked) []string {
	const most = 3
	out := []string{}
	for _, t := range list {
		if t.Ref != chosen.Ref && len(out) < most {
			out = append(out, fmt.Sprintf("%s %.4f", t.Ref.Task, t.value))
		}
	}
	return out
}

// minRun is the run time before a task may be evicted.
func (c *Controller) minRun(t Task) time.Duration {
	if t.Run > 0 {
		return min(c.cfg.MinRun, t.Run/2)
	}
	return c.cfg.MinRun
}

func (c *Controller) evict(now time.Time, s Sample, tasks []Task) []Action {
	list := c.rankByEviction(s, tasks)
	rejected := []string{}
	for _, t := range list {
		if t.harmless() {
			rejected = append(rejected, t.Ref.Task+" is harmless")
			continue
		}
		if t.Ran < c.minRun(t.Task) {
			rejected = append(rejected, t.Ref.Task+" ran too short")
			continue
		}
		if !c.allowEviction(now) {
			return nil
		}
		return []Action{{
			Kind: ActionEvict, Ref: t.Ref, Rejected: append(rejected, others(list, t)...),
			Reason: fmt.Sprintf("throttling was not enough: %s p99 %s over %s; predicted slowdown by the task %.3f", s.Quick, c.p99(s), s.Target, t.effect*t.Share),
		}}
	}
	return nil
}

// speedUp gives one task back speed, the one with the least effect first, unless the prediction is above the aim.
func (c *Controller) speedUp(now time.Time, s Sample, tasks []Task) []Action {
	list := c.rankByThrottle(s, tasks)
	total := slowdown(list)
	p99 := c.p99(s)
	for i := len(list) - 1; i >= 0; i-- {
		t := list[i]
		if t.Share >= 1 {
			continue
		}
		share := min(1, t.Share/throttleStep)
		after := total + t.effect*(share-t.Share)
		if s.Target > 0 && s.Count > 0 && float64(p99)*(1+after)/(1+total) > c.cfg.Aim*float64(s.Target) {
			continue
		}
		c.lastRestore = now
		return []Action{{
			Kind: ActionRestore, Ref: t.Ref, Share: share, Rejected: others(list, t),
			Reason: fmt.Sprintf("p99 %s, target %s", p99, s.Target),
		}}
	}
	return nil
}

// unstick evicts the task that has been slow for longest and holds room that other work could use at full speed. Work
// that the model holds harmless is given its speed back instead, by speedUp.
func (c *Controller) unstick(now time.Time, s Sample, tasks []Task) []Action {
	if s.Target == 0 || s.Count == 0 {
		return nil
	}
	list := c.rankByThrottle(s, tasks)
	for _, t := range list {
		if t.SlowFor < c.cfg.StuckAfter || t.Ran < c.minRun(t.Task) || t.harmless() {
			continue
		}
		if !c.allowEviction(now) {
			return nil
		}
		return []Action{{
			Kind: ActionEvict, Ref: t.Ref, Rejected: others(list, t),
			Reason: fmt.Sprintf("at reduced speed for %s; predicted slowdown of %s by the task %.3f", t.SlowFor.Round(time.Second), s.Quick, t.effect),
		}}
	}
	return nil
}

// Relieve evicts the task that exceeds its memory size most when the measured memory of the host exceeds its room. It
// has no budget, because memory cannot be throttled. A measurement from before the last action took effect is ignored.
func (c *Controller) Relieve(now, measured time.Time, roomMB int64, tasks []Task) []Action {
	if measured.Before(c.effectAt) {
		return nil
	}
	used, worst, excess := int64(0), -1, int64(0)
	for i, t := range tasks {
		used += t.MemoryMB
		if over := t.MemoryMB - t.SizeMB; over > excess {
			worst, excess = i, over
		}
	}
	if used <= roomMB || worst < 0 {
		return nil
	}
	c.acted(now, Sample{Window: Window{From: measured}})
	return []Action{{
		Kind: ActionEvict, Ref: tasks[worst].Ref,
		Reason: fmt.Sprintf("batch tasks use %d MB of %d MB; the task is %d MB over its size", used, roomMB, excess),
	}}
}
