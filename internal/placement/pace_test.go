package placement_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/placement"
)

// Guards against attributing a rise in the load from the users of a serving task to a best-effort image on the same worker. An image
// with little interference was kept off most workers because the load of the serving tasks varied.
func TestVariableLoadIsNotAttributedToOtherTasks(t *testing.T) {
	const pressure, cpuFraction = 0.2, 0.2
	f := placement.NewInterference()
	for now := int64(0); now < 30_000; now += 250 {
		load := 0.45 * (1 + 0.5*math.Sin(2*math.Pi*float64(now)/14_000))
		utilisation, bestEffort := load, []placement.BestEffortSample(nil)
		if now%4_000 < 3_000 { // a best-effort task runs for 3 s, then none runs for 1 s
			utilisation, bestEffort = load+pressure*cpuFraction, []placement.BestEffortSample{{Task: "t", Image: "light", CPUFraction: cpuFraction}}
		}
		f.Observe(now, []placement.ServingSample{{Group: "g", Image: "serving",
			LatencyMs: math.Floor(10 / (1 - utilisation)), TargetMs: 50}}, bestEffort)
		if now > 5_000 {
			qt.Assert(t, math.Abs(f.ForecastLoad("g", now)-load) < 0.2, qt.IsTrue,
				qt.Commentf("at %d ms: load %.2f estimated as %.2f", now, load, f.ForecastLoad("g", now)))
		}
	}
	qt.Check(t, f.Pressure("serving", "light") < 0.6, qt.IsTrue, qt.Commentf("%.2f", f.Pressure("serving", "light")))
}

// Guards against best-effort runs that push a serving task over its target although slowing the runs would prevent this. Also guards
// against slowing runs that add little load to the serving task.
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

// Guards against starting best-effort tasks at full speed beside serving tasks when their pair of images has no samples. All such
// serving tasks missed their target until the first samples arrived.
func TestUnknownPairIsSlowedUntilItIsKnown(t *testing.T) {
	serving := []placement.ServingTask{{Image: "serving", TargetMs: 50, Load: 0.6}}
	run := []placement.BestEffortRun{{Task: "t", Image: "new", CPUFraction: 0.11}}
	qt.Check(t, placement.NewInterference().Paces(serving, run)[0].Share < 0.6, qt.IsTrue)
	f := trainedInterference()
	run[0].Image = "light"
	qt.Check(t, f.Paces(serving, run)[0].Share, qt.Equals, 1.0)
}

// Guards against safety margins that keep large jobs waiting in a burst. The larger the backlog of urgent work, the closer serving
// tasks may come to their target.
func TestBacklogRaisesTheUtilisationLimit(t *testing.T) {
	f := placement.NewInterference()
	noBacklog := f.UtilisationLimit("serving", 50)
	f.SetBacklog(1)
	qt.Check(t, f.UtilisationLimit("serving", 50) > noBacklog, qt.IsTrue)
	f.SetBacklog(0)
	qt.Check(t, f.UtilisationLimit("serving", 50), qt.Equals, noBacklog)
}
