package soak

import (
	"sync"

	"bamboofork/internal/invariant"
	"bamboofork/internal/worker"
)

// observer records the starts and ends of tasks on all simulated workers of the fleet, and checks that no task runs twice concurrently.
// mu guards all fields.
type observer struct {
	mu      sync.Mutex
	running map[string]string    // ID of the worker by ID of a running task
	starts  int                  // number of task starts
	ends    map[worker.State]int // number of task ends by final state
}

func newObserver() *observer {
	return &observer{running: map[string]string{}, ends: map[worker.State]int{}}
}

// TaskStarted implements standin.TaskObserver.
func (o *observer) TaskStarted(ref worker.Ref, workerID string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	runningOn, isRunning := o.running[ref.Task]
	invariant.Check(!isRunning, "one_running_instance", "task %s attempt %d starts on %s while it runs on %s",
		ref.Task, ref.Attempt, workerID, runningOn)
	o.running[ref.Task] = workerID
	o.starts++
}

// TaskEnded implements standin.TaskObserver.
func (o *observer) TaskEnded(ref worker.Ref, _ string, state worker.State) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.running, ref.Task)
	o.ends[state]++
}

// totals returns the number of task starts, and the number of task ends by final state.
func (o *observer) totals() (int, map[worker.State]int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	ends := make(map[worker.State]int, len(o.ends))
	for s, n := range o.ends {
		ends[s] = n
	}
	return o.starts, ends
}
