// Package worker is the interface to the platform's workers: they run tasks under
// leases, report usage with a lag, and can checkpoint, throttle and stop a task.
// HTTPClient is the client of the HTTP interface; package standin simulates a worker.
package worker

import (
	"context"
	"errors"
	"time"
)

// Errors of worker calls.
var (
	// ErrUnavailable means that the call failed; it may have taken effect.
	ErrUnavailable = errors.New("worker unavailable")
	// ErrRefused means that the worker refused the call; it had no effect.
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
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Cores + o.Cores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Cores - o.Cores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// epsilonCores tolerates rounding errors from adding and subtracting fractional cores.
const epsilonCores = 1e-6

// Fits reports whether no resource in r exceeds that in free.
func (r Resources) Fits(free Resources) bool {
	return r.Cores <= free.Cores+epsilonCores && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
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
	Checkpoint string        `json:"checkpoint,omitempty"` // to resume from, if not empty
	Lease      time.Duration `json:"lease"`                // the worker stops the task if the lease is not renewed within this time
	Until      time.Duration `json:"until,omitempty"`      // on the worker's clock; the task must not run past it; 0: no limit
	Team       string        `json:"team,omitempty"`
	Priority   int           `json:"priority,omitempty"`
	Declared   Resources     `json:"declared,omitzero"` // as declared in the job; Need is adjusted by observed use
}

// State of a task at the worker.
type State string

// States of a task.
const (
	StateRunning      State = "running"
	StateDone         State = "done"
	StateFailed       State = "failed"
	StateCheckpointed State = "checkpointed" // stopped after a checkpoint
	StateStopped      State = "stopped"      // stopped without a checkpoint, or its lease expired
	StateNotStarted   State = "not_started"  // fenced before it started; a start that arrives later has no effect
)

// Status is the state of a task as reported by the worker.
type Status struct {
	Ref        Ref       `json:"ref"`
	Kind       string    `json:"kind"`
	Need       Resources `json:"need"`
	State      State     `json:"state"`
	Reason     string    `json:"reason,omitempty"`
	Checkpoint string    `json:"checkpoint,omitempty"`
	Progress   float64   `json:"progress"` // 0 to 1
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

// Usage is a measurement of the resource use of all tasks on a worker. It lags behind the actual use.
type Usage struct {
	At    time.Time   `json:"at"` // when it was measured
	Tasks []TaskUsage `json:"tasks"`
}

// Worker controls one worker of the platform. Implementations are safe for concurrent use.
type Worker interface {
	// Capacity returns the worker's total resources.
	Capacity(ctx context.Context) (Resources, error)
	// Start starts a task. Starting the same Ref again has no further effect.
	Start(ctx context.Context, spec Spec) error
	// Renew extends the leases of running tasks.
	Renew(ctx context.Context, refs []Ref, lease time.Duration) error
	// List returns all tasks that the worker knows, including ended and fenced ones that were not forgotten.
	List(ctx context.Context) ([]Status, error)
	// Usage returns the latest measurement, which lags behind the actual use.
	Usage(ctx context.Context) (Usage, error)
	// Checkpoint saves the state of a task, stops it, and returns the name of the checkpoint.
	Checkpoint(ctx context.Context, ref Ref) (string, error)
	// Throttle limits a task to a fraction of its full speed, 0 to 1.
	Throttle(ctx context.Context, ref Ref, fraction float64) error
	// Stop stops a task without a checkpoint. It has no effect on a task that has ended. A task that the worker does not know
	// is fenced: it is listed as StateNotStarted, and a start that arrives later has no effect.
	Stop(ctx context.Context, ref Ref) error
	// Forget deletes the worker's record of a task that has ended.
	Forget(ctx context.Context, ref Ref) error
}

// Clocked is implemented by workers that limit tasks by their own clock. A start or renewal that is delayed by the network
// or by a pause of its sender then cannot make a task run past the hold under which it was sent.
type Clocked interface {
	// Clock returns the time since the worker's start. It decreases only when the worker loses its tasks.
	Clock(ctx context.Context) (time.Duration, error)
	// RenewUntil is like Renew, but the tasks must not run past until on the worker's clock.
	RenewUntil(ctx context.Context, refs []Ref, lease, until time.Duration) error
}
