// Package ledger is the deterministic state machine of a partition: jobs, their tasks,
// and the claims of keyed requests. The package does no I/O; package partition makes the
// operations durable. A State belongs to one partition owner, which serialises all access.
package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"bamboofork/internal/invariant"
	"bamboofork/internal/worker"
)

// Errors of State.Apply. Each of them means that the operation is not valid in the current state and was not applied.
var (
	ErrStale     = errors.New("operation is stale")
	ErrNotFound  = errors.New("unknown job or claim")
	ErrDuplicate = errors.New("already exists")
)

// TaskState is the state of a task.
type TaskState string

// States of a task. Only the agent knows whether a placed task is running.
const (
	TaskPending   TaskState = "pending"
	TaskPlaced    TaskState = "placed"
	TaskDone      TaskState = "done"
	TaskFailed    TaskState = "failed"
	TaskCancelled TaskState = "cancelled"
	TaskUnknown   TaskState = "unknown" // non-idempotent and lost after its placement, so it may have run
)

// Final reports whether a task in this state never changes its state again.
func (s TaskState) Final() bool { return s != TaskPending && s != TaskPlaced }

// Task is one task of a job. Each attempt to run the task is placed on one agent.
type Task struct {
	State      TaskState `json:"state"`
	Attempt    int       `json:"attempt"` // number of the newest attempt
	Agent      string    `json:"agent,omitempty"`
	AgentInc   int64     `json:"agent_inc,omitempty"` // incarnation of the agent
	Checkpoint string    `json:"checkpoint,omitempty"`
	Failures   int       `json:"failures,omitempty"`
	Evictions  int       `json:"evictions,omitempty"`
	Resumes    int       `json:"resumes,omitempty"`   // placements that resume from the checkpoint of an eviction
	Resuming   bool      `json:"resuming,omitempty"`  // the current attempt continues from the checkpoint of the newest eviction
	FailedOn   []string  `json:"failed_on,omitempty"` // distinct agents on whose workers the task failed
	Reason     string    `json:"reason,omitempty"`
	NotBefore  time.Time `json:"not_before,omitzero"` // the next attempt is not placed earlier
}

// Job is a durable request to run tasks.
type Job struct {
	ID         string           `json:"id"`
	Key        string           `json:"key,omitempty"` // idempotency key of the submission
	Branch     string           `json:"branch"`
	Team       string           `json:"team,omitempty"`
	Kind       string           `json:"kind,omitempty"`
	Idempotent bool             `json:"idempotent"`
	Need       worker.Resources `json:"need"` // resources of each task
	Run        time.Duration    `json:"run"`  // declared run time of each task
	Deadline   time.Time        `json:"deadline,omitzero"`
	Priority   int              `json:"priority"`
	Gang       bool             `json:"gang,omitempty"` // start all tasks together or none
	Payload    []byte           `json:"payload,omitempty"`
	Hold       time.Duration    `json:"hold"` // how long an agent keeps a task running after the last confirmation by the owner
	Submitted  time.Time        `json:"submitted"`
	Cancelled  bool             `json:"cancelled,omitempty"`
	Tasks      []Task           `json:"tasks"`
}

// Finished reports whether all tasks are in a final state.
func (j *Job) Finished() bool {
	for i := range j.Tasks {
		if !j.Tasks[i].State.Final() {
			return false
		}
	}
	return true
}

// Claim is the durable record of a keyed request. It is open (Done is false) until its outcome is recorded.
type Claim struct {
	Key       string            `json:"key"`
	Branch    string            `json:"branch"`
	RequestID string            `json:"request_id"`
	Digest    string            `json:"digest,omitempty"` // hash of method, path, query and body; a repeated request must have the same digest
	At        time.Time         `json:"at"`               // when the claim was recorded, by the clock of the partition owner
	Agent     string            `json:"agent,omitempty"`  // agent that the current attempt is dispatched to
	AgentAddr string            `json:"agent_addr,omitempty"`
	AgentInc  int64             `json:"agent_inc,omitempty"`
	Attempt   int               `json:"attempt,omitempty"` // number of the dispatch; rises only if the previous one is proven never to run
	Until     time.Duration     `json:"until,omitempty"`   // reading of the agent's clock after which the agent refuses the dispatch
	Ended     time.Time         `json:"ended,omitzero"`    // when the outcome was recorded
	Done      bool              `json:"done,omitempty"`
	Outcome   string            `json:"outcome,omitempty"`
	Status    int               `json:"status,omitempty"` // HTTP status of the response
	Header    map[string]string `json:"header,omitempty"`
	Body      []byte            `json:"body,omitempty"`
	Truncated bool              `json:"truncated,omitempty"` // the body was too large to store
}

