package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/ledger"
	"bamboofork/internal/partition"
	"bamboofork/internal/wire"
	"bamboofork/internal/worker"
)

// Timing of the task loop.
const (
	taskInterval  = 100 * time.Millisecond
	reportEvery   = 250 * time.Millisecond
	reportTimeout = 3 * time.Second
	callTimeout   = 2 * time.Second
	adoptHold     = 10 * time.Second // time for the owner to confirm a task found on the worker
)

// attempt is one task on this host.
type attempt struct {
	spec      worker.Spec
	partition int
	hold      time.Time // the agent stops the attempt at this time of its monotonic clock
	placed    time.Time
	status    worker.Status
	throttle  float64
	throttled time.Time        // newest change of throttle
	slowSince time.Time        // when the speed was first reduced; zero at full speed
	used      worker.Resources // largest measured use, at full speed
	memoryMB  int64            // newest measured memory
	work      time.Duration    // work done on this host, in time at full speed
	workAt    time.Time        // until when work is counted
}

// taskRunner keeps the batch tasks of the host. mu guards the maps; it is never held during I/O.
type taskRunner struct {
	a   *Agent
	w   worker.Worker
	dir *partition.Directory

	mu       sync.Mutex
	attempts map[worker.Ref]*attempt
	fenced   map[worker.Ref]time.Time // attempts that must not start any more
	ends     []ending                 // newest ends of tasks on this worker
	control  *colocator
	kept     map[string]keptRoom // room of preempted tasks, by the urgent task that it is for
}

func newTaskRunner(a *Agent, w worker.Worker, dir *partition.Directory) *taskRunner {
	r := &taskRunner{a: a, w: w, dir: dir, attempts: map[worker.Ref]*attempt{}, fenced: map[worker.Ref]time.Time{}, kept: map[string]keptRoom{}}
	r.control = newColocator(a, r)
	return r
}

// place admits a task and starts it. A refusal proves that it did not and will not start.
func (r *taskRunner) place(args wire.PlaceArgs) (bool, string) {
	ref := args.Spec.Ref
	if args.Incarnation != r.a.table.Self().Incarnation {
		return false, "placement is for an earlier incarnation of this agent"
	}
	left := args.HoldUntil - r.a.clock()
	if left <= 0 {
		return false, "placement arrived after its hold"
	}
	if ok, reason := r.reserve(args, left); !ok {
		return false, reason
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	spec := args.Spec
	spec.Lease = min(spec.Lease, left)
	err := r.w.Start(ctx, spec)
	if errors.Is(err, worker.ErrRefused) {
		r.drop(ref)
		return false, err.Error()
	}
	if err != nil {
		return true, "" // the start may have happened; the worker's list will tell
	}
	events.TaskStarted.Log(&r.a.log).Str("task", ref.Task).Int("attempt", ref.Attempt).Str("checkpoint", spec.Checkpoint).Send()
	return true, ""
}

func (r *taskRunner) reserve(args wire.PlaceArgs, left time.Duration) (bool, string) {
	ref := args.Spec.Ref
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, fenced := r.fenced[ref]; fenced {
		return false, "attempt was fenced"
	}
	if r.attempts[ref] != nil {
		return true, ""
	}
	if r.keptFromOthers(ref.Task, args.Spec.Need, time.Now()) {
		return false, reasonKept
	}
	if err := r.a.gate.AdmitTask(ref.Task, args.Spec.Need); err != nil {
		return false, err.Error()
	}
	delete(r.kept, ref.Task)
	r.attempts[ref] = &attempt{
		spec: args.Spec, partition: args.Partition, hold: time.Now().Add(left), placed: time.Now(), throttle: 1,
		status: worker.Status{Ref: ref, Kind: args.Spec.Kind, Need: args.Spec.Need, State: worker.StateRunning},
	}
	return true, ""
}

func (r *taskRunner) drop(ref worker.Ref) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts[ref] != nil {
		delete(r.attempts, ref)
		r.a.gate.ReleaseTask(ref.Task)
	}
}

// fenceMemory is how long fenced attempts are remembered; it exceeds the longest hold.
const fenceMemory = 30 * time.Minute

