package deployed

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against owners that accept more than they have memory for, and against accepted jobs that are forgotten, cannot be cancelled or get
// another answer because the memory is used up: over a snapshot, the loss of the owner and the loss of all processes.
func TestAcceptedJobsAreKeptAtTheMemoryLimit(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playMemoryLimit(t, seed) })
		})
	}
}

func playMemoryLimit(t *testing.T, seed uint64) {
	f := newVirtualFleet(t, seed, func(f *virtualFleet) {
		for _, m := range f.hosts {
			m.cfg.MemoryMB = 1024
		}
		f.hosts[f.rng.IntN(len(f.hosts))].cfg.MemoryMB = 64 // any machine may become the owner
	})
	defer f.close()
	time.Sleep(2 * time.Second)
	const largeBody = `{"spec":"x","steps":[{"count":5000,"cpu":1,"mem_mb":1,"estimate_ms":300,"requirements":"none"}]}`
	const smallBody = `{"spec":"x","steps":[{"count":2,"cpu":1,"mem_mb":1,"estimate_ms":300,"requirements":"none"}]}`
	id := func(kind, n int) string { return fmt.Sprintf("a%02x%013x", kind, n) }
	send := func(method, id, body string) int {
		code, _ := f.request(f.anyEntry(), method, id, body)
		return code
	}
	var accepted []string
	refused := 0
	for n := range 30 {
		switch code := send(http.MethodPost, id(1, n), largeBody); code {
		case http.StatusOK:
			accepted = append(accepted, id(1, n))
		case http.StatusServiceUnavailable:
			refused++
		default:
			t.Fatalf("large job: %d", code)
		}
	}
	if len(accepted) < 3 || refused < 10 {
		t.Fatalf("%d large jobs accepted, %d refused", len(accepted), refused)
	}
	check := func(when string) {
		t.Helper()
		for _, id := range accepted {
			if code := send(http.MethodGet, id, ""); code != http.StatusOK {
				t.Errorf("%s: accepted job %s: %d", when, id, code)
			}
		}
		if code := send(http.MethodPost, accepted[0], largeBody); code != http.StatusOK {
			t.Errorf("%s: repeated submission: %d", when, code)
		}
		if code := send(http.MethodPost, id(2, 0), largeBody); code != http.StatusServiceUnavailable {
			t.Errorf("%s: another large job: %d", when, code)
		}
		if code := send(http.MethodGet, id(2, 0), ""); code != http.StatusGone {
			t.Errorf("%s: refused job: %d", when, code)
		}
	}
	check("at the limit")
	for n := range 150 { // several records and snapshots
		if code := send(http.MethodPost, id(3, n), smallBody); code != http.StatusOK {
			t.Fatalf("small job %d: %d", n, code)
		}
		accepted = append(accepted, id(3, n))
	}
	check("beside small jobs")
	owner := f.owner()
	f.kill(owner, false)
	time.Sleep(4 * time.Second)
	f.restart(owner)
	check("after the loss of the owner")
	for _, m := range f.machines() {
		f.kill(m, false)
	}
	for _, m := range f.machines() {
		f.restart(m)
	}
	time.Sleep(4 * time.Second)
	check("after the loss of all processes")
	for range 2 {
		if code := send(http.MethodDelete, accepted[0], ""); code != http.StatusOK {
			t.Errorf("cancellation: %d", code)
		}
		if code := send(http.MethodGet, accepted[0], ""); code != http.StatusOK {
			t.Errorf("cancelled job: %d", code)
		}
		accepted = accepted[1:]
	}
	if code := send(http.MethodPost, id(2, 0), largeBody); code != http.StatusOK {
		t.Errorf("a large job after the cancellations: %d", code)
	}
}
