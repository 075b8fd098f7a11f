package jobs

import (
	"encoding/json"
	"sort"

	"bamboofork/internal/invariant"
)

// TaskState is the state of a task.
type TaskState uint8

// States of a task. A placed task occupies resources on its worker until the end of its run is known.
const (
	TaskWaiting TaskState = iota
	TaskPlaced
	TaskDone
	TaskFailed // failed in the last attempt that its queue allows
)

// JobState is the state of a job as reported to callers.
type JobState string

// States of a job.
const (
	Queued    JobState = "queued"
	Running   JobState = "running"
	Completed JobState = "completed"
	Failed    JobState = "failed"
	Cancelled JobState = "cancelled"
)

// Task is one unit of work. Fields without a JSON name are not stored; a new owner learns them from the agents' reports.
type Task struct {
	State      TaskState `json:"s,omitempty"`
	Run        int       `json:"r,omitempty"` // number of the newest start
	Failures   int       `json:"f,omitempty"`
	Worker     string    `json:"w,omitempty"` // agent of the worker on which the newest run was placed
	Lifetime   int64     `json:"l,omitempty"` // lifetime of that worker when the run was placed
	Checkpoint string    `json:"k,omitempty"`

	// Pace is the share of full speed, in percent, last sent for a placed task.
	Pace           int   `json:"-"`
	SlowSinceMs    int64 `json:"-"` // time on the owner's boot clock since which the run is slow enough to be moved; 0: it is not
	Stopping       bool  `json:"-"` // a stop command was queued and the end is not known yet
	Sent           bool  `json:"-"` // the start command may have been sent
	CommandSeq     int64 `json:"-"` // number of the message that carried the start command
	WaitingSinceMs int64 `json:"-"` // time on the owner's boot clock since which a perpetual task waits; 0: not recorded
	PlacedMs       int64 `json:"-"` // time on the owner's boot clock at the placement, or at the recovery
	RunStarted     bool  `json:"-"` // the agent has reported the run as started
	Percent        int   `json:"-"` // last reported progress
	LastProgressMs int64 `json:"-"` // time on the owner's boot clock at the last change of Percent
}

// FullPace is the pace of a task that is not slowed, in percent.
const FullPace = 100

// StepState is the progress of one step of one occurrence.
type StepState struct {
	Tasks   []Task `json:"t"`
	Done    int    `json:"-"` // number of tasks that are done
	Waiting int    `json:"-"` // number of tasks that wait to be placed
}

// Occurrence is one execution of all steps of a job.
type Occurrence struct {
	Steps []StepState `json:"s"`
	Done  int         `json:"-"` // number of steps that are done
}

// Queue holds the attributes that a job copies from its queue when it is accepted.
type Queue struct {
	Name              string  `json:"q"`
	Service           string  `json:"sv"` // service whose workers may run the job
	Priority          int     `json:"p,omitempty"`
	MaxAttempts       int     `json:"ma,omitempty"` // attempts per task; only failed runs count
	Stretch           float64 `json:"sx,omitempty"` // completion time objective: Stretch times the longest chain of steps, plus TargetMs
	TargetMs          int64   `json:"tm,omitempty"`
	AdviceMs          int64   `json:"ad,omitempty"` // base decision time of the advice service; 0: the queue needs no advice
	AdvicePerWorkerMs int64   `json:"ap,omitempty"` // additional decision time per worker in a request
	TicketMs          int64   `json:"at,omitempty"` // validity of a ticket
}

// Job is a submitted job with its progress.
type Job struct {
	ID          string       `json:"id"`
	Queue       Queue        `json:"q"`
	Spec        Spec         `json:"sp"`
	AcceptedMs  int64        `json:"am"` // Unix milliseconds by the clock of the owner that accepted the job
	IsCancelled bool         `json:"x,omitempty"`
	IsFailed    bool         `json:"fl,omitempty"`
	EndedMs     int64        `json:"em,omitempty"` // Unix milliseconds of the final state
	Occ         []Occurrence `json:"oc"`

	Started         bool `json:"-"` // a task has been placed at least once
	doneOccurrences int  // number of occurrences whose steps are all done
	// IdleSinceMs is the time on the owner's boot clock since which no task of the job is placed; 0: one is.
	IdleSinceMs  int64    `json:"-"`
	DurableState JobState `json:"-"` // newest durable state, which is reported to callers
	Durable      bool     `json:"-"` // the submission is in the store
}

func (j *Job) State() JobState {
	switch {
	case j.IsCancelled:
		return Cancelled
	case j.IsFailed:
		return Failed
	case j.doneOccurrences == len(j.Occ):
		return Completed
	case j.Started:
		return Running
	}
	return Queued
}

