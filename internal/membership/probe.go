package membership

import (
	"context"
	"time"

	"bamboofork/internal/events"
)

// Probing. An exchange is the direct probe; it is tried twice before others are asked.
const (
	callTimeout   = 700 * time.Millisecond // of one exchange; covers a link between regions
	probeTimeout  = 2 * callTimeout        // of an indirect probe
	helpers       = 3                      // members asked to probe indirectly
	isolatedAfter = 10 * time.Second       // without any answer
)

// Messages of probes.
type (
	ProbeArgs  struct{ Addr, ID string }
	ProbeReply struct{ Reached bool }
	PingArgs   struct{ ID string }
	PingReply  struct{ ID string }
)

// Ping answers a probe.
func (s *Service) Ping(_ PingArgs, reply *PingReply) error {
	reply.ID = s.table.cfg.Self.ID
	return nil
}

// Probe reaches a member on behalf of another process.
func (s *Service) Probe(args ProbeArgs, reply *ProbeReply) error {
	reply.Reached = s.table.ping(context.Background(), args.Addr, args.ID)
	return nil
}

// ping reports whether the member itself answers at the address; another process that took the address over does not
// count.
func (t *Table) ping(ctx context.Context, addr, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply PingReply
	err := t.pool.Call(ctx, addr, "Member.Ping", PingArgs{ID: t.cfg.Self.ID}, &reply)
	return err == nil && reply.ID == id
}

// verify decides after a failed exchange whether the member is suspected: when a helper that answers did not reach it
// either, or when there is nobody to ask. If no helper answers, this process may be the one that is cut off.
func (t *Table) verify(ctx context.Context, id string, begun time.Time) {
	t.mu.Lock()
	e := t.entries[id]
	if e == nil || e.state != StateAlive || e.verifying {
		t.mu.Unlock()
		return
	}
	e.verifying = true
	addr, inc, refutes := e.member.Addr, e.member.Incarnation, e.member.Refutes
	ask := t.helperAddrs(id)
	t.mu.Unlock()
	well := t.ping(ctx, addr, id)
	answered := 0
	if !well {
		well, answered = t.askHelpers(ctx, ask, ProbeArgs{Addr: addr, ID: id})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e.verifying = false
	if answered > 0 {
		t.contact()
	}
	if well || ctx.Err() != nil || answered == 0 && len(ask) > 0 {
		return
	}
	e = t.entries[id]
	same := e != nil && e.state == StateAlive && e.member.Incarnation == inc && e.member.Refutes == refutes
	if !same || begun.Before(t.quietUntil) {
		return
	}
	t.setState(e, StateSuspect, time.Now(), "no answer to direct and indirect probes")
	t.noteChange(e, ExtentLoad, true, "")
	t.kick()
}

// helperAddrs returns other live members of the scope in random order.
func (t *Table) helperAddrs(target string) []string {
	out := []string{}
	for _, id := range shuffled(t.scopeIDs()) {
		if id != target && t.entries[id].state == StateAlive && len(out) < helpers {
			out = append(out, t.entries[id].member.Addr)
		}
	}
	return out
}

func (t *Table) askHelpers(ctx context.Context, addrs []string, args ProbeArgs) (reached bool, answered int) {
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
			answered++
			reached = reached || r.Reached
		}
	}
	return reached, answered
}

// contact notes that another process answered. What this process believed while it was isolated is dropped.
func (t *Table) contact() {
	t.lastContact = time.Now()
	freed := false
	for _, e := range t.entries {
		freed = freed || e.private
		e.private = false
	}
	if freed {
		events.ProcessReconnect.Log(&t.log).Send()
	}
}

// isolation is the time without any answer after which this process is taken to be cut off.
func (t *Table) isolation() time.Duration {
	return max(isolatedAfter, 2*roundsPerCycle*t.interval())
}

// checkIsolation hides all members while nobody has answered for a long time. The belief is private: after the link
// returns it must not end the membership of processes that were well all the time.
func (t *Table) checkIsolation(now time.Time) {
	if now.Sub(t.lastContact) < t.isolation() || len(t.scopeIDs()) == 0 {
		return
	}
	events.ProcessIsolated.Log(&t.log).Dur("silent", now.Sub(t.lastContact)).Send() // the scope is empty from now on
	for _, e := range t.entries {
		e.private = true
	}
}

// pausedAfter is the number of missed rounds that show that this process did not run.
const pausedAfter = 4

// detectPause notices from its own clock that this process was paused or starved. Timers that ran out during the pause
// say nothing about others, so suspicions begin anew.
func (t *Table) detectPause(now time.Time) {
	gap := now.Sub(t.lastRound)
	paused := !t.lastRound.IsZero() && gap > pausedAfter*t.interval()+callTimeout
	t.lastRound = now
	if !paused {
		return
	}
	events.PauseDetected.Log(&t.log).Dur("gap", gap).Send()
	t.quietUntil = now.Add(probeTimeout)
	t.lastContact = t.lastContact.Add(gap)
	for _, e := range t.entries {
		if e.state == StateSuspect {
			e.since = now
		}
	}
}
