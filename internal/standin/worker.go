package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"bamboofork/internal/invariant"
	"bamboofork/internal/worker"
)

// WorkerFaults describes how a stand-in worker misbehaves. The zero value is a healthy worker.
type WorkerFaults struct {
	FailAll    bool          `json:"fail_all" yaml:"fail_all"`       // every task fails right after its start
	Paused     bool          `json:"paused" yaml:"paused"`           // calls hang until their deadline; leases still expire
	Dead       bool          `json:"dead" yaml:"dead"`               // calls fail; tasks are gone
	RunFactor  float64       `json:"run_factor" yaml:"run_factor"`   // real run time / declared, 0: 1
	NeedFactor float64       `json:"need_factor" yaml:"need_factor"` // real use / declared, 0: 1
	UsageLag   time.Duration `json:"usage_lag" yaml:"usage_lag"`     // age of the reported usage
	StartDelay time.Duration `json:"start_delay" yaml:"start_delay"` // added to each start
	LoseAnswer float64       `json:"lose_answer" yaml:"lose_answer"` // probability that a call takes effect but fails
}

type simTask struct {
	spec     worker.Spec
	state    worker.State
	reason   string
	done     time.Duration // work done at full speed
	updated  time.Time
	throttle float64
	leaseEnd time.Time
	saved    string
}

// RunObserver is told of each start and end of a task on any stand-in worker of a fleet.
type RunObserver interface {
	TaskStarted(ref worker.Ref, workerID string)
	TaskEnded(ref worker.Ref, workerID string, state worker.State)
}

// SimWorker is a stand-in worker. Time passes by the process's clock. mu guards all fields.
type SimWorker struct {
	id  string
	cap worker.Resources

	mu       sync.Mutex
	faults   WorkerFaults
	born     time.Time // start of the worker's clock; renewed when the worker loses its tasks
	tasks    map[worker.Ref]*simTask
	history  []worker.Usage
	observer RunObserver
	rnd      *rand.Rand
}

// NewSimWorker returns an idle worker. The observer may be nil.
func NewSimWorker(id string, capacity worker.Resources, observer RunObserver, seed uint64) *SimWorker {
	return &SimWorker{id: id, cap: capacity, born: time.Now(), tasks: map[worker.Ref]*simTask{}, observer: observer, rnd: rand.New(rand.NewPCG(seed, 1))}
}

var (
	_ worker.Worker  = (*SimWorker)(nil)
	_ worker.Clocked = (*SimWorker)(nil)
)

// SetFaults replaces the faults. Dead drops all tasks.
func (w *SimWorker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.faults = f
	if f.Dead {
		for _, t := range w.tasks {
			w.end(t, worker.StateStopped, "host died")
		}
		w.tasks = map[worker.Ref]*simTask{}
		w.born = time.Now()
	}
}

// Faults returns the faults in force.
func (w *SimWorker) Faults() WorkerFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// Load returns the speed-weighted cores in use, for interference with the backend server.
func (w *SimWorker) Load() map[string]float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	load := map[string]float64{}
	for _, t := range w.tasks {
		if t.state == worker.StateRunning {
			load[t.spec.Kind] += declared(t.spec).Cores * w.needFactor() * t.throttle
		}
	}
	return load
}

// declared is what the job asked for, on which the real use depends.
func declared(spec worker.Spec) worker.Resources {
	if spec.Declared != (worker.Resources{}) {
		return spec.Declared
	}
	return spec.Need
}

func (w *SimWorker) needFactor() float64 {
	if w.faults.NeedFactor > 0 {
		return w.faults.NeedFactor
	}
	return 1
}

func (w *SimWorker) runTime(spec worker.Spec) time.Duration {
	if w.faults.RunFactor > 0 {
		return time.Duration(float64(spec.Run) * w.faults.RunFactor)
	}
	return spec.Run
}

// advance moves all tasks to the current time, ends finished ones and those whose lease expired.
func (w *SimWorker) advance() {
	now := time.Now()
	for _, t := range w.tasks {
		if t.state != worker.StateRunning {
			continue
		}
		until := now
		if t.leaseEnd.Before(now) {
			until = t.leaseEnd
		}
		t.done += time.Duration(float64(until.Sub(t.updated)) * t.throttle)
		t.updated = until
		switch {
		case t.done >= w.runTime(t.spec):
			w.end(t, worker.StateDone, "")
		case t.leaseEnd.Before(now):
			w.end(t, worker.StateStopped, "lease expired")
		}
	}
}

