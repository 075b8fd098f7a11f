package placement

import (
	"math"
	"slices"
)

// Interference learns how much each image of best-effort tasks slows each image of serving tasks. The effect depends on
// the pair of images and not on the worker, so measurements of one worker apply to the whole fleet.
//
// A serving task is modelled as a queue whose tail latency is t0 / (1 - u), with t0 its latency without load and u its
// utilisation. u is the load from its own users, which the tasks of a job share, plus, for each best-effort task on the same
// worker, the pair's pressure times the fraction of the worker's CPU that the best-effort task uses. The model adds
// utilisations because, unlike latencies, they are linear in the CPU use of the other tasks.
type Interference struct {
	serving map[string]*servingModel // by image
	loads   map[string]*groupLoad    // by group
	backlog float64                  // see SetBacklog
}

// servingModel is the model of one serving image.
type servingModel struct {
	unloadedMs float64 // lowest latency measured, in ms
	pressure   map[string]*coefficient
}

// coefficient is a Gaussian estimate of a pair's pressure.
type coefficient struct {
	mean, variance float64
	atMs           int64 // boot clock of the newest sample
}

const (
	// priorPressure and priorVariance describe an unknown pair: the utilisation that best-effort tasks add ranges from a
	// fraction of their CPU share to several times as much.
	priorPressure = 1.5
	priorVariance = 2.0
	// cautionNoBacklog and cautionFullBacklog are the standard deviations that plans add to the mean of a pressure, so that
	// a task of an unknown pair starts slowly instead of slowing the serving tasks.
	cautionNoBacklog   = 0.5
	cautionFullBacklog = 0.4
	// driftVariance is added to a variance per second, so that estimates follow changes.
	driftVariance = 0.01
	// unloadedFraction is the assumed latency without load of a new serving image, as a fraction of its target.
	unloadedFraction = 0.2
	// outlierDeviations bounds the residual of one sample, in standard deviations of the prediction.
	outlierDeviations = 2.5
	// saturated is the utilisation above which it can no longer be derived from the latency.
	saturated = 0.95
	// marginNoBacklog and marginFullBacklog are the distance from the planned utilisation to the one that misses the target.
	marginNoBacklog   = 0.06
	marginFullBacklog = 0.02
	// maxGroups bounds the number of loads in memory; owners have far fewer serving jobs.
	maxGroups = 5_000
)

// ServingSample is one measurement of a serving task.
type ServingSample struct {
	Task      string
	Group     string // the tasks of a group share the load from their users
	Image     string
	LatencyMs float64
	TargetMs  float64
}

// BestEffortSample is one measurement of a best-effort task on the same worker.
type BestEffortSample struct {
	Task        string
	Image       string
	CPUFraction float64 // fraction of the worker's CPU in use
}

// NewInterference returns an Interference without measurements.
func NewInterference() *Interference {
	return &Interference{serving: map[string]*servingModel{}, loads: map[string]*groupLoad{}}
}

func (f *Interference) model(image string, targetMs float64) *servingModel {
	m := f.serving[image]
	if m == nil {
		m = &servingModel{unloadedMs: unloadedFraction * targetMs, pressure: map[string]*coefficient{}}
		f.serving[image] = m
	}
	return m
}

// estimateAt returns the estimate of a pair, with its variance increased by the drift until the given time.
func (m *servingModel) estimateAt(bestEffort string, nowMs int64) *coefficient {
	c := m.pressure[bestEffort]
	if c == nil {
		c = &coefficient{mean: priorPressure, variance: priorVariance, atMs: nowMs}
		m.pressure[bestEffort] = c
	}
	if elapsedMs := nowMs - c.atMs; elapsedMs > 0 {
		c.variance = min(priorVariance, c.variance+driftVariance*float64(elapsedMs)/1000)
		c.atMs = nowMs
	}
	return c
}

// Pressure returns the estimated utilisation that a best-effort image adds to a serving image when it uses the worker's
// whole CPU.
func (f *Interference) Pressure(serving, bestEffort string) float64 {
	mean, _ := f.estimate(serving, bestEffort)
	return mean
}

