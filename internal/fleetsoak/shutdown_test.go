package fleetsoak_test

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/platform/standin"
)

// TestSignalsDuringShutdownCutOffNoRequest guards against an entry that is shutting down and ends at a further signal, without
// answers to the requests that it has read.
func TestSignalsDuringShutdownCutOffNoRequest(t *testing.T) {
	if testing.Short() {
		t.Skip("starts separate processes")
	}
	for _, furtherSignal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		t.Run(furtherSignal.String(), func(t *testing.T) {
			f := newFleet(t, 1, 1, 1)
			entry := f.fronts[0]
			f.hosts[0].store.SetFaults(standin.StoreFaults{Delay: 150 * time.Millisecond}) // so that the owner replies late
			status := make(chan int, 1)
			go func() {
				req, err := http.NewRequest(http.MethodPost, f.entryURLs[0]+standin.QueuePrefix+"0123456789abcdef", strings.NewReader(standin.TwoStepJob))
				qt.Check(t, err, qt.IsNil)
				req.Host = standin.QueueHost
				resp, err := http.DefaultClient.Do(req)
				if !qt.Check(t, err, qt.IsNil, qt.Commentf("the connection ended without an answer")) {
					status <- 0
					return
				}
				resp.Body.Close()
				status <- resp.StatusCode
			}()
			time.Sleep(50 * time.Millisecond) // the entry has read the request
			entry.signal(syscall.SIGTERM, true)
			time.Sleep(20 * time.Millisecond)
			entry.signal(furtherSignal, true)
			qt.Check(t, <-status, qt.Equals, http.StatusOK)
		})
	}
}

// TestForcedStopIsInTheLog guards against a shutdown that a signal cuts short and that looks in the log as if the process was killed.
func TestForcedStopIsInTheLog(t *testing.T) {
	if testing.Short() {
		t.Skip("starts separate processes")
	}
	entry := newFleet(t, 1, 1, 1).fronts[0]
	entry.signal(syscall.SIGTERM, true)
	time.Sleep(100 * time.Millisecond)
	entry.signal(syscall.SIGINT, true)
	<-entry.done
	entry.mu.Lock()
	defer entry.mu.Unlock()
	qt.Check(t, entry.log.String(), qt.Contains, `"event":9004`)
}
