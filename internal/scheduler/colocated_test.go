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

// mode is a policy of the colocation run.
type mode struct {
	name               string
	batch              bool
	split              bool // batch work and latency-critical work never share a host
	mixed              bool // kinds arrive in equal numbers; otherwise each kind always has waiting tasks
	learned, predicted bool // the controller learns; placement uses what was learned
}

// kindOf is a kind of batch work with its true slowdown of quick work per core, at zero load and its growth with the load.
type kindOf struct {
	name         string
	still, grows float64
}

var kinds = []kindOf{{"index", 0.0002, 0.0002}, {"plan", 0.0008, 0.001}, {"render", 0.008, 0.01}}

// coHost is a small fake of a host: quick requests whose service time grows with the batch work, and batch tasks.
type coHost struct {
	info    NodeInfo
	tasks   map[string]*coTask
	rec     *colocation.Recorder
	align   colocation.Aligner
	model   *colocation.Model
	control *colocation.Controller
	past    []map[string]float64 // cores by kind, for the lag of the measurements
	batch   bool
	quick   bool
}

type coTask struct {
	info    *TaskInfo
	share   float64
	done    time.Duration
	started time.Time
	slow    time.Time
}

func (t *coTask) setShare(share float64, now time.Time) {
	if t.share >= 1 {
		t.slow = now
	}
	t.share = share
}

func (t *coTask) slowFor(now time.Time) time.Duration {
	if t.share >= 1 {
		return 0
	}
	return now.Sub(t.slow)
}

// coRun is one run of a policy.
type coRun struct {
	mode      mode
	clock     clock
	rnd       *rand.Rand
	hosts     []*coHost
	byID      map[string]*coHost
	sched     *Scheduler
	merged    *colocation.Merged
	units     map[string]*Unit
	resumed   map[string]time.Duration // progress by checkpoint
	next      int
	target    time.Duration
	latencies []float64
	work      float64 // core-seconds done
	redone    float64
	held      float64 // core-seconds admitted
	byKind    map[string]float64
	evictions int
}

const (
	coStep    = 500 * time.Millisecond
	coLag     = 4  // steps by which usage lags
	coBacklog = 30 // waiting tasks of each kind
	coRunTime = 10 * time.Minute
)

// coHosts is the size of the fleet: half in the short run, which CI makes.
func coHosts() int {
	if *measureColocation > 0 {
		return 12
	}
	return 6
}

