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
	placeInterval     = 50 * time.Millisecond  // interval of the scheduling cycles
	placeTimeout      = 2 * time.Second        // limit of one call to an agent
	maxTasksPerCycle  = 256                    // maximum number of tasks per scheduling cycle
	refusalBackoffMin = 200 * time.Millisecond // doubles with each consecutive refusal; long enough for a new load report before the next offer
	WorkerLease       = 5 * time.Second        // maximum lease of a task at its worker, which stops the task when it expires
)

// MembershipView is this process's view of the other processes of the fleet and their load. Members does not list this process;
// Lookup finds any known process by member ID.
type MembershipView interface {
	Members() []membership.Status
	Lookup(id string) (membership.Status, bool)
}

// placer places the pending tasks of one partition. Its fields are used only by its own goroutine, except those that mu
// guards. Offers are sent concurrently.
type placer struct {
	owner         *Owner
	membership    MembershipView
	rpc           Caller
	planner       *planner
	self          string // member ID of this process, which MembershipView.Members does not list
	inFlightSends sync.WaitGroup

	unitByKey               map[string]*scheduler.Unit // units of the last cycle, by key
	lastWorkerUpdateAt      time.Time
	lastInterferenceMergeAt time.Time
	lastReconcileAt         time.Time
	lastQueriedAt           map[string]time.Time // when each agent was last queried about unreported attempts

	mu               sync.Mutex
	unreachableUntil map[string]time.Time // unreachable agents, and until when they get no placements
}

func newPlacer(m *Manager, o *Owner) *placer {
	o.planner.setTeamShare(m.cfg.TeamShareFunc)
	return &placer{
		owner: o, membership: m.membership, rpc: m.rpc, planner: o.planner, self: m.cfg.MemberID,
		lastQueriedAt: map[string]time.Time{}, unreachableUntil: map[string]time.Time{},
	}
}

// unreachableBackoff is how long an agent gets no placements after a failed connection. The membership view needs about as long
// to suspect the agent.
const unreachableBackoff = 2 * time.Second

func (p *placer) markUnreachable(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unreachableUntil[id] = time.Now().Add(unreachableBackoff)
}

func (p *placer) isUnreachable(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	until, ok := p.unreachableUntil[id]
	if ok && time.Now().After(until) {
		delete(p.unreachableUntil, id)
		return false
	}
	return ok
}

// run places tasks and detects lost ones until ctx is done, then waits for the offers in flight.
func (p *placer) run(ctx context.Context) {
	defer p.inFlightSends.Wait()
	ticker := time.NewTicker(placeInterval)
	defer ticker.Stop()
	lastPruneAt := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if p.owner.mayDecide() {
			p.queryUnreported(ctx)
			p.expireHolds(ctx)
			p.refresh(time.Now())
			p.placePending(ctx)
			if time.Since(lastPruneAt) >= pruneInterval {
				lastPruneAt = time.Now()
				p.owner.prune(ctx, lastPruneAt)
			}
		}
	}
}

// refresh updates the planner with the load reports, the interference estimates and the ledger's placed tasks. Each of
// the three has an interval of its own.
func (p *placer) refresh(now time.Time) {
	if now.Sub(p.lastWorkerUpdateAt) >= loadReportInterval {
		p.lastWorkerUpdateAt = now
		members := p.members()
		p.planner.updateWorkers(members)
		if now.Sub(p.lastInterferenceMergeAt) >= interferenceMergeInterval {
			p.lastInterferenceMergeAt = now
			p.planner.mergeInterferenceEstimates(members)
		}
	}
	if now.Sub(p.lastReconcileAt) >= reconcileInterval {
		p.lastReconcileAt = now
		p.planner.sched.Reconcile(p.owner.placedTasks())
	}
}

// placement is a task with the worker that the scheduler chose for it.
type placement struct {
	job  ledger.Job
	op   ledger.Op
	task *scheduler.TaskInfo
	// node contains the agent's clock from before the placement became durable, and the hold starts at that value. If this
	// owner pauses and sends the placement late, the hold has expired on arrival and the agent refuses the placement. The
	// hold always expires before a successor places the task again.
	node            scheduler.NodeInfo
	startCheckpoint string     // checkpoint that the attempt starts from; empty if there is none
	gang            *gangOffer // nil for a single task
}

