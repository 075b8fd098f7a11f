package partition

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/ledger"
	"bamboofork/internal/wire"
)

// claimStats holds the number of a partition's claims and the size of their bodies as of the last sweep.
type claimStats struct {
	count     atomic.Int64
	bodyBytes atomic.Int64 // total size of the stored response bodies
}

func (s *claimStats) countLimitReached() bool { return s.count.Load() >= maxClaims }
func (s *claimStats) bodyLimitReached() bool  { return s.bodyBytes.Load() >= maxClaimBodyBytes }

// claimResolver queries the agents of the partition's open claims for the outcomes and records them.
type claimResolver struct {
	owner *Owner
	rpc   Caller
}

// Timing and limits of the sweeps, which look for open claims to resolve.
const (
	sweepInterval         = time.Second
	maxConcurrentResolves = 16
	maxResolvesPerSweep   = 128
)

// run resolves open claims periodically until ctx is done.
func (r *claimResolver) run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !r.owner.mayDecide() {
			continue
		}
		r.resolveAll(r.sweep(time.Now()))
	}
}

// sweep returns the open claims older than sweepResolveAge, at most maxResolvesPerSweep, and updates claimStats.
func (r *claimResolver) sweep(now time.Time) (open []ledger.Claim) {
	o := r.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	bodies := 0
	for _, c := range o.state.Claims {
		bodies += len(c.Body)
		if !c.Done && now.Sub(c.At) > sweepResolveAge && len(open) < maxResolvesPerSweep {
			open = append(open, *c)
		}
	}
	o.claimStats.count.Store(int64(len(o.state.Claims)))
	o.claimStats.bodyBytes.Store(int64(bodies))
	return open
}

func (r *claimResolver) resolveAll(open []ledger.Claim) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentResolves)
	for _, c := range open {
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.resolve(c)
			<-slots
		}()
	}
	wg.Wait()
}

// resolve queries the claim's agent for the outcome of the request and records the outcome. If the request has not started,
// the query fences it and resolve releases its key.
func (r *claimResolver) resolve(c ledger.Claim) {
	verdict, result := r.fenceRequest(c)
	op := ledger.Op{Kind: ledger.OpComplete, Claim: &c}
	c.Ended = time.Now()
	switch verdict {
	case wire.VerdictNotStarted:
		op.Kind = ledger.OpRelease
	case wire.VerdictEnded:
		c.Outcome, c.Status, c.Header = string(result.Outcome), result.Status, result.Header
		c.Body, c.Truncated = result.Body, result.Truncated
	case wire.VerdictUnknown:
		c.Outcome = string(wire.OutcomeUnknown)
	default:
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := r.owner.Commit(ctx, op); err != nil {
		return // the entry recorded the outcome first, or the next sweep retries
	}
	ev := events.ClaimResolved
	if verdict == wire.VerdictUnknown {
		ev = events.ClaimUnresolved
	}
	ev.Log(&r.owner.zlog).Str("request", c.RequestID).Int("attempt", c.Attempt).Str("agent", c.Agent).Str("verdict", string(verdict)).Send()
}

// fenceRequest fences the current attempt of a claim at its agent. It returns the agent's verdict and, if the attempt has
// ended, its result. If the agent did not respond, the verdict is wire.VerdictUnknown for a claim older than
// recordUnknownAge, and empty for a younger claim.
func (r *claimResolver) fenceRequest(c ledger.Claim) (wire.Verdict, wire.Result) {
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	var reply wire.FenceReply
	args := wire.FenceArgs{RequestID: wire.AttemptID(c.RequestID, c.Attempt), Incarnation: c.AgentInc, Until: c.Until}
	err := r.rpc.Call(ctx, c.AgentAddr, "Agent.FenceRequest", args, &reply)
	switch {
	case err == nil:
		return reply.Verdict, reply.Result
	case time.Since(c.At) > recordUnknownAge:
		return wire.VerdictUnknown, wire.Result{}
	}
	return "", wire.Result{}
}
