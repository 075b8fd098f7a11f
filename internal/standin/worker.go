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
	RunFactor  float64       `json:"run_factor" yaml:"run_factor"`   // ratio of actual to declared run time; 0: 1
	NeedFactor float64       `json:"need_factor" yaml:"need_factor"` // ratio of actual to declared resource usage; 0: 1
	UsageLag   time.Duration `json:"usage_lag" yaml:"usage_lag"`     // minimum age of the reported usage, if a measurement of that age exists
	StartDelay time.Duration `json:"start_delay" yaml:"start_delay"` // accepted in the fault settings, but without effect
	LoseAnswer float64       `json:"lose_answer" yaml:"lose_answer"` // probability that a call takes effect but returns an error
}

// simTask is a task on a simulated worker. If the task was stopped before its start, it has the state NotStarted, which prevents a
// delayed start.
type simTask struct {
	spec           worker.Spec
	state          worker.State
	reason         string
	progress       time.Duration // run time completed, counted at full speed
	updatedAt      time.Time     // end of the time that progress covers
	speed          float64       // fraction of full speed
	leaseExpiresAt time.Time
	checkpoint     string // "": none
}

// TaskObserver is notified when a task starts or ends on a simulated worker of a fleet.
type TaskObserver interface {
	TaskStarted(ref worker.Ref, workerID string)
	TaskEnded(ref worker.Ref, workerID string, state worker.State)
}

// SimWorker is a simulated worker. Its tasks advance in real time; each call updates their progress. mu guards the fields declared
// after mu.
type SimWorker struct {
	id       string
	capacity worker.Resources

	mu             sync.Mutex
	faults         WorkerFaults
	clockStartedAt time.Time // zero of the worker's clock; reset when the worker loses its tasks
	tasks          map[worker.Ref]*simTask
	usageHistory   []worker.Usage // oldest first
	observer       TaskObserver
	rng            *rand.Rand
}

// NewSimWorker returns an idle worker. The observer may be nil.
func NewSimWorker(id string, capacity worker.Resources, observer TaskObserver, seed uint64) *SimWorker {
	return &SimWorker{id: id, capacity: capacity, clockStartedAt: time.Now(), tasks: map[worker.Ref]*simTask{}, observer: observer,
		rng: rand.New(rand.NewPCG(seed, 1))}
}

var (
	_ worker.Worker        = (*SimWorker)(nil)
	_ worker.ClockedWorker = (*SimWorker)(nil)
)

// SetFaults replaces the faults. If f.Dead is set, all tasks are ended and removed.
func (w *SimWorker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateTasks()
	w.faults = f
	if f.Dead {
		for _, t := range w.tasks {
			w.endTask(t, worker.StateStopped, "host died")
		}
		w.tasks = map[worker.Ref]*simTask{}
		w.clockStartedAt = time.Now()
	}
}

// Faults returns the current faults.
func (w *SimWorker) Faults() WorkerFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// CoresByKind returns the cores that running tasks use, by task kind. A throttled task uses fewer cores. The sample backend
// server derives its service time from this load.
func (w *SimWorker) CoresByKind() map[string]float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateTasks()
	coresByKind := map[string]float64{}
	for _, t := range w.tasks {
		if t.state == worker.StateRunning {
			coresByKind[t.spec.Kind] += declaredResources(t.spec).Cores * w.needFactor() * t.speed
		}
	}
	return coresByKind
}

// declaredResources returns the resources that the job requested for the task. The simulated usage is derived from them and not from
// Spec.Need, because Spec.Need may have been corrected to the observed usage.
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

// runTime returns the actual run time of a task at full speed.
func (w *SimWorker) runTime(spec worker.Spec) time.Duration {
	if w.faults.RunFactor > 0 {
		return time.Duration(float64(spec.Run) * w.faults.RunFactor)
	}
	return spec.Run
}

