package deployed

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/platform/standin"
)

// Guards against an uncertain outcome for requests with a short deadline. The entry used to reserve 250 ms of the remaining
// time for the return of the response, so it abandoned such requests at once although the owner responds within milliseconds
// (incident inc-46f6).
func TestRequestWithShortDeadlineIsAnswered(t *testing.T) {
	f := newFleet(t, 2)
	for i, remaining := range []string{"900", "240", "160"} {
		id := fmt.Sprintf("%016x", 0xee00+i)
		req, err := http.NewRequest(http.MethodPost, f.entryURL+standin.QueuePrefix+id, strings.NewReader(standin.OneStepJob))
		qt.Assert(t, err, qt.IsNil)
		req.Host = standin.QueueHost
		req.Header.Set(standin.DeadlineHeader, remaining)
		resp, err := f.client.Do(req)
		qt.Assert(t, err, qt.IsNil)
		resp.Body.Close()
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s ms remaining", remaining))
	}
}

// Guards against tasks that are lost or run twice when nothing fails.
func TestAllTasksRunOnceWithoutFaults(t *testing.T) {
	f := newFleet(t, 3)
	ids := f.submit("aa", 12, standin.TwoStepJob)
	qt.Assert(t, ids, qt.HasLen, 12)
	f.waitCompleted(ids, 10*time.Second)
	qt.Check(t, f.checker.StartCount(), qt.Equals, 12*7)
	code, _ := f.request(http.MethodGet, "00000000000000ff", "")
	qt.Check(t, code, qt.Equals, http.StatusGone)
	code, body := f.request(http.MethodGet, "", "")
	qt.Check(t, code, qt.Equals, http.StatusOK)
	qt.Check(t, body, qt.Equals, `{"pending":0}`)
}

// Guards against lost jobs and tasks that run twice when the job owner shuts down. Also guards against a takeover that waits for
// the lease to expire although the owner has resigned.
func TestOwnerShutdownLosesNoJobs(t *testing.T) {
	f := newFleet(t, 3)
	ids := f.submit("bb", 6, standin.TwoStepJob)
	firstOwnerIndex := f.ownerIndex()
	qt.Assert(t, firstOwnerIndex >= 0, qt.IsTrue)
	f.hosts[firstOwnerIndex].stop()
	stoppedAt := time.Now()
	f.eventually("a successor", 5*time.Second, func() bool { o := f.ownerIndex(); return o >= 0 && o != firstOwnerIndex })
	qt.Check(t, time.Since(stoppedAt) < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("took %s", time.Since(stoppedAt)))
	ids = append(ids, f.submit("bc", 6, standin.TwoStepJob)...)
	qt.Assert(t, ids, qt.HasLen, 12)
	f.waitCompleted(ids, 15*time.Second)
}

// Guards against two active job owners. The store rejects the calls of the owner's host only, so the owner's lease expires.
// Another host takes over while the previous owner is still connected to the agents and the entry.
func TestOwnerWithoutStoreAccessIsReplaced(t *testing.T) {
	f := newFleet(t, 3)
	ids := f.submit("cc", 6, standin.TwoStepJob)
	firstOwnerIndex := f.ownerIndex()
	f.hosts[firstOwnerIndex].store.SetFaults(standin.StoreFaults{Unavailable: true})
	f.eventually("a successor", 8*time.Second, func() bool { o := f.ownerIndex(); return o >= 0 && o != firstOwnerIndex })
	ids = append(ids, f.submit("cd", 6, standin.TwoStepJob)...)
	f.hosts[firstOwnerIndex].store.SetFaults(standin.StoreFaults{})
	qt.Assert(t, ids, qt.HasLen, 12)
	f.waitCompleted(ids, 15*time.Second)
}

// Guards against accepted jobs that are lost in a store outage. Also guards against a request during the outage that is reported
// as accepted, or as not run, although its outcome is not certain.
func TestStoreOutageLosesNoAcceptedJobs(t *testing.T) {
	f := newFleet(t, 3)
	ids := f.submit("dd", 4, standin.TwoStepJob)
	processes := append([]*testProcess{f.front}, f.hosts...)
	for _, p := range processes {
		p.store.SetFaults(standin.StoreFaults{Unresponsive: true})
	}
	code, _ := f.request(http.MethodPost, "dddddddd00000001", standin.TwoStepJob)
	qt.Check(t, code == http.StatusGatewayTimeout || code == http.StatusServiceUnavailable, qt.IsTrue, qt.Commentf("status %d", code))
	time.Sleep(3 * time.Second)
	for _, p := range processes {
		p.store.SetFaults(standin.StoreFaults{})
	}
	ids = append(ids, f.submit("de", 4, standin.TwoStepJob)...)
	qt.Assert(t, ids, qt.HasLen, 8)
	f.waitCompleted(ids, 20*time.Second)
}