func newCoRun(m mode, target time.Duration) *coRun {
	r := &coRun{mode: m, clock: clock{epoch}, rnd: rand.New(rand.NewPCG(11, 11)), byID: map[string]*coHost{}, units: map[string]*Unit{},
		resumed: map[string]time.Duration{}, target: target, merged: colocation.Merge(), byKind: map[string]float64{}}
	r.sched = New(Options{Seed: 11, Now: r.clock.Now, Effects: func(string) Effects {
		if !m.predicted {
			return nil
		}
		return r.merged
	}})
	for i, info := range fleetOf(coHosts(), worker.Resources{Cores: 56, MemoryMB: 230_000}) {
		h := &coHost{info: info, tasks: map[string]*coTask{}, rec: colocation.NewRecorder(), model: colocation.NewModel(), quick: true, batch: m.batch}
		if m.split {
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

// load is the share of the slots in use: a wave over an hour, at another time on each third host.
func (r *coRun) load(i int) float64 {
	if !r.hosts[i].quick {
		return 0
	}
	at := r.clock.now.Sub(epoch).Hours() + float64(i/2%3)/3
	load := 0.25 + 0.15*math.Sin(2*math.Pi*at)
	if r.mode.split {
		return 2 * load
	}
	return load
}

func (h *coHost) cores() map[string]float64 {
	out := map[string]float64{}
	for _, t := range h.tasks {
		out[t.info.Kind] += t.info.Need.Cores * t.share
	}
	return out
}

func (r *coRun) serve(i int, keep bool) {
	h, load := r.hosts[i], r.load(i)
	h.info.QuickLoad = load
	cores := h.cores()
	h.past = append(h.past, cores)
	factor := 1 + 0.5*load
	slow := 1.0
	for _, k := range kinds {
		slow += cores[k.name] * (k.still + k.grows*load)
	}
	for range int(load * 8 * coStep.Seconds() / 0.02) {
		s := 0.02 * factor * slow * math.Exp(0.15*r.rnd.NormFloat64())
		h.rec.Add("foot-scan", time.Duration(s*float64(time.Second)), r.clock.now.Add(-coStep/2), load)
		if keep {
			r.latencies = append(r.latencies, s)
		}
	}
}

func (r *coRun) control(h *coHost) {
	windows := h.rec.Close(r.clock.now)
	sample := colocation.Sample{}
	for _, w := range windows {
		w.From = r.clock.now.Add(-coStep)
		h.align.AddWindow(w)
		sample = colocation.Sample{Window: w, Target: r.target}
	}
	if n := len(h.past); n > coLag && r.mode.learned {
		for _, o := range h.align.Measured(r.clock.now.Add(-coLag*coStep-coStep/2), h.past[n-1-coLag]) {
			h.model.Observe(o)
		}
	}
	if r.target == 0 || sample.Count == 0 {
		return
	}
	if ratio, ok := h.control.Ratio(r.target); ok {
		h.info.QuickRatio = ratio
	}
	list := []colocation.Task{}
	for _, t := range h.tasks {
		list = append(list, colocation.Task{Ref: t.info.Ref, Kind: t.info.Kind, Cores: t.info.Need.Cores, Share: t.share, SlowFor: t.slowFor(r.clock.now), Ran: r.clock.now.Sub(t.started), Run: t.info.Run})
	}
	slices.SortFunc(list, func(a, b colocation.Task) int { return cmpString(a.Ref.Task, b.Ref.Task) })
	for _, a := range h.control.Step(r.clock.now, sample, list) {
		if a.Kind == colocation.ActionEvict {
			r.evict(h, a.Ref.Task)
			continue
		}
		h.tasks[a.Ref.Task].setShare(a.Share, r.clock.now)
	}
}

func cmpString(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

// evict checkpoints a task; one checkpoint in 20 fails and its work is done again, the others cost 5 s.
func (r *coRun) evict(h *coHost, name string) {
	t := h.tasks[name]
	delete(h.tasks, name)
	h.info.Free = h.info.Free.Add(t.info.Need)
	r.evictions++
	lost := min(t.done, 5*time.Second)
	if r.rnd.IntN(20) == 0 {
		lost = t.done
	}
	r.redone += lost.Seconds() * t.info.Need.Cores
	r.resumed[name] = t.done - lost
	r.sched.Ended(t.info.Ref)
	again := *t.info
	again.Ref.Attempt++
	r.units[name] = unit(&again)
}

func (r *coRun) progress(h *coHost, names []string) {
	for _, name := range names {
		t := h.tasks[name]
		t.done += time.Duration(t.share * float64(coStep))
		r.held += coStep.Seconds() * t.info.Need.Cores
		r.work += t.share * coStep.Seconds() * t.info.Need.Cores
		r.byKind[t.info.Kind] += t.share * coStep.Seconds() * t.info.Need.Cores
		if t.done >= t.info.Run {
			delete(h.tasks, name)
			h.info.Free = h.info.Free.Add(t.info.Need)
			r.sched.Ended(t.info.Ref)
		}
	}
}

func (r *coRun) place() {
	waiting := map[string]int{}
	for _, u := range r.units {
		waiting[u.Lead().Kind]++
	}
	for _, k := range kinds {
		for !r.mode.mixed && waiting[k.name] < coBacklog {
			r.submit(k)
			waiting[k.name]++
		}
	}
	for r.mode.mixed && len(r.units) < len(kinds)*coBacklog {
		r.submit(kinds[r.next%len(kinds)])
	}
	r.offer()
}

func (r *coRun) submit(k kindOf) {
	t := task(fmt.Sprintf("t%04x-%06d", r.rnd.IntN(1<<16), r.next), 8, 50)
	t.Kind, t.Run, t.Submitted = k.name, coRunTime, r.clock.now
	r.units[t.Ref.Task] = unit(t)
	r.next++
}

// offer lets the scheduler place on reports of this step; hosts admit everything that fits.
func (r *coRun) offer() {
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
	r.sched.Update(reports)
	r.sched.Sync(r.units)
	for _, o := range r.sched.Cycle(32) {
		if !o.Placed {
			continue
		}
		t := o.Unit.Lead()
		h := r.byID[o.Decisions[0].Node.ID]
		h.info.Free = h.info.Free.Sub(t.Need)
		h.tasks[t.Ref.Task] = &coTask{info: t, share: 1, started: r.clock.now, done: r.resumed[t.Ref.Task]}
		r.sched.Confirm(t.Ref, r.clock.now.Sub(epoch))
		delete(r.units, t.Ref.Task)
	}
}

// run lets the policy work for a virtual time; latencies count after the warm-up.
func (r *coRun) run(total, warm time.Duration) *coRun {
	for _, h := range r.hosts {
		h.info.Free = h.info.Capacity
	}
	for r.clock.now.Sub(epoch) < total {
		r.clock.now = r.clock.now.Add(coStep)
		if r.mode.batch {
			r.place()
		}
		for i, h := range r.hosts {
			r.serve(i, r.clock.now.Sub(epoch) > warm)
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

func (r *coRun) p99() time.Duration {
	return time.Duration(r.latencies[len(r.latencies)*99/100] * float64(time.Second))
}

var measureColocation = flag.Duration("measure-colocation", 0, "virtual time of the colocation run, for example 4h")

// Compares policies on small fakes in virtual time, seed 11; the flag makes the run longer and prints the figures.
// Guards against learned interference that costs throughput or latency: it must keep the p99 closer to that of quick
// work alone than blind placement does, and give more batch work than no colocation.
func TestColocationPays(t *testing.T) {
	total := max(*measureColocation, 12*time.Minute)
	warm := total / 4
	alone := newCoRun(mode{name: "alone"}, 0).run(total, warm)
	target := alone.p99() * 108 / 100
	none := newCoRun(mode{name: "no colocation", batch: true, split: true}, 0).run(total, warm)
	ratio := map[string][2]float64{}
	for _, m := range []mode{
		{name: "uncontrolled", batch: true},
		{name: "blind", batch: true},
		{name: "blind placement, learned control", batch: true, learned: true},
		{name: "learned", batch: true, learned: true, predicted: true},
		{name: "blind, equal numbers of each kind", batch: true, mixed: true},
		{name: "learned, equal numbers of each kind", batch: true, mixed: true, learned: true, predicted: true},
	} {
		goal := target
		if m.name == "uncontrolled" {
			goal = 0
		}
		if *measureColocation == 0 && m.name != "blind" && m.name != "learned" {
			continue
		}
		r := newCoRun(m, goal).run(total, warm)
		ratio[m.name] = [2]float64{(r.work - r.redone) / none.work, float64(r.p99()) / float64(alone.p99())}
		t.Logf("%-34s throughput %.3f of no colocation, p99 %.3f of alone, %.1f evictions per host and hour, %.4f of the work redone, work %.3f of the room held, by kind index %.2f plan %.2f render %.2f",
			m.name, ratio[m.name][0], ratio[m.name][1], float64(r.evictions)/float64(coHosts())/total.Hours(), r.redone/r.work, r.work/r.held,
			r.byKind["index"]/none.byKind["index"], r.byKind["plan"]/none.byKind["plan"], r.byKind["render"]/none.byKind["render"])
	}
	qt.Check(t, ratio["learned"][0] > 1.3, qt.IsTrue)
	qt.Check(t, ratio["learned"][1] < 1.1, qt.IsTrue)
	qt.Check(t, ratio["learned"][1] < ratio["blind"][1], qt.IsTrue)
}
