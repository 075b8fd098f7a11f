package dev_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/dev"
)

// balancedLoad sends requests to the entries that report that they are ready, as the platform's load balancer does. The load ends
// when stop is called. mu guards failures.
type balancedLoad struct {
	f         *dev.Fleet
	isReady   [2]atomic.Bool // by entry index
	doneCount atomic.Int64   // responses with the outcome done
	mu        sync.Mutex
	failures  []string
	stopped   chan struct{} // closed by stop
	wg        sync.WaitGroup
}

func startLoad(f *dev.Fleet, callers int) *balancedLoad {
	l := &balancedLoad{f: f, stopped: make(chan struct{})}
	urls := [2]string{f.EntryURL(0), f.EntryURL(1)}
	for i := range urls {
		l.isReady[i].Store(true)
		l.repeatUntilStopped(func(int) {
			resp, err := http.Get(urls[i] + "/readyz")
			l.isReady[i].Store(err == nil && resp.StatusCode == http.StatusOK)
			if err == nil {
				resp.Body.Close()
			}
			time.Sleep(50 * time.Millisecond)
		})
	}
	for c := range callers {
		l.repeatUntilStopped(func(n int) {
			i := (c + n) % 2
			if !l.isReady[i].Load() {
				i = 1 - i
			}
			path, key := scanPath, ""
			if n%4 == 0 {
				path, key = orderPath, fmt.Sprintf("leave-%d-%d", c, n)
			}
			l.record(i, post(urls[i]+path+"?ms=20", key, "load"))
		})
	}
	return l
}

func (l *balancedLoad) repeatUntilStopped(action func(n int)) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		for n := 0; ; n++ {
			select {
			case <-l.stopped:
				return
			default:
				action(n)
			}
		}
	}()
}

func (l *balancedLoad) record(entryIndex int, resp response) {
	if resp.err == nil && resp.outcome == "done" {
		l.doneCount.Add(1)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, fmt.Sprintf("entry %d: %d %v %s", entryIndex, resp.status, resp.err, resp.body))
}

func (l *balancedLoad) stop() {
	close(l.stopped)
	l.wg.Wait()
}

// Guards against a graceful shutdown of an agent or an entry that aborts requests in flight. Both orders of shutdown are tested.
func TestPlannedStopUnderLoad(t *testing.T) {
	for name, order := range map[string]func(f *dev.Fleet) []*dev.Host{
		"agent then entry": func(f *dev.Fleet) []*dev.Host { return []*dev.Host{f.Agent(0), f.Entry(0)} },
		"entry then agent": func(f *dev.Fleet) []*dev.Host { return []*dev.Host{f.Entry(0), f.Agent(0)} },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startSmallFleet(t)
			load := startLoad(f, 8)
			time.Sleep(300 * time.Millisecond)
			for _, h := range order(f) {
				qt.Check(t, h.Stop(), qt.IsNil)
			}
			load.stop()
			qt.Check(t, load.failures, qt.HasLen, 0)
			qt.Check(t, load.doneCount.Load() > 100, qt.IsTrue)
			for _, h := range order(f) {
				f.Remove(h)
			}
			qt.Check(t, f.Stop(), qt.IsNil)
		})
	}
}
