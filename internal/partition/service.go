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
	if isVerdict(err) && !o.valid() {
		return wire.CodeNotOwner, ErrNotOwner // a successor may know better
	}
	return codeOf(err), err
}

// isVerdict reports whether an error was decided from the state, without a write that proves ownership.
func isVerdict(err error) bool {
	return errors.Is(err, ledger.ErrUnknown) || errors.Is(err, ledger.ErrStale) || errors.Is(err, ledger.ErrDuplicate)
}

// Submit makes a job durable. A repeated key returns the earlier job.
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

// earlierJob finds the job that a repeated submission refers to. The owner may have ended meanwhile.
func (s *Service) earlierJob(partition int, job ledger.Job) (wire.Code, string) {
	o := s.m.owner(partition)
	if o == nil {
		return wire.CodeNotOwner, ""
	}
	return wire.CodeOK, o.jobOfKey(job)
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
	if errors.Is(err, ledger.ErrStale) && s.cancelled(args.Partition, args.JobID) {
		reply.Code = wire.CodeOK // a repeat after a lost answer
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

// Get returns one job with the newest placement decisions of its waiting tasks.
func (s *Service) Get(args wire.GetArgs, reply *wire.GetReply) error {
	o := s.m.owner(args.Partition)
	if o == nil {
		reply.Code = wire.CodeNotOwner
		return nil
	}
	if args.Wait > 0 {
		o.awaitJob(args.JobID, args.Wait)
	}
	valid := o.valid()
	o.mu.Lock()
	defer o.mu.Unlock()
	job := o.state.Jobs[args.JobID]
	if job == nil {
		reply.Code = pick(valid, wire.CodeUnknown, wire.CodeNotOwner)
		return nil
	}
	reply.Code, reply.Job = wire.CodeOK, copyJob(job)
	for i := range job.Tasks {
		reply.Explain = append(reply.Explain, o.planner.newest(ledger.TaskRef(job.ID, i, 0).Task))
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
		listed.Payload = nil // lists of many jobs stay small; Get has it
		reply.Jobs = append(reply.Jobs, listed)
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
	if len(ended) > 0 {
		o.recordEnds(args.Agent, ended, reply)
	}
	// An owner that was replaced may know only earlier attempts or jobs; its verdicts count only if no successor can
	// have existed when they were made.
	if !o.valid() {
		reply.Stop, reply.Forget = nil, nil
	}
}

func (o *Owner) renewHold(args wire.ReportArgs, t wire.TaskReport, reply *wire.ReportReply) {
	if !o.mayHold() {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	job, task := o.state.Task(t.Ref.Task)
	current := task != nil && task.State == ledger.TaskPlaced && task.Attempt == t.Ref.Attempt && task.Agent == args.Agent
	if !current || job.Cancelled {
		reply.Stop = append(reply.Stop, t.Ref)
		return
	}
	if o.lost {
		return
	}
	if reply.For == 0 || job.Hold < reply.For {
		reply.For = job.Hold // the reply has one length for all, so the shortest counts
	}
	reply.Hold = append(reply.Hold, t.Ref)
	delete(o.refusals, t.Ref.Task)
	o.seen[t.Ref] = sighting{at: time.Now(), incarnation: args.Incarnation}
	if until := time.Now().Add(job.Hold); until.After(o.holds[t.Ref]) {
		o.holds[t.Ref] = until
	}
}

// recordEnds commits the ends of attempts together. Whether an end is stale is decided by the commit as well: the
// state may hold an end that is not durable yet, and the agent must not forget that one.
func (o *Owner) recordEnds(agent string, ended []wire.TaskReport, reply *wire.ReportReply) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	ops := make([]ledger.Op, len(ended))
	answers := make([]<-chan error, len(ended))
	tasks := make([]endedTask, len(ended))
	for i, t := range ended {
		ops[i], tasks[i] = o.endOp(agent, t)
		answers[i] = o.enqueue(ctx, nil, ops[i])
	}
	for i, t := range ended {
		err := o.wait(ctx, answers[i])
		if err == nil {
			o.logEnd(ops[i], t)
			o.planner.ended(tasks[i], t)
		}
		if err == nil || errors.Is(err, ledger.ErrStale) || errors.Is(err, ledger.ErrUnknown) {
			reply.Forget = append(reply.Forget, t.Ref)
		}
	}
}

// Retries of failed tasks.
const (
	maxFailures   = 5
	faultyWorkers = 3 // a task that failed on this many different workers is at fault itself
	retryBase     = 500 * time.Millisecond
	retryCeiling  = 5 * time.Minute
)

func (o *Owner) endOp(agent string, t wire.TaskReport) (ledger.Op, endedTask) {
	ref := t.Ref
	op := ledger.Op{Kind: ledger.OpEnd, Ref: &ref, Agent: agent, Reason: t.Reason}
	o.mu.Lock()
	defer o.mu.Unlock()
	job, task := o.state.Task(ref.Task)
	ended := endedTask{}
	if job != nil {
		ended = endedTask{job: job.ID, kind: job.Kind, team: job.Team, declared: job.Need, run: job.Run}
	}
	switch t.State {
	case worker.StateDone:
		op.State = ledger.TaskDone
	case worker.StateCheckpointed:
		op.Kind, op.Checkpoint = ledger.OpEvict, t.Checkpoint
	case worker.StateNotStarted:
		op.Kind, op.NotBefore = ledger.OpRefuse, time.Now().Add(refusedDelay)
	case worker.StateStopped:
		op.Kind = ledger.OpLost
		if job != nil && job.Cancelled {
			op.Kind, op.State = ledger.OpEnd, ledger.TaskCancelled
		}
	default:
		op.State = ledger.TaskFailed
		if task != nil {
			failedOp(&op, job, task, agent, t.Reason)
		}
	}
	return op, ended
}

// failedOp decides whether a failed task is tried again, and states the reason if not.
func failedOp(op *ledger.Op, job *ledger.Job, task *ledger.Task, agent, reason string) {
	workers := len(task.FailedOn)
	if !slices.Contains(task.FailedOn, agent) {
		workers++
	}
	switch {
	case !job.Idempotent:
		op.Reason = "not idempotent, failed: " + reason
	case workers >= faultyWorkers:
		op.Reason = fmt.Sprintf("failed on %d workers, so the job is at fault: %s", workers, reason)
	case task.Failures+1 >= maxFailures:
		op.Reason = fmt.Sprintf("failed %d times: %s", task.Failures+1, reason)
	default:
		op.State = ledger.TaskPending
		op.NotBefore = time.Now().Add(min(retryBase<<task.Failures, retryCeiling))
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
