package agent

import (
	"context"
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/ledger"
	"bamboofork/internal/partition"
	"bamboofork/internal/worker"
)

// run keeps leases until ctx ends. Reports run beside it, so that a silent owner delays no lease.
func (r *taskRunner) run(ctx context.Context) {
	reports := make(chan struct{})
	go func() {
		defer close(reports)
		r.reportLoop(ctx)
	}()
	ticker := time.NewTicker(taskInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		r.refresh(ctx)
		r.enforceHolds()
		r.renewLeases(ctx)
		r.control.step(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	<-reports
}

// adopt takes over tasks that an earlier agent process left on the worker. Their owners decide whether they go on.
// Until the list was read, the loop tries again and nothing is placed on this host.
func (r *taskRunner) adopt(ctx context.Context) error {
	r.refresh(ctx)
	return nil
}

// refresh reads the worker's list. An attempt that the worker does not list did not start or is gone.
func (r *taskRunner) refresh(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !r.bootFresh() {
		if _, err := r.workerBoot(callCtx); err != nil {
			return
		}
	}
	asked := time.Now()
	list, err := r.w.List(callCtx)
	if err != nil {
		return
	}
	seen := map[worker.Ref]worker.Status{}
	for _, st := range list {
		seen[st.Ref] = st
	}
	r.mu.Lock()
	absent := r.compare(seen, asked)
	first := !r.adopted
	stray := r.strays(list, first)
	r.adopted = true
	r.mu.Unlock()
	for _, ref := range absent {
		r.fenceAtWorker(ref)
	}
	for _, st := range stray {
		r.settleStray(st)
	}
}

// bootEvery is how often the worker's clock is read beside placements.
const bootEvery = time.Second

// bootFresh reports whether the worker's clock was read lately. An older reading stays safe for renewals: a worker that
// restarted since has no tasks to renew.
func (r *taskRunner) bootFresh() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.bootRead) < bootEvery
}

// compare updates the known attempts and returns those that the worker should have listed; mu is held.
func (r *taskRunner) compare(seen map[worker.Ref]worker.Status, asked time.Time) []worker.Ref {
	absent := []worker.Ref{}
	for ref, t := range r.attempts {
		st, ok := seen[ref]
		switch {
		case ok:
			r.update(t, st)
		case r.missing(t, asked):
			absent = append(absent, ref)
		}
	}
	return absent
}

// startGrace covers a start that is still on its way to the worker when the list is read.
const startGrace = 2 * callTimeout

// missing handles an attempt that is not in the list. It returns true if the worker must fence it first: its start
// may still arrive. If the worker lost its tasks, or showed the attempt before, the attempt is gone; mu is held.
func (r *taskRunner) missing(t *attempt, asked time.Time) bool {
	if t.status.State != worker.StateRunning || asked.Sub(t.placed) < startGrace {
		return false
	}
	if !t.listed && r.sameWorker(t) {
		t.fencing = true
		return true
	}
	t.status.State, t.status.Reason = worker.StateStopped, "the worker lost the task"
	r.a.gate.ReleaseTask(t.spec.Ref.Task)
	return false
}

// bootTolerance absorbs the delay of clock readings and clock drift.
const bootTolerance = callTimeout + time.Second

// sameWorker reports whether the worker has kept its tasks since the attempt was placed; mu is held.
func (r *taskRunner) sameWorker(t *attempt) bool {
	return !t.boot.IsZero() && r.boot.Sub(t.boot).Abs() <= bootTolerance
}

// fenceAtWorker makes the worker refuse a start that is still on its way. Its list then shows the attempt.
func (r *taskRunner) fenceAtWorker(ref worker.Ref) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := r.w.Stop(ctx, ref); err != nil {
		r.a.metrics.Counter("agent_fence_failed").Inc(1) // tried again with the next list
	}
}

// update takes over the worker's view; the end of an attempt is never taken back by an older list. mu is held.
func (r *taskRunner) update(t *attempt, st worker.Status) {
	t.listed = true
	if t.status.State != worker.StateRunning {
		return
	}
	if st.State != worker.StateRunning {
		r.a.gate.ReleaseTask(t.spec.Ref.Task)
		if st.State == worker.StateFailed || st.State == worker.StateDone {
			r.noteEnd(st.Ref, st.State == worker.StateFailed)
		}
	}
	t.advanceWork(time.Now())
	t.status = st
}

