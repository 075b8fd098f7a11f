package scheduler

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/colocation"
	"bamboofork/internal/worker"
)

// policy selects how a simulation places and controls batch work.
type policy struct {
	name               string
	batch              bool
	split              bool // batch work and latency-critical work never share a host
	mixed              bool // kinds arrive in equal numbers; otherwise each kind always has pending tasks
	learned, predicted bool // the controller learns interference; placement uses what was learned
}

// batchKind is a kind of batch work with the true slowdown of latency-critical work per core: at zero load, and added per unit of load.
type batchKind struct {
	name                       string
	baseSlowdown, loadSlowdown float64
}

var kinds = []batchKind{{"index", 0.0002, 0.0002}, {"plan", 0.0008, 0.001}, {"render", 0.008, 0.01}}

// simHost is a simulated host with batch tasks and latency-critical requests whose service time grows with the batch work.
type simHost struct {
	info         NodeInfo
	tasks        map[string]*simTask
	recorder     *colocation.Recorder
	aligner      colocation.Aligner
	model        *colocation.Model
	control      *colocation.Controller
	coresHistory []map[string]float64 // cores by kind at each step, for the measurement lag
	batch        bool
	quick        bool
}

type simTask struct {
	info           *TaskInfo
	speed          float64 // fraction of full speed
	done           time.Duration
	started        time.Time
	throttledSince time.Time
}

func (t *simTask) setSpeed(speed float64, now time.Time) {
	if t.speed >= 1 {
		t.throttledSince = now
	}
	t.speed = speed
}

func (t *simTask) throttledFor(now time.Time) time.Duration {
	if t.speed >= 1 {
		return 0
	}
	return now.Sub(t.throttledSince)
}

// simulation is one run of a policy in virtual time.
type simulation struct {
	policy             policy
	clock              clock
	rng                *rand.Rand
	hosts              []*simHost
	byID               map[string]*simHost
	scheduler          *Scheduler
	merged             *colocation.MergedModel
	units              map[string]*Unit
	checkpointProgress map[string]time.Duration // checkpointed progress by task
	submitted          int
	target             time.Duration
	latencies          []float64
	coreSecondsDone    float64
	coreSecondsRedone  float64
	coreSecondsHeld    float64 // of admitted tasks, whether throttled or not
	byKind             map[string]float64
	evictions          int
}

const (
	simStep        = 500 * time.Millisecond
	usageLagSteps  = 4  // lag of the usage measurements in steps
	backlogPerKind = 30 // pending tasks of each kind
	simTaskRun     = 10 * time.Minute
)

// simHostCount is the size of the fleet: half in the short run, which CI uses.
func simHostCount() int {
	if *measureColocation > 0 {
		return 12
	}
	return 6
}

func newSimulation(p policy, target time.Duration) *simulation {
	r := &simulation{policy: p, clock: clock{epoch}, rng: rand.New(rand.NewPCG(11, 11)), byID: map[string]*simHost{},
		units: map[string]*Unit{}, checkpointProgress: map[string]time.Duration{}, target: target,
		merged: colocation.Merge(), byKind: map[string]float64{}}
	r.scheduler = New(Options{Seed: 11, Now: r.clock.Now, InterferenceModel: func(string) InterferenceModel {
		if !p.predicted {
			return nil
		}
		return r.merged
	}})
	for i, info := range fleetOf(simHostCount(), worker.Resources{Cores: 56, MemoryMB: 230_000}) {
		h := &simHost{info: info, tasks: map[string]*simTask{}, recorder: colocation.NewRecorder(), model: colocation.NewModel(),
			quick: true, batch: p.batch}
		if p.split {
			h.quick, h.batch = i%2 == 0, i%2 == 1
			h.info.Capacity.Cores = 64
		}
		if !h.quick {
			h.info.QuickKind = ""
		}
		h.control = colocation.NewController(colocation.Config{}, h.model)
		r.hosts, r.byID[info.ID] = append(r.hosts, h), h
	}
	return r
}

// load is the fraction of the slots in use: a sine wave with a period of one hour, at three phases across the hosts.
func (r *simulation) load(i int) float64 {
	if !r.hosts[i].quick {
		return 0
	}
	at := r.clock.now.Sub(epoch).Hours() + float64(i/2%3)/3
	load := 0.25 + 0.15*math.Sin(2*math.Pi*at)
	if r.policy.split {
		return 2 * load
	}
	return load
}

func (h *simHost) cores() map[string]float64 {
	out := map[string]float64{}
	for _, t := range h.tasks {
		out[t.info.Kind] += t.info.Need.Cores * t.speed
	}
	return out
}

