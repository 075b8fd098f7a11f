package deployed

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/platform/standin"
)

// Guards against a request that is read whole late in the shutdown of an entry and whose connection is closed at the end of the grace
// period, while the entry still waits for an owner. The body of the request arrives slowly, and no owner is left.
func TestLateRequestIsAnsweredBeforeTheGraceEnds(t *testing.T) {
	f := newFleet(t, 1)
	f.hosts[0].stop()
	conn, err := net.Dial("tcp", f.front.cfg.Listen.Callers)
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	body := strings.TrimSpace(standin.OneStepJob)
	_, err = fmt.Fprintf(conn, "POST %s00000000000000e1 HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s",
		standin.QueuePrefix, standin.QueueHost, len(body), body[:1])
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(200 * time.Millisecond) // the entry reads the header
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		f.front.stop()
	}()
	time.Sleep(f.front.cfg.Bounds.Grace() - 2500*time.Millisecond) // the wait for an owner ends after the grace period
	_, err = conn.Write([]byte(body[1:]))
	qt.Assert(t, err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	<-stopped
}

// Guards against a shutdown without time for the open requests where the grace period is short: the process would be killed while it
// still accepts connections.
func TestShutdownLeavesTimeForOpenRequests(t *testing.T) {
	for grace := time.Second; grace <= 30*time.Second; grace += time.Second {
		plan, comment := planShutdown(grace), qt.Commentf("grace period of %s", grace)
		qt.Check(t, plan.closeListener > 0, qt.IsTrue, comment)
		qt.Check(t, plan.answersDue-plan.closeListener >= grace/3, qt.IsTrue, comment)
		qt.Check(t, plan.closeAll > plan.answersDue && plan.closeAll < grace, qt.IsTrue, comment)
	}
	qt.Check(t, planShutdown(6*time.Second), qt.Equals,
		shutdownPlan{closeListener: 2300 * time.Millisecond, answersDue: 5 * time.Second, closeAll: 5300 * time.Millisecond})
}