func (w *SimWorker) end(t *simTask, state worker.State, reason string) {
	if t.state != worker.StateRunning {
		return
	}
	t.state, t.reason = state, reason
	if w.observer != nil {
		w.observer.TaskEnded(t.spec.Ref, w.id, state)
	}
}

// enter applies the call faults. It returns with mu held if err is nil.
func (w *SimWorker) enter(ctx context.Context) error {
	w.mu.Lock()
	w.advance()
	f := w.faults
	if f.Dead {
		w.mu.Unlock()
		return worker.ErrUnavailable
	}
	if f.Paused {
		w.mu.Unlock()
		<-ctx.Done()
		return worker.ErrUnavailable
	}
	return nil
}

// leave releases mu and loses the answer if a fault says so.
func (w *SimWorker) leave(err error) error {
	defer w.mu.Unlock()
	if w.faults.LoseAnswer > 0 && w.rnd.Float64() < w.faults.LoseAnswer {
		return worker.ErrUnavailable
	}
	return err
}

// Capacity implements worker.Worker.
func (w *SimWorker) Capacity(ctx context.Context) (worker.Resources, error) {
	if err := w.enter(ctx); err != nil {
		return worker.Resources{}, err
	}
	return w.cap, w.leave(nil)
}

// Start implements worker.Worker.
func (w *SimWorker) Start(ctx context.Context, spec worker.Spec) error {
	if err := w.enter(ctx); err != nil {
		return err
	}
	if w.tasks[spec.Ref] != nil {
		return w.leave(nil)
	}
	now := time.Now()
	if spec.Until > 0 && now.Sub(w.born) >= spec.Until {
		return w.leave(fmt.Errorf("%w: the start arrived after its hold", worker.ErrRefused))
	}
	used := worker.Resources{}
	for _, t := range w.tasks {
		if t.state == worker.StateRunning {
			used = used.Add(t.spec.Need)
		}
	}
	invariant.Check(spec.Need.Fits(w.cap.Sub(used)), "room_per_host",
		"worker %s has %+v in use of %+v and got %s needing %+v", w.id, used, w.cap, spec.Ref.Task, spec.Need)
	t := &simTask{spec: spec, state: worker.StateRunning, updated: now, throttle: 1, leaseEnd: w.leaseEnd(spec.Lease, spec.Until)}
	if spec.Checkpoint != "" {
		if _, err := fmt.Sscanf(spec.Checkpoint, "progress-%d", &t.done); err != nil {
			return w.leave(fmt.Errorf("%w: checkpoint %q", worker.ErrRefused, spec.Checkpoint))
		}
	}
	w.tasks[spec.Ref] = t
	if w.observer != nil {
		w.observer.TaskStarted(spec.Ref, w.id)
	}
	if w.faults.FailAll {
		w.end(t, worker.StateFailed, "worker fails every task")
	}
	return w.leave(nil)
}

// leaseEnd returns the end of a lease that starts now, not later than until on the worker's clock (0: no bound).
func (w *SimWorker) leaseEnd(lease, until time.Duration) time.Time {
	end := time.Now().Add(lease)
	if bound := w.born.Add(until); until > 0 && bound.Before(end) {
		return bound
	}
	return end
}

// Clock implements worker.Clocked.
func (w *SimWorker) Clock(ctx context.Context) (time.Duration, error) {
	if err := w.enter(ctx); err != nil {
		return 0, err
	}
	return time.Since(w.born), w.leave(nil)
}

// Renew implements worker.Worker.
func (w *SimWorker) Renew(ctx context.Context, refs []worker.Ref, lease time.Duration) error {
	return w.RenewUntil(ctx, refs, lease, 0)
}

// RenewUntil implements worker.Clocked. A renewal that arrives late has no effect
// past its bound.
func (w *SimWorker) RenewUntil(ctx context.Context, refs []worker.Ref, lease, until time.Duration) error {
	if err := w.enter(ctx); err != nil {
		return err
	}
	for _, ref := range refs {
		if t := w.tasks[ref]; t != nil && t.state == worker.StateRunning {
			if end := w.leaseEnd(lease, until); end.After(t.leaseEnd) {
				t.leaseEnd = end
			}
		}
	}
	return w.leave(nil)
}

