package agent

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/partition"
	"bamboofork/internal/wire"
	"bamboofork/internal/worker"
)

// Timing of the task loop.
const (
	taskLoopInterval    = 100 * time.Millisecond
	taskReportInterval  = 250 * time.Millisecond
	taskReportTimeout   = 3 * time.Second
	workerCallTimeout   = 2 * time.Second
	adoptedHoldDuration = 10 * time.Second // time for the owner to confirm a task found on the worker
)

// attempt is one attempt of a task on this host.
type attempt struct {
	spec             worker.Spec
	partition        int
	holdUntil        time.Time // the agent stops the attempt at this time (monotonic clock)
	placedAt         time.Time
	workerBootAt     time.Time // start of the worker's clock when the attempt was placed; zero if not known
	startConfirmed   bool      // the worker's list or its response to the start has shown that the attempt started
	fenceRequested   bool      // the worker was requested to fence the attempt, because the attempt was not in its list
	endRequestedAt   time.Time // when the worker was last requested to end the attempt
	status           worker.Status
	speed            float64          // fraction of full speed that the throttle allows
	speedChangedAt   time.Time        // when speed last changed
	throttledSince   time.Time        // since when the attempt has been below full speed; zero at full speed
	peakUsage        worker.Resources // highest measured usage, with the cores scaled to full speed
	measuredMemoryMB int64            // latest measured memory usage
	workDone         time.Duration    // work done on this host, as run time at full speed
	workCountedUntil time.Time        // time up to which work has been counted
}

// taskRunner manages the batch tasks of the host. mu guards the fields below it except colocationManager. mu is never held during
// I/O.
// Lock order: the membership table, then mu, then the gate.
type taskRunner struct {
	agent     *Agent
	worker    worker.Worker
	directory *partition.Directory

	mu                sync.Mutex
	attemptByRef      map[worker.Ref]*attempt
	fencedAt          map[worker.Ref]time.Time // when each attempt that must no longer start was fenced
	recentEnds        []taskEnd                // latest task ends on this worker, oldest first
	hasReadList       bool                     // the worker's list has been read; until then no task is known or placed
	workerBootAt      time.Time                // when the worker's clock started, on this process's clock; see readWorkerBoot
	bootReadAt        time.Time                // when workerBootAt was read
	colocationManager *colocationManager
	reservationByTask map[string]reservation // resources freed by preemption, by the urgent task for which they were freed
}

func newTaskRunner(a *Agent, w worker.Worker, dir *partition.Directory) *taskRunner {
	r := &taskRunner{
		agent: a, worker: w, directory: dir,
		attemptByRef: map[worker.Ref]*attempt{}, fencedAt: map[worker.Ref]time.Time{}, reservationByTask: map[string]reservation{}}
	r.colocationManager = newColocationManager(a, r)
	return r
}

// reasonLate is the reason for which a placement is refused if its hold has already expired.
const reasonLate = "placement arrived after its hold"

// placeAttempt admits an attempt and starts it. It returns whether the attempt is accepted, and the reason if it is refused. A refusal
// proves that the attempt has not started and will not start.
func (r *taskRunner) placeAttempt(args wire.PlaceArgs) (bool, string) {
	ref := args.Spec.Ref
	if current := r.agent.table.Self().Incarnation; args.Incarnation != current {
		return false, fmt.Sprintf("placement is for incarnation %d of this agent, which is %d", args.Incarnation, current)
	}
	timeLeft := args.HoldUntil - r.agent.clock()
	if timeLeft <= 0 {
		return false, reasonLate
	}
	holdUntil := time.Now().Add(timeLeft)
	ctx, cancel := context.WithTimeout(context.Background(), workerCallTimeout)
	defer cancel()
	bootAt, err := r.readWorkerBoot(ctx)
	if err != nil {
		return false, "the worker does not answer"
	}
	if known, reason := r.admitAttempt(args, holdUntil, bootAt); known || reason != "" {
		return known, reason
	}
	spec := args.Spec
	spec.Until = onWorkerClock(holdUntil, bootAt)
	err = r.worker.Start(ctx, spec)
	if errors.Is(err, worker.ErrRefused) {
		r.dropAttempt(ref)
		return false, err.Error()
	}
	if err != nil {
		return true, "" // the attempt may have started; the worker's list will show it
	}
	r.markStartConfirmed(ref)
	events.TaskStarted.Log(&r.agent.log).Str("task", ref.Task).Int("attempt", ref.Attempt).Str("checkpoint", spec.Checkpoint).Send()
	return true, ""
}

