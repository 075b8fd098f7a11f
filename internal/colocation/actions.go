package colocation

import (
	"fmt"
	"sort"
	"time"
)

// rankedTask is a task with its score as a candidate for an action.
type rankedTask struct {
	Task
	slowdown      float64 // predicted relative slowdown of the latency-critical kind when the task runs at full speed
	slowdownBound float64 // slowdown plus two standard deviations
	score         float64 // slowdown relative to the cost of the action; higher is a better candidate
}

// minEvictionCost is the minimum cost of evicting a task, in run time at full speed: the task is checkpointed and later resumed.
const minEvictionCost = 5 * time.Second

// rankForThrottling returns the tasks by descending predicted slowdown per core.
func (c *Controller) rankForThrottling(s Sample, tasks []Task) []rankedTask {
	return c.rank(s, tasks, func(t Task, slowdown float64) float64 { return slowdown / max(0.1, t.Cores) })
}

// rankForEviction returns the tasks by descending ratio of the predicted slowdown to the work that is lost if the checkpoint fails.
func (c *Controller) rankForEviction(s Sample, tasks []Task) []rankedTask {
	return c.rank(s, tasks, func(t Task, slowdown float64) float64 {
		return slowdown * t.Speed / (max(0.1, t.Cores) * (t.Elapsed + minEvictionCost).Seconds())
	})
}

