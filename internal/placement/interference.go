package placement

import "math"

// Interference learns how strongly each image of filling tasks presses on each image of serving tasks. It answers filling
// work that disturbs some neighbours and not others: the effect depends on the pair, so one worker's evidence holds for
// the whole fleet.
//
// A serving task is taken for a queue whose tail latency is t0 / (1 - u), with t0 its latency without load and u its
// utilisation. u is the load of its own users plus, for each filling task beside it, the pair's pressure times the share
// of the worker's processor that the filling task uses. Latencies are not linear in the neighbours' work, utilisations
// are.
type Interference struct {
	serving map[string]*servingModel // by image
	loads   map[string]float64       // utilisation by its own users, by serving task
}

// servingModel is what is known of one serving image.
type servingModel struct {
	unloaded float64 // lowest latency seen, in ms
	pressure map[string]*coefficient
}

// coefficient is a Gaussian estimate.
type coefficient struct{ mean, variance float64 }

const (
	// priorPressure and priorVariance describe an unknown pair: most press with about their share of the worker, a few
	// several times as much.
	priorPressure = 1.0
	priorVariance = 2.0
	// knownVariance is the variance below which a pair counts as known.
	knownVariance = 0.5
	// driftVariance is added per observation, so that estimates follow effects that change.
	driftVariance = 0.002
	// loadVariance is the variance of one utilisation: the users' load swings by half of itself.
	loadVariance = 0.02
	// loadGain is the weight of a new look in the estimate of a serving task's own load; looks come three times a second.
	loadGain = 0.3
	// priorLoad is the own load of a serving task that was not looked at yet.
	priorLoad = 0.5
	minLoad   = 0.2
	maxLoad   = 0.78
	// unloadedShare is the latency without load of a serving image that was not seen idle yet, as a share of its target.
	unloadedShare = 0.2
	// saturated is the utilisation above which latencies say no more than that it is high.
	saturated = 0.95
	// targetMargin is kept between the planned utilisation and the one at which the target is missed.
	targetMargin = 0.07
	// minAgeMs is how long a run must have worked before the half-second averages of its neighbours show its effect.
	minAgeMs = 600
	// maxLoads bounds the loads that are remembered; a deployment has far fewer serving tasks for each owner.
	maxLoads = 20_000
)

// ServingSample is one look at a serving task.
type ServingSample struct {
	Task      string
	Image     string
	LatencyMs float64
	TargetMs  float64
}

// FillingSample is one look at a filling task on the same worker.
type FillingSample struct {
	Task  string
	Image string
	AgeMs int64
	Share float64 // of the worker's processor in use
}

// NewInterference returns an Interference without evidence.
func NewInterference() *Interference {
	return &Interference{serving: map[string]*servingModel{}, loads: map[string]float64{}}
}

func (f *Interference) model(image string, targetMs float64) *servingModel {
	m := f.serving[image]
	if m == nil {
		m = &servingModel{unloaded: unloadedShare * targetMs, pressure: map[string]*coefficient{}}
		f.serving[image] = m
	}
	return m
}

func (m *servingModel) coefficient(filling string) *coefficient {
	c := m.pressure[filling]
	if c == nil {
		c = &coefficient{mean: priorPressure, variance: priorVariance}
		m.pressure[filling] = c
	}
	return c
}

// Pressure returns the estimate of the utilisation that a whole worker of the filling image adds to the serving image.
func (f *Interference) Pressure(serving, filling string) float64 {
	if m := f.serving[serving]; m != nil {
		if known := m.pressure[filling]; known != nil {
			return known.mean
		}
	}
	return priorPressure
}

// Load returns the utilisation of a serving task by its own users.
func (f *Interference) Load(task string) float64 {
	if l, ok := f.loads[task]; ok {
		return l
	}
	return priorLoad
}

// Limit returns the utilisation up to which a serving image may be planned.
func (f *Interference) Limit(image string, targetMs int64) float64 {
	return f.model(image, float64(targetMs)).limit(float64(targetMs)) - targetMargin
}

func (m *servingModel) limit(targetMs float64) float64 { return 1 - m.unloaded/targetMs }

// Observe takes in the samples of one worker and returns the filling tasks that should leave it, because a serving task
// misses its target: those that press most on it, as many as it takes.
func (f *Interference) Observe(serving []ServingSample, filling []FillingSample) map[string]bool {
	if len(f.loads) > maxLoads {
		clear(f.loads)
	}
	settled, shares := true, map[string]float64{}
	for _, s := range filling {
		settled = settled && s.AgeMs >= minAgeMs
		shares[s.Image] += s.Share
	}
	leave := map[string]bool{}
	for _, s := range serving {
		if s.LatencyMs <= 0 || s.TargetMs <= 0 {
			continue
		}
		m := f.model(s.Image, s.TargetMs)
		m.unloaded = max(1, min(m.unloaded, s.LatencyMs))
		used := 1 - m.unloaded/s.LatencyMs
		if settled {
			f.learn(m, s, shares, used)
		}
		if s.LatencyMs > s.TargetMs {
			m.mark(filling, used-(m.limit(s.TargetMs)-targetMargin), leave)
		}
	}
	return leave
}

// learn updates the pressures by the difference between the seen and the expected utilisation, and the task's own load
// by what the pressures do not explain.
func (f *Interference) learn(m *servingModel, s ServingSample, shares map[string]float64, used float64) {
	load, pressed, spread := f.Load(s.Task), 0.0, loadVariance
	for image, x := range shares {
		c := m.coefficient(image)
		c.variance = min(priorVariance, c.variance+driftVariance)
		pressed += c.mean * x
		spread += c.variance * x * x
	}
	residual := used - load - pressed
	if used < saturated || residual > 0 {
		for image, x := range shares {
			c := m.coefficient(image)
			gain := c.variance * x / spread
			c.mean = max(0, c.mean+gain*residual)
			c.variance -= gain * x * c.variance
		}
	}
	if used < saturated {
		own := min(maxLoad, max(minLoad, used-pressed))
		f.loads[s.Task] = load + loadGain*(own-load)
	}
}

// mark adds the filling tasks with the strongest pressure until the excess is gone.
func (m *servingModel) mark(filling []FillingSample, excess float64, leave map[string]bool) {
	for excess > 0 {
		worst, most := -1, 0.0
		for i := range filling {
			s := &filling[i]
			if p := m.coefficient(s.Image).mean * s.Share; !leave[s.Task] && s.AgeMs >= minAgeMs && p > most {
				worst, most = i, p
			}
		}
		if worst < 0 || most < minPressed {
			return
		}
		leave[filling[worst].Task] = true
		excess -= most
		if m.coefficient(filling[worst].Image).variance > knownVariance {
			return // the next look tells whether it was the cause
		}
	}
}

// minPressed is the least pressure of a run that is worth a move.
const minPressed = 0.03

// Forget drops the load of a serving task that has ended.
func (f *Interference) Forget(task string) { delete(f.loads, task) }

// worstPress returns how the step's task would press on the worker's serving tasks: the largest pressure, and whether
// one of them would pass its planned utilisation.
func worstPress(s *Snapshot, w *Worker, image string, cpu int) (float64, bool) {
	if s.Interference == nil {
		return 0, false
	}
	worst, over := 0.0, false
	share := float64(cpu) / float64(max(1, w.Capacity.CPU))
	for i := range w.Serving {
		t := &w.Serving[i]
		press := s.Interference.Pressure(t.Image, image) * share
		worst = math.Max(worst, press)
		over = over || press > 0 && t.Load+t.Pressed+press > s.Interference.Limit(t.Image, t.TargetMs)
	}
	return worst, over
}
