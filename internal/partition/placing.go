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
	placeBatch    = 256                    // tasks per cycle
	refusedDelay  = 200 * time.Millisecond // doubles with each refusal in a row; lets the agent's next load report arrive before the task is offered again
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
	self  string               // id of this process, which its own membership view leaves out
	asked map[string]time.Time // when each agent was last asked about silent attempts

	mu    sync.Mutex
	avoid map[string]time.Time // agents that could not be reached, until when they get no placement; guarded by mu
}

func newPlacer(m *Manager, o *Owner) *placer {
	return &placer{
		owner: o, nodes: m.nodes, pool: m.pool, sched: m.sched, self: m.cfg.Self,
		asked: map[string]time.Time{}, avoid: map[string]time.Time{},
	}
}

// unreachableFor is how long an agent that could not be reached gets no placement; the membership view takes as long
// to suspect it.
const unreachableFor = 2 * time.Second

func (p *placer) avoidAgent(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoid[id] = time.Now().Add(unreachableFor)
}

func (p *placer) avoided(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	until, ok := p.avoid[id]
	if ok && time.Now().After(until) {
		delete(p.avoid, id)
		return false
	}
	return ok
}

// run places tasks and finds lost ones until ctx ends.
func (p *placer) run(ctx context.Context) {
	ticker := time.NewTicker(placeInterval)
	defer ticker.Stop()
	pruned := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if p.owner.valid() {
			p.querySilent(ctx)
			p.expireHolds(ctx)
			p.placePending(ctx)
			if time.Since(pruned) >= pruneEvery {
				pruned = time.Now()
				p.owner.prune(ctx, pruned)
			}
		}
	}
}

type placement struct {
	job  ledger.Job
	op   ledger.Op
	node scheduler.NodeInfo
	cp   string
	// clock is the agent's clock as known before the placement became durable. A successor counts its wait from a
	// later moment, so a placement that this owner sends late, after a pause, arrives after its hold and is refused.
	clock time.Duration
}

func (p *placer) placePending(ctx context.Context) {
	tasks := p.owner.pendingTasks(time.Now())
	if len(tasks) == 0 {
		return
	}
	nodes, clocks := p.snapshot()
	ops := []ledger.Op{}
	chosen := []placement{}
	for i := range tasks {
		if !p.owner.examine(&tasks[i].job, nodes, &tasks[i].info, time.Now()) {
			continue
		}
		widen(&tasks[i].info, nodes)
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
		chosen = append(chosen, placement{job: tasks[i].job, op: op, node: *d.Node, cp: tasks[i].checkpoint, clock: clocks[d.Node.ID]})
	}
	if len(ops) == 0 || p.owner.Commit(ctx, ops...) != nil {
		return
	}
	var wg sync.WaitGroup
	for _, pl := range chosen {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.send(ctx, pl)
		}()
	}
	wg.Wait()
}

// send offers a durable placement to the agent. Without an answer the agent is asked about it.
func (p *placer) send(ctx context.Context, pl placement) {
	args := wire.PlaceArgs{
		Partition: p.owner.id, Incarnation: pl.node.Incarnation, HoldUntil: pl.clock + pl.job.Hold,
		Spec: worker.Spec{
			Ref: *pl.op.Ref, Kind: pl.job.Kind, Need: pl.job.Need, Run: pl.job.Run, Payload: pl.job.Payload,
			Checkpoint: pl.cp, Lease: min(WorkerLease, pl.job.Hold/2),
		},
	}
	callCtx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	var reply wire.PlaceReply
	err := p.pool.Call(callCtx, pl.node.Addr, "Agent.Place", args, &reply)
	switch {
	case err == nil && reply.Accepted:
	case err == nil:
		p.refused(ctx, pl.op, reply.Reason)
	case errors.Is(err, peer.ErrNotSent):
		p.avoidAgent(pl.node.ID)
		p.refused(ctx, pl.op, "agent not reachable")
	default:
		p.queryAgent(ctx, pl.node.ID, []worker.Ref{*pl.op.Ref})
	}
}

// refusalCeiling bounds the delay after refusals.
const refusalCeiling = 10 * time.Second

// refusalDelay returns how long a refused task waits. Each refusal costs two operations, so they back off.
func (o *Owner) refusalDelay(task string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := o.refusals[task]
	o.refusals[task] = n + 1
	return min(refusedDelay<<min(n, 10), refusalCeiling)
}

func (p *placer) refused(ctx context.Context, op ledger.Op, reason string) {
	refuse := ledger.Op{Kind: ledger.OpRefuse, Ref: op.Ref, Reason: reason, NotBefore: time.Now().Add(p.owner.refusalDelay(op.Ref.Task))}
	events.TaskRefused.Log(&p.owner.zlog).Str("task", op.Ref.Task).Int("attempt", op.Ref.Attempt).Str("agent", op.Agent).Str("reason", reason).Send()
	if err := p.owner.Commit(ctx, refuse); err != nil {
		events.CommitFailed.Log(&p.owner.zlog).Err(err).Str("task", op.Ref.Task).Send()
	}
}

// snapshot builds the scheduler's view from the members' load reports.
func (p *placer) snapshot() ([]scheduler.NodeInfo, map[string]time.Duration) {
	nodes := []scheduler.NodeInfo{}
	clocks := map[string]time.Duration{}
	members := p.nodes.Members()
	if self, ok := p.nodes.Lookup(p.self); ok {
		members = append(members, self)
	}
	for _, m := range members {
		if m.Role == membership.RoleAgent && !m.Suspect && !m.Leaving && !p.avoided(m.ID) {
			nodes = append(nodes, NodeInfo(m.Member))
			clocks[m.ID] = m.Load.Clock
		}
	}
	capQuarantine(nodes)
	return nodes, clocks
}

// quarantineShare is the largest share of the workers that may be kept from work because they fail what they start. If
// more do, the cause is more likely a common one, and work must go on.
const quarantineShare = 0.25

// capQuarantine lifts the quarantine of the workers beyond the share, but always leaves one possible.
func capQuarantine(nodes []scheduler.NodeInfo) {
	left := max(1, int(quarantineShare*float64(len(nodes))))
	for i := range nodes {
		if !nodes[i].Quarantined {
			continue
		}
		if left--; left < 0 {
			nodes[i].Quarantined = false
		}
	}
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
		if now.Before(o.aside[job.ID].until) {
			continue
		}
		for i := range job.Tasks {
			t := &job.Tasks[i]
			if t.State != ledger.TaskPending || now.Before(t.NotBefore) {
				continue
			}
			out = append(out, pendingTask{job: copyJob(job), checkpoint: t.Checkpoint, info: scheduler.TaskInfo{
				Ref: ledger.TaskRef(job.ID, i, t.Attempt+1), JobID: job.ID, Kind: job.Kind, Team: job.Team, Need: job.Need, Priority: job.Priority,
				Avoid: avoided(t.FailedOn),
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

// avoided is the set of workers on which a task failed, so that its next attempt tells whether the worker or the job is
// at fault.
func avoided(failedOn []string) map[string]bool {
	set := make(map[string]bool, len(failedOn))
	for _, id := range failedOn {
		set[id] = true
	}
	return set
}

// widen drops the avoided workers of a task that failed on all known ones; it would never be placed otherwise.
func widen(task *scheduler.TaskInfo, nodes []scheduler.NodeInfo) {
	for i := range nodes {
		if !task.Avoid[nodes[i].ID] {
			return
		}
	}
	task.Avoid = nil
}

func (o *Owner) explainTask(task, decision string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.explain[task] = decision
}
