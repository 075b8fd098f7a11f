package agent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bamboofork/internal/wire"
)

// Guards against a request that runs twice, and against a request that runs after the agent has reported that the request will
// never run. The test tries random orders of arrivals, results, queries and elapsed time.
func TestFenceTableNeverContradictsItself(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(0)
		table := newFenceTable(func() time.Duration { return now })
		validUntil, runCount, wasReportedNotStarted, hasArrived := wire.DispatchWindow, 0, false, false
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				now += time.Duration(rapid.Int64Range(0, int64(2*wire.RequestRetention)).Draw(t, "pass"))
			case 1:
				hasArrived = table.recordArrival("a/1", validUntil) == nil
			case 2:
				if hasArrived && table.markRunning("a/1") == nil {
					runCount++
				}
				hasArrived = false
			case 3:
				if runCount == 1 {
					if v, _ := table.resolve("a/1", validUntil); v == wire.VerdictRunning {
						table.recordResult("a/1", wire.Result{Outcome: wire.OutcomeDone})
					}
				}
			case 4:
				v, _ := table.resolve("a/1", validUntil)
				wasReportedNotStarted = wasReportedNotStarted || v == wire.VerdictNotStarted
			}
			if runCount > 1 || runCount > 0 && wasReportedNotStarted {
				t.Fatalf("ran %d times, reported as not started: %v", runCount, wasReportedNotStarted)
			}
		}
	})
}

// Guards against dropping the record of a request that is still running. The table must also not report a request as not started
// if it no longer covers the time in which the request could have arrived.
func TestFenceTableKeepsUnfinishedRequests(t *testing.T) {
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
