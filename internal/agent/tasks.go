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
	taskInterval       = 100 * time.Millisecond
	taskReportInterval = 250 * time.Millisecond
	taskReportTimeout  = 3 * time.Second
	callTimeout        = 2 * time.Second
	adoptHold          = 10 * time.Second // time for the owner to confirm a task found on the worker
)

// attempt is one attempt of a task on this host.
type attempt struct {
	spec              worker.Spec
	partition         int
	holdUntil         time.Time // the agent stops the attempt at this time (monotonic clock)
	placedAt          time.Time
	workerBoot        time.Time // start of the worker's clock when the attempt was placed; zero if not known
	listed            bool      // the worker's list or response has shown that the attempt started
	fencing           bool      // the worker was requested to fence the attempt, because it was not in the list
	endRequestedAt    time.Time // when the end was last requested
	status            worker.Status
	throttle          float64
	throttleChangedAt time.Time        // when throttle last changed
	throttledSince    time.Time        // when the attempt was first throttled; zero at full speed
	peakUse           worker.Resources // largest measured use, with the cores scaled to full speed
	memoryMB          int64            // most recently measured memory
	work              time.Duration    // work done on this host, as run time at full speed
	workCountedUntil  time.Time        // time up to which work has been counted
}

// taskRunner manages the batch tasks of the host. mu guards the fields below it except colocator, and is never held
// during I/O.
// Lock order: the membership table, then mu, then the gate.
type taskRunner struct {
	agent     *Agent
	worker    worker.Worker
	directory *partition.Directory

	mu           sync.Mutex
	attempts     map[worker.Ref]*attempt
	fenced       map[worker.Ref]time.Time // attempts that must not start any more, with the time of fencing
	recentEnds   []taskEnd                // most recent task ends on this worker, oldest first
	listRead     bool                     // the worker's list has been read since the start; until then nothing is known or placed
	workerBoot   time.Time                // start of the worker's clock on this process's clock, see readWorkerBoot
	bootReadAt   time.Time                // when workerBoot was read
	colocator    *colocator
	reservations map[string]reservation // resources freed by preemption, by urgent task
}

func newTaskRunner(a *Agent, w worker.Worker, dir *partition.Directory) *taskRunner {
	r := &taskRunner{
		agent: a, worker: w, directory: dir,
		attempts: map[worker.Ref]*attempt{}, fenced: map[worker.Ref]time.Time{}, reservations: map[string]reservation{}}
	r.colocator = newColocator(a, r)
	return r
}

// reasonLate is the reason for refusing a placement whose hold has expired.
const reasonLate = "placement arrived after its hold"

// place admits a task and starts it. A refusal proves that the task has not started and will not start.
func (r *taskRunner) place(args wire.PlaceArgs) (bool, string) {
	ref := args.Spec.Ref
	if own := r.agent.table.Self().Incarnation; args.Incarnation != own {
		return false, fmt.Sprintf("placement is for incarnation %d of this agent, which is %d", args.Incarnation, own)
	}
	left := args.HoldUntil - r.agent.clock()
	if left <= 0 {
		return false, reasonLate
	}
	hold := time.Now().Add(left)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	boot, err := r.readWorkerBoot(ctx)
	if err != nil {
		return false, "the worker does not answer"
	}
	if known, reason := r.admit(args, hold, boot); known || reason != "" {
		return known, reason
	}
	spec := args.Spec
	spec.Until = onWorkerClock(hold, boot)
	err = r.worker.Start(ctx, spec)
	if errors.Is(err, worker.ErrRefused) {
		r.dropAttempt(ref)
		return false, err.Error()
	}
	if err != nil {
		return true, "" // the task may have started; the worker's list shows whether it has
	}
	r.markListed(ref)
	events.TaskStarted.Log(&r.agent.log).Str("task", ref.Task).Int("attempt", ref.Attempt).Str("checkpoint", spec.Checkpoint).Send()
	return true, ""
}

