package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/colocation"
	"bamboofork/internal/worker"
)

// sameSlowdown predicts the same slowdown for every pair.
type sameSlowdown colocation.Estimate

func (f sameSlowdown) Slowdown(string, string, float64) colocation.Estimate {
	return colocation.Estimate(f)
}

// Guards against a filter that admits a task to a worker that cannot run it, or that gives a wrong reason.
func TestFilters(t *testing.T) {
	h := NewHealthTracker(HealthConfig{})
	h.workers["quarantined"] = &workerHealth{state: HealthQuarantined}
	h.workers["probation"] = &workerHealth{state: HealthProbation}
	h.workers["probing"] = &workerHealth{state: HealthProbation, probeStart: epoch}
	opts := Options{InterferenceModel: func(string) InterferenceModel { return sameSlowdown{Mean: 0.1, Deviation: 0.01} }}.withDefaults()
	c := &Cycle{Now: epoch, cache: newCache(h), opts: &opts}
	r := &Reservation{Task: "other/0", Need: size(8), StartsAt: epoch.Add(10 * time.Minute), ProjectedFree: size(10)}
	short, noProbe := task("short", 4, 50), task("plain", 4, 50)
	short.ExpectedRunTime, noProbe.MayProbe = time.Minute, false
	avoid := task("avoid", 4, 50)
	avoid.AvoidUntil = map[string]time.Time{"w": epoch.Add(time.Second)}
	unknown := &Cycle{Now: epoch, cache: c.cache, opts: &Options{InterferenceModel: func(string) InterferenceModel { return sameSlowdown(colocation.Prior) }}}
	host := NodeInfo{QuickKind: "q", Capacity: size(32), BatchCores: map[string]float64{"plan": 6}}
	qt.Check(t, exploreFilter{}.Filter(unknown, task("a", 2, 50), &node{info: host}).OK(), qt.IsTrue)
	qt.Check(t, exploreFilter{}.Filter(unknown, task("a", 4, 50), &node{info: host}).Reason, qt.Equals, "effect of plan on q is not known yet")
	for _, tc := range []struct {
		name   string
		plugin FilterPlugin
		task   *TaskInfo
		node   node
		code   Code
		reason string
	}{
		{"fits", fitFilter{}, task("a", 4, 50), node{free: size(4)}, Success, ""},
		{"full", fitFilter{}, task("a", 4, 50), node{info: NodeInfo{Capacity: size(8)}, free: size(2)}, Unschedulable, "no room now"},
		{"small", fitFilter{}, task("a", 40, 50), node{info: NodeInfo{Capacity: size(8)}, free: size(8)}, Unresolvable, "worker too small"},
		{"avoid", avoidFilter{}, avoid, node{info: NodeInfo{ID: "w"}}, Unschedulable, "failed or refused there lately"},
		{"quarantined", healthFilter{}, task("a", 4, 50), node{info: NodeInfo{ID: "quarantined"}}, Unschedulable, "quarantined"},
		{"probe", healthFilter{}, task("a", 4, 50), node{info: NodeInfo{ID: "probation"}}, Success, ""},
		{"second probe", healthFilter{}, task("a", 4, 50), node{info: NodeInfo{ID: "probing"}}, Unschedulable, "on probation, a probe runs"},
		{"no probe", healthFilter{}, noProbe, node{info: NodeInfo{ID: "probation"}}, Unschedulable, "on probation, task cannot be a probe"},
		{"delays reservation", reservationFilter{}, task("a", 4, 50), node{free: size(10), reservation: r}, Unschedulable, "would delay the reservation of other/0"},
		{"ends before reservation", reservationFilter{}, short, node{free: size(10), reservation: r}, Success, ""},
		{"beside reservation", reservationFilter{}, task("a", 2, 50), node{free: size(10), reservation: r}, Success, ""},
		{"own reservation", reservationFilter{}, task("other", 4, 50), node{free: size(4), reservation: r}, Success, ""},
		{"misses target", interferencePlugin{}, task("a", 4, 50), node{info: NodeInfo{QuickKind: "q", QuickRatio: 0.8}}, Unschedulable, "plan would slow q past its target"},
		{"keeps target", interferencePlugin{}, task("a", 4, 50), node{info: NodeInfo{QuickKind: "q", QuickRatio: 0.5}}, Success, ""},
		{"urgent", interferencePlugin{}, task("a", 4, 95), node{info: NodeInfo{QuickKind: "q", QuickRatio: 0.8}}, Success, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			st := tc.plugin.Filter(c, tc.task, &tc.node)
			qt.Check(t, st.Code, qt.Equals, tc.code)
			qt.Check(t, st.Reason, qt.Equals, tc.reason)
		})
	}
}

// Guards against a score plugin that prefers the worse of two workers.
func TestScores(t *testing.T) {
	opts := Options{InterferenceModel: func(d string) InterferenceModel {
		return sameSlowdown{Mean: map[string]float64{"low": 0.001, "high": 0.1}[d]}
	}}.withDefaults()
	c := &Cycle{Now: epoch, cache: newCache(NewHealthTracker(HealthConfig{})), opts: &opts}
	c.cache.jobs["a"] = &spreadCount{domains: map[string]int{"d1": 2}, racks: map[string]int{"r1": 1}}
	accelerated := size(8)
	accelerated.Accelerators = 1
	for _, tc := range []struct {
		name          string
		plugin        ScorePlugin
		better, worse node
	}{
		{"quick load", quickLoadScore{}, node{info: NodeInfo{QuickLoad: 0.1}}, node{info: NodeInfo{QuickLoad: 0.9}}},
		{"balance", balanceScore{}, node{info: NodeInfo{Capacity: size(8)}, free: size(8)}, node{info: NodeInfo{Capacity: size(8)}, free: size(4)}},
		{"keep accelerators", balanceScore{}, node{info: NodeInfo{Capacity: size(8)}, free: size(8)}, node{info: NodeInfo{Capacity: size(8)}, free: accelerated}},
		{"spread domain", spreadScore{}, node{info: NodeInfo{Domain: "d2", Rack: "r9"}}, node{info: NodeInfo{Domain: "d1", Rack: "r9"}}},
		{"spread rack", spreadScore{}, node{info: NodeInfo{Domain: "d1", Rack: "r2"}}, node{info: NodeInfo{Domain: "d1", Rack: "r1"}}},
		{"interference", interferencePlugin{}, node{info: NodeInfo{QuickKind: "q", Domain: "low"}}, node{info: NodeInfo{QuickKind: "q", Domain: "high"}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			better, worse := tc.plugin.Score(c, task("a", 2, 50), &tc.better), tc.plugin.Score(c, task("a", 2, 50), &tc.worse)
			qt.Check(t, better > worse, qt.IsTrue, qt.Commentf("%.3f against %.3f", better, worse))
		})
	}
}

// Guards against a quota that is not enforced for one of the resources.
func TestQuota(t *testing.T) {
	for _, tc := range []struct {
		use, quota worker.Resources
		reason     string
	}{
		{size(4), worker.Resources{}, ""},
		{size(4), size(4), ""},
		{size(5), worker.Resources{Cores: 4}, "cores over the quota of 4"},
		{size(5), worker.Resources{MemoryMB: 100}, "memory over the quota of 100 MB"},
		{worker.Resources{Accelerators: 2}, worker.Resources{Accelerators: 1}, "accelerators over the quota of 1"},
	} {
		qt.Check(t, overQuota(tc.use, tc.quota), qt.Equals, tc.reason)
	}
}
