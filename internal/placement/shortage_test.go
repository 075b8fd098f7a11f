package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/delaycost"
	"bamboofork/internal/jobs"
	"bamboofork/internal/placement"
)

// orderPolicy is an order that a shortage is replayed with.
type orderPolicy int

const (
	firstCome   orderPolicy = iota // one priority, and deadlines too far away to matter
	bySlack                        // without a model of the cost of delays
	byDelayCost                    // with it
)

// shortageKind describes the jobs of one queue of a replay.
type shortageKind struct {
	queue        jobs.Queue
	steps, tasks int     // mean numbers per job and step
	cpu          int     // of a task, in thousandths of a core
	workMs       float64 // mean of a task at full speed
	uneven       float64 // standard deviation of the logarithm of the numbers of tasks
	declaredOff  float64 // standard deviation of the logarithm of the declared run time over the true one
	declaredBias float64 // factor on the declared run time
}

func smallKind() shortageKind {
	return shortageKind{queue: jobs.Queue{Name: "small", Service: "pool", Stretch: 1.5, TargetMs: 300}, steps: 2, tasks: 8, cpu: 900,
		workMs: 500, uneven: 0.8, declaredOff: 0.5, declaredBias: 1}
}

func largeKind() shortageKind {
	return shortageKind{queue: jobs.Queue{Name: "large", Service: "pool", Priority: 2, Stretch: 2, TargetMs: 1000}, steps: 2, tasks: 20, cpu: 3500,
		workMs: 1400, uneven: 0.6, declaredOff: 0.9, declaredBias: 1}
}

// meanWork returns the mean work of a job in thousandths of a core x ms.
func (k *shortageKind) meanWork() float64 {
	return float64(k.steps*k.tasks*k.cpu) * k.workMs
}

// shortageJob is a job of a replay as it really is.
type shortageJob struct {
	kind        *shortageKind
	job         *jobs.Job
	workMs      [][]float64 // by step and task
	ranMs       [][]float64 // run times of the ended tasks by step
	objectiveMs float64
	work        float64
	sentMs      int64
	endMs       int64 // 0: not ended
	isHopeless  bool  // by the model at the submission; the replays accept such jobs all the same
}

// tookMs returns the time until the end, or until nowMs for a job that has not ended.
func (j *shortageJob) tookMs(nowMs int64) float64 {
	if j.endMs == 0 {
		return float64(nowMs - j.sentMs)
	}
	return float64(j.endMs - j.sentMs)
}

func (j *shortageJob) inTime() bool { return j.endMs > 0 && j.tookMs(0) <= j.objectiveMs }

func (j *shortageJob) isLate() bool {
	return j.endMs > 0 && !j.inTime() && j.tookMs(0) <= delaycost.UsefulObjectives*j.objectiveMs
}

// shortageReplay plays small urgent and large jobs on a fleet without interference.
type shortageReplay struct {
	rng      *rand.Rand
	nowMs    int64
	policy   orderPolicy
	model    *delaycost.Model
	state    *jobs.State
	workers  int
	jobs     []*shortageJob
	byID     map[string]*shortageJob
	active   []*shortageJob
	shortage *delaycost.Backlog // of the last planning pass
	running  []shortageRun
}

type shortageRun struct {
	id             jobs.TaskID
	run, cpu       int
	startMs, endMs int64
}

const (
	shortageStepMs    = 50
	shortageWorkers   = 20
	shortageWorkerCPU = 32_000
	shortageForMs     = 40_000
)

func (r *shortageReplay) logNormal(spread float64) float64 {
	return math.Exp(spread*r.rng.NormFloat64() - spread*spread/2)
}

