package jobs

//go:generate go run github.com/tinylib/msgp@v1.6.5 -file state.go -io=false -tests=false
//msgp:tag json
//msgp:limit arrays:65536 maps:256
//msgp:ignore TaskState Task StepState Occurrence Job Change Cancel Place End Silence SilenceID Term Heard State

import (
	"encoding/json"
	"sort"

	"bamboofork/internal/invariant"
)

// TaskState is the state of a task.
type TaskState uint8

// States of a task. A placed task reserves resources of its worker until the end of its run is known.
const (
	TaskWaiting TaskState = iota
	TaskPlaced
	TaskDone
	TaskFailed // the last attempt that the queue of the job allows has failed
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

// Task is the state of one task of a step. Fields without a JSON name are not stored; a new owner sets them from the reports of the
// agents.
type Task struct {
	State      TaskState `json:"s,omitempty"`
	Run        int       `json:"r,omitempty"` // number of the newest run; 0: the task was never placed
	Failures   int       `json:"f,omitempty"` // number of failed runs
	Worker     string    `json:"w,omitempty"` // agent of the worker on which the newest run was placed
	Lifetime   int64     `json:"l,omitempty"` // lifetime number of that worker when the run was placed
	Checkpoint string    `json:"k,omitempty"` // newest checkpoint, from which the next run continues; empty: none
	// CheckpointRank tells which member of a gang has the newest checkpoint, see rankOf; 0: not known.
	CheckpointRank int   `json:"kr,omitempty"`
	EndedMs        int64 `json:"e,omitempty"` // time in Unix milliseconds at which a waiting task began to wait again; 0: it was never placed

	// PacePercent is the pace that was last sent for a placed task: the share of full speed, in percent.
	PacePercent     int   `json:"-"`
	SlowSinceMs     int64 `json:"-"` // time on the owner's boot clock since which the run is slow enough to be moved; 0: the run is not
	Stopping        bool  `json:"-"` // a stop command for the run was queued, and the end of the run is not known yet
	StartMaybeSent  bool  `json:"-"` // the start command may have been sent
	CommandSeq      int64 `json:"-"` // sequence number of the message that carried the start command
	WaitingSinceMs  int64 `json:"-"` // time on the owner's boot clock since which a perpetual task waits; 0: not recorded
	EarlyFailures   int   `json:"-"` // number of failed runs of a perpetual task since its last sound run, see placement.DelayRestart
	NoStartUntilMs  int64 `json:"-"` // time on the owner's boot clock before which a perpetual task is not started again; 0: none
	PlacedMs        int64 `json:"-"` // time on the owner's boot clock at the placement, or at the recovery of the job by a new owner
	RunStarted      bool  `json:"-"` // the agent has reported the run as started
	ProgressPercent int   `json:"-"` // last reported progress, in percent
	LastProgressMs  int64 `json:"-"` // time on the owner's boot clock at the last change of ProgressPercent; 0: not recorded
}

// FullPacePercent is the pace of a task that is not slowed, in percent.
const FullPacePercent = 100

// StepState is the state of one step of one occurrence.
type StepState struct {
	Tasks        []Task `json:"t"`
	DoneTasks    int    `json:"-"` // number of tasks that are done
	WaitingTasks int    `json:"-"` // number of tasks that wait to be placed
}

// Occurrence is one execution of all steps of a job.
type Occurrence struct {
	Steps     []StepState `json:"s"`
	DoneSteps int         `json:"-"` // number of steps that are done
}

// Queue holds the attributes of a queue. A job keeps a copy from the time at which it was accepted.
type Queue struct {
	Name              string  `json:"q"`
	Service           string  `json:"sv"` // service whose workers may run the job
	Priority          int     `json:"p,omitempty"`
	MaxAttempts       int     `json:"ma,omitempty"` // attempts per task; only failed runs count
	Stretch           float64 `json:"sx,omitempty"` // completion time objective: Stretch times the longest chain of steps, plus TargetMs
	TargetMs          int64   `json:"tm,omitempty"` // constant part of the completion time objective; see Stretch
	AdviceMs          int64   `json:"ad,omitempty"` // base decision time of the advice service; 0: the queue needs no advice
	AdvicePerWorkerMs int64   `json:"ap,omitempty"` // additional decision time for each worker in a request to the advice service
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
	EndedMs     int64        `json:"em,omitempty"` // time of the final state in Unix milliseconds; 0: not ended
	LastEndMs   int64        `json:"le,omitempty"` // time of the newest end of a run in Unix milliseconds; 0: none has ended
	Occurrences []Occurrence `json:"oc"`

	// HasBegun is true once a worker has confirmed that a run began. It is durable with the end of that run; until then a new owner learns
	// it from the agent.
	HasBegun            bool `json:"bg,omitempty"`
	HasStarted          bool `json:"-"` // a task has been placed at least once
	doneOccurrenceCount int  // number of occurrences whose steps are all done
	// IdleSinceMs is the time on the owner's boot clock since which no task of the job is placed; 0: a task is placed.
	IdleSinceMs  int64    `json:"-"`
	DurableState JobState `json:"-"` // state after the newest durable change; callers are told this state
	IsDurable    bool     `json:"-"` // the submission is in the store
}

// State returns the state that follows from all applied changes, durable or not.
func (j *Job) State() JobState {
	switch {
	case j.IsCancelled:
		return Cancelled
	case j.IsFailed:
		return Failed
	case j.doneOccurrenceCount == len(j.Occurrences):
		return Completed
	case j.HasStarted:
		return Running
	}
	return Queued
}

// Ended reports whether the job has reached a final state, so that none of its tasks may start.
func (j *Job) Ended() bool { return j.EndedMs != 0 }

// Task returns the task, or nil if the job has no such task.
func (j *Job) Task(id TaskID) *Task {
	if id.Occurrence < 0 || id.Step < 0 || id.Index < 0 || id.Occurrence >= len(j.Occurrences) || id.Step >= len(j.Occurrences[id.Occurrence].Steps) ||
		id.Index >= len(j.Occurrences[id.Occurrence].Steps[id.Step].Tasks) {
		return nil
	}
	return &j.Occurrences[id.Occurrence].Steps[id.Step].Tasks[id.Index]
}

// TaskCount returns the number of tasks of the job over all occurrences.
func (j *Job) TaskCount() int {
	n := 0
	for i := range j.Spec.Steps {
		n += j.Spec.Steps[i].Count
	}
	return n * len(j.Occurrences)
}

// StepReady reports whether all steps that the step depends on are done.
func (j *Job) StepReady(occ, step int) bool {
	for _, a := range j.Spec.Steps[step].After {
		if j.Occurrences[occ].Steps[a].DoneTasks < len(j.Occurrences[occ].Steps[a].Tasks) {
			return false
		}
	}
	return true
}

// Outcome says how a run ended.
type Outcome string

// Outcomes of a run. EndLapsed means that the worker ended the run because the hold of the run expired. EndLost means that the run
// is known to have ended although its worker reported no end.
const (
	EndDone    Outcome = "done"
	EndFailed  Outcome = "failed"
	EndStopped Outcome = "stopped"
	EndLapsed  Outcome = "lapsed"
	EndBroken  Outcome = "broken"
	EndAlone   Outcome = "alone"
	EndLost    Outcome = "lost"
)

// Change is one transition of the state of a job, or of what an owner has to do with agents. Exactly one of the pointer fields is set.
// JobID names the job of the changes that concern one, except for Submit.
type Change struct {
	Submit  *Job      `json:"sub,omitempty"`
	Cancel  *Cancel   `json:"can,omitempty"`
	Place   *Place    `json:"pl,omitempty"`
	End     *End      `json:"end,omitempty"`
	Delete  *struct{} `json:"fg,omitempty"`
	Silence *Silence  `json:"sil,omitempty"`
	Term    *Term     `json:"tm,omitempty"`
	Heard   *Heard    `json:"hd,omitempty"`
	JobID   string    `json:"j,omitempty"`
}

// Cancel ends a job at a caller's request.
type Cancel struct {
	AtMs int64 `json:"t"`
}

// Place assigns a task to a worker. The Place must be durable before the start command is sent.
type Place struct {
	Occ      int    `json:"k,omitempty"`
	Step     int    `json:"s,omitempty"`
	Index    int    `json:"i,omitempty"`
	Run      int    `json:"r"`
	Worker   string `json:"w"`
	Lifetime int64  `json:"l"`
	// GangCheckpoint replaces the checkpoint of the task, because all members of a gang must start with one; "": none has saved any.
	GangCheckpoint string `json:"c,omitempty"`
}

// End records how a run ended. The End must be durable before the worker receives the acknowledgement.
type End struct {
	Occ        int     `json:"k,omitempty"`
	Step       int     `json:"s,omitempty"`
	Index      int     `json:"i,omitempty"`
	Run        int     `json:"r"`
	Outcome    Outcome `json:"h"`
	Checkpoint string  `json:"c,omitempty"`
	AtMs       int64   `json:"t,omitempty"`
	HasBegun   bool    `json:"bg,omitempty"` // the worker had confirmed that the run began
}

// Silence records that the owner of an epoch hears nothing from an agent. From the Silence until its end is durable, that owner
// confirms no report of the agent, so that the hold of the agent's worker cannot be extended.
type Silence struct {
	Agent  string `json:"a"`
	Epoch  int64  `json:"e"`
	Number int64  `json:"n"`           // unique in the epoch
	Over   bool   `json:"o,omitempty"` // the owner may confirm reports of the agent again
	// Inherited are the silences of earlier owners that this one continues, newest first, at most MaxInheritedSilences. Members may know
	// only an older one, because an owner may end before it has announced the silence that it inherited.
	Inherited []SilenceID `json:"i,omitempty"`
}

// MaxInheritedSilences is the number of silences of earlier owners that a Silence names. Members remember as many earlier owners.
const MaxInheritedSilences = 8

// SilenceID identifies a recorded silence.
type SilenceID struct {
	Epoch  int64 `json:"e"`
	Number int64 `json:"n"`
}

// Chain returns the silence and those that it continues, newest first, at most MaxInheritedSilences.
func (s *Silence) Chain() []SilenceID {
	chain := append([]SilenceID{{s.Epoch, s.Number}}, s.Inherited...)
	return chain[:min(len(chain), MaxInheritedSilences)]
}

// Term begins the records of an epoch whose owner records that it has heard from an agent before it confirms a report of the agent. An
// owner of an older version records no Term.
type Term struct {
	Epoch int64 `json:"e"`
}

// Heard records that the owner of an epoch has heard from an agent and may confirm its reports from now on.
type Heard struct {
	Agent string `json:"a"`
	Epoch int64  `json:"e"`
}

// State holds all jobs of one owner.
type State struct {
	Jobs map[string]*Job
	// Silences holds the silences that are not over, by agent. They are not part of a snapshot; their owner records them again after it.
	Silences map[string]Silence
}

// NewState returns a State without jobs.
func NewState() *State { return &State{Jobs: map[string]*Job{}, Silences: map[string]Silence{}} }

// Apply applies one change. A change to an unknown job and a second end of a run have no effect. Nor have Term and Heard, which tell
// whoever reads the log about its writers.
func (s *State) Apply(c Change) {
	if c.Submit != nil {
		s.submit(c.Submit)
		return
	}
	if c.Silence != nil {
		s.applySilence(c.Silence)
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

func (s *State) applySilence(silence *Silence) {
	if silence.Over {
		delete(s.Silences, silence.Agent)
		return
	}
	s.Silences[silence.Agent] = *silence
}

// submit adds a copy of the submitted job. A job of a shape that no owner records has no effect. The submission itself is encoded into
// the log later. Without the copy, the encoded submission would contain changes that were applied to the job in the meantime.
func (s *State) submit(submitted *Job) {
	if s.Jobs[submitted.ID] != nil || submitted.Spec.validateShape() != nil {
		return
	}
	j := &Job{ID: submitted.ID, Queue: submitted.Queue, Spec: submitted.Spec, AcceptedMs: submitted.AcceptedMs}
	j.initOccurrences()
	s.Jobs[j.ID] = j
}

// initOccurrences creates the occurrences of the job with all tasks waiting.
func (j *Job) initOccurrences() {
	j.Occurrences = make([]Occurrence, j.Spec.OccurrenceCount())
	for k := range j.Occurrences {
		j.Occurrences[k].Steps = make([]StepState, len(j.Spec.Steps))
		for i, step := range j.Spec.Steps {
			j.Occurrences[k].Steps[i] = StepState{Tasks: make([]Task, step.Count), WaitingTasks: step.Count}
		}
	}
}

// rebuildDerivedFields sets the fields that follow from the states of the tasks and are not stored.
func (j *Job) rebuildDerivedFields() {
	j.doneOccurrenceCount = 0
	for k := range j.Occurrences {
		occurrence := &j.Occurrences[k]
		occurrence.DoneSteps = 0
		for i := range occurrence.Steps {
			stepState := &occurrence.Steps[i]
			stepState.DoneTasks, stepState.WaitingTasks = 0, 0
			for _, task := range stepState.Tasks {
				switch task.State {
				case TaskDone:
					stepState.DoneTasks++
				case TaskWaiting:
					stepState.WaitingTasks++
				}
				if task.Run > 0 {
					j.HasStarted = true
				}
				j.HasBegun = j.HasBegun || task.State == TaskDone || task.Failures > 0 || task.Checkpoint != ""
			}
			if stepState.DoneTasks == len(stepState.Tasks) {
				occurrence.DoneSteps++
			}
		}
		if occurrence.DoneSteps == len(occurrence.Steps) {
			j.doneOccurrenceCount++
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
	task := j.Task(TaskID{Occurrence: p.Occ, Step: p.Step, Index: p.Index})
	if task == nil {
		return
	}
	invariant.Check(task.State == TaskWaiting, "task_placed_once", "job %s task %d.%d.%d placed in state %d",
		j.ID, p.Occ, p.Step, p.Index, task.State)
	invariant.Check(p.Run > task.Run, "run_numbers_rise", "job %s task %d.%d.%d: run %d after %d",
		j.ID, p.Occ, p.Step, p.Index, p.Run, task.Run)
	invariant.Check(!j.Ended() && j.StepReady(p.Occ, p.Step), "step_order", "job %s step %d.%d placed too early", j.ID, p.Occ, p.Step)
	j.HasStarted = true
	task.State, task.Run, task.Worker, task.Lifetime = TaskPlaced, p.Run, p.Worker, p.Lifetime
	task.Stopping, task.StartMaybeSent, task.RunStarted, task.ProgressPercent, task.LastProgressMs, task.WaitingSinceMs =
		false, false, false, 0, 0, 0
	task.PacePercent, task.SlowSinceMs, task.EndedMs = FullPacePercent, 0, 0
	if p.GangCheckpoint != "" {
		task.Checkpoint, task.CheckpointRank = p.GangCheckpoint, rankOf(p.Run, checkpointOfStart)
	}
	j.Occurrences[p.Occ].Steps[p.Step].WaitingTasks--
}

func (j *Job) endRun(e *End) {
	task := j.Task(TaskID{Occurrence: e.Occ, Step: e.Step, Index: e.Index})
	if task == nil || task.State != TaskPlaced || task.Run != e.Run {
		return
	}
	task.saveCheckpoint(e.Checkpoint, checkpointOfEnd)
	j.HasBegun = j.HasBegun || e.HasBegun || e.Outcome != EndLost
	step := &j.Spec.Steps[e.Step]
	stepState := &j.Occurrences[e.Occ].Steps[e.Step]
	task.State, task.Stopping, task.EndedMs = TaskWaiting, false, e.AtMs
	j.LastEndMs = max(j.LastEndMs, e.AtMs)
	switch {
	case e.Outcome == EndDone && !step.Perpetual:
		j.completeTask(e, task, stepState)
	case e.Outcome == EndFailed && !step.Perpetual:
		j.failTask(e, task, stepState)
	default:
		stepState.WaitingTasks++
	}
}

// checkpointSource says how the newest checkpoint of a task became known.
type checkpointSource int

// Sources of a checkpoint, in the order of its age in a run: the members of a gang work at the same time, so what a member has saved at its end
// is at least as new as what another has reported before.
const (
	checkpointOfStart checkpointSource = iota
	checkpointOfReport
	checkpointOfEnd
	checkpointSources
)

// rankOf returns a number that rises with the order in which the checkpoints of a gang were saved.
func rankOf(run int, source checkpointSource) int { return run*int(checkpointSources) + int(source) }

// SaveReported stores a checkpoint that the task's newest run has reported; "": none.
func (t *Task) SaveReported(checkpoint string) { t.saveCheckpoint(checkpoint, checkpointOfReport) }

// saveCheckpoint stores a checkpoint of the task's newest run; "": none. The checkpoint with which the run was started keeps its rank.
func (t *Task) saveCheckpoint(checkpoint string, source checkpointSource) {
	if checkpoint == "" || checkpoint == t.Checkpoint && t.CheckpointRank <= rankOf(t.Run, checkpointOfStart) {
		return
	}
	t.Checkpoint, t.CheckpointRank = checkpoint, max(t.CheckpointRank, rankOf(t.Run, source))
}

// GangCheckpoint returns the checkpoint from which all members of the gang continue, the newest that a member has saved. A value of any
// member is valid for the whole gang.
func (s *StepState) GangCheckpoint() string {
	checkpoint, rank := "", 0
	for i := range s.Tasks {
		if t := &s.Tasks[i]; t.Checkpoint != "" && (checkpoint == "" || t.CheckpointRank > rank) {
			checkpoint, rank = t.Checkpoint, t.CheckpointRank
		}
	}
	return checkpoint
}

// completeTask marks the task as done. It completes the step, the occurrence and the job where this was their last task.
func (j *Job) completeTask(e *End, task *Task, stepState *StepState) {
	task.State = TaskDone
	task.Checkpoint, task.CheckpointRank, task.EndedMs = "", 0, 0
	stepState.DoneTasks++
	if j.Spec.Steps[e.Step].Gang {
		for i := range stepState.Tasks { // one task that is done completes the whole gang
			if member := &stepState.Tasks[i]; member.State != TaskDone {
				if member.State == TaskWaiting {
					stepState.WaitingTasks--
				}
				member.State, member.Checkpoint, member.CheckpointRank, member.EndedMs = TaskDone, "", 0, 0
				stepState.DoneTasks++
			}
		}
	}
	if stepState.DoneTasks < len(stepState.Tasks) {
		return
	}
	occurrence := &j.Occurrences[e.Occ]
	occurrence.DoneSteps++
	if occurrence.DoneSteps < len(occurrence.Steps) {
		return
	}
	j.doneOccurrenceCount++
	if j.doneOccurrenceCount == len(j.Occurrences) && !j.Ended() {
		j.EndedMs = e.AtMs
	}
}

// failTask counts a failed run. The task waits for another attempt if its queue allows one; otherwise the task and the job fail.
func (j *Job) failTask(e *End, task *Task, stepState *StepState) {
	task.Failures++
	if task.Failures < max(1, j.Queue.MaxAttempts) {
		stepState.WaitingTasks++
		return
	}
	task.State, task.EndedMs = TaskFailed, 0
	if !j.Ended() {
		j.IsFailed = true
		j.EndedMs = e.AtMs
	}
}

// Encode returns the serialized state for a snapshot. Of an ended job it keeps what callers may still ask for; the steps and tasks
// of ended jobs would be most of the snapshot, and a new owner has to read it before it can place anything.
func (s *State) Encode() ([]byte, error) {
	list := make([]*Job, 0, len(s.Jobs))
	for _, j := range s.Jobs {
		if j.Ended() && !j.HasPlacedTasks() {
			j = j.withoutSteps()
		}
		list = append(list, j)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return json.Marshal(list)
}

// HasPlacedTasks reports whether the end of a run of the job is not known yet. Such a run has to be stopped by the next owner too.
func (j *Job) HasPlacedTasks() bool {
	for k := range j.Occurrences {
		for i := range j.Occurrences[k].Steps {
			for t := range j.Occurrences[k].Steps[i].Tasks {
				if j.Occurrences[k].Steps[i].Tasks[t].State == TaskPlaced {
					return true
				}
			}
		}
	}
	return false
}

// withoutSteps returns a copy of an ended job without its payload, steps and occurrences. Its state is the same: a job without
// occurrences that was neither cancelled nor has failed counts as completed.
func (j *Job) withoutSteps() *Job {
	return &Job{ID: j.ID, Queue: Queue{Name: j.Queue.Name, Service: j.Queue.Service}, AcceptedMs: j.AcceptedMs, EndedMs: j.EndedMs,
		IsCancelled: j.IsCancelled, IsFailed: j.IsFailed}
}

// Decode restores the state from data that State.Encode returned. For empty data it returns a State without jobs.
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
		j.rebuildDerivedFields()
		s.Jobs[j.ID] = j
	}
	return s, nil
}

// MarkDurable marks the submission and all changes so far as durable. From then on, callers are told the current state.
func (j *Job) MarkDurable() {
	j.IsDurable = true
	j.DurableState = j.State()
}