// strays returns the listed tasks that are not known here; mu is held. With the first list these are the tasks of an
// earlier agent process.
func (r *taskRunner) strays(list []worker.Status, first bool) []worker.Status {
	out := []worker.Status{}
	for _, st := range list {
		if r.attempts[st.Ref] != nil {
			continue
		}
		if first || r.fenced[st.Ref].IsZero() {
			r.adoptOne(st)
			continue
		}
		out = append(out, st)
	}
	return out
}

// settleStray removes what a lost answer left on the worker: a forgotten task, or a fenced one that started late.
func (r *taskRunner) settleStray(st worker.Status) {
	if st.State == worker.StateRunning {
		r.end(st.Ref, false, "attempt is fenced")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := r.w.Forget(ctx, st.Ref); err != nil {
		r.a.metrics.Counter("agent_forget_failed").Inc(1)
	}
}

// adoptOne takes a task from the worker's list; mu is held. A task without room is stopped with a checkpoint.
func (r *taskRunner) adoptOne(st worker.Status) {
	jobID, _, err := ledger.SplitTask(st.Ref.Task)
	if err != nil {
		return
	}
	hold := time.Now().Add(adoptHold)
	if st.State == worker.StateRunning {
		if err := r.a.gate.RestoreTask(st.Ref.Task, st.Need); err != nil {
			hold = time.Now() // the next pass stops it
		}
	}
	events.TaskAdopted.Log(&r.a.log).Str("task", st.Ref.Task).Int("attempt", st.Ref.Attempt).Str("state", string(st.State)).Send()
	r.attempts[st.Ref] = &attempt{
		spec: worker.Spec{Ref: st.Ref, Kind: st.Kind, Need: st.Need, Lease: partition.WorkerLease, Team: st.Team, Priority: st.Priority}, placed: time.Now(), throttle: 1,
		partition: r.partitionOf(jobID), hold: hold, status: st, listed: true, boot: r.boot,
	}
}

// partitionOf finds the partition of a job by its id.
func (r *taskRunner) partitionOf(jobID string) int {
	if id, ok := partition.OfJob(jobID); ok && id < r.dir.Partitions {
		return id
	}
	return partition.Of(jobID, r.dir.Partitions)
}

// endRetry is how often the end of an attempt is asked for again while the worker does not confirm it.
const endRetry = time.Second

// enforceHolds stops attempts whose hold ran out. The calls run beside the loop: a slow worker must not keep other
// attempts from their renewal.
func (r *taskRunner) enforceHolds() {
	now := time.Now()
	r.mu.Lock()
	expired := []worker.Ref{}
	for ref, t := range r.attempts {
		if t.status.State == worker.StateRunning && now.After(t.hold) && now.Sub(t.ending) >= endRetry {
			t.ending = now
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
		go r.end(ref, true, "hold ran out")
	}
}

// renewal is one renewal call: attempts with the same lease and the same end of their hold.
type renewal struct {
	lease time.Duration
	until time.Duration // on the worker's clock; 0: the worker has no clock
}

// renewLeases extends the worker's leases, never past the hold of an attempt.
func (r *taskRunner) renewLeases(ctx context.Context) {
	for key, refs := range r.dueRenewals(time.Now()) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		if err := r.renew(callCtx, refs, key); err != nil {
			r.a.metrics.Counter("agent_renew_failed").Inc(1)
		}
		cancel()
	}
}

func (r *taskRunner) renew(ctx context.Context, refs []worker.Ref, key renewal) error {
	if clocked, ok := r.w.(worker.Clocked); ok && key.until > 0 {
		return clocked.RenewUntil(ctx, refs, key.lease, key.until)
	}
	return r.w.Renew(ctx, refs, key.lease)
}

// untilStep rounds the ends of holds down, so that attempts share a renewal call.
const untilStep = 250 * time.Millisecond

func (r *taskRunner) dueRenewals(now time.Time) map[renewal][]worker.Ref {
	due := map[renewal][]worker.Ref{}
	r.mu.Lock()
	defer r.mu.Unlock()
	for ref, t := range r.attempts {
		left := t.hold.Sub(now)
		if t.status.State != worker.StateRunning || left <= 0 {
			continue
		}
		key := renewal{lease: t.spec.Lease, until: untilOf(t.hold, r.boot)}
		if key.until > 0 {
			key.until = max(key.until.Truncate(untilStep), 1)
		} else {
			key.lease = min(key.lease, left)
		}
		due[key] = append(due[key], ref)
	}
	return due
}
