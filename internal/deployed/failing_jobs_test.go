package deployed

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"bamboofork/platform/standin"
)

// Guards against a lasting job that takes the capacity of the store and the owner: its tasks failed soon after each start and were started
// again at once, dozens of times a second.
func TestTaskThatFailsAtOnceIsRestartedWithADelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVirtualFleet(t, 1)
		defer f.close()
		const id, length = "b000000000000f00", 20 * time.Second
		f.setFailingJobs(map[string]time.Duration{id: time.Millisecond}, standin.WorkerFaults{})
		f.startLastingJob(id, virtualHosts, true)
		time.Sleep(length)
		if starts := f.checker.StartCount(); starts > int(length/time.Second)*virtualHosts {
			t.Errorf("%d starts of %d tasks in %s", starts, virtualHosts, length)
		}
		if idle := time.Since(f.checker.LastStartTime(id)); idle > restartLimit {
			t.Errorf("no task has been started again for %s", idle)
		}
	})
}

// setFailingJobs lets the runs of the given jobs fail on all workers, each so long after its start. The first worker has the given faults
// too.
func (f *virtualFleet) setFailingJobs(failing map[string]time.Duration, faultsOfFirst standin.WorkerFaults) {
	for _, m := range f.hosts {
		m.worker.SetFaults(standin.WorkerFaults{FailingJobs: failing})
	}
	faultsOfFirst.FailingJobs = failing
	f.hosts[0].worker.SetFaults(faultsOfFirst)
	time.Sleep(2 * time.Second) // until the fleet serves
}

// startLastingJob hands in a lasting job. With isApart, each worker takes one of its tasks.
func (f *virtualFleet) startLastingJob(id string, tasks int, isApart bool) {
	apart := ""
	if isApart {
		apart = `,"anti_affinity":1`
	}
	body := fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":1000,"mem_mb":100,"estimate_ms":300,"perpetual":true%s}]}`, tasks, apart)
	if code, answer := f.request(f.entries[0], http.MethodPost, id, body); code != http.StatusOK {
		f.t.Fatal(code, answer)
	}
}
