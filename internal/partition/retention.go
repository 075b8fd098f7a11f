package partition

import (
	"context"
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/ledger"
)

// DefaultRetention is how long finished jobs and recorded claims are kept at least. A key that is used again later
// starts new work.
const DefaultRetention = 24 * time.Hour

// Removal of what has ended.
const (
	pruneEvery = time.Minute
	pruneBatch = 500 // operations per pass
)

// prune removes finished jobs and recorded claims whose retention is over; an open claim stays until the settler has
// recorded its end. A successor counts a job's retention anew.
func (o *Owner) prune(ctx context.Context, now time.Time) {
	ops := o.prunable(now)
	if len(ops) == 0 {
		return
	}
	if err := o.Commit(ctx, ops...); err != nil {
		events.CommitFailed.Log(&o.zlog).Err(err).Int("ops", len(ops)).Msg("pruning is tried again")
		return
	}
	events.JobsPruned.Log(&o.zlog).Int("removed", len(ops)).Send()
}

func (o *Owner) prunable(now time.Time) []ledger.Op {
	o.mu.Lock()
	defer o.mu.Unlock()
	ops := []ledger.Op{}
	for id, job := range o.state.Jobs {
		if len(ops) < pruneBatch && o.jobOver(job, now) {
			ops = append(ops, ledger.Op{Kind: ledger.OpPrune, JobID: id})
		}
	}
	for _, claim := range o.state.Claims {
		if claim.Done && len(ops) < pruneBatch && now.Sub(claim.Ended) > o.retention {
			ops = append(ops, ledger.Op{Kind: ledger.OpPrune, Claim: &ledger.Claim{Key: claim.Key, RequestID: claim.RequestID}})
		}
	}
	return ops
}

// jobOver reports whether a job's retention is over; mu is held.
func (o *Owner) jobOver(job *ledger.Job, now time.Time) bool {
	if !job.Finished() {
		return false
	}
	since, ok := o.finished[job.ID]
	if !ok {
		o.finished[job.ID] = now
		return false
	}
	return now.Sub(since) > o.retention
}
