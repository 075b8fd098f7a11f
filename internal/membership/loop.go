package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"bamboofork/internal/app"
)

// Timing of exchange rounds.
const (
	roundsPerCycle        = 6                      // number of rounds in which each link is used once
	urgentRoundDelay      = 100 * time.Millisecond // delay before an urgent round
	reconnectInterval     = 5 * time.Second        // between attempts to reach a seed, a dead member or a stale cell
	joinReconnectInterval = 500 * time.Millisecond // reconnectInterval of a process during its joinPeriod
)

// Run runs exchange rounds until ctx is done. It then announces to the other processes that this process is gone and returns
// nil.
func (t *Table) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	urgent := true
	for {
		t.runRound(ctx, &wg, urgent)
		timer.Reset(t.currentInterval())
		select {
		case <-ctx.Done():
			t.announceGone()
			return nil
		case <-timer.C:
			urgent = false
		case <-t.wake:
			urgent = true
			app.Sleep(ctx, urgentRoundDelay)
		}
	}
}

func (t *Table) currentInterval() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.interval()
}

func (t *Table) interval() time.Duration {
	return t.cfg.RoundInterval
}

// target is a process to exchange with. The ID of a seed or hub is not known; it is left empty.
type target struct{ id, addr string }

// runRound runs the periodic tasks and starts the exchanges that are due, each in a goroutine of wg. It does not wait for the
// exchanges, so that a slow link does not delay others.
func (t *Table) runRound(ctx context.Context, wg *sync.WaitGroup, urgent bool) {
	now := time.Now()
	wantsCandidates := t.wantsCandidates()
	t.mu.Lock()
	t.detectPause(now)
	t.publishLoad(now)
	t.expireMembers(now)
	t.checkIsolation(now)
	t.adjustLevel()
	t.updateSummaries(now)
	t.expireLinks(now)
	targets := t.roundTargets(now, urgent)
	polls := []pollTarget{}
	if wantsCandidates {
		polls = t.duePolls(now)
	}
	notices := t.takeNotices(now)
	isAlone := len(t.entries) == 0 || now.Sub(t.lastContactAt) > t.isolationTimeout()
	t.mu.Unlock()
	for _, tg := range targets {
		wg.Go(func() { t.exchange(ctx, tg) })
	}
	for _, p := range polls {
		wg.Go(func() { t.poll(ctx, p) })
	}
	for _, n := range notices {
		wg.Go(func() { t.notify(ctx, n) })
	}
	if isAlone {
		wg.Go(func() { t.exchangeWithHubs(ctx) })
	}
}

// roundTargets selects the processes to exchange with in this round: all links in an urgent round, else one link in
// roundsPerCycle. The result also contains the processes to reconnect to.
func (t *Table) roundTargets(now time.Time, urgent bool) []target {
	links := t.linkTargets()
	n := len(links)
	if !urgent {
		n = (n + roundsPerCycle - 1) / roundsPerCycle
	}
	out := []target{}
	for i := range n {
		out = append(out, links[(t.nextLinkIndex+i)%len(links)])
	}
	if len(links) > 0 {
		t.nextLinkIndex = (t.nextLinkIndex + n) % len(links)
	}
	return append(out, t.reconnectTargets(now, len(links))...)
}

// linkTargets returns the processes that this process exchanges with regularly. These are its fingers on the ring of the scope
// and the results of ownCellTargets and siblingCellTargets.
func (t *Table) linkTargets() []target {
	out := []target{}
	for _, id := range fingers(t.scopeIDs(), t.self.ID) {
		out = append(out, target{id, t.entries[id].member.Addr})
	}
	return append(append(out, t.ownCellTargets()...), t.siblingCellTargets()...)
}

// reconnectTargets selects up to two dead members or contacts in stale cells, and a seed if one is due. It selects them once per
// reconnectInterval, or in each round while there are no links. Contacting these processes merges partitions of the fleet. The
// argument links is the number of current links.
func (t *Table) reconnectTargets(now time.Time, links int) []target {
	if now.Before(t.nextReconnectAt) && links > 0 {
		return nil
	}
	t.nextReconnectAt = now.Add(reconnectInterval)
	if now.Sub(t.startedAt) < joinPeriod {
		t.nextReconnectAt = now.Add(joinReconnectInterval)
	}
	unreachable := []target{}
	for id, e := range t.entries {
		if e.hidden || e.state == StateDead && !e.member.Gone {
			unreachable = append(unreachable, target{id, e.member.Addr})
		}
	}
	unreachable = append(unreachable, t.staleCellTargets()...)
	out := shuffled(unreachable)[:min(2, len(unreachable))]
	if t.seedDue(now, links) {
		out = append(out, t.seedTarget()...)
	}
	return out
}

// seedTarget returns a random seed that is not a live member, or an empty list if there is none.
func (t *Table) seedTarget() []target {
	for _, seed := range shuffled(append([]string(nil), t.cfg.Seeds...)) {
		if seed != t.self.Addr && !t.knowsAddr(seed) {
			return []target{{addr: seed}}
		}
	}
	return nil
}