// Guards against duplicate or lost state transitions of jobs when the store loses responses and applies writes late.
func TestLostResponsesAndLateWritesKeepJobState(t *testing.T) {
	f := newFleet(t, 3)
	for _, p := range append([]*testProcess{f.front}, f.hosts...) {
		p.store.SetFaults(standin.StoreFaults{LostResponseRatio: 0.3})
	}
	ids := f.submit("ee", 5, standin.TwoStepJob)
	for _, p := range f.hosts {
		p.store.SetFaults(standin.StoreFaults{LostResponseRatio: 0.3, ApplyDelay: 400 * time.Millisecond})
	}
	ids = append(ids, f.submit("ef", 5, standin.TwoStepJob)...)
	for _, p := range f.hosts {
		p.store.SetFaults(standin.StoreFaults{})
	}
	qt.Assert(t, ids, qt.HasLen, 10)
	f.waitCompleted(ids, 20*time.Second)
}

// Guards against tasks that start twice when a worker sends no response to a command and executes the command after later
// commands. Also guards against starts beyond the worker's capacity: a start without a response must be counted too.
func TestLateWorkerCommandsStartNoTaskTwice(t *testing.T) {
	f := newFleet(t, 3)
	for _, w := range f.workers {
		w.SetFaults(standin.WorkerFaults{DelayedRatio: 0.3, ExecutionDelay: 700 * time.Millisecond})
	}
	ids := f.submit("ff", 10, standin.TwoStepJob)
	qt.Assert(t, ids, qt.HasLen, 10)
	f.waitCompleted(ids, 20*time.Second)
}

// Guards against runs that are not repeated after their worker has crashed, for example because the agent does not detect the
// restart of the worker.
func TestRunsAreRepeatedAfterWorkerCrash(t *testing.T) {
	f := newFleet(t, 3)
	ids := f.submit("ab", 10, standin.TwoStepJob)
	for _, w := range f.workers {
		w.Crash()
		time.Sleep(150 * time.Millisecond)
	}
	qt.Assert(t, ids, qt.HasLen, 10)
	for _, id := range ids {
		f.eventually("job "+id+" is completed", 15*time.Second, func() bool { return f.jobState(id) == "completed" })
	}
}

// Guards against a restarted agent that starts runs again although its previous incarnation had already started them.
func TestRestartedAgentRepeatsNoRuns(t *testing.T) {
	f := newFleet(t, 3)
	ids := f.submit("ac", 6, standin.OneStepJob)
	for i := range f.hosts {
		if i == f.ownerIndex() {
			continue
		}
		previous := f.hosts[i]
		previous.stop()
		restarted := &testProcess{process: &process{cfg: previous.cfg, isAgent: true, network: previous.network, log: previous.log, metrics: previous.metrics,
			incarnation: previous.incarnation + "-2"}, store: previous.store}
		f.restart(restarted)
		break
	}
	f.waitCompleted(ids, 15*time.Second)
}

// Guards against tasks that start after their job was cancelled, and against a lost cancellation.
func TestCancelledJobStartsNoFurtherTasks(t *testing.T) {
	f := newFleet(t, 2)
	ids := f.submit("ad", 1, standin.FanOutJob)
	code, _ := f.request(http.MethodDelete, ids[0], "")
	qt.Assert(t, code, qt.Equals, http.StatusOK)
	time.Sleep(500 * time.Millisecond)
	startsAfterCancel := f.checker.StartCount()
	time.Sleep(500 * time.Millisecond)
	qt.Check(t, f.checker.StartCount(), qt.Equals, startsAfterCancel)
	qt.Check(t, f.jobState(ids[0]), qt.Equals, "cancelled")
}

// Guards against two job owners when the store revokes the owner's lease early and removes the owner key. The owner has to detect
// the removal.
func TestOwnerDetectsRevokedKey(t *testing.T) {
	f := newFleet(t, 3)
	ids := f.submit("ae", 4, standin.TwoStepJob)
	f.store.RevokeLeases()
	f.store.Compact()
	ids = append(ids, f.submit("af", 4, standin.TwoStepJob)...)
	qt.Assert(t, ids, qt.HasLen, 8)
	f.waitCompleted(ids, 15*time.Second)
}

