// Package e2e_test runs the programs as separate processes. The tests kill, shut down and pause processes and make the store
// unavailable.
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

// TestSeparateProcesses checks the guarantees of the whole system while agents, entries and the store fail. The subtests share one
// fleet, because building and starting a fleet takes most of the time.
func TestSeparateProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts separate processes")
	}
	f := startFleet(t)
	t.Run("OwnerPausedPastItsLease", f.testOwnerPausedPastLease)
	t.Run("StoreOutage", f.testStoreOutage)
	t.Run("AgentKilled", f.testAgentKilled)
	t.Run("PlannedStopCutsOffNothing", f.testAgentShutdown)
	t.Run("EntryStopCutsOffNothing", f.testEntryShutdown)
	t.Run("EveryAgentReplaced", f.testEveryAgentRestarted)
	t.Run("SlowAndHalfOpenCallers", f.testSlowCallers)
	t.Run("KeyedRequestsRunOnce", f.testKeyedRequestsRunOnce)
	for _, p := range append(append([]*process{f.platform}, f.agents...), f.entries...) {
		qt.Check(t, strings.Contains(p.logText(), `"event":9100`), qt.IsFalse, qt.Commentf("broken invariant in %s:\n%s", p.name, p.logText()))
	}
}

// testOwnerPausedPastLease guards against a partition owner that still makes decisions after a pause in which its lease has
// expired. Two agents are paused one after the other, each for longer than the lease, while a job runs. All tasks must be done.
func (f *fleet) testOwnerPausedPastLease(t *testing.T) {
	id := f.submit("paused", 6, 3*time.Second)
	for _, agent := range f.agents[:2] {
		agent.signal(t, syscall.SIGSTOP)
		time.Sleep(4 * time.Second)
		agent.signal(t, syscall.SIGCONT)
	}
	f.awaitDone(id, 60*time.Second)
}

