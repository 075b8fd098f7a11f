package agent

import (
	"context"
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/ledger"
	"bamboofork/internal/partition"
	"bamboofork/internal/worker"
)

// run renews leases until ctx is done. Reports run concurrently, so that an unresponsive owner does not delay renewals.
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
		r.stopExpired()
		r.renewLeases(ctx)
		r.colocator.step(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	<-reports
}

// adopt takes over tasks that an earlier agent process left on the worker. Their owners decide whether they continue.
// If the worker's list cannot be read, the task loop retries, and nothing is placed on this host until it succeeds.
func (r *taskRunner) adopt(ctx context.Context) error {
	r.refresh(ctx)
	return nil
}

// refresh reads the worker's list of tasks and updates the attempts. An unlisted attempt has not started or is gone.
func (r *taskRunner) refresh(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !r.bootFresh() {
		if _, err := r.readWorkerBoot(callCtx); err != nil {
			return
		}
	}
	requestedAt := time.Now()
	list, err := r.worker.List(callCtx)
	if err != nil {
		return
	}
	seen := map[worker.Ref]worker.Status{}
	for _, st := range list {
		seen[st.Ref] = st
	}
	r.mu.Lock()
	absent := r.updateAttempts(seen, requestedAt)
	first := !r.listRead
	stray := r.adoptOrReturn(list, first)
	r.listRead = true
	r.mu.Unlock()
	for _, ref := range absent {
		r.fenceAtWorker(ref)
	}
	for _, st := range stray {
		r.removeStray(st)
	}
}

// bootReadInterval is how often the worker's clock is read, apart from the readings at placements.
const bootReadInterval = time.Second

// bootFresh reports whether the worker's clock was read within bootReadInterval. An older reading stays safe for
// renewals, because a worker that has restarted since has no tasks to renew.
func (r *taskRunner) bootFresh() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.bootReadAt) < bootReadInterval
}

// updateAttempts updates the known attempts from the list and returns the unlisted ones that the worker must fence. The
// caller holds mu.
func (r *taskRunner) updateAttempts(seen map[worker.Ref]worker.Status, requestedAt time.Time) []worker.Ref {
	absent := []worker.Ref{}
	for ref, t := range r.attempts {
		st, ok := seen[ref]
		switch {
		case ok:
			r.applyStatus(t, st)
		case r.handleUnlisted(t, requestedAt):
			absent = append(absent, ref)
		}
	}
	return absent
}

// startGrace covers a start call that is still in flight when the list is read.
const startGrace = 2 * callTimeout

// handleUnlisted handles an attempt that is not in the list. It returns true if the worker must fence the attempt first,
// because its start may still arrive. If the worker has lost its tasks, or has listed the attempt before, the attempt is
// gone. The caller holds mu.
func (r *taskRunner) handleUnlisted(t *attempt, requestedAt time.Time) bool {
	if t.status.State != worker.StateRunning || requestedAt.Sub(t.placedAt) < startGrace {
		return false
	}
	if !t.listed && r.workerKeptTasks(t) {
		t.fencing = true
		return true
	}
	t.status.State, t.status.Reason = worker.StateStopped, "the worker lost the task"
	r.agent.gate.ReleaseTask(t.spec.Ref.Task)
	return false
}

// bootTolerance covers the delay of clock readings and clock drift.
const bootTolerance = callTimeout + time.Second

// workerKeptTasks reports whether the worker has kept its tasks, that is, has not restarted, since the attempt was
// placed. The caller holds mu.
func (r *taskRunner) workerKeptTasks(t *attempt) bool {
	return !t.workerBoot.IsZero() && r.workerBoot.Sub(t.workerBoot).Abs() <= bootTolerance
}

// fenceAtWorker makes the worker refuse a start that is still in flight. The worker's list then includes the attempt.
func (r *taskRunner) fenceAtWorker(ref worker.Ref) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := r.worker.Stop(ctx, ref); err != nil {
		r.agent.metrics.Counter("agent_fence_failed").Inc(1) // retried with the next list
	}
}

// applyStatus stores the worker's status of an attempt; an older list never reverts the end of an attempt. The caller
// holds mu.
func (r *taskRunner) applyStatus(t *attempt, st worker.Status) {
	t.listed = true
	if t.status.State != worker.StateRunning {
		return
	}
	if st.State != worker.StateRunning {
		r.agent.gate.ReleaseTask(t.spec.Ref.Task)
		if st.State == worker.StateFailed || st.State == worker.StateDone {
			r.recordTaskEnd(st.Ref, st.State == worker.StateFailed)
		}
	}
	t.advanceWork(time.Now())
	t.status = st
}

// adoptOrReturn adopts listed tasks that this agent does not know, and returns those that it has fenced. All unknown
// tasks of the first list are adopted: they belong to an earlier agent process. The caller holds mu.
func (r *taskRunner) adoptOrReturn(list []worker.Status, first bool) []worker.Status {
	out := []worker.Status{}
	for _, st := range list {
		if r.attempts[st.Ref] != nil {
			continue
		}
		if first || r.fenced[st.Ref].IsZero() {
			r.adoptTask(st)
			continue
		}
		out = append(out, st)
	}
	return out
}

