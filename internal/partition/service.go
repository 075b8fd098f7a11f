package partition

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sort"
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/ledger"
	"bamboofork/internal/wire"
	"bamboofork/internal/worker"
)

// callTimeout bounds one call to the service.
const callTimeout = 3 * time.Second

// Service is the RPC service for the partitions of a Manager.
type Service struct{ m *Manager }

// Service returns the RPC receiver to register as "Partition".
func (m *Manager) Service() *Service { return &Service{m} }

func codeOf(err error) wire.Code {
	switch {
	case err == nil:
		return wire.CodeOK
	case errors.Is(err, ErrNotOwner):
		return wire.CodeNotOwner
	case errors.Is(err, ErrStoreUnavailable):
		return wire.CodeNoStore
	case errors.Is(err, ledger.ErrNotFound):
		return wire.CodeUnknown
	case errors.Is(err, ledger.ErrStale), errors.Is(err, ledger.ErrDuplicate):
		return wire.CodeStale
	}
	return wire.CodeUncertain
}

func (s *Service) commit(partition int, op ledger.Op) (wire.Code, error) {
	o := s.m.owner(partition)
	if o == nil {
		return wire.CodeNotOwner, ErrNotOwner
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	err := o.Commit(ctx, op)
	if isStateError(err) && !o.mayDecide() {
		return wire.CodeNotOwner, ErrNotOwner // a successor may have a newer state
	}
	return codeOf(err), err
}

// isStateError reports whether an error follows from the state in memory alone. Such an error involves no write to the store,
// so it does not prove that this process is still the owner.
func isStateError(err error) bool {
	return errors.Is(err, ledger.ErrNotFound) || errors.Is(err, ledger.ErrStale) || errors.Is(err, ledger.ErrDuplicate)
}

// Submit makes a job durable. For a repeated idempotency key it returns the ID of the earlier job.
func (s *Service) Submit(args wire.SubmitArgs, reply *wire.SubmitReply) error {
	job := args.Job
	code, err := s.commit(args.Partition, ledger.Op{Kind: ledger.OpSubmit, Job: &job})
	reply.Code, reply.JobID = code, job.ID
	if errors.Is(err, ledger.ErrDuplicate) {
		reply.Code, reply.JobID = s.earlierJob(args.Partition, job)
	}
	if err == nil {
		events.JobAccepted.Log(&s.m.log).Str("job", job.ID).Str("branch", job.Branch).Int("tasks", len(job.Tasks)).Send()
	}
	return nil
}

// earlierJob returns CodeOK and the ID of the job that a repeated submission refers to. It returns CodeNotOwner and an empty
// ID if the owner has stopped in the meantime.
func (s *Service) earlierJob(partition int, job ledger.Job) (wire.Code, string) {
	o := s.m.owner(partition)
	if o == nil {
		return wire.CodeNotOwner, ""
	}
	return wire.CodeOK, o.jobIDForKey(job)
}

func (o *Owner) jobIDForKey(job ledger.Job) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if id := o.state.Keys[job.Key]; id != "" {
		return id
	}
	return job.ID
}

// Cancel cancels a job. The replies to the agents' next reports stop the running tasks of the job.
func (s *Service) Cancel(args wire.CancelArgs, reply *wire.CancelReply) error {
	var err error
	reply.Code, err = s.commit(args.Partition, ledger.Op{Kind: ledger.OpCancel, JobID: args.JobID})
	if errors.Is(err, ledger.ErrStale) && s.cancelled(args.Partition, args.JobID) {
		reply.Code = wire.CodeOK // repeated call after a lost response
	}
	if err == nil {
		events.JobCancelled.Log(&s.m.log).Str("job", args.JobID).Send()
	}
	return nil
}

// cancelled reports whether a job was cancelled by an earlier call.
func (s *Service) cancelled(partition int, id string) bool {
	o := s.m.owner(partition)
	if o == nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	job := o.state.Jobs[id]
	return job != nil && job.Cancelled
}

