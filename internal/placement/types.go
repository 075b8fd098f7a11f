// Package placement decides which waiting tasks start now and on which workers. It computes a plan from a snapshot, without
// I/O and without reading a clock.
//
// Serving tasks have a latency target. Best-effort tasks (jobs.Step.BestEffort) use the CPU time that other tasks leave idle. They
// are slowed where they interfere with serving tasks. Perpetual tasks run until their job is cancelled.
package placement

import (
	"iter"

	"bamboofork/internal/delaycost"
	"bamboofork/internal/jobs"
)

// Resources is an amount of each resource of a worker.
type Resources struct {
	CPU   int // thousandths of a core
	MemMB int
	GPU   int
}

// Need returns the resources that one task of the step reserves. A best-effort task reserves no CPU.
func Need(s *jobs.Step) Resources {
	if s.BestEffort {
		return Resources{MemMB: s.MemMB, GPU: s.GPU}
	}
	return Resources{CPU: s.CPU, MemMB: s.MemMB, GPU: s.GPU}
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemMB + o.MemMB, r.GPU + o.GPU}
}

// Sub returns r minus o. Each amount in the result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemMB - o.MemMB, r.GPU - o.GPU}
}

// Fits reports whether r covers the need. An amount of r may be negative; a task that needs nothing of it fits.
func (r Resources) Fits(need Resources) bool {
	return need.CPU <= max(0, r.CPU) && need.MemMB <= max(0, r.MemMB) && need.GPU <= max(0, r.GPU)
}

// Worker is the view that the owner of the jobs has of one worker.
type Worker struct {
	Name     string
	Lifetime int64
	Service  string
	Zone     string
	Rack     string
	Labels   []string
	Capacity Resources
	Free     Resources // capacity minus the reservations of the placed tasks
	// IdleCPU is the estimated CPU time that best-effort tasks can still use, in thousandths of a core. Best-effort tasks
	// reserve no CPU in Free; they get the CPU time that the other tasks leave idle.
	IdleCPU         int
	Serving         []ServingTask // tasks with a latency target
	BestEffortTasks int           // number of best-effort tasks on the worker
	// BestEffortPaused is set while the agent of the worker slows the best-effort runs because a serving task has missed its target
	// for some time. No best-effort task starts on the worker in the meantime.
	BestEffortPaused bool
	// MaxStarts is the number of tasks that may start on the worker now; negative: no limit. A worker on probation gets one task at
	// a time.
	MaxStarts int
	// Closed is set while operators have taken the failure domain of the worker out of service. Nothing starts on the worker; its runs go on.
	Closed bool

	bestEffortCPU int       // CPU in use by best-effort tasks at their paces, in thousandths of a core
	perpetual     Resources // reservations of the perpetual tasks
	isHeld        bool      // see holds
	// isBarred is set on probation. It reports whether a job takes no start on the worker: another failure of a job that has failed there,
	// or that is at fault, would prove nothing, and the start would be lost to the jobs that can end the probation.
	isBarred func(job string) bool

	stepTasks int // number of placed tasks of the step that is being planned; see scope.countStepTasks
	position  int // index of the worker in the scope of the step that is being planned
}

// ServingTask is a task with a latency target on a worker.
type ServingTask struct {
	Image               string
	TargetMs            int64
	Load                float64 // expected utilisation by the users of the task, 0 to 1
	PlannedInterference float64 // utilisation that the best-effort tasks on the worker are planned to add

	imageIndex int     // index of Image in the pair table of the pass
	limit      float64 // highest utilisation that plans allow; see Interference.UtilisationLimit
}