// List implements worker.Worker.
func (w *SimWorker) List(ctx context.Context) ([]worker.Status, error) {
	if err := w.enter(ctx); err != nil {
		return nil, err
	}
	out := make([]worker.Status, 0, len(w.tasks))
	for _, t := range w.tasks {
		out = append(out, w.status(t))
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Ref.Task != out[j].Ref.Task {
			return out[i].Ref.Task < out[j].Ref.Task
		}
		return out[i].Ref.Attempt < out[j].Ref.Attempt
	})
	return out, w.leave(nil)
}

func (w *SimWorker) status(t *simTask) worker.Status {
	progress := 1.0
	if run := w.runTime(t.spec); run > 0 {
		progress = min(1, float64(t.done)/float64(run))
	}
	return worker.Status{
		Ref: t.spec.Ref, Kind: t.spec.Kind, Need: t.spec.Need, State: t.state,
		Reason: t.reason, Checkpoint: t.saved, Progress: progress, Throttle: t.throttle, Team: t.spec.Team, Priority: t.spec.Priority,
	}
}

// usageHistory bounds the measurements kept to serve lagged ones.
const usageHistory = 256

// Usage implements worker.Worker.
func (w *SimWorker) Usage(ctx context.Context) (worker.Usage, error) {
	if err := w.enter(ctx); err != nil {
		return worker.Usage{}, err
	}
	now := time.Now()
	current := worker.Usage{At: now}
	for _, t := range w.tasks {
		if t.state != worker.StateRunning {
			continue
		}
		need := declared(t.spec)
		need.Cores *= w.needFactor() * t.throttle
		need.MemoryMB = int64(float64(need.MemoryMB) * w.needFactor())
		current.Tasks = append(current.Tasks, worker.TaskUsage{Ref: t.spec.Ref, Kind: t.spec.Kind, Used: need})
	}
	w.history = append(w.history, current)
	if len(w.history) > usageHistory {
		w.history = w.history[len(w.history)-usageHistory:]
	}
	lagged := w.history[0]
	for _, u := range w.history {
		if now.Sub(u.At) >= w.faults.UsageLag {
			lagged = u
		}
	}
	return lagged, w.leave(nil)
}

// Checkpoint implements worker.Worker.
func (w *SimWorker) Checkpoint(ctx context.Context, ref worker.Ref) (string, error) {
	if err := w.enter(ctx); err != nil {
		return "", err
	}
	t := w.tasks[ref]
	if t == nil {
		return "", w.leave(worker.ErrNotFound)
	}
	if t.state == worker.StateRunning {
		t.saved = fmt.Sprintf("progress-%d", t.done)
		w.end(t, worker.StateCheckpointed, "")
	}
	if t.state != worker.StateCheckpointed {
		return "", w.leave(fmt.Errorf("%w: task is %s", worker.ErrRefused, t.state))
	}
	return t.saved, w.leave(nil)
}

// Throttle implements worker.Worker.
func (w *SimWorker) Throttle(ctx context.Context, ref worker.Ref, share float64) error {
	if err := w.enter(ctx); err != nil {
		return err
	}
	t := w.tasks[ref]
	if t == nil {
		return w.leave(worker.ErrNotFound)
	}
	t.throttle = max(0, min(1, share))
	return w.leave(nil)
}

// Stop implements worker.Worker.
func (w *SimWorker) Stop(ctx context.Context, ref worker.Ref) error {
	if err := w.enter(ctx); err != nil {
		return err
	}
	if t := w.tasks[ref]; t != nil {
		w.end(t, worker.StateStopped, "stopped")
	} else {
		w.tasks[ref] = &simTask{spec: worker.Spec{Ref: ref}, state: worker.StateNotStarted, reason: "fenced before its start"}
	}
	return w.leave(nil)
}

// Forget implements worker.Worker.
func (w *SimWorker) Forget(ctx context.Context, ref worker.Ref) error {
	if err := w.enter(ctx); err != nil {
		return err
	}
	if t := w.tasks[ref]; t != nil && t.state != worker.StateRunning {
		delete(w.tasks, ref)
	}
	return w.leave(nil)
}