// rank returns the tasks by descending score. A priority of 100 halves the score of a task.
func (c *Controller) rank(s Sample, tasks []Task, score func(Task, float64) float64) []rankedTask {
	out := make([]rankedTask, 0, len(tasks))
	for _, t := range tasks {
		e := c.model.Slowdown(s.Quick, t.Kind, s.Load)
		slowdown := max(0, e.Mean) * t.Cores
		slowdownBound := slowdown + 2*e.Deviation*t.Cores
		out = append(out, rankedTask{Task: t, slowdown: slowdown, slowdownBound: slowdownBound,
			score: score(t, slowdown) / (1 + float64(t.Priority)/100)})
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

// totalSlowdown returns the predicted relative slowdown that all tasks cause together at their current speeds.
func totalSlowdown(ranked []rankedTask) float64 {
	sum := 0.0
	for _, t := range ranked {
		sum += t.slowdown * t.Speed
	}
	return sum
}

// negligibleSlowdown is the relative slowdown below which throttling a task is not worthwhile.
const negligibleSlowdown = 0.01

// hasNegligibleSlowdown reports whether the task slows latency-critical work by less than negligibleSlowdown with high
// confidence. A violation of the latency target then has another cause.
func (t *rankedTask) hasNegligibleSlowdown() bool { return t.slowdownBound < negligibleSlowdown }

// minReductionFraction is the fraction of the needed reduction that each further throttle must achieve.
const minReductionFraction = 0.1

// throttleFactor is the factor by which a throttle multiplies the speed of a task, and by which a restore divides it. A throttle
// reduces the speed further where the prediction requires it.
const throttleFactor = 0.5

// throttle returns actions that slow the highest-ranked tasks until the predicted p99 falls to Config.TargetFraction of the target. If
// no task can be throttled, throttle returns the eviction of one task. A throttle also updates restoreBackoff.
func (c *Controller) throttle(now time.Time, s Sample, tasks []Task) []Action {
	ranked := c.rankForThrottling(s, tasks)
	currentSlowdown := totalSlowdown(ranked)
	p99 := c.p99(s)
	// neededReduction is the slowdown that the actions must remove.
	neededReduction := (1 + currentSlowdown) * max(0, 1-c.cfg.TargetFraction*float64(s.Target)/float64(p99))
	actions := []Action{}
	plannedReduction := 0.0
	for _, t := range ranked {
		if len(actions) >= c.cfg.MaxThrottlesPerStep || len(actions) > 0 && plannedReduction >= neededReduction {
			break
		}
		speed := max(c.cfg.MinSpeed, min(t.Speed*throttleFactor, t.Speed-(neededReduction-plannedReduction)/max(t.slowdown, 1e-9)))
		reduction := t.slowdown * (t.Speed - speed)
		if t.Speed <= c.cfg.MinSpeed || t.hasNegligibleSlowdown() || len(actions) > 0 && reduction < minReductionFraction*neededReduction {
			continue
		}
		plannedReduction += reduction
		actions = append(actions, Action{
			Kind: ActionThrottle, Ref: t.Ref, Speed: speed, Rejected: alternatives(ranked, t),
			Reason: fmt.Sprintf("%s p99 %s over %s; predicted slowdown by the task %.3f", s.Quick, p99, s.Target, t.slowdown*t.Speed),
		})
	}
	if len(actions) > 0 {
		c.updateRestoreBackoff(now)
		return actions
	}
	return c.evict(now, s, tasks)
}

// alternatives returns the task IDs and scores of the three highest-ranked candidates that were not chosen.
func alternatives(ranked []rankedTask, chosen rankedTask) []string {
	const limit = 3
	out := []string{}
	for _, t := range ranked {
		if t.Ref != chosen.Ref && len(out) < limit {
			out = append(out, fmt.Sprintf("%s %.4f", t.Ref.Task, t.score))
		}
	}
	return out
}

// minRunTime returns the time that the task must have run before it may be evicted.
func (c *Controller) minRunTime(t Task) time.Duration {
	if t.ExpectedRunTime > 0 {
		return min(c.cfg.MinRunTime, t.ExpectedRunTime/2)
	}
	return c.cfg.MinRunTime
}

// evict returns the eviction of the highest-ranked task that slows latency-critical work noticeably and has run for its minimum
// time. It returns no action if there is no such task or the eviction budget is used up.
func (c *Controller) evict(now time.Time, s Sample, tasks []Task) []Action {
	ranked := c.rankForEviction(s, tasks)
	rejected := []string{}
	for _, t := range ranked {
		if t.hasNegligibleSlowdown() {
			rejected = append(rejected, t.Ref.Task+" is harmless")
			continue
		}
		if t.Elapsed < c.minRunTime(t.Task) {
			rejected = append(rejected, t.Ref.Task+" ran too short")
			continue
		}
		if !c.takeEvictionToken(now) {
			return nil
		}
		return []Action{{
			Kind: ActionEvict, Ref: t.Ref, Rejected: append(rejected, alternatives(ranked, t)...),
			Reason: fmt.Sprintf("throttling was not enough: %s p99 %s over %s; predicted slowdown by the task %.3f",
				s.Quick, c.p99(s), s.Target, t.slowdown*t.Speed),
		}}
	}
	return nil
}

// restore returns an action that raises the speed of one task. It chooses the lowest-ranked throttled task for which the predicted
// p99 stays within Config.TargetFraction of the target, and returns no action if there is none.
func (c *Controller) restore(now time.Time, s Sample, tasks []Task) []Action {
	ranked := c.rankForThrottling(s, tasks)
	currentSlowdown := totalSlowdown(ranked)
	p99 := c.p99(s)
	for i := len(ranked) - 1; i >= 0; i-- {
		t := ranked[i]
		if t.Speed >= 1 {
			continue
		}
		speed := min(1, t.Speed/throttleFactor)
		slowdownAfter := currentSlowdown + t.slowdown*(speed-t.Speed)
		if s.Target > 0 && s.Count > 0 && float64(p99)*(1+slowdownAfter)/(1+currentSlowdown) > c.cfg.TargetFraction*float64(s.Target) {
			continue
		}
		c.lastRestoreAt = now
		return []Action{{
			Kind: ActionRestore, Ref: t.Ref, Speed: speed, Rejected: alternatives(ranked, t),
			Reason: fmt.Sprintf("p99 %s, target %s", p99, s.Target),
		}}
	}
	return nil
}

// evictLongThrottled returns the eviction of the highest-ranked task that has been throttled for Config.MaxThrottleTime: such a task
// occupies resources that other work could use at full speed. Tasks with a negligible slowdown are not evicted; restore raises
// their speed.
func (c *Controller) evictLongThrottled(now time.Time, s Sample, tasks []Task) []Action {
	if s.Target == 0 || s.Count == 0 {
		return nil
	}
	ranked := c.rankForThrottling(s, tasks)
	for _, t := range ranked {
		if t.ThrottledFor < c.cfg.MaxThrottleTime || t.Elapsed < c.minRunTime(t.Task) || t.hasNegligibleSlowdown() {
			continue
		}
		if !c.takeEvictionToken(now) {
			return nil
		}
		return []Action{{
			Kind: ActionEvict, Ref: t.Ref, Rejected: alternatives(ranked, t),
			Reason: fmt.Sprintf("at reduced speed for %s; predicted slowdown of %s by the task %.3f",
				t.ThrottledFor.Round(time.Second), s.Quick, t.slowdown),
		}}
	}
	return nil
}

// RelieveMemory returns the eviction of the task that exceeds its reserved memory most, if the tasks together use more than
// availableMB. Otherwise it returns no action. The eviction budget does not apply, because memory cannot be throttled. A measurement
// from before the last action took effect is ignored.
func (c *Controller) RelieveMemory(now, measuredAt time.Time, availableMB int64, tasks []Task) []Action {
	if measuredAt.Before(c.actionEffectiveAt) {
		return nil
	}
	usedMB, worstIndex, excessMB := int64(0), -1, int64(0)
	for i, t := range tasks {
		usedMB += t.MemoryMB
		if overMB := t.MemoryMB - t.ReservedMB; overMB > excessMB {
			worstIndex, excessMB = i, overMB
		}
	}
	if usedMB <= availableMB || worstIndex < 0 {
		return nil
	}
	c.recordAction(now, Sample{Window: Window{From: measuredAt}})
	return []Action{{
		Kind: ActionEvict, Ref: tasks[worstIndex].Ref,
		Reason: fmt.Sprintf("batch tasks use %d MB of %d MB; the task is %d MB over its size", usedMB, availableMB, excessMB),
	}}
}