// testStoreOutage guards against two faults during a store outage. Latency-critical requests do not need the store and must
// succeed. New jobs need the store and must be rejected with outcome not_run. The running job must finish after the outage.
func (f *fleet) testStoreOutage(t *testing.T) {
	id := f.submit("before-outage", 4, 2*time.Second)
	f.setStoreDown(true)
	time.Sleep(4 * time.Second)
	for i := range 20 {
		_, err := f.sendScan(i%entryCount, fmt.Sprintf("outage-%d", i))
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

// testAgentKilled kills an agent. It guards against latency-critical requests that fail although other runners are available, and
// against lost tasks.
func (f *fleet) testAgentKilled(t *testing.T) {
	id := f.submit("killed", 6, 3*time.Second)
	stopScans := f.startScans(6)
	time.Sleep(time.Second)
	f.agents[3].stop(t, syscall.SIGKILL)
	time.Sleep(2 * time.Second)
	succeeded, errs := stopScans()
	qt.Check(t, succeeded > 100, qt.IsTrue, qt.Commentf("%d succeeded", succeeded))
	qt.Check(t, errs, qt.HasLen, 0)
	f.agents[3].start(t)
	f.awaitDone(id, 60*time.Second)
}

// testAgentShutdown guards against an agent that aborts requests during its graceful shutdown or that still receives new ones.
// Keyed requests detect both faults: a keyed request that may have run is not retried at another agent. All requests must succeed.
func (f *fleet) testAgentShutdown(t *testing.T) {
	stopScans := f.startScans(4)
	stopOrders := f.startSlowOrders(4)
	time.Sleep(500 * time.Millisecond)
	f.agents[2].stop(t, syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	f.agents[2].start(t)
	time.Sleep(500 * time.Millisecond)
	ordersDone, orderErrs := stopOrders()
	succeeded, errs := stopScans()
	qt.Check(t, ordersDone > 10, qt.IsTrue, qt.Commentf("%d orders", ordersDone))
	qt.Check(t, orderErrs, qt.HasLen, 0)
	qt.Check(t, succeeded > 100, qt.IsTrue, qt.Commentf("%d succeeded", succeeded))
	qt.Check(t, errs, qt.HasLen, 0)
}

// testEntryShutdown guards against an entry that aborts requests in flight during its graceful shutdown.
func (f *fleet) testEntryShutdown(t *testing.T) {
	const inFlightCount = 8
	requestErrs := make(chan error, inFlightCount)
	for i := range inFlightCount {
		go func() { requestErrs <- f.sendSlowOrder(1, fmt.Sprintf("entry-stop-%d", i)) }()
	}
	time.Sleep(200 * time.Millisecond)
	f.entries[1].stop(t, syscall.SIGTERM)
	for range inFlightCount {
		qt.Check(t, <-requestErrs, qt.IsNil)
	}
	f.entries[1].start(t)
	f.eventually("the entry serves again", 20*time.Second, func() error {
		_, err := f.sendScan(1, "again")
		return err
	})
}

// sendSlowOrder sends a keyed request that takes 400 ms on the backend server, and verifies the response.
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

// startSlowOrders sends keyed requests through all entries until stop is called. stop returns the number of successful requests and
// the errors of the others.
func (f *fleet) startSlowOrders(callerCount int) (stop func() (int, []error)) {
	return f.repeat(callerCount, 0, func(c, i int) error {
		return f.sendSlowOrder((c+i)%len(f.callerAddrs), fmt.Sprintf("long-%d-%d", c, i))
	})
}

// testEveryAgentRestarted guards against job state that is stored only on hosts. All agents are restarted one after another while
// a job runs, and every evicted task must have been resumed once for each eviction.
func (f *fleet) testEveryAgentRestarted(t *testing.T) {
	id := f.submit("replaced", 4, 4*time.Second)
	for _, agent := range f.agents {
		agent.stop(t, syscall.SIGTERM)
		agent.start(t)
		time.Sleep(300 * time.Millisecond)
	}
	job := f.awaitDone(id, 90*time.Second)
	for i, task := range job.Tasks {
		qt.Check(t, task.Resumes, qt.Equals, task.Evictions, qt.Commentf("task %d", i))
	}
}

// testSlowCallers guards against callers that hold a connection open without completing their request. One caller stops within the
// header, another within the body. The entry must close both connections. It must first send a response with outcome not_run to
// the caller that stopped within the body. Other callers must be served in the meantime.
func (f *fleet) testSlowCallers(t *testing.T) {
	partialHeaderConn := f.sendPartialRequest(t, "POST /v1/run/workshop/foot-scan/-/scan HTTP/1.1\r\nHost: entry\r\n")
	partialBodyConn := f.sendPartialRequest(t,
		"POST /v1/run/workshop/foot-scan/-/scan HTTP/1.1\r\nHost: entry\r\nContent-Length: 10\r\n\r\nabc")
	_, err := f.sendScan(1, "meanwhile")
	qt.Check(t, err, qt.IsNil)
	headerConnErr := make(chan error, 1)
	go func() {
		_, err := io.ReadAll(partialHeaderConn)
		headerConnErr <- err
	}()
	response, err := io.ReadAll(partialBodyConn)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(response), qt.Contains, "HTTP/1.1 408 ")
	qt.Check(t, string(response), qt.Contains, `"outcome":"not_run"`)
	qt.Check(t, <-headerConnErr, qt.IsNil, qt.Commentf("the entry must close the connection before the read deadline"))
}

// sendPartialRequest sends an incomplete request to the second entry and returns the connection. Reads fail after 15 s, which is longer
// than all timeouts of the entry for slow callers.
func (f *fleet) sendPartialRequest(t *testing.T, text string) net.Conn {
	conn, err := net.Dial("tcp", f.callerAddrs[1])
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { conn.Close() })
	qt.Assert(t, conn.SetDeadline(time.Now().Add(15*time.Second)), qt.IsNil)
	_, err = io.WriteString(conn, text)
	qt.Assert(t, err, qt.IsNil)
	return conn
}

// testKeyedRequestsRunOnce guards against a non-idempotent request that runs twice. An entry is killed, and the caller retries its
// requests with the same idempotency keys at the other entry.
func (f *fleet) testKeyedRequestsRunOnce(t *testing.T) {
	const orderCount = 30
	sendOrder := func(entryIndex, i int) (int, string, error) {
		url := "http://" + f.callerAddrs[entryIndex] + "/v1/run/workshop/moulding-orders/-/order"
		return f.request(http.MethodPost, url, fmt.Sprintf("order-%d", i), fmt.Sprintf("shell-%d", i))
	}
	go func() {
		time.Sleep(150 * time.Millisecond)
		_ = f.entries[0].cmd.Process.Kill()
	}()
	for i := range orderCount {
		if status, _, err := sendOrder(0, i); err != nil || status != http.StatusOK {
			_, _, _ = sendOrder(1, i)
		}
	}
	for i := range orderCount {
		runCount := 0
		for _, addr := range f.runnerAddrs {
			_, respBody, err := f.request(http.MethodGet, "http://"+addr+"/_runs?key="+fmt.Sprintf("order-%d", i), "", "")
			qt.Assert(t, err, qt.IsNil)
			var n int
			_, err = fmt.Sscan(respBody, &n)
			qt.Assert(t, err, qt.IsNil)
			runCount += n
		}
		qt.Check(t, runCount <= 1, qt.IsTrue, qt.Commentf("order %d ran %d times", i, runCount))
	}
}
