package main

import (
	"fmt"
	"sync"
	"time"
)

// runEntry is what the workers have seen of one run.
type runEntry struct {
	worker string
	task   string
	run    int
	start  time.Time
	end    time.Time // zero: it has not ended
	how    string
	noted  bool // the end was taken note of
	lapsed bool // the lease of the worker ended, or its lifetime, before the end was taken note of
}

// runBook holds the runs of all workers.
type runBook struct {
	mu      sync.Mutex
	byTask  map[string][]*runEntry
	entries []*runEntry
}

func newRunBook() *runBook { return &runBook{byTask: map[string][]*runEntry{}} }

func (b *runBook) started(worker, task string, run int) *runEntry {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := &runEntry{worker: worker, task: task, run: run, start: time.Now()}
	b.byTask[task] = append(b.byTask[task], e)
	b.entries = append(b.entries, e)
	return e
}

func (b *runBook) finished(e *runEntry, how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e.end, e.how = time.Now(), how
}

func (b *runBook) noted(e *runEntry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e.noted = true
}

func (b *runBook) lapsed(e *runEntry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !e.noted {
		e.lapsed = true
	}
}

// startedCount returns the number of runs of the job that were started, on the worker if it is not "".
func (b *runBook) startedCount(job, worker string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, e := range b.entries {
		if jobOf(e.task) == job && (worker == "" || e.worker == worker) {
			count++
		}
	}
	return count
}

// activeCount returns the number of runs of the job that have not ended.
func (b *runBook) activeCount(job string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, e := range b.entries {
		if jobOf(e.task) == job && e.end.IsZero() {
			count++
		}
	}
	return count
}

// twice returns the violations of the rule TWICE: two runs of a task at the same time, or a start after a run has ended as done whose
// end was taken note of then or later.
func (b *runBook) twice() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var broken []string
	for task, runs := range b.byTask {
		for i, earlier := range runs {
			for _, later := range runs[i+1:] {
				switch {
				case earlier.end.IsZero() || later.start.Before(earlier.end):
					broken = append(broken, fmt.Sprintf("%s: run %d on %s began while run %d ran on %s", task, later.run, later.worker, earlier.run, earlier.worker))
				case earlier.how == "done" && earlier.noted && !earlier.lapsed:
					broken = append(broken, fmt.Sprintf("%s: run %d began on %s %d ms after run %d had ended as done on %s; that end was taken note of",
						task, later.run, later.worker, later.start.Sub(earlier.end).Milliseconds(), earlier.run, earlier.worker))
				}
			}
		}
	}
	return broken
}
