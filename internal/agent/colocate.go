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

// controlInterval is the length of a latency window: the period over which request latencies are summarised. It is also the
// interval between usage measurements of the batch tasks.
const controlInterval = 500 * time.Millisecond

// colocationManager limits the interference of batch tasks with latency-critical requests on the host. It measures request
// latency and task usage, updates the interference model, and applies the controller's decisions. Only the task loop calls
// runControlCycle. mu guards the summary, which the load report reads.
type colocationManager struct {
	agent       *Agent
	taskRunner  *taskRunner
	recorder    *colocation.Recorder
	model       *colocation.Model
	controller  *colocation.Controller
	aligner     colocation.Aligner
	lastCycleAt time.Time
	measuredAt  time.Time // time of the latest usage measurement
	idleWindows int       // consecutive windows without requests

	mu      sync.Mutex
	summary latencySummary
}

// latencySummary describes the latency-critical kind of requests whose latency was highest relative to its target in the latest
// windows. It also contains the usage of the batch tasks.
type latencySummary struct {
	kind        string
	ratio       float64            // 99th percentile of the latency, divided by the target; 0: unknown
	coresByKind map[string]float64 // cores in use by batch kind
}

func newColocationManager(a *Agent, r *taskRunner) *colocationManager {
	model := colocation.NewModel()
	return &colocationManager{
		agent: a, taskRunner: r, recorder: colocation.NewRecorder(), model: model,
		controller: colocation.NewController(colocation.Config{}, model)}
}

// observeLatency records the service time of a latency-critical request together with the current slot utilisation.
func (c *colocationManager) observeLatency(branch *settings.Effective, duration time.Duration) {
	usage := c.agent.gate.Usage()
	utilisation := 0.0
	if usage.Slots > 0 {
		utilisation = float64(usage.BusySlots) / float64(usage.Slots)
	}
	c.recorder.Add(latencyKind(branch), duration, time.Now(), utilisation)
}

func latencyKind(branch *settings.Effective) string {
	if branch.WorkKind != "" {
		return branch.WorkKind
	}
	return branch.Branch
}

// runControlCycle closes the latency windows, measures the tasks, and applies the controller's actions. It does nothing if the
// previous cycle was less than controlInterval ago.
func (c *colocationManager) runControlCycle(ctx context.Context) {
	now := time.Now()
	if now.Sub(c.lastCycleAt) < controlInterval {
		return
	}
	c.lastCycleAt = now
	windows := c.recorder.CloseWindows(now)
	for _, w := range windows {
		c.aligner.AddWindow(w)
	}
	c.measureUsage(ctx)
	sample := c.worstSample(windows)
	c.updateSummary(sample)
	tasks := c.taskRunner.controlTasks(now)
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
		c.applyAction(ctx, action)
	}
}

// measureUsage reads the tasks' usage from the worker. It then updates the peak usage of each task and the interference model.
// The worker's measurements lag behind, so the aligner matches them to earlier latency windows.
func (c *colocationManager) measureUsage(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	usage, err := c.taskRunner.worker.Usage(callCtx)
	if err != nil || !usage.At.After(c.measuredAt) {
		return
	}
	coresByKind := c.taskRunner.recordUsage(usage, c.measuredAt)
	c.measuredAt = usage.At
	for _, o := range c.aligner.Match(usage.At, coresByKind) {
		c.model.Observe(o)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.summary.coresByKind = coresByKind
}

// worstSample returns the window whose 99th percentile is highest relative to its latency target, together with the target. The
// sample is empty if no window has a target.
func (c *colocationManager) worstSample(windows []colocation.Window) colocation.Sample {
	targetByKind := c.latencyTargets()
	worst := colocation.Sample{}
	for _, w := range windows {
		s := colocation.Sample{Window: w, Target: targetByKind[w.Quick]}
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

// latencyTargets returns the strictest latency target of each kind among the branches that this backend server serves.
func (c *colocationManager) latencyTargets() map[string]time.Duration {
	targetByKind := map[string]time.Duration{}
	snapshot := c.agent.liveSettings.Current()
	for path := range snapshot.Tree.Branches {
		branch, ok := snapshot.Branch(path)
		if !ok || branch.Backend != c.agent.cfg.BackendName || branch.LatencyTarget == 0 {
			continue
		}
		if strictest := targetByKind[latencyKind(branch)]; strictest == 0 || branch.LatencyTarget < strictest {
			targetByKind[latencyKind(branch)] = branch.LatencyTarget
		}
	}
	return targetByKind
}

// maxIdleWindows is the number of consecutive windows without requests after which the host counts as having no
// latency-critical traffic.
const maxIdleWindows = 120

func (c *colocationManager) updateSummary(s colocation.Sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Count == 0 {
		c.idleWindows++
		if c.idleWindows > maxIdleWindows {
			c.summary.kind, c.summary.ratio = "", 0
		}
		return
	}
	c.idleWindows = 0
	if c.summary.kind != s.Quick {
		c.summary.kind, c.summary.ratio = s.Quick, 0
	}
	if ratio, ok := c.controller.LatencyRatio(s.Target); ok {
		c.summary.ratio = ratio
	}
}

func (c *colocationManager) currentSummary() latencySummary {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.summary
}

func (c *colocationManager) applyAction(ctx context.Context, action colocation.Action) {
	c.agent.history.Add(historyRecord(action))
	if action.Kind == colocation.ActionEvict {
		events.EvictionDecided.Log(&c.agent.log).Str("task", action.Ref.Task).Str("reason", action.Reason).
			Strs("rejected", action.Rejected).Send()
		c.taskRunner.endAttempt(action.Ref, true, "evicted for latency-critical work")
		return
	}
	events.ThrottleDecided.Log(&c.agent.log).Str("task", action.Ref.Task).Float64("share", action.Speed).
		Str("reason", action.Reason).Strs("rejected", action.Rejected).Send()
	c.setThrottle(ctx, action.Ref, action.Speed)
}

func (c *colocationManager) setThrottle(ctx context.Context, ref worker.Ref, speed float64) {
	callCtx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	if err := c.taskRunner.worker.Throttle(callCtx, ref, speed); err != nil {
		events.ControlFailed.Log(&c.agent.log).Str("task", ref.Task).Err(err).Send()
		return
	}
	c.taskRunner.mu.Lock()
	defer c.taskRunner.mu.Unlock()
	if t := c.taskRunner.attemptByRef[ref]; t != nil {
		t.advanceWork(time.Now())
		t.speed, t.speedChangedAt = speed, time.Now()
		switch {
		case speed >= 1:
			t.throttledSince = time.Time{}
		case t.throttledSince.IsZero():
			t.throttledSince = time.Now()
		}
	}
}
