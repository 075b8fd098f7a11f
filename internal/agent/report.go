package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"bamboofork/internal/wire"
	"bamboofork/internal/worker"
)

// reportLoop reports at intervals with jitter until ctx ends.
func (r *taskRunner) reportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		r.report(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(reportEvery*3/4 + rand.N(reportEvery/2)):
		}
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
	err := r.dir.CallPatiently(callCtx, id, "Partition.Report", args, &reply, func() wire.Code { return reply.Code })
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
	for _, ref := range r.dueStops(reply.Stop) {
		go r.end(ref, false, "owner does not want it any more")
	}
	for _, ref := range reply.Forget {
		r.forget(ref)
	}
}

// dueStops returns the running attempts whose end was not asked for lately.
func (r *taskRunner) dueStops(refs []worker.Ref) []worker.Ref {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	due := []worker.Ref{}
	for _, ref := range refs {
		t := r.attempts[ref]
		if t != nil && t.status.State == worker.StateRunning && now.Sub(t.ending) >= endRetry {
			t.ending = now
			due = append(due, ref)
		}
	}
	return due
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
