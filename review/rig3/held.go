package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	longJob  = "00000000000000c1" // half of the only worker of a kind, for longer than the case takes
	largeJob = "00000000000000c2" // a lasting task that fits on that worker once the long job has ended
	smallJob = "00000000000000c3" // fits beside the long job many times
)

func prepareHeld(i int, w *runner) {
	if i == 0 {
		w.kind = "b"
	}
	w.takes = func(job string) time.Duration {
		if job == smallJob {
			return 50 * time.Millisecond
		}
		return 0
	}
}

// held hands in a large lasting job while a long job runs on the only worker of a kind, and then a small job for the same kind.
func held(f *fleet, trouble bool) (bool, error) {
	submit := func(id, step string) error {
		if status, err := f.submit(id, `{"spec":"x","steps":[{`+step+`,"mem_mb":100,"requirements":"b"}]}`); err != nil || status != 200 {
			return fmt.Errorf("status %d: %w", status, err)
		}
		return nil
	}
	if err := submit(longJob, `"count":1,"cpu":8000,"estimate_ms":60000`); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		if err := submit(largeJob, `"count":1,"cpu":12000,"estimate_ms":300,"perpetual":true`); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	handedIn := time.Now()
	if err := submit(smallJob, `"count":1,"cpu":1000,"estimate_ms":50`); err != nil {
		return false, err
	}
	time.Sleep(25 * time.Second)
	f.journal.mu.Lock()
	defer f.journal.mu.Unlock()
	began := time.Now()
	for _, i := range f.journal.runs {
		f.note("run %d of %s on %s from %.3f %s", i.run, i.task, i.host, i.from.Sub(f.began).Seconds(), i.how)
		if strings.HasPrefix(i.task, smallJob) {
			began = i.from
		}
	}
	waited := began.Sub(handedIn)
	f.note("the small job waited for %.3f s", waited.Seconds())
	return waited > 17*time.Second, nil
}
