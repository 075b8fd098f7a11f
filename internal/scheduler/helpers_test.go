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

var testEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock is a virtual clock.
type virtualClock struct{ now time.Time }

func (c *virtualClock) Now() time.Time { return c.now }

// fleetOf returns n idle workers with the given capacity, in racks of 3 and failure domains of 1,000 workers.
func fleetOf(n int, capacity worker.Resources) []NodeInfo {
	infos := make([]NodeInfo, n)
	for i := range infos {
		infos[i] = NodeInfo{
			ID: fmt.Sprintf("w%05d", i), Incarnation: 1, Domain: fmt.Sprintf("d%d", i/1000), Rack: fmt.Sprintf("r%d", i/3),
			Capacity: capacity, Free: capacity, LatencyCriticalKind: "foot-scan", BackendLoad: float64(i%8) / 10, AgentClock: time.Second,
		}
		for h := range ProjectionHorizons {
			infos[i].ProjectedFree[h] = capacity
		}
	}
	return infos
}

func newTestScheduler(share func(string) TeamShare) (*Scheduler, *virtualClock) {
	clock := &virtualClock{testEpoch}
	return New(Options{Now: clock.Now, TeamShare: share, Seed: 1}), clock
}

func newTask(name string, cores float64, priority int) *TaskInfo {
	return &TaskInfo{
		Ref: worker.Ref{Task: name + "/0", Attempt: 1}, JobID: name, Kind: "plan", Team: "t1", MayProbe: true,
		Need: worker.Resources{Cores: cores, MemoryMB: int64(cores * 1000)}, ExpectedRunTime: time.Hour, Priority: priority, SubmittedAt: testEpoch,
	}
}

func unitOf(t *TaskInfo) *Unit { return &Unit{Key: t.Ref.Task, Tasks: []*TaskInfo{t}} }

func unitsByKey(units []*Unit) map[string]*Unit {
	unitByKey := map[string]*Unit{}
	for _, u := range units {
		unitByKey[u.Key] = u
	}
	return unitByKey
}

// resourcesOf returns the given cores with 4,000 MB of memory per core.
func resourcesOf(cores float64) worker.Resources {
	return worker.Resources{Cores: cores, MemoryMB: int64(cores * 4000)}
}

// panicOnViolation makes invariant violations panic for the duration of the test.
func panicOnViolation(t *testing.T) {
	earlierHandler := invariant.SetHandler(func(v invariant.Violation) { panic(v) })
	t.Cleanup(func() { invariant.SetHandler(earlierHandler) })
}

// TestMain fixes the seed of the property-based tests. The flag -rapid.seed overrides the seed, and -rapid.checks sets the number
// of runs.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "4242", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