// stop fences an attempt and ends it if it runs.
func (r *taskRunner) stop(args wire.StopArgs) (wire.TaskReport, bool) {
	r.mu.Lock()
	r.fenced[args.Ref] = time.Now()
	t := r.attempts[args.Ref]
	r.mu.Unlock()
	if t == nil {
		return wire.TaskReport{Ref: args.Ref}, false
	}
	r.end(args.Ref, args.Checkpoint, "stopped by the owner")
	r.mu.Lock()
	defer r.mu.Unlock()
	return reportOf(t), true
}

// end stops an attempt at the worker, with a checkpoint if asked. The worker's list confirms the result.
func (r *taskRunner) end(ref worker.Ref, checkpoint bool, reason string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var err error
	if checkpoint {
		_, err = r.w.Checkpoint(ctx, ref)
	} else {
		err = r.w.Stop(ctx, ref)
	}
	events.TaskStopped.Log(&r.a.log).Str("task", ref.Task).Int("attempt", ref.Attempt).Bool("checkpoint", checkpoint).Str("reason", reason).AnErr("error", err).Send()
}

// adopt takes over tasks that an earlier agent process left on the worker. Their owners decide whether they go on.
func (r *taskRunner) adopt(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := r.w.List(callCtx)
	if err != nil {
		return nil // the task loop reads the list again
	}
	for _, st := range list {
		r.adoptOne(st)
	}
	return nil
}

func (r *taskRunner) adoptOne(st worker.Status) {
	jobID, _, err := ledger.SplitTask(st.Ref.Task)
	if err != nil {
		return
	}
	if st.State == worker.StateRunning {
		if err := r.a.gate.RestoreTask(st.Ref.Task, st.Need); err != nil {
			r.end(st.Ref, true, "no room for an adopted task")
		}
	}
	events.TaskAdopted.Log(&r.a.log).Str("task", st.Ref.Task).Int("attempt", st.Ref.Attempt).Str("state", string(st.State)).Send()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[st.Ref] = &attempt{
		spec: worker.Spec{Ref: st.Ref, Kind: st.Kind, Need: st.Need, Lease: partition.WorkerLease, Team: st.Team, Priority: st.Priority}, placed: time.Now(), throttle: 1,
		partition: partition.Of(jobID, r.dir.Partitions), hold: time.Now().Add(adoptHold), status: st,
	}
}