// submit sends one job of the kind. The draws do not depend on the policy.
func (r *shortageReplay) submit(k *shortageKind) {
	spec := jobs.Spec{}
	j := &shortageJob{kind: k, sentMs: r.nowMs}
	chainMs := 0.0
	for s := range 1 + r.rng.IntN(2*k.steps-1) {
		count := max(1, min(4*k.tasks, int(math.Round(float64(k.tasks)*r.logNormal(k.uneven)))))
		stepMs := k.workMs * r.logNormal(0.5)
		works := make([]float64, count)
		longestMs := 0.0
		for i := range works {
			works[i] = stepMs * r.logNormal(0.3)
			if r.rng.Float64() < 0.03 {
				works[i] *= 7
			}
			longestMs = max(longestMs, works[i])
			j.work += works[i] * float64(k.cpu)
		}
		chainMs += longestMs
		step := jobs.Step{Count: count, CPU: k.cpu, MemMB: 100, EstimateMs: max(1, int64(stepMs*k.declaredBias*r.logNormal(k.declaredOff)))}
		if s > 0 {
			step.After = []int{s - 1}
		}
		spec.Steps = append(spec.Steps, step)
		j.workMs = append(j.workMs, works)
		j.ranMs = append(j.ranMs, nil)
	}
	j.objectiveMs = k.queue.Stretch*chainMs + float64(k.queue.TargetMs)
	queue := k.queue
	if r.policy == firstCome {
		queue.Priority, queue.Stretch, queue.TargetMs = 0, 1, 1<<40
	}
	id := fmt.Sprintf("%08d", len(r.jobs))
	r.state.Apply(jobs.Change{Submit: &jobs.Job{ID: id, Queue: queue, AcceptedMs: r.nowMs, Spec: spec}})
	j.job = r.state.Jobs[id]
	r.jobs, r.active, r.byID[id] = append(r.jobs, j), append(r.active, j), j
	if r.model != nil {
		delay := placement.DelayOf(r.model, j.job)
		j.isHopeless = delay.IsHopeless(r.shortage.WaitMs(queue.Priority, &delay))
		r.model.Sizes.Submitted(queue.Name, placement.ExpectedWork(r.model, &queue, &spec))
	}
}

// advance ends the runs that are due and places waiting tasks.
func (r *shortageReplay) advance() {
	r.nowMs += shortageStepMs
	kept := r.running[:0]
	snapshot := &placement.Snapshot{BootTimeMs: r.nowMs, WallMs: r.nowMs, DelayCost: r.model}
	byName := map[string]*placement.Worker{}
	for i := range r.workers {
		w := newWorker(fmt.Sprintf("w%02d", i), shortageWorkerCPU)
		snapshot.Workers, byName[w.Name] = append(snapshot.Workers, w), w
	}
	for _, run := range r.running {
		j := r.byID[run.id.Job]
		if run.endMs > r.nowMs {
			if w := byName[j.job.Task(run.id).Worker]; w != nil {
				w.Free.CPU -= run.cpu
			}
			kept = append(kept, run)
			continue
		}
		if r.model != nil {
			step := &j.job.Spec.Steps[run.id.Step]
			j.ranMs[run.id.Step] = append(j.ranMs[run.id.Step], float64(run.endMs-run.startMs))
			if ran := j.ranMs[run.id.Step]; len(ran) == step.Count {
				sum := 0.0
				for _, ms := range ran {
					sum += ms
				}
				r.model.Tails.Observe(placement.KindOf(&j.job.Queue, step), step.Count, sum/float64(step.Count), slices.Max(ran))
			}
			r.model.RunTimes.Observe(placement.KindOf(&j.job.Queue, step), float64(step.EstimateMs), float64(run.endMs-run.startMs))
		}
		r.state.Apply(jobs.Change{JobID: j.job.ID, End: &jobs.End{Step: run.id.Step, Index: run.id.Index, Run: run.run,
			Outcome: jobs.EndDone, AtMs: r.nowMs}})
		if j.job.Ended() {
			j.endMs = r.nowMs
			r.active = slices.DeleteFunc(r.active, func(other *shortageJob) bool { return other == j })
			if r.model != nil {
				work := placement.ExpectedWork(r.model, &j.job.Queue, &j.job.Spec)
				r.model.Sizes.Ended(j.job.Queue.Name, r.model.Sizes.SizeOf(j.job.Queue.Name, work), j.inTime())
			}
		}
	}
	r.running = kept
	for _, j := range r.active {
		switch {
		case j.job.HasPlacedTasks():
			j.job.IdleSinceMs = 0
		case j.job.IdleSinceMs == 0:
			j.job.IdleSinceMs = r.nowMs
		}
		snapshot.Jobs = append(snapshot.Jobs, j.job)
	}
	plan := placement.Plan(snapshot)
	r.shortage = snapshot.Shortage
	for _, a := range plan {
		place := a.Place
		r.state.Apply(jobs.Change{JobID: a.Job.ID, Place: &place})
		workMs := r.byID[a.Job.ID].workMs[place.Step][place.Index]
		r.running = append(r.running, shortageRun{id: jobs.TaskID{Job: a.Job.ID, Step: place.Step, Index: place.Index}, run: place.Run,
			cpu: a.Job.Spec.Steps[place.Step].CPU, startMs: r.nowMs, endMs: r.nowMs + int64(workMs)})
	}
}

