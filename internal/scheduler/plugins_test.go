package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/colocation"
	"bamboofork/internal/worker"
)

// sameSlowdown predicts the same slowdown for every latency-critical kind and batch kind.
type sameSlowdown colocation.Estimate

func (f sameSlowdown) Slowdown(string, string, float64) colocation.Estimate {
	return colocation.Estimate(f)
}

// Guards against a filter that accepts a worker on which the task must not run. Also guards against a rejection with a wrong
// reason.
func TestFiltersRejectUnsuitableWorkers(t *testing.T) {
	tracker := NewHealthTracker(HealthConfig{})
	tracker.healthByWorker["quarantined"] = &workerHealth{state: HealthQuarantined}
	tracker.healthByWorker["probation"] = &workerHealth{state: HealthProbation}
	tracker.healthByWorker["probing"] = &workerHealth{state: HealthProbation, probeStartedAt: testEpoch}
	opts := Options{InterferenceModel: func(string) InterferenceModel { return sameSlowdown{Mean: 0.1, Deviation: 0.01} }}.withDefaults()
	cycle := &Cycle{Now: testEpoch, cache: newCache(tracker), opts: &opts}
	reservation := &Reservation{Task: "other/0", Need: resourcesOf(8), StartsAt: testEpoch.Add(10 * time.Minute),
		ProjectedFree: resourcesOf(10)}
	shortTask, noProbe := newTask("short", 4, 50), newTask("plain", 4, 50)
	shortTask.ExpectedRunTime, noProbe.MayProbe = time.Minute, false
	avoidingTask := newTask("avoid", 4, 50)
	avoidingTask.AvoidUntil = map[string]time.Time{"w": testEpoch.Add(time.Second)}
	unlearnedCycle := &Cycle{Now: testEpoch, cache: cycle.cache,
		opts: &Options{InterferenceModel: func(string) InterferenceModel { return sameSlowdown(colocation.PriorSlowdown) }}}
	host := NodeInfo{LatencyCriticalKind: "q", Capacity: resourcesOf(32), BatchCores: map[string]float64{"plan": 6}}
	qt.Check(t, exploreFilter{}.Filter(unlearnedCycle, newTask("a", 2, 50), &node{info: host}).OK(), qt.IsTrue)
	qt.Check(t, exploreFilter{}.Filter(unlearnedCycle, newTask("a", 4, 50), &node{info: host}).Reason, qt.Equals,
		"effect of plan on q is not known yet")
	for _, tc := range []struct {
		name   string
		plugin FilterPlugin
		task   *TaskInfo
		node   node
		code   Code
		reason string
	}{
		{"fits", fitFilter{}, newTask("a", 4, 50), node{free: resourcesOf(4)}, Success, ""},
		{"full", fitFilter{}, newTask("a", 4, 50), node{info: NodeInfo{Capacity: resourcesOf(8)}, free: resourcesOf(2)},
			Unschedulable, "no room now"},
		{"small", fitFilter{}, newTask("a", 40, 50), node{info: NodeInfo{Capacity: resourcesOf(8)}, free: resourcesOf(8)},
			Unresolvable, "worker too small"},
		{"avoid", avoidFilter{}, avoidingTask, node{info: NodeInfo{ID: "w"}}, Unschedulable, "failed or refused there lately"},
		{"quarantined", healthFilter{}, newTask("a", 4, 50), node{info: NodeInfo{ID: "quarantined"}}, Unschedulable, "quarantined"},
		{"probe", healthFilter{}, newTask("a", 4, 50), node{info: NodeInfo{ID: "probation"}}, Success, ""},
		{"second probe", healthFilter{}, newTask("a", 4, 50), node{info: NodeInfo{ID: "probing"}}, Unschedulable, "on probation, a probe runs"},
		{"no probe", healthFilter{}, noProbe, node{info: NodeInfo{ID: "probation"}}, Unschedulable, "on probation, task cannot be a probe"},
		{"delays reservation", reservationFilter{}, newTask("a", 4, 50), node{free: resourcesOf(10), reservation: reservation},
			Unschedulable, "would delay the reservation of other/0"},
		{"ends before reservation", reservationFilter{}, shortTask, node{free: resourcesOf(10), reservation: reservation}, Success, ""},
		{"beside reservation", reservationFilter{}, newTask("a", 2, 50), node{free: resourcesOf(10), reservation: reservation}, Success, ""},
		{"own reservation", reservationFilter{}, newTask("other", 4, 50), node{free: resourcesOf(4), reservation: reservation}, Success, ""},
		{"misses target", interferencePlugin{}, newTask("a", 4, 50), node{info: NodeInfo{LatencyCriticalKind: "q", LatencyRatio: 0.8}},
			Unschedulable, "plan would slow q past its target"},
		{"keeps target", interferencePlugin{}, newTask("a", 4, 50), node{info: NodeInfo{LatencyCriticalKind: "q", LatencyRatio: 0.5}}, Success, ""},
		{"urgent", interferencePlugin{}, newTask("a", 4, 95), node{info: NodeInfo{LatencyCriticalKind: "q", LatencyRatio: 0.8}}, Success, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			status := tc.plugin.Filter(cycle, tc.task, &tc.node)
			qt.Check(t, status.Code, qt.Equals, tc.code)
			qt.Check(t, status.Reason, qt.Equals, tc.reason)
		})
	}
}

