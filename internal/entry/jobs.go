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

// JobResult is the result of a job operation at a partition owner.
type JobResult struct {
	Code    wire.Code
	Reason  string
	JobID   string
	Job     ledger.Job
	Explain []string
}

// Submit stores a job with its partition owner. CodeOK means that the job is durable; CodeNoStore and CodeNotOwner mean
// that it was not accepted; CodeUncertain means that it may have been accepted and can be retried safely with the same key.
func (e *Entry) Submit(ctx context.Context, job ledger.Job) JobResult {
	key := job.Key
	if key == "" {
		key = job.ID
	}
	partitionID := partition.ForKey(key, e.directory.Partitions)
	job.ID = partition.JobID(partitionID, job.ID)
	var res JobResult
	for range maxSubmitAttempts {
		if res = e.submitOnce(ctx, partitionID, job); res.Code != wire.CodeUncertain || ctx.Err() != nil {
			break
		}
	}
	return res
}

// maxSubmitAttempts bounds the calls of one submission. A retry after a lost response is safe: the owner deduplicates
// jobs by ID and key.
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

// Job returns one job.
func (e *Entry) Job(ctx context.Context, id string) JobResult { return e.WaitJob(ctx, id, 0) }

// WaitJob returns one job as soon as it has finished, or after wait at the latest. wait is limited to partition.MaxWait;
// 0 returns the current state at once.
func (e *Entry) WaitJob(ctx context.Context, id string, wait time.Duration) JobResult {
	partitionID, ok := partition.ForJobID(id)
	if !ok || partitionID >= e.directory.Partitions {
		return JobResult{Code: wire.CodeUnknown, Reason: "not a job id"}
	}
	var reply wire.GetReply
	wait = min(max(wait, 0), partition.MaxWait)
	callCtx, cancel := context.WithTimeout(ctx, ownerTimeout+wait)
	defer cancel()
	args := wire.GetArgs{Partition: partitionID, JobID: id, Wait: wait}
	err := e.directory.Call(callCtx, partitionID, "Partition.Get", args, &reply, func() wire.Code { return reply.Code })
	if err != nil {
		return JobResult{Code: failureCode(err), Reason: err.Error()}
	}
	return JobResult{Code: reply.Code, JobID: id, Job: reply.Job, Explain: reply.Explain}
}

// Cancel cancels a job.
func (e *Entry) Cancel(ctx context.Context, id string) JobResult {
	partitionID, ok := partition.ForJobID(id)
	if !ok || partitionID >= e.directory.Partitions {
		return JobResult{Code: wire.CodeUnknown, Reason: "not a job id"}
	}
	var reply wire.CancelReply
	err := e.callOwner(ctx, partitionID, "Partition.Cancel", wire.CancelArgs{Partition: partitionID, JobID: id}, &reply,
		func() wire.Code { return reply.Code })
	if err != nil {
		return JobResult{Code: failureCode(err), Reason: err.Error()}
	}
	return JobResult{Code: reply.Code, JobID: id}
}

// Jobs returns the newest jobs of all partitions that responded and the number of partitions that did not.
func (e *Entry) Jobs(ctx context.Context, limit int) (jobs []ledger.Job, missing int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for partitionID := range e.directory.Partitions {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var reply wire.ListReply
			err := e.callOwner(ctx, partitionID, "Partition.List", wire.ListArgs{Partition: partitionID, Limit: limit}, &reply,
				func() wire.Code { return reply.Code })
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing++
				return
			}
			jobs = append(jobs, reply.Jobs...)
		}()
	}
	wg.Wait()
	sort.Slice(jobs, func(i, j int) bool { return jobs[i].Submitted.After(jobs[j].Submitted) })
	return jobs[:min(limit, len(jobs))], missing
}

// jobDeadline converts a relative deadline to a point in time; 0 or less means no deadline.
func jobDeadline(within time.Duration) time.Time {
	if within <= 0 {
		return time.Time{}
	}
	return time.Now().Add(within)
}

// TaskDecisions returns the recent decisions about a task, oldest first. They come from the partition's owner and from the
// agent that the task is currently placed on; the agent's are omitted if it does not respond.
func (e *Entry) TaskDecisions(ctx context.Context, jobID string, index int) ([]scheduler.Record, JobResult) {
	res := e.Job(ctx, jobID)
	if res.Code != wire.CodeOK {
		return nil, res
	}
	if index < 0 || index >= len(res.Job.Tasks) {
		return nil, JobResult{Code: wire.CodeUnknown, Reason: "no such task"}
	}
	partitionID, _ := partition.ForJobID(jobID)
	args := wire.ExplainArgs{Partition: partitionID, Task: ledger.TaskRef(jobID, index, 0).Task}
	var owner, agent wire.ExplainReply
	if err := e.callOwner(ctx, partitionID, "Partition.Explain", args, &owner, func() wire.Code { return owner.Code }); err != nil {
		return nil, JobResult{Code: failureCode(err), Reason: err.Error()}
	}
	records := owner.Records
	if m, ok := e.table.Lookup(res.Job.Tasks[index].Agent); ok {
		callCtx, cancel := context.WithTimeout(ctx, ownerTimeout)
		defer cancel()
		if e.pool.Call(callCtx, m.Addr, "Agent.Explain", args, &agent) == nil {
			records = append(records, agent.Records...)
		}
	}
	sort.SliceStable(records, func(i, j int) bool { return records[i].At.Before(records[j].At) })
	return records, res
}
