package membership

import (
	"context"
	"time"

	"bamboofork/internal/events"
)

// Timing of probes. A failed exchange counts as the first direct probe. The second direct probe is a ping, and then other
// members probe indirectly.
const (
	callTimeout         = 700 * time.Millisecond // timeout of one call; long enough for links between regions
	probeTimeout        = 2 * callTimeout        // timeout of an indirect probe
	indirectProbers     = 3                      // number of members that probe indirectly
	minIsolationTimeout = 10 * time.Second       // minimum of isolationTimeout
)

// Messages of Member.Probe and Member.Ping.
type (
	ProbeArgs  struct{ Addr, ID string }
	ProbeReply struct{ Reached bool }
	PingArgs   struct{ ID string }
	PingReply  struct{ ID string }
)

// Ping handles Member.Ping, a direct probe. It returns the ID of this process.
func (s *Service) Ping(_ PingArgs, reply *PingReply) error {
	reply.ID = s.table.cfg.Self.ID
	return nil
}

// Probe handles Member.Probe: it pings a member on behalf of another process.
func (s *Service) Probe(args ProbeArgs, reply *ProbeReply) error {
	reply.Reached = s.table.ping(context.Background(), args.Addr, args.ID)
	return nil
}

// ping reports whether the member with the ID responds at the address. A response from another process that has taken over the
// address does not count.
func (t *Table) ping(ctx context.Context, addr, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply PingReply
	err := t.rpc.Call(ctx, addr, "Member.Ping", PingArgs{ID: t.cfg.Self.ID}, &reply)
	return err == nil && reply.ID == id
}

// verify decides whether to suspect a member after an exchange that was started at startedAt has failed. It pings the member. If
// the ping fails, other members probe the member. The member is suspected if at least one of these members responds and none of
// them reached the member, or if there are no other members. If other members exist and none of them responds, this process
// itself may be isolated, and nothing changes.
func (t *Table) verify(ctx context.Context, id string, startedAt time.Time) {
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
	if !unchanged || startedAt.Before(t.graceUntil) {
		return
	}
	t.setState(e, StateSuspect, time.Now(), "no response to direct and indirect probes")
	t.markChanged(e, ExtentLoad, true, "")
	t.triggerRound()
}

// proberAddrs returns the addresses of up to indirectProbers random members of the scope that are alive and not the target.
func (t *Table) proberAddrs(target string) []string {
	out := []string{}
	for _, id := range shuffled(t.scopeIDs()) {
		if id != target && t.entries[id].state == StateAlive && len(out) < indirectProbers {
			out = append(out, t.entries[id].member.Addr)
		}
	}
	return out
}

// probeIndirectly has the members at addrs ping the member in args. It returns whether any of them reached the member and how
// many of them responded.
func (t *Table) probeIndirectly(ctx context.Context, addrs []string, args ProbeArgs) (reached bool, responded int) {
	results := make(chan *ProbeReply, len(addrs))
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for _, addr := range addrs {
		go func() {
			reply := &ProbeReply{}
			if t.rpc.Call(ctx, addr, "Member.Probe", args, reply) != nil {
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

// markContact records that another process has responded. It ends the isolation of this process: hidden members reappear.
func (t *Table) markContact() {
	t.lastContactAt = time.Now()
	reconnected := false
	for _, e := range t.entries {
		reconnected = reconnected || e.hidden
		e.hidden = false
	}
	if reconnected {
		events.ProcessReconnected.Log(&t.log).Send()
	}
}

// isolationTimeout returns the time without a response or message from any process after which this process considers itself isolated.
func (t *Table) isolationTimeout() time.Duration {
	return max(minIsolationTimeout, 2*roundsPerCycle*t.interval())
}

// checkIsolation hides all members once no process has responded for isolationTimeout. The states of the members stay unchanged,
// so that healthy members are not reported as dead after the connection returns.
func (t *Table) checkIsolation(now time.Time) {
	if now.Sub(t.lastContactAt) < t.isolationTimeout() || len(t.scopeIDs()) == 0 {
		return
	}
	events.ProcessIsolated.Log(&t.log).Dur("silent", now.Sub(t.lastContactAt)).Send() // logged once: hidden members leave the scope
	for _, e := range t.entries {
		e.hidden = true
	}
}

// pauseMinRounds is the number of missed rounds after which detectPause assumes that this process was paused.
const pauseMinRounds = 4

// detectPause detects, from the time since the last round, that this process was paused or starved of CPU. Timeouts during the
// pause say nothing about other members. Therefore the suspicion timeouts start again, and calls that were started before or
// shortly after the end of the pause raise no suspicion.
func (t *Table) detectPause(now time.Time) {
	gap := now.Sub(t.lastRoundAt)
	paused := !t.lastRoundAt.IsZero() && gap > pauseMinRounds*t.interval()+callTimeout
	t.lastRoundAt = now
	if !paused {
		return
	}
	events.PauseDetected.Log(&t.log).Dur("gap", gap).Send()
	t.graceUntil = now.Add(probeTimeout)
	t.lastContactAt = t.lastContactAt.Add(gap)
	for _, e := range t.entries {
		if e.state == StateSuspect {
			e.stateSince = now
		}
	}
}
