// Package jobs is the state machine of jobs. A job consists of steps, and a step consists of equal tasks. Each start of a task is
// a run. The package defines what a job requests, which of its tasks may start, and how placements, ends and cancellations
// change it. It does no I/O and reads no clock, so that every owner that applies the same
// changes reaches the same state.
package jobs

//go:generate go run github.com/tinylib/msgp@v1.6.5 -file spec.go -io=false -tests=false
//msgp:tag json
//msgp:limit arrays:65536 maps:256
//msgp:ignore TaskID

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Limits of one job. A job that exceeds one of them is malformed.
const (
	MaxSteps       = 256
	MaxTasks       = 20_000 // over all occurrences; this bound keeps the state of a job within the size limit of a store value
	MaxPayload     = 4_000  // bytes
	maxOccurrences = 1_000
	maxResource    = 1 << 40 // of one task, in the units of the resource; sums over MaxTasks tasks stay within an int
	maxTimeMs      = 1 << 50 // of a time or duration in milliseconds
	// MaxEncodedBytes bounds the JSON form of a job, so that it fits into a record of the log and a message to the owner.
	MaxEncodedBytes = 512 << 10
)

// ErrMalformed marks a job that can never run as it is described.
var ErrMalformed = errors.New("malformed job")

// Step is a group of tasks with the same requirements.
type Step struct {
	Count          int    `json:"n"`
	CPU            int    `json:"c,omitempty"` // millicores
	MemMB          int    `json:"m,omitempty"`
	GPU            int    `json:"g,omitempty"`
	EstimateMs     int64  `json:"e,omitempty"`   // expected run time, a rough estimate by the submitter
	After          []int  `json:"a,omitempty"`   // indexes of the earlier steps that must be done before this step starts
	Checkpointing  bool   `json:"k,omitempty"`   // a run can continue from the checkpoint of an earlier run
	Gang           bool   `json:"gg,omitempty"`  // gang scheduling: all tasks start together and fail together
	SameRack       bool   `json:"sr,omitempty"`  // the tasks prefer one rack: they are slower when spread over racks
	Label          string `json:"l,omitempty"`   // label that the worker must have
	DataRack       string `json:"dr,omitempty"`  // rack that holds the data; the tasks are slower elsewhere
	MaxPerWorker   int    `json:"mw,omitempty"`  // maximum number of tasks of the step on one worker; 0: no limit
	Concurrent     bool   `json:"co,omitempty"`  // copies of a task may run at the same time
	Perpetual      bool   `json:"p,omitempty"`   // runs until the job is cancelled
	Image          string `json:"i,omitempty"`   // image that each task runs; tasks of the same image are expected to behave alike
	TargetMs       int64  `json:"t,omitempty"`   // target for the tail latency; a task with a target is a serving task; 0: none
	BestEffort     bool   `json:"f,omitempty"`   // best-effort task: uses only the CPU time that the other tasks of its worker leave
	MaxUnavailable int    `json:"mm,omitempty"`  // maximum number of tasks that may be down at the same time because the system stopped them
	Advised        bool   `json:"adv,omitempty"` // a start needs a ticket from the advice service
}

// Spec is a job as its caller submitted it.
type Spec struct {
	Payload    string `json:"s"`
	Steps      []Step `json:"st"`
	Repeats    int    `json:"r,omitempty"`  // number of occurrences; 0: one occurrence that may start immediately
	StartAtMs  int64  `json:"at,omitempty"` // earliest start of the first occurrence, in Unix milliseconds
	IntervalMs int64  `json:"iv,omitempty"` // time between the earliest starts of two occurrences
}