// Guards against wrong status codes for malformed jobs, repeated submissions, unknown jobs and unknown queues.
func TestStatusCodesOfInvalidAndRepeatedRequests(t *testing.T) {
	f := newFleet(t, 1)
	for _, c := range []struct {
		method, id, body string
		want             int
	}{
		{http.MethodPost, "zz", standin.TwoStepJob, http.StatusBadRequest},
		{http.MethodPost, "0000000000000001", `{"spec":1}`, http.StatusBadRequest},
		{http.MethodPost, "0000000000000002", `{"spec":"x","steps":[]}`, http.StatusBadRequest},
		{http.MethodPost, "0000000000000003", `{"spec":"x","steps":[{"count":1,"cpu":1,"after":[0]}]}`, http.StatusBadRequest},
		{http.MethodPut, "0000000000000004", standin.TwoStepJob, http.StatusMethodNotAllowed},
		{http.MethodDelete, "0000000000000005", "", http.StatusGone},
		{http.MethodPost, "0000000000000006", standin.TwoStepJob, http.StatusOK},
		{http.MethodPost, "0000000000000006", standin.TwoStepJob, http.StatusOK},
	} {
		code, body := f.request(c.method, c.id, c.body)
		qt.Check(t, code, qt.Equals, c.want, qt.Commentf("%s %s: %s", c.method, c.id, body))
	}
	req, err := http.NewRequest(http.MethodGet, f.entryURL+"/other/0000000000000001", nil)
	qt.Assert(t, err, qt.IsNil)
	resp, err := f.client.Do(req)
	qt.Assert(t, err, qt.IsNil)
	resp.Body.Close()
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusNotFound)
	f.waitCompleted([]string{"0000000000000006"}, 5*time.Second)
	qt.Check(t, f.checker.StartCount(), qt.Equals, 7)
}

// Guards against jobs that do not complete because one worker fails every run. The jobs have to complete on the other workers.
func TestJobsCompleteAlthoughOneWorkerFailsAllRuns(t *testing.T) {
	f := newFleet(t, 3)
	f.workers[0].SetFaults(standin.WorkerFaults{FailAllRuns: true})
	ids := f.submit("ba", 12, standin.TwoStepJob)
	qt.Assert(t, ids, qt.HasLen, 12)
	f.waitCompleted(ids, 15*time.Second)
}

// Guards against callers that wait until their deadline during a store outage. A job whose record is not being written yet must
// be rejected at once, and a rejected job must never run.
func TestStoreOutageRejectsUnrecordedJobsAtOnce(t *testing.T) {
	f := newFleet(t, 2)
	processes := append([]*testProcess{f.front}, f.hosts...)
	for _, p := range processes {
		p.store.SetFaults(standin.StoreFaults{Unresponsive: true})
	}
	go f.request(http.MethodPost, "abababababababa1", standin.TwoStepJob) // its record is being written
	time.Sleep(200 * time.Millisecond)
	submittedAt := time.Now()
	code, _ := f.request(http.MethodPost, "abababababababa2", standin.TwoStepJob)
	qt.Check(t, code, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, time.Since(submittedAt) < 1600*time.Millisecond, qt.IsTrue, qt.Commentf("took %s", time.Since(submittedAt)))
	for _, p := range processes {
		p.store.SetFaults(standin.StoreFaults{})
	}
	f.waitCompleted([]string{"abababababababa1"}, 10*time.Second)
	qt.Check(t, f.jobState("abababababababa2"), qt.Equals, "410")
	qt.Check(t, f.checker.StartCount(), qt.Equals, 7)
}

// Guards against three faults of steps that need advice: waiting indefinitely, running on a worker that the adviser does not
// allow, and starting with an expired ticket. The tickets are valid for a shorter time than the jobs run.
func TestAdvisedStepsRunOnlyOnAllowedWorkers(t *testing.T) {
	f := newFleetWithAdviser(t, 3, standin.NewAdviser(900*time.Millisecond, "i-host-1"))
	ids := f.submit("ca", 8, standin.TwoWideStepJob)
	qt.Assert(t, ids, qt.HasLen, 8)
	f.waitCompleted(ids, 20*time.Second)
	qt.Check(t, f.workers[0].StartedRunCount()+f.workers[2].StartedRunCount(), qt.Equals, 0)
}

// Guards against runs that are started elsewhere or given up because their worker was silent for a while. The silence is shorter
// than the hold, so the runs go on and no task starts a second time.
func TestRunsOfASilentWorkerAreKept(t *testing.T) {
	f := newFleet(t, 2)
	for _, w := range f.workers {
		w.SetFaults(standin.WorkerFaults{NoProgress: true}) // the runs do not end by themselves
	}
	ids := f.submit("ab", 1, `{"spec":"long","steps":[{"count":4,"cpu":2000,"mem_mb":100,"estimate_ms":200000}]}`)
	qt.Assert(t, ids, qt.HasLen, 1)
	f.eventually("the tasks run", 5*time.Second, func() bool { return f.checker.StartCount() == 4 })
	time.Sleep(500 * time.Millisecond)
	for _, w := range f.workers {
		w.SetFaults(standin.WorkerFaults{NoProgress: true, Unresponsive: true})
	}
	time.Sleep(800 * time.Millisecond) // noticed after 650 ms; the hold lasts 2.4 s and is up to a second old
	for _, w := range f.workers {
		w.SetFaults(standin.WorkerFaults{NoProgress: true})
	}
	time.Sleep(1500 * time.Millisecond)
	qt.Check(t, f.checker.StartCount(), qt.Equals, 4)
	qt.Check(t, f.jobState(ids[0]), qt.Equals, "running")
	qt.Check(t, f.checker.Violations(), qt.HasLen, 0)
}