// readWorkerBoot returns when the worker's clock started, on this process's clock, or zero if the worker has no clock. The result
// is later than the true start by at most the delay of the call. A time that is converted to the worker's clock with this result
// is therefore never later than the original time.
func (r *taskRunner) readWorkerBoot(ctx context.Context) (time.Time, error) {
	clocked, ok := r.worker.(worker.ClockedWorker)
	if !ok {
		return time.Time{}, nil
	}
	clock, err := clocked.Clock(ctx)
	if err != nil {
		return time.Time{}, err
	}
	bootAt := time.Now().Add(-clock)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workerBootAt, r.bootReadAt = bootAt, time.Now()
	return bootAt, nil
}

// onWorkerClock converts a time to the worker's clock, which started at bootAt. It returns 0 if the worker has no clock.
func onWorkerClock(t, bootAt time.Time) time.Duration {
	if bootAt.IsZero() {
		return 0
	}
	return max(t.Sub(bootAt), 1)
}

// admitAttempt reserves the resources for an attempt. known is true if an earlier call has already admitted the attempt. reason is why
// the attempt is refused, or "".
func (r *taskRunner) admitAttempt(args wire.PlaceArgs, holdUntil, bootAt time.Time) (known bool, reason string) {
	ref := args.Spec.Ref
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hasReadList {
		return false, "the worker's tasks are not known yet"
	}
	if _, isFenced := r.fencedAt[ref]; isFenced {
		return false, "attempt was fenced"
	}
	if r.attemptByRef[ref] != nil {
		return true, ""
	}
	if r.blockedByReservation(ref.Task, args.Spec.Need, time.Now()) {
		return false, reasonReserved
	}
	if err := r.agent.gate.AdmitTask(ref.Task, args.Spec.Need); err != nil {
		return false, err.Error()
	}
	delete(r.reservationByTask, ref.Task)
	r.attemptByRef[ref] = &attempt{
		spec: args.Spec, partition: args.Partition, holdUntil: holdUntil, placedAt: time.Now(), workerBootAt: bootAt, speed: 1,
		status: worker.Status{Ref: ref, Kind: args.Spec.Kind, Need: args.Spec.Need, State: worker.StateRunning},
	}
	return false, ""
}

func (r *taskRunner) markStartConfirmed(ref worker.Ref) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.attemptByRef[ref]; t != nil {
		t.startConfirmed = true
	}
}

func (r *taskRunner) dropAttempt(ref worker.Ref) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attemptByRef[ref] != nil {
		delete(r.attemptByRef, ref)
		r.fencedAt[ref] = time.Now()
		r.agent.gate.ReleaseTask(ref.Task)
	}
}

// fenceRetention is how long records of fenced attempts are kept. It is longer than the longest hold.
const fenceRetention = 30 * time.Minute

// stopAttempt fences an attempt and stops it if this host knows the attempt. It returns a report of the attempt and whether the attempt
// is known.
func (r *taskRunner) stopAttempt(args wire.StopArgs) (wire.TaskReport, bool) {
	r.mu.Lock()
	r.fencedAt[args.Ref] = time.Now()
	t := r.attemptByRef[args.Ref]
	r.mu.Unlock()
	if t == nil {
		return wire.TaskReport{Ref: args.Ref}, false
	}
	r.endAttempt(args.Ref, args.Checkpoint, "stopped by the owner")
	r.mu.Lock()
	defer r.mu.Unlock()
	return reportOf(t), true
}

// fenceUnknownAttempts returns the given attempts that this host does not know, and fences them.
func (r *taskRunner) fenceUnknownAttempts(args wire.QueryArgs) wire.QueryReply {
	incarnation := r.agent.table.Self().Incarnation // the table's lock comes before mu
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := wire.QueryReply{
		Ready: r.hasReadList, Settled: r.agent.clock() > partition.WorkerLease+workerCallTimeout, Incarnation: incarnation}
	if !r.hasReadList {
		return reply
	}
	for _, ref := range args.Refs {
		if r.attemptByRef[ref] != nil {
			continue
		}
		r.fencedAt[ref] = time.Now()
		reply.Unknown = append(reply.Unknown, ref)
	}
	return reply
}

// endAttempt requests the worker to stop an attempt, with a checkpoint if requested. The worker's list later confirms the end.
func (r *taskRunner) endAttempt(ref worker.Ref, checkpoint bool, reason string) {
	ctx, cancel := context.WithTimeout(context.Background(), workerCallTimeout)
	defer cancel()
	var err error
	if checkpoint {
		_, err = r.worker.Checkpoint(ctx, ref)
	} else {
		err = r.worker.Stop(ctx, ref)
	}
	events.TaskStopped.Log(&r.agent.log).Str("task", ref.Task).Int("attempt", ref.Attempt).
		Bool("checkpoint", checkpoint).Str("reason", reason).AnErr("error", err).Send()
}

func (r *taskRunner) runningAttempts() []worker.Ref {
	r.mu.Lock()
	defer r.mu.Unlock()
	refs := []worker.Ref{}
	for ref, t := range r.attemptByRef {
		if t.status.State == worker.StateRunning {
			refs = append(refs, ref)
		}
	}
	return refs
}