func (r *simulation) serve(i int, record bool) {
	h, load := r.hosts[i], r.load(i)
	h.info.QuickLoad = load
	cores := h.cores()
	h.coresHistory = append(h.coresHistory, cores)
	factor := 1 + 0.5*load
	slow := 1.0
	for _, k := range kinds {
		slow += cores[k.name] * (k.baseSlowdown + k.loadSlowdown*load)
	}
	for range int(load * 8 * simStep.Seconds() / 0.02) {
		s := 0.02 * factor * slow * math.Exp(0.15*r.rng.NormFloat64())
		h.recorder.Add("foot-scan", time.Duration(s*float64(time.Second)), r.clock.now.Add(-simStep/2), load)
		if record {
			r.latencies = append(r.latencies, s)
		}
	}
}

func (r *simulation) control(h *simHost) {
	windows := h.recorder.Close(r.clock.now)
	sample := colocation.Sample{}
	for _, w := range windows {
		w.From = r.clock.now.Add(-simStep)
		h.aligner.AddWindow(w)
		sample = colocation.Sample{Window: w, Target: r.target}
	}
	if n := len(h.coresHistory); n > usageLagSteps && r.policy.learned {
		for _, o := range h.aligner.Match(r.clock.now.Add(-usageLagSteps*simStep-simStep/2), h.coresHistory[n-1-usageLagSteps]) {
			h.model.Observe(o)
		}
	}
	if r.target == 0 || sample.Count == 0 {
		return
	}
	if ratio, ok := h.control.LatencyRatio(r.target); ok {
		h.info.QuickRatio = ratio
	}
	list := []colocation.Task{}
	for _, t := range h.tasks {
		list = append(list, colocation.Task{
			Ref: t.info.Ref, Kind: t.info.Kind, Cores: t.info.Need.Cores, Speed: t.speed, ThrottledFor: t.throttledFor(r.clock.now),
			Elapsed: r.clock.now.Sub(t.started), ExpectedRunTime: t.info.ExpectedRunTime})
	}
	slices.SortFunc(list, func(a, b colocation.Task) int { return cmpString(a.Ref.Task, b.Ref.Task) })
	for _, a := range h.control.Step(r.clock.now, sample, list) {
		if a.Kind == colocation.ActionEvict {
			r.evict(h, a.Ref.Task)
			continue
		}
		h.tasks[a.Ref.Task].setSpeed(a.Speed, r.clock.now)
	}
}

