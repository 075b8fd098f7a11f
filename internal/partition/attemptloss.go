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
	unreportedTimeout = 2 * time.Second // the agent is queried about an attempt that it did not report for this long
	queryInterval     = 2 * time.Second // minimum time between two queries to the same agent
	queryTimeout      = 2 * time.Second // limit of one query
)

// queryUnreported queries agents about attempts that they do not report. If the agent was restarted or never received the
// placement, the reply allows a new attempt before the hold expires.
func (p *placer) queryUnreported(ctx context.Context) {
	now := time.Now()
	for agent, refs := range p.owner.unreportedAttempts(now) {
		if now.Sub(p.lastQueriedAt[agent]) < queryInterval {
			continue
		}
		p.lastQueriedAt[agent] = now
		go p.queryAgent(ctx, agent, refs)
	}
}

// unreportedAttempts returns the placed attempts without a report within unreportedTimeout, by agent ID.
func (o *Owner) unreportedAttempts(now time.Time) map[string][]worker.Ref {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string][]worker.Ref{}
	for ref := range o.holdExpiry {
		_, task := o.state.Task(ref.Task)
		if task == nil || task.State != ledger.TaskPlaced || task.Attempt != ref.Attempt {
			continue
		}
		if now.Sub(o.lastReports[ref].at) > unreportedTimeout {
			out[task.Agent] = append(out[task.Agent], ref)
		}
	}
	return out
}

// queryAgent queries one agent about attempts and handles those that the agent does not know. The query also fences unknown
// attempts: the agent refuses their placements from then on.
func (p *placer) queryAgent(ctx context.Context, agent string, refs []worker.Ref) {
	member, ok := p.membership.Lookup(agent)
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var reply wire.QueryReply
	if p.rpc.Call(callCtx, member.Addr, "Agent.Query", wire.QueryArgs{Refs: refs}, &reply) != nil || !reply.Ready {
		return
	}
	for _, ref := range reply.Unknown {
		p.handleUnknownAttempt(ctx, ref, reply)
	}
}

// handleUnknownAttempt returns a task to the queue if its agent does not know the attempt and will never run it. If the agent
// still has the incarnation that the placement was sent to, the attempt never started. If the agent was restarted, the
// attempt may have run.
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

// incarnationOf returns the newest agent incarnation to which the attempt was placed or which reported it. It returns false
// if the attempt is no longer placed.
func (o *Owner) incarnationOf(ref worker.Ref) (int64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, task := o.state.Task(ref.Task)
	if task == nil || task.State != ledger.TaskPlaced || task.Attempt != ref.Attempt {
		return 0, false
	}
	return max(task.AgentInc, o.lastReports[ref].incarnation), true
}

// expireHolds commits the loss of the attempts whose holds have expired. No agent can still be running such an attempt.
func (p *placer) expireHolds(ctx context.Context) {
	for _, ref := range p.owner.expiredHolds(time.Now()) {
		p.commitLost(ctx, ref, "no report before the hold ran out", func() error { return p.owner.checkExpired(ref) })
	}
}

// commitLost commits the loss of an attempt. The precondition, if not nil, is checked when the loss is applied, because a
// report may have renewed the hold in the meantime.
func (p *placer) commitLost(ctx context.Context, ref worker.Ref, reason string, precondition func() error) {
	op := ledger.Op{Kind: ledger.OpLost, Ref: &ref, Reason: reason}
	if p.owner.commitIf(ctx, precondition, op) == nil {
		p.planner.sched.TaskEnded(ref)
		events.TaskLost.Log(&p.owner.zlog).Str("task", ref.Task).Int("attempt", ref.Attempt).Str("reason", reason).Send()
	}
}

// checkExpired returns nil if the hold of the attempt has expired, else ledger.ErrStale. The caller holds mu.
func (o *Owner) checkExpired(ref worker.Ref) error {
	if time.Now().After(o.holdExpiry[ref]) {
		return nil
	}
	return ledger.ErrStale
}

// expiredHolds returns the placed attempts whose holds have expired. It does not remove holds of attempts that ended: an end
// may not be durable yet and may be rolled back, so only afterOp removes holds.
func (o *Owner) expiredHolds(now time.Time) []worker.Ref {
	o.mu.Lock()
	defer o.mu.Unlock()
	refs := []worker.Ref{}
	for ref, until := range o.holdExpiry {
		_, task := o.state.Task(ref.Task)
		if task != nil && task.State == ledger.TaskPlaced && task.Attempt == ref.Attempt && now.After(until) {
			refs = append(refs, ref)
		}
	}
	return refs
}

// extendHold renews the hold of an attempt and reports whether the attempt may be offered again. extendHold checks the lease
// after the agent has reported its clock, and the new hold starts at that clock value. A successor that takes over later
// waits for at least one hold, so the new hold expires before the successor places the task again.
func (o *Owner) extendHold(ref worker.Ref, hold time.Duration) bool {
	if !o.mayDecide() {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	_, task := o.state.Task(ref.Task)
	if o.lost || task == nil || task.State != ledger.TaskPlaced || task.Attempt != ref.Attempt {
		return false
	}
	o.holdExpiry[ref] = time.Now().Add(hold)
	return true
}
