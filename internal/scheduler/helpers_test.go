package scheduler

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"bamboofork/internal/invariant"
	"bamboofork/internal/worker"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock is a virtual clock.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func fleetOf(n int, capacity worker.Resources) []NodeInfo {
	out := make([]NodeInfo, n)
	for i := range out {
		out[i] = NodeInfo{
			ID: fmt.Sprintf("w%05d", i), Incarnation: 1, Domain: fmt.Sprintf("d%d", i/1000), Rack: fmt.Sprintf("r%d", i/3),
			Capacity: capacity, Free: capacity, QuickKind: "foot-scan", QuickLoad: float64(i%8) / 10, Clock: time.Second,
		}
		for h := range ProjectionHorizons {
			out[i].ProjectedFree[h] = capacity
		}
	}
	return out
}

func newTest(share func(string) TeamShare) (*Scheduler, *clock) {
	c := &clock{epoch}
	return New(Options{Now: c.Now, TeamShare: share, Seed: 1}), c
}

func task(name string, cores float64, priority int) *TaskInfo {
	return &TaskInfo{
		Ref: worker.Ref{Task: name + "/0", Attempt: 1}, JobID: name, Kind: "plan", Team: "t1", MayProbe: true,
		Need: worker.Resources{Cores: cores, MemoryMB: int64(cores * 1000)}, ExpectedRunTime: time.Hour, Priority: priority, Submitted: epoch,
	}
}

func unit(t *TaskInfo) *Unit { return &Unit{Key: t.Ref.Task, Tasks: []*TaskInfo{t}} }

func unitsByKey(units []*Unit) map[string]*Unit {
	out := map[string]*Unit{}
	for _, u := range units {
		out[u.Key] = u
	}
	return out
}

func size(cores float64) worker.Resources {
	return worker.Resources{Cores: cores, MemoryMB: int64(cores * 4000)}
}

// panicOnViolation makes invariant violations panic for the duration of the test.
func panicOnViolation(t *testing.T) {
	old := invariant.SetHandler(func(v invariant.Violation) { panic(v) })
	t.Cleanup(func() { invariant.SetHandler(old) })
}

// TestMain fixes the seed of property-based tests; the flag -rapid.seed overrides it, and -rapid.checks sets their number of
// runs.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "4242", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