// OpKind is the kind of an operation.
type OpKind string

// Kinds of operations, with the fields that each one uses.
const (
	OpSubmit   OpKind = "submit"   // Job
	OpPlace    OpKind = "place"    // Ref, Agent, AgentInc: pending -> placed
	OpRefuse   OpKind = "refuse"   // Ref, Reason, NotBefore: placed -> pending; the attempt is proven not to have started
	OpEvict    OpKind = "evict"    // Ref, Checkpoint, Reason: placed -> pending
	OpEnd      OpKind = "end"      // Ref, State, Agent, Reason, NotBefore: placed -> State
	OpLost     OpKind = "lost"     // Ref, Reason: placed -> pending or unknown; the hold expired or the agent lost the task
	OpCancel   OpKind = "cancel"   // JobID
	OpClaim    OpKind = "claim"    // Claim
	OpAssign   OpKind = "assign"   // Claim: the attempt is proven not to have run; the next attempt goes to another agent
	OpComplete OpKind = "complete" // Claim
	OpRelease  OpKind = "release"  // Claim: the attempt is proven not to have run; the key can be claimed again
	OpPrune    OpKind = "prune"    // JobID or Claim.Key
)

// Op is one state transition. Only the fields of its kind are set.
type Op struct {
	Kind       OpKind      `json:"k"`
	Job        *Job        `json:"job,omitempty"`
	JobID      string      `json:"id,omitempty"`
	Ref        *worker.Ref `json:"ref,omitempty"`
	Agent      string      `json:"agent,omitempty"`
	AgentInc   int64       `json:"inc,omitempty"`
	Checkpoint string      `json:"cp,omitempty"`
	State      TaskState   `json:"state,omitempty"`
	Reason     string      `json:"why,omitempty"`
	NotBefore  time.Time   `json:"nb,omitzero"`
	Claim      *Claim      `json:"claim,omitempty"`
}

// State is the state of one partition.
type State struct {
	Jobs   map[string]*Job   `json:"jobs"`
	Keys   map[string]string `json:"keys"` // idempotency key -> job ID
	Claims map[string]*Claim `json:"claims"`
}

// NewState returns an empty state.
func NewState() *State {
	return &State{Jobs: map[string]*Job{}, Keys: map[string]string{}, Claims: map[string]*Claim{}}
}

// Encode serialises the state for a snapshot.
func (s *State) Encode() ([]byte, error) { return json.Marshal(s) }

// DecodeState parses a snapshot.
func DecodeState(data []byte) (*State, error) {
	s := NewState()
	err := json.Unmarshal(data, s)
	return s, err
}

// TaskRef returns the reference of an attempt of a task.
func TaskRef(jobID string, index, attempt int) worker.Ref {
	return worker.Ref{Task: jobID + "/" + strconv.Itoa(index), Attempt: attempt}
}

// SplitTaskName splits a task name into the job ID and the index of the task in Job.Tasks.
func SplitTaskName(task string) (string, int, error) {
	i := strings.LastIndexByte(task, '/')
	if i < 0 {
		return "", 0, fmt.Errorf("task %q has no index", task)
	}
	index, err := strconv.Atoi(task[i+1:])
	return task[:i], index, err
}

// Task returns the job and the task with the given task name. Both are nil if the task does not exist.
func (s *State) Task(name string) (*Job, *Task) {
	id, index, err := SplitTaskName(name)
	if err != nil {
		return nil, nil
	}
	job := s.Jobs[id]
	if job == nil || index < 0 || index >= len(job.Tasks) {
		return nil, nil
	}
	return job, &job.Tasks[index]
}

// Undo reverts one applied operation.
type Undo func()

// Apply applies one operation to the state and returns the function that reverts it. To revert several operations, call
// their Undo functions in reverse order of application.
func (s *State) Apply(op Op) (Undo, error) {
	switch op.Kind {
	case OpSubmit:
		return s.submit(op.Job)
	case OpCancel:
		return s.cancel(op.JobID)
	case OpClaim:
		return s.addClaim(op.Claim)
	case OpAssign:
		return s.assignClaim(op.Claim)
	case OpComplete:
		return s.completeClaim(op.Claim)
	case OpRelease:
		return s.releaseClaim(op.Claim)
	case OpPrune:
		return s.prune(op)
	case OpPlace, OpRefuse, OpEvict, OpEnd, OpLost:
		return s.transition(op)
	}
	return nil, fmt.Errorf("unknown operation %q", op.Kind)
}

