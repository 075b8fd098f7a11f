// Package worker defines the interface to the platform's workers and a client of their
// HTTP interface. A worker runs each task under a lease and stops the task when the lease
// expires. It can checkpoint, throttle and stop a task. Its usage measurements lag behind
// the actual use. Package standin simulates a worker.
package worker

import (
	"context"
	"errors"
	"time"
)

// Errors of worker calls.
var (
	// ErrUnavailable means that the call failed. The call may have taken effect.
	ErrUnavailable = errors.New("worker unavailable")
	// ErrRefused means that the worker refused the call. The call had no effect.
	ErrRefused = errors.New("worker refused")
	// ErrNotFound means that the worker does not know the task.
	ErrNotFound = errors.New("task not known to the worker")
)

// Resources is a set of compute resources: a worker's capacity, or the need or use of a task.
type Resources struct {
	Cores        float64 `json:"cores" yaml:"cores"`
	MemoryMB     int64   `json:"memory_mb" yaml:"memory_mb"`
	Accelerators int     `json:"accelerators" yaml:"accelerators"`
}

// Add returns r + o.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.Cores + other.Cores, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Sub returns r - o.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.Cores - other.Cores, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// coresTolerance is the excess in cores that Fits tolerates, because adding and subtracting fractional cores causes rounding
// errors.
const coresTolerance = 1e-6

// Fits reports whether free has at least the amount of each resource in r.
func (r Resources) Fits(free Resources) bool {
	return r.Cores <= free.Cores+coresTolerance && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Ref identifies one attempt of a task.
type Ref struct {
	Task    string `json:"task"` // "<job>/<index>"
	Attempt int    `json:"attempt"`
}

// Spec describes a task to start on a worker.
type Spec struct {
	Ref        Ref           `json:"ref"`
	Kind       string        `json:"kind"`
	Need       Resources     `json:"need"`
	Run        time.Duration `json:"run"` // declared run time
	Payload    []byte        `json:"payload,omitempty"`
	Checkpoint string        `json:"checkpoint,omitempty"` // checkpoint to resume from; empty: none
	Lease      time.Duration `json:"lease"`                // the worker stops the task if the lease is not renewed within this time
	Until      time.Duration `json:"until,omitempty"`      // time on the worker's clock after which the task must not run; 0: no limit
	Team       string        `json:"team,omitempty"`
	Priority   int           `json:"priority,omitempty"`
	Declared   Resources     `json:"declared,omitzero"` // need as declared in the job; Need is adjusted to the observed use
}

// State is the state of a task at the worker.
type State string

// States of a task.
const (
	StateRunning      State = "running"
	StateDone         State = "done"
	StateFailed       State = "failed"
	StateCheckpointed State = "checkpointed" // stopped after a checkpoint
	StateStopped      State = "stopped"      // stopped by a command without a checkpoint, or because the lease expired
	StateNotStarted   State = "not_started"  // fenced before the start; a start that arrives later has no effect
)

// Status is the state of a task as reported by the worker.
type Status struct {
	Ref        Ref       `json:"ref"`
	Kind       string    `json:"kind"`
	Need       Resources `json:"need"`
	State      State     `json:"state"`
	Reason     string    `json:"reason,omitempty"`
	Checkpoint string    `json:"checkpoint,omitempty"`
	Progress   float64   `json:"progress"` // fraction of the work that is done, 0 to 1
	Throttle   float64   `json:"throttle"` // fraction of full speed that the task may use, 0 to 1
	Team       string    `json:"team,omitempty"`
	Priority   int       `json:"priority,omitempty"`
}

// TaskUsage is the measured resource use of one task.
type TaskUsage struct {
	Ref  Ref       `json:"ref"`
	Kind string    `json:"kind"`
	Used Resources `json:"used"`
}

// Usage is a measurement of the resource use of all tasks on a worker. The measurement lags behind the actual use.
type Usage struct {
	At    time.Time   `json:"at"` // time of the measurement
	Tasks []TaskUsage `json:"tasks"`
}

// Worker controls one worker of the platform. Implementations are safe for concurrent use.
type Worker interface {
	// Capacity returns the worker's total resources.
	Capacity(ctx context.Context) (Resources, error)
	// Start starts a task. Starting the same Ref again has no further effect.
	Start(ctx context.Context, spec Spec) error
	// Renew renews the leases of running tasks, so that they expire after the duration lease from now.
	Renew(ctx context.Context, refs []Ref, lease time.Duration) error
	// List returns all tasks that the worker knows. These include the ended and fenced tasks until a call of Forget.
	List(ctx context.Context) ([]Status, error)
	// Usage returns the latest usage measurement, which lags behind the actual use.
	Usage(ctx context.Context) (Usage, error)
	// Checkpoint saves the state of a task, stops it, and returns the name of the checkpoint.
	Checkpoint(ctx context.Context, ref Ref) (string, error)
	// Throttle limits a task to a fraction of its full speed, 0 to 1.
	Throttle(ctx context.Context, ref Ref, fraction float64) error
	// Stop stops a task without a checkpoint. It has no effect on a task that has ended. If the worker does not know the task,
	// the worker fences it: the worker lists the task as StateNotStarted, and a start that arrives later has no effect.
	Stop(ctx context.Context, ref Ref) error
	// Forget deletes the worker's record of a task that has ended.
	Forget(ctx context.Context, ref Ref) error
}

// ClockedWorker is implemented by workers that limit the run time of tasks by their own clock. The network or a pause of the sender
// can delay a start or renewal. With the limit, a delayed call cannot make a task run past the hold under which the call was
// sent.
type ClockedWorker interface {
	// Clock returns the time since the worker's start. The value decreases only when the worker loses its tasks.
	Clock(ctx context.Context) (time.Duration, error)
	// RenewUntil is like Renew, but it also sets the time on the worker's clock after which the tasks must not run.
	RenewUntil(ctx context.Context, refs []Ref, lease, until time.Duration) error
}
