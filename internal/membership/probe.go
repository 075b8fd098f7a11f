package membership

import (
	"context"
	"time"

	"bamboofork/internal/events"
)

// Timing of probes. An exchange serves as the first direct probe; a ping follows before other members probe indirectly.
const (
	callTimeout         = 700 * time.Millisecond // of one call; long enough for links between regions
	probeTimeout        = 2 * callTimeout        // of an indirect probe
	indirectProbers     = 3                      // members that probe indirectly
	minIsolationTimeout = 10 * time.Second       // without a response from any process
)

// Messages of Member.Probe and Member.Ping.
type (
	ProbeArgs  struct{ Addr, ID string }
	ProbeReply struct{ Reached bool }
	PingArgs   struct{ ID string }
	PingReply  struct{ ID string }
)

// Ping responds to a probe.
func (s *Service) Ping(_ PingArgs, reply *PingReply) error {
	reply.ID = s.table.cfg.Self.ID
	return nil
}

// Probe pings a member on behalf of another process.
func (s *Service) Probe(args ProbeArgs, reply *ProbeReply) error {
	reply.Reached = s.table.ping(context.Background(), args.Addr, args.ID)
	return nil
}

// ping reports whether the member with this ID responds at the address. A response from another process that now has the
// address does not count.
func (t *Table) ping(ctx context.Context, addr, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply PingReply
	err := t.pool.Call(ctx, addr, "Member.Ping", PingArgs{ID: t.cfg.Self.ID}, &reply)
	return err == nil && reply.ID == id
}

// verify decides after a failed exchange whether to suspect the member. It pings the member once more and then has other
// members probe it. The member is suspected if none of those that respond reached it, or if there are no others to probe
// it. If none responds, this process itself may be isolated, and nothing changes.
func (t *Table) verify(ctx context.Context, id string, started time.Time) {
	t.mu.Lock()
	e := t.entries[id]
	if e == nil || e.state != StateAlive || e.verifying {
		t.mu.Unlock()
		return
	}
	e.verifying = true
	addr, inc, refutes := e.member.Addr, e.member.Incarnation, e.member.Refutes
	probers := t.proberAddrs(id)
	t.mu.Unlock()
	reached := t.ping(ctx, addr, id)
	responded := 0
	if !reached {
		reached, responded = t.probeIndirectly(ctx, probers, ProbeArgs{Addr: addr, ID: id})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e.verifying = false
	if responded > 0 {
		t.markContact()
	}
	if reached || ctx.Err() != nil || responded == 0 && len(probers) > 0 {
		return
	}
	e = t.entries[id]
	unchanged := e != nil && e.state == StateAlive && e.member.Incarnation == inc && e.member.Refutes == refutes
	if !unchanged || started.Before(t.graceUntil) {
		return
	}
	t.setState(e, StateSuspect, time.Now(), "no response to direct and indirect probes")
	t.markChanged(e, ExtentLoad, true, "")
	t.triggerRound()
}

// proberAddrs returns the addresses of random live members of the scope other than the target.
func (t *Table) proberAddrs(target string) []string {
	out := []string{}
	for _, id := range shuffled(t.scopeIDs()) {
		if id != target && t.entries[id].state == StateAlive && len(out) < indirectProbers {
			out = append(out, t.entries[id].member.Addr)
		}
	}
	return out
}

func (t *Table) probeIndirectly(ctx context.Context, addrs []string, args ProbeArgs) (reached bool, responded int) {
	results := make(chan *ProbeReply, len(addrs))
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for _, addr := range addrs {
		go func() {
			reply := &ProbeReply{}
			if t.pool.Call(ctx, addr, "Member.Probe", args, reply) != nil {
				reply = nil
			}
			results <- reply
		}()
	}
	for range addrs {
		if r := <-results; r != nil {
			responded++
			reached = reached || r.Reached
		}
	}
	return reached, responded
}

// markContact records that another process has responded and ends the isolation of this process.
func (t *Table) markContact() {
	t.lastContact = time.Now()
	reconnected := false
	for _, e := range t.entries {
		reconnected = reconnected || e.hidden
		e.hidden = false
	}
	if reconnected {
		events.ProcessReconnected.Log(&t.log).Send()
	}
}

// isolationTimeout is the time without a response after which this process considers itself isolated.
func (t *Table) isolationTimeout() time.Duration {
	return max(minIsolationTimeout, 2*roundsPerCycle*t.interval())
}

// checkIsolation hides all members once no process has responded for isolationTimeout. The members' states stay unchanged:
// after the connection returns, healthy members must not be reported as dead.
func (t *Table) checkIsolation(now time.Time) {
	if now.Sub(t.lastContact) < t.isolationTimeout() || len(t.scopeIDs()) == 0 {
		return
	}
	events.ProcessIsolated.Log(&t.log).Dur("silent", now.Sub(t.lastContact)).Send() // logged once: hidden members leave the scope
	for _, e := range t.entries {
		e.hidden = true
	}
}

// pauseMinRounds is the number of missed rounds after which this process assumes that it was paused.
const pauseMinRounds = 4

// detectPause detects from the time since the last round that this process was paused or starved of CPU. Timeouts during
// the pause say nothing about other members, so suspicion timeouts start again.
func (t *Table) detectPause(now time.Time) {
	gap := now.Sub(t.lastRound)
	paused := !t.lastRound.IsZero() && gap > pauseMinRounds*t.interval()+callTimeout
	t.lastRound = now
	if !paused {
		return
	}
	events.PauseDetected.Log(&t.log).Dur("gap", gap).Send()
	t.graceUntil = now.Add(probeTimeout)
	t.lastContact = t.lastContact.Add(gap)
	for _, e := range t.entries {
		if e.state == StateSuspect {
			e.stateSince = now
		}
	}
}
