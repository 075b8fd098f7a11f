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

// Guards against requests with a short deadline that get an uncertain outcome: the entry reserved 250 ms of the remaining
// time for the return of the response and abandoned such requests at once, although the owner responds within milliseconds
// (incident inc-46f6).
func TestRequestWithShortDeadlineIsAnswered(t *testing.T) {
	f := newFleet(t, 2)
	for i, remaining := range []string{"900", "240", "160"} {
		id := fmt.Sprintf("%016x", 0xee00+i)
		req, err := http.NewRequest(http.MethodPost, f.url+standin.QueuePrefix+id, strings.NewReader(standin.OneStep))
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
func TestJobsRunToTheEnd(t *testing.T) {
	f := newFleet(t, 3)
	ids := f.submit("aa", 12, standin.TwoSteps)
	qt.Assert(t, ids, qt.HasLen, 12)
	f.waitCompleted(ids, 10*time.Second)
	qt.Check(t, f.checker.Starts(), qt.Equals, 12*7)
	code, _ := f.request(http.MethodGet, "00000000000000ff", "")
	qt.Check(t, code, qt.Equals, http.StatusGone)
	code, body := f.request(http.MethodGet, "", "")
	qt.Check(t, code, qt.Equals, http.StatusOK)
	qt.Check(t, body, qt.Equals, `{"pending":0}`)
}

// Guards against accepted jobs that are lost, or tasks that run twice, when the owner shuts down, and against a takeover
// that waits for the lease to expire although the owner has resigned.
func TestOwnerShutsDownDuringJobs(t *testing.T) {
	f := newFleet(t, 3)
	ids := f.submit("bb", 6, standin.TwoSteps)
	firstOwner := f.ownerIndex()
	qt.Assert(t, firstOwner >= 0, qt.IsTrue)
	f.hosts[firstOwner].stop()
	began := time.Now()
	f.eventually("a successor", 5*time.Second, func() bool { o := f.ownerIndex(); return o >= 0 && o != firstOwner })
	qt.Check(t, time.Since(began) < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("took %s", time.Since(began)))
	ids = append(ids, f.submit("bc", 6, standin.TwoSteps)...)
	qt.Assert(t, ids, qt.HasLen, 12)
	f.waitCompleted(ids, 15*time.Second)
}

// Guards against two active owners: the store rejects the calls of the owner's host only, the lease expires, and another host
// takes over while the previous owner still has its connections.
func TestStoreRefusesTheOwner(t *testing.T) {
	f := newFleet(t, 3)
	ids := f.submit("cc", 6, standin.TwoSteps)
	firstOwner := f.ownerIndex()
	f.hosts[firstOwner].store.SetFaults(standin.StoreFaults{Unavailable: true})
	f.eventually("a successor", 8*time.Second, func() bool { o := f.ownerIndex(); return o >= 0 && o != firstOwner })
	ids = append(ids, f.submit("cd", 6, standin.TwoSteps)...)
	f.hosts[firstOwner].store.SetFaults(standin.StoreFaults{})
	qt.Assert(t, ids, qt.HasLen, 12)
	f.waitCompleted(ids, 15*time.Second)
}

// Guards against a store outage that loses accepted jobs, and against requests that are accepted or reported as not run
// during the outage although that is not certain.
func TestStoreOutage(t *testing.T) {
	f := newFleet(t, 3)
	ids := f.submit("dd", 4, standin.TwoSteps)
	processes := append([]*testProcess{f.front}, f.hosts...)
	for _, p := range processes {
		p.store.SetFaults(standin.StoreFaults{Unresponsive: true})
	}
	code, _ := f.request(http.MethodPost, "dddddddd00000001", standin.TwoSteps)
	qt.Check(t, code == http.StatusGatewayTimeout || code == http.StatusServiceUnavailable, qt.IsTrue, qt.Commentf("status %d", code))
	time.Sleep(3 * time.Second)
	for _, p := range processes {
		p.store.SetFaults(standin.StoreFaults{})
	}
	ids = append(ids, f.submit("de", 4, standin.TwoSteps)...)
	qt.Assert(t, ids, qt.HasLen, 8)
	f.waitCompleted(ids, 20*time.Second)
}

// Guards against duplicate or lost state transitions when responses of the store are lost and its writes are applied late.
func TestLostAndLateWrites(t *testing.T) {
	f := newFleet(t, 3)
	for _, p := range append([]*testProcess{f.front}, f.hosts...) {
		p.store.SetFaults(standin.StoreFaults{LostResponseRatio: 0.3})
	}
	ids := f.submit("ee", 5, standin.TwoSteps)
	for _, p := range f.hosts {
		p.store.SetFaults(standin.StoreFaults{LostResponseRatio: 0.3, ApplyDelay: 400 * time.Millisecond})
	}
	ids = append(ids, f.submit("ef", 5, standin.TwoSteps)...)
	for _, p := range f.hosts {
		p.store.SetFaults(standin.StoreFaults{})
	}
	qt.Assert(t, ids, qt.HasLen, 10)
	f.waitCompleted(ids, 20*time.Second)
}

// Guards against tasks that start twice when commands to a worker get no response and are executed after later ones, and
// against starts that exceed the worker's capacity because they were not counted while their response was missing.
func TestCommandsExecutedLate(t *testing.T) {
	f := newFleet(t, 3)
	for _, w := range f.workers {
		w.SetFaults(standin.WorkerFaults{DelayedRatio: 0.3, ExecutionDelay: 700 * time.Millisecond})
	}
	ids := f.submit("ff", 10, standin.TwoSteps)
	qt.Assert(t, ids, qt.HasLen, 10)
	f.waitCompleted(ids, 20*time.Second)
}

// Guards against runs that are not repeated after their worker crashed, and against a restart of a worker that is not detected.
func TestWorkerCrash(t *testing.T) {
	f := newFleet(t, 3)
	ids := f.submit("ab", 10, standin.TwoSteps)
	for _, w := range f.workers {
		w.Crash()
		time.Sleep(150 * time.Millisecond)
	}
	qt.Assert(t, ids, qt.HasLen, 10)
	for _, id := range ids {
		f.eventually("job "+id+" is completed", 15*time.Second, func() bool { return f.state(id) == "completed" })
	}
}

// Guards against a restarted agent that starts runs again which its previous incarnation had started.
func TestAgentRestarts(t *testing.T) {
	f := newFleet(t, 3)
	ids := f.submit("ac", 6, standin.OneStep)
	for i := range f.hosts {
		if i == f.ownerIndex() {
			continue
		}
		old := f.hosts[i]
		old.stop()
		next := &testProcess{process: &process{cfg: old.cfg, agent: true, log: old.log, metrics: old.metrics, incarnation: old.incarnation + "-2"}, store: old.store}
		f.restart(next)
		break
	}
	f.waitCompleted(ids, 15*time.Second)
}

// Guards against a cancelled job that starts further tasks, and against a cancellation that is lost.
func TestCancel(t *testing.T) {
	f := newFleet(t, 2)
	ids := f.submit("ad", 1, standin.FanOut)
	code, _ := f.request(http.MethodDelete, ids[0], "")
	qt.Assert(t, code, qt.Equals, http.StatusOK)
	time.Sleep(500 * time.Millisecond)
	before := f.checker.Starts()
	time.Sleep(500 * time.Millisecond)
	qt.Check(t, f.checker.Starts(), qt.Equals, before)
	qt.Check(t, f.state(ids[0]), qt.Equals, "cancelled")
}

// Guards against two owners when the store removes the owner's key before the lease expires: the owner has to detect it.
func TestRevokedOwnerKey(t *testing.T) {
	f := newFleet(t, 3)
	ids := f.submit("ae", 4, standin.TwoSteps)
	f.store.RevokeLeases()
	f.store.Compact()
	ids = append(ids, f.submit("af", 4, standin.TwoSteps)...)
	qt.Assert(t, ids, qt.HasLen, 8)
	f.waitCompleted(ids, 15*time.Second)
}

// Guards against wrong status codes for malformed jobs, repeated submissions, unknown jobs and unknown queues.
func TestStatusCodes(t *testing.T) {
	f := newFleet(t, 1)
	for _, c := range []struct {
		method, id, body string
		want             int
	}{
		{http.MethodPost, "zz", standin.TwoSteps, http.StatusBadRequest},
		{http.MethodPost, "0000000000000001", `{"spec":1}`, http.StatusBadRequest},
		{http.MethodPost, "0000000000000002", `{"spec":"x","steps":[]}`, http.StatusBadRequest},
		{http.MethodPost, "0000000000000003", `{"spec":"x","steps":[{"count":1,"cpu":1,"after":[0]}]}`, http.StatusBadRequest},
		{http.MethodPut, "0000000000000004", standin.TwoSteps, http.StatusMethodNotAllowed},
		{http.MethodDelete, "0000000000000005", "", http.StatusGone},
		{http.MethodPost, "0000000000000006", standin.TwoSteps, http.StatusOK},
		{http.MethodPost, "0000000000000006", standin.TwoSteps, http.StatusOK},
	} {
		code, body := f.request(c.method, c.id, c.body)
		qt.Check(t, code, qt.Equals, c.want, qt.Commentf("%s %s: %s", c.method, c.id, body))
	}
	req, err := http.NewRequest(http.MethodGet, f.url+"/other/0000000000000001", nil)
	qt.Assert(t, err, qt.IsNil)
	resp, err := f.client.Do(req)
	qt.Assert(t, err, qt.IsNil)
	resp.Body.Close()
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusNotFound)
	f.waitCompleted([]string{"0000000000000006"}, 5*time.Second)
	qt.Check(t, f.checker.Starts(), qt.Equals, 7)
}

// Guards against jobs that do not complete because one worker fails every run: they have to complete on the other workers.
func TestWorkerThatFailsEverything(t *testing.T) {
	f := newFleet(t, 3)
	f.workers[0].SetFaults(standin.WorkerFaults{FailAll: true})
	ids := f.submit("ba", 12, standin.TwoSteps)
	qt.Assert(t, ids, qt.HasLen, 12)
	f.waitCompleted(ids, 15*time.Second)
}

// Guards against callers that wait until their deadline during a store outage: a job that is not recorded yet is rejected
// at once, and a rejected job never runs.
func TestOutageRejectsUnwrittenJobs(t *testing.T) {
	f := newFleet(t, 2)
	processes := append([]*testProcess{f.front}, f.hosts...)
	for _, p := range processes {
		p.store.SetFaults(standin.StoreFaults{Unresponsive: true})
	}
	go f.request(http.MethodPost, "abababababababa1", standin.TwoSteps) // its record is being written
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	code, _ := f.request(http.MethodPost, "abababababababa2", standin.TwoSteps)
	qt.Check(t, code, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, time.Since(began) < 1600*time.Millisecond, qt.IsTrue, qt.Commentf("took %s", time.Since(began)))
	for _, p := range processes {
		p.store.SetFaults(standin.StoreFaults{})
	}
	f.waitCompleted([]string{"abababababababa1"}, 10*time.Second)
	qt.Check(t, f.state("abababababababa2"), qt.Equals, "410")
	qt.Check(t, f.checker.Starts(), qt.Equals, 7)
}

// Guards against steps that need advice and wait indefinitely, run on workers that the adviser does not allow, or start with
// an expired ticket; the tickets are valid for a shorter time than the jobs run.
func TestAdvisedQueue(t *testing.T) {
	f := newFleetWithAdviser(t, 3, standin.NewAdviser(900*time.Millisecond, "i-host-1"))
	ids := f.submit("ca", 8, standin.TwoWideSteps)
	qt.Assert(t, ids, qt.HasLen, 8)
	f.waitCompleted(ids, 20*time.Second)
	qt.Check(t, f.workers[0].RunsStarted()+f.workers[2].RunsStarted(), qt.Equals, 0)
}
