package deployed

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/network"
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

// Guards against submissions that get no answer or a wrong one while owners stop in turn: sent to an owner that has resigned, or in a
// record that was written and not answered. An accepted job must be known, and a rejected one must not.
func TestOwnerShutdownAnswersEverySubmission(t *testing.T) {
	for name, faults := range map[string]standin.StoreFaults{
		"sound store":           {},
		"lost and late answers": {LostResponseRatio: 0.3, ApplyDelay: 400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) { playOwnerShutdowns(t, faults) })
	}
}

// playOwnerShutdowns stops two owners in turn while callers submit jobs, and checks the answers. The faults are those of the store
// meanwhile.
func playOwnerShutdowns(t *testing.T, faults standin.StoreFaults) {
	f := newFleet(t, 3)
	for _, h := range f.hosts {
		h.store.SetFaults(faults)
	}
	var mu sync.Mutex
	codes := map[string]int{}
	stopSubmitting := make(chan struct{})
	var callers sync.WaitGroup
	for caller := range 6 {
		callers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stopSubmitting:
					return
				case <-time.After(5 * time.Millisecond):
				}
				id := fmt.Sprintf("5%03x%012x", caller, i)
				code, body := f.request(http.MethodPost, id, standin.OneStepJob)
				qt.Check(t, code != 0, qt.IsTrue, qt.Commentf("no answer: %s", body))
				mu.Lock()
				codes[id] = code
				mu.Unlock()
			}
		})
	}
	for range 2 {
		time.Sleep(300 * time.Millisecond)
		owner := f.ownerIndex()
		qt.Assert(t, owner >= 0, qt.IsTrue)
		f.hosts[owner].stop()
		f.eventually("a successor", 10*time.Second, func() bool { o := f.ownerIndex(); return o >= 0 && o != owner })
	}
	for _, h := range f.hosts {
		h.store.SetFaults(standin.StoreFaults{})
	}
	time.Sleep(300 * time.Millisecond)
	close(stopSubmitting)
	callers.Wait()
	count := map[int]int{}
	for id, code := range codes {
		count[code]++
		f.eventually("the owner answers", 10*time.Second, func() bool {
			known, _ := f.request(http.MethodGet, id, "")
			switch {
			case known == http.StatusServiceUnavailable:
				return false
			case code == http.StatusOK:
				qt.Check(t, known, qt.Equals, http.StatusOK, qt.Commentf("job %s was accepted", id))
			case code == http.StatusServiceUnavailable:
				qt.Check(t, known, qt.Equals, http.StatusGone, qt.Commentf("job %s was rejected", id))
			}
			return true
		})
	}
	t.Logf("submissions by status: %v", count)
	qt.Check(t, count[http.StatusOK] > 10, qt.IsTrue)
	qt.Check(t, f.checker.Violations(), qt.HasLen, 0)
}

// Guards against requests on open connections that are cut off while the entry and the owner stop together. Callers keep using their
// connections until the process is gone. As in the operators' rule, a request that was sent within lossSlack before the end of its
// connection does not count: the server may close an idle connection at the moment at which a request is sent on it.
func TestEntryAndOwnerShutdownCutOffNoRequest(t *testing.T) {
	const lossSlack = 200 * time.Millisecond
	f := newFleet(t, 2)
	var mu sync.Mutex
	answered, justSent := 0, 0
	stopped := make(chan struct{})
	var callers sync.WaitGroup
	for caller := range 24 {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
			defer client.CloseIdleConnections()
			for i := 0; ; i++ {
				select {
				case <-stopped:
					return
				case <-time.After(time.Duration(caller) * 20 * time.Millisecond):
				}
				var sentAt time.Time
				trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { sentAt = time.Now() }}
				url := fmt.Sprintf("%s%s6%03x%012x", f.entryURL, standin.QueuePrefix, caller, i)
				req, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), trace), http.MethodPost, url, strings.NewReader(standin.OneStepJob))
				qt.Assert(t, err, qt.IsNil)
				req.Host, req.GetBody = standin.QueueHost, nil
				resp, err := client.Do(req)
				mu.Lock()
				switch {
				case err == nil:
					resp.Body.Close()
					answered++
				case sentAt.IsZero(): // no connection
				case time.Since(sentAt) < lossSlack:
					justSent++
				default:
					t.Errorf("caller %d: cut off %s after the request was sent: %v", caller, time.Since(sentAt), err)
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	var processes sync.WaitGroup
	processes.Go(f.hosts[max(f.ownerIndex(), 0)].stop)
	processes.Go(f.front.stop)
	processes.Wait()
	close(stopped)
	callers.Wait()
	t.Logf("%d requests answered, %d connections closed just after a request was sent", answered, justSent)
	qt.Check(t, answered > 24, qt.IsTrue)
}

// Guards against a response that is cut off because its server stops while the handler runs, for instance to a worker that registers.
func TestInternalServersAnswerOpenRequestsBeforeTheyStop(t *testing.T) {
	listener, addr := listen(t)
	qt.Assert(t, listener.Close(), qt.IsNil)
	ctx, stop := context.WithCancel(t.Context())
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		stop()
		time.Sleep(20 * time.Millisecond)
		w.WriteHeader(http.StatusNoContent)
	})
	p, served := &process{network: network.TCP}, make(chan error, 1)
	go func() { served <- p.serveInternal(ctx, "test", 8, addr, handler) }()
	for {
		resp, err := http.Post("http://"+addr, "", nil)
		if err != nil && ctx.Err() == nil {
			continue // the server does not listen yet
		}
		qt.Assert(t, err, qt.IsNil)
		resp.Body.Close()
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusNoContent)
		break
	}
	qt.Check(t, <-served, qt.IsNil)
}
