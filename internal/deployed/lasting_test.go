package deployed

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"bamboofork/internal/app"
	"bamboofork/platform/standin"
)

// Guards against a perpetual task that stays away for the whole hold after its worker has said that it ends: the host was removed while
// there was no owner, so that only the agent of the removed host knew of the end.
func TestTaskOfARemovedHostIsRestartedByTheNextOwner(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playRemovedHost(t, seed) })
		})
	}
}

const (
	lastingJob   = "b000000000000001"
	lastingTasks = 12
)

// lastingBody is the description of lastingJob.
var lastingBody = fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":2000,"mem_mb":100,"estimate_ms":300,"perpetual":true}]}`, lastingTasks)

// newLastingFleet returns a fleet on which the perpetual tasks of lastingJob run.
func newLastingFleet(t *testing.T, seed uint64) *virtualFleet {
	f := newVirtualFleet(t, seed)
	time.Sleep(2 * time.Second)
	if code, answer := f.request(f.entries[0], http.MethodPost, lastingJob, lastingBody); code != http.StatusOK {
		t.Fatal(code, answer)
	}
	time.Sleep(2 * time.Second)
	if running := f.checker.RunningTaskCount(lastingJob); running != lastingTasks {
		t.Fatalf("%d of %d tasks run", running, lastingTasks)
	}
	return f
}

// otherHost returns a host that is not the owner's.
func (f *virtualFleet) otherHost() *virtualMachine {
	if f.hosts[0] == f.owner() {
		return f.hosts[1]
	}
	return f.hosts[0]
}

// awaitLastingTasks waits until all perpetual tasks run, and fails the test if that takes longer than the limit.
func (f *virtualFleet) awaitLastingTasks(limit time.Duration) {
	since := time.Now()
	for f.checker.RunningTaskCount(lastingJob) < lastingTasks && time.Since(since) < 3*limit {
		time.Sleep(50 * time.Millisecond)
	}
	if took := time.Since(since); took > limit {
		f.t.Errorf("all tasks run after %s, want %s", took, limit)
	}
}

// restartLimit is the time since its last run from which the operators count a perpetual task as missing.
const restartLimit = 6 * time.Second

func playRemovedHost(t *testing.T, seed uint64) {
	f := newLastingFleet(t, seed)
	defer f.close()
	owner, removed := f.owner(), f.otherHost()
	f.isolate(owner)
	f.endWorker(removed)
	removed.worker.Unregister(f.client, removed.cfg.Listen.Registrations)
	time.Sleep(300 * time.Millisecond)
	f.stop(removed)
	if f.checker.RunningTaskCount(lastingJob) == lastingTasks {
		t.Fatal("no task ran on the removed host")
	}
	f.awaitLastingTasks(restartLimit)
}

// Guards against tasks that are started twice, or not at all, because the agent of their worker came back at another address.
func TestAgentAtAnotherAddressKeepsItsRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLastingFleet(t, 1)
		defer f.close()
		moved := f.otherHost()
		starts := f.checker.StartCount()
		moved.stopRegister()
		f.kill(moved, true)
		time.Sleep(time.Second)
		const ip = "10.0.0.99"
		moved.ip, moved.cfg.Listen.Peers, moved.cfg.Listen.Registrations, moved.cfg.Listen.Metrics = ip, ip+":7000", ip+":7001", ip
		f.launch(moved)
		ctx, cancel := context.WithCancel(context.Background())
		moved.stopRegister = cancel
		f.wg.Go(func() {
			app.Every(ctx, 200*time.Millisecond, func() { moved.worker.Register(f.client, ip+":7001", moved.cfg.Worker) })
		})
		time.Sleep(20 * time.Second)
		if f.checker.StartCount() != starts || f.checker.RunningTaskCount(lastingJob) != lastingTasks {
			t.Errorf("%d starts, want %d; %d tasks run", f.checker.StartCount(), starts, f.checker.RunningTaskCount(lastingJob))
		}
		moved.worker.Crash()
		f.awaitLastingTasks(restartLimit)
	})
}