// shortageLoad is a load pattern: the demand of each kind as a fraction of what the fleet has, and the workers, over time.
type shortageLoad struct {
	name         string
	small, large shortageKind
	demand       func(nowMs int64) (small, large float64)
	workers      func(nowMs int64) int
	gain         float64 // least worth that the order by the cost of delays must add to that by slack, as a share of all
}

func allWorkers(int64) int { return shortageWorkers }

// between returns a demand with a burst of the kinds by the factors.
func between(fromMs, untilMs int64, small, large float64) func(int64) (float64, float64) {
	return func(nowMs int64) (float64, float64) {
		if nowMs >= fromMs && nowMs < untilMs {
			return 0.08 * small, 0.65 * large
		}
		return 0.08, 0.65
	}
}

func shortageLoads() []shortageLoad {
	declaring := func(kind shortageKind, bias float64) shortageKind {
		kind.declaredBias = bias
		return kind
	}
	small, large := smallKind(), largeKind()
	return []shortageLoad{
		{"calm", small, large, between(0, 0, 1, 1), allWorkers, 0},
		{"large x 2.4", small, large, between(10_000, 18_000, 1, 2.4), allWorkers, 0.02},
		{"small x 6 behind large x 2.2", small, large, func(nowMs int64) (float64, float64) {
			if nowMs >= 16_000 && nowMs < 22_000 {
				return 0.08 * 6, 0.65
			}
			return between(10_000, 16_000, 1, 2.2)(nowMs)
		}, allWorkers, 0.02},
		{"both x 2.2", small, large, between(10_000, 18_000, 4, 2.2), allWorkers, 0.02},
		{"a third of the room gone", small, large, between(0, 0, 1, 1), func(nowMs int64) int {
			if nowMs >= 10_000 && nowMs < 25_000 {
				return shortageWorkers * 2 / 3
			}
			return shortageWorkers
		}, 0},
		{"all callers return after 3 s", small, large, func(nowMs int64) (float64, float64) {
			switch {
			case nowMs >= 10_000 && nowMs < 13_000:
				return 0, 0
			case nowMs >= 13_000 && nowMs < 13_500:
				return 0.08 * 7, 0.65 * 7
			}
			return 0.08, 0.65
		}, allWorkers, 0},
		{"declares a tenth", declaring(small, 0.1), declaring(large, 0.1), between(10_000, 18_000, 1, 2.4), allWorkers, 0.02},
		{"declares ten times", declaring(small, 10), declaring(large, 10), between(10_000, 18_000, 1, 2.4), allWorkers, 0.02},
		{"large x 1.6 throughout", small, large, between(0, 60_000, 1, 1.6), allWorkers, 0.04},
	}
}