// Guards against a score plugin that prefers the worse of two workers.
func TestScoresPreferBetterWorker(t *testing.T) {
	opts := Options{InterferenceModel: func(d string) InterferenceModel {
		return sameSlowdown{Mean: map[string]float64{"low": 0.001, "high": 0.1}[d]}
	}}.withDefaults()
	cycle := &Cycle{Now: testEpoch, cache: newCache(NewHealthTracker(HealthConfig{})), opts: &opts}
	cycle.cache.spreadByJob["a"] = &spreadCount{tasksByDomain: map[string]int{"d1": 2}, tasksByRack: map[string]int{"r1": 1}}
	accelerated := resourcesOf(8)
	accelerated.Accelerators = 1
	for _, tc := range []struct {
		name          string
		plugin        ScorePlugin
		better, worse node
	}{
		{"quick load", quickLoadScore{}, node{info: NodeInfo{BackendLoad: 0.1}}, node{info: NodeInfo{BackendLoad: 0.9}}},
		{"balance", balanceScore{}, node{info: NodeInfo{Capacity: resourcesOf(8)}, free: resourcesOf(8)},
			node{info: NodeInfo{Capacity: resourcesOf(8)}, free: resourcesOf(4)}},
		{"keep accelerators", balanceScore{}, node{info: NodeInfo{Capacity: resourcesOf(8)}, free: resourcesOf(8)},
			node{info: NodeInfo{Capacity: resourcesOf(8)}, free: accelerated}},
		{"spread domain", spreadScore{}, node{info: NodeInfo{Domain: "d2", Rack: "r9"}}, node{info: NodeInfo{Domain: "d1", Rack: "r9"}}},
		{"spread rack", spreadScore{}, node{info: NodeInfo{Domain: "d1", Rack: "r2"}}, node{info: NodeInfo{Domain: "d1", Rack: "r1"}}},
		{"interference", interferencePlugin{}, node{info: NodeInfo{LatencyCriticalKind: "q", Domain: "low"}},
			node{info: NodeInfo{LatencyCriticalKind: "q", Domain: "high"}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			better, worse := tc.plugin.Score(cycle, newTask("a", 2, 50), &tc.better), tc.plugin.Score(cycle, newTask("a", 2, 50), &tc.worse)
			qt.Check(t, better > worse, qt.IsTrue, qt.Commentf("%.3f against %.3f", better, worse))
		})
	}
}

// Guards against a quota that is not enforced for one of the resources.
func TestQuotaIsEnforcedForEachResource(t *testing.T) {
	for _, tc := range []struct {
		use, quota worker.Resources
		reason     string
	}{
		{resourcesOf(4), worker.Resources{}, ""},
		{resourcesOf(4), resourcesOf(4), ""},
		{resourcesOf(5), worker.Resources{Cores: 4}, "cores over the quota of 4"},
		{resourcesOf(5), worker.Resources{MemoryMB: 100}, "memory over the quota of 100 MB"},
		{worker.Resources{Accelerators: 2}, worker.Resources{Accelerators: 1}, "accelerators over the quota of 1"},
	} {
		qt.Check(t, overQuota(tc.use, tc.quota), qt.Equals, tc.reason)
	}
}
