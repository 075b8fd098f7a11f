package colocation

import (
	"fmt"
	"sort"
	"time"
)

// rankedTask is a task with its score as a candidate for an action.
type rankedTask struct {
	Task
	effect float64 // predicted relative slowdown of the latency-critical kind by the task at full speed
	upper  float64 // the same plus two standard deviations
	score  float64 // effect relative to the cost of the action
}

// lossFloor is the minimum cost of a checkpoint and resume, in run time at full speed.
const lossFloor = 5 * time.Second

// rankByThrottle orders the tasks by predicted effect per core. A priority of 100 halves the score.
func (c *Controller) rankByThrottle(s Sample, tasks []Task) []rankedTask {
	return c.rank(s, tasks, func(t Task, effect float64) float64 { return effect / max(0.1, t.Cores) })
}

// rankByEviction orders the tasks by predicted effect relative to the work that is lost if the checkpoint fails.
func (c *Controller) rankByEviction(s Sample, tasks []Task) []rankedTask {
	return c.rank(s, tasks, func(t Task, effect float64) float64 {
		return effect * t.Speed / (max(0.1, t.Cores) * (t.Elapsed + lossFloor).Seconds())
	})
}

func (c *Controller) rank(s Sample, tasks []Task, score func(Task, float64) float64) []rankedTask {
	out := make([]rankedTask, 0, len(tasks))
	for _, t := range tasks {
		e := c.model.Slowdown(s.Quick, t.Kind, s.Load)
		effect := max(0, e.Mean) * t.Cores
		upper := effect + 2*e.Deviation*t.Cores
		out = append(out, rankedTask{Task: t, effect: effect, upper: upper, score: score(t, effect) / (1 + float64(t.Priority)/100)})
	}
	sort.SliceStable(out, func(i, j int) bool {
		if out[i].score != out[j].score {
			return out[i].score > out[j].score
		}
		if out[i].Cores*out[i].Speed != out[j].Cores*out[j].Speed {
			return out[i].Cores*out[i].Speed > out[j].Cores*out[j].Speed
		}
		return out[i].Ref.Task < out[j].Ref.Task
	})
	return out
}

// totalSlowdown returns the predicted slowdown by all tasks at their current speeds.
func totalSlowdown(list []rankedTask) float64 {
	sum := 0.0
	for _, t := range list {
		sum += t.effect * t.Speed
	}
	return sum
}

// negligibleEffect is the slowdown below which throttling a task is not worthwhile.
const negligibleEffect = 0.01

// negligible reports whether the task slows latency-critical work by less than negligibleEffect with high confidence, so
// that the violation must have another cause.
func (t *rankedTask) negligible() bool { return t.upper < negligibleEffect }

// minReductionFraction is the fraction of the needed reduction that each further throttle must achieve.
const minReductionFraction = 0.1

// throttleStep is the factor by which one action reduces a speed; the reduction is larger where the prediction requires it.
const throttleStep = 0.5

// throttle slows the highest-ranked tasks until the predicted p99 reaches Config.TargetShare. If no task can be throttled, it evicts
// one.
func (c *Controller) throttle(now time.Time, s Sample, tasks []Task) []Action {
	list := c.rankByThrottle(s, tasks)
	total := totalSlowdown(list)
	p99 := c.p99(s)
	needed := (1 + total) * max(0, 1-c.cfg.TargetShare*float64(s.Target)/float64(p99)) // slowdown to remove
	actions := []Action{}
	removed := 0.0
	for _, t := range list {
		if len(actions) >= c.cfg.MaxActions || len(actions) > 0 && removed >= needed {
			break
		}
		speed := max(c.cfg.MinSpeed, min(t.Speed*throttleStep, t.Speed-(needed-removed)/max(t.effect, 1e-9)))
		reduction := t.effect * (t.Speed - speed)
		if t.Speed <= c.cfg.MinSpeed || t.negligible() || len(actions) > 0 && reduction < minReductionFraction*needed {
			continue
		}
		removed += reduction
		actions = append(actions, Action{
			Kind: ActionThrottle, Ref: t.Ref, Speed: speed, Rejected: alternatives(list, t),
			Reason: fmt.Sprintf("%s p99 %s over %s; predicted slowdown by the task %.3f", s.Quick, p99, s.Target, t.effect*t.Speed),
		})
	}
	if len(actions) > 0 {
		c.updateRestoreBackoff(now)
		return actions
	}
	return c.evict(now, s, tasks)
}