func cmpString(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

// evict checkpoints a task. One checkpoint in 20 fails and all work is redone; the others lose up to 5 s of work.
func (r *simulation) evict(h *simHost, name string) {
	t := h.tasks[name]
	delete(h.tasks, name)
	h.info.Free = h.info.Free.Add(t.info.Need)
	r.evictions++
	lost := min(t.done, 5*time.Second)
	if r.rng.IntN(20) == 0 {
		lost = t.done
	}
	r.coreSecondsRedone += lost.Seconds() * t.info.Need.Cores
	r.checkpointProgress[name] = t.done - lost
	r.scheduler.TaskEnded(t.info.Ref)
	resumed := *t.info
	resumed.Ref.Attempt++
	r.units[name] = unit(&resumed)
}

func (r *simulation) progress(h *simHost, names []string) {
	for _, name := range names {
		t := h.tasks[name]
		t.done += time.Duration(t.speed * float64(simStep))
		r.coreSecondsHeld += simStep.Seconds() * t.info.Need.Cores
		r.coreSecondsDone += t.speed * simStep.Seconds() * t.info.Need.Cores
		r.byKind[t.info.Kind] += t.speed * simStep.Seconds() * t.info.Need.Cores
		if t.done >= t.info.ExpectedRunTime {
			delete(h.tasks, name)
			h.info.Free = h.info.Free.Add(t.info.Need)
			r.scheduler.TaskEnded(t.info.Ref)
		}
	}
}

func (r *simulation) place() {
	pendingByKind := map[string]int{}
	for _, u := range r.units {
		pendingByKind[u.Lead().Kind]++
	}
	for _, k := range kinds {
		for !r.policy.mixed && pendingByKind[k.name] < backlogPerKind {
			r.submit(k)
			pendingByKind[k.name]++
		}
	}
	for r.policy.mixed && len(r.units) < len(kinds)*backlogPerKind {
		r.submit(kinds[r.submitted%len(kinds)])
	}
	r.offer()
}

func (r *simulation) submit(k batchKind) {
	t := task(fmt.Sprintf("t%04x-%06d", r.rng.IntN(1<<16), r.submitted), 8, 50)
	t.Kind, t.ExpectedRunTime, t.Submitted = k.name, simTaskRun, r.clock.now
	r.units[t.Ref.Task] = unit(t)
	r.submitted++
}

// offer runs a scheduler cycle on the reports of this step; hosts admit every placement.
func (r *simulation) offer() {
	reports, pairs := []NodeInfo{}, [][]colocation.Pair{}
	for _, h := range r.hosts {
		if !h.batch {
			continue
		}
		h.info.Clock = r.clock.now.Sub(epoch)
		h.info.BatchCores = h.cores()
		reports = append(reports, h.info)
		pairs = append(pairs, h.model.Pairs())
	}
	r.merged = colocation.Merge(pairs...)
	r.scheduler.Update(reports)
	r.scheduler.SyncPending(r.units)
	for _, o := range r.scheduler.Cycle(32) {
		if !o.Placed {
			continue
		}
		t := o.Unit.Lead()
		h := r.byID[o.Decisions[0].Node.ID]
		h.info.Free = h.info.Free.Sub(t.Need)
		h.tasks[t.Ref.Task] = &simTask{info: t, speed: 1, started: r.clock.now, done: r.checkpointProgress[t.Ref.Task]}
		r.scheduler.TaskAdmitted(t.Ref, r.clock.now.Sub(epoch))
		delete(r.units, t.Ref.Task)
	}
}

// run simulates the policy for the total virtual time; latencies are recorded after the warm-up.
func (r *simulation) run(total, warmUp time.Duration) *simulation {
	for _, h := range r.hosts {
		h.info.Free = h.info.Capacity
	}
	for r.clock.now.Sub(epoch) < total {
		r.clock.now = r.clock.now.Add(simStep)
		if r.policy.batch {
			r.place()
		}
		for i, h := range r.hosts {
			r.serve(i, r.clock.now.Sub(epoch) > warmUp)
			r.control(h)
			names := []string{}
			for name := range h.tasks {
				names = append(names, name)
			}
			slices.Sort(names)
			r.progress(h, names)
		}
	}
	slices.Sort(r.latencies)
	return r
}

func (r *simulation) p99() time.Duration {
	return time.Duration(r.latencies[len(r.latencies)*99/100] * float64(time.Second))
}

var measureColocation = flag.Duration("measure-colocation", 0, "virtual time of the colocation run, for example 4h")

// Compares policies on simulated hosts in virtual time with seed 11; -measure-colocation makes the run longer and adds
// policies. Guards against learned interference that costs throughput or latency: the p99 must be closer to that of
// latency-critical work alone than with blind placement, and batch throughput must be higher than without colocation.
func TestColocationPays(t *testing.T) {
	total := max(*measureColocation, 12*time.Minute)
	warmUp := total / 4
	alone := newSimulation(policy{name: "alone"}, 0).run(total, warmUp)
	target := alone.p99() * 108 / 100
	none := newSimulation(policy{name: "no colocation", batch: true, split: true}, 0).run(total, warmUp)
	ratio := map[string][2]float64{}
	for _, m := range []policy{
		{name: "uncontrolled", batch: true},
		{name: "blind", batch: true},
		{name: "blind placement, learned control", batch: true, learned: true},
		{name: "learned", batch: true, learned: true, predicted: true},
		{name: "blind, equal numbers of each kind", batch: true, mixed: true},
		{name: "learned, equal numbers of each kind", batch: true, mixed: true, learned: true, predicted: true},
	} {
		runTarget := target
		if m.name == "uncontrolled" {
			runTarget = 0
		}
		if *measureColocation == 0 && m.name != "blind" && m.name != "learned" {
			continue
		}
		r := newSimulation(m, runTarget).run(total, warmUp)
		ratio[m.name] = [2]float64{(r.coreSecondsDone - r.coreSecondsRedone) / none.coreSecondsDone, float64(r.p99()) / float64(alone.p99())}
		t.Logf("%-34s throughput %.3f of no colocation, p99 %.3f of alone, %.1f evictions per host and hour, %.4f of work redone, work %.3f of held core-seconds, by kind index %.2f plan %.2f render %.2f",
			m.name, ratio[m.name][0], ratio[m.name][1], float64(r.evictions)/float64(simHostCount())/total.Hours(),
			r.coreSecondsRedone/r.coreSecondsDone, r.coreSecondsDone/r.coreSecondsHeld,
			r.byKind["index"]/none.byKind["index"], r.byKind["plan"]/none.byKind["plan"], r.byKind["render"]/none.byKind["render"])
	}
	qt.Check(t, ratio["learned"][0] > 1.3, qt.IsTrue)
	qt.Check(t, ratio["learned"][1] < 1.1, qt.IsTrue)
	qt.Check(t, ratio["learned"][1] < ratio["blind"][1], qt.IsTrue)
}
