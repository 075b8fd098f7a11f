package deployed

import (
	"flag"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"bamboofork/platform/standin"
)

var (
	failingFirst = flag.Uint64("failing-first", 0, "first seed of the tests of lasting jobs that fail")
	failingSeeds = flag.Uint64("failing-seeds", 6, "number of seeds of the tests of lasting jobs that fail")
)

// Guards against jobs that wait beside idle workers because lasting jobs of another caller fail again and again: their failures
// quarantined every worker, and the starts of the workers on probation went to tasks that were about to fail.
func TestJobsStartBesideLastingJobsThatFail(t *testing.T) {
	for seed := *failingFirst; seed < *failingFirst+*failingSeeds; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newVirtualFleet(t, seed)
				defer f.close()
				failing := f.startFailingJobs(standin.WorkerFaults{})
				f.checkShortJobsStart(0, 15, func() {
					for _, id := range failing {
						if idle := time.Since(f.checker.LastStartTime(id)); idle > restartLimit {
							t.Errorf("no task of %s has been started again for %s", id, idle)
						}
					}
				})
			})
		})
	}
}

// Guards against a quarantine that jobs at fault switch off: a worker that fails all its runs would attract the work of the fleet.
func TestFaultyWorkerIsAvoidedBesideLastingJobsThatFail(t *testing.T) {
	for seed := *failingFirst; seed < *failingFirst+*failingSeeds; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newVirtualFleet(t, seed)
				defer f.close()
				f.startFailingJobs(standin.WorkerFaults{FailAllRuns: true})
				f.checkShortJobsStart(0, 8, func() {}) // two of them have to fail on the worker
				startsBefore, since := f.hosts[0].worker.StartedRunCount(), time.Now()
				f.checkShortJobsStart(8, 15, func() {})
				limit := int(time.Since(since)/time.Second) + 1 // on probation, a worker gets one task at a time
				if starts := f.hosts[0].worker.StartedRunCount() - startsBefore; starts > limit {
					t.Errorf("%d starts on the faulty worker, want at most %d", starts, limit)
				}
			})
		})
	}
}

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

// Guards against jobs that wait because the tasks of another job hang: a worker on which nothing else ran counted as stalled, so that such
// a job quarantined the whole fleet.
func TestJobsStartBesideAJobWhoseTasksHang(t *testing.T) {
	for seed := *failingFirst; seed < *failingFirst+*failingSeeds; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newVirtualFleet(t, seed)
				defer f.close()
				const id = "a000000000000f00"
				for _, m := range f.hosts {
					m.worker.SetFaults(standin.WorkerFaults{HangingJobs: map[string]bool{id: true}})
				}
				time.Sleep(2 * time.Second)
				body := fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":2000,"mem_mb":100,"estimate_ms":%d}]}`, (2+f.rng.IntN(3))*virtualHosts, 300+f.rng.IntN(3000))
				if code, answer := f.request(f.entries[0], http.MethodPost, id, body); code != http.StatusOK {
					t.Fatal(code, answer)
				}
				f.checkShortJobsStart(0, 15, func() {})
				if len(f.ownerLines("starts_limited")) > 0 {
					t.Error("workers were quarantined")
				}
			})
		})
	}
}

// startFailingJobs hands in two to four lasting jobs whose tasks fail on each worker, and returns their ids. The first worker has the
// given faults too.
func (f *virtualFleet) startFailingJobs(faultsOfFirst standin.WorkerFaults) []string {
	failing := map[string]time.Duration{}
	var ids []string
	for i := range 2 + f.rng.IntN(3) {
		ids = append(ids, fmt.Sprintf("b%015x", 0xf00+i))
		failing[ids[i]] = f.between(200*time.Millisecond, 4*time.Second)
	}
	f.setFailingJobs(failing, faultsOfFirst)
	for _, id := range ids {
		f.startLastingJob(id, 1+f.rng.IntN(virtualHosts), f.chance(0.5))
	}
	return ids
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
	if code, answer := f.request(f.entries[0], http.MethodPost, id, standin.LastingJob(tasks, isApart)); code != http.StatusOK {
		f.t.Fatal(code, answer)
	}
}

// checkShortJobsStart hands in so many short jobs, one each second, and calls check after each. Each job must start within idleLimit. The
// jobs are numbered from first on.
func (f *virtualFleet) checkShortJobsStart(first, count int, check func()) {
	for i := first; i < first+count; i++ {
		id := fmt.Sprintf("a%015x", 0xa00+i)
		submittedAt := time.Now()
		if code, answer := f.request(f.entries[0], http.MethodPost, id, `{"spec":"x","steps":[{"count":2,"cpu":2000,"mem_mb":100,"estimate_ms":300}]}`); code != http.StatusOK {
			f.t.Fatal(code, answer)
		}
		for f.checker.LastStartTime(id).IsZero() && time.Since(submittedAt) < idleLimit {
			time.Sleep(50 * time.Millisecond)
		}
		if f.checker.LastStartTime(id).IsZero() {
			f.t.Errorf("short job %d has no run %s after it was handed in", i, time.Since(submittedAt))
		}
		time.Sleep(time.Until(submittedAt.Add(time.Second)))
		check()
	}
}
