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

// simPolicy selects how a simulation places and controls batch work.
type simPolicy struct {
	name                                string
	runsBatch                           bool // there is batch work
	separatesHosts                      bool // batch work and latency-critical work never share a host
	equalKindCounts                     bool // batch kinds arrive in equal numbers; otherwise each kind always has pending tasks
	learnsInterference, usesPredictions bool // the hosts learn interference; placement uses the learned interference
}

// batchKind is a kind of batch work with the true relative slowdown of latency-critical work per core of this kind. The slowdown
// is baseSlowdown + loadSlowdown*load, at a load of the backend server from 0 to 1.
type batchKind struct {
	name                       string
	baseSlowdown, loadSlowdown float64
}

var batchKinds = []batchKind{{"index", 0.0002, 0.0002}, {"plan", 0.0008, 0.001}, {"render", 0.008, 0.01}}

// simHost is a simulated host with batch tasks and latency-critical requests. The service time of the requests grows with the
// batch work.
type simHost struct {
	info              NodeInfo
	tasks             map[string]*simTask
	recorder          *colocation.Recorder
	aligner           colocation.Aligner
	model             *colocation.Model
	controller        *colocation.Controller
	coresHistory      []map[string]float64 // cores in use by kind in each interval, for measurements that lag
	runsBatch         bool                 // batch work may run on the host
	isLatencyCritical bool                 // latency-critical requests are served on the host
}

type simTask struct {
	info        *TaskInfo
	speed       float64       // fraction of full speed
	progress    time.Duration // finished part of the run time
	startedAt   time.Time
	throttledAt time.Time
}

func (t *simTask) setSpeed(speed float64, now time.Time) {
	if t.speed >= 1 {
		t.throttledAt = now
	}
	t.speed = speed
}

func (t *simTask) throttledFor(now time.Time) time.Duration {
	if t.speed >= 1 {
		return 0
	}
	return now.Sub(t.throttledAt)
}

// simulation is one run of a policy in virtual time.
type simulation struct {
	policy             simPolicy
	clock              virtualClock
	rng                *rand.Rand
	hosts              []*simHost
	hostByID           map[string]*simHost
	scheduler          *Scheduler
	merged             *colocation.MergedModel
	pendingUnits       map[string]*Unit
	checkpointProgress map[string]time.Duration // finished part of the run time at the last checkpoint, by task name
	submittedCount     int
	targetLatency      time.Duration
	latencies          []float64 // of latency-critical requests, in seconds
	coreSecondsDone    float64   // finished batch work
	coreSecondsRedone  float64   // batch work lost by evictions
	coreSecondsHeld    float64   // allocated to admitted tasks, whether throttled or not
	coreSecondsByKind  map[string]float64
	evictionCount      int
}

const (
	simInterval         = 500 * time.Millisecond
	usageLagIntervals   = 4  // lag of the usage measurements in intervals
	pendingTasksPerKind = 30 // pending tasks of each kind
	simTaskRunTime      = 10 * time.Minute
)

// simHostCount returns the number of hosts: 12 with -measure-colocation, 6 in the short run that CI uses.
func simHostCount() int {
	if *measureColocationDuration > 0 {
		return 12
	}
	return 6
}

func newSimulation(simulated simPolicy, target time.Duration) *simulation {
	sim := &simulation{policy: simulated, clock: virtualClock{testEpoch}, rng: rand.New(rand.NewPCG(11, 11)), hostByID: map[string]*simHost{},
		pendingUnits: map[string]*Unit{}, checkpointProgress: map[string]time.Duration{}, targetLatency: target,
		merged: colocation.Merge(), coreSecondsByKind: map[string]float64{}}
	sim.scheduler = New(Options{Seed: 11, Now: sim.clock.Now, InterferenceModel: func(string) InterferenceModel {
		if !simulated.usesPredictions {
			return nil
		}
		return sim.merged
	}})
	for i, info := range fleetOf(simHostCount(), worker.Resources{Cores: 56, MemoryMB: 230_000}) {
		host := &simHost{info: info, tasks: map[string]*simTask{}, recorder: colocation.NewRecorder(), model: colocation.NewModel(),
			isLatencyCritical: true, runsBatch: simulated.runsBatch}
		if simulated.separatesHosts {
			host.isLatencyCritical, host.runsBatch = i%2 == 0, i%2 == 1
			host.info.Capacity.Cores = 64
		}
		if !host.isLatencyCritical {
			host.info.LatencyCriticalKind = ""
		}
		host.controller = colocation.NewController(colocation.Config{}, host.model)
		sim.hosts, sim.hostByID[info.ID] = append(sim.hosts, host), host
	}
	return sim
}

