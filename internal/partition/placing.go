package partition

import (
	"context"
	"errors"
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

// placer assigns the pending tasks of one partition. Only its own goroutine uses its fields, but for those that mu
// guards; sends are concurrent.
type placer struct {
	owner   *Owner
	nodes   Nodes
	pool    Caller
	planner *planner
	self    string // id of this process, which its own membership view leaves out
	sends   sync.WaitGroup

	waiting     map[string]*scheduler.Unit // of the last look, by key
	reportsAt   time.Time
	effectsAt   time.Time
	reconcileAt time.Time
	asked       map[string]time.Time // when each agent was last asked about silent attempts

	mu    sync.Mutex
	avoid map[string]time.Time // agents that could not be reached, until when they get no placement
}

func newPlacer(m *Manager, o *Owner) *placer {
	o.planner.setShare(m.cfg.Share)
	return &placer{
		owner: o, nodes: m.nodes, pool: m.pool, planner: o.planner, self: m.cfg.Self,
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

// run places tasks and finds lost ones until ctx ends, then waits for the offers that are on their way.
func (p *placer) run(ctx context.Context) {
	defer p.sends.Wait()
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
			p.refresh(time.Now())
			p.placePending(ctx)
			if time.Since(pruned) >= pruneEvery {
				pruned = time.Now()
				p.owner.prune(ctx, pruned)
			}
		}
	}
}

// refresh takes in reports, interference and the ledger's placed tasks, each at its own interval.
func (p *placer) refresh(now time.Time) {
	if now.Sub(p.reportsAt) >= reportsEvery {
		p.reportsAt = now
		members := p.members()
		p.planner.update(members)
		if now.Sub(p.effectsAt) >= effectsEvery {
			p.effectsAt = now
			p.planner.learnEffects(members)
		}
	}
	if now.Sub(p.reconcileAt) >= reconcileEvery {
		p.reconcileAt = now
		p.planner.sched.Reconcile(p.owner.placedTasks())
	}
}

type placement struct {
	job  ledger.Job
	op   ledger.Op
	info *scheduler.TaskInfo
	// node is as known before the placement became durable, its clock included. A successor counts its wait from a
	// later moment, so a placement that this owner sends late, after a pause, arrives after its hold and is refused.
	node scheduler.NodeInfo
	cp   string
	gang *gangStart // nil for a single task
}

// placePending places what the queue lets go first, makes the placements durable and offers them to the agents.
func (p *placer) placePending(ctx context.Context) {
	p.waiting = p.owner.pendingUnits(p.planner, p.waiting, time.Now())
	p.planner.sched.Sync(p.waiting)
	chosen := []placement{}
	for _, o := range p.planner.sched.Cycle(placeBatch) {
		p.logOutcome(&o)
		if o.Preempt != nil {
			p.preempt(ctx, o)
		}
		if o.Placed {
			chosen = append(chosen, p.placements(o)...)
		}
	}
	if len(chosen) == 0 {
		return
	}
	ops := make([]ledger.Op, len(chosen))
	for i := range chosen {
		ops[i] = chosen[i].op
	}
	if p.owner.Commit(ctx, ops...) != nil {
		for _, pl := range chosen {
			p.planner.sched.Ended(*pl.op.Ref)
		}
		return
	}
	for _, pl := range chosen {
		p.sends.Go(func() { p.send(ctx, pl) })
	}
}

// placements are the offers of a placed unit; nil if one of its tasks was cancelled meanwhile.
func (p *placer) placements(o scheduler.Outcome) []placement {
	out := make([]placement, 0, len(o.Decisions))
	var gang *gangStart
	if o.Unit.Gang {
		gang = &gangStart{open: len(o.Decisions)}
	}
	for i, d := range o.Decisions {
		info := o.Unit.Tasks[i]
		ref := info.Ref
		job, checkpoint, ok := p.owner.pending(ref)
		if !ok {
			p.forget(o.Unit.Tasks)
			return nil
		}
		op := ledger.Op{Kind: ledger.OpPlace, Ref: &ref, Agent: d.Node.ID, AgentInc: d.Node.Incarnation}
		out = append(out, placement{job: job, op: op, info: info, node: *d.Node, cp: checkpoint, gang: gang})
	}
	return out
}

// forget takes back assumptions that were not committed.
func (p *placer) forget(tasks []*scheduler.TaskInfo) {
	for _, t := range tasks {
		p.planner.sched.Ended(t.Ref)
	}
}

// logOutcome writes the decision lines of a unit and keeps them for explanations.
func (p *placer) logOutcome(o *scheduler.Outcome) {
	for i := range o.Decisions {
		d := &o.Decisions[i]
		why := d.Explain()
		if d.Placed() {
			ref := o.Unit.Tasks[i].Ref
			events.TaskPlaced.Log(&p.owner.zlog).Str("task", ref.Task).Int("attempt", ref.Attempt).Str("decision", why).Send()
			p.planner.note(d.Task, "placed", why)
			continue
		}
		ev := events.TaskUnplaced
		if p.planner.newest(d.Task) != why {
			ev = events.TaskDeferred
		}
		ev.Log(&p.owner.zlog).Str("task", d.Task).Str("reason", why).Send()
		p.planner.note(d.Task, "not placed", why)
	}
}

// preempt asks an agent to checkpoint lower priority work for an urgent task.
func (p *placer) preempt(ctx context.Context, o scheduler.Outcome) {
	task := o.Unit.Lead()
	args := wire.PreemptArgs{Incarnation: o.Preempt.Incarnation, Task: task.Ref.Task, Need: task.Need, Priority: task.Priority}
	addr := o.Preempt.Addr
	events.TaskPreempting.Log(&p.owner.zlog).Str("task", task.Ref.Task).Str("worker", o.Preempt.ID).Send()
	p.sends.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, placeTimeout)
		defer cancel()
		var reply wire.PreemptReply
		if err := p.pool.Call(callCtx, addr, "Agent.Preempt", args, &reply); err != nil {
			reply.Reason = err.Error()
		}
		if reply.Evicted == 0 {
			p.planner.sched.ReleaseRoom(task.Ref.Task)
			p.planner.note(task.Ref.Task, "not placed", "preemption brought no room: "+reply.Reason)
		}
	})
}