func (s *State) submit(job *Job) (Undo, error) {
	if s.Jobs[job.ID] != nil {
		return nil, ErrDuplicate
	}
	if job.Key != "" && s.Keys[job.Key] != "" {
		return nil, ErrDuplicate
	}
	stored := *job // a copy, because the operation is encoded later, when the state may have changed
	stored.Tasks = append([]Task(nil), job.Tasks...)
	s.Jobs[job.ID] = &stored
	if job.Key != "" {
		s.Keys[job.Key] = job.ID
	}
	return func() {
		delete(s.Jobs, job.ID)
		delete(s.Keys, job.Key)
	}, nil
}

// transition applies an operation on one attempt of a task.
func (s *State) transition(op Op) (Undo, error) {
	job, task := s.Task(op.Ref.Task)
	if task == nil {
		return nil, ErrNotFound
	}
	before := *task
	var err error
	if op.Kind == OpPlace {
		err = task.place(job, op)
	} else {
		err = task.endAttempt(job, op)
	}
	if err != nil {
		*task = before
		return nil, err
	}
	return func() { *task = before }, nil
}

func (t *Task) place(job *Job, op Op) error {
	if t.State != TaskPending || job.Cancelled || op.Ref.Attempt != t.Attempt+1 {
		return ErrStale
	}
	t.Resuming = t.Evictions > t.Resumes && t.Checkpoint != ""
	if t.Resuming {
		t.Resumes++
	}
	invariant.Check(t.Resumes <= t.Evictions, "resume_once_per_eviction", "task %s: %d resumes of %d evictions", op.Ref.Task, t.Resumes, t.Evictions)
	t.State, t.Attempt, t.Agent, t.AgentInc = TaskPlaced, op.Ref.Attempt, op.Agent, op.AgentInc
	return nil
}

// endAttempt ends the current attempt of a placed task. It returns ErrStale if op is about another attempt.
func (t *Task) endAttempt(job *Job, op Op) error {
	if t.State != TaskPlaced || op.Ref.Attempt != t.Attempt {
		return ErrStale
	}
	t.Reason, t.NotBefore = op.Reason, op.NotBefore
	switch op.Kind {
	case OpRefuse:
		t.State = TaskPending
		if t.Resuming {
			t.Resumes-- // the refused attempt did not resume the task
		}
	case OpEvict:
		t.State, t.Checkpoint = TaskPending, op.Checkpoint
		t.Evictions++
	case OpLost:
		t.State = TaskPending
		if !job.Idempotent {
			t.State = TaskUnknown
		}
	case OpEnd:
		t.State = op.State
		if op.State == TaskPending || op.State == TaskFailed {
			t.recordFailure(op.Agent)
		}
	}
	t.Resuming = false
	if t.State == TaskPending && job.Cancelled {
		t.State = TaskCancelled
	}
	t.Agent, t.AgentInc = "", 0
	return nil
}

// recordFailure counts a failure on an agent's worker. FailedOn is copied, because an Undo may hold the old slice.
func (t *Task) recordFailure(agent string) {
	t.Failures++
	if agent != "" && !slices.Contains(t.FailedOn, agent) {
		t.FailedOn = append(slices.Clone(t.FailedOn), agent)
	}
}

func (s *State) cancel(id string) (Undo, error) {
	job := s.Jobs[id]
	if job == nil {
		return nil, ErrNotFound
	}
	if job.Cancelled || job.Finished() {
		return nil, ErrStale
	}
	before := append([]Task(nil), job.Tasks...)
	job.Cancelled = true
	for i := range job.Tasks {
		if job.Tasks[i].State == TaskPending {
			job.Tasks[i].State = TaskCancelled
		}
	}
	return func() {
		job.Cancelled = false
		copy(job.Tasks, before)
	}, nil
}

func (s *State) prune(op Op) (Undo, error) {
	if op.Claim != nil {
		return s.pruneClaim(op.Claim)
	}
	job := s.Jobs[op.JobID]
	if job == nil || !job.Finished() {
		return nil, ErrStale
	}
	delete(s.Jobs, job.ID)
	delete(s.Keys, job.Key)
	return func() {
		s.Jobs[job.ID] = job
		if job.Key != "" {
			s.Keys[job.Key] = job.ID
		}
	}, nil
}
