package colocation

import (
	"cmp"
	"time"

	"bamboofork/internal/invariant"
	"bamboofork/internal/worker"
)

// Config configures a Controller. Zero fields take the defaults.
type Config struct {
	ViolationWindows    int           // consecutive windows clearly above the target before tasks are throttled, default 2
	RecoveryWindows     int           // consecutive recovered windows before a speed is restored, default 6
	TargetFraction      float64       // predicted p99 after an action, as a fraction of the target, default 0.97
	SettleTime          time.Duration // time until an action affects the latency, default 1 s
	MinSpeed            float64       // lowest speed that throttling sets, default 0.25
	MinRunTime          time.Duration // run time before a task may be evicted, default 30 s; at most half its expected run time
	EvictBurst          int           // evictions that may follow each other without delay, default 2
	EvictInterval       time.Duration // mean time between evictions, default 1 min
	MaxThrottlesPerStep int           // maximum number of throttles in one step, default 16
	MaxThrottleTime     time.Duration // time at reduced speed after which a task is evicted to free its resources, default 5 min
}

func (c Config) withDefaults() Config {
	c.ViolationWindows = cmp.Or(c.ViolationWindows, 2)
	c.RecoveryWindows = cmp.Or(c.RecoveryWindows, 6)
	c.TargetFraction = cmp.Or(c.TargetFraction, 0.97)
	c.SettleTime = cmp.Or(c.SettleTime, time.Second)
	c.MinSpeed = cmp.Or(c.MinSpeed, 0.25)
	c.MinRunTime = cmp.Or(c.MinRunTime, 30*time.Second)
	c.EvictBurst = cmp.Or(c.EvictBurst, 2)
	c.EvictInterval = cmp.Or(c.EvictInterval, time.Minute)
	c.MaxThrottlesPerStep = cmp.Or(c.MaxThrottlesPerStep, 16)
	c.MaxThrottleTime = cmp.Or(c.MaxThrottleTime, 5*time.Minute)
	return c
}

// Task is a batch task that runs on the host.
type Task struct {
	Ref             worker.Ref
	Kind            string
	Priority        int
	Cores           float64       // cores used at full speed: measured, or as declared if there is no measurement
	MemoryMB        int64         // measured memory use
	ReservedMB      int64         // memory reserved for the task
	Speed           float64       // current speed, 0 to 1
	ThrottledFor    time.Duration // time since the speed was first reduced; 0 at full speed
	Elapsed         time.Duration // time since the task started on this host; this work is lost if the checkpoint fails
	ExpectedRunTime time.Duration // 0: unknown
}

// ActionKind is the kind of an Action.
type ActionKind string

// Kinds of actions.
const (
	ActionThrottle ActionKind = "throttle"
	ActionRestore  ActionKind = "restore" // raise the speed
	ActionEvict    ActionKind = "evict"   // checkpoint, then stop
)

// Action is one change to a task, with its reason and the candidate tasks that were rejected.
type Action struct {
	Kind     ActionKind
	Ref      worker.Ref
	Speed    float64 // new speed of a throttle or restore
	Reason   string
	Rejected []string
}

// Sample is the controller's input: the window of the latency-critical kind that is closest to its latency target.
type Sample struct {
	Window
	Target time.Duration // latency target; 0: none
}

// Controller decides when batch tasks of a host are throttled, evicted and restored. It is not safe for concurrent use.
type Controller struct {
	cfg   Config
	model *Model

	history                            latencyHistory
	violationWindows, recoveredWindows int
	reactedAt                          time.Time // time of the newest action
	actionEffectiveAt                  time.Time // time at which the newest action takes effect; windows that began earlier are ignored
	lastRestoreAt                      time.Time
	restoreBackoff                     int // factor on Config.RecoveryWindows; doubled when a throttle follows soon after a restore
	evictionTokens                     float64
	evictionTokensUpdatedAt            time.Time
}

// NewController returns a controller that predicts slowdowns with the model.
func NewController(cfg Config, model *Model) *Controller {
	cfg = cfg.withDefaults()
	return &Controller{cfg: cfg, model: model, restoreBackoff: 1, evictionTokens: float64(cfg.EvictBurst)}
}