// gangStart follows the answers to the offers of one gang.
type gangStart struct {
	mu       sync.Mutex
	open     int
	refused  bool
	accepted []placement
}

// answered notes an answer. The last one returns the accepted placements to take back if any was refused.
func (g *gangStart) answered(pl placement, accepted bool) []placement {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
	if accepted {
		g.accepted = append(g.accepted, pl)
	} else {
		g.refused = true
	}
	if g.open > 0 || !g.refused {
		return nil
	}
	return g.accepted
}

// settleGang checkpoints the started tasks of a gang of which one was refused, so that they wait together again.
func (p *placer) settleGang(ctx context.Context, pl placement, accepted bool) {
	if pl.gang == nil {
		return
	}
	for _, other := range pl.gang.answered(pl, accepted) {
		events.GangIncomplete.Log(&p.owner.zlog).Str("task", other.op.Ref.Task).Str("agent", other.node.ID).Send()
		callCtx, cancel := context.WithTimeout(ctx, placeTimeout)
		var reply wire.StopReply
		err := p.pool.Call(callCtx, other.node.Addr, "Agent.Stop", wire.StopArgs{Ref: *other.op.Ref, Checkpoint: true}, &reply)
		cancel()
		if err != nil {
			p.planner.note(other.op.Ref.Task, "gang incomplete", "agent did not answer: "+err.Error())
		}
	}
}

// send offers a durable placement to the agent. Without an answer the agent is asked about it. If the agent's clock
// was known too long ago for the hold, the offer is repeated with the clock of the refusal.
func (p *placer) send(ctx context.Context, pl placement) {
	reply, err := p.offer(ctx, pl, pl.node.Clock)
	if err == nil && reply.Late && p.owner.extendHold(*pl.op.Ref, pl.job.Hold) {
		reply, err = p.offer(ctx, pl, reply.Clock)
	}
	switch {
	case err == nil && reply.Accepted:
		p.planner.sched.Confirm(*pl.op.Ref, reply.Clock)
		p.settleGang(ctx, pl, true)
	case err == nil:
		p.placementRefused(ctx, pl, reply)
		p.settleGang(ctx, pl, false)
	case errors.Is(err, peer.ErrNotSent):
		p.avoidAgent(pl.node.ID)
		p.placementRefused(ctx, pl, wire.PlaceReply{Reason: "agent not reachable"})
		p.settleGang(ctx, pl, false)
	default:
		p.queryAgent(ctx, pl.node.ID, []worker.Ref{*pl.op.Ref})
		p.settleGang(ctx, pl, true)
	}
}

// offer sends a placement whose hold counts from the agent's clock.
func (p *placer) offer(ctx context.Context, pl placement, clock time.Duration) (wire.PlaceReply, error) {
	args := wire.PlaceArgs{
		Partition: p.owner.id, Incarnation: pl.node.Incarnation, HoldUntil: clock + pl.job.Hold,
		Spec: worker.Spec{
			Ref: *pl.op.Ref, Kind: pl.job.Kind, Need: pl.info.Need, Run: pl.info.Run, Payload: pl.job.Payload, Checkpoint: pl.cp,
			Lease: min(WorkerLease, pl.job.Hold/2), Team: pl.job.Team, Priority: pl.job.Priority, Declared: pl.job.Need,
		},
	}
	callCtx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	var reply wire.PlaceReply
	err := p.pool.Call(callCtx, pl.node.Addr, "Agent.Place", args, &reply)
	return reply, err
}