// Guards against perpetual tasks that stay away while a worker goes down and up by turns.
func TestTasksOfAFlappingWorkerAreRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLastingFleet(t, 2)
		defer f.close()
		flapping := f.otherHost()
		for range 8 {
			flapping.worker.Crash()
			f.awaitLastingTasks(restartLimit)
			time.Sleep(f.between(100*time.Millisecond, 2*time.Second))
		}
		if violations := f.checker.Violations(); len(violations) > 0 {
			t.Error(violations)
		}
	})
}

// Guards against perpetual tasks that stay away for a hold because their worker ended for good while its agent was away: the next agent
// process never heard of the worker and had nothing to report.
func TestTasksOfAWorkerThatEndsWithoutItsAgentAreRestarted(t *testing.T) {
	for name, changesOwner := range map[string]bool{"same owner": false, "another owner": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLastingFleet(t, 1)
				defer f.close()
				owner, m := f.owner(), f.otherHost()
				f.kill(m, false)
				f.endWorker(m)
				time.Sleep(300 * time.Millisecond)
				f.launch(m)
				if changesOwner {
					f.kill(owner, false)
				}
				f.awaitLastingTasks(restartLimit)
			})
		})
	}
}

// Guards against tasks that wait for as long as their worker is silent: the agent had started again and no owner had granted it a hold yet,
// so that it took the runs that it found for held without an end, and its reports confirmed them.
func TestTasksOfASilentWorkerAreRestartedAfterARestartOfItsAgent(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLastingFleet(t, seed)
				defer f.close()
				owner, silent := f.owner(), f.otherHost()
				f.isolate(owner)
				f.kill(silent, false)
				f.launch(silent)
				time.Sleep(700 * time.Millisecond)
				silent.worker.SetFaults(standin.WorkerFaults{Unresponsive: true})
				f.awaitLapse()
				f.awaitLastingTasks(restartLimit)
				if violations := f.checker.Violations(); len(violations) > 0 {
					t.Error(violations)
				}
			})
		})
	}
}

// awaitLapse waits until the worker of a perpetual task has ended it because its hold has expired.
func (f *virtualFleet) awaitLapse() {
	for since := time.Now(); f.checker.RunningTaskCount(lastingJob) == lastingTasks; time.Sleep(50 * time.Millisecond) {
		if time.Since(since) > virtualHoldMs*time.Millisecond {
			f.t.Fatal("no hold expires")
		}
	}
}

// Guards against a new owner that waits for the answer to a call of a past outage of the store, for as long as it allows for reading the
// whole log, while nothing is accepted and nothing starts.
func TestRecoveryGoesOnWhenTheStoreReturns(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playSilentRecovery(t, seed) })
		})
	}
}

// recoveryLimit is the time after the return of the store in which a recovery has to be completed.
const recoveryLimit = 2 * time.Second

func playSilentRecovery(t *testing.T, seed uint64) {
	f := newLastingFleet(t, seed)
	defer f.close()
	previous := f.owner()
	f.kill(previous, false)
	for name := previous.cfg.Name; name == previous.cfg.Name || name == ""; name = f.store.OwnerName() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(f.between(0, 6*time.Millisecond))
	setFaults := func(faults standin.StoreFaults) {
		for _, m := range f.machines() {
			m.endpoint.SetFaults(faults)
		}
	}
	setFaults(standin.StoreFaults{Unresponsive: true})
	time.Sleep(4500 * time.Millisecond)
	setFaults(standin.StoreFaults{})
	since := time.Now()
	for code, i := 0, 0; code != http.StatusOK; i++ {
		body := `{"spec":"x","steps":[{"count":1,"cpu":2000,"mem_mb":100,"estimate_ms":300}]}`
		code, _ = f.request(f.entries[0], http.MethodPost, fmt.Sprintf("a%015x", i), body)
		time.Sleep(10 * time.Millisecond)
	}
	if took := time.Since(since); took > recoveryLimit {
		t.Errorf("a job is accepted after %s, want %s", took, recoveryLimit)
	}
}
