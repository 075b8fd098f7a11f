package placement_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/placement"
)

// Guards against attributing a rise in a serving task's own load to a best-effort image beside it: an image with little
// interference was kept off most workers because the load of the serving tasks varied.
func TestVariableLoadIsNotAttributedToOtherTasks(t *testing.T) {
	const pressure, share = 0.2, 0.2
	f := placement.NewInterference()
	for now := int64(0); now < 30_000; now += 250 {
		load := 0.45 * (1 + 0.5*math.Sin(2*math.Pi*float64(now)/14_000))
		utilisation, bestEffort := load, []placement.BestEffortSample(nil)
		if now%4_000 < 3_000 { // a task of 3 s, then a pause of 1 s
			utilisation, bestEffort = load+pressure*share, []placement.BestEffortSample{{Task: "t", Image: "light", CPUFraction: share}}
		}
		f.Observe(now, []placement.ServingSample{{Group: "g", Image: "serving",
			LatencyMs: math.Floor(10 / (1 - utilisation)), TargetMs: 50}}, bestEffort)
		if now > 5_000 {
			qt.Assert(t, math.Abs(f.Load("g", now)-load) < 0.2, qt.IsTrue,
				qt.Commentf("at %d ms: load %.2f estimated as %.2f", now, load, f.Load("g", now)))
		}
	}
	qt.Check(t, f.Pressure("serving", "light") < 0.6, qt.IsTrue, qt.Commentf("%.2f", f.Pressure("serving", "light")))
}

// Guards against best-effort runs that push a serving task over its target although slowing them would prevent it, and
// against slowing runs that do not contribute.
func TestPacesKeepServingTasksWithinTheirTarget(t *testing.T) {
	f := trainedInterference()
	serving := []placement.ServingTask{{Image: "serving", TargetMs: 50, Load: 0.5}}
	runs := []placement.BestEffortRun{{Task: "h", Image: "heavy", CPUFraction: 0.12}, {Task: "l", Image: "light", CPUFraction: 0.12}}
	paces := f.Paces(serving, runs)
	utilisation := 0.5
	for i, r := range runs {
		utilisation += f.Pressure("serving", r.Image) * r.CPUFraction * paces[i].Share
	}
	qt.Check(t, utilisation < 0.8, qt.IsTrue, qt.Commentf("utilisation %.2f at paces %v", utilisation, paces))
	qt.Check(t, paces[0].Share < 0.7, qt.IsTrue, qt.Commentf("%v", paces))
	qt.Check(t, paces[1].Share, qt.Equals, 1.0)
	qt.Check(t, f.Paces([]placement.ServingTask{{Image: "serving", TargetMs: 50, Load: 0.05}}, runs), qt.DeepEquals,
		[]placement.Pace{{Share: 1}, {Share: 1}})
}

// Guards against starting best-effort tasks of an unknown pair at full speed: all serving tasks beside them missed their
// target until the first samples arrived.
func TestUnknownPairIsSlowedUntilItIsKnown(t *testing.T) {
	serving := []placement.ServingTask{{Image: "serving", TargetMs: 50, Load: 0.6}}
	run := []placement.BestEffortRun{{Task: "t", Image: "new", CPUFraction: 0.11}}
	qt.Check(t, placement.NewInterference().Paces(serving, run)[0].Share < 0.6, qt.IsTrue)
	f := trainedInterference()
	run[0].Image = "light"
	qt.Check(t, f.Paces(serving, run)[0].Share, qt.Equals, 1.0)
}

// Guards against caution that keeps large jobs waiting in a burst: the larger the backlog of urgent work, the closer serving
// tasks may come to their target.
func TestBacklogLowersTheCaution(t *testing.T) {
	f := placement.NewInterference()
	noBacklog := f.Limit("serving", 50)
	f.SetBacklog(1)
	qt.Check(t, f.Limit("serving", 50) > noBacklog, qt.IsTrue)
	f.SetBacklog(0)
	qt.Check(t, f.Limit("serving", 50), qt.Equals, noBacklog)
}
