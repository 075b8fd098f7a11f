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
	boot      time.Time // start of the worker's clock when the attempt was placed; zero if not known
	listed    bool      // the worker's list or its answer showed that the attempt started
	fencing   bool      // the worker was asked to fence the attempt, because its list did not show it
	ending    time.Time // when the end was last asked for
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
// Lock order: the membership table, then mu, then the gate.
type taskRunner struct {
	a   *Agent
	w   worker.Worker
	dir *partition.Directory

	mu       sync.Mutex
	attempts map[worker.Ref]*attempt
	fenced   map[worker.Ref]time.Time // attempts that must not start any more
	ends     []ending                 // newest ends of tasks on this worker
	adopted  bool                     // the worker's list was read since the start; before, nothing is known or placed
	boot     time.Time                // on this process's clock, the earliest start of the worker's clock
	bootRead time.Time                // when boot was read
	control  *colocator
	kept     map[string]keptRoom // room of preempted tasks, by the urgent task that it is for
}

func newTaskRunner(a *Agent, w worker.Worker, dir *partition.Directory) *taskRunner {
	r := &taskRunner{a: a, w: w, dir: dir, attempts: map[worker.Ref]*attempt{}, fenced: map[worker.Ref]time.Time{}, kept: map[string]keptRoom{}}
	r.control = newColocator(a, r)
	return r
}

// lateReason refuses a placement whose hold has passed.
const lateReason = "placement arrived after its hold"

// place admits a task and starts it. A refusal proves that it did not and will not start.
func (r *taskRunner) place(args wire.PlaceArgs) (bool, string) {
	ref := args.Spec.Ref
	if own := r.a.table.Self().Incarnation; args.Incarnation != own {
		return false, fmt.Sprintf("placement is for incarnation %d of this agent, which is %d", args.Incarnation, own)
	}
	left := args.HoldUntil - r.a.clock()
	if left <= 0 {
		return false, lateReason
	}
	hold := time.Now().Add(left)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	boot, err := r.workerBoot(ctx)
	if err != nil {
		return false, "the worker does not answer"
	}
	if known, reason := r.reserve(args, hold, boot); known || reason != "" {
		return known, reason
	}
	spec := args.Spec
	spec.Until = untilOf(hold, boot)
	err = r.w.Start(ctx, spec)
	if errors.Is(err, worker.ErrRefused) {
		r.drop(ref)
		return false, err.Error()
	}
	if err != nil {
		return true, "" // the start may have happened; the worker's list will tell
	}
	r.markListed(ref)
	events.TaskStarted.Log(&r.a.log).Str("task", ref.Task).Int("attempt", ref.Attempt).Str("checkpoint", spec.Checkpoint).Send()
	return true, ""
}

// workerBoot returns when the worker's clock started, on this process's clock and never later than in truth; zero if
// the worker has no clock. Counting from it, a time on the worker's clock is never later than the same time here.
func (r *taskRunner) workerBoot(ctx context.Context) (time.Time, error) {
	clocked, ok := r.w.(worker.Clocked)
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
	r.boot, r.bootRead = boot, time.Now()
	return boot, nil
}

// untilOf converts a time to the worker's clock; 0 means that the worker has no clock.
func untilOf(t, boot time.Time) time.Duration {
	if boot.IsZero() {
		return 0
	}
	return max(t.Sub(boot), 1)
}

// reserve takes the room for an attempt. known is true if a repeated placement found the attempt here already.
func (r *taskRunner) reserve(args wire.PlaceArgs, hold, boot time.Time) (known bool, reason string) {
	ref := args.Spec.Ref
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.adopted {
		return false, "the worker's tasks are not known yet"
	}
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
		spec: args.Spec, partition: args.Partition, hold: hold, placed: time.Now(), boot: boot, throttle: 1,
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

func (r *taskRunner) drop(ref worker.Ref) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts[ref] != nil {
		delete(r.attempts, ref)
		r.fenced[ref] = time.Now()
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

// query fences the attempts that this host does not know and returns them.
func (r *taskRunner) query(args wire.QueryArgs) wire.QueryReply {
	incarnation := r.a.table.Self().Incarnation // the table's lock comes before mu
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := wire.QueryReply{Ready: r.adopted, Settled: r.a.clock() > partition.WorkerLease+callTimeout, Incarnation: incarnation}
	if !r.adopted {
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
