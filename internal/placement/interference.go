package placement

import (
	"math"
	"slices"
)

// Interference learns how strongly each image of filling tasks presses on each image of serving tasks. It answers filling
// work that disturbs some neighbours and not others: the effect depends on the pair, so one worker's evidence holds for
// the whole fleet.
//
// A serving task is taken for a queue whose tail latency is t0 / (1 - u), with t0 its latency without load and u its
// utilisation. u is the load of its own users, which the tasks of a job share, plus, for each filling task beside it, the
// pair's pressure times the share of the worker's processor that the filling task uses. Latencies are not linear in the
// neighbours' work, utilisations are.
type Interference struct {
	serving map[string]*servingModel // by image
	loads   map[string]*groupLoad    // by group
	strain  float64                  // see SetStrain
}

// servingModel is what is known of one serving image.
type servingModel struct {
	unloaded float64 // lowest latency seen, in ms
	pressure map[string]*coefficient
}

// coefficient is a Gaussian estimate.
type coefficient struct {
	mean, variance float64
	atMs           int64 // steady clock of the newest look
}

const (
	// priorPressure and priorVariance describe an unknown pair: some press with a fraction of their share of the worker,
	// others several times as much.
	priorPressure = 1.5
	priorVariance = 2.0
	// cautionCalm and cautionStrained are how many standard deviations above its mean a pressure is planned, so that a pair
	// that is not known yet starts slowly instead of harming its neighbours.
	cautionCalm     = 0.5
	cautionStrained = 0.4
	// driftVariance is added per second, so that estimates follow effects that change.
	driftVariance = 0.01
	// unloadedShare is the latency without load of a serving image that was not seen idle yet, as a share of its target.
	unloadedShare = 0.2
	// outlierDeviations bounds the effect of one look, in standard deviations of what was expected.
	outlierDeviations = 2.5
	// saturated is the utilisation above which latencies say no more than that it is high.
	saturated = 0.95
	// marginCalm and marginStrained are kept between the planned utilisation and the one at which the target is missed.
	marginCalm     = 0.06
	marginStrained = 0.02
	// maxGroups bounds the loads that are remembered; a deployment has far fewer serving jobs for each owner.
	maxGroups = 5_000
)

// ServingSample is one look at a serving task.
type ServingSample struct {
	Task      string
	Group     string // tasks of a group share their users' load
	Image     string
	LatencyMs float64
	TargetMs  float64
}

// FillingSample is one look at a filling task on the same worker.
type FillingSample struct {
	Task  string
	Image string
	Share float64 // of the worker's processor in use
}

// NewInterference returns an Interference without evidence.
func NewInterference() *Interference {
	return &Interference{serving: map[string]*servingModel{}, loads: map[string]*groupLoad{}}
}

func (f *Interference) model(image string, targetMs float64) *servingModel {
	m := f.serving[image]
	if m == nil {
		m = &servingModel{unloaded: unloadedShare * targetMs, pressure: map[string]*coefficient{}}
		f.serving[image] = m
	}
	return m
}

// at returns the estimate of a pair at a time.
func (m *servingModel) at(filling string, nowMs int64) *coefficient {
	c := m.pressure[filling]
	if c == nil {
		c = &coefficient{mean: priorPressure, variance: priorVariance, atMs: nowMs}
		m.pressure[filling] = c
	}
	if passed := nowMs - c.atMs; passed > 0 {
		c.variance = min(priorVariance, c.variance+driftVariance*float64(passed)/1000)
		c.atMs = nowMs
	}
	return c
}

// Pressure returns the estimate of the utilisation that a whole worker of the filling image adds to the serving image.
func (f *Interference) Pressure(serving, filling string) float64 {
	mean, _ := f.pair(serving, filling)
	return mean
}

func (f *Interference) pair(serving, filling string) (mean, variance float64) {
	if m := f.serving[serving]; m != nil {
		if known := m.pressure[filling]; known != nil {
			return known.mean, known.variance
		}
	}
	return priorPressure, priorVariance
}

// planned returns the pressure that plans count with.
func (f *Interference) planned(serving, filling string) float64 {
	mean, variance := f.pair(serving, filling)
	return mean + f.between(cautionCalm, cautionStrained)*math.Sqrt(variance)
}

// SetStrain tells how much filling work waits, from 0 (none) to 1. It answers bursts of large jobs: while none waits, caution
// costs nothing, and while many wait, a little harm to serving tasks is less than what waiting costs.
func (f *Interference) SetStrain(strain float64) { f.strain = min(1, max(0, strain)) }

func (f *Interference) between(calm, strained float64) float64 {
	return calm + f.strain*(strained-calm)
}

// Load returns the utilisation that the users of a group are expected to cause shortly after the time.
func (f *Interference) Load(group string, nowMs int64) float64 {
	if g := f.loads[group]; g != nil {
		return g.forecast(nowMs + forecastMs)
	}
	return priorLoad
}

// Limit returns the utilisation up to which a serving image may be planned.
func (f *Interference) Limit(image string, targetMs int64) float64 {
	m := f.model(image, float64(targetMs))
	return 1 - m.unloaded/float64(targetMs) - f.between(marginCalm, marginStrained)
}

// Observe takes in one look at the tasks of one worker. The steady clock is in ms.
func (f *Interference) Observe(nowMs int64, serving []ServingSample, filling []FillingSample) {
	if len(f.loads) > maxGroups {
		clear(f.loads)
	}
	shares := map[string]float64{}
	for _, s := range filling {
		shares[s.Image] += s.Share
	}
	seen := map[string]bool{}
	for i := range serving {
		if s := &serving[i]; !seen[s.Group] && s.LatencyMs > 0 && s.TargetMs > 0 {
			seen[s.Group] = true
			f.learn(nowMs, serving[i:], shares)
		}
	}
}

// learn updates the load of the first sample's group and the pressures on its image from all of the group's samples: they
// see the same neighbours at the same time, so they count as one. Their median is taken, because a single task may be slow
// for a few seconds by itself.
func (f *Interference) learn(nowMs int64, samples []ServingSample, shares map[string]float64) {
	first := &samples[0]
	m := f.model(first.Image, first.TargetMs)
	var looks []float64
	for i := range samples {
		if s := &samples[i]; s.Group == first.Group && s.LatencyMs > 0 {
			m.unloaded = max(1, min(m.unloaded, s.LatencyMs))
			looks = append(looks, 1-m.unloaded/s.LatencyMs)
		}
	}
	slices.Sort(looks)
	used := (looks[(len(looks)-1)/2] + looks[len(looks)/2]) / 2
	g := f.loads[first.Group]
	if g == nil {
		g = newGroupLoad(priorLoad, nowMs)
		f.loads[first.Group] = g
	}
	g.advance(nowMs)
	pressed, spread := 0.0, lookNoise+g.pLevel
	for image, x := range shares {
		c := m.at(image, nowMs)
		pressed += c.mean * x
		spread += c.variance * x * x
	}
	residual := used - g.level - pressed
	if used >= saturated && residual < 0 {
		return
	}
	most := outlierDeviations * math.Sqrt(spread)
	residual = min(most, max(-most, residual))
	g.correct(residual, spread)
	for image, x := range shares {
		c := m.at(image, nowMs)
		gain := c.variance * x / spread
		c.mean = max(0, c.mean+gain*residual)
		c.variance -= gain * x * c.variance
	}
}

// Forget drops the load of a group whose tasks have ended.
func (f *Interference) Forget(group string) { delete(f.loads, group) }
