package placement

import (
	"math"
	"slices"
)

// Interference learns how much best-effort tasks of each image slow serving tasks of each image. The slowdown depends on the pair of
// images and not on the worker, so measurements of one worker apply to the whole fleet.
//
// A serving task is modelled as a queue whose tail latency is t0 / (1 - u). t0 is the latency of the task without load, and u is the
// utilisation of the task. u is a sum. Its first term is the load from the users of the task, which the tasks of a job share. Each
// best-effort task on the same worker adds the pressure of the pair of images, times the fraction of the worker's CPU that the
// best-effort task uses. The model adds utilisations because, unlike latencies, they are linear in the CPU use of the other tasks.
type Interference struct {
	modelByImage map[string]*servingModel // by serving image
	loadByGroup  map[string]*groupLoad    // by group
	backlog      float64                  // see SetBacklog
	learned      learnedBytes
}

// servingModel is the model of one serving image.
type servingModel struct {
	unloadedMs      float64                 // lowest latency measured; before the first measurement an assumed value
	pressureByImage map[string]*coefficient // by best-effort image
	lastUse         int64                   // see learnedBytes
}

// coefficient is the estimated pressure of a best-effort image on a serving image, as a normal distribution.
type coefficient struct {
	mean, variance float64
	atMs           int64 // boot clock time to which the variance is up to date
	lastUse        int64 // see learnedBytes
}

const (
	// priorPressure and priorPressureVariance are the mean and the variance of the pressure of a pair of images without samples. The
	// utilisation that best-effort tasks add ranges from a fraction of their CPU share to several times that share.
	priorPressure         = 1.5
	priorPressureVariance = 2.0
	// pressureDeviationsNoBacklog and pressureDeviationsFullBacklog are the numbers of standard deviations that plans add to the
	// mean of a pressure. A best-effort task of a pair without samples therefore starts slowly instead of slowing serving tasks.
	pressureDeviationsNoBacklog   = 0.5
	pressureDeviationsFullBacklog = 0.4
	// pressureDriftPerSecond is the increase of the variance of a pressure per second. It lets the estimates follow changes.
	pressureDriftPerSecond = 0.01
	// unloadedFraction is the assumed latency without load of a new serving image, as a fraction of its target.
	unloadedFraction = 0.2
	// outlierDeviations is the maximum residual of one sample, in standard deviations of the prediction. A larger residual is reduced
	// to this maximum.
	outlierDeviations = 2.5
	// saturatedUtilisation is the utilisation above which the latency no longer shows how large the utilisation is.
	saturatedUtilisation = 0.95
	// marginNoBacklog and marginFullBacklog are the difference between the utilisation at which a serving task misses its target and
	// the highest utilisation that plans allow.
	marginNoBacklog   = 0.06
	marginFullBacklog = 0.02
	// maxGroups is the maximum number of groups whose load is kept in memory. Owners have far fewer serving jobs.
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
	return &Interference{modelByImage: map[string]*servingModel{}, loadByGroup: map[string]*groupLoad{},
		learned: learnedBytes{budget: DefaultLearnedBudget}}
}

// model returns the model of a serving image. A new model assumes a latency without load from targetMs.
func (f *Interference) model(image string, targetMs float64) *servingModel {
	imageModel := f.modelByImage[image]
	if imageModel == nil {
		imageModel = &servingModel{unloadedMs: unloadedFraction * targetMs, pressureByImage: map[string]*coefficient{}, lastUse: f.learned.nextUse()}
		f.keepModel(image, imageModel)
	}
	imageModel.lastUse = f.learned.nextUse()
	return imageModel
}