func (f *Interference) estimate(serving, bestEffort string) (mean, variance float64) {
	if m := f.serving[serving]; m != nil {
		if known := m.pressure[bestEffort]; known != nil {
			return known.mean, known.variance
		}
	}
	return priorPressure, priorVariance
}

// plannedPressure returns the pressure that plans assume: the mean and a margin for its uncertainty.
func (f *Interference) plannedPressure(serving, bestEffort string) float64 {
	mean, variance := f.estimate(serving, bestEffort)
	return mean + f.interpolate(cautionNoBacklog, cautionFullBacklog)*math.Sqrt(variance)
}

// SetBacklog sets the backlog of best-effort work, from 0 (none) to 1. Without a backlog, caution costs nothing; with a large
// one, waiting costs more than a small slowdown of serving tasks.
func (f *Interference) SetBacklog(backlog float64) { f.backlog = min(1, max(0, backlog)) }

func (f *Interference) interpolate(noBacklog, fullBacklog float64) float64 {
	return noBacklog + f.backlog*(fullBacklog-noBacklog)
}

// Load returns the utilisation that the users of a group are expected to cause forecastMs after the given time.
func (f *Interference) Load(group string, nowMs int64) float64 {
	if g := f.loads[group]; g != nil {
		return g.forecast(nowMs + forecastMs)
	}
	return priorLoad
}

// Limit returns the highest utilisation that plans allow for a serving image.
func (f *Interference) Limit(image string, targetMs int64) float64 {
	m := f.model(image, float64(targetMs))
	return 1 - m.unloadedMs/float64(targetMs) - f.interpolate(marginNoBacklog, marginFullBacklog)
}

// Observe updates the model with one sample of the tasks of one worker. nowMs is read from the boot clock.
func (f *Interference) Observe(nowMs int64, serving []ServingSample, bestEffort []BestEffortSample) {
	if len(f.loads) > maxGroups {
		clear(f.loads)
	}
	cpuFractions := map[string]float64{}
	for _, s := range bestEffort {
		cpuFractions[s.Image] += s.CPUFraction
	}
	seen := map[string]bool{}
	for i := range serving {
		if s := &serving[i]; !seen[s.Group] && s.LatencyMs > 0 && s.TargetMs > 0 {
			seen[s.Group] = true
			f.learn(nowMs, serving[i:], cpuFractions)
		}
	}
}

// learn updates the load of the first sample's group and the pressures on its image from all of the group's samples. These
// have the same time and the same co-located tasks, so they count as one measurement. The median is used because a single
// task may be slow for a few seconds on its own. cpuFractions holds the CPU use of the best-effort tasks by image.
func (f *Interference) learn(nowMs int64, samples []ServingSample, cpuFractions map[string]float64) {
	first := &samples[0]
	m := f.model(first.Image, first.TargetMs)
	var utilisations []float64
	for i := range samples {
		if s := &samples[i]; s.Group == first.Group && s.LatencyMs > 0 {
			m.unloadedMs = max(1, min(m.unloadedMs, s.LatencyMs))
			utilisations = append(utilisations, 1-m.unloadedMs/s.LatencyMs)
		}
	}
	slices.Sort(utilisations)
	utilisation := (utilisations[(len(utilisations)-1)/2] + utilisations[len(utilisations)/2]) / 2
	g := f.loads[first.Group]
	if g == nil {
		g = newGroupLoad(priorLoad, nowMs)
		f.loads[first.Group] = g
	}
	g.advance(nowMs)
	interference, variance := 0.0, sampleNoise+g.levelVar
	for image, fraction := range cpuFractions {
		c := m.estimateAt(image, nowMs)
		interference += c.mean * fraction
		variance += c.variance * fraction * fraction
	}
	residual := utilisation - g.level - interference
	if utilisation >= saturated && residual < 0 {
		return
	}
	bound := outlierDeviations * math.Sqrt(variance)
	residual = min(bound, max(-bound, residual))
	g.correct(residual, variance)
	for image, fraction := range cpuFractions {
		c := m.estimateAt(image, nowMs)
		gain := c.variance * fraction / variance
		c.mean = max(0, c.mean+gain*residual)
		c.variance -= gain * fraction * c.variance
	}
}

// Forget removes the load of a group whose tasks have ended.
func (f *Interference) Forget(group string) { delete(f.loads, group) }