// Validate returns an error that wraps ErrMalformed if the job exceeds a limit or is inconsistent. The error names the field.
func (s *Spec) Validate() error {
	if err := s.validateShape(); err != nil {
		return err
	}
	if len(s.Payload) > MaxPayload {
		return fmt.Errorf("%w: spec of %d bytes", ErrMalformed, len(s.Payload))
	}
	if s.IntervalMs < 0 || s.IntervalMs > maxTimeMs {
		return fmt.Errorf("%w: %d repeats at %d ms", ErrMalformed, s.Repeats, s.IntervalMs)
	}
	if !isTime(s.StartAtMs) {
		return fmt.Errorf("%w: first start at %d ms", ErrMalformed, s.StartAtMs)
	}
	for i, step := range s.Steps {
		if !isResource(step.CPU) || !isResource(step.MemMB) || !isResource(step.GPU) {
			return fmt.Errorf("%w: step %d: cpu %d, memory %d, gpu %d", ErrMalformed, i, step.CPU, step.MemMB, step.GPU)
		}
		if !isTime(step.EstimateMs) || !isTime(step.TargetMs) {
			return fmt.Errorf("%w: step %d: estimate %d ms, target %d ms", ErrMalformed, i, step.EstimateMs, step.TargetMs)
		}
	}
	if s.maxEncodedBytes() > MaxEncodedBytes {
		encoded, err := json.Marshal(s)
		if err != nil || len(encoded) > MaxEncodedBytes {
			return fmt.Errorf("%w: %d bytes when encoded", ErrMalformed, len(encoded))
		}
	}
	return nil
}

// validateShape checks what the state of a job is built from: the numbers of steps, tasks and occurrences, and the order of the steps.
func (s *Spec) validateShape() error {
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return fmt.Errorf("%w: %d steps", ErrMalformed, len(s.Steps))
	}
	if s.Repeats < 0 || s.Repeats > maxOccurrences {
		return fmt.Errorf("%w: %d repeats", ErrMalformed, s.Repeats)
	}
	tasks := 0
	for i, step := range s.Steps {
		if step.Count <= 0 || step.Count > MaxTasks { // before the sum, which cannot overflow then
			return fmt.Errorf("%w: step %d: count %d", ErrMalformed, i, step.Count)
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

func isTime(ms int64) bool { return ms >= -maxTimeMs && ms <= maxTimeMs }

func isResource(n int) bool { return n >= 0 && n <= maxResource }

// maxEncodedBytes returns an upper bound on the size of the JSON form.
func (s *Spec) maxEncodedBytes() int {
	const (
		fieldsBytes  = 512 // names and numbers of a step
		indexBytes   = 20
		escapedBytes = 6 // of one byte of text
	)
	size := fieldsBytes + escapedBytes*len(s.Payload)
	for _, step := range s.Steps {
		size += fieldsBytes + indexBytes*len(step.After) + escapedBytes*(len(step.Label)+len(step.DataRack)+len(step.Image))
	}
	return size
}

// OccurrenceCount returns the number of occurrences of the job. Each occurrence runs all steps once.
func (s *Spec) OccurrenceCount() int { return max(1, s.Repeats) }

// DueMs returns the earliest start of occurrence k in Unix milliseconds, or 0 for a job without a schedule.
func (s *Spec) DueMs(k int) int64 {
	if s.Repeats == 0 {
		return 0
	}
	return s.StartAtMs + int64(k)*s.IntervalMs
}

// TaskID identifies one task of one occurrence of a job. Occurrence is the index of the occurrence, Step the index of the step in the
// occurrence, and Index the index of the task in the step.
type TaskID struct {
	Job                     string
	Occurrence, Step, Index int
}

// String returns the task ID in the form JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	b := make([]byte, 0, len(t.Job)+12)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// ParseTaskID parses a task ID in the form that TaskID.String returns.
func ParseTaskID(s string) (TaskID, error) {
	fields := strings.Split(s, ".")
	if len(fields) != 4 {
		return TaskID{}, fmt.Errorf("malformed task ID %q", s)
	}
	id := TaskID{Job: fields[0]}
	for i, number := range []*int{&id.Occurrence, &id.Step, &id.Index} {
		n, err := strconv.Atoi(fields[i+1])
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("malformed task ID %q", s)
		}
		*number = n
	}
	return id, nil
}
