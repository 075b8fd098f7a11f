package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"bamboofork/internal/wire"
	"bamboofork/internal/worker"
)

// reportLoop sends reports at jittered intervals until ctx is done.
func (r *taskRunner) reportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		r.report(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(taskReportInterval*3/4 + rand.N(taskReportInterval/2)):
		}
	}
}

func reportOf(t *attempt) wire.TaskReport {
	report := wire.TaskReport{
		Ref: t.spec.Ref, State: t.status.State, Checkpoint: t.status.Checkpoint, Reason: t.status.Reason,
		Progress: t.status.Progress, Used: t.peakUse}
	if t.status.State == worker.StateDone && t.spec.Checkpoint == "" {
		report.Ran = t.work
	}
	return report
}

// report reports the tasks to the owners of their partitions, whose replies extend the holds.
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
	callCtx, cancel := context.WithTimeout(ctx, taskReportTimeout)
	defer cancel()
	self := r.agent.table.Self()
	args := wire.ReportArgs{Partition: id, Agent: self.ID, Incarnation: self.Incarnation, Tasks: tasks}
	var reply wire.ReportReply
	sent := time.Now()
	err := r.directory.CallWithBackoff(callCtx, id, "Partition.Report", args, &reply, func() wire.Code { return reply.Code })
	if err != nil {
		return
	}
	r.applyReply(reply, sent)
}

func (r *taskRunner) applyReply(reply wire.ReportReply, sent time.Time) {
	r.mu.Lock()
	for _, ref := range reply.Hold {
		if t := r.attempts[ref]; t != nil {
			if until := sent.Add(reply.For); until.After(t.holdUntil) {
				t.holdUntil = until
			}
		}
	}
	r.mu.Unlock()
	for _, ref := range r.dueStops(reply.Stop) {
		go r.endAttempt(ref, false, "owner no longer needs the attempt")
	}
	for _, ref := range reply.Forget {
		r.forget(ref)
	}
}

// dueStops returns the running attempts whose end has not been requested within endRetryInterval.
func (r *taskRunner) dueStops(refs []worker.Ref) []worker.Ref {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	due := []worker.Ref{}
	for _, ref := range refs {
		t := r.attempts[ref]
		if t != nil && t.status.State == worker.StateRunning && now.Sub(t.endRequestedAt) >= endRetryInterval {
			t.endRequestedAt = now
			due = append(due, ref)
		}
	}
	return due
}

func (r *taskRunner) forget(ref worker.Ref) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := r.worker.Forget(ctx, ref); err != nil {
		r.agent.metrics.Counter("agent_forget_failed").Inc(1)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fenced[ref] = time.Now()
	delete(r.attempts, ref)
}

// handOver checkpoints all tasks and sends reports until the owners have recorded their ends or ctx is done.
func (r *taskRunner) handOver(ctx context.Context) {
	for _, ref := range r.runningAttempts() {
		r.endAttempt(ref, true, "agent is shutting down")
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