// run keeps leases and reports until ctx ends.
func (r *taskRunner) run(ctx context.Context) {
	ticker := time.NewTicker(taskInterval)
	defer ticker.Stop()
	lastReport := time.Time{}
	for {
		r.refresh(ctx)
		r.enforceHolds()
		r.renewLeases(ctx)
		r.control.step(ctx)
		if time.Since(lastReport) >= reportEvery {
			lastReport = time.Now()
			r.report(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// refresh reads the worker's list. An attempt that the worker does not list did not start or is gone.
func (r *taskRunner) refresh(ctx context.Context) {
	asked := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := r.w.List(callCtx)
	if err != nil {
		return
	}
	seen := map[worker.Ref]worker.Status{}
	for _, st := range list {
		seen[st.Ref] = st
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for ref, t := range r.attempts {
		st, ok := seen[ref]
		if !ok {
			r.missing(t, asked)
			continue
		}
		r.update(t, st)
	}
}

// startGrace covers a start that is still on its way to the worker when the list is read.
const startGrace = 2 * callTimeout

func (r *taskRunner) missing(t *attempt, asked time.Time) {
	if t.status.State != worker.StateRunning || asked.Sub(t.placed) < startGrace {
		return
	}
	t.status.State, t.status.Reason = worker.StateStopped, "worker does not know the task"
	r.a.gate.ReleaseTask(t.spec.Ref.Task)
}

func (r *taskRunner) update(t *attempt, st worker.Status) {
	if t.status.State == worker.StateRunning && st.State != worker.StateRunning {
		r.a.gate.ReleaseTask(t.spec.Ref.Task)
		if st.State == worker.StateFailed || st.State == worker.StateDone {
			r.noteEnd(st.Ref, st.State == worker.StateFailed)
		}
	}
	if t.status.State == worker.StateRunning {
		t.advanceWork(time.Now())
	}
	t.status = st
}

func (r *taskRunner) running() []worker.Ref {
	r.mu.Lock()
	defer r.mu.Unlock()
	refs := []worker.Ref{}
	for ref, t := range r.attempts {
		if t.status.State == worker.StateRunning {
			refs = append(refs, ref)
		}
	}
	return refs
}

// enforceHolds stops attempts whose hold ran out.
func (r *taskRunner) enforceHolds() {
	now := time.Now()
	r.mu.Lock()
	expired := []worker.Ref{}
	for ref, t := range r.attempts {
		if t.status.State == worker.StateRunning && now.After(t.hold) {
			expired = append(expired, ref)
		}
	}
	for ref, at := range r.fenced {
		if now.Sub(at) > fenceMemory {
			delete(r.fenced, ref)
		}
	}
	r.mu.Unlock()
	for _, ref := range expired {
		events.HoldExpired.Log(&r.a.log).Str("task", ref.Task).Int("attempt", ref.Attempt).Send()
		r.end(ref, true, "hold ran out")
	}
}

// renewLeases extends the worker's leases, never past the hold of an attempt.
func (r *taskRunner) renewLeases(ctx context.Context) {
	now := time.Now()
	byLease := map[time.Duration][]worker.Ref{}
	r.mu.Lock()
	for ref, t := range r.attempts {
		left := t.hold.Sub(now)
		if t.status.State == worker.StateRunning && left > 0 {
			lease := min(partition.WorkerLease, left)
			byLease[lease] = append(byLease[lease], ref)
		}
	}
	r.mu.Unlock()
	for lease, refs := range byLease {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		if err := r.w.Renew(callCtx, refs, lease); err != nil {
			r.a.metrics.Counter("agent_renew_failed").Inc(1)
		}
		cancel()
	}
}

func reportOf(t *attempt) wire.TaskReport {
	report := wire.TaskReport{Ref: t.spec.Ref, State: t.status.State, Checkpoint: t.status.Checkpoint, Reason: t.status.Reason, Progress: t.status.Progress, Used: t.used}
	if t.status.State == worker.StateDone && t.spec.Checkpoint == "" {
		report.Ran = t.work
	}
	return report
}

// report renews the holds at the owners of all partitions with tasks on this host.
func (r *taskRunner) report(ctx context.Context) {
	r.mu.Lock()
	byPartition := map[int][]wire.TaskReport{}
	for _, t := range r.attempts {
		byPartition[t.partition] = append(byPartition[t.partition], reportOf(t))
	}
	r.mu.Unlock()
	var wg sync.WaitGroup
	for id, tasks := range byPartition {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.reportTo(ctx, id, tasks)
		}()
	}
	wg.Wait()
}

func (r *taskRunner) reportTo(ctx context.Context, id int, tasks []wire.TaskReport) {
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	self := r.a.table.Self()
	args := wire.ReportArgs{Partition: id, Agent: self.ID, Incarnation: self.Incarnation, Tasks: tasks}
	var reply wire.ReportReply
	sent := time.Now()
	err := r.dir.Call(callCtx, id, "Partition.Report", args, &reply, func() wire.Code { return reply.Code })
	if err != nil {
		return
	}
	r.applyReply(reply, sent)
}

func (r *taskRunner) applyReply(reply wire.ReportReply, sent time.Time) {
	r.mu.Lock()
	for _, ref := range reply.Hold {
		if t := r.attempts[ref]; t != nil {
			if until := sent.Add(reply.For); until.After(t.hold) {
				t.hold = until
			}
		}
	}
	r.mu.Unlock()
	for _, ref := range reply.Stop {
		r.end(ref, false, "owner does not want it any more")
	}
	for _, ref := range reply.Forget {
		r.forget(ref)
	}
}

func (r *taskRunner) forget(ref worker.Ref) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := r.w.Forget(ctx, ref); err != nil {
		r.a.metrics.Counter("agent_forget_failed").Inc(1)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fenced[ref] = time.Now()
	delete(r.attempts, ref)
}

// handOver checkpoints all tasks and reports until their owners have recorded it or ctx ends.
func (r *taskRunner) handOver(ctx context.Context) {
	for _, ref := range r.running() {
		r.end(ref, true, "agent leaves")
	}
	for ctx.Err() == nil {
		r.refresh(ctx)
		r.report(ctx)
		r.mu.Lock()
		left := len(r.attempts)
		r.mu.Unlock()
		if left == 0 {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(taskInterval):
		}
	}
}
