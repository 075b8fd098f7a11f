package partition

import (
	"context"
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/ledger"
	"bamboofork/internal/wire"
	"bamboofork/internal/worker"
)

// Timing of questions to agents.
const (
	silentAfter  = 2 * time.Second // an attempt without a report for this long is asked about
	queryEvery   = 2 * time.Second // per agent
	queryTimeout = 2 * time.Second
)

// querySilent asks agents about attempts that they do not report. A restarted agent, or one that never got a
// placement, gives the evidence for a new start without waiting for the hold.
func (p *placer) querySilent(ctx context.Context) {
	now := time.Now()
	for agent, refs := range p.owner.silent(now) {
		if now.Sub(p.asked[agent]) < queryEvery {
			continue
		}
		p.asked[agent] = now
		go p.queryAgent(ctx, agent, refs)
	}
}

// silent returns the placed attempts without a recent report, by agent.
func (o *Owner) silent(now time.Time) map[string][]worker.Ref {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string][]worker.Ref{}
	for ref := range o.holds {
		_, task := o.state.Task(ref.Task)
		if task == nil || task.State != ledger.TaskPlaced || task.Attempt != ref.Attempt {
			continue
		}
		if now.Sub(o.seen[ref].at) > silentAfter {
			out[task.Agent] = append(out[task.Agent], ref)
		}
	}
	return out
}

// queryAgent asks one agent. An attempt that it does not know is fenced there by the question.
func (p *placer) queryAgent(ctx context.Context, agent string, refs []worker.Ref) {
	member, ok := p.nodes.Lookup(agent)
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var reply wire.QueryReply
	if p.pool.Call(callCtx, member.Addr, "Agent.Query", wire.QueryArgs{Refs: refs}, &reply) != nil || !reply.Ready {
		return
	}
	for _, ref := range reply.Unknown {
		p.absent(ctx, ref, reply)
	}
}

// absent returns an attempt to the queue that its agent neither runs nor will run. If the agent is the one that got
// the placement, the attempt never started; after a restart of the agent it may have run before.
func (p *placer) absent(ctx context.Context, ref worker.Ref, reply wire.QueryReply) {
	incarnation, ok := p.owner.incarnationOf(ref)
	switch {
	case !ok || reply.Incarnation < incarnation:
		return
	case reply.Incarnation == incarnation:
		p.planner.sched.Refuse(ref, nil)
		p.refused(ctx, ledger.Op{Ref: &ref}, "the placement never reached the agent")
	case reply.Settled:
		p.lost(ctx, ref, "the agent came back without the task", nil)
	}
}

// incarnationOf returns the newest incarnation of the agent that is known to have had the attempt.
func (o *Owner) incarnationOf(ref worker.Ref) (int64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, task := o.state.Task(ref.Task)
	if task == nil || task.State != ledger.TaskPlaced || task.Attempt != ref.Attempt {
		return 0, false
	}
	return max(task.AgentInc, o.seen[ref].incarnation), true
}

// expireHolds returns tasks to the queue whose agents can no longer be running them.
func (p *placer) expireHolds(ctx context.Context) {
	for _, ref := range p.owner.expired(time.Now()) {
		p.lost(ctx, ref, "no report before the hold ran out", func() error { return p.owner.stillExpired(ref) })
	}
}

// lost commits the loss of an attempt. A condition is checked together with the operation, because a report may have
// renewed the hold meanwhile.
func (p *placer) lost(ctx context.Context, ref worker.Ref, reason string, when func() error) {
	op := ledger.Op{Kind: ledger.OpLost, Ref: &ref, Reason: reason}
	if p.owner.commitIf(ctx, when, op) == nil {
		p.planner.sched.Ended(ref)
		events.TaskLost.Log(&p.owner.zlog).Str("task", ref.Task).Int("attempt", ref.Attempt).Str("reason", reason).Send()
	}
}

// stillExpired is nil if the hold of the attempt is over; mu is held.
func (o *Owner) stillExpired(ref worker.Ref) error {
	if time.Now().After(o.holds[ref]) {
		return nil
	}
	return ledger.ErrStale
}

// expired returns the placed attempts whose holds are over. Holds are dropped only by afterOp: the state may show an
// end here that is not durable and will be rolled back.
func (o *Owner) expired(now time.Time) []worker.Ref {
	o.mu.Lock()
	defer o.mu.Unlock()
	refs := []worker.Ref{}
	for ref, until := range o.holds {
		_, task := o.state.Task(ref.Task)
		if task != nil && task.State == ledger.TaskPlaced && task.Attempt == ref.Attempt && now.After(until) {
			refs = append(refs, ref)
		}
	}
	return refs
}

// extendHold renews the hold of an attempt that is offered again, and reports whether it may be offered. The lease is
// checked after the agent told its clock: a successor that exists only later waits at least one hold from its takeover,
// so the hold that counts from that clock is over before the successor places the task again.
func (o *Owner) extendHold(ref worker.Ref, hold time.Duration) bool {
	if !o.valid() {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	_, task := o.state.Task(ref.Task)
	if o.lost || task == nil || task.State != ledger.TaskPlaced || task.Attempt != ref.Attempt {
		return false
	}
	o.holds[ref] = time.Now().Add(hold)
	return true
}