// knowsAddr reports whether a live member has the address.
func (t *Table) knowsAddr(addr string) bool {
	for _, e := range t.entries {
		if e.member.Addr == addr && e.isLive() {
			return true
		}
	}
	return false
}

// seedInterval is the time between two calls of a domain representative to a seed while its scope is not the whole fleet.
// Processes whose scope is the whole fleet call a seed every reconnectInterval. All others call a seed only while they have no
// links.
const seedInterval = time.Minute

// seedDue reports whether a seed is to be contacted in this round. For a domain representative that is due, it also records now
// as the time of the contact. The argument links is the number of current links.
func (t *Table) seedDue(now time.Time, links int) bool {
	if links == 0 || t.level == LevelFleet {
		return true
	}
	if rank(t.domainReps(), t.self.ID) < 0 || now.Sub(t.seedContactedAt) < seedInterval {
		return false
	}
	t.seedContactedAt = now
	return true
}

func (t *Table) expireLinks(now time.Time) {
	for id, l := range t.links {
		if now.Sub(l.lastUsedAt) > linkRetention {
			delete(t.links, id)
		}
	}
}

// exchange runs one exchange with a target. If the exchange fails and the ID of the target is known, it verifies the member.
func (t *Table) exchange(ctx context.Context, tg target) {
	startedAt := time.Now()
	args, ok := t.beginExchange(tg)
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply ExchangeReply
	err := t.rpc.Call(callCtx, tg.addr, "Member.Exchange", args, &reply)
	t.finishExchange(tg, &reply, err)
	if err != nil && tg.id != "" && ctx.Err() == nil {
		t.verify(ctx, tg.id, startedAt)
		return
	}
	if err == nil {
		t.reportRevision(reply.Header)
	}
}

// beginExchange builds the message to a target. The result ok is false while an earlier exchange with the same process is in
// progress.
func (t *Table) beginExchange(tg target) (args ExchangeArgs, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if tg.id == "" {
		l := &link{}
		args.Items, args.Summaries, _ = t.pending("", l)
		args.Header = t.header(l)
		args.Base, args.Seq = 0, 0 // a seed's ID is unknown, so nothing can be acknowledged
		return args, true
	}
	l := t.link(tg.id, 0)
	if l.inFlight {
		return args, false
	}
	l.inFlight = true
	items, summaries, seq := t.pending(tg.id, l)
	args = ExchangeArgs{Header: t.header(l), Items: items, Summaries: summaries}
	args.Base, args.Seq = l.ackedSeq, seq
	return args, true
}

// finishExchange merges the reply of a successful exchange and records in the link whether the call failed.
func (t *Table) finishExchange(tg target, reply *ExchangeReply, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[tg.id]; l != nil {
		l.inFlight = false
		l.lastCallFailed = err != nil
	}
	if err != nil {
		return
	}
	l := t.link(reply.ID, reply.Incarnation)
	t.receive(l, reply.Header, reply.Items, reply.Summaries)
	t.compareDigests(l, reply.Header)
}

// announceAttempts is the number of attempts to announce the shutdown of this process or to send a notice.
const announceAttempts = 2

func (t *Table) announceGone() {
	t.Update(func(m *Member) { m.Leaving, m.Gone = true, true })
	for range announceAttempts {
		var wg sync.WaitGroup
		t.mu.Lock()
		targets := t.linkTargets()
		t.mu.Unlock()
		for _, tg := range targets {
			wg.Go(func() { t.exchangeOnce(tg) })
		}
		wg.Wait()
	}
}

// exchangeOnce runs one exchange like exchange, but without verifying the member on failure.
func (t *Table) exchangeOnce(tg target) {
	args, ok := t.beginExchange(tg)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var reply ExchangeReply
	err := t.rpc.Call(ctx, tg.addr, "Member.Exchange", args, &reply)
	t.finishExchange(tg, &reply, err)
}

// Bounds of the exponential backoff between calls of Config.ListHubAddrs.
const (
	minHubsBackoff = 2 * time.Second
	maxHubsBackoff = time.Minute
)

// hubsDue reports whether the backoff has passed since the last call of Config.ListHubAddrs; if so, it starts the next, longer backoff.
func (t *Table) hubsDue() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if now.Sub(t.hubsQueriedAt) < t.hubsBackoff {
		return false
	}
	t.hubsQueriedAt = now
	t.hubsBackoff = min(max(2*t.hubsBackoff, minHubsBackoff)+rand.N(minHubsBackoff), maxHubsBackoff)
	return true
}

// exchangeWithHubs exchanges with the hubs that are registered in the store. The caller calls exchangeWithHubs only while no other
// process responds.
func (t *Table) exchangeWithHubs(ctx context.Context) {
	if t.cfg.ListHubAddrs == nil || !t.hubsDue() {
		return
	}
	for _, addr := range t.cfg.ListHubAddrs(ctx) {
		if addr != t.cfg.Self.Addr {
			t.exchange(ctx, target{addr: addr})
		}
	}
}
