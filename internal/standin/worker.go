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

// WorkerFaults are the faults of a simulated worker. The zero value is a healthy worker.
type WorkerFaults struct {
	FailAll    bool          `json:"fail_all" yaml:"fail_all"`       // every task fails immediately after its start
	Paused     bool          `json:"paused" yaml:"paused"`           // calls block until their deadline; leases still expire
	Dead       bool          `json:"dead" yaml:"dead"`               // calls fail; all tasks are lost
	RunFactor  float64       `json:"run_factor" yaml:"run_factor"`   // actual / declared run time, 0: 1
	NeedFactor float64       `json:"need_factor" yaml:"need_factor"` // actual / declared resource usage, 0: 1
	UsageLag   time.Duration `json:"usage_lag" yaml:"usage_lag"`     // age of the reported usage
	StartDelay time.Duration `json:"start_delay" yaml:"start_delay"` // accepted but not simulated
	LoseAnswer float64       `json:"lose_answer" yaml:"lose_answer"` // probability that a call takes effect but returns an error
}

type simTask struct {
	spec       worker.Spec
	state      worker.State
	reason     string
	progress   time.Duration // run time completed, counted at full speed
	updatedAt  time.Time
	throttle   float64 // speed as a fraction of full speed
	leaseEnd   time.Time
	checkpoint string
}

// TaskObserver is notified when a task starts or ends on a simulated worker of a fleet.
type TaskObserver interface {
	TaskStarted(ref worker.Ref, workerID string)
	TaskEnded(ref worker.Ref, workerID string, state worker.State)
}

// SimWorker is a simulated worker. Its tasks advance with the clock of the process. mu guards the fields below it.
type SimWorker struct {
	id       string
	capacity worker.Resources

	mu         sync.Mutex
	faults     WorkerFaults
	clockStart time.Time // zero of the worker's clock; reset when the worker loses its tasks
	tasks      map[worker.Ref]*simTask
	history    []worker.Usage
	observer   TaskObserver
	rng        *rand.Rand
}

// NewSimWorker returns an idle worker. The observer may be nil.
func NewSimWorker(id string, capacity worker.Resources, observer TaskObserver, seed uint64) *SimWorker {
	return &SimWorker{id: id, capacity: capacity, clockStart: time.Now(), tasks: map[worker.Ref]*simTask{}, observer: observer,
		rng: rand.New(rand.NewPCG(seed, 1))}
}

var (
	_ worker.Worker  = (*SimWorker)(nil)
	_ worker.Clocked = (*SimWorker)(nil)
)

// SetFaults replaces the faults. Setting Dead removes all tasks.
func (w *SimWorker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.faults = f
	if f.Dead {
		for _, t := range w.tasks {
			w.endTask(t, worker.StateStopped, "host died")
		}
		w.tasks = map[worker.Ref]*simTask{}
		w.clockStart = time.Now()
	}
}

// Faults returns the current faults.
func (w *SimWorker) Faults() WorkerFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// Load returns the cores in use by task kind, weighted by speed. It determines the interference with the backend server.
func (w *SimWorker) Load() map[string]float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	load := map[string]float64{}
	for _, t := range w.tasks {
		if t.state == worker.StateRunning {
			load[t.spec.Kind] += declaredResources(t.spec).Cores * w.needFactor() * t.throttle
		}
	}
	return load
}

// declaredResources returns the resources that the job requested, from which the actual usage is simulated. Spec.Need may
// have been corrected by observed usage.
func declaredResources(spec worker.Spec) worker.Resources {
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

// advance updates the progress of all tasks, and ends tasks that have finished or whose lease has expired.
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
		t.progress += time.Duration(float64(until.Sub(t.updatedAt)) * t.throttle)
		t.updatedAt = until
		switch {
		case t.progress >= w.runTime(t.spec):
			w.endTask(t, worker.StateDone, "")
		case t.leaseEnd.Before(now):
			w.endTask(t, worker.StateStopped, "lease expired")
		}
	}
}

func (w *SimWorker) endTask(t *simTask, state worker.State, reason string) {
	if t.state != worker.StateRunning {
		return
	}
	t.state, t.reason = state, reason
	if w.observer != nil {
		w.observer.TaskEnded(t.spec.Ref, w.id, state)
	}
}