// Ended reports whether the job has reached a final state, so that none of its tasks may start.
func (j *Job) Ended() bool { return j.EndedMs != 0 }

// Task returns the task, or nil if the job has no such task.
func (j *Job) Task(id TaskID) *Task {
	if id.Occ >= len(j.Occ) || id.Step >= len(j.Occ[id.Occ].Steps) || id.Index >= len(j.Occ[id.Occ].Steps[id.Step].Tasks) {
		return nil
	}
	return &j.Occ[id.Occ].Steps[id.Step].Tasks[id.Index]
}

// Tasks returns the number of tasks over all occurrences.
func (j *Job) Tasks() int {
	n := 0
	for i := range j.Spec.Steps {
		n += j.Spec.Steps[i].Count
	}
	return n * len(j.Occ)
}

// StepReady reports whether all steps that the step depends on are done.
func (j *Job) StepReady(occ, step int) bool {
	for _, a := range j.Spec.Steps[step].After {
		if j.Occ[occ].Steps[a].Done < len(j.Occ[occ].Steps[a].Tasks) {
			return false
		}
	}
	return true
}

// Outcome is how a run ended.
type Outcome string

// Outcomes of a run. EndLapsed means that the worker ended the run because its hold expired, EndLost that the run is known to
// have ended although its worker reported no end.
const (
	EndDone    Outcome = "done"
	EndFailed  Outcome = "failed"
	EndStopped Outcome = "stopped"
	EndLapsed  Outcome = "lapsed"
	EndBroken  Outcome = "broken"
	EndAlone   Outcome = "alone"
	EndLost    Outcome = "lost"
)

// Change is one transition. Exactly one of the pointer fields is set.
type Change struct {
	Submit *Job      `json:"sub,omitempty"`
	Cancel *Cancel   `json:"can,omitempty"`
	Place  *Place    `json:"pl,omitempty"`
	End    *End      `json:"end,omitempty"`
	Delete *struct{} `json:"fg,omitempty"`
	JobID  string    `json:"j,omitempty"`
}

// Cancel ends a job at a caller's request.
type Cancel struct {
	AtMs int64 `json:"t"`
}

// Place assigns a task to a worker. It must be durable before the start command is sent.
type Place struct {
	Occ      int    `json:"k,omitempty"`
	Step     int    `json:"s,omitempty"`
	Index    int    `json:"i,omitempty"`
	Run      int    `json:"r"`
	Worker   string `json:"w"`
	Lifetime int64  `json:"l"`
}

// End records how a run ended. It must be durable before the end is acknowledged to the worker.
type End struct {
	Occ        int     `json:"k,omitempty"`
	Step       int     `json:"s,omitempty"`
	Index      int     `json:"i,omitempty"`
	Run        int     `json:"r"`
	Outcome    Outcome `json:"h"`
	Checkpoint string  `json:"c,omitempty"`
	AtMs       int64   `json:"t,omitempty"`
}

// State holds all jobs of one owner.
type State struct {
	Jobs map[string]*Job
}

// NewState returns an empty state.
func NewState() *State { return &State{Jobs: map[string]*Job{}} }

// Apply applies one transition. Transitions that are not valid in the current state, such as a second end of a run, have no
// effect.
func (s *State) Apply(c Change) {
	if c.Submit != nil {
		s.submit(c.Submit)
		return
	}
	j := s.Jobs[c.JobID]
	if j == nil {
		return
	}
	switch {
	case c.Cancel != nil:
		j.cancel(c.Cancel)
	case c.Place != nil:
		j.placeTask(c.Place)
	case c.End != nil:
		j.endRun(c.End)
	case c.Delete != nil:
		delete(s.Jobs, c.JobID)
	}
}

// submit adds a copy of the job. The change itself is encoded into the log later and must not contain transitions that are
// applied to the job in the meantime.
func (s *State) submit(submitted *Job) {
	if s.Jobs[submitted.ID] != nil {
		return
	}
	j := &Job{ID: submitted.ID, Queue: submitted.Queue, Spec: submitted.Spec, AcceptedMs: submitted.AcceptedMs}
	j.initOccurrences()
	s.Jobs[j.ID] = j
}

func (j *Job) initOccurrences() {
	j.Occ = make([]Occurrence, j.Spec.Occurrences())
	for k := range j.Occ {
		j.Occ[k].Steps = make([]StepState, len(j.Spec.Steps))
		for i, step := range j.Spec.Steps {
			j.Occ[k].Steps[i] = StepState{Tasks: make([]Task, step.Count), Waiting: step.Count}
		}
	}
}

