// Package e2e_test runs the programs as separate processes and kills, stops and pauses them and disconnects the store.
package e2e_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/entry"
)

// TestSeparateProcesses guards the guarantees of the whole system against the failure of each kind of process. The subtests
// share one fleet, because building and starting it takes most of the time.
func TestSeparateProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts separate processes")
	}
	f := startFleet(t)
	t.Run("OwnerPausedPastItsLease", f.ownerPaused)
	t.Run("StoreOutage", f.storeOutage)
	t.Run("AgentKilled", f.agentKilled)
	t.Run("PlannedStopCutsOffNothing", f.agentShutdown)
	t.Run("EntryStopCutsOffNothing", f.entryShutdown)
	t.Run("EveryAgentReplaced", f.everyAgentReplaced)
	t.Run("SlowAndHalfOpenCallers", f.slowCallers)
	t.Run("KeyedRequestsRunOnce", f.keyedOnce)
	for _, p := range append(append([]*process{f.platform}, f.agents...), f.entries...) {
		qt.Check(t, strings.Contains(p.logText(), `"event":9100`), qt.IsFalse, qt.Commentf("broken invariant in %s:\n%s", p.name, p.logText()))
	}
}

// ownerPaused guards against a partition owner that is paused and still makes decisions after its lease has expired. Two
// agents are paused in turn for longer than the lease while a job runs, and every task must be done.
func (f *fleet) ownerPaused(t *testing.T) {
	id := f.submit("paused", 6, 3*time.Second)
	for _, a := range f.agents[:2] {
		a.signal(t, syscall.SIGSTOP)
		time.Sleep(4 * time.Second)
		a.signal(t, syscall.SIGCONT)
	}
	f.awaitDone(id, 60*time.Second)
}

// storeOutage guards against quick requests that fail during a store outage although they do not need the store, and against
// jobs that are accepted although they need it. Quick requests must succeed, new jobs must be rejected with outcome
// not_run, and the running job must finish.
func (f *fleet) storeOutage(t *testing.T) {
	id := f.submit("before-outage", 4, 2*time.Second)
	f.setStoreDown(true)
	time.Sleep(4 * time.Second)
	for i := range 20 {
		_, err := f.sendQuick(i%entryCount, fmt.Sprintf("outage-%d", i))
		qt.Check(t, err, qt.IsNil)
	}
	status, respBody, err := f.request(http.MethodPost, "http://"+f.callerAddrs[1]+entry.PathJobs, "in-outage",
		`{"branch":"workshop/moulding-plans","tasks":1,"need":{"cores":1},"run_ms":10}`)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", respBody))
	qt.Check(t, respBody, qt.Contains, `"outcome":"not_run"`)
	f.setStoreDown(false)
	f.awaitDone(id, 60*time.Second)
	f.awaitDone(f.submit("after-outage", 2, 100*time.Millisecond), 60*time.Second)
}

// agentKilled guards against quick requests that fail although other runners are available, and against lost tasks, after
// an agent is killed.
func (f *fleet) agentKilled(t *testing.T) {
	id := f.submit("killed", 6, 3*time.Second)
	stop := f.startLoad(6)
	time.Sleep(time.Second)
	f.agents[3].stop(t, syscall.SIGKILL)
	time.Sleep(2 * time.Second)
	succeeded, errs := stop()
	qt.Check(t, succeeded > 100, qt.IsTrue, qt.Commentf("%d succeeded", succeeded))
	qt.Check(t, errs, qt.HasLen, 0)
	f.agents[3].start(t)
	f.awaitDone(id, 60*time.Second)
}

