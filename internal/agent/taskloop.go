package agent

import (
	"context"
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/ledger"
	"bamboofork/internal/partition"
	"bamboofork/internal/worker"
)

// runLoop is the task loop. Until ctx is done, it updates the attempts from the worker's list, stops expired attempts, renews
// leases and runs the colocation control. Reports are sent concurrently, so that an unresponsive owner does not delay renewals.
func (r *taskRunner) runLoop(ctx context.Context) {
	reports := make(chan struct{})
	go func() {
		defer close(reports)
		r.reportLoop(ctx)
	}()
	ticker := time.NewTicker(taskLoopInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		r.refreshAttempts(ctx)
		r.stopExpired()
		r.renewLeases(ctx)
		r.colocationManager.runControlCycle(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	<-reports
}

// adoptExistingTasks adopts the tasks that an earlier agent process left on the worker. The owners of these tasks decide whether
// the tasks continue. If the worker's list cannot be read, the task loop retries, and no task is placed on this host until the
// list has been read.
func (r *taskRunner) adoptExistingTasks(ctx context.Context) error {
	r.refreshAttempts(ctx)
	return nil
}

// refreshAttempts reads the worker's list of tasks and updates the attempts. An attempt that is not in the list has not started
// or no longer exists.
func (r *taskRunner) refreshAttempts(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	if !r.isBootReadingFresh() {
		if _, err := r.readWorkerBoot(callCtx); err != nil {
			return
		}
	}
	requestedAt := time.Now()
	list, err := r.worker.List(callCtx)
	if err != nil {
		return
	}
	listedByRef := map[worker.Ref]worker.Status{}
	for _, status := range list {
		listedByRef[status.Ref] = status
	}
	r.mu.Lock()
	absentRefs := r.updateAttempts(listedByRef, requestedAt)
	isFirstList := !r.hasReadList
	strays := r.adoptUnknownTasks(list, isFirstList)
	r.hasReadList = true
	r.mu.Unlock()
	for _, ref := range absentRefs {
		r.fenceAtWorker(ref)
	}
	for _, status := range strays {
		r.removeStray(status)
	}
}

// bootReadInterval is the interval between readings of the worker's clock. Each placement also reads the clock.
const bootReadInterval = time.Second

// isBootReadingFresh reports whether the worker's clock was read within the last bootReadInterval. An older reading remains safe
// for renewals, because a worker that has restarted since the reading has no tasks to renew.
func (r *taskRunner) isBootReadingFresh() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.bootReadAt) < bootReadInterval
}

// updateAttempts updates the known attempts from the worker's list. It returns the attempts that are not in the list and that the
// worker must fence. The caller holds mu.
func (r *taskRunner) updateAttempts(listedByRef map[worker.Ref]worker.Status, requestedAt time.Time) []worker.Ref {
	absentRefs := []worker.Ref{}
	for ref, t := range r.attemptByRef {
		status, ok := listedByRef[ref]
		switch {
		case ok:
			r.applyStatus(t, status)
		case r.handleUnlisted(t, requestedAt):
			absentRefs = append(absentRefs, ref)
		}
	}
	return absentRefs
}

// startGracePeriod is the time after a placement during which an attempt may be missing from the worker's list, because its start
// call may still be in flight.
const startGracePeriod = 2 * workerCallTimeout

// handleUnlisted handles an attempt that is not in the worker's list. It returns true if the worker must first fence the attempt,
// because the start call may still arrive. Otherwise, if the grace period is over, the attempt has stopped: the worker has lost
// its tasks or has listed the attempt before. The caller holds mu.
func (r *taskRunner) handleUnlisted(t *attempt, requestedAt time.Time) bool {
	if t.status.State != worker.StateRunning || requestedAt.Sub(t.placedAt) < startGracePeriod {
		return false
	}
	if !t.startConfirmed && r.workerKeptTasks(t) {
		t.fenceRequested = true
		return true
	}
	t.status.State, t.status.Reason = worker.StateStopped, "the worker lost the task"
	r.agent.gate.ReleaseTask(t.spec.Ref.Task)
	return false
}

// bootTolerance is the maximum difference between two readings of the start of one worker clock. It covers the delay of the
// readings and clock drift.
const bootTolerance = workerCallTimeout + time.Second

// workerKeptTasks reports whether the worker has not restarted since the attempt was placed. A worker loses its tasks when it
// restarts. The caller holds mu.
func (r *taskRunner) workerKeptTasks(t *attempt) bool {
	return !t.workerBootAt.IsZero() && r.workerBootAt.Sub(t.workerBootAt).Abs() <= bootTolerance
}

// fenceAtWorker makes the worker reject a start of the attempt that is still in flight. The worker's list then includes the
// attempt.
func (r *taskRunner) fenceAtWorker(ref worker.Ref) {
	ctx, cancel := context.WithTimeout(context.Background(), workerCallTimeout)
	defer cancel()
	if err := r.worker.Stop(ctx, ref); err != nil {
		r.agent.metrics.Counter("agent_fence_failed").Inc(1) // retried with the next list
	}
}

// applyStatus stores the worker's status of an attempt. If the attempt has ended, its resources are released. An older list never
// reverts the end of an attempt. The caller holds mu.
func (r *taskRunner) applyStatus(t *attempt, status worker.Status) {
	t.startConfirmed = true
	if t.status.State != worker.StateRunning {
		return
	}
	if status.State != worker.StateRunning {
		r.agent.gate.ReleaseTask(t.spec.Ref.Task)
		if status.State == worker.StateFailed || status.State == worker.StateDone {
			r.recordTaskEnd(status.Ref, status.State == worker.StateFailed)
		}
	}
	t.advanceWork(time.Now())
	t.status = status
}

