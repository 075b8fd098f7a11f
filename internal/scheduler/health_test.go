package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a worker that is quarantined although only one job failed on it. Also guards against a quarantined worker that
// is never restored.
func TestQuarantineNeedsSeveralJobsAndEndsAfterProbe(t *testing.T) {
	tracker := NewHealthTracker(HealthConfig{})
	now := testEpoch
	for range 20 {
		tracker.RecordResult("w1", "same-job", true, now)
	}
	tracker.UpdateStates(100, now)
	qt.Check(t, tracker.State("w1"), qt.Equals, HealthHealthy)
	for i := range 3 {
		tracker.RecordResult("w1", fmt.Sprint("job", i), true, now)
	}
	tracker.UpdateStates(100, now)
	qt.Check(t, tracker.State("w1"), qt.Equals, HealthQuarantined)
	now = now.Add(31 * time.Second)
	tracker.UpdateStates(100, now)
	qt.Check(t, tracker.State("w1"), qt.Equals, HealthProbation)
	tracker.RecordPlacement("w1", "p/0", now)
	qt.Check(t, tracker.IsProbing("w1"), qt.IsTrue)
	tracker.RecordResult("w1", "probe-job", true, now)
	qt.Check(t, tracker.State("w1"), qt.Equals, HealthQuarantined)
	now = now.Add(61 * time.Second)
	tracker.UpdateStates(100, now)
	tracker.RecordResult("w1", "probe-job-2", false, now)
	tracker.RecordReport("w1", true, now.Add(time.Second)) // a stale report about the failures before the worker was restored
	tracker.UpdateStates(100, now.Add(time.Second))
	qt.Check(t, tracker.State("w1"), qt.Equals, HealthHealthy)
}

// Guards against the quarantine of healthy workers when jobs fail on every worker.
func TestJobAtFaultDoesNotQuarantineWorkers(t *testing.T) {
	tracker := NewHealthTracker(HealthConfig{})
	for j := range 5 {
		for w := range 5 {
			tracker.RecordResult(fmt.Sprint("w", w), fmt.Sprint("bad", j), true, testEpoch)
		}
	}
	tracker.UpdateStates(100, testEpoch)
	qt.Check(t, tracker.JobAtFault("bad0"), qt.IsTrue)
	qt.Check(t, tracker.QuarantinedCount(), qt.Equals, 0)
}

// Guards against the quarantine of more workers than the maximum fraction of the fleet.
func TestQuarantineStaysWithinFleetFraction(t *testing.T) {
	tracker := NewHealthTracker(HealthConfig{})
	for w := range 50 {
		tracker.RecordReport(fmt.Sprint("w", w), true, testEpoch)
	}
	tracker.UpdateStates(50, testEpoch)
	qt.Check(t, tracker.QuarantinedCount(), qt.Equals, 5)
}
