package scheduler

import (
	"math"
	"sync"
	"time"

	"bamboofork/internal/worker"
)

// TaskUsage is the declared and measured resource usage and run time of one ended task.
type TaskUsage struct {
	Kind, Team, Job string
	Declared        worker.Resources
	Used            worker.Resources // peak measured usage; zero: not measured
	DeclaredRun     time.Duration
	MeasuredRun     time.Duration // run time at full speed; zero: unknown, for example after a failure
}

// Parameters of the correction. Lowering a size takes more evidence than raising it, because a size that is too small
// overcommits the host. Memory has a larger margin, because excess memory usage cannot be throttled.
const (
	raiseAfter     = 3  // observations before a size or run time is raised
	lowerAfter     = 12 // observations before it is lowered
	lowerMinJobs   = 2  // distinct jobs among these observations
	coresMargin    = 1.15
	memoryMargin   = 1.3
	runDeviations  = 1.0  // standard deviations above the mean of the logarithm
	sizeDeviations = 2.0  // standard deviations above the mean of the logarithm
	minFactor      = 0.25 // of the declared size or run time
	maxFactor      = 8.0
	pastWeight     = 0.95 // factor applied to the weight of older observations per new observation
	maxSizingKeys  = 4096 // pairs of kind and team
)

// logStat is the exponentially weighted mean and variance of the logarithm of a ratio.
type logStat struct {
	count          int
	mean, variance float64
	peak           float64 // largest ratio, decayed by 1% per observation
}

func (s *logStat) add(ratio float64) {
	x := math.Log(max(ratio, 1e-3))
	s.count++
	gain := max(1/float64(s.count), 1-pastWeight)
	delta := x - s.mean
	s.mean += gain * delta
	s.variance = (1 - gain) * (s.variance + gain*delta*delta)
	s.peak = max(ratio, s.peak*0.99)
}

// factor returns the ratio that is the given number of standard deviations above the mean, times margin.
func (s *logStat) factor(deviations, margin float64) float64 {
	return math.Exp(s.mean+deviations*math.Sqrt(s.variance)) * margin
}

type usageRatios struct {
	cores, memory, run logStat
	jobs               map[string]bool
}

// UsageCorrector corrects declared sizes and run times by observed usage, per kind and team. It is safe for concurrent use.
type UsageCorrector struct {
	mu    sync.Mutex
	byKey map[[2]string]*usageRatios
}

// NewUsageCorrector returns a UsageCorrector without observations.
func NewUsageCorrector() *UsageCorrector { return &UsageCorrector{byKey: map[[2]string]*usageRatios{}} }

// Observe records the usage of an ended task.
func (z *UsageCorrector) Observe(o TaskUsage) {
	z.mu.Lock()
	defer z.mu.Unlock()
	key := [2]string{o.Kind, o.Team}
	ratios := z.byKey[key]
	if ratios == nil {
		if len(z.byKey) >= maxSizingKeys {
			return
		}
		ratios = &usageRatios{jobs: map[string]bool{}}
		z.byKey[key] = ratios
	}
	if len(ratios.jobs) < lowerMinJobs {
		ratios.jobs[o.Job] = true
	}
	if o.Declared.Cores > 0 && o.Used.Cores > 0 {
		ratios.cores.add(o.Used.Cores / o.Declared.Cores)
	}
	if o.Declared.MemoryMB > 0 && o.Used.MemoryMB > 0 {
		ratios.memory.add(float64(o.Used.MemoryMB) / float64(o.Declared.MemoryMB))
	}
	if o.DeclaredRun > 0 && o.MeasuredRun > 0 {
		ratios.run.add(float64(o.MeasuredRun) / float64(o.DeclaredRun))
	}
}

// Correct returns the corrected size and run time, or the declared ones without enough observations. Accelerators are
// never corrected.
func (z *UsageCorrector) Correct(kind, team string, need worker.Resources, run time.Duration) (worker.Resources, time.Duration) {
	z.mu.Lock()
	defer z.mu.Unlock()
	ratios := z.byKey[[2]string{kind, team}]
	if ratios == nil {
		return need, run
	}
	jobs := len(ratios.jobs)
	need.Cores *= ratios.cores.correction(sizeDeviations, coresMargin, jobs)
	need.MemoryMB = int64(math.Ceil(float64(need.MemoryMB) * ratios.memory.correction(sizeDeviations, memoryMargin, jobs)))
	run = time.Duration(float64(run) * ratios.run.correction(runDeviations, 1, jobs))
	return need, run
}

// correction returns the factor for a declared value, 1 without enough observations.
func (s *logStat) correction(deviations, margin float64, jobs int) float64 {
	if s.count < raiseAfter {
		return 1
	}
	f := s.factor(deviations, margin)
	if f < 1 {
		f = max(f, s.peak*margin) // a value is not lowered below its largest recent usage
		if s.count < lowerAfter || jobs < lowerMinJobs {
			return 1
		}
	}
	return min(maxFactor, max(minFactor, f))
}