// adoptUnknownTasks adopts the listed tasks that this agent does not know, except the tasks that this agent has fenced, which it
// returns. All unknown tasks of the first list are adopted, because they belong to an earlier agent process. The caller holds mu.
func (r *taskRunner) adoptUnknownTasks(list []worker.Status, isFirstList bool) []worker.Status {
	fencedTasks := []worker.Status{}
	for _, status := range list {
		if r.attemptByRef[status.Ref] != nil {
			continue
		}
		if isFirstList || r.fencedAt[status.Ref].IsZero() {
			r.adoptTask(status)
			continue
		}
		fencedTasks = append(fencedTasks, status)
	}
	return fencedTasks
}

// removeStray removes a fenced task from the worker. Such a task remains there if it started late, or if the call that should
// make the worker forget the task was lost.
func (r *taskRunner) removeStray(status worker.Status) {
	if status.State == worker.StateRunning {
		r.endAttempt(status.Ref, false, "attempt is fenced")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), workerCallTimeout)
	defer cancel()
	if err := r.worker.Forget(ctx, status.Ref); err != nil {
		r.agent.metrics.Counter("agent_forget_failed").Inc(1)
	}
}

// adoptTask adopts a task from the worker's list. A task that does not fit into the host's resources is stopped with a
// checkpoint. The caller holds mu.
func (r *taskRunner) adoptTask(status worker.Status) {
	jobID, _, err := ledger.SplitTaskName(status.Ref.Task)
	if err != nil {
		return
	}
	holdUntil := time.Now().Add(adoptedHoldDuration)
	if status.State == worker.StateRunning {
		if err := r.agent.gate.RestoreTask(status.Ref.Task, status.Need); err != nil {
			holdUntil = time.Now() // the next iteration of the task loop stops the attempt
		}
	}
	events.TaskAdopted.Log(&r.agent.log).Str("task", status.Ref.Task).Int("attempt", status.Ref.Attempt).
		Str("state", string(status.State)).Send()
	r.attemptByRef[status.Ref] = &attempt{
		spec: worker.Spec{
			Ref: status.Ref, Kind: status.Kind, Need: status.Need, Lease: partition.WorkerLease, Team: status.Team, Priority: status.Priority},
		placedAt: time.Now(), speed: 1,
		partition: r.partitionOf(jobID), holdUntil: holdUntil, status: status, startConfirmed: true, workerBootAt: r.workerBootAt,
	}
}

// partitionOf returns the partition of a job.
func (r *taskRunner) partitionOf(jobID string) int {
	if id, ok := partition.PartitionForJobID(jobID); ok && id < r.directory.PartitionCount {
		return id
	}
	return partition.PartitionForKey(jobID, r.directory.PartitionCount)
}

// endRetryInterval is the interval at which the end of an attempt is requested again until the worker confirms the end.
const endRetryInterval = time.Second

// stopExpired stops attempts whose hold has expired, and deletes expired records of fenced attempts. The stop calls run
// concurrently, because a slow worker must not delay the renewal of other attempts.
func (r *taskRunner) stopExpired() {
	now := time.Now()
	r.mu.Lock()
	expired := []worker.Ref{}
	for ref, t := range r.attemptByRef {
		if t.status.State == worker.StateRunning && now.After(t.holdUntil) && now.Sub(t.endRequestedAt) >= endRetryInterval {
			t.endRequestedAt = now
			expired = append(expired, ref)
		}
	}
	for ref, at := range r.fencedAt {
		if now.Sub(at) > fenceRetention {
			delete(r.fencedAt, ref)
		}
	}
	r.mu.Unlock()
	for _, ref := range expired {
		events.HoldExpired.Log(&r.agent.log).Str("task", ref.Task).Int("attempt", ref.Attempt).Send()
		go r.endAttempt(ref, true, "hold expired")
	}
}

// renewalKey is the lease and the end of the hold. Attempts with the same key are renewed in one call.
type renewalKey struct {
	lease time.Duration
	until time.Duration // end of the hold on the worker's clock; 0: the worker has no clock
}

// renewLeases renews the leases of the running attempts at the worker. A lease never extends past the hold of its attempt.
func (r *taskRunner) renewLeases(ctx context.Context) {
	for key, refs := range r.dueRenewals(time.Now()) {
		callCtx, cancel := context.WithTimeout(ctx, workerCallTimeout)
		if err := r.renewAttempts(callCtx, refs, key); err != nil {
			r.agent.metrics.Counter("agent_renew_failed").Inc(1)
		}
		cancel()
	}
}

func (r *taskRunner) renewAttempts(ctx context.Context, refs []worker.Ref, key renewalKey) error {
	if clocked, ok := r.worker.(worker.ClockedWorker); ok && key.until > 0 {
		return clocked.RenewUntil(ctx, refs, key.lease, key.until)
	}
	return r.worker.Renew(ctx, refs, key.lease)
}

// holdRoundingUnit is the unit to which the ends of holds are rounded down, so that attempts share a renewal call.
const holdRoundingUnit = 250 * time.Millisecond

func (r *taskRunner) dueRenewals(now time.Time) map[renewalKey][]worker.Ref {
	due := map[renewalKey][]worker.Ref{}
	r.mu.Lock()
	defer r.mu.Unlock()
	for ref, t := range r.attemptByRef {
		left := t.holdUntil.Sub(now)
		if t.status.State != worker.StateRunning || left <= 0 {
			continue
		}
		key := renewalKey{lease: t.spec.Lease, until: onWorkerClock(t.holdUntil, r.workerBootAt)}
		if key.until > 0 {
			key.until = max(key.until.Truncate(holdRoundingUnit), 1)
		} else {
			key.lease = min(key.lease, left)
		}
		due[key] = append(due[key], ref)
	}
	return due
}
