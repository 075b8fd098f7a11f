package partition

import (
	"context"
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/ledger"
	"bamboofork/internal/wire"
	"bamboofork/internal/worker"
)

// Timing of queries to agents about their attempts.
const (
	unreportedAfter = 2 * time.Second // an attempt that was not reported for this long is queried
	queryInterval   = 2 * time.Second // minimum time between two queries of an agent
	queryTimeout    = 2 * time.Second
)

// queryUnreported queries agents about attempts that they do not report. If an agent was restarted or never received
// the placement, its reply allows a new attempt before the hold expires.
func (p *placer) queryUnreported(ctx context.Context) {
	now := time.Now()
	for agent, refs := range p.owner.unreported(now) {
		if now.Sub(p.lastQueried[agent]) < queryInterval {
			continue
		}
		p.lastQueried[agent] = now
		go p.queryAgent(ctx, agent, refs)
	}
}

// unreported returns the placed attempts without a recent report, by agent.
func (o *Owner) unreported(now time.Time) map[string][]worker.Ref {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string][]worker.Ref{}
	for ref := range o.holds {
		_, task := o.state.Task(ref.Task)
		if task == nil || task.State != ledger.TaskPlaced || task.Attempt != ref.Attempt {
			continue
		}
		if now.Sub(o.lastReports[ref].at) > unreportedAfter {
			out[task.Agent] = append(out[task.Agent], ref)
		}
	}
	return out
}

// queryAgent queries one agent about attempts. The query also fences the attempts that the agent does not know.
func (p *placer) queryAgent(ctx context.Context, agent string, refs []worker.Ref) {
	member, ok := p.membership.Lookup(agent)
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
		p.handleUnknownAttempt(ctx, ref, reply)
	}
}

// handleUnknownAttempt returns an attempt to the queue that its agent neither runs nor will run. If the agent still has
// the incarnation that the placement was sent to, the attempt never started; if it was restarted, the attempt may have run.
func (p *placer) handleUnknownAttempt(ctx context.Context, ref worker.Ref, reply wire.QueryReply) {
	incarnation, ok := p.owner.incarnationOf(ref)
	switch {
	case !ok || reply.Incarnation < incarnation:
		return
	case reply.Incarnation == incarnation:
		p.planner.sched.TaskRefused(ref, nil)
		p.commitRefusal(ctx, ledger.Op{Ref: &ref}, "the placement never reached the agent")
	case reply.Settled:
		p.commitLost(ctx, ref, "the agent came back without the task", nil)
	}
}

// incarnationOf returns the newest agent incarnation that is known to have had the attempt.
func (o *Owner) incarnationOf(ref worker.Ref) (int64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, task := o.state.Task(ref.Task)
	if task == nil || task.State != ledger.TaskPlaced || task.Attempt != ref.Attempt {
		return 0, false
	}
	return max(task.AgentInc, o.lastReports[ref].incarnation), true
}

// expireHolds returns tasks to the queue whose holds have expired, so that no agent can be running them.
func (p *placer) expireHolds(ctx context.Context) {
	for _, ref := range p.owner.expiredHolds(time.Now()) {
		p.commitLost(ctx, ref, "no report before the hold ran out", func() error { return p.owner.checkExpired(ref) })
	}
}

// commitLost commits the loss of an attempt. The precondition is checked together with the operation, because a report
// may have renewed the hold in the meantime.
func (p *placer) commitLost(ctx context.Context, ref worker.Ref, reason string, precondition func() error) {
	op := ledger.Op{Kind: ledger.OpLost, Ref: &ref, Reason: reason}
	if p.owner.commitIf(ctx, precondition, op) == nil {
		p.planner.sched.TaskEnded(ref)
		events.TaskLost.Log(&p.owner.zlog).Str("task", ref.Task).Int("attempt", ref.Attempt).Str("reason", reason).Send()
	}
}

// checkExpired returns nil if the hold of the attempt has expired, else ledger.ErrStale. The caller holds mu.
func (o *Owner) checkExpired(ref worker.Ref) error {
	if time.Now().After(o.holds[ref]) {
		return nil
	}
	return ledger.ErrStale
}

// expiredHolds returns the placed attempts whose holds have expired. Holds are removed only by afterOp, because the state
// may contain the end of an attempt that is not durable yet and will be rolled back.
func (o *Owner) expiredHolds(now time.Time) []worker.Ref {
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
// checked after the agent has reported its clock: a successor that takes over later waits for at least one hold, so a
// hold that starts at that clock value expires before the successor places the task again.
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