// load returns the fraction of the slots in use on a host. The load is a sine wave with a period of one hour; the hosts have
// three different phases.
func (r *simulation) load(hostIndex int) float64 {
	if !r.hosts[hostIndex].isLatencyCritical {
		return 0
	}
	phaseHours := r.clock.now.Sub(testEpoch).Hours() + float64(hostIndex/2%3)/3
	load := 0.25 + 0.15*math.Sin(2*math.Pi*phaseHours)
	if r.policy.separatesHosts {
		return 2 * load
	}
	return load
}

// cores returns the cores in use by kind of batch work; a throttled task uses a fraction of its cores.
func (h *simHost) cores() map[string]float64 {
	out := map[string]float64{}
	for _, t := range h.tasks {
		out[t.info.Kind] += t.info.Need.Cores * t.speed
	}
	return out
}

// serveRequests simulates the latency-critical requests of a host in one interval.
func (r *simulation) serveRequests(hostIndex int, recordLatencies bool) {
	host, load := r.hosts[hostIndex], r.load(hostIndex)
	host.info.BackendLoad = load
	cores := host.cores()
	host.coresHistory = append(host.coresHistory, cores)
	loadFactor := 1 + 0.5*load
	interferenceFactor := 1.0
	for _, kind := range batchKinds {
		interferenceFactor += cores[kind.name] * (kind.baseSlowdown + kind.loadSlowdown*load)
	}
	for range int(load * 8 * simInterval.Seconds() / 0.02) {
		serviceSeconds := 0.02 * loadFactor * interferenceFactor * math.Exp(0.15*r.rng.NormFloat64())
		host.recorder.Add("foot-scan", time.Duration(serviceSeconds*float64(time.Second)), r.clock.now.Add(-simInterval/2), load)
		if recordLatencies {
			r.latencies = append(r.latencies, serviceSeconds)
		}
	}
}

// runController passes the measurements of an interval to the host's controller and applies its actions.
func (r *simulation) runController(host *simHost) {
	windows := host.recorder.CloseWindows(r.clock.now)
	sample := colocation.Sample{}
	for _, window := range windows {
		window.From = r.clock.now.Add(-simInterval)
		host.aligner.AddWindow(window)
		sample = colocation.Sample{Window: window, Target: r.targetLatency}
	}
	if n := len(host.coresHistory); n > usageLagIntervals && r.policy.learnsInterference {
		for _, observation := range host.aligner.Match(r.clock.now.Add(-usageLagIntervals*simInterval-simInterval/2),
			host.coresHistory[n-1-usageLagIntervals]) {
			host.model.Observe(observation)
		}
	}
	if r.targetLatency == 0 || sample.Count == 0 {
		return
	}
	if ratio, ok := host.controller.LatencyRatio(r.targetLatency); ok {
		host.info.LatencyRatio = ratio
	}
	tasks := []colocation.Task{}
	for _, t := range host.tasks {
		tasks = append(tasks, colocation.Task{
			Ref: t.info.Ref, Kind: t.info.Kind, Cores: t.info.Need.Cores, Speed: t.speed, ThrottledFor: t.throttledFor(r.clock.now),
			Elapsed: r.clock.now.Sub(t.startedAt), ExpectedRunTime: t.info.ExpectedRunTime})
	}
	slices.SortFunc(tasks, func(a, b colocation.Task) int { return compareStrings(a.Ref.Task, b.Ref.Task) })
	for _, action := range host.controller.Step(r.clock.now, sample, tasks) {
		if action.Kind == colocation.ActionEvict {
			r.evict(host, action.Ref.Task)
			continue
		}
		host.tasks[action.Ref.Task].setSpeed(action.Speed, r.clock.now)
	}
}

