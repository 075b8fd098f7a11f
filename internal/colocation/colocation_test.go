package colocation

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/worker"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// trainModel feeds the model simulated windows of one host and returns the time of the last window. slowdownByKind holds, by batch
// kind, the slowdown per core at zero load and the growth of that slowdown with the load.
func trainModel(m *Model, windowCount int, rng *rand.Rand, at time.Time, slowdownByKind map[string][2]float64) time.Time {
	for range windowCount {
		load := 0.1 + 0.8*rng.Float64()
		cores, factor := map[string]float64{}, 1.0
		for _, kind := range []string{"plan", "index", "render"} {
			if p, ok := slowdownByKind[kind]; ok && rng.IntN(2) == 0 {
				cores[kind] = float64(rng.IntN(24))
				factor += cores[kind] * (p[0] + p[1]*load)
			}
		}
		at = at.Add(time.Second)
		latency := 0.02 * (1 + 0.5*load) * factor * math.Exp(0.1*rng.NormFloat64())
		m.Observe(Observation{At: at, Quick: "scan", LatencySeconds: latency, Samples: 30, Load: load, Cores: cores})
	}
	return at
}

// Guards against a model whose slowdowns are wrong for a batch kind or a load, or do not follow a change. Also guards against a
// small deviation for a kind without measurements, which would make an unknown pair look well known.
func TestModelLearnsSlowdownOfEachPair(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	m := NewModel()
	slowdownByKind := map[string][2]float64{"plan": {0.02, 0.03}, "index": {0.001, 0}}
	at := trainModel(m, 600, rng, epoch, slowdownByKind)
	checkSlowdown := func(kind string, load, want, tolerance float64) {
		e := m.Slowdown("scan", kind, load)
		qt.Check(t, math.Abs(e.Mean-want) < tolerance, qt.IsTrue, qt.Commentf("%s at %.1f: %.4f±%.4f, want %.4f", kind, load, e.Mean, e.Deviation, want))
	}
	checkSlowdown("plan", 0.2, 0.026, 0.01)
	checkSlowdown("plan", 0.8, 0.044, 0.01)
	checkSlowdown("index", 0.8, 0.001, 0.006)
	known, unknown := m.Slowdown("scan", "plan", 0.5), m.Slowdown("scan", "other", 0.5)
	qt.Check(t, known.Deviation < unknown.Deviation/4, qt.IsTrue, qt.Commentf("%v %v", known, unknown))
	slowdownByKind["plan"] = [2]float64{0.001, 0.001}
	trainModel(m, 6000, rng, at, slowdownByKind)
	checkSlowdown("plan", 0.8, 0.002, 0.01)
}

// Guards against feature slots of old batch kinds that are never reassigned to new kinds. Also guards against more pairs than fit
// into one message.
func TestModelReusesSlotsAndBoundsPairs(t *testing.T) {
	m := NewModel()
	for i := range 40 {
		kind := string(rune('a' + i))
		m.Observe(Observation{At: epoch.Add(time.Duration(i) * time.Second), Quick: "scan", LatencySeconds: 0.02, Samples: 1, Cores: map[string]float64{kind: 1}})
	}
	qt.Check(t, m.Pairs(), qt.HasLen, MaxPairs)
	qt.Check(t, m.Slowdown("scan", "a", 0.5), qt.Equals, PriorSlowdown)
}

// Guards against a merge in which an imprecise estimate outweighs a precise one.
func TestMergeWeighsPrecision(t *testing.T) {
	precise := Pair{Quick: "q", Batch: "b", Low: Estimate{0.01, 0.001}, High: Estimate{0.03, 0.001}}
	imprecise := Pair{Quick: "q", Batch: "b", Low: Estimate{0.5, 0.2}, High: Estimate{0.5, 0.2}}
	m := Merge([]Pair{precise}, []Pair{imprecise}, []Pair{precise})
	e := m.Slowdown("q", "b", 0.5)
	qt.Check(t, math.Abs(e.Mean-0.02) < 0.001, qt.IsTrue, qt.Commentf("%v", e))
	qt.Check(t, m.Slowdown("q", "x", 0.5), qt.Equals, PriorSlowdown)
}

// Guards against an Aligner that joins the latency of one window with the CPU use of another time.
func TestAlignerMatchesLaggedUsage(t *testing.T) {
	a := &Aligner{}
	for i := range 5 {
		from := epoch.Add(time.Duration(i) * time.Second)
		a.AddWindow(Window{Quick: "q", From: from, To: from.Add(time.Second), Mean: time.Duration(i+1) * time.Millisecond, Count: 1})
	}
	observations := a.Match(epoch.Add(2500*time.Millisecond), map[string]float64{"b": 1})
	qt.Assert(t, observations, qt.HasLen, 1)
	qt.Check(t, observations[0].LatencySeconds, qt.Equals, 0.003)
	qt.Check(t, a.Match(epoch.Add(2500*time.Millisecond), nil), qt.HasLen, 0)
}

func sampleWithP99(at time.Time, p99 time.Duration) Sample {
	samples := slices.Repeat([]time.Duration{p99}, 50)
	return Sample{Window: Window{Quick: "scan", From: at.Add(-500 * time.Millisecond), To: at, P99: p99, Mean: p99 / 2, Count: 50, Load: 0.5, Samples: samples}, Target: 30 * time.Millisecond}
}

