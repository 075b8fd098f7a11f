package delaycost

import "math"

const (
	// priorRuns is the number of runs that the assumption that run times are as declared counts for.
	priorRuns = 6
	// priorSpread is the assumed standard deviation of the logarithm of run times about what was declared.
	priorSpread = 0.5
	// maxRuns bounds the number of runs that count, so that newer ones prevail.
	maxRuns = 400
	// maxRatio bounds how far a run time is taken to be off what was declared.
	maxRatio = 30.0
	// maxKinds bounds the number of kinds that are learned.
	maxKinds = 512
)

// RunTimes learns how measured run times relate to declared ones, by kind of task. It fits the logarithm of the measured time to that of
// the declared one: declared times that say little move the expectation to the mean of the kind.
type RunTimes struct{ byKind map[string]*fit }

// fit holds weighted sums about x, the logarithm of the declared time, and y, that of the ratio of measured to declared time.
type fit struct {
	n, x, y, xx, xy, yy float64

	isSolved                               bool // the fields below follow from those above
	meanDeclared, meanRatio, slope, spread float64
}

// NewRunTimes returns a RunTimes that expects what is declared.
func NewRunTimes() *RunTimes { return &RunTimes{byKind: map[string]*fit{}} }

// Observe records the run time of a completed run, in ms at full speed.
func (r *RunTimes) Observe(kind string, declaredMs, measuredMs float64) {
	if declaredMs <= 0 || measuredMs <= 0 {
		return
	}
	kind = kindKey(kind)
	f := r.byKind[kind]
	if f == nil {
		if len(r.byKind) >= maxKinds {
			return
		}
		f = &fit{}
		r.byKind[kind] = f
	}
	if f.n >= maxRuns {
		f.scale((maxRuns - 1) / f.n)
	}
	f.isSolved = false
	x, y := math.Log(declaredMs), math.Log(min(maxRatio, max(1/maxRatio, measuredMs/declaredMs)))
	f.n, f.x, f.y, f.xx, f.xy, f.yy = f.n+1, f.x+x, f.y+y, f.xx+x*x, f.xy+x*y, f.yy+y*y
}

func (f *fit) scale(by float64) {
	f.n, f.x, f.y, f.xx, f.xy, f.yy = f.n*by, f.x*by, f.y*by, f.xx*by, f.xy*by, f.yy*by
}

// Expect returns the expected run time in ms of a task with the declared run time, and the standard deviation of its logarithm.
func (r *RunTimes) Expect(kind string, declaredMs float64) (expectedMs, spread float64) {
	declaredMs = max(1, declaredMs)
	kind = kindKey(kind)
	f := r.byKind[kind]
	if f == nil {
		return declaredMs, priorSpread
	}
	if !f.isSolved {
		f.solve()
	}
	ratio := f.meanRatio + f.slope*(math.Log(declaredMs)-f.meanDeclared)
	return declaredMs * math.Exp(min(maxLogRatio, max(-maxLogRatio, ratio))), f.spread
}

// solve computes the line of the fit. Without runs, run times are as declared with a spread of priorSpread, for priorRuns runs.
func (f *fit) solve() {
	f.isSolved = true
	n := f.n + priorRuns
	f.meanDeclared, f.meanRatio = f.x/f.n, f.y/n
	variance := max(0, f.xx/f.n-f.meanDeclared*f.meanDeclared)
	covariance := f.xy/f.n - f.meanDeclared*f.y/f.n
	f.slope = covariance * f.n / (variance*f.n + priorRuns*priorSpread*priorSpread)
	f.slope = min(0, max(-1, f.slope)) // between what is declared and the mean of the kind
	residual := f.yy/f.n - (f.y/f.n)*(f.y/f.n) - 2*f.slope*covariance + f.slope*f.slope*variance
	f.spread = math.Sqrt((max(0, residual)*f.n + priorRuns*priorSpread*priorSpread) / n)
}

var maxLogRatio = math.Log(maxRatio)

// Tails learns how much longer the longest task of a step takes than the mean of its tasks, by kind and number of tasks. The longest
// decides when the step ends and counts in the objective of its job.
type Tails struct{ byKind map[tailKey]*tail }

type tailKey struct {
	kind   string
	bucket int
}

type tail struct{ n, ratio float64 }

// NewTails returns a Tails that expects the longest task to take as long as the mean.
func NewTails() *Tails { return &Tails{byKind: map[tailKey]*tail{}} }

// bucketOf groups numbers of tasks by powers of two.
func bucketOf(tasks int) int { return int(math.Log2(float64(max(1, tasks)))) }

// Observe records a step that has ended: its number of tasks and their mean and longest run times, in the same unit.
func (t *Tails) Observe(kind string, tasks int, mean, longest float64) {
	if mean <= 0 || longest < mean {
		return
	}
	key := tailKey{kindKey(kind), bucketOf(tasks)}
	known := t.byKind[key]
	if known == nil {
		if len(t.byKind) >= maxKinds {
			return
		}
		known = &tail{}
		t.byKind[key] = known
	}
	if known.n >= maxTailSteps {
		known.n, known.ratio = known.n-1, known.ratio-known.ratio/known.n
	}
	known.n, known.ratio = known.n+1, known.ratio+min(maxRatio, longest/mean)
}

// Expect returns the expected run time of the longest task of a step as a multiple of the mean.
func (t *Tails) Expect(kind string, tasks int) float64 {
	known := t.byKind[tailKey{kindKey(kind), bucketOf(tasks)}]
	if known == nil {
		return 1
	}
	return (known.ratio + priorSteps) / (known.n + priorSteps)
}

const (
	maxTailSteps = 60 // steps of a kind and number of tasks that count
	priorSteps   = 1  // steps that the assumption of equal tasks counts for
)