// agentShutdown guards against an agent that aborts requests during a graceful shutdown or still receives requests while it
// shuts down. Keyed requests detect both, because they are not retried elsewhere once they may have run: all must succeed.
func (f *fleet) agentShutdown(t *testing.T) {
	stop := f.startLoad(4)
	orders := f.startSlowOrders(4)
	time.Sleep(500 * time.Millisecond)
	f.agents[2].stop(t, syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	f.agents[2].start(t)
	time.Sleep(500 * time.Millisecond)
	done, failed := orders()
	succeeded, errs := stop()
	qt.Check(t, done > 10, qt.IsTrue, qt.Commentf("%d orders", done))
	qt.Check(t, failed, qt.HasLen, 0)
	qt.Check(t, succeeded > 100, qt.IsTrue, qt.Commentf("%d succeeded", succeeded))
	qt.Check(t, errs, qt.HasLen, 0)
}

// entryShutdown guards against an entry that aborts requests in flight during a graceful shutdown.
func (f *fleet) entryShutdown(t *testing.T) {
	const inFlight = 8
	results := make(chan error, inFlight)
	for i := range inFlight {
		go func() { results <- f.sendSlowOrder(1, fmt.Sprintf("entry-stop-%d", i)) }()
	}
	time.Sleep(200 * time.Millisecond)
	f.entries[1].stop(t, syscall.SIGTERM)
	for range inFlight {
		qt.Check(t, <-results, qt.IsNil)
	}
	f.entries[1].start(t)
	f.eventually("the entry serves again", 20*time.Second, func() error {
		_, err := f.sendQuick(1, "again")
		return err
	})
}

// sendSlowOrder sends a keyed request that takes 400 ms on the backend server.
func (f *fleet) sendSlowOrder(entryIndex int, key string) error {
	url := "http://" + f.callerAddrs[entryIndex] + "/v1/run/workshop/moulding-orders/-/order?ms=400"
	status, respBody, err := f.request(http.MethodPost, url, key, key)
	if err != nil {
		return err
	}
	if status != http.StatusOK || !strings.HasSuffix(respBody, " /order "+key+"\n") {
		return fmt.Errorf("order %s: status %d, response %q", key, status, respBody)
	}
	return nil
}

// startSlowOrders sends keyed requests through all entries until the returned stop function is called.
func (f *fleet) startSlowOrders(callers int) (stop func() (int, []error)) {
	return f.repeat(callers, 0, func(c, i int) error {
		return f.sendSlowOrder((c+i)%len(f.callerAddrs), fmt.Sprintf("long-%d-%d", c, i))
	})
}

// everyAgentReplaced guards against job state that is stored only on hosts: all agents are restarted one after another while
// a job runs.
func (f *fleet) everyAgentReplaced(t *testing.T) {
	id := f.submit("replaced", 4, 4*time.Second)
	for _, a := range f.agents {
		a.stop(t, syscall.SIGTERM)
		a.start(t)
		time.Sleep(300 * time.Millisecond)
	}
	job := f.awaitDone(id, 90*time.Second)
	for i, task := range job.Tasks {
		qt.Check(t, task.Resumes, qt.Equals, task.Evictions, qt.Commentf("task %d", i))
	}
}

// slowCallers guards against callers that hold a connection open without completing their request: one stops within the
// header, one within the body. Both connections must be closed, the second after a response with outcome not_run, and other
// callers must be served in the meantime.
func (f *fleet) slowCallers(t *testing.T) {
	header := f.sendPartial(t, "POST /v1/run/workshop/foot-scan/-/scan HTTP/1.1\r\nHost: entry\r\n")
	body := f.sendPartial(t, "POST /v1/run/workshop/foot-scan/-/scan HTTP/1.1\r\nHost: entry\r\nContent-Length: 10\r\n\r\nabc")
	_, err := f.sendQuick(1, "meanwhile")
	qt.Check(t, err, qt.IsNil)
	closed := make(chan error, 1)
	go func() {
		_, err := io.ReadAll(header)
		closed <- err
	}()
	response, err := io.ReadAll(body)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(response), qt.Contains, "HTTP/1.1 408 ")
	qt.Check(t, string(response), qt.Contains, `"outcome":"not_run"`)
	qt.Check(t, <-closed, qt.IsNil, qt.Commentf("the entry must close the connection before the read deadline"))
}

// sendPartial sends an incomplete request to an entry. Reads fail after 15 s, which is longer than all timeouts of the entry
// for slow callers.
func (f *fleet) sendPartial(t *testing.T, text string) net.Conn {
	conn, err := net.Dial("tcp", f.callerAddrs[1])
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { conn.Close() })
	qt.Assert(t, conn.SetDeadline(time.Now().Add(15*time.Second)), qt.IsNil)
	_, err = io.WriteString(conn, text)
	qt.Assert(t, err, qt.IsNil)
	return conn
}

// keyedOnce guards against a non-idempotent request that runs twice when an entry is killed and the caller retries the
// request at the other entry.
func (f *fleet) keyedOnce(t *testing.T) {
	const orders = 30
	send := func(e, i int) (int, string, error) {
		url := "http://" + f.callerAddrs[e] + "/v1/run/workshop/moulding-orders/-/order"
		return f.request(http.MethodPost, url, fmt.Sprintf("order-%d", i), fmt.Sprintf("shell-%d", i))
	}
	go func() {
		time.Sleep(150 * time.Millisecond)
		_ = f.entries[0].cmd.Process.Kill()
	}()
	for i := range orders {
		if status, _, err := send(0, i); err != nil || status != http.StatusOK {
			_, _, _ = send(1, i)
		}
	}
	for i := range orders {
		runs := 0
		for _, r := range f.runnerAddrs {
			_, respBody, err := f.request(http.MethodGet, "http://"+r+"/_runs?key="+fmt.Sprintf("order-%d", i), "", "")
			qt.Assert(t, err, qt.IsNil)
			var n int
			_, err = fmt.Sscan(respBody, &n)
			qt.Assert(t, err, qt.IsNil)
			runs += n
		}
		qt.Check(t, runs <= 1, qt.IsTrue, qt.Commentf("order %d ran %d times", i, runs))
	}
}
