package partition

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/ledger"
	"bamboofork/internal/membership"
	"bamboofork/internal/peer"
	"bamboofork/internal/scheduler"
	"bamboofork/internal/wire"
	"bamboofork/internal/worker"
)

// Timing of placement.
const (
	placeInterval = 50 * time.Millisecond
	placeTimeout  = 2 * time.Second
	placeBatch    = 256 // tasks per cycle
	WorkerLease   = 5 * time.Second
)

// Nodes is the source of scheduling snapshots.
type Nodes interface {
	Members() []membership.Status
	Lookup(id string) (membership.Status, bool)
}

// placer assigns the pending tasks of one partition.
type placer struct {
	owner *Owner
	nodes Nodes
	pool  Caller
	sched *scheduler.Scheduler
}

// run places tasks and finds lost ones until ctx ends.
func (p *placer) run(ctx context.Context) {
	ticker := time.NewTicker(placeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if p.owner.valid() {
			p.expireHolds(ctx)
			p.placePending(ctx)
		}
	}
}

type placement struct {
	job  ledger.Job
	op   ledger.Op
	node scheduler.NodeInfo
	cp   string
}

func (p *placer) placePending(ctx context.Context) {
	tasks := p.owner.pendingTasks(time.Now())
	if len(tasks) == 0 {
		return
	}
	nodes := p.snapshot()
	ops := []ledger.Op{}
	chosen := []placement{}
	for i := range tasks {
		d := p.sched.Place(nodes, &tasks[i].info)
		p.owner.explainTask(tasks[i].info.Ref.Task, d.Explain())
		if d.Node == nil {
			events.TaskUnplaced.Log(&p.owner.zlog).Str("task", tasks[i].info.Ref.Task).Str("reason", d.Explain()).Send()
			continue
		}
		ref := tasks[i].info.Ref
		op := ledger.Op{Kind: ledger.OpPlace, Ref: &ref, Agent: d.Node.ID, AgentInc: d.Node.Incarnation}
		events.TaskPlaced.Log(&p.owner.zlog).Str("task", ref.Task).Int("attempt", ref.Attempt).Str("decision", d.Explain()).Send()
		ops = append(ops, op)
		chosen = append(chosen, placement{job: tasks[i].job, op: op, node: *d.Node, cp: tasks[i].checkpoint})
	}
	if len(ops) == 0 || p.owner.Commit(ctx, ops...) != nil {
		return
	}
	var wg sync.WaitGroup
	for _, pl := range chosen {
		p.owner.startHold(*pl.op.Ref, pl.job.Hold)
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.send(ctx, pl)
		}()
	}
	wg.Wait()
}

// send offers a durable placement to the agent. Without an answer the task stays placed; the hold decides.
func (p *placer) send(ctx context.Context, pl placement) {
	member, ok := p.nodes.Lookup(pl.node.ID)
	if !ok {
		return
	}
	args := wire.PlaceArgs{
		Partition: p.owner.id, Incarnation: pl.node.Incarnation, HoldUntil: member.Load.Clock + pl.job.Hold,
		Spec: worker.Spec{Ref: *pl.op.Ref, Kind: pl.job.Kind, Need: pl.job.Need, Run: pl.job.Run, Payload: pl.job.Payload, Checkpoint: pl.cp, Lease: WorkerLease},
	}
	callCtx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	var reply wire.PlaceReply
	err := p.pool.Call(callCtx, pl.node.Addr, "Agent.Place", args, &reply)
	if err == nil && reply.Accepted {
		return
	}
	if err != nil && !errors.Is(err, peer.ErrNotSent) {
		p.fence(ctx, pl)
		return
	}
	p.refused(ctx, pl, reply.Reason)
}

// fence asks the agent to refuse a placement whose answer was lost; if it says that the attempt is not there, it
// never will be.
func (p *placer) fence(ctx context.Context, pl placement) {
	callCtx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	var reply wire.StopReply
	err := p.pool.Call(callCtx, pl.node.Addr, "Agent.Stop", wire.StopArgs{Ref: *pl.op.Ref}, &reply)
	if err == nil && !reply.Known {
		p.refused(ctx, pl, "placement lost on the way")
	}
}