func compareStrings(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

// evict checkpoints a task and makes it pending again. One checkpoint in 20 fails, and the task loses all its work. With the
// other checkpoints, the task loses up to 5 s of work.
func (r *simulation) evict(host *simHost, name string) {
	evicted := host.tasks[name]
	delete(host.tasks, name)
	host.info.Free = host.info.Free.Add(evicted.info.Need)
	r.evictionCount++
	lostRunTime := min(evicted.progress, 5*time.Second)
	if r.rng.IntN(20) == 0 {
		lostRunTime = evicted.progress
	}
	r.coreSecondsRedone += lostRunTime.Seconds() * evicted.info.Need.Cores
	r.checkpointProgress[name] = evicted.progress - lostRunTime
	r.scheduler.TaskEnded(evicted.info.Ref)
	resumed := *evicted.info
	resumed.Ref.Attempt++
	r.pendingUnits[name] = unitOf(&resumed)
}

// advanceTasks advances the named tasks of a host by one interval and ends the finished ones.
func (r *simulation) advanceTasks(host *simHost, names []string) {
	for _, name := range names {
		running := host.tasks[name]
		running.progress += time.Duration(running.speed * float64(simInterval))
		r.coreSecondsHeld += simInterval.Seconds() * running.info.Need.Cores
		r.coreSecondsDone += running.speed * simInterval.Seconds() * running.info.Need.Cores
		r.coreSecondsByKind[running.info.Kind] += running.speed * simInterval.Seconds() * running.info.Need.Cores
		if running.progress >= running.info.ExpectedRunTime {
			delete(host.tasks, name)
			host.info.Free = host.info.Free.Add(running.info.Need)
			r.scheduler.TaskEnded(running.info.Ref)
		}
	}
}

// submitAndPlace submits tasks until enough are pending, and runs a scheduler cycle.
func (r *simulation) submitAndPlace() {
	pendingByKind := map[string]int{}
	for _, u := range r.pendingUnits {
		pendingByKind[u.Lead().Kind]++
	}
	for _, kind := range batchKinds {
		for !r.policy.equalKindCounts && pendingByKind[kind.name] < pendingTasksPerKind {
			r.submit(kind)
			pendingByKind[kind.name]++
		}
	}
	for r.policy.equalKindCounts && len(r.pendingUnits) < len(batchKinds)*pendingTasksPerKind {
		r.submit(batchKinds[r.submittedCount%len(batchKinds)])
	}
	r.placePending()
}

func (r *simulation) submit(kind batchKind) {
	submittedTask := newTask(fmt.Sprintf("t%04x-%06d", r.rng.IntN(1<<16), r.submittedCount), 8, 50)
	submittedTask.Kind, submittedTask.ExpectedRunTime, submittedTask.SubmittedAt = kind.name, simTaskRunTime, r.clock.now
	r.pendingUnits[submittedTask.Ref.Task] = unitOf(submittedTask)
	r.submittedCount++
}

// placePending runs a scheduler cycle on the reports of this interval. The hosts admit every placement.
func (r *simulation) placePending() {
	reports, pairs := []NodeInfo{}, [][]colocation.Pair{}
	for _, host := range r.hosts {
		if !host.runsBatch {
			continue
		}
		host.info.AgentClock = r.clock.now.Sub(testEpoch)
		host.info.BatchCores = host.cores()
		reports = append(reports, host.info)
		pairs = append(pairs, host.model.Pairs())
	}
	r.merged = colocation.Merge(pairs...)
	r.scheduler.Update(reports)
	r.scheduler.SyncPending(r.pendingUnits)
	for _, decision := range r.scheduler.RunCycle(32) {
		if !decision.Placed {
			continue
		}
		placed := decision.Unit.Lead()
		host := r.hostByID[decision.Decisions[0].Node.ID]
		host.info.Free = host.info.Free.Sub(placed.Need)
		host.tasks[placed.Ref.Task] = &simTask{info: placed, speed: 1, startedAt: r.clock.now, progress: r.checkpointProgress[placed.Ref.Task]}
		r.scheduler.TaskAdmitted(placed.Ref, r.clock.now.Sub(testEpoch))
		delete(r.pendingUnits, placed.Ref.Task)
	}
}

// run simulates the policy for the given virtual time. Latencies are recorded only after the warm-up.
func (r *simulation) run(duration, warmUpDuration time.Duration) *simulation {
	for _, host := range r.hosts {
		host.info.Free = host.info.Capacity
	}
	for r.clock.now.Sub(testEpoch) < duration {
		r.clock.now = r.clock.now.Add(simInterval)
		if r.policy.runsBatch {
			r.submitAndPlace()
		}
		for i, host := range r.hosts {
			r.serveRequests(i, r.clock.now.Sub(testEpoch) > warmUpDuration)
			r.runController(host)
			names := []string{}
			for name := range host.tasks {
				names = append(names, name)
			}
			slices.Sort(names)
			r.advanceTasks(host, names)
		}
	}
	slices.Sort(r.latencies)
	return r
}

func (r *simulation) p99() time.Duration {
	return time.Duration(r.latencies[len(r.latencies)*99/100] * float64(time.Second))
}

var measureColocationDuration = flag.Duration("measure-colocation", 0, "virtual time of the colocation run, for example 4h")

// Compares policies on simulated hosts in virtual time with seed 11. The flag -measure-colocation makes the run longer and adds
// policies. Guards against learned interference that reduces throughput or raises latency. With learned interference, the p99
// latency must be lower than with placement that ignores interference, and less than 1.1 times the p99 latency without batch
// work. The batch throughput must be more than 1.3 times the throughput of the policy that separates the hosts.
func TestLearnedColocationRaisesThroughputAndKeepsLatency(t *testing.T) {
	duration := max(*measureColocationDuration, 12*time.Minute)
	warmUpDuration := duration / 4
	alone := newSimulation(simPolicy{name: "alone"}, 0).run(duration, warmUpDuration)
	targetLatency := alone.p99() * 108 / 100
	withoutColocation := newSimulation(simPolicy{name: "no colocation", runsBatch: true, separatesHosts: true}, 0).run(duration,
		warmUpDuration)
	ratiosByPolicy := map[string][2]float64{}
	for _, simulated := range []simPolicy{
		{name: "uncontrolled", runsBatch: true},
		{name: "blind", runsBatch: true},
		{name: "blind placement, learned control", runsBatch: true, learnsInterference: true},
		{name: "learned", runsBatch: true, learnsInterference: true, usesPredictions: true},
		{name: "blind, equal numbers of each kind", runsBatch: true, equalKindCounts: true},
		{name: "learned, equal numbers of each kind", runsBatch: true, equalKindCounts: true, learnsInterference: true, usesPredictions: true},
	} {
		runTargetLatency := targetLatency
		if simulated.name == "uncontrolled" {
			runTargetLatency = 0
		}
		if *measureColocationDuration == 0 && simulated.name != "blind" && simulated.name != "learned" {
			continue
		}
		sim := newSimulation(simulated, runTargetLatency).run(duration, warmUpDuration)
		ratiosByPolicy[simulated.name] = [2]float64{(sim.coreSecondsDone - sim.coreSecondsRedone) / withoutColocation.coreSecondsDone,
			float64(sim.p99()) / float64(alone.p99())}
		t.Logf("%-34s throughput %.3f of no colocation, p99 %.3f of alone, %.1f evictions per host and hour, %.4f of work redone, work %.3f of held core-seconds, by kind index %.2f plan %.2f render %.2f",
			simulated.name, ratiosByPolicy[simulated.name][0], ratiosByPolicy[simulated.name][1],
			float64(sim.evictionCount)/float64(simHostCount())/duration.Hours(),
			sim.coreSecondsRedone/sim.coreSecondsDone, sim.coreSecondsDone/sim.coreSecondsHeld,
			sim.coreSecondsByKind["index"]/withoutColocation.coreSecondsByKind["index"],
			sim.coreSecondsByKind["plan"]/withoutColocation.coreSecondsByKind["plan"],
			sim.coreSecondsByKind["render"]/withoutColocation.coreSecondsByKind["render"])
	}
	qt.Check(t, ratiosByPolicy["learned"][0] > 1.3, qt.IsTrue)
	qt.Check(t, ratiosByPolicy["learned"][1] < 1.1, qt.IsTrue)
	qt.Check(t, ratiosByPolicy["learned"][1] < ratiosByPolicy["blind"][1], qt.IsTrue)
}
