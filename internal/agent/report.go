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
		r.sendReports(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(taskReportInterval*3/4 + rand.N(taskReportInterval/2)):
		}
	}
}

func reportOf(t *attempt) wire.TaskReport {
	report := wire.TaskReport{
		Ref: t.spec.Ref, State: t.status.State, Checkpoint: t.status.Checkpoint, Reason: t.status.Reason,
		Progress: t.status.Progress, Used: t.peakUsage}
	if t.status.State == worker.StateDone && t.spec.Checkpoint == "" {
		report.Ran = t.workDone
	}
	return report
}

// sendReports reports the attempts to the owners of their partitions and applies the replies, which extend the holds of the
// attempts.
func (r *taskRunner) sendReports(ctx context.Context) {
	r.mu.Lock()
	reportsByPartition := map[int][]wire.TaskReport{}
	for _, t := range r.attemptByRef {
		reportsByPartition[t.partition] = append(reportsByPartition[t.partition], reportOf(t))
	}
	r.mu.Unlock()
	var wg sync.WaitGroup
	for partitionID, reports := range reportsByPartition {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.sendReportToOwner(ctx, partitionID, reports)
		}()
	}
	wg.Wait()
}

func (r *taskRunner) sendReportToOwner(ctx context.Context, partitionID int, reports []wire.TaskReport) {
	callCtx, cancel := context.WithTimeout(ctx, taskReportTimeout)
	defer cancel()
	self := r.agent.table.Self()
	args := wire.ReportArgs{Partition: partitionID, Agent: self.ID, Incarnation: self.Incarnation, Tasks: reports}
	var reply wire.ReportReply
	sentAt := time.Now()
	err := r.directory.CallWithBackoff(callCtx, partitionID, "Partition.Report", args, &reply, func() wire.Code { return reply.Code })
	if err != nil {
		return
	}
	r.applyReportReply(reply, sentAt)
}

func (r *taskRunner) applyReportReply(reply wire.ReportReply, sentAt time.Time) {
	r.mu.Lock()
	for _, ref := range reply.Hold {
		if t := r.attemptByRef[ref]; t != nil {
			if until := sentAt.Add(reply.For); until.After(t.holdUntil) {
				t.holdUntil = until
			}
		}
	}
	r.mu.Unlock()
	for _, ref := range r.selectDueStops(reply.Stop) {
		go r.endAttempt(ref, false, "owner no longer needs the attempt")
	}
	for _, ref := range reply.Forget {
		r.forgetAttempt(ref)
	}
}

// selectDueStops returns the given attempts that are running and whose end was not requested within the last endRetryInterval.
// It records that their end is requested now.
func (r *taskRunner) selectDueStops(refs []worker.Ref) []worker.Ref {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	due := []worker.Ref{}
	for _, ref := range refs {
		t := r.attemptByRef[ref]
		if t != nil && t.status.State == worker.StateRunning && now.Sub(t.endRequestedAt) >= endRetryInterval {
			t.endRequestedAt = now
			due = append(due, ref)
		}
	}
	return due
}

func (r *taskRunner) forgetAttempt(ref worker.Ref) {
	ctx, cancel := context.WithTimeout(context.Background(), workerCallTimeout)
	defer cancel()
	if err := r.worker.Forget(ctx, ref); err != nil {
		r.agent.metrics.Counter("agent_forget_failed").Inc(1)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fencedAt[ref] = time.Now()
	delete(r.attemptByRef, ref)
}

// handOverTasks checkpoints all tasks and sends reports until the owners have recorded the ends of the tasks or ctx is done. The
// checkpoint calls run concurrently and are repeated, because a slow worker must not use up the time of the hand-over.
func (r *taskRunner) handOverTasks(ctx context.Context) {
	for ctx.Err() == nil {
		for _, ref := range r.selectDueStops(r.runningAttempts()) {
			go r.endAttempt(ref, true, "agent is shutting down")
		}
		r.refreshAttempts(ctx)
		r.sendReports(ctx)
		r.mu.Lock()
		remaining := len(r.attemptByRef)
		r.mu.Unlock()
		if remaining == 0 {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(taskLoopInterval):
		}
	}
}