// estimateAt returns the estimated pressure of a best-effort image on a serving image with the model m. The variance includes the drift until
// nowMs. An image without an estimate gets the prior.
func (f *Interference) estimateAt(m *servingModel, serving, bestEffort string, nowMs int64) *coefficient {
	c := m.pressureByImage[bestEffort]
	if c == nil {
		c = &coefficient{mean: priorPressure, variance: priorPressureVariance, atMs: nowMs, lastUse: f.learned.nextUse()}
		f.keepPair(serving, bestEffort, c)
	}
	c.lastUse = f.learned.nextUse()
	m.lastUse = c.lastUse
	if elapsedMs := nowMs - c.atMs; elapsedMs > 0 {
		c.variance = min(priorPressureVariance, c.variance+pressureDriftPerSecond*float64(elapsedMs)/1000)
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

// estimate returns the mean and the variance of the pressure of a best-effort image on a serving image, or the prior without samples.
func (f *Interference) estimate(serving, bestEffort string) (mean, variance float64) {
	if imageModel := f.modelByImage[serving]; imageModel != nil {
		imageModel.lastUse = f.learned.nextUse()
		if known := imageModel.pressureByImage[bestEffort]; known != nil {
			known.lastUse = imageModel.lastUse
			return known.mean, known.variance
		}
	}
	return priorPressure, priorPressureVariance
}

// plannedPressure returns the pressure that plans assume: the estimated mean plus a multiple of its standard deviation.
func (f *Interference) plannedPressure(serving, bestEffort string) float64 {
	mean, variance := f.estimate(serving, bestEffort)
	return mean + f.interpolate(pressureDeviationsNoBacklog, pressureDeviationsFullBacklog)*math.Sqrt(variance)
}

// SetBacklog sets the backlog of best-effort work, from 0 (none) to 1. The larger the backlog, the smaller the safety margins of
// plannedPressure and UtilisationLimit. Without a backlog, the margins delay no best-effort work. With a large backlog,
// waiting costs more than a small slowdown of serving tasks.
func (f *Interference) SetBacklog(backlog float64) { f.backlog = min(1, max(0, backlog)) }

// interpolate returns the value for the current backlog, between the values without a backlog and with the full backlog.
func (f *Interference) interpolate(noBacklog, fullBacklog float64) float64 {
	return noBacklog + f.backlog*(fullBacklog-noBacklog)
}

// ForecastLoad returns the utilisation, 0 to 1, that the users of a group of serving tasks are expected to cause forecastMs after nowMs. It
// returns a prior for a group without samples.
func (f *Interference) ForecastLoad(group string, nowMs int64) float64 {
	if g := f.loadByGroup[group]; g != nil {
		return g.forecast(nowMs + forecastMs)
	}
	return priorLoad
}

// UtilisationLimit returns the highest utilisation that plans allow for a serving task of the image with the latency target.
func (f *Interference) UtilisationLimit(image string, targetMs int64) float64 {
	unloadedMs := unloadedFraction * float64(targetMs)
	if imageModel := f.modelByImage[image]; imageModel != nil {
		imageModel.lastUse = f.learned.nextUse()
		unloadedMs = imageModel.unloadedMs
	}
	return 1 - unloadedMs/float64(targetMs) - f.interpolate(marginNoBacklog, marginFullBacklog)
}

// Observe updates the model with the samples of all tasks of one worker at one time. nowMs is that time on the boot clock.
func (f *Interference) Observe(nowMs int64, serving []ServingSample, bestEffort []BestEffortSample) {
	if len(f.loadByGroup) > maxGroups {
		clear(f.loadByGroup)
	}
	cpuFractions := map[string]float64{}
	for _, s := range bestEffort {
		cpuFractions[s.Image] += s.CPUFraction
	}
	seenGroups := map[string]bool{}
	for i := range serving {
		if s := &serving[i]; !seenGroups[s.Group] && s.LatencyMs > 0 && s.TargetMs > 0 {
			seenGroups[s.Group] = true
			f.learnGroup(nowMs, serving[i:], cpuFractions)
		}
	}
}

// learnGroup updates the load of the group of the first sample, and the pressures on its image, from all samples of the group. The
// samples of a group have the same time and the same co-located tasks, so they count as one measurement. learnGroup uses their median,
// because a single task may be slow for a few seconds on its own. cpuFractions holds the fraction of the worker's CPU that the
// best-effort tasks of each image use.
func (f *Interference) learnGroup(nowMs int64, samples []ServingSample, cpuFractions map[string]float64) {
	first := &samples[0]
	imageModel := f.model(first.Image, first.TargetMs)
	var utilisations []float64
	for i := range samples {
		if s := &samples[i]; s.Group == first.Group && s.LatencyMs > 0 {
			imageModel.unloadedMs = max(1, min(imageModel.unloadedMs, s.LatencyMs))
			utilisations = append(utilisations, 1-imageModel.unloadedMs/s.LatencyMs)
		}
	}
	slices.Sort(utilisations)
	utilisation := (utilisations[(len(utilisations)-1)/2] + utilisations[len(utilisations)/2]) / 2
	g := f.loadByGroup[first.Group]
	if g == nil {
		g = newGroupLoad(priorLoad, nowMs)
		f.loadByGroup[first.Group] = g
	}
	g.advance(nowMs)
	interference, variance := 0.0, sampleVariance+g.levelVariance
	for image, fraction := range cpuFractions {
		c := f.estimateAt(imageModel, first.Image, image, nowMs)
		interference += c.mean * fraction
		variance += c.variance * fraction * fraction
	}
	residual := utilisation - g.level - interference
	if utilisation >= saturatedUtilisation && residual < 0 {
		return
	}
	maxResidual := outlierDeviations * math.Sqrt(variance)
	residual = min(maxResidual, max(-maxResidual, residual))
	g.correct(residual, variance)
	for image, fraction := range cpuFractions {
		c := f.estimateAt(imageModel, first.Image, image, nowMs)
		gain := c.variance * fraction / variance
		c.mean = max(0, c.mean+gain*residual)
		c.variance -= gain * fraction * c.variance
	}
}

// Forget removes the load of a group whose tasks have all ended.
func (f *Interference) Forget(group string) { delete(f.loadByGroup, group) }

// MeanLoad returns the mean load of the groups of serving tasks, and their number.
func (f *Interference) MeanLoad() (load float64, groups int) {
	for _, g := range f.loadByGroup {
		load += g.level
	}
	return load / float64(max(1, len(f.loadByGroup))), len(f.loadByGroup)
}
