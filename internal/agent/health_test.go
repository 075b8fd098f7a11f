package agent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestWorkerHealth guards against a worker that is quarantined for ever, for the failures of a single job, or not at
// all.
func TestWorkerHealth(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	var h workerHealth
	for range 2 * endsRemembered {
		h.note("a/0", true, now)
	}
	c.Assert(h.failing(now), qt.IsFalse) // one job only
	h.note("b/0", true, now)
	c.Assert(h.failing(now), qt.IsTrue)
	now = now.Add(probeAfter)
	c.Assert(h.failing(now), qt.IsFalse) // the probe
	h.note("c/0", true, now)
	c.Assert(h.failing(now.Add(probeAfter)), qt.IsTrue) // the wait has doubled
	now = now.Add(2 * probeAfter)
	c.Assert(h.failing(now), qt.IsFalse)
	h.note("d/0", false, now)
	c.Assert(h.failing(now), qt.IsFalse)
	c.Assert(h.wait, qt.Equals, time.Duration(0))
}