// placePending runs one scheduling cycle, makes the placements durable and offers them to the agents.
func (p *placer) placePending(ctx context.Context) {
	p.unitByKey = p.owner.pendingUnits(p.planner, p.unitByKey, time.Now())
	p.planner.sched.SyncPending(p.unitByKey)
	chosen := []placement{}
	for _, o := range p.planner.sched.RunCycle(maxTasksPerCycle) {
		p.logDecisions(&o)
		if o.PreemptNode != nil {
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
			p.planner.sched.TaskEnded(*pl.op.Ref)
		}
		return
	}
	for _, pl := range chosen {
		p.inFlightSends.Go(func() { p.send(ctx, pl) })
	}
}

// placements returns the placements of a scheduling unit, which is a single task or all pending tasks of a gang. It returns nil
// if one of the tasks is no longer pending.
func (p *placer) placements(o scheduler.UnitDecision) []placement {
	out := make([]placement, 0, len(o.Decisions))
	var gang *gangOffer
	if o.Unit.IsGang {
		gang = &gangOffer{pendingReplies: len(o.Decisions)}
	}
	for i, d := range o.Decisions {
		task := o.Unit.Tasks[i]
		ref := task.Ref
		job, checkpoint, ok := p.owner.pendingTask(ref)
		if !ok {
			p.forgetAssumed(o.Unit.Tasks)
			return nil
		}
		op := ledger.Op{Kind: ledger.OpPlace, Ref: &ref, Agent: d.Node.ID, AgentInc: d.Node.Incarnation}
		out = append(out, placement{job: job, op: op, task: task, node: *d.Node, startCheckpoint: checkpoint, gang: gang})
	}
	return out
}

// forgetAssumed removes tasks from the scheduler that it counts as placed although their placements were not committed.
func (p *placer) forgetAssumed(tasks []*scheduler.TaskInfo) {
	for _, t := range tasks {
		p.planner.sched.TaskEnded(t.Ref)
	}
}

// logDecisions logs the decisions about the tasks of a scheduling unit and records them for Service.Explain.
func (p *placer) logDecisions(o *scheduler.UnitDecision) {
	for i := range o.Decisions {
		d := &o.Decisions[i]
		why := d.Explain()
		if d.Placed() {
			ref := o.Unit.Tasks[i].Ref
			events.TaskPlaced.Log(&p.owner.zlog).Str("task", ref.Task).Int("attempt", ref.Attempt).Str("decision", why).Send()
			p.planner.recordDecision(d.Task, "placed", why)
			continue
		}
		ev := events.TaskUnplaced
		if p.planner.latestDecision(d.Task) != why {
			ev = events.TaskDeferred
		}
		ev.Log(&p.owner.zlog).Str("task", d.Task).Str("reason", why).Send()
		p.planner.recordDecision(d.Task, "not placed", why)
	}
}

// preempt requests that an agent evict lower-priority tasks with a checkpoint, to free resources for an urgent task.
func (p *placer) preempt(ctx context.Context, o scheduler.UnitDecision) {
	task := o.Unit.Lead()
	args := wire.PreemptArgs{Incarnation: o.PreemptNode.Incarnation, Task: task.Ref.Task, Need: task.Need, Priority: task.Priority}
	addr := o.PreemptNode.Addr
	events.TaskPreempting.Log(&p.owner.zlog).Str("task", task.Ref.Task).Str("worker", o.PreemptNode.ID).Send()
	p.inFlightSends.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, placeTimeout)
		defer cancel()
		var reply wire.PreemptReply
		if err := p.rpc.Call(callCtx, addr, "Agent.Preempt", args, &reply); err != nil {
			reply.Reason = err.Error()
		}
		if reply.Evicted == 0 {
			p.planner.sched.ReleaseReservation(task.Ref.Task)
			p.planner.recordDecision(task.Ref.Task, "not placed", "preemption brought no room: "+reply.Reason)
		}
	})
}

// gangOffer tracks the replies to the offers of one gang.
type gangOffer struct {
	mu                 sync.Mutex
	pendingReplies     int
	anyRefused         bool
	acceptedPlacements []placement
}

// recordReply records the reply to one offer of the gang. On the last reply, if any offer was refused, it returns the accepted
// placements, which the caller must stop. Otherwise it returns nil.
func (g *gangOffer) recordReply(pl placement, accepted bool) []placement {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pendingReplies--
	if accepted {
		g.acceptedPlacements = append(g.acceptedPlacements, pl)
	} else {
		g.anyRefused = true
	}
	if g.pendingReplies > 0 || !g.anyRefused {
		return nil
	}
	return g.acceptedPlacements
}

