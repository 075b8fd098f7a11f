package partition

import (
	"context"
	"errors"
	"sort"
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/ledger"
	"bamboofork/internal/wire"
	"bamboofork/internal/worker"
)

// callTimeout bounds one call to the service.
const callTimeout = 3 * time.Second

// Service answers calls about the partitions of a Manager.
type Service struct{ m *Manager }

// Service returns the receiver to register as "Partition".
func (m *Manager) Service() *Service { return &Service{m} }

func codeOf(err error) wire.Code {
	switch {
	case err == nil:
		return wire.CodeOK
	case errors.Is(err, ErrNotOwner):
		return wire.CodeNotOwner
	case errors.Is(err, ErrNoStore):
		return wire.CodeNoStore
	case errors.Is(err, ledger.ErrUnknown):
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
	return codeOf(err), err
}

// Submit makes a job durable. A repeated key returns the earlier job.
func (s *Service) Submit(args wire.SubmitArgs, reply *wire.SubmitReply) error {
	job := args.Job
	code, err := s.commit(args.Partition, ledger.Op{Kind: ledger.OpSubmit, Job: &job})
	reply.Code, reply.JobID = code, job.ID
	if errors.Is(err, ledger.ErrDuplicate) {
		reply.Code, reply.JobID = wire.CodeOK, s.m.owner(args.Partition).jobOfKey(job)
	}
	if err == nil {
		events.JobAccepted.Log(&s.m.log).Str("job", job.ID).Str("branch", job.Branch).Int("tasks", len(job.Tasks)).Send()
	}
	return nil
}

func (o *Owner) jobOfKey(job ledger.Job) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if id := o.state.Keys[job.Key]; id != "" {
		return id
	}
	return job.ID
}

// Cancel cancels a job. Its running tasks are stopped at the agents' next reports.
func (s *Service) Cancel(args wire.CancelArgs, reply *wire.CancelReply) error {
	var err error
	reply.Code, err = s.commit(args.Partition, ledger.Op{Kind: ledger.OpCancel, JobID: args.JobID})
	if err == nil {
		events.JobCancelled.Log(&s.m.log).Str("job", args.JobID).Send()
	}
	return nil
}

// Get returns one job with the newest placement decisions of its waiting tasks.
func (s *Service) Get(args wire.GetArgs, reply *wire.GetReply) error {
	o := s.m.owner(args.Partition)
	if o == nil {
		reply.Code = wire.CodeNotOwner
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	job := o.state.Jobs[args.JobID]
	if job == nil {
		reply.Code = wire.CodeUnknown
		return nil
	}
	reply.Code, reply.Job = wire.CodeOK, copyJob(job)
	for i := range job.Tasks {
		reply.Explain = append(reply.Explain, o.explain[ledger.TaskRef(job.ID, i, 0).Task])
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
		reply.Jobs = append(reply.Jobs, copyJob(job))
	}
	sort.Slice(reply.Jobs, func(i, j int) bool { return reply.Jobs[i].Submitted.After(reply.Jobs[j].Submitted) })
	if args.Limit > 0 && len(reply.Jobs) > args.Limit {
		reply.Jobs = reply.Jobs[:args.Limit]
	}
	reply.Code = wire.CodeOK
	return nil
}

// Report renews holds and takes in the states of an agent's tasks.
func (s *Service) Report(args wire.ReportArgs, reply *wire.ReportReply) error {
	o := s.m.owner(args.Partition)
	if o == nil {
		reply.Code = wire.CodeNotOwner
		return nil
	}
	reply.Code = wire.CodeOK
	o.report(args, reply)
	return nil
}

// report decides for each attempt whether it may go on. Attempts that ended are committed first; the agent keeps
// them until the reply tells it to forget them.
func (o *Owner) report(args wire.ReportArgs, reply *wire.ReportReply) {
	ended := []wire.TaskReport{}
	for _, t := range args.Tasks {
		if t.State == worker.StateRunning {
			o.renewHold(args, t, reply)
			continue
		}
		ended = append(ended, t)
	}
	for _, t := range ended {
		if o.recordEnd(t) {
			reply.Forget = append(reply.Forget, t.Ref)
		}
	}
}

func (o *Owner) renewHold(args wire.ReportArgs, t wire.TaskReport, reply *wire.ReportReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	job, task := o.state.Task(t.Ref.Task)
	current := task != nil && task.State == ledger.TaskPlaced && task.Attempt == t.Ref.Attempt && task.Agent == args.Agent
	if !current || job.Cancelled {
		reply.Stop = append(reply.Stop, t.Ref)
		return
	}
	if _, _, ok := o.keeper.Current(); !ok {
		return
	}
	task.AgentInc = args.Incarnation
	reply.For = job.Hold
	reply.Hold = append(reply.Hold, t.Ref)
	if until := time.Now().Add(job.Hold); until.After(o.holds[t.Ref]) {
		o.holds[t.Ref] = until
	}
}

// recordEnd commits the end of an attempt and reports whether the agent may forget it.
func (o *Owner) recordEnd(t wire.TaskReport) bool {
	o.mu.Lock()
	job, task := o.state.Task(t.Ref.Task)
	stale := task == nil || task.State != ledger.TaskPlaced || task.Attempt != t.Ref.Attempt
	o.mu.Unlock()
	if stale {
		return true
	}
	op := o.endOp(job, task, t)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	err := o.Commit(ctx, op)
	if err != nil {
		return errors.Is(err, ledger.ErrStale)
	}
	o.logEnd(op, t)
	o.mu.Lock()
	delete(o.holds, t.Ref)
	o.mu.Unlock()
	return true
}

// Retries of failed tasks.
const (
	maxFailures  = 5
	retryBase    = 500 * time.Millisecond
	retryCeiling = 5 * time.Minute
)

func (o *Owner) endOp(job *ledger.Job, task *ledger.Task, t wire.TaskReport) ledger.Op {
	ref := t.Ref
	op := ledger.Op{Kind: ledger.OpEnd, Ref: &ref, Reason: t.Reason}
	o.mu.Lock()
	defer o.mu.Unlock()
	switch t.State {
	case worker.StateDone:
		op.State = ledger.TaskDone
	case worker.StateCheckpointed:
		op.Kind, op.Checkpoint = ledger.OpEvict, t.Checkpoint
	case worker.StateStopped:
		op.Kind = ledger.OpLost
		if job.Cancelled {
			op.Kind, op.State = ledger.OpEnd, ledger.TaskCancelled
		}
	default:
		op.State = ledger.TaskFailed
		if job.Idempotent && task.Failures+1 < maxFailures {
			op.State = ledger.TaskPending
			op.NotBefore = time.Now().Add(min(retryBase<<task.Failures, retryCeiling))
		}
	}
	return op
}

func (o *Owner) logEnd(op ledger.Op, t wire.TaskReport) {
	ev := events.TaskEnded
	switch {
	case op.Kind == ledger.OpEvict:
		ev = events.TaskEvicted
	case op.Kind == ledger.OpLost:
		ev = events.TaskLost
	case op.State == ledger.TaskPending:
		ev = events.TaskRetry
	}
	ev.Log(&o.zlog).Str("task", t.Ref.Task).Int("attempt", t.Ref.Attempt).Str("state", string(op.State)).Str("reason", op.Reason).Str("checkpoint", op.Checkpoint).Send()
}
