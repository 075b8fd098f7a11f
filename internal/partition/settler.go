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

// claimStats are the sizes of a partition's claims at the last sweep.
type claimStats struct {
	count  atomic.Int64
	bodies atomic.Int64 // bytes
}

func (s *claimStats) full() bool       { return s.count.Load() >= maxClaims }
func (s *claimStats) bodiesFull() bool { return s.bodies.Load() >= maxClaimBodies }

// settler resolves the open claims of a partition.
type settler struct {
	owner *Owner
	pool  Caller
}

// Pace of the sweeps.
const (
	sweepInterval  = time.Second
	settlesAtOnce  = 16
	settlesPerPass = 128
)

// run sweeps until ctx ends.
func (s *settler) run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !s.owner.valid() {
			continue
		}
		s.settleAll(s.sweep(time.Now()))
	}
}

// sweep finds what is due and refreshes the statistics.
func (s *settler) sweep(now time.Time) (open []ledger.Claim) {
	o := s.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	bodies := 0
	for _, c := range o.state.Claims {
		bodies += len(c.Body)
		if !c.Done && now.Sub(c.At) > settleAfter && len(open) < settlesPerPass {
			open = append(open, *c)
		}
	}
	o.claims.count.Store(int64(len(o.state.Claims)))
	o.claims.bodies.Store(int64(bodies))
	return open
}

func (s *settler) settleAll(open []ledger.Claim) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, settlesAtOnce)
	for _, c := range open {
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.settle(c)
			<-slots
		}()
	}
	wg.Wait()
}

// settle asks the claim's agent how the request ended and records it. A request that has not started is fenced there
// and its key is released.
func (s *settler) settle(c ledger.Claim) {
	verdict, result := s.ask(c)
	op := ledger.Op{Kind: ledger.OpComplete, Claim: &c}
	c.Ended = time.Now()
	switch verdict {
	case wire.VerdictNever:
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
	if err := s.owner.Commit(ctx, op); err != nil {
		return // the entry was faster, or the next sweep tries again
	}
	ev := events.ClaimResolved
	if verdict == wire.VerdictUnknown {
		ev = events.ClaimUnresolved
	}
	ev.Log(&s.owner.zlog).Str("request", c.RequestID).Int("attempt", c.Attempt).Str("agent", c.Agent).Str("verdict", string(verdict)).Send()
}

func (s *settler) ask(c ledger.Claim) (wire.Verdict, wire.Result) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	var reply wire.FenceReply
	args := wire.FenceArgs{RequestID: wire.AttemptID(c.RequestID, c.Attempt), Incarnation: c.AgentInc, Until: c.Until}
	err := s.pool.Call(ctx, c.AgentAddr, "Agent.FenceRequest", args, &reply)
	switch {
	case err == nil:
		return reply.Verdict, reply.Result
	case time.Since(c.At) > settleGiveUp:
		return wire.VerdictUnknown, wire.Result{}
	}
	return "", wire.Result{}
}
