package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"sort"
	"sync"
	"time"

	"bamboofork/internal/ledger"
	"bamboofork/internal/partition"
	"bamboofork/internal/peer"
	"bamboofork/internal/scheduler"
	"bamboofork/internal/store"
	"bamboofork/internal/wire"
)

// NewID returns a random identifier.
func NewID() string { return rand.Text() }

// JobResult is the result of a job operation at a partition owner. Reason describes a failure; SubmitJob also sets it to the
// code of a reply. Job and Explain are set only by WaitJob and GetJob.
type JobResult struct {
	Code    wire.Code
	Reason  string
	JobID   string
	Job     ledger.Job
	Explain []string
}

// SubmitJob submits a job to the owner of its partition, which stores it. CodeOK means that the job is durable. CodeNoStore and
// CodeNotOwner mean that the job was not accepted. CodeUncertain means that the job may have been accepted; the caller can
// safely submit it again with the same key.
func (e *Entry) SubmitJob(ctx context.Context, job ledger.Job) JobResult {
	key := job.Key
	if key == "" {
		key = job.ID
	}
	partitionID := partition.PartitionForKey(key, e.directory.PartitionCount)
	job.ID = partition.JobID(partitionID, job.ID)
	ctx, cancel := e.untilAnswersDue(ctx)
	defer cancel()
	result := e.submitOnce(ctx, partitionID, job)
	for attempt := 1; attempt < maxSubmitAttempts && result.Code == wire.CodeUncertain && ctx.Err() == nil; attempt++ {
		if repeated := e.submitOnce(ctx, partitionID, job); isRefused(repeated.Code) {
			result.Reason = repeated.Reason // refuses the repetition only; the earlier attempt may have been accepted
		} else {
			result = repeated
		}
	}
	return result
}

// isRefused reports whether the code means that a call had no effect.
func isRefused(code wire.Code) bool { return code == wire.CodeNoStore || code == wire.CodeNotOwner }

// maxSubmitAttempts bounds the calls to the partition owner for one submission. A retry after a lost reply is safe, because
// the owner deduplicates jobs by ID and key.
const maxSubmitAttempts = 3

func (e *Entry) submitOnce(ctx context.Context, partitionID int, job ledger.Job) JobResult {
	var reply wire.SubmitReply
	err := e.callOwner(ctx, partitionID, "Partition.Submit", wire.SubmitArgs{Partition: partitionID, Job: job}, &reply,
		func() wire.Code { return reply.Code })
	if err != nil {
		return JobResult{Code: failureCode(err), Reason: err.Error()}
	}
	return JobResult{Code: reply.Code, JobID: reply.JobID, Reason: string(reply.Code)}
}

func (e *Entry) callOwner(ctx context.Context, partitionID int, method string, args, reply any, code func() wire.Code) error {
	callCtx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	return e.directory.Call(callCtx, partitionID, method, args, reply, code)
}

func failureCode(err error) wire.Code {
	if errors.Is(err, partition.ErrNotOwner) || errors.Is(err, peer.ErrNotSent) {
		return wire.CodeNotOwner
	}
	if errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrRateLimited) {
		return wire.CodeNoStore
	}
	return wire.CodeUncertain
}

// GetJob returns the current state of a job without waiting.
func (e *Entry) GetJob(ctx context.Context, jobID string) JobResult { return e.WaitJob(ctx, jobID, 0) }

// WaitJob returns a job as soon as it has finished, or its current state after wait. wait is limited to partition.MaxWait and ends
// when the answers are due in a graceful shutdown; with 0, WaitJob returns the current state at once.
func (e *Entry) WaitJob(ctx context.Context, jobID string, wait time.Duration) JobResult {
	waitCtx, cancel := e.untilAnswersDue(ctx)
	defer cancel()
	result := e.waitJob(waitCtx, jobID, wait)
	if result.Code == wire.CodeUncertain && waitCtx.Err() != nil && ctx.Err() == nil {
		return e.waitJob(ctx, jobID, 0)
	}
	return result
}