// rebuildCounters restores the fields that are derived from the tasks and not stored.
func (j *Job) rebuildCounters() {
	j.doneOccurrences = 0
	for k := range j.Occ {
		o := &j.Occ[k]
		o.Done = 0
		for i := range o.Steps {
			st := &o.Steps[i]
			st.Done, st.Waiting = 0, 0
			for _, t := range st.Tasks {
				switch t.State {
				case TaskDone:
					st.Done++
				case TaskWaiting:
					st.Waiting++
				}
				if t.Run > 0 {
					j.Started = true
				}
			}
			if st.Done == len(st.Tasks) {
				o.Done++
			}
		}
		if o.Done == len(o.Steps) {
			j.doneOccurrences++
		}
	}
}

func (j *Job) cancel(c *Cancel) {
	if j.Ended() {
		return
	}
	j.IsCancelled = true
	j.EndedMs = c.AtMs
}

func (j *Job) placeTask(p *Place) {
	t := j.Task(TaskID{Occ: p.Occ, Step: p.Step, Index: p.Index})
	if t == nil {
		return
	}
	invariant.Check(t.State == TaskWaiting, "task_placed_once", "job %s task %d.%d.%d placed in state %d", j.ID, p.Occ, p.Step, p.Index, t.State)
	invariant.Check(p.Run > t.Run, "run_numbers_rise", "job %s task %d.%d.%d: run %d after %d", j.ID, p.Occ, p.Step, p.Index, p.Run, t.Run)
	invariant.Check(!j.Ended() && j.StepReady(p.Occ, p.Step), "step_order", "job %s step %d.%d placed too early", j.ID, p.Occ, p.Step)
	j.Started = true
	t.State, t.Run, t.Worker, t.Lifetime = TaskPlaced, p.Run, p.Worker, p.Lifetime
	t.Stopping, t.Sent, t.RunStarted, t.Percent, t.LastProgressMs, t.WaitingSinceMs = false, false, false, 0, 0, 0
	t.Pace, t.SlowSinceMs = FullPace, 0
	j.Occ[p.Occ].Steps[p.Step].Waiting--
}

func (j *Job) endRun(e *End) {
	t := j.Task(TaskID{Occ: e.Occ, Step: e.Step, Index: e.Index})
	if t == nil || t.State != TaskPlaced || t.Run != e.Run {
		return
	}
	if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
	}
	step := &j.Spec.Steps[e.Step]
	st := &j.Occ[e.Occ].Steps[e.Step]
	t.State, t.Stopping = TaskWaiting, false
	switch {
	case e.Outcome == EndDone && !step.Perpetual:
		j.completeTask(e, t, st)
	case e.Outcome == EndFailed && !step.Perpetual:
		j.failTask(e, t, st)
	default:
		st.Waiting++
	}
}

func (j *Job) completeTask(e *End, t *Task, st *StepState) {
	t.State = TaskDone
	t.Checkpoint = ""
	st.Done++
	if j.Spec.Steps[e.Step].Gang {
		for i := range st.Tasks { // the end of one task ends the whole gang
			if m := &st.Tasks[i]; m.State != TaskDone {
				if m.State == TaskWaiting {
					st.Waiting--
				}
				m.State, m.Checkpoint = TaskDone, ""
				st.Done++
			}
		}
	}
	if st.Done < len(st.Tasks) {
		return
	}
	o := &j.Occ[e.Occ]
	o.Done++
	if o.Done < len(o.Steps) {
		return
	}
	j.doneOccurrences++
	if j.doneOccurrences == len(j.Occ) && !j.Ended() {
		j.EndedMs = e.AtMs
	}
}

func (j *Job) failTask(e *End, t *Task, st *StepState) {
	t.Failures++
	if t.Failures < max(1, j.Queue.MaxAttempts) {
		st.Waiting++
		return
	}
	t.State = TaskFailed
	if !j.Ended() {
		j.IsFailed = true
		j.EndedMs = e.AtMs
	}
}

// Encode returns the serialized state for a snapshot.
func (s *State) Encode() ([]byte, error) {
	list := make([]*Job, 0, len(s.Jobs))
	for _, j := range s.Jobs {
		list = append(list, j)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return json.Marshal(list)
}

// Decode restores the state from the result of Encode. Empty data yields an empty state.
func Decode(data []byte) (*State, error) {
	s := NewState()
	if len(data) == 0 {
		return s, nil
	}
	var list []*Job
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, err
	}
	for _, j := range list {
		j.rebuildCounters()
		s.Jobs[j.ID] = j
	}
	return s, nil
}

// MarkDurable marks the submission as durable and makes the current state the one that is reported to callers.
func (j *Job) MarkDurable() {
	j.Durable = true
	j.DurableState = j.State()
}
