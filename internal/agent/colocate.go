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

// controlInterval is the length of a latency window and the time between measurements of the batch tasks.
const controlInterval = 500 * time.Millisecond

// colocator measures the host, learns the interference and carries out what the controller decides. Only the task loop
// calls step; mu guards the summary, which the load report reads.
type colocator struct {
	a        *Agent
	r        *taskRunner
	recorder *colocation.Recorder
	model    *colocation.Model
	control  *colocation.Controller
	aligner  colocation.Aligner
	last     time.Time
	measured time.Time // of the newest usage
	idle     int       // windows without requests in a row

	mu      sync.Mutex
	summary quickSummary
}

// quickSummary is the latency-critical kind closest to its target in the newest windows.
type quickSummary struct {
	kind  string
	ratio float64 // p99 / target, 0: not known
	cores map[string]float64
}

func newColocator(a *Agent, r *taskRunner) *colocator {
	model := colocation.NewModel()
	return &colocator{a: a, r: r, recorder: colocation.NewRecorder(), model: model, control: colocation.NewController(colocation.Config{}, model)}
}

// observe notes the service time of a request. Streams and batch branches have none.
func (c *colocator) observe(branch *settings.Effective, took time.Duration) {
	u := c.a.gate.Usage()
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

// step closes a window, measures the tasks, and acts, once per controlInterval.
func (c *colocator) step(ctx context.Context) {
	now := time.Now()
	if now.Sub(c.last) < controlInterval {
		return
	}
	c.last = now
	windows := c.recorder.Close(now)
	for _, w := range windows {
		c.aligner.AddWindow(w)
	}
	c.measure(ctx)
	sample := c.worst(windows)
	c.summarise(sample)
	tasks := c.r.controlTasks(now)
	var actions []colocation.Action
	if sample.Count == 0 {
		actions = c.control.Idle(now, tasks)
	} else {
		actions = c.control.Step(now, sample, tasks)
	}
	if len(actions) == 0 {
		actions = c.control.Relieve(now, c.measured, c.a.gate.Usage().Room.MemoryMB, tasks)
	}
	for _, action := range actions {
		c.carryOut(ctx, action)
	}
}

// measure reads the lagged usage, keeps each task's largest use and teaches the model.
func (c *colocator) measure(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	usage, err := c.r.w.Usage(callCtx)
	if err != nil || !usage.At.After(c.measured) {
		return
	}
	cores := c.r.noteUsage(usage, c.measured)
	c.measured = usage.At
	for _, o := range c.aligner.Measured(usage.At, cores) {
		c.model.Observe(o)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.summary.cores = cores
}

// worst is the window whose p99 is largest relative to its target; without targets the sample has none.
func (c *colocator) worst(windows []colocation.Window) colocation.Sample {
	targets := c.targets()
	out := colocation.Sample{}
	for _, w := range windows {
		s := colocation.Sample{Window: w, Target: targets[w.Quick]}
		if s.Target > 0 && (out.Target == 0 || ratioOf(s) > ratioOf(out)) {
			out = s
		}
	}
	return out
}

func ratioOf(s colocation.Sample) float64 {
	if s.Target == 0 {
		return 0
	}
	return float64(s.P99) / float64(s.Target)
}

// targets are the strictest latency targets by kind of the branches that this backend server serves.
func (c *colocator) targets() map[string]time.Duration {
	out := map[string]time.Duration{}
	snap := c.a.live.Current()
	for path := range snap.Tree.Branches {
		e, ok := snap.Branch(path)
		if !ok || e.Backend != c.a.cfg.BackendName || e.LatencyTarget == 0 {
			continue
		}
		if old := out[quickKind(e)]; old == 0 || e.LatencyTarget < old {
			out[quickKind(e)] = e.LatencyTarget
		}
	}
	return out
}

// idleWindows is the number of windows without requests after which the host counts as without latency-critical traffic.
const idleWindows = 120

func (c *colocator) summarise(s colocation.Sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Count == 0 {
		c.idle++
		if c.idle > idleWindows {
			c.summary.kind, c.summary.ratio = "", 0
		}
		return
	}
	c.idle = 0
	if c.summary.kind != s.Quick {
		c.summary.kind, c.summary.ratio = s.Quick, 0
	}
	if ratio, ok := c.control.Ratio(s.Target); ok {
		c.summary.ratio = ratio
	}
}

func (c *colocator) current() quickSummary {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.summary
}

func (c *colocator) carryOut(ctx context.Context, action colocation.Action) {
	c.a.history.Add(recordOf(action))
	if action.Kind == colocation.ActionEvict {
		events.EvictionDecided.Log(&c.a.log).Str("task", action.Ref.Task).Str("reason", action.Reason).Strs("rejected", action.Rejected).Send()
		c.r.end(action.Ref, true, "evicted for quick work")
		return
	}
	events.ThrottleDecided.Log(&c.a.log).Str("task", action.Ref.Task).Float64("share", action.Share).Str("reason", action.Reason).Strs("rejected", action.Rejected).Send()
	c.setThrottle(ctx, action.Ref, action.Share)
}

func (c *colocator) setThrottle(ctx context.Context, ref worker.Ref, share float64) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.r.w.Throttle(callCtx, ref, share); err != nil {
		events.ControlFailed.Log(&c.a.log).Str("task", ref.Task).Err(err).Send()
		return
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	if t := c.r.attempts[ref]; t != nil {
		t.advanceWork(time.Now())
		t.throttle, t.throttled = share, time.Now()
		switch {
		case share >= 1:
			t.slowSince = time.Time{}
		case t.slowSince.IsZero():
			t.slowSince = time.Now()
		}
	}
}
