package partition

import (
	"context"
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/ledger"
)

// DefaultRetention is the minimum time that finished jobs and recorded claims are kept. A request or job whose key was pruned
// counts as new.
const DefaultRetention = 24 * time.Hour

// Timing and size of pruning.
const (
	pruneInterval    = time.Minute
	maxPrunedPerCall = 500 // operations per pass
)

// prune removes finished jobs and recorded claims whose retention has expired, at most maxPrunedPerCall per call. An
// open claim stays until its outcome is recorded. After a takeover the retention of finished jobs starts again.
func (o *Owner) prune(ctx context.Context, now time.Time) {
	ops := o.prunableOps(now)
	if len(ops) == 0 {
		return
	}
	if err := o.Commit(ctx, ops...); err != nil {
		events.CommitFailed.Log(&o.zlog).Err(err).Int("ops", len(ops)).Msg("pruning failed; it is retried")
		return
	}
	events.JobsPruned.Log(&o.zlog).Int("removed", len(ops)).Send()
}

func (o *Owner) prunableOps(now time.Time) []ledger.Op {
	o.mu.Lock()
	defer o.mu.Unlock()
	ops := []ledger.Op{}
	for id, job := range o.state.Jobs {
		if len(ops) < maxPrunedPerCall && o.retentionExpired(job, now) {
			ops = append(ops, ledger.Op{Kind: ledger.OpPrune, JobID: id})
		}
	}
	for _, claim := range o.state.Claims {
		if claim.Done && len(ops) < maxPrunedPerCall && now.Sub(claim.Ended) > o.retention {
			ops = append(ops, ledger.Op{Kind: ledger.OpPrune, Claim: &ledger.Claim{Key: claim.Key, RequestID: claim.RequestID}})
		}
	}
	return ops
}

// retentionExpired reports whether a job's retention has expired. The first call for a finished job starts the retention. The
// caller holds mu.
func (o *Owner) retentionExpired(job *ledger.Job, now time.Time) bool {
	if !job.Finished() {
		return false
	}
	since, ok := o.finishedSeenAt[job.ID]
	if !ok {
		o.finishedSeenAt[job.ID] = now
		return false
	}
	return now.Sub(since) > o.retention
}