// handleGangReply records the reply to an offer. If one task of the gang was refused, the last call stops the started
// tasks with a checkpoint, so that the whole gang returns to the queue. Placements without a gang are ignored.
func (p *placer) handleGangReply(ctx context.Context, pl placement, accepted bool) {
	if pl.gang == nil {
		return
	}
	for _, other := range pl.gang.recordReply(pl, accepted) {
		events.GangIncomplete.Log(&p.owner.zlog).Str("task", other.op.Ref.Task).Str("agent", other.node.ID).Send()
		callCtx, cancel := context.WithTimeout(ctx, placeTimeout)
		var reply wire.StopReply
		err := p.rpc.Call(callCtx, other.node.Addr, "Agent.Stop", wire.StopArgs{Ref: *other.op.Ref, Checkpoint: true}, &reply)
		cancel()
		if err != nil {
			p.planner.recordDecision(other.op.Ref.Task, "gang incomplete", "agent did not answer: "+err.Error())
		}
	}
}

// send offers a durable placement to the agent and handles the reply. If the reply is lost, send queries the agent. If the
// known clock of the agent is so old that the hold has expired on arrival, send repeats the offer with the clock from the
// refusal.
func (p *placer) send(ctx context.Context, pl placement) {
	reply, err := p.offer(ctx, pl, pl.node.AgentClock)
	if err == nil && reply.Late && p.owner.extendHold(*pl.op.Ref, pl.job.Hold) {
		reply, err = p.offer(ctx, pl, reply.Clock)
	}
	switch {
	case err == nil && reply.Accepted:
		p.planner.sched.TaskAdmitted(*pl.op.Ref, reply.Clock)
		p.handleGangReply(ctx, pl, true)
	case err == nil:
		p.handleRefusal(ctx, pl, reply)
		p.handleGangReply(ctx, pl, false)
	case errors.Is(err, peer.ErrNotSent):
		p.markUnreachable(pl.node.ID)
		p.handleRefusal(ctx, pl, wire.PlaceReply{Reason: "agent not reachable"})
		p.handleGangReply(ctx, pl, false)
	default:
		p.queryAgent(ctx, pl.node.ID, []worker.Ref{*pl.op.Ref})
		p.handleGangReply(ctx, pl, true)
	}
}

// offer sends a placement whose hold starts at the given value of the agent's clock.
func (p *placer) offer(ctx context.Context, pl placement, clock time.Duration) (wire.PlaceReply, error) {
	args := wire.PlaceArgs{
		Partition: p.owner.id, Incarnation: pl.node.Incarnation, HoldUntil: clock + pl.job.Hold,
		Spec: worker.Spec{
			Ref: *pl.op.Ref, Kind: pl.job.Kind, Need: pl.task.Need, Run: pl.task.ExpectedRunTime, Payload: pl.job.Payload, Checkpoint: pl.startCheckpoint,
			Lease: min(WorkerLease, pl.job.Hold/2), Team: pl.job.Team, Priority: pl.job.Priority, Declared: pl.job.Need,
		},
	}
	callCtx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	var reply wire.PlaceReply
	err := p.rpc.Call(callCtx, pl.node.Addr, "Agent.Place", args, &reply)
	return reply, err
}

// handleRefusal returns a refused task to the queue and updates the scheduler. The attempt is proven not to have started.
func (p *placer) handleRefusal(ctx context.Context, pl placement, reply wire.PlaceReply) {
	ref := *pl.op.Ref
	p.planner.sched.TaskRefused(ref, nodeFromRefusal(pl.node, reply))
	if reply.Kept {
		p.planner.avoidWorker(ref.Task, pl.node.ID, avoidReservedWorkerDuration)
	}
	p.planner.recordDecision(ref.Task, "refused", pl.node.ID+": "+reply.Reason)
	p.commitRefusal(ctx, pl.op, reply.Reason)
}

// refusalBackoffMax limits the delay after refusals.
const refusalBackoffMax = 10 * time.Second

// refusalBackoff counts a refusal and returns how long the task waits before the next attempt. The delay grows because each
// refusal costs two ledger operations.
func (o *Owner) refusalBackoff(task string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := o.consecutiveRefusals[task]
	o.consecutiveRefusals[task] = n + 1
	return min(refusalBackoffMin<<min(n, 10), refusalBackoffMax)
}