// removeStray removes a task that a lost response left on the worker: one that was forgotten, or a fenced one that
// started late.
func (r *taskRunner) removeStray(st worker.Status) {
	if st.State == worker.StateRunning {
		r.endAttempt(st.Ref, false, "attempt is fenced")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := r.worker.Forget(ctx, st.Ref); err != nil {
		r.agent.metrics.Counter("agent_forget_failed").Inc(1)
	}
}

// adoptTask adopts a task from the worker's list. A task that does not fit is stopped with a checkpoint. The caller
// holds mu.
func (r *taskRunner) adoptTask(st worker.Status) {
	jobID, _, err := ledger.SplitTask(st.Ref.Task)
	if err != nil {
		return
	}
	hold := time.Now().Add(adoptHold)
	if st.State == worker.StateRunning {
		if err := r.agent.gate.RestoreTask(st.Ref.Task, st.Need); err != nil {
			hold = time.Now() // the next iteration of the task loop stops it
		}
	}
	events.TaskAdopted.Log(&r.agent.log).Str("task", st.Ref.Task).Int("attempt", st.Ref.Attempt).Str("state", string(st.State)).Send()
	r.attempts[st.Ref] = &attempt{
		spec: worker.Spec{
			Ref: st.Ref, Kind: st.Kind, Need: st.Need, Lease: partition.WorkerLease, Team: st.Team, Priority: st.Priority},
		placedAt: time.Now(), throttle: 1,
		partition: r.partitionOf(jobID), holdUntil: hold, status: st, listed: true, workerBoot: r.workerBoot,
	}
}

// partitionOf returns the partition of a job.
func (r *taskRunner) partitionOf(jobID string) int {
	if id, ok := partition.ForJobID(jobID); ok && id < r.directory.Partitions {
		return id
	}
	return partition.ForKey(jobID, r.directory.Partitions)
}

// endRetryInterval is how often the end of an attempt is requested again until the worker confirms it.
const endRetryInterval = time.Second

// stopExpired stops attempts whose hold has expired. The calls run concurrently, because a slow worker must not delay the
// renewal of other attempts.
func (r *taskRunner) stopExpired() {
	now := time.Now()
	r.mu.Lock()
	expired := []worker.Ref{}
	for ref, t := range r.attempts {
		if t.status.State == worker.StateRunning && now.After(t.holdUntil) && now.Sub(t.endRequestedAt) >= endRetryInterval {
			t.endRequestedAt = now
			expired = append(expired, ref)
		}
	}
	for ref, at := range r.fenced {
		if now.Sub(at) > fenceRetention {
			delete(r.fenced, ref)
		}
	}
	r.mu.Unlock()
	for _, ref := range expired {
		events.HoldExpired.Log(&r.agent.log).Str("task", ref.Task).Int("attempt", ref.Attempt).Send()
		go r.endAttempt(ref, true, "hold expired")
	}
}

// renewalKey groups attempts into one renewal call: those with the same lease and the same end of the hold.
type renewalKey struct {
	lease time.Duration
	until time.Duration // on the worker's clock; 0: the worker has no clock
}

// renewLeases renews the leases at the worker, never past the hold of an attempt.
func (r *taskRunner) renewLeases(ctx context.Context) {
	for key, refs := range r.dueRenewals(time.Now()) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		if err := r.renew(callCtx, refs, key); err != nil {
			r.agent.metrics.Counter("agent_renew_failed").Inc(1)
		}
		cancel()
	}
}

func (r *taskRunner) renew(ctx context.Context, refs []worker.Ref, key renewalKey) error {
	if clocked, ok := r.worker.(worker.Clocked); ok && key.until > 0 {
		return clocked.RenewUntil(ctx, refs, key.lease, key.until)
	}
	return r.worker.Renew(ctx, refs, key.lease)
}

// holdRounding is the unit to which the ends of holds are rounded down, so that attempts share a renewal call.
const holdRounding = 250 * time.Millisecond

func (r *taskRunner) dueRenewals(now time.Time) map[renewalKey][]worker.Ref {
	due := map[renewalKey][]worker.Ref{}
	r.mu.Lock()
	defer r.mu.Unlock()
	for ref, t := range r.attempts {
		left := t.holdUntil.Sub(now)
		if t.status.State != worker.StateRunning || left <= 0 {
			continue
		}
		key := renewalKey{lease: t.spec.Lease, until: onWorkerClock(t.holdUntil, r.workerBoot)}
		if key.until > 0 {
			key.until = max(key.until.Truncate(holdRounding), 1)
		} else {
			key.lease = min(key.lease, left)
		}
		due[key] = append(due[key], ref)
	}
	return due
}