// beginCall applies the faults Dead and Paused. If it returns nil, the caller holds mu and must call endCall.
func (w *SimWorker) beginCall(ctx context.Context) error {
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

// endCall releases mu. It returns an error instead of the result if the fault LoseAnswer applies.
func (w *SimWorker) endCall(err error) error {
	defer w.mu.Unlock()
	if w.faults.LoseAnswer > 0 && w.rng.Float64() < w.faults.LoseAnswer {
		return worker.ErrUnavailable
	}
	return err
}

// Capacity implements worker.Worker.
func (w *SimWorker) Capacity(ctx context.Context) (worker.Resources, error) {
	if err := w.beginCall(ctx); err != nil {
		return worker.Resources{}, err
	}
	return w.capacity, w.endCall(nil)
}

// Start implements worker.Worker.
func (w *SimWorker) Start(ctx context.Context, spec worker.Spec) error {
	if err := w.beginCall(ctx); err != nil {
		return err
	}
	if w.tasks[spec.Ref] != nil {
		return w.endCall(nil)
	}
	now := time.Now()
	if spec.Until > 0 && now.Sub(w.clockStart) >= spec.Until {
		return w.endCall(fmt.Errorf("%w: the start arrived after its hold", worker.ErrRefused))
	}
	used := worker.Resources{}
	for _, t := range w.tasks {
		if t.state == worker.StateRunning {
			used = used.Add(t.spec.Need)
		}
	}
	invariant.Check(spec.Need.Fits(w.capacity.Sub(used)), "room_per_host",
		"worker %s has %+v of %+v in use and was given task %s, which needs %+v", w.id, used, w.capacity, spec.Ref.Task, spec.Need)
	t := &simTask{spec: spec, state: worker.StateRunning, updatedAt: now, throttle: 1, leaseEnd: w.leaseEnd(spec.Lease, spec.Until)}
	if spec.Checkpoint != "" {
		if _, err := fmt.Sscanf(spec.Checkpoint, "progress-%d", &t.progress); err != nil {
			return w.endCall(fmt.Errorf("%w: checkpoint %q", worker.ErrRefused, spec.Checkpoint))
		}
	}
	w.tasks[spec.Ref] = t
	if w.observer != nil {
		w.observer.TaskStarted(spec.Ref, w.id)
	}
	if w.faults.FailAll {
		w.endTask(t, worker.StateFailed, "worker fails every task")
	}
	return w.endCall(nil)
}

// leaseEnd returns the end of a lease that starts now, limited to until on the worker's clock (0: no limit).
func (w *SimWorker) leaseEnd(lease, until time.Duration) time.Time {
	end := time.Now().Add(lease)
	if bound := w.clockStart.Add(until); until > 0 && bound.Before(end) {
		return bound
	}
	return end
}

// Clock implements worker.Clocked.
func (w *SimWorker) Clock(ctx context.Context) (time.Duration, error) {
	if err := w.beginCall(ctx); err != nil {
		return 0, err
	}
	return time.Since(w.clockStart), w.endCall(nil)
}

// Renew implements worker.Worker.
func (w *SimWorker) Renew(ctx context.Context, refs []worker.Ref, lease time.Duration) error {
	return w.RenewUntil(ctx, refs, lease, 0)
}

// RenewUntil implements worker.Clocked. A delayed renewal does not extend a lease beyond until.
func (w *SimWorker) RenewUntil(ctx context.Context, refs []worker.Ref, lease, until time.Duration) error {
	if err := w.beginCall(ctx); err != nil {
		return err
	}
	for _, ref := range refs {
		if t := w.tasks[ref]; t != nil && t.state == worker.StateRunning {
			if end := w.leaseEnd(lease, until); end.After(t.leaseEnd) {
				t.leaseEnd = end
			}
		}
	}
	return w.endCall(nil)
}

// List implements worker.Worker.
func (w *SimWorker) List(ctx context.Context) ([]worker.Status, error) {
	if err := w.beginCall(ctx); err != nil {
		return nil, err
	}
	out := make([]worker.Status, 0, len(w.tasks))
	for _, t := range w.tasks {
		out = append(out, w.taskStatus(t))
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Ref.Task != out[j].Ref.Task {
			return out[i].Ref.Task < out[j].Ref.Task
		}
		return out[i].Ref.Attempt < out[j].Ref.Attempt
	})
	return out, w.endCall(nil)
}

