package colocation

import (
	"cmp"
	"time"

	"bamboofork/internal/invariant"
	"bamboofork/internal/worker"
)

// Config sets a Controller's behaviour. Zero fields take the defaults.
type Config struct {
	Violations int           // consecutive windows plainly above the target before it acts, default 2
	Recoveries int           // consecutive windows with a recovery before it gives speed back, default 6
	Aim        float64       // share of the target that a reaction aims at, default 0.97
	Settle     time.Duration // time until a throttle or eviction shows in the latency, default 1 s
	MinShare   float64       // lowest speed by throttling, default 0.25
	MinRun     time.Duration // run time before a task may be evicted, default 30 s, at most half its expected run time
	EvictBurst int           // evictions in a row, default 2
	EvictEvery time.Duration // mean time between evictions, default 1 min
	MaxActions int           // throttles in one reaction, default 16
	StuckAfter time.Duration // time at reduced speed after which a task is evicted to free its room, default 5 min
}

func (c Config) withDefaults() Config {
	c.Violations = cmp.Or(c.Violations, 2)
	c.Recoveries = cmp.Or(c.Recoveries, 6)
	c.Aim = cmp.Or(c.Aim, 0.97)
	c.Settle = cmp.Or(c.Settle, time.Second)
	c.MinShare = cmp.Or(c.MinShare, 0.25)
	c.MinRun = cmp.Or(c.MinRun, 30*time.Second)
	c.EvictBurst = cmp.Or(c.EvictBurst, 2)
	c.EvictEvery = cmp.Or(c.EvictEvery, time.Minute)
	c.MaxActions = cmp.Or(c.MaxActions, 16)
	c.StuckAfter = cmp.Or(c.StuckAfter, 5*time.Minute)
	return c
}

// Task is a running batch task of the host.
type Task struct {
	Ref      worker.Ref
	Kind     string
	Priority int
	Cores    float64       // measured use at full speed; the declared cores if it was not measured
	MemoryMB int64         // measured use
	SizeMB   int64         // memory admitted for it
	Share    float64       // speed now, 0 to 1
	SlowFor  time.Duration // time since its speed was first reduced; 0 at full speed
	Ran      time.Duration // since its start on this host; lost work if the checkpoint fails
	Run      time.Duration // expected run time, 0: not known
}

// ActionKind is what a Controller asks for.
type ActionKind string

// Kinds of actions.
const (
	ActionThrottle ActionKind = "throttle"
	ActionRestore  ActionKind = "restore" // a higher share
	ActionEvict    ActionKind = "evict"   // checkpoint, then stop
)

// Action is one change of a task, with the reason and the candidates that were not chosen.
type Action struct {
	Kind     ActionKind
	Ref      worker.Ref
	Share    float64 // new speed of a throttle or restore
	Reason   string
	Rejected []string
}

// Sample is what the controller looks at: the window of the latency-critical kind that is closest to its target.
type Sample struct {
	Window
	Target time.Duration // 0: none
}

// Controller decides when batch tasks of a host are slowed, evicted and given back their speed. It is not synchronised.
type Controller struct {
	cfg   Config
	model *Model

	evidence    evidence
	over, under int
	reactedAt   time.Time // the newest action; windows that began before its effect are ignored
	effectAt    time.Time
	lastRestore time.Time
	patience    int // factor on Recoveries; doubles when a restore had to be taken back
	tokens      float64
	tokensAt    time.Time
}

// NewController returns a controller that uses the model to predict effects.
func NewController(cfg Config, model *Model) *Controller {
	cfg = cfg.withDefaults()
	return &Controller{cfg: cfg, model: model, patience: 1, tokens: float64(cfg.EvictBurst)}
}

// Step looks at the newest window and returns what to do. A window that began before the last action took effect is
// ignored, so that no sample causes a second reaction.
func (c *Controller) Step(now time.Time, s Sample, tasks []Task) []Action {
	if s.From.Before(c.effectAt) {
		return nil
	}
	c.observe(s)
	var actions []Action
	switch {
	case c.over >= c.cfg.Violations || s.Target > 0 && c.evidence.violated(s.Target):
		actions = c.slowDown(now, s, tasks)
	case c.under >= c.cfg.Recoveries*c.patience:
		actions = c.speedUp(now, s, tasks)
	}
	if len(actions) == 0 {
		actions = c.unstick(now, s, tasks)
	}
	if len(actions) > 0 {
		c.acted(now, s)
	}
	return actions
}

// Idle is called instead of Step when no latency-critical request was served; it counts as a window far below the target.
func (c *Controller) Idle(now time.Time, tasks []Task) []Action {
	return c.Step(now, Sample{Window: Window{From: now, To: now}}, tasks)
}

func (c *Controller) observe(s Sample) {
	if s.Target == 0 || s.Count == 0 {
		c.over, c.under = 0, c.under+1
		return
	}
	c.evidence.add(s.Window)
	switch {
	case s.gross(s.Target):
		c.over, c.under = c.over+1, 0
	case c.evidence.recovered(s.Target):
		c.over, c.under = 0, c.under+1
	default:
		c.over, c.under = 0, 0 // inside the hysteresis
	}
}

// Ratio is the p99 of the requests since the last action relative to the target; ok is false if they are too few.
func (c *Controller) Ratio(target time.Duration) (ratio float64, ok bool) {
	if target == 0 || c.evidence.count < ratioSamples {
		return 0, false
	}
	return float64(c.evidence.p99()) / float64(target), true
}

// p99 is the best estimate of the present p99.
func (c *Controller) p99(s Sample) time.Duration {
	if c.evidence.count >= ratioSamples && !s.gross(s.Target) {
		return c.evidence.p99()
	}
	return s.P99
}

func (c *Controller) acted(now time.Time, s Sample) {
	invariant.Check(!s.From.Before(c.effectAt), "one_reaction_per_sample", "window from %s, last action took effect at %s", s.From, c.effectAt)
	c.over, c.under = 0, 0
	c.evidence.clear()
	c.reactedAt, c.effectAt = now, now.Add(c.cfg.Settle)
}

// flapTime is how soon after a restore a violation counts as caused by it.
const flapTime = 30 * time.Second

// maxPatience bounds the growth of the wait before a restore.
const maxPatience = 16

func (c *Controller) notePatience(now time.Time) {
	if !c.lastRestore.IsZero() && now.Sub(c.lastRestore) < flapTime {
		c.patience = min(2*c.patience, maxPatience)
		return
	}
	c.patience = max(1, c.patience/2)
}

// allowEviction takes from the budget of evictions.
func (c *Controller) allowEviction(now time.Time) bool {
	if !c.tokensAt.IsZero() {
		c.tokens = min(float64(c.cfg.EvictBurst), c.tokens+float64(now.Sub(c.tokensAt))/float64(c.cfg.EvictEvery))
	}
	c.tokensAt = now
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}