// updateTasks updates the progress of all running tasks, and ends tasks that have finished or whose lease has expired. The caller holds
// w.mu.
func (w *SimWorker) updateTasks() {
	now := time.Now()
	for _, t := range w.tasks {
		if t.state != worker.StateRunning {
			continue
		}
		progressEnd := now
		if t.leaseExpiresAt.Before(now) {
			progressEnd = t.leaseExpiresAt
		}
		t.progress += time.Duration(float64(progressEnd.Sub(t.updatedAt)) * t.speed)
		t.updatedAt = progressEnd
		switch {
		case t.progress >= w.runTime(t.spec):
			w.endTask(t, worker.StateDone, "")
		case t.leaseExpiresAt.Before(now):
			w.endTask(t, worker.StateStopped, "lease expired")
		}
	}
}

// endTask sets the final state of a running task and notifies the observer. It does nothing if the task has already ended.
func (w *SimWorker) endTask(t *simTask, state worker.State, reason string) {
	if t.state != worker.StateRunning {
		return
	}
	t.state, t.reason = state, reason
	if w.observer != nil {
		w.observer.TaskEnded(t.spec.Ref, w.id, state)
	}
}

// beginCall locks w.mu and applies the faults Dead and Paused. If the returned error is nil, the caller holds w.mu and must call endCall.
// Otherwise w.mu is not held.
func (w *SimWorker) beginCall(ctx context.Context) error {
	w.mu.Lock()
	w.updateTasks()
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

// endCall unlocks w.mu. It returns err, or worker.ErrUnavailable if the fault LoseAnswer applies to this call.
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
	if spec.Until > 0 && now.Sub(w.clockStartedAt) >= spec.Until {
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
	t := &simTask{spec: spec, state: worker.StateRunning, updatedAt: now, speed: 1, leaseExpiresAt: w.leaseExpiry(spec.Lease, spec.Until)}
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

// leaseExpiry returns the time at which a lease that starts now expires. until is the latest expiry on the worker's clock; 0: no limit.
func (w *SimWorker) leaseExpiry(lease, until time.Duration) time.Time {
	expiresAt := time.Now().Add(lease)
	if limit := w.clockStartedAt.Add(until); until > 0 && limit.Before(expiresAt) {
		return limit
	}
	return expiresAt
}

// Clock implements worker.ClockedWorker.
func (w *SimWorker) Clock(ctx context.Context) (time.Duration, error) {
	if err := w.beginCall(ctx); err != nil {
		return 0, err
	}
	return time.Since(w.clockStartedAt), w.endCall(nil)
}

// Renew implements worker.Worker.
func (w *SimWorker) Renew(ctx context.Context, refs []worker.Ref, lease time.Duration) error {
	return w.RenewUntil(ctx, refs, lease, 0)
}

// RenewUntil implements worker.ClockedWorker. However late the call arrives, no lease is
// extended beyond until on the worker's clock; 0: no limit.
func (w *SimWorker) RenewUntil(ctx context.Context, refs []worker.Ref, lease, until time.Duration) error {
	if err := w.beginCall(ctx); err != nil {
		return err
	}
	for _, ref := range refs {
		if t := w.tasks[ref]; t != nil && t.state == worker.StateRunning {
			if expiresAt := w.leaseExpiry(lease, until); expiresAt.After(t.leaseExpiresAt) {
				t.leaseExpiresAt = expiresAt
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
		Reason: t.reason, Checkpoint: t.checkpoint, Progress: progress, Throttle: t.speed, Team: t.spec.Team, Priority: t.spec.Priority,
	}
}

// maxUsageMeasurements is the number of usage measurements that are kept. WorkerFaults.UsageLag selects one of them.
const maxUsageMeasurements = 256

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
		used := declaredResources(t.spec)
		used.Cores *= w.needFactor() * t.speed
		used.MemoryMB = int64(float64(used.MemoryMB) * w.needFactor())
		current.Tasks = append(current.Tasks, worker.TaskUsage{Ref: t.spec.Ref, Kind: t.spec.Kind, Used: used})
	}
	w.usageHistory = append(w.usageHistory, current)
	if len(w.usageHistory) > maxUsageMeasurements {
		w.usageHistory = w.usageHistory[len(w.usageHistory)-maxUsageMeasurements:]
	}
	reported := w.usageHistory[0]
	for _, u := range w.usageHistory {
		if now.Sub(u.At) >= w.faults.UsageLag {
			reported = u
		}
	}
	return reported, w.endCall(nil)
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
	t.speed = max(0, min(1, share))
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