// readWorkerBoot returns when the worker's clock started, on this process's clock, or zero if the worker has no clock. The
// result is later than the true start by at most the delay of the call, so that a time converted with it to the worker's
// clock is never later than the same time on this process's clock.
func (r *taskRunner) readWorkerBoot(ctx context.Context) (time.Time, error) {
	clocked, ok := r.worker.(worker.Clocked)
	if !ok {
		return time.Time{}, nil
	}
	clock, err := clocked.Clock(ctx)
	if err != nil {
		return time.Time{}, err
	}
	boot := time.Now().Add(-clock)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workerBoot, r.bootReadAt = boot, time.Now()
	return boot, nil
}

// onWorkerClock converts a time to the worker's clock; 0 means that the worker has no clock.
func onWorkerClock(t, boot time.Time) time.Duration {
	if boot.IsZero() {
		return 0
	}
	return max(t.Sub(boot), 1)
}

// admit reserves the resources for an attempt. known is true if the attempt was already admitted by an earlier call.
func (r *taskRunner) admit(args wire.PlaceArgs, hold, boot time.Time) (known bool, reason string) {
	ref := args.Spec.Ref
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.listRead {
		return false, "the worker's tasks are not known yet"
	}
	if _, fenced := r.fenced[ref]; fenced {
		return false, "attempt was fenced"
	}
	if r.attempts[ref] != nil {
		return true, ""
	}
	if r.blockedByReservation(ref.Task, args.Spec.Need, time.Now()) {
		return false, reasonReserved
	}
	if err := r.agent.gate.AdmitTask(ref.Task, args.Spec.Need); err != nil {
		return false, err.Error()
	}
	delete(r.reservations, ref.Task)
	r.attempts[ref] = &attempt{
		spec: args.Spec, partition: args.Partition, holdUntil: hold, placedAt: time.Now(), workerBoot: boot, throttle: 1,
		status: worker.Status{Ref: ref, Kind: args.Spec.Kind, Need: args.Spec.Need, State: worker.StateRunning},
	}
	return false, ""
}

func (r *taskRunner) markListed(ref worker.Ref) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.attempts[ref]; t != nil {
		t.listed = true
	}
}

func (r *taskRunner) dropAttempt(ref worker.Ref) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts[ref] != nil {
		delete(r.attempts, ref)
		r.fenced[ref] = time.Now()
		r.agent.gate.ReleaseTask(ref.Task)
	}
}

// fenceRetention is how long records of fenced attempts are kept; it is longer than the longest hold.
const fenceRetention = 30 * time.Minute

// stop fences an attempt and stops it if it is known.
func (r *taskRunner) stop(args wire.StopArgs) (wire.TaskReport, bool) {
	r.mu.Lock()
	r.fenced[args.Ref] = time.Now()
	t := r.attempts[args.Ref]
	r.mu.Unlock()
	if t == nil {
		return wire.TaskReport{Ref: args.Ref}, false
	}
	r.endAttempt(args.Ref, args.Checkpoint, "stopped by the owner")
	r.mu.Lock()
	defer r.mu.Unlock()
	return reportOf(t), true
}

// query fences the attempts that this host does not know and returns them.
func (r *taskRunner) query(args wire.QueryArgs) wire.QueryReply {
	incarnation := r.agent.table.Self().Incarnation // the table's lock comes before mu
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := wire.QueryReply{Ready: r.listRead, Settled: r.agent.clock() > partition.WorkerLease+callTimeout, Incarnation: incarnation}
	if !r.listRead {
		return reply
	}
	for _, ref := range args.Refs {
		if r.attempts[ref] != nil {
			continue
		}
		r.fenced[ref] = time.Now()
		reply.Unknown = append(reply.Unknown, ref)
	}
	return reply
}

// endAttempt stops an attempt at the worker, with a checkpoint if requested. The worker's list confirms the end.
func (r *taskRunner) endAttempt(ref worker.Ref, checkpoint bool, reason string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
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
	for ref, t := range r.attempts {
		if t.status.State == worker.StateRunning {
			refs = append(refs, ref)
		}
	}
	return refs
}