// playShortage plays a load with an order and returns all jobs.
func playShortage(load shortageLoad, policy orderPolicy, seed uint64) *shortageReplay {
	r := &shortageReplay{rng: rand.New(rand.NewPCG(seed, 1)), policy: policy, state: jobs.NewState(), byID: map[string]*shortageJob{}}
	if policy == byDelayCost {
		r.model = delaycost.NewModel()
	}
	kinds := []*shortageKind{&load.small, &load.large}
	for r.nowMs < 150_000 && (r.nowMs < shortageForMs || len(r.active) > 0) {
		r.workers = load.workers(r.nowMs)
		if r.nowMs < shortageForMs {
			small, large := load.demand(r.nowMs)
			for i, demand := range []float64{small, large} {
				mean := demand * shortageWorkers * shortageWorkerCPU * shortageStepMs / kinds[i].meanWork()
				for n := r.poisson(mean); n > 0; n-- {
					r.submit(kinds[i])
				}
			}
		}
		r.advance()
	}
	return r
}

func (r *shortageReplay) poisson(mean float64) int {
	n, product := 0, r.rng.Float64()
	for bound := math.Exp(-mean); product > bound; n++ {
		product *= r.rng.Float64()
	}
	return n
}

// shortageFigures are the figures of one kind, or of one size of it.
type shortageFigures struct {
	jobs, inTime, late int
	worth, owed        float64
	tookMs             []float64
}

func (f *shortageFigures) add(j *shortageJob, meanWork float64, nowMs int64) {
	worth := delaycost.Worth(j.work, meanWork)
	f.jobs++
	f.owed += worth
	switch {
	case j.inTime():
		f.inTime++
		f.worth += worth
	case j.isLate():
		f.late++
		f.worth += 0.15 * worth
	}
	f.tookMs = append(f.tookMs, j.tookMs(nowMs))
}

func (f *shortageFigures) String() string {
	slices.Sort(f.tookMs)
	at := func(q float64) float64 { return f.tookMs[int(q*float64(len(f.tookMs)-1))] / 1000 }
	if f.jobs == 0 {
		return "none"
	}
	return fmt.Sprintf("%4d jobs, in time %.3f, late %.3f, worth %.3f, p50 %.1f s, p99 %.1f s, longest %.1f s", f.jobs,
		f.share(), float64(f.late)/float64(f.jobs), f.worth/f.owed, at(0.5), at(0.99), at(1))
}

func (f *shortageFigures) share() float64 { return float64(f.inTime) / float64(max(1, f.jobs)) }

// shortageResult has the figures of a replay over several seeds.
type shortageResult struct {
	small, large shortageFigures
	bySize       [3]shortageFigures // of the large jobs: the usual ones, the fifth below the largest tenth, the largest tenth
}

func playShortages(load shortageLoad, policy orderPolicy, seeds int) *shortageResult {
	result := &shortageResult{}
	for seed := range uint64(seeds) {
		r := playShortage(load, policy, seed+1)
		var works []float64
		sums, counts := map[string]float64{}, map[string]float64{}
		for _, j := range r.jobs {
			sums[j.kind.queue.Name] += j.work
			counts[j.kind.queue.Name]++
			if j.kind.queue.Name == "large" {
				works = append(works, j.work)
			}
		}
		slices.Sort(works)
		for _, j := range r.jobs {
			meanWork := sums[j.kind.queue.Name] / counts[j.kind.queue.Name]
			if j.kind.queue.Name == "small" {
				result.small.add(j, meanWork, r.nowMs)
				continue
			}
			result.large.add(j, meanWork, r.nowMs)
			size := 0
			if j.work >= works[len(works)*9/10] {
				size = 2
			} else if j.work >= works[len(works)*7/10] {
				size = 1
			}
			result.bySize[size].add(j, meanWork, r.nowMs)
		}
	}
	return result
}

// worth returns the share of the worth of all jobs that was reached. A large job is worth twenty times a small one, about what the
// deployments state.
func (r *shortageResult) worth() float64 {
	return (r.small.worth + 20*r.large.worth) / (r.small.owed + 20*r.large.owed)
}

