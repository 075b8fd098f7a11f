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
	DeclaredRunTime time.Duration    // declared run time
	MeasuredRunTime time.Duration    // run time at full speed; zero: unknown, for example after a failure
}

// Parameters of the correction. Lowering a size takes more observations than raising it, because a size that is too small
// overcommits the host. Memory has a larger margin than cores, because excess memory usage cannot be throttled.
const (
	minObservationsToRaise = 3  // observations before a size or run time is raised
	minObservationsToLower = 12 // observations before a size or run time is lowered
	minJobsToLower         = 2  // distinct jobs that must have been observed before a size or run time is lowered
	coresMarginFactor      = 1.15
	memoryMarginFactor     = 1.3
	runTimeDeviations      = 1.0  // a corrected run time lies this many standard deviations above the mean, in logarithms
	sizeDeviations         = 2.0  // a corrected size lies this many standard deviations above the mean, in logarithms
	minCorrectionFactor    = 0.25 // minimum ratio of a corrected to a declared value
	maxCorrectionFactor    = 8.0  // maximum ratio of a corrected to a declared value
	pastWeightFactor       = 0.95 // a new observation multiplies the weight of the older ones by this factor
	maxKindTeamPairs       = 4096 // combinations of kind and team with observations
)

// logStat holds the exponentially weighted mean and variance of the logarithm of a ratio: measured to declared value.
type logStat struct {
	count          int // number of observations
	mean, variance float64
	peak           float64 // largest ratio, reduced by 1% per observation
}

func (s *logStat) add(ratio float64) {
	logRatio := math.Log(max(ratio, 1e-3))
	s.count++
	gain := max(1/float64(s.count), 1-pastWeightFactor)
	deviation := logRatio - s.mean
	s.mean += gain * deviation
	s.variance = (1 - gain) * (s.variance + gain*deviation*deviation)
	s.peak = max(ratio, s.peak*0.99)
}

// factor returns the ratio whose logarithm is the given number of standard deviations above the mean, multiplied by margin.
func (s *logStat) factor(deviations, margin float64) float64 {
	return math.Exp(s.mean+deviations*math.Sqrt(s.variance)) * margin
}

// usageRatios holds the ratios of measured to declared usage for one kind and team.
type usageRatios struct {
	cores, memory, runTime logStat
	observedJobs           map[string]bool // the first distinct jobs, at most minJobsToLower
}

// UsageCorrector corrects declared sizes and run times by the usage that was observed for the same kind and team. A
// UsageCorrector is safe for concurrent use.
type UsageCorrector struct {
	mu                  sync.Mutex
	ratiosByKindAndTeam map[[2]string]*usageRatios
}

// NewUsageCorrector returns a UsageCorrector without observations.
func NewUsageCorrector() *UsageCorrector {
	return &UsageCorrector{ratiosByKindAndTeam: map[[2]string]*usageRatios{}}
}

// Observe records the usage of an ended task.
func (z *UsageCorrector) Observe(usage TaskUsage) {
	z.mu.Lock()
	defer z.mu.Unlock()
	key := [2]string{usage.Kind, usage.Team}
	ratios := z.ratiosByKindAndTeam[key]
	if ratios == nil {
		if len(z.ratiosByKindAndTeam) >= maxKindTeamPairs {
			return
		}
		ratios = &usageRatios{observedJobs: map[string]bool{}}
		z.ratiosByKindAndTeam[key] = ratios
	}
	if len(ratios.observedJobs) < minJobsToLower {
		ratios.observedJobs[usage.Job] = true
	}
	if usage.Declared.Cores > 0 && usage.Used.Cores > 0 {
		ratios.cores.add(usage.Used.Cores / usage.Declared.Cores)
	}
	if usage.Declared.MemoryMB > 0 && usage.Used.MemoryMB > 0 {
		ratios.memory.add(float64(usage.Used.MemoryMB) / float64(usage.Declared.MemoryMB))
	}
	if usage.DeclaredRunTime > 0 && usage.MeasuredRunTime > 0 {
		ratios.runTime.add(float64(usage.MeasuredRunTime) / float64(usage.DeclaredRunTime))
	}
}

// Correct returns the corrected resource needs and run time. Values without enough observations are returned as declared.
// Accelerators are never corrected.
func (z *UsageCorrector) Correct(kind, team string, need worker.Resources, runTime time.Duration) (worker.Resources, time.Duration) {
	z.mu.Lock()
	defer z.mu.Unlock()
	ratios := z.ratiosByKindAndTeam[[2]string{kind, team}]
	if ratios == nil {
		return need, runTime
	}
	jobCount := len(ratios.observedJobs)
	need.Cores *= ratios.cores.correction(sizeDeviations, coresMarginFactor, jobCount)
	need.MemoryMB = int64(math.Ceil(float64(need.MemoryMB) * ratios.memory.correction(sizeDeviations, memoryMarginFactor, jobCount)))
	runTime = time.Duration(float64(runTime) * ratios.runTime.correction(runTimeDeviations, 1, jobCount))
	return need, runTime
}

// correction returns the factor by which a declared value is multiplied, 1 without enough observations. jobs is the number of
// distinct jobs observed, up to minJobsToLower.
func (s *logStat) correction(deviations, margin float64, jobCount int) float64 {
	if s.count < minObservationsToRaise {
		return 1
	}
	factor := s.factor(deviations, margin)
	if factor < 1 {
		factor = max(factor, s.peak*margin) // the peak bounds how far a value is lowered
		if s.count < minObservationsToLower || jobCount < minJobsToLower {
			return 1
		}
	}
	return min(maxCorrectionFactor, max(minCorrectionFactor, factor))
}
