package agent

import (
	"context"
	"sync"
	"time"

	"bamboofork/internal/colocation"
	"bamboofork/internal/events"
	"bamboofork/internal/settings"
	"bamboofork/internal/worker"
)

// controlInterval is the length of a latency window and the interval between measurements of the batch tasks.
const controlInterval = 500 * time.Millisecond

// colocator measures request latency and task usage on the host, feeds the interference model, and applies the
// controller's decisions. Only the task loop calls step; mu guards the summary, which the load report reads.
type colocator struct {
	agent      *Agent
	tasks      *taskRunner
	recorder   *colocation.Recorder
	model      *colocation.Model
	controller *colocation.Controller
	aligner    colocation.Aligner
	lastStep   time.Time
	measuredAt time.Time // time of the latest usage measurement
	idleCount  int       // consecutive windows without requests

	mu      sync.Mutex
	summary quickSummary
}

// quickSummary describes the latency-critical kind with the highest latency relative to its target in the latest windows.
type quickSummary struct {
	kind  string
	ratio float64            // p99 / target; 0: unknown
	cores map[string]float64 // cores in use by batch kind
}

func newColocator(a *Agent, r *taskRunner) *colocator {
	model := colocation.NewModel()
	return &colocator{
		agent: a, tasks: r, recorder: colocation.NewRecorder(), model: model,
		controller: colocation.NewController(colocation.Config{}, model)}
}

// observeLatency records the service time of a request. Streams and batch branches are not recorded.
func (c *colocator) observeLatency(branch *settings.Effective, took time.Duration) {
	u := c.agent.gate.Usage()
	load := 0.0
	if u.Slots > 0 {
		load = float64(u.Busy) / float64(u.Slots)
	}
	c.recorder.Add(quickKind(branch), took, time.Now(), load)
}

func quickKind(branch *settings.Effective) string {
	if branch.Kind != "" {
		return branch.Kind
	}
	return branch.Branch
}

// step closes the latency windows, measures the tasks, and applies the controller's actions, once per controlInterval.
func (c *colocator) step(ctx context.Context) {
	now := time.Now()
	if now.Sub(c.lastStep) < controlInterval {
		return
	}
	c.lastStep = now
	windows := c.recorder.Close(now)
	for _, w := range windows {
		c.aligner.AddWindow(w)
	}
	c.measure(ctx)
	sample := c.worstWindow(windows)
	c.updateSummary(sample)
	tasks := c.tasks.controlTasks(now)
	var actions []colocation.Action
	if sample.Count == 0 {
		actions = c.controller.Idle(now, tasks)
	} else {
		actions = c.controller.Step(now, sample, tasks)
	}
	if len(actions) == 0 {
		actions = c.controller.RelieveMemory(now, c.measuredAt, c.agent.gate.Usage().Resources.MemoryMB, tasks)
	}
	for _, action := range actions {
		c.apply(ctx, action)
	}
}

// measure reads the usage, which lags, updates each task's peak use and feeds the model.
func (c *colocator) measure(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	usage, err := c.tasks.worker.Usage(callCtx)
	if err != nil || !usage.At.After(c.measuredAt) {
		return
	}
	cores := c.tasks.recordUsage(usage, c.measuredAt)
	c.measuredAt = usage.At
	for _, o := range c.aligner.Match(usage.At, cores) {
		c.model.Observe(o)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.summary.cores = cores
}

// worstWindow returns the window with the highest p99 relative to its target, or an empty sample if no window has a target.
func (c *colocator) worstWindow(windows []colocation.Window) colocation.Sample {
	targets := c.targets()
	worst := colocation.Sample{}
	for _, w := range windows {
		s := colocation.Sample{Window: w, Target: targets[w.Quick]}
		if s.Target > 0 && (worst.Target == 0 || latencyRatio(s) > latencyRatio(worst)) {
			worst = s
		}
	}
	return worst
}

func latencyRatio(s colocation.Sample) float64 {
	if s.Target == 0 {
		return 0
	}
	return float64(s.P99) / float64(s.Target)
}

// targets returns the strictest latency target of each kind among the branches that this backend server serves.
func (c *colocator) targets() map[string]time.Duration {
	out := map[string]time.Duration{}
	snap := c.agent.live.Current()
	for path := range snap.Tree.Branches {
		e, ok := snap.Branch(path)
		if !ok || e.Backend != c.agent.cfg.BackendName || e.LatencyTarget == 0 {
			continue
		}
		if old := out[quickKind(e)]; old == 0 || e.LatencyTarget < old {
			out[quickKind(e)] = e.LatencyTarget
		}
	}
	return out
}

// maxIdleWindows is the number of consecutive windows without requests after which the host counts as having no
// latency-critical traffic.
const maxIdleWindows = 120

func (c *colocator) updateSummary(s colocation.Sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Count == 0 {
		c.idleCount++
		if c.idleCount > maxIdleWindows {
			c.summary.kind, c.summary.ratio = "", 0
		}
		return
	}
	c.idleCount = 0
	if c.summary.kind != s.Quick {
		c.summary.kind, c.summary.ratio = s.Quick, 0
	}
	if ratio, ok := c.controller.LatencyRatio(s.Target); ok {
		c.summary.ratio = ratio
	}
}

func (c *colocator) currentSummary() quickSummary {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.summary
}

func (c *colocator) apply(ctx context.Context, action colocation.Action) {
	c.agent.history.Add(historyRecord(action))
	if action.Kind == colocation.ActionEvict {
		events.EvictionDecided.Log(&c.agent.log).Str("task", action.Ref.Task).Str("reason", action.Reason).
			Strs("rejected", action.Rejected).Send()
		c.tasks.endAttempt(action.Ref, true, "evicted for latency-critical work")
		return
	}
	events.ThrottleDecided.Log(&c.agent.log).Str("task", action.Ref.Task).Float64("share", action.Speed).
		Str("reason", action.Reason).Strs("rejected", action.Rejected).Send()
	c.setThrottle(ctx, action.Ref, action.Speed)
}

func (c *colocator) setThrottle(ctx context.Context, ref worker.Ref, speed float64) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.tasks.worker.Throttle(callCtx, ref, speed); err != nil {
		events.ControlFailed.Log(&c.agent.log).Str("task", ref.Task).Err(err).Send()
		return
	}
	c.tasks.mu.Lock()
	defer c.tasks.mu.Unlock()
	if t := c.tasks.attempts[ref]; t != nil {
		t.advanceWork(time.Now())
		t.throttle, t.throttleChangedAt = speed, time.Now()
		switch {
		case speed >= 1:
			t.throttledSince = time.Time{}
		case t.throttledSince.IsZero():
			t.throttledSince = time.Now()
		}
	}
}