// Load patterns: see shortageLoads. Guards against an order that serves fewer callers in time than the room allows because it does not
// know the work that jobs need, or takes declared run times as they are: the order by slack and first come first served both fail the
// bounds. Also guards against serving many small jobs at the expense of the largest: the largest tenth and the fifth below it are served
// at least half as often as their kind, and wait at most half as long again as if all came in turn.
func TestOrderInShortage(t *testing.T) {
	const seeds = 2
	for _, load := range shortageLoads() {
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			byPolicy := map[orderPolicy]*shortageResult{}
			for policy, name := range []string{"first come", "by slack", "by delay cost"} {
				r := playShortages(load, orderPolicy(policy), seeds)
				byPolicy[orderPolicy(policy)] = r
				t.Logf("%s: worth %.3f\nsmall   %s\nlarge   %s\nusual   %s\nfifth   %s\nlargest %s", name, r.worth(),
					r.small.String(), r.large.String(), r.bySize[0].String(), r.bySize[1].String(), r.bySize[2].String())
			}
			r, slack, turn := byPolicy[byDelayCost], byPolicy[bySlack], byPolicy[firstCome]
			qt.Check(t, r.worth() >= slack.worth()+load.gain, qt.IsTrue, qt.Commentf("worth %.3f, by slack %.3f", r.worth(), slack.worth()))
			qt.Check(t, r.worth() >= turn.worth(), qt.IsTrue, qt.Commentf("worth %.3f, in turn %.3f", r.worth(), turn.worth()))
			qt.Check(t, r.small.share() >= slack.small.share()-0.01, qt.IsTrue)
			for i := range r.bySize {
				qt.Check(t, r.bySize[i].share() >= r.large.share()/2, qt.IsTrue, qt.Commentf("size %d: %.3f of %.3f", i, r.bySize[i].share(), r.large.share()))
			}
			longest, longestInTurn := slices.Max(r.bySize[2].tookMs), slices.Max(turn.bySize[2].tookMs)
			qt.Check(t, longest <= 1.6*longestInTurn, qt.IsTrue, qt.Commentf("the largest took up to %.0f ms, in turn %.0f", longest, longestInTurn))
		})
	}
}

// Guards against refusals of jobs that would have been of use: nearly none of the jobs that the model calls hopeless when they are
// submitted ends within three times its objective although all are accepted. With most of the workers there, none is called so: what is submitted now may be
// worth more than what waits.
func TestHopelessJobsAreOfNoUse(t *testing.T) {
	small, large := smallKind(), largeKind()
	for _, c := range []struct {
		load   shortageLoad
		expect bool // some jobs are hopeless
	}{
		{shortageLoad{"large x 2.4 for 8 s", small, large, between(10_000, 18_000, 1, 2.4), allWorkers, 0}, false},
		{shortageLoad{"large x 4 throughout", small, large, between(0, 60_000, 1, 4), allWorkers, 0}, false},
		{shortageLoad{"nearly all the room gone", small, large, between(0, 0, 1, 1), func(nowMs int64) int {
			if nowMs >= 8_000 {
				return 1
			}
			return shortageWorkers
		}, 0}, true},
	} {
		hopeless, useful, count := 0, 0, 0
		for seed := range uint64(2) {
			r := playShortage(c.load, byDelayCost, seed+1)
			for _, j := range r.jobs {
				count++
				if j.isHopeless {
					hopeless++
					if j.inTime() || j.isLate() {
						useful++
					}
				}
			}
		}
		t.Logf("%s: %d of %d jobs hopeless, %d of these were of use", c.load.name, hopeless, count, useful)
		qt.Check(t, hopeless > 0, qt.Equals, c.expect, qt.Commentf("%s", c.load.name))
		qt.Check(t, float64(useful) <= 0.03*float64(hopeless), qt.IsTrue, qt.Commentf("%s: %d of %d", c.load.name, useful, hopeless))
	}
}