func (p *placer) refused(ctx context.Context, pl placement, reason string) {
	op := ledger.Op{Kind: ledger.OpRefuse, Ref: pl.op.Ref, Reason: reason}
	events.TaskRefused.Log(&p.owner.zlog).Str("task", pl.op.Ref.Task).Int("attempt", pl.op.Ref.Attempt).Str("agent", pl.node.ID).Str("reason", reason).Send()
	if err := p.owner.Commit(ctx, op); err != nil {
		events.CommitFailed.Log(&p.owner.zlog).Err(err).Str("task", pl.op.Ref.Task).Send()
	}
}

// snapshot builds the scheduler's view from the members' load reports.
func (p *placer) snapshot() []scheduler.NodeInfo {
	nodes := []scheduler.NodeInfo{}
	for _, m := range p.nodes.Members() {
		if m.Role == membership.RoleAgent && !m.Suspect && !m.Leaving {
			nodes = append(nodes, NodeInfo(m.Member))
		}
	}
	return nodes
}

// NodeInfo converts a member's load report for the scheduler.
func NodeInfo(m membership.Member) scheduler.NodeInfo {
	n := scheduler.NodeInfo{
		ID: m.ID, Incarnation: m.Incarnation, Addr: m.Addr, Domain: m.Domain, Rack: m.Rack,
		Capacity: m.Load.Capacity, Free: m.Load.Free, Quarantined: m.Load.Failing,
	}
	if m.Load.Slots > 0 {
		n.QuickLoad = float64(m.Load.SlotsBusy+m.Load.Queued) / float64(m.Load.Slots)
	}
	return n
}

type pendingTask struct {
	job        ledger.Job
	info       scheduler.TaskInfo
	checkpoint string
}

func (o *Owner) pendingTasks(now time.Time) []pendingTask {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := []pendingTask{}
	for _, job := range o.state.Jobs {
		for i := range job.Tasks {
			t := &job.Tasks[i]
			if t.State != ledger.TaskPending || now.Before(t.NotBefore) {
				continue
			}
			out = append(out, pendingTask{job: *job, checkpoint: t.Checkpoint, info: scheduler.TaskInfo{
				Ref: ledger.TaskRef(job.ID, i, t.Attempt+1), JobID: job.ID, Kind: job.Kind, Team: job.Team, Need: job.Need, Priority: job.Priority,
			}})
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].job.Priority != out[j].job.Priority {
			return out[i].job.Priority > out[j].job.Priority
		}
		if !out[i].job.Submitted.Equal(out[j].job.Submitted) {
			return out[i].job.Submitted.Before(out[j].job.Submitted)
		}
		return out[i].info.Ref.Task < out[j].info.Ref.Task
	})
	return out[:min(len(out), placeBatch)]
}

func (o *Owner) explainTask(task, decision string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.explain[task] = decision
}

func (o *Owner) startHold(ref worker.Ref, hold time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.holds[ref] = time.Now().Add(hold)
}

// expireHolds returns tasks to the queue whose agents can no longer be running them.
func (p *placer) expireHolds(ctx context.Context) {
	for _, op := range p.owner.expired(time.Now(), p.nodes) {
		if err := p.owner.Commit(ctx, op); err == nil {
			events.TaskLost.Log(&p.owner.zlog).Str("task", op.Ref.Task).Int("attempt", op.Ref.Attempt).Str("reason", op.Reason).Send()
		}
	}
}

func (o *Owner) expired(now time.Time, _ Nodes) []ledger.Op {
	o.mu.Lock()
	defer o.mu.Unlock()
	ops := []ledger.Op{}
	for ref, until := range o.holds {
		_, task := o.state.Task(ref.Task)
		if task == nil || task.State != ledger.TaskPlaced || task.Attempt != ref.Attempt {
			delete(o.holds, ref)
			continue
		}
		if now.After(until) {
			ops = append(ops, ledger.Op{Kind: ledger.OpLost, Ref: &ref, Reason: "no report before the hold ran out"})
		}
	}
	return ops
}
