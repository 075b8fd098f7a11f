package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

const (
	lasting     = "00000000000000f0"
	poisonStart = "dead"
	poisonJobs  = 6
	goodJobs    = 114 // so that 6 of 120 are a share of 0.05
	earlyEnd    = 2 * time.Second
)

// lastingFailures is the number of runs of the lasting task that still fail.
var lastingFailures atomic.Int64

// prepareBarred gives the first worker a kind of its own. Runs of a poison job fail; the first two runs of the lasting task fail after 2 s;
// all others that end are done after 50 ms.
func prepareBarred(i int, w *runner) {
	if i == 0 {
		w.kind = "b"
	}
	w.fails = func(job string) time.Duration {
		switch {
		case strings.HasPrefix(job, poisonStart):
			return 100 * time.Millisecond
		case job == lasting && lastingFailures.Add(-1) >= 0:
			return earlyEnd
		}
		return 0
	}
	w.takes = func(job string) time.Duration {
		if job == lasting || strings.HasPrefix(job, poisonStart) {
			return 0
		}
		return 50 * time.Millisecond
	}
}

// barred hands in a lasting job for the only worker of a kind and a few jobs for it that can never be done, and looks for how long the
// lasting task is away after its second failure.
func barred(f *fleet, trouble bool) (bool, error) {
	lastingFailures.Store(2)
	submit := func(id, step string) error {
		if status, err := f.submit(id, `{"spec":"x","steps":[{`+step+`}]}`); err != nil || status != 200 {
			return fmt.Errorf("status %d: %w", status, err)
		}
		return nil
	}
	if err := submit(lasting, `"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":300,"perpetual":true,"requirements":"b"`); err != nil {
		return false, err
	}
	for i := range goodJobs {
		if err := submit(fmt.Sprintf("%016x", i+1), `"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":50`); err != nil {
			return false, err
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(earlyEnd - time.Since(f.firstStart(lasting)) + 300*time.Millisecond) // its second run has begun
	for i := range poisonJobs {
		if !trouble {
			break
		}
		if err := submit(fmt.Sprintf(poisonStart+"%012x", i), `"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":100,"requirements":"b"`); err != nil {
			return false, err
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(50 * time.Second)
	return f.reportAway(), nil
}

// firstStart returns when the first run of the job has begun.
func (f *fleet) firstStart(job string) time.Time {
	f.journal.mu.Lock()
	defer f.journal.mu.Unlock()
	for _, i := range f.journal.runs {
		if strings.HasPrefix(i.task, job+".") {
			return i.from
		}
	}
	return time.Now()
}

// reportAway records all runs that need the kind, and reports whether the lasting task was away for 3 s, from 6 s after a run on.
func (f *fleet) reportAway() bool {
	f.journal.mu.Lock()
	defer f.journal.mu.Unlock()
	now, broken := time.Now(), false
	var last *interval
	for _, i := range f.journal.runs {
		if !strings.HasPrefix(i.task, lasting) && !strings.HasPrefix(i.task, poisonStart) {
			continue
		}
		f.note("run %d of %s on %s from %.3f to %.3f %s", i.run, i.task, i.host, i.from.Sub(f.began).Seconds(), i.to.Sub(f.began).Seconds(), i.how)
		if strings.HasPrefix(i.task, lasting) {
			broken = f.checkAway(last, i.from) || broken
			last = i
		}
	}
	return f.checkAway(last, now) || broken
}

func (f *fleet) checkAway(last *interval, until time.Time) bool {
	if last == nil || last.to.IsZero() {
		return false
	}
	away := until.Sub(last.to)
	f.note("the lasting task was away for %.3f s after run %d", away.Seconds(), last.run)
	if away < 9*time.Second {
		return false
	}
	f.note("LOST: nothing of it ran for over 3 s, from 6 s after its last run on")
	return true
}