// commitRefusal commits the refusal of an attempt, with a delay before the next one.
func (p *placer) commitRefusal(ctx context.Context, op ledger.Op, reason string) {
	refuse := ledger.Op{Kind: ledger.OpRefuse, Ref: op.Ref, Reason: reason, NotBefore: time.Now().Add(p.owner.refusalBackoff(op.Ref.Task))}
	events.TaskRefused.Log(&p.owner.zlog).Str("task", op.Ref.Task).Int("attempt", op.Ref.Attempt).Str("agent", op.Agent).Str("reason", reason).Send()
	if err := p.owner.Commit(ctx, refuse); err != nil {
		events.CommitFailed.Log(&p.owner.zlog).Err(err).Str("task", op.Ref.Task).Send()
	}
}

// nodeFromRefusal returns a copy of n with the clock and the free resources from a refusal; nil if the refusal contains
// neither.
func nodeFromRefusal(n scheduler.NodeInfo, reply wire.PlaceReply) *scheduler.NodeInfo {
	if reply.Clock == 0 {
		return nil
	}
	n.AgentClock, n.Free = reply.Clock, reply.Free
	return &n
}

// members returns the agents that may get tasks, including that of this process.
func (p *placer) members() []membership.Member {
	known := p.membership.Members()
	if self, ok := p.membership.Lookup(p.self); ok {
		known = append(known, self)
	}
	out := make([]membership.Member, 0, len(known))
	for _, m := range known {
		if m.Role == membership.RoleAgent && !m.Suspect && !m.Leaving && !p.isUnreachable(m.ID) {
			out = append(out, m.Member)
		}
	}
	return out
}

// NodeInfo converts a member's load report for the scheduler.
func NodeInfo(m membership.Member) scheduler.NodeInfo {
	n := scheduler.NodeInfo{
		ID: m.ID, Incarnation: m.Incarnation, Addr: m.Addr, Domain: m.Domain, Rack: m.Rack,
		Capacity: m.Load.Capacity, Free: m.Load.Free, ProjectedFree: m.Load.FreeAt, TeamUsage: m.Load.Teams, UsageByPriority: m.Load.Preemptible,
		LatencyCriticalKind: m.Load.QuickKind, LatencyRatio: m.Load.QuickRatio, BatchCores: m.Load.BatchCores, IsWorkerFailing: m.Load.Failing, AgentClock: m.Load.Clock,
	}
	if m.Load.Slots > 0 {
		n.BackendLoad = float64(m.Load.SlotsBusy+m.Load.Queued) / float64(m.Load.Slots)
	}
	return n
}

// pendingUnits returns the pending tasks as scheduling units, by key. The tasks of a gang form one unit, which waits until all
// of them may start. Units of the previous cycle are reused to keep the cost of a long queue low.
func (o *Owner) pendingUnits(pl *planner, previous map[string]*scheduler.Unit, now time.Time) map[string]*scheduler.Unit {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[string]*scheduler.Unit, len(previous))
	workers := pl.knownWorkers()
	for _, job := range o.state.Jobs {
		if job.Finished() || now.Before(o.unschedulableJobs[job.ID].nextCheck) || !o.checkSchedulable(job, workers, now) {
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
			if u := previous[ref.Task]; u != nil && u.Lead().Ref == ref && len(u.Lead().AvoidUntil) == 0 {
				out[ref.Task] = u
				continue
			}
			out[ref.Task] = &scheduler.Unit{Key: ref.Task, Tasks: []*scheduler.TaskInfo{pl.taskInfo(job, i, ref.Attempt)}}
		}
	}
	return out
}

// gangUnit returns the scheduling unit of the pending tasks of a gang. It returns nil if no task is pending, or if one of them
// must not start yet.
func gangUnit(pl *planner, job *ledger.Job, now time.Time) *scheduler.Unit {
	u := &scheduler.Unit{Key: job.ID, IsGang: true}
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

// pendingTask returns the job and the checkpoint of a pending task; ok is false if the attempt is no longer pending.
func (o *Owner) pendingTask(ref worker.Ref) (job ledger.Job, checkpoint string, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	j, t := o.state.Task(ref.Task)
	if t == nil || t.State != ledger.TaskPending || t.Attempt+1 != ref.Attempt || j.Cancelled {
		return ledger.Job{}, "", false
	}
	return copyJob(j), t.Checkpoint, true
}

// placedTasks returns the tasks that are placed on workers.
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
				Ref: ledger.TaskRef(job.ID, i, t.Attempt), JobID: job.ID, Kind: job.Kind, Team: job.Team, Need: job.Need, ExpectedRunTime: job.Run, Priority: job.Priority,
			}
			out = append(out, scheduler.PlacedTask{Task: info, Node: t.Agent})
		}
	}
	return out
}
