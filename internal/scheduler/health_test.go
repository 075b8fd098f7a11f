package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a quarantine on the evidence of a single job, and against a quarantined worker that is never restored.
func TestQuarantineProbeRestore(t *testing.T) {
	h := NewHealthTracker(HealthConfig{})
	now := epoch
	for range 20 {
		h.RecordResult("w1", "same-job", true, now)
	}
	h.Evaluate(100, now)
	qt.Check(t, h.State("w1"), qt.Equals, HealthHealthy)
	for i := range 3 {
		h.RecordResult("w1", fmt.Sprint("job", i), true, now)
	}
	h.Evaluate(100, now)
	qt.Check(t, h.State("w1"), qt.Equals, HealthQuarantined)
	now = now.Add(31 * time.Second)
	h.Evaluate(100, now)
	qt.Check(t, h.State("w1"), qt.Equals, HealthProbation)
	h.RecordPlacement("w1", "p/0", now)
	qt.Check(t, h.Probing("w1"), qt.IsTrue)
	h.RecordResult("w1", "probe-job", true, now)
	qt.Check(t, h.State("w1"), qt.Equals, HealthQuarantined)
	now = now.Add(61 * time.Second)
	h.Evaluate(100, now)
	h.RecordResult("w1", "probe-job-2", false, now)
	h.RecordReport("w1", true, now.Add(time.Second)) // an outdated report from before the restoration
	h.Evaluate(100, now.Add(time.Second))
	qt.Check(t, h.State("w1"), qt.Equals, HealthHealthy)
}

// Guards against a quarantine of healthy workers because of jobs that fail on every worker.
func TestJobAtFault(t *testing.T) {
	h := NewHealthTracker(HealthConfig{})
	for j := range 5 {
		for w := range 5 {
			h.RecordResult(fmt.Sprint("w", w), fmt.Sprint("bad", j), true, epoch)
		}
	}
	h.Evaluate(100, epoch)
	qt.Check(t, h.JobAtFault("bad0"), qt.IsTrue)
	qt.Check(t, h.Quarantined(), qt.Equals, 0)
}

// Guards against a quarantine of more than the maximum fraction of the fleet.
func TestQuarantineCap(t *testing.T) {
	h := NewHealthTracker(HealthConfig{})
	for w := range 50 {
		h.RecordReport(fmt.Sprint("w", w), true, epoch)
	}
	h.Evaluate(50, epoch)
	qt.Check(t, h.Quarantined(), qt.Equals, 5)
}
