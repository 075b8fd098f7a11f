// Package jobs is the state machine of jobs that consist of steps: what a job asks for, which of its tasks may start,
// and how starts, ends and cancellations change it. It does no input or output and reads no clock, so that every owner
// that applies the same changes reaches the same state.
package jobs

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Bounds of one job; a larger job is malformed.
const (
	MaxSteps       = 256
	MaxTasks       = 20_000 // over all occurrences; keeps the state of a job within one store value
	MaxPayload     = 4_000  // bytes
	maxOccurrences = 1_000
)

// ErrMalformed marks a job that can never run as it is described.
var ErrMalformed = errors.New("malformed job")

// Step is a group of equal tasks.
type Step struct {
	Count         int    `json:"n"`
	CPU           int    `json:"c,omitempty"` // thousandths of a core
	MemMB         int    `json:"m,omitempty"`
	GPU           int    `json:"g,omitempty"`
	EstimateMs    int64  `json:"e,omitempty"` // the submitter's rough guess
	After         []int  `json:"a,omitempty"` // earlier steps that must be done first
	Checkpointing bool   `json:"k,omitempty"`
	Gang          bool   `json:"gg,omitempty"`  // all tasks start together and fail together
	SameRack      bool   `json:"sr,omitempty"`  // slower when spread over racks
	Label         string `json:"l,omitempty"`   // required label of the worker
	DataRack      string `json:"dr,omitempty"`  // slower elsewhere
	MaxPerWorker  int    `json:"mw,omitempty"`  // 0: no limit
	Concurrent    bool   `json:"co,omitempty"`  // copies may run side by side
	Perpetual     bool   `json:"p,omitempty"`   // runs until the job is cancelled
	Image         string `json:"i,omitempty"`   // tasks of one image behave alike
	TargetMs      int64  `json:"t,omitempty"`   // bound on the tail latency of a serving task
	Fills         bool   `json:"f,omitempty"`   // uses only the processor time that other tasks leave
	MayMiss       int    `json:"mm,omitempty"`  // tasks that may be away at once because of the system's actions
	Advised       bool   `json:"adv,omitempty"` // needs a ticket of the advice service
}

// Spec is a job as submitted.
type Spec struct {
	Payload    string `json:"s"`
	Steps      []Step `json:"st"`
	Repeats    int    `json:"r,omitempty"` // 0: runs once, at once
	StartAtMs  int64  `json:"at,omitempty"`
	IntervalMs int64  `json:"iv,omitempty"`
}

// Validate returns an error that wraps ErrMalformed if the job cannot run as described.
func (s *Spec) Validate() error {
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return fmt.Errorf("%w: %d steps", ErrMalformed, len(s.Steps))
	}
	if len(s.Payload) > MaxPayload {
		return fmt.Errorf("%w: spec of %d bytes", ErrMalformed, len(s.Payload))
	}
	if s.Repeats < 0 || s.Repeats > maxOccurrences || s.IntervalMs < 0 {
		return fmt.Errorf("%w: %d repeats at %d ms", ErrMalformed, s.Repeats, s.IntervalMs)
	}
	tasks := 0
	for i, step := range s.Steps {
		if step.Count <= 0 || step.CPU < 0 || step.MemMB < 0 || step.GPU < 0 {
			return fmt.Errorf("%w: step %d: count %d, cpu %d, memory %d, gpu %d", ErrMalformed, i, step.Count, step.CPU, step.MemMB, step.GPU)
		}
		for _, a := range step.After {
			if a < 0 || a >= i {
				return fmt.Errorf("%w: step %d runs after step %d", ErrMalformed, i, a)
			}
		}
		tasks += step.Count
	}
	if tasks*max(1, s.Repeats) > MaxTasks {
		return fmt.Errorf("%w: %d tasks", ErrMalformed, tasks*max(1, s.Repeats))
	}
	return nil
}

// Occurrences returns how often the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Repeats) }

// DueMs returns when occurrence k may start, in Unix milliseconds; 0 for jobs without times.
func (s *Spec) DueMs(k int) int64 {
	if s.Repeats == 0 {
		return 0
	}
	return s.StartAtMs + int64(k)*s.IntervalMs
}

// TaskID names one task of one occurrence of a job.
type TaskID struct {
	Job              string
	Occ, Step, Index int
}

// String returns JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	b := make([]byte, 0, len(t.Job)+12)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occ, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// ParseTaskID reads what String writes.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("task id %q", s)
	}
	id := TaskID{Job: parts[0]}
	for i, field := range []*int{&id.Occ, &id.Step, &id.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("task id %q", s)
		}
		*field = n
	}
	return id, nil
}
