package delaycost

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against an owner that runs out of memory because it keeps the names of images of which it has learned run times, after their jobs
// have ended. The number of kinds is bounded, but callers choose how long a name is.
func TestLongNamesOfKindsAreNotKept(t *testing.T) {
	name := func(i int) string { return fmt.Sprintf("%08d%s", i, strings.Repeat("x", 100_000)) }
	liveHeap := func() int64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	times, tails := NewRunTimes(), NewTails()
	before := liveHeap()
	for i := range 2 * maxKinds {
		times.Observe(name(i), 1000, 3000)
		tails.Observe(name(i), 10, 1000, 2000)
	}
	grown := liveHeap() - before
	qt.Check(t, grown < 1<<20, qt.IsTrue, qt.Commentf("the heap has grown by %d bytes", grown))
	expectedMs, _ := times.Expect(name(0), 1000)
	qt.Check(t, expectedMs > 1000, qt.IsTrue, qt.Commentf("what was learned of a long name counts"))
	qt.Check(t, tails.Expect(name(0), 10) > 1, qt.IsTrue)
	other, _ := times.Expect(name(-1), 1000)
	qt.Check(t, other, qt.Equals, 1000.0)
	runtime.KeepAlive(times)
	runtime.KeepAlive(tails)
}