// alternatives lists the highest-ranked candidates that were not chosen, with their scores.
func alternatives(list []rankedTask, chosen rankedTask) []string {
	const limit = 3
	out := []string{}
	for _, t := range list {
		if t.Ref != chosen.Ref && len(out) < limit {
			out = append(out, fmt.Sprintf("%s %.4f", t.Ref.Task, t.score))
		}
	}
	return out
}

// minRun returns the run time before the task may be evicted.
func (c *Controller) minRun(t Task) time.Duration {
	if t.ExpectedRunTime > 0 {
		return min(c.cfg.MinRun, t.ExpectedRunTime/2)
	}
	return c.cfg.MinRun
}

func (c *Controller) evict(now time.Time, s Sample, tasks []Task) []Action {
	list := c.rankByEviction(s, tasks)
	rejected := []string{}
	for _, t := range list {
		if t.negligible() {
			rejected = append(rejected, t.Ref.Task+" is harmless")
			continue
		}
		if t.Elapsed < c.minRun(t.Task) {
			rejected = append(rejected, t.Ref.Task+" ran too short")
			continue
		}
		if !c.allowEviction(now) {
			return nil
		}
		return []Action{{
			Kind: ActionEvict, Ref: t.Ref, Rejected: append(rejected, alternatives(list, t)...),
			Reason: fmt.Sprintf("throttling was not enough: %s p99 %s over %s; predicted slowdown by the task %.3f",
				s.Quick, c.p99(s), s.Target, t.effect*t.Speed),
		}}
	}
	return nil
}

// restore raises the speed of one task, the one with the smallest effect first, unless the predicted p99 exceeds Config.TargetShare.
func (c *Controller) restore(now time.Time, s Sample, tasks []Task) []Action {
	list := c.rankByThrottle(s, tasks)
	total := totalSlowdown(list)
	p99 := c.p99(s)
	for i := len(list) - 1; i >= 0; i-- {
		t := list[i]
		if t.Speed >= 1 {
			continue
		}
		speed := min(1, t.Speed/throttleStep)
		after := total + t.effect*(speed-t.Speed)
		if s.Target > 0 && s.Count > 0 && float64(p99)*(1+after)/(1+total) > c.cfg.TargetShare*float64(s.Target) {
			continue
		}
		c.lastRestore = now
		return []Action{{
			Kind: ActionRestore, Ref: t.Ref, Speed: speed, Rejected: alternatives(list, t),
			Reason: fmt.Sprintf("p99 %s, target %s", p99, s.Target),
		}}
	}
	return nil
}

// evictLongThrottled evicts the highest-ranked task that has been throttled for MaxThrottleTime: it occupies resources that other
// work could use at full speed. Tasks with a negligible effect are left to restore.
func (c *Controller) evictLongThrottled(now time.Time, s Sample, tasks []Task) []Action {
	if s.Target == 0 || s.Count == 0 {
		return nil
	}
	list := c.rankByThrottle(s, tasks)
	for _, t := range list {
		if t.ThrottledFor < c.cfg.MaxThrottleTime || t.Elapsed < c.minRun(t.Task) || t.negligible() {
			continue
		}
		if !c.allowEviction(now) {
			return nil
		}
		return []Action{{
			Kind: ActionEvict, Ref: t.Ref, Rejected: alternatives(list, t),
			Reason: fmt.Sprintf("at reduced speed for %s; predicted slowdown of %s by the task %.3f",
				t.ThrottledFor.Round(time.Second), s.Quick, t.effect),
		}}
	}
	return nil
}

// RelieveMemory evicts the task that exceeds its reserved memory most when the tasks together use more than availableMB. The eviction
// budget does not apply, because memory cannot be throttled. A measurement from before the last action took effect is ignored.
func (c *Controller) RelieveMemory(now, measured time.Time, availableMB int64, tasks []Task) []Action {
	if measured.Before(c.effectAt) {
		return nil
	}
	used, worst, excess := int64(0), -1, int64(0)
	for i, t := range tasks {
		used += t.MemoryMB
		if over := t.MemoryMB - t.ReservedMB; over > excess {
			worst, excess = i, over
		}
	}
	if used <= availableMB || worst < 0 {
		return nil
	}
	c.recordAction(now, Sample{Window: Window{From: measured}})
	return []Action{{
		Kind: ActionEvict, Ref: tasks[worst].Ref,
		Reason: fmt.Sprintf("batch tasks use %d MB of %d MB; the task is %d MB over its size", used, availableMB, excess),
	}}
}
