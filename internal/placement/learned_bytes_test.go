package placement_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/placement"
	"bamboofork/internal/store"
)

// imageNames are ways in which callers may choose the names of images, all of them different.
var imageNames = map[string]func(i int) string{
	"short":             func(i int) string { return fmt.Sprint("image-", i) },
	"long":              func(i int) string { return fmt.Sprintf("%08d%s", i, strings.Repeat("x", 20_000)) },
	"longest of a body": func(i int) string { return fmt.Sprintf("%08d%s", i, strings.Repeat("x", 260_000)) },
	"escaped":           func(i int) string { return fmt.Sprintf("%08d%s", i, strings.Repeat("\x01", 5_000)) },
}

// Guards against an owner that runs out of memory because it keeps each image that callers have ever named (review/11), and against a model
// that does not fit into a value of the store.
func TestWhatIsLearnedOfImagesStaysWithinItsBudget(t *testing.T) {
	for name, image := range imageNames {
		t.Run(name, func(t *testing.T) {
			images := min(2_000, 40_000_000/len(image(0))) // far more than the budget
			f := placement.NewInterference()
			_, budget := f.LearnedBytes()
			before := liveHeap()
			for i := range images {
				serving, bestEffort := image(i), image(i+images)
				f.UtilisationLimit(serving, 100)
				f.Observe(int64(i)*100, []placement.ServingSample{{Task: "s", Group: "g", Image: serving, LatencyMs: 40, TargetMs: 100}},
					[]placement.BestEffortSample{{Task: "b", Image: bestEffort, CPUFraction: 0.5}, {Task: "c", Image: "often", CPUFraction: 0.2}})
				if used, _ := f.LearnedBytes(); used > budget {
					t.Fatalf("%d bytes after %d images, the budget is %d", used, i, budget)
				}
			}
			grown := liveHeap() - before
			qt.Check(t, grown < 2*budget, qt.IsTrue, qt.Commentf("the heap has grown by %d bytes", grown))
			data, err := f.Encode()
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, int64(len(data)) <= budget+1_000, qt.IsTrue, qt.Commentf("%d bytes encoded", len(data)))
			qt.Check(t, len(data) <= store.MaxValueBytes, qt.IsTrue)
		})
	}
}

// liveHeap returns the bytes on the heap after a collection.
func liveHeap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Guards against images in use whose interference has to be learned again, because names that are used once have taken the budget.
func TestLearnedImagesInUseOutlastOthers(t *testing.T) {
	f := trainedInterference()
	heavy, limit := f.Pressure("serving", "heavy"), f.UtilisationLimit("serving", 50)
	for i := range 20_000 {
		f.Observe(40_000, []placement.ServingSample{{Task: "s", Group: "g", Image: imageNames["short"](i), LatencyMs: 40, TargetMs: 100}},
			[]placement.BestEffortSample{{Task: "b", Image: imageNames["short"](i + 1), CPUFraction: 0.5}})
		qt.Assert(t, f.Pressure("serving", "heavy"), qt.Equals, heavy)
	}
	qt.Check(t, f.UtilisationLimit("serving", 50), qt.Equals, limit)
	used, budget := f.LearnedBytes()
	qt.Check(t, used > budget/2, qt.IsTrue)
	f.SetLearnedBudget(budget / 4)
	used, _ = f.LearnedBytes()
	qt.Check(t, used <= budget/4, qt.IsTrue)
	qt.Check(t, f.Pressure("serving", "heavy"), qt.Equals, heavy)
}