func testTasks(speed float64, elapsed time.Duration) []Task {
	return []Task{
		{Ref: worker.Ref{Task: "calm/0", Attempt: 1}, Kind: "index", Cores: 16, Speed: speed, Elapsed: elapsed},
		{Ref: worker.Ref{Task: "loud/0", Attempt: 1}, Kind: "plan", Cores: 8, Speed: speed, Elapsed: elapsed},
		{Ref: worker.Ref{Task: "loud/1", Attempt: 1}, Kind: "plan", Cores: 8, Speed: speed, Elapsed: 10 * elapsed},
	}
}

func trainedModel() *Model {
	m := NewModel()
	trainModel(m, 400, rand.New(rand.NewPCG(1, 1)), epoch, map[string][2]float64{"plan": {0.04, 0.02}, "index": {0.0005, 0}})
	return m
}

// Guards against throttling after a single window above the target, and against throttling a task that does not slow the
// latency-critical kind. Also guards against a second action for a window from before the first action took effect.
func TestThrottlesInterferingTasksOncePerViolation(t *testing.T) {
	c := NewController(Config{}, trainedModel())
	at := epoch
	qt.Check(t, c.Step(at, sampleWithP99(at, 45*time.Millisecond), testTasks(1, time.Minute)), qt.HasLen, 0)
	at = at.Add(500 * time.Millisecond)
	actions := c.Step(at, sampleWithP99(at, 45*time.Millisecond), testTasks(1, time.Minute))
	qt.Assert(t, len(actions) > 0, qt.IsTrue)
	for _, a := range actions {
		qt.Check(t, a.Kind, qt.Equals, ActionThrottle)
		qt.Check(t, a.Ref.Task, qt.Not(qt.Equals), "calm/0")
	}
	for range 3 { // windows that began before the throttle took effect
		at = at.Add(490 * time.Millisecond)
		qt.Check(t, c.Step(at, sampleWithP99(at, 60*time.Millisecond), testTasks(1, time.Minute)), qt.HasLen, 0)
		if at.After(epoch.Add(1900 * time.Millisecond)) {
			break
		}
	}
}

// stepViolating feeds the controller windows above the target for the given duration and returns all actions. It advances at.
func stepViolating(c *Controller, at *time.Time, duration time.Duration, tasks []Task) []Action {
	out := []Action{}
	for end := at.Add(duration); at.Before(end); {
		*at = at.Add(500 * time.Millisecond)
		out = append(out, c.Step(*at, sampleWithP99(*at, 60*time.Millisecond), tasks)...)
	}
	return out
}

// Guards against evicting a task that has just started, or the task that would lose the most work. Also guards against more
// evictions than the budget allows.
func TestEvictsTaskThatLosesLeastWorkWithinBudget(t *testing.T) {
	c, at := NewController(Config{}, trainedModel()), epoch
	qt.Check(t, stepViolating(c, &at, time.Minute, testTasks(0.25, 2*time.Second)), qt.HasLen, 0)
	actions := stepViolating(c, &at, 30*time.Second, testTasks(0.25, time.Minute))
	qt.Assert(t, actions, qt.HasLen, 2)
	qt.Check(t, actions[0].Kind, qt.Equals, ActionEvict)
	qt.Check(t, actions[0].Ref.Task, qt.Equals, "loud/0")
	qt.Check(t, len(stepViolating(c, &at, 10*time.Minute, testTasks(0.25, time.Minute))) <= 11, qt.IsTrue)
}

// Guards against a controller that never restores the speed of throttled tasks. Also guards against oscillation within the
// hysteresis: recovered windows must lead to a single restore, of the task with the smallest slowdown.
func TestRestoresTaskWithSmallestSlowdownFirst(t *testing.T) {
	c, at := NewController(Config{}, trainedModel()), epoch
	stepWindows := func(p99 time.Duration, windowCount int) (out []Action) {
		for range windowCount {
			at = at.Add(500 * time.Millisecond)
			out = append(out, c.Step(at, sampleWithP99(at, p99), testTasks(0.5, time.Minute))...)
		}
		return out
	}
	actions := stepWindows(10*time.Millisecond, 11)
	qt.Assert(t, actions, qt.HasLen, 1)
	qt.Check(t, actions[0].Kind, qt.Equals, ActionRestore)
	qt.Check(t, actions[0].Ref.Task, qt.Equals, "calm/0")
}

// Guards against batch tasks that together use more memory than the host has for them. The task that exceeds its reservation most
// must be evicted, once per measurement.
func TestMemoryEvictionTakesTaskFarthestOverReservation(t *testing.T) {
	c := NewController(Config{}, NewModel())
	tasks := testTasks(1, time.Minute)
	for i := range tasks {
		tasks[i].MemoryMB, tasks[i].ReservedMB = 5000, 5000
	}
	qt.Check(t, c.RelieveMemory(epoch, epoch, 16_000, tasks), qt.HasLen, 0)
	tasks[1].MemoryMB = 9000
	actions := c.RelieveMemory(epoch, epoch, 16_000, tasks)
	qt.Assert(t, actions, qt.HasLen, 1)
	qt.Check(t, actions[0].Ref.Task, qt.Equals, "loud/0")
	qt.Check(t, c.RelieveMemory(epoch.Add(time.Second), epoch, 16_000, tasks), qt.HasLen, 0)
}
