package scheduler

import (
	"math"
	"sync"
	"time"

	"bamboofork/internal/worker"
)

// Observation is what one ended task used.
type Observation struct {
	Kind, Team, Job string
	Declared        worker.Resources
	Used            worker.Resources // largest measured use; zero: not measured
	DeclaredRun     time.Duration
	Ran             time.Duration // work done, in time at full speed; zero: not known, for example after a failure
}

// Rules of the correction. A size is lowered only on more evidence than it is raised, because a size that is too small
// overcommits the host. Memory has a larger margin, because memory over the size cannot be throttled away.
const (
	raiseAfter    = 3  // observations before a size or time is raised
	lowerAfter    = 12 // observations before it is lowered
	lowerJobs     = 2  // distinct jobs among them
	coresMargin   = 1.15
	memoryMargin  = 1.3
	runQuantile   = 1.0  // deviations above the mean of the logarithm
	sizeQuantile  = 2.0  // deviations above the mean of the logarithm
	lowestFactor  = 0.25 // of the declared size or time
	highestFactor = 8.0
	sizingMemory  = 0.95 // weight of the past in each new observation
	maxSizings    = 4096
)

// logStat is an exponentially forgetting mean and variance of a logarithm.
type logStat struct {
	n          int
	mean, vari float64
	peak       float64 // largest ratio, decaying
}

func (s *logStat) add(ratio float64) {
	x := math.Log(max(ratio, 1e-3))
	s.n++
	gain := max(1/float64(s.n), 1-sizingMemory)
	d := x - s.mean
	s.mean += gain * d
	s.vari = (1 - gain) * (s.vari + gain*d*d)
	s.peak = max(ratio, s.peak*0.99)
}

// factor is the ratio of used to declared that is not exceeded with the given number of deviations.
func (s *logStat) factor(deviations, margin float64) float64 {
	return math.Exp(s.mean+deviations*math.Sqrt(s.vari)) * margin
}

type sizing struct {
	cores, memory, run logStat
	jobs               map[string]bool
}

// Sizing corrects declared sizes and run times by what was observed, per kind and team. It is safe for concurrent use.
type Sizing struct {
	mu    sync.Mutex
	byKey map[[2]string]*sizing
}

// NewSizing returns a table without observations.
func NewSizing() *Sizing { return &Sizing{byKey: map[[2]string]*sizing{}} }

// Observe takes in an ended task.
func (z *Sizing) Observe(o Observation) {
	z.mu.Lock()
	defer z.mu.Unlock()
	key := [2]string{o.Kind, o.Team}
	e := z.byKey[key]
	if e == nil {
		if len(z.byKey) >= maxSizings {
			return
		}
		e = &sizing{jobs: map[string]bool{}}
		z.byKey[key] = e
	}
	if len(e.jobs) < lowerJobs {
		e.jobs[o.Job] = true
	}
	if o.Declared.Cores > 0 && o.Used.Cores > 0 {
		e.cores.add(o.Used.Cores / o.Declared.Cores)
	}
	if o.Declared.MemoryMB > 0 && o.Used.MemoryMB > 0 {
		e.memory.add(float64(o.Used.MemoryMB) / float64(o.Declared.MemoryMB))
	}
	if o.DeclaredRun > 0 && o.Ran > 0 {
		e.run.add(float64(o.Ran) / float64(o.DeclaredRun))
	}
}

// Correct returns the size and run time to plan with. Without enough evidence they are the declared ones. Accelerators
// are never corrected.
func (z *Sizing) Correct(kind, team string, need worker.Resources, run time.Duration) (worker.Resources, time.Duration) {
	z.mu.Lock()
	defer z.mu.Unlock()
	e := z.byKey[[2]string{kind, team}]
	if e == nil {
		return need, run
	}
	jobs := len(e.jobs)
	need.Cores *= e.cores.correction(sizeQuantile, coresMargin, jobs)
	need.MemoryMB = int64(math.Ceil(float64(need.MemoryMB) * e.memory.correction(sizeQuantile, memoryMargin, jobs)))
	run = time.Duration(float64(run) * e.run.correction(runQuantile, 1, jobs))
	return need, run
}

// correction is the factor on a declared value, 1 without enough evidence.
func (s *logStat) correction(deviations, margin float64, jobs int) float64 {
	if s.n < raiseAfter {
		return 1
	}
	f := s.factor(deviations, margin)
	if f < 1 {
		f = max(f, s.peak*margin) // a size is never lowered below the largest recent use
		if s.n < lowerAfter || jobs < lowerJobs {
			return 1
		}
	}
	return min(highestFactor, max(lowestFactor, f))
}