// Step evaluates the newest window and returns the actions to take. It ignores a window that began before the last action took
// effect, so that one cause does not trigger two actions.
func (c *Controller) Step(now time.Time, s Sample, tasks []Task) []Action {
	if s.From.Before(c.actionEffectiveAt) {
		return nil
	}
	c.countWindow(s)
	var actions []Action
	switch {
	case c.violationWindows >= c.cfg.ViolationWindows || s.Target > 0 && c.history.violated(s.Target):
		actions = c.throttle(now, s, tasks)
	case c.recoveredWindows >= c.cfg.RecoveryWindows*c.restoreBackoff:
		actions = c.restore(now, s, tasks)
	}
	if len(actions) == 0 {
		actions = c.evictLongThrottled(now, s, tasks)
	}
	if len(actions) > 0 {
		c.recordAction(now, s)
	}
	return actions
}

// Idle replaces Step when no latency-critical request was served. The idle time counts as one recovered window. Idle returns the
// actions to take.
func (c *Controller) Idle(now time.Time, tasks []Task) []Action {
	return c.Step(now, Sample{Window: Window{From: now, To: now}}, tasks)
}

// countWindow adds the window to the history and updates the numbers of consecutive violation windows and recovered windows.
func (c *Controller) countWindow(s Sample) {
	if s.Target == 0 || s.Count == 0 {
		c.violationWindows, c.recoveredWindows = 0, c.recoveredWindows+1
		return
	}
	c.history.add(s.Window)
	switch {
	case s.clearlyViolated(s.Target):
		c.violationWindows, c.recoveredWindows = c.violationWindows+1, 0
	case c.history.recovered(s.Target):
		c.violationWindows, c.recoveredWindows = 0, c.recoveredWindows+1
	default:
		c.violationWindows, c.recoveredWindows = 0, 0 // between the thresholds of violation and recovery (hysteresis)
	}
}

// LatencyRatio returns the p99 of the requests since the last action, divided by the target. ok is false if there is no target or
// there are fewer than minPercentileSamples requests.
func (c *Controller) LatencyRatio(target time.Duration) (ratio float64, ok bool) {
	if target == 0 || c.history.sampleCount < minPercentileSamples {
		return 0, false
	}
	return float64(c.history.p99()) / float64(target), true
}

// p99 returns the p99 of the history. It returns the p99 of the window instead if the history holds too few requests or the window
// is clearly above the target.
func (c *Controller) p99(s Sample) time.Duration {
	if c.history.sampleCount >= minPercentileSamples && !s.clearlyViolated(s.Target) {
		return c.history.p99()
	}
	return s.P99
}

// recordAction clears the history and sets the time at which the action of now takes effect. s is the sample that led to the action.
func (c *Controller) recordAction(now time.Time, s Sample) {
	invariant.Check(!s.From.Before(c.actionEffectiveAt), "one_reaction_per_sample",
		"window from %s, last action took effect at %s", s.From, c.actionEffectiveAt)
	c.violationWindows, c.recoveredWindows = 0, 0
	c.history.clear()
	c.reactedAt, c.actionEffectiveAt = now, now.Add(c.cfg.SettleTime)
}

// restoreAttributionTime is the time after a restore within which a violation is attributed to the restore.
const restoreAttributionTime = 30 * time.Second

// maxRestoreBackoff bounds restoreBackoff.
const maxRestoreBackoff = 16

// updateRestoreBackoff doubles restoreBackoff if a throttle follows soon after a restore, and halves it otherwise.
func (c *Controller) updateRestoreBackoff(now time.Time) {
	if !c.lastRestoreAt.IsZero() && now.Sub(c.lastRestoreAt) < restoreAttributionTime {
		c.restoreBackoff = min(2*c.restoreBackoff, maxRestoreBackoff)
		return
	}
	c.restoreBackoff = max(1, c.restoreBackoff/2)
}

// takeEvictionToken takes one token from the eviction budget. It returns false if no token is left.
func (c *Controller) takeEvictionToken(now time.Time) bool {
	if !c.evictionTokensUpdatedAt.IsZero() {
		c.evictionTokens = min(float64(c.cfg.EvictBurst), c.evictionTokens+float64(now.Sub(c.evictionTokensUpdatedAt))/float64(c.cfg.EvictInterval))
	}
	c.evictionTokensUpdatedAt = now
	if c.evictionTokens < 1 {
		return false
	}
	c.evictionTokens--
	return true
}