func (w *SimWorker) taskStatus(t *simTask) worker.Status {
	progress := 1.0
	if run := w.runTime(t.spec); run > 0 {
		progress = min(1, float64(t.progress)/float64(run))
	}
	return worker.Status{
		Ref: t.spec.Ref, Kind: t.spec.Kind, Need: t.spec.Need, State: t.state,
		Reason: t.reason, Checkpoint: t.checkpoint, Progress: progress, Throttle: t.throttle, Team: t.spec.Team, Priority: t.spec.Priority,
	}
}

// maxUsageHistory is the number of measurements that are kept, so that WorkerFaults.UsageLag can return an earlier one.
const maxUsageHistory = 256

// Usage implements worker.Worker.
func (w *SimWorker) Usage(ctx context.Context) (worker.Usage, error) {
	if err := w.beginCall(ctx); err != nil {
		return worker.Usage{}, err
	}
	now := time.Now()
	current := worker.Usage{At: now}
	for _, t := range w.tasks {
		if t.state != worker.StateRunning {
			continue
		}
		need := declaredResources(t.spec)
		need.Cores *= w.needFactor() * t.throttle
		need.MemoryMB = int64(float64(need.MemoryMB) * w.needFactor())
		current.Tasks = append(current.Tasks, worker.TaskUsage{Ref: t.spec.Ref, Kind: t.spec.Kind, Used: need})
	}
	w.history = append(w.history, current)
	if len(w.history) > maxUsageHistory {
		w.history = w.history[len(w.history)-maxUsageHistory:]
	}
	lagged := w.history[0]
	for _, u := range w.history {
		if now.Sub(u.At) >= w.faults.UsageLag {
			lagged = u
		}
	}
	return lagged, w.endCall(nil)
}

// Checkpoint implements worker.Worker.
func (w *SimWorker) Checkpoint(ctx context.Context, ref worker.Ref) (string, error) {
	if err := w.beginCall(ctx); err != nil {
		return "", err
	}
	t := w.tasks[ref]
	if t == nil {
		return "", w.endCall(worker.ErrNotFound)
	}
	if t.state == worker.StateRunning {
		t.checkpoint = fmt.Sprintf("progress-%d", t.progress)
		w.endTask(t, worker.StateCheckpointed, "")
	}
	if t.state != worker.StateCheckpointed {
		return "", w.endCall(fmt.Errorf("%w: task is %s", worker.ErrRefused, t.state))
	}
	return t.checkpoint, w.endCall(nil)
}

// Throttle implements worker.Worker.
func (w *SimWorker) Throttle(ctx context.Context, ref worker.Ref, share float64) error {
	if err := w.beginCall(ctx); err != nil {
		return err
	}
	t := w.tasks[ref]
	if t == nil {
		return w.endCall(worker.ErrNotFound)
	}
	t.throttle = max(0, min(1, share))
	return w.endCall(nil)
}

// Stop implements worker.Worker.
func (w *SimWorker) Stop(ctx context.Context, ref worker.Ref) error {
	if err := w.beginCall(ctx); err != nil {
		return err
	}
	if t := w.tasks[ref]; t != nil {
		w.endTask(t, worker.StateStopped, "stopped")
	} else {
		w.tasks[ref] = &simTask{spec: worker.Spec{Ref: ref}, state: worker.StateNotStarted, reason: "fenced before its start"}
	}
	return w.endCall(nil)
}

// Forget implements worker.Worker.
func (w *SimWorker) Forget(ctx context.Context, ref worker.Ref) error {
	if err := w.beginCall(ctx); err != nil {
		return err
	}
	if t := w.tasks[ref]; t != nil && t.state != worker.StateRunning {
		delete(w.tasks, ref)
	}
	return w.endCall(nil)
}