// Get returns one job with the newest placement decision about each of its tasks.
func (s *Service) Get(args wire.GetArgs, reply *wire.GetReply) error {
	o := s.m.owner(args.Partition)
	if o == nil {
		reply.Code = wire.CodeNotOwner
		return nil
	}
	if args.Wait > 0 {
		o.awaitJob(args.JobID, args.Wait)
	}
	mayDecide := o.mayDecide()
	o.mu.Lock()
	defer o.mu.Unlock()
	job := o.state.Jobs[args.JobID]
	if job == nil {
		reply.Code = ternary(mayDecide, wire.CodeUnknown, wire.CodeNotOwner)
		return nil
	}
	reply.Code, reply.Job = wire.CodeOK, copyJob(job)
	for i := range job.Tasks {
		reply.Explain = append(reply.Explain, o.planner.latestDecision(ledger.TaskRef(job.ID, i, 0).Task))
	}
	return nil
}

func copyJob(job *ledger.Job) ledger.Job {
	out := *job
	out.Tasks = append([]ledger.Task(nil), job.Tasks...)
	return out
}

// List returns the newest jobs of a partition.
func (s *Service) List(args wire.ListArgs, reply *wire.ListReply) error {
	o := s.m.owner(args.Partition)
	if o == nil {
		reply.Code = wire.CodeNotOwner
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, job := range o.state.Jobs {
		listed := copyJob(job)
		listed.Payload = nil // keeps lists small; Get returns the payload
		reply.Jobs = append(reply.Jobs, listed)
	}
	sort.Slice(reply.Jobs, func(i, j int) bool { return reply.Jobs[i].Submitted.After(reply.Jobs[j].Submitted) })
	if args.Limit > 0 && len(reply.Jobs) > args.Limit {
		reply.Jobs = reply.Jobs[:args.Limit]
	}
	reply.Code = wire.CodeOK
	return nil
}

// Report renews the holds of an agent's running tasks and records the ends of the others.
func (s *Service) Report(args wire.ReportArgs, reply *wire.ReportReply) error {
	o := s.m.owner(args.Partition)
	if o == nil {
		reply.Code = wire.CodeNotOwner
		return nil
	}
	reply.Code = wire.CodeOK
	o.processReport(args, reply)
	return nil
}

// processReport decides for each running attempt whether it may continue, and commits the ends of attempts. The agent
// keeps an ended attempt until it is listed in reply.Forget.
func (o *Owner) processReport(args wire.ReportArgs, reply *wire.ReportReply) {
	ended := []wire.TaskReport{}
	for _, t := range args.Tasks {
		if t.State == worker.StateRunning {
			o.renewHold(args, t, reply)
			continue
		}
		ended = append(ended, t)
	}
	if len(ended) > 0 {
		o.recordEnds(args.Agent, ended, reply)
	}
	// An owner that was replaced may know only earlier attempts or jobs. The decisions above are valid only if no successor can
	// have existed when they were made.
	if !o.mayDecide() {
		reply.Stop, reply.Forget = nil, nil
	}
}

func (o *Owner) renewHold(args wire.ReportArgs, t wire.TaskReport, reply *wire.ReportReply) {
	if !o.mayRenewHolds() {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	job, task := o.state.Task(t.Ref.Task)
	isCurrent := task != nil && task.State == ledger.TaskPlaced && task.Attempt == t.Ref.Attempt && task.Agent == args.Agent
	if !isCurrent || job.Cancelled {
		reply.Stop = append(reply.Stop, t.Ref)
		return
	}
	if o.lost {
		return
	}
	if reply.For == 0 || job.Hold < reply.For {
		reply.For = job.Hold // the reply has one duration for all attempts, so the shortest applies
	}
	reply.Hold = append(reply.Hold, t.Ref)
	delete(o.consecutiveRefusals, t.Ref.Task)
	o.lastReports[t.Ref] = attemptReport{at: time.Now(), incarnation: args.Incarnation}
	if until := time.Now().Add(job.Hold); until.After(o.holdExpiry[t.Ref]) {
		o.holdExpiry[t.Ref] = until
	}
}

// recordEnds commits the ends of attempts and lists those that the agent may forget in reply.Forget. Only the commit decides
// whether an end is stale: the state may contain an end that is not durable yet, and the agent must not forget that attempt.
func (o *Owner) recordEnds(agent string, ended []wire.TaskReport, reply *wire.ReportReply) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	ops := make([]ledger.Op, len(ended))
	results := make([]<-chan error, len(ended))
	tasks := make([]endedTask, len(ended))
	for i, t := range ended {
		ops[i], tasks[i] = o.endOperation(agent, t)
		results[i] = o.enqueue(ctx, nil, ops[i])
	}
	for i, t := range ended {
		err := o.awaitResult(ctx, results[i])
		if err == nil {
			o.logEnd(ops[i], t)
			o.planner.taskEnded(tasks[i], t)
		}
		if err == nil || errors.Is(err, ledger.ErrStale) || errors.Is(err, ledger.ErrNotFound) {
			reply.Forget = append(reply.Forget, t.Ref)
		}
	}
}

// Retries of failed tasks.
const (
	maxTaskFailures  = 5 // a task that failed this many times is not retried
	maxFailedWorkers = 3 // a task that failed on this many different workers is not retried; the job is at fault
	retryDelayMin    = 500 * time.Millisecond
	retryDelayMax    = 5 * time.Minute
)

func (o *Owner) endOperation(agent string, t wire.TaskReport) (ledger.Op, endedTask) {
	ref := t.Ref
	op := ledger.Op{Kind: ledger.OpEnd, Ref: &ref, Agent: agent, Reason: t.Reason}
	o.mu.Lock()
	defer o.mu.Unlock()
	job, task := o.state.Task(ref.Task)
	ended := endedTask{}
	if job != nil {
		ended = endedTask{job: job.ID, kind: job.Kind, team: job.Team, declared: job.Need, declaredRun: job.Run}
	}
	switch t.State {
	case worker.StateDone:
		op.State = ledger.TaskDone
	case worker.StateCheckpointed:
		op.Kind, op.Checkpoint = ledger.OpEvict, t.Checkpoint
	case worker.StateNotStarted:
		op.Kind, op.NotBefore = ledger.OpRefuse, time.Now().Add(refusalBackoffMin)
	case worker.StateStopped:
		op.Kind = ledger.OpLost
		if job != nil && job.Cancelled {
			op.Kind, op.State = ledger.OpEnd, ledger.TaskCancelled
		}
	default:
		op.State = ledger.TaskFailed
		if task != nil {
			decideRetry(&op, job, task, agent, t.Reason)
		}
	}
	return op, ended
}

// decideRetry decides whether a failed task is retried. For a retry it sets op.State and op.NotBefore, otherwise op.Reason.
func decideRetry(op *ledger.Op, job *ledger.Job, task *ledger.Task, agent, reason string) {
	workers := len(task.FailedOn)
	if !slices.Contains(task.FailedOn, agent) {
		workers++
	}
	switch {
	case !job.Idempotent:
		op.Reason = "not idempotent, failed: " + reason
	case workers >= maxFailedWorkers:
		op.Reason = fmt.Sprintf("failed on %d workers, so the job is at fault: %s", workers, reason)
	case task.Failures+1 >= maxTaskFailures:
		op.Reason = fmt.Sprintf("failed %d times: %s", task.Failures+1, reason)
	default:
		op.State = ledger.TaskPending
		op.NotBefore = time.Now().Add(min(retryDelayMin<<task.Failures, retryDelayMax))
	}
}

func (o *Owner) logEnd(op ledger.Op, t wire.TaskReport) {
	ev := events.TaskEnded
	switch {
	case op.Kind == ledger.OpEvict:
		ev = events.TaskEvicted
	case op.Kind == ledger.OpLost:
		ev = events.TaskLost
	case op.Kind == ledger.OpRefuse:
		ev = events.TaskRefused
	case op.State == ledger.TaskPending:
		ev = events.TaskRetry
	}
	ev.Log(&o.zlog).Str("task", t.Ref.Task).Int("attempt", t.Ref.Attempt).Str("state", string(op.State)).Str("reason", op.Reason).Str("checkpoint", op.Checkpoint).Send()
}