func (e *Entry) waitJob(ctx context.Context, jobID string, wait time.Duration) JobResult {
	partitionID, ok := partition.PartitionForJobID(jobID)
	if !ok || partitionID >= e.directory.PartitionCount {
		return JobResult{Code: wire.CodeUnknown, Reason: "not a job id"}
	}
	var reply wire.GetReply
	wait = min(max(wait, 0), partition.MaxWait)
	callCtx, cancel := context.WithTimeout(ctx, ownerTimeout+wait)
	defer cancel()
	args := wire.GetArgs{Partition: partitionID, JobID: jobID, Wait: wait}
	err := e.directory.Call(callCtx, partitionID, "Partition.Get", args, &reply, func() wire.Code { return reply.Code })
	if err != nil {
		return JobResult{Code: failureCode(err), Reason: err.Error()}
	}
	return JobResult{Code: reply.Code, JobID: jobID, Job: reply.Job, Explain: reply.Explain}
}

// CancelJob cancels a job.
func (e *Entry) CancelJob(ctx context.Context, jobID string) JobResult {
	partitionID, ok := partition.PartitionForJobID(jobID)
	if !ok || partitionID >= e.directory.PartitionCount {
		return JobResult{Code: wire.CodeUnknown, Reason: "not a job id"}
	}
	ctx, cancel := e.untilAnswersDue(ctx)
	defer cancel()
	var reply wire.CancelReply
	err := e.callOwner(ctx, partitionID, "Partition.Cancel", wire.CancelArgs{Partition: partitionID, JobID: jobID}, &reply,
		func() wire.Code { return reply.Code })
	if err != nil {
		return JobResult{Code: failureCode(err), Reason: err.Error()}
	}
	return JobResult{Code: reply.Code, JobID: jobID}
}

// ListJobs returns up to limit jobs of the partitions that responded, newest first, and the number of partitions that did not
// respond.
func (e *Entry) ListJobs(ctx context.Context, limit int) (jobs []ledger.Job, missingPartitions int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for partitionID := range e.directory.PartitionCount {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var reply wire.ListReply
			err := e.callOwner(ctx, partitionID, "Partition.List", wire.ListArgs{Partition: partitionID, Limit: limit}, &reply,
				func() wire.Code { return reply.Code })
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missingPartitions++
				return
			}
			jobs = append(jobs, reply.Jobs...)
		}()
	}
	wg.Wait()
	sort.Slice(jobs, func(i, j int) bool { return jobs[i].Submitted.After(jobs[j].Submitted) })
	return jobs[:min(limit, len(jobs))], missingPartitions
}

// deadlineFromNow returns the time at which the duration within has passed. It returns the zero time, which means no
// deadline, if within is not positive.
func deadlineFromNow(within time.Duration) time.Time {
	if within <= 0 {
		return time.Time{}
	}
	return time.Now().Add(within)
}

// TaskDecisions returns the recent decisions about a task, oldest first, and the result of looking up the job. The decisions
// come from the partition's owner and from the agent on which the task is placed. If the agent does not respond, only the
// decisions of the owner are returned.
func (e *Entry) TaskDecisions(ctx context.Context, jobID string, taskIndex int) ([]scheduler.Record, JobResult) {
	jobResult := e.GetJob(ctx, jobID)
	if jobResult.Code != wire.CodeOK {
		return nil, jobResult
	}
	if taskIndex < 0 || taskIndex >= len(jobResult.Job.Tasks) {
		return nil, JobResult{Code: wire.CodeUnknown, Reason: "no such task"}
	}
	partitionID, _ := partition.PartitionForJobID(jobID)
	args := wire.ExplainArgs{Partition: partitionID, Task: ledger.TaskRef(jobID, taskIndex, 0).Task}
	var ownerReply, agentReply wire.ExplainReply
	if err := e.callOwner(ctx, partitionID, "Partition.Explain", args, &ownerReply, func() wire.Code { return ownerReply.Code }); err != nil {
		return nil, JobResult{Code: failureCode(err), Reason: err.Error()}
	}
	records := ownerReply.Records
	if m, ok := e.table.Lookup(jobResult.Job.Tasks[taskIndex].Agent); ok {
		callCtx, cancel := context.WithTimeout(ctx, ownerTimeout)
		defer cancel()
		if e.peerPool.Call(callCtx, m.Addr, "Agent.Explain", args, &agentReply) == nil {
			records = append(records, agentReply.Records...)
		}
	}
	sort.SliceStable(records, func(i, j int) bool { return records[i].At.Before(records[j].At) })
	return records, jobResult
}
