package agent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bamboofork/internal/wire"
)

// Guards against a request that runs twice, or runs after the agent reported that it will never run, for any order of
// arrivals, resolutions and elapsed time.
func TestFenceTableNeverContradictsItself(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(0)
		table := newFenceTable(func() time.Duration { return now })
		until, ran, reportedNotStarted, arrived := wire.DispatchWindow, 0, false, false
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				now += time.Duration(rapid.Int64Range(0, int64(2*wire.RequestRetention)).Draw(t, "pass"))
			case 1:
				arrived = table.recordArrival("a/1", until) == nil
			case 2:
				if arrived && table.markRunning("a/1") == nil {
					ran++
				}
				arrived = false
			case 3:
				if ran == 1 {
					if v, _ := table.resolve("a/1", until); v == wire.VerdictRunning {
						table.recordResult("a/1", wire.Result{Outcome: wire.OutcomeDone})
					}
				}
			case 4:
				v, _ := table.resolve("a/1", until)
				reportedNotStarted = reportedNotStarted || v == wire.VerdictNotStarted
			}
			if ran > 1 || ran > 0 && reportedNotStarted {
				t.Fatalf("ran %d times, reported as not started: %v", ran, reportedNotStarted)
			}
		}
	})
}

// Guards against dropping the record of a request that still runs, and against a verdict of not started for a dispatch window
// that the table no longer covers.
func TestFenceTableRetention(t *testing.T) {
	now := time.Duration(0)
	table := newFenceTable(func() time.Duration { return now })
	qt.Assert(t, table.recordArrival("long/1", wire.DispatchWindow), qt.IsNil)
	qt.Assert(t, table.markRunning("long/1"), qt.IsNil)
	for range 5 {
		now += 2 * wire.RequestRetention
		v, _ := table.resolve("long/1", wire.DispatchWindow)
		qt.Assert(t, v, qt.Equals, wire.VerdictRunning)
	}
	v, _ := table.resolve("forgotten/1", wire.DispatchWindow)
	qt.Assert(t, v, qt.Equals, wire.VerdictUnknown)
	qt.Assert(t, table.recordArrival("forgotten/1", wire.DispatchWindow), qt.Equals, errLate)
}