// placementRefused returns a task to the queue after proof that it did not start.
func (p *placer) placementRefused(ctx context.Context, pl placement, reply wire.PlaceReply) {
	ref := *pl.op.Ref
	p.planner.sched.Refuse(ref, freshNode(pl.node, reply))
	if reply.Kept {
		p.planner.avoidWorker(ref.Task, pl.node.ID, avoidKept)
	}
	p.planner.note(ref.Task, "refused", pl.node.ID+": "+reply.Reason)
	p.refused(ctx, pl.op, reply.Reason)
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

// freshNode is the worker with the room that its refusal told; nil if it told none.
func freshNode(n scheduler.NodeInfo, reply wire.PlaceReply) *scheduler.NodeInfo {
	if reply.Clock == 0 {
		return nil
	}
	n.Clock, n.Free = reply.Clock, reply.Free
	return &n
}

// members lists the agents that may get tasks, this process included.
func (p *placer) members() []membership.Member {
	known := p.nodes.Members()
	if self, ok := p.nodes.Lookup(p.self); ok {
		known = append(known, self)
	}
	out := make([]membership.Member, 0, len(known))
	for _, m := range known {
		if m.Role == membership.RoleAgent && !m.Suspect && !m.Leaving && !p.avoided(m.ID) {
			out = append(out, m.Member)
		}
	}
	return out
}

// NodeInfo converts a member's load report for the scheduler.
func NodeInfo(m membership.Member) scheduler.NodeInfo {
	n := scheduler.NodeInfo{
		ID: m.ID, Incarnation: m.Incarnation, Addr: m.Addr, Domain: m.Domain, Rack: m.Rack,
		Capacity: m.Load.Capacity, Free: m.Load.Free, FreeAt: m.Load.FreeAt, Teams: m.Load.Teams, Preemptible: m.Load.Preemptible,
		QuickKind: m.Load.QuickKind, QuickRatio: m.Load.QuickRatio, BatchCores: m.Load.BatchCores, Failing: m.Load.Failing, Clock: m.Load.Clock,
	}
	if m.Load.Slots > 0 {
		n.QuickLoad = float64(m.Load.SlotsBusy+m.Load.Queued) / float64(m.Load.Slots)
	}
	return n
}

// pendingUnits lists the waiting tasks. Those of a gang form one unit, which waits until all of them may start. Units
// of the last look are used again, so that a long queue costs little; known is replaced.
func (o *Owner) pendingUnits(pl *planner, known map[string]*scheduler.Unit, now time.Time) map[string]*scheduler.Unit {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[string]*scheduler.Unit, len(known))
	workers := pl.known()
	for _, job := range o.state.Jobs {
		if job.Finished() || now.Before(o.aside[job.ID].until) || !o.examine(job, workers, now) {
			continue
		}
		if job.Gang {
			if u := gangUnit(pl, job, now); u != nil {
				out[u.Key] = u
			}
			continue
		}
		for i := range job.Tasks {
			t := &job.Tasks[i]
			if t.State != ledger.TaskPending || now.Before(t.NotBefore) {
				continue
			}
			ref := ledger.TaskRef(job.ID, i, t.Attempt+1)
			if u := known[ref.Task]; u != nil && u.Lead().Ref == ref && len(u.Lead().Avoid) == 0 {
				out[ref.Task] = u
				continue
			}
			out[ref.Task] = &scheduler.Unit{Key: ref.Task, Tasks: []*scheduler.TaskInfo{pl.taskInfo(job, i, ref.Attempt)}}
		}
	}
	return out
}

// gangUnit is the waiting tasks of a gang; nil if there are none or one may not start yet.
func gangUnit(pl *planner, job *ledger.Job, now time.Time) *scheduler.Unit {
	u := &scheduler.Unit{Key: job.ID, Gang: true}
	for i := range job.Tasks {
		t := &job.Tasks[i]
		if t.State != ledger.TaskPending {
			continue
		}
		if now.Before(t.NotBefore) {
			return nil
		}
		u.Tasks = append(u.Tasks, pl.taskInfo(job, i, t.Attempt+1))
	}
	if len(u.Tasks) == 0 {
		return nil
	}
	return u
}

// pending returns what an offer needs of a waiting task; ok is false if it does not wait any more.
func (o *Owner) pending(ref worker.Ref) (job ledger.Job, checkpoint string, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	j, t := o.state.Task(ref.Task)
	if t == nil || t.State != ledger.TaskPending || t.Attempt+1 != ref.Attempt || j.Cancelled {
		return ledger.Job{}, "", false
	}
	return copyJob(j), t.Checkpoint, true
}

// placedTasks lists the tasks that are on workers.
func (o *Owner) placedTasks() []scheduler.PlacedTask {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := []scheduler.PlacedTask{}
	for _, job := range o.state.Jobs {
		for i := range job.Tasks {
			t := &job.Tasks[i]
			if t.State != ledger.TaskPlaced {
				continue
			}
			info := scheduler.TaskInfo{
				Ref: ledger.TaskRef(job.ID, i, t.Attempt), JobID: job.ID, Kind: job.Kind, Team: job.Team, Need: job.Need, Run: job.Run, Priority: job.Priority,
			}
			out = append(out, scheduler.PlacedTask{Task: info, Node: t.Agent})
		}
	}
	return out
}
