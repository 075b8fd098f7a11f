// Package worker is the interface to the platform's workers: they run tasks under
// leases, report usage with a lag, and can checkpoint, throttle and stop a task.
// HTTPClient is the adapter; the stand-in lives in package platform.
package worker

import (
	"context"
	"errors"
	"time"
)

// Errors of worker calls.
var (
	// ErrUnavailable: the call failed; it may have taken effect.
	ErrUnavailable = errors.New("worker unavailable")
	// ErrRefused: the worker refused the call; it had no effect.
	ErrRefused = errors.New("worker refused")
	// ErrNotFound: the worker does not know the task.
	ErrNotFound = errors.New("task not known to the worker")
)

// Resources is an amount of a worker's capacity.
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

// epsilonCores absorbs rounding when fractional cores are added and subtracted.
const epsilonCores = 1e-6

// Fits reports whether r fits into free.
func (r Resources) Fits(free Resources) bool {
	return r.Cores <= free.Cores+epsilonCores && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Ref names one attempt of a task.
type Ref struct {
	Task    string `json:"task"` // "<job>/<index>"
	Attempt int    `json:"attempt"`
}

// Spec is what a worker needs to start a task.
type Spec struct {
	Ref        Ref           `json:"ref"`
	Kind       string        `json:"kind"`
	Need       Resources     `json:"need"`
	Run        time.Duration `json:"run"` // declared run time
	Payload    []byte        `json:"payload,omitempty"`
	Checkpoint string        `json:"checkpoint,omitempty"` // resume from here
	Lease      time.Duration `json:"lease"`                // the worker stops the task if not renewed for this long
	Until      time.Duration `json:"until,omitempty"`      // on the worker's clock: the task must not run after it; 0: no bound
	Team       string        `json:"team,omitempty"`
	Priority   int           `json:"priority,omitempty"`
	Declared   Resources     `json:"declared,omitzero"` // what the job asked for; Need is corrected by what was observed
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
	StateNotStarted   State = "not_started"  // fenced before its start arrived; a later start has no effect
)

// Status is a task as the worker sees it.
type Status struct {
	Ref        Ref       `json:"ref"`
	Kind       string    `json:"kind"`
	Need       Resources `json:"need"`
	State      State     `json:"state"`
	Reason     string    `json:"reason,omitempty"`
	Checkpoint string    `json:"checkpoint,omitempty"`
	Progress   float64   `json:"progress"` // 0 to 1
	Throttle   float64   `json:"throttle"` // share of its speed that the task may use, 0 to 1
	Team       string    `json:"team,omitempty"`
	Priority   int       `json:"priority,omitempty"`
}

// TaskUsage is the measured use of one task.
type TaskUsage struct {
	Ref  Ref       `json:"ref"`
	Kind string    `json:"kind"`
	Used Resources `json:"used"`
}

// Usage is a lagged measurement of a whole worker.
type Usage struct {
	At    time.Time   `json:"at"` // when it was measured
	Tasks []TaskUsage `json:"tasks"`
}

// Worker is one worker of the platform. Implementations are safe for concurrent use.
type Worker interface {
	// Capacity returns the worker's total resources.
	Capacity(ctx context.Context) (Resources, error)
	// Start starts a task. Starting the same Ref again has no further effect.
	Start(ctx context.Context, spec Spec) error
	// Renew extends the leases of running tasks.
	Renew(ctx context.Context, refs []Ref, lease time.Duration) error
	// List returns all tasks that the worker remembers.
	List(ctx context.Context) ([]Status, error)
	// Usage returns the newest measurement, which lags.
	Usage(ctx context.Context) (Usage, error)
	// Checkpoint saves and stops a task and returns the checkpoint's name.
	Checkpoint(ctx context.Context, ref Ref) (string, error)
	// Throttle limits a task to a share of its speed, 0 to 1.
	Throttle(ctx context.Context, ref Ref, share float64) error
	// Stop ends a task without a checkpoint. Stopping a task that ended has no effect. Stopping one that the worker does
	// not know fences it: the list shows it as StateNotStarted, and a start that arrives later has no effect.
	Stop(ctx context.Context, ref Ref) error
	// Forget drops the record of a task that ended.
	Forget(ctx context.Context, ref Ref) error
}

// Clocked is a Worker that bounds tasks by its own clock. A start or a renewal that is delayed on the way, or by a
// pause of its sender, then cannot make a task run past the hold that it was sent under.
type Clocked interface {
	// Clock returns the time since the worker's start. It goes back only when the worker loses its tasks.
	Clock(ctx context.Context) (time.Duration, error)
	// RenewUntil is Renew with a bound on the worker's clock.
	RenewUntil(ctx context.Context, refs []Ref, lease, until time.Duration) error
}
