package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

// step is a step of a job as clients submit it.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu,omitempty"`
	MemMB        int    `json:"mem_mb,omitempty"`
	EstimateMs   int    `json:"estimate_ms,omitempty"`
	After        []int  `json:"after,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
	Perpetual    bool   `json:"perpetual,omitempty"`
	Fills        bool   `json:"fills,omitempty"`
	Image        string `json:"image,omitempty"`
	TargetMs     int    `json:"target_ms,omitempty"`
}

// job is a job as clients submit it.
type job struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`

	id      string
	advised bool // its queue needs advice
}

// task is a task of which a runner has been told.
type task struct {
	name      string
	job       *job
	step      *step
	stepIndex int
	index     int
	runs      map[*taskRun]bool // that are not over
	done      bool
}

// taskRun is a run of a task.
type taskRun struct {
	task   *task
	number int
	on     *runner
	begun  time.Time
	pace   int
	ended  bool
	gang   *gang // nil: the task is not of a gang
}

// gang is one run of the tasks of a gang.
type gang struct {
	present map[int]*taskRun // by index
	working bool
}

// world is what the runners know together. mu guards its fields and those of the runners.
type world struct {
	record *record

	mu        sync.Mutex
	rng       *rand.Rand
	jobs      map[string]*job
	tasks     map[string]*task
	gangs     map[string]*gang
	failAfter map[string]time.Duration // by job: the time after which each run of a lasting task fails by its own fault
	tickets   map[string]time.Time     // ends of the tickets; nil: no queue needs advice
}

func newWorld(r *record) *world {
	const seed = 1
	return &world{record: r, rng: rand.New(rand.NewPCG(seed, seed)), jobs: map[string]*job{}, tasks: map[string]*task{}, gangs: map[string]*gang{},
		failAfter: map[string]time.Duration{}}
}

// add tells the runners about a job that a client hands in.
func (w *world) add(j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[j.id] = j
}

// runsOf returns the number of runs of the job.
func (w *world) runsOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, t := range w.tasks {
		if t.job.id == id {
			n += len(t.runs)
		}
	}
	return n
}

// failEach makes each run of the lasting tasks of the job fail the time after its start.
func (w *world) failEach(id string, after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failAfter[id] = after
}

// isIdle watches for the time and reports whether no task of the job ran.
func (w *world) isIdle(id string, watch time.Duration) bool {
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if w.runsOf(id) > 0 {
			return false
		}
	}
	return true
}

// isDone reports whether all tasks of the job have ended done.
func (w *world) isDone(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[id]
	for i := range j.Steps {
		for k := range j.Steps[i].Count {
			if t := w.tasks[taskName(id, i, k)]; t == nil || !t.done {
				return false
			}
		}
	}
	return true
}

// taskName returns the name of a task of a job without occurrences.
func taskName(id string, stepIndex, index int) string {
	return fmt.Sprintf("%s.0.%d.%d", id, stepIndex, index)
}

// taskNamed returns the task, or nil if no client has asked for it. The caller holds mu.
func (w *world) taskNamed(name string) *task {
	if t := w.tasks[name]; t != nil {
		return t
	}
	fields := strings.Split(name, ".")
	if len(fields) != 4 || w.jobs[fields[0]] == nil {
		return nil
	}
	j := w.jobs[fields[0]]
	stepIndex, err := strconv.Atoi(fields[2])
	if err != nil || stepIndex < 0 || stepIndex >= len(j.Steps) {
		return nil
	}
	index, err := strconv.Atoi(fields[3])
	if err != nil || index < 0 || index >= j.Steps[stepIndex].Count || name != taskName(j.id, stepIndex, index) {
		return nil
	}
	t := &task{name: name, job: j, step: &j.Steps[stepIndex], stepIndex: stepIndex, index: index, runs: map[*taskRun]bool{}}
	w.tasks[name] = t
	return t
}

// gangWait is gang_wait_ms of a small deployment.
const gangWait = 3 * time.Second

// begin lets a run work, or wait for the others of its gang. The caller holds mu.
func (w *world) begin(r *taskRun) {
	if !r.task.step.Gang {
		w.work(r, func() { w.end(r, "done") })
		return
	}
	key := fmt.Sprintf("%s.%d/%d", r.task.job.id, r.task.stepIndex, r.number)
	if w.gangs[key] == nil {
		w.gangs[key] = &gang{present: map[int]*taskRun{}}
	}
	r.gang = w.gangs[key]
	r.gang.present[r.task.index] = r
	if len(r.gang.present) < r.task.step.Count {
		w.after(gangWait, func() {
			if !r.ended && !r.gang.working {
				w.end(r, "alone")
			}
		})
		return
	}
	r.gang.working = true
	w.work(r, func() {
		r.gang.working = false
		for _, member := range r.gang.present {
			w.end(member, "done")
		}
	})
}

// work calls done after the time that the run needs, if it is not over then. A lasting task has no such time.
func (w *world) work(r *taskRun, done func()) {
	if r.task.step.Perpetual {
		if failure := w.failAfter[r.task.job.id]; failure > 0 {
			w.after(failure, func() { w.end(r, "failed") })
		}
		return
	}
	w.after(w.duration(r), func() {
		if !r.ended {
			done()
		}
	})
}

// duration returns how long the run works: what its client has estimated, give or take a fifth.
func (w *world) duration(r *taskRun) time.Duration {
	return time.Duration(float64(r.task.step.EstimateMs) * (0.8 + 0.4*w.rng.Float64()) * float64(time.Millisecond))
}

// after calls f after the time, with mu held.
func (w *world) after(d time.Duration, f func()) {
	time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		f()
	})
}

// end ends a run, and with it the others of its gang. The caller holds mu.
func (w *world) end(r *taskRun, how string) {
	if r.ended {
		return
	}
	r.ended = true
	delete(r.task.runs, r)
	r.task.done = r.task.done || how == "done"
	r.on.listEnd(r, how)
	if r.gang == nil || how == "done" {
		return
	}
	delete(r.gang.present, r.task.index)
	if r.gang.working {
		r.gang.working = false
		for _, member := range r.gang.present {
			w.end(member, "broken")
		}
	}
}