// HasLabel reports whether the worker has the label; an empty label fits every worker.
func (w *Worker) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Snapshot is the input of one planning pass. The pass updates the free resources, starts and tasks in Workers. A Snapshot must not be
// copied: the tasks in Workers refer to its pair table.
type Snapshot struct {
	_          noCopy
	BootTimeMs int64 // current time on the owner's boot clock
	WallMs     int64 // current time in Unix milliseconds
	Jobs       []*jobs.Job
	Workers    []*Worker
	// Quarantined are the workers that would take no starts now, see HealthTracker. Only tasks that no other worker can ever take start there.
	Quarantined []*Worker
	// Interference is the learned interference between images; nil: none is assumed.
	Interference *Interference
	// DelayCost is the learned model by which jobs are ordered in shortage; nil: they are ordered by standing and slack alone.
	DelayCost *delaycost.Model
	// Shortage is set by Plan to the work that waits, if DelayCost is set and jobs cannot all begin in time.
	Shortage *delaycost.Backlog
	// AdvisedWorkers holds, for each step that needs a ticket from the advice service, the names of the workers that may run
	// the step. Such a step without an entry waits.
	AdvisedWorkers map[StepID]map[string]bool
	// PackServing places serving tasks on few workers instead of spreading them; see packedScore.
	PackServing bool

	pairs        *pairTable         // see Snapshot.pairTable
	workerByName map[string]*Worker // of all workers of the pass; see Snapshot.worker
	ratings      [3][]rating        // buffers of the choosers, reused for each step of the pass
}

// StepID identifies a step of one occurrence of a job. Occ and Step are indexes.
type StepID struct {
	Job       string
	Occ, Step int
}

// noCopy makes go vet report copies of the structs that contain it.
type noCopy struct{}

func (*noCopy) Lock()   {}
func (*noCopy) Unlock() {}

// scope is what the planning of one step sees of a snapshot: the workers that may run the step. All state of the pass is in the
// snapshot, which all steps share.
type scope struct {
	snapshot *Snapshot
	workers  []*Worker
}

// scopeOf returns the scope of a step: all workers, or the advised ones if the step needs advice.
func (s *Snapshot) scopeOf(j *jobs.Job, occ, stepIndex int) scope {
	if !j.Spec.Steps[stepIndex].Advised {
		return scope{snapshot: s, workers: s.Workers}
	}
	advised := scope{snapshot: s}
	names := s.AdvisedWorkers[StepID{Job: j.ID, Occ: occ, Step: stepIndex}]
	for _, w := range s.Workers {
		if names[w.Name] {
			advised.workers = append(advised.workers, w)
		}
	}
	return advised
}

// open returns the workers that are not closed. All others have no part in the room of the fleet.
func (s *Snapshot) open() iter.Seq[*Worker] {
	return func(yield func(*Worker) bool) {
		for _, w := range s.Workers {
			if !w.Closed && !yield(w) {
				return
			}
		}
	}
}

// openCount returns the number of workers that are not closed.
func (s *Snapshot) openCount() int {
	count := 0
	for range s.open() {
		count++
	}
	return count
}

// worker returns the worker with the name, or nil if it takes no tasks in this pass.
func (s *Snapshot) worker(name string) *Worker {
	if s.workerByName == nil {
		s.workerByName = make(map[string]*Worker, len(s.Workers))
		for _, w := range s.Workers {
			s.workerByName[w.Name] = w
		}
	}
	return s.workerByName[name]
}

// countStepTasks sets the number of placed tasks of the step on each worker, and the positions of the workers.
func (s scope) countStepTasks(stepState *jobs.StepState) {
	for i, w := range s.workers {
		w.stepTasks, w.position = 0, i
	}
	for i := range stepState.Tasks {
		if task := &stepState.Tasks[i]; task.State == jobs.TaskPlaced {
			if w := s.snapshot.worker(task.Worker); w != nil {
				w.stepTasks++
			}
		}
	}
}

// Assignment is the decision to start one task on a worker.
type Assignment struct {
	Job   *jobs.Job
	Place jobs.Place
	// Pace is the share of full speed at which the task starts; below 1 only for best-effort tasks.
	Pace float64
}
