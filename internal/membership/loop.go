package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"bamboofork/internal/app"
)

// Shape of the rounds.
const (
	roundsPerCycle = 6                      // rounds until each link was used once
	kickGap        = 100 * time.Millisecond // urgent rounds are at least this far apart
	lostRetry      = 5 * time.Second        // between tries to reach a seed, a dead member or a stale cell
	joinRetry      = 500 * time.Millisecond // the same during joinTime
)

// Run exchanges with the links until ctx ends, then announces that the process is gone.
func (t *Table) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	urgent := true
	for {
		t.round(ctx, &wg, urgent)
		timer.Reset(t.currentInterval())
		select {
		case <-ctx.Done():
			t.announceGone()
			return nil
		case <-timer.C:
			urgent = false
		case <-t.wake:
			urgent = true
			app.Sleep(ctx, kickGap)
		}
	}
}

func (t *Table) currentInterval() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.interval()
}

func (t *Table) interval() time.Duration {
	return t.cfg.Interval
}

// target is a process to exchange with; id is empty for a seed.
type target struct{ id, addr string }

// round does what is due and starts the exchanges; it does not wait for them, so that one slow link delays no other.
func (t *Table) round(ctx context.Context, wg *sync.WaitGroup, urgent bool) {
	now := time.Now()
	chooses := t.chooses()
	t.mu.Lock()
	t.detectPause(now)
	t.publishLoad(now)
	t.expire(now)
	t.checkIsolation(now)
	t.adjustLevel()
	t.summarise(now)
	t.forgetLinks(now)
	targets := t.targets(now, urgent)
	polls := []pollTarget{}
	if chooses {
		polls = t.duePolls(now)
	}
	notices := t.takeNotices(now)
	alone := len(t.entries) == 0 || now.Sub(t.lastContact) > t.isolation()
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
	if alone {
		wg.Go(func() { t.askHubs(ctx) })
	}
}

// targets chooses the links of this round: all of them in an urgent one, else a share.
func (t *Table) targets(now time.Time, urgent bool) []target {
	links := t.linkTargets()
	n := len(links)
	if !urgent {
		n = (n + roundsPerCycle - 1) / roundsPerCycle
	}
	out := []target{}
	for i := range n {
		out = append(out, links[(t.next+i)%len(links)])
	}
	if len(links) > 0 {
		t.next = (t.next + n) % len(links)
	}
	return append(out, t.lostTargets(now, len(links))...)
}

// linkTargets returns the fingers in the scope's ring and, for representatives, those among the other cells.
func (t *Table) linkTargets() []target {
	out := []target{}
	for _, id := range fingers(t.scopeIDs(), t.self.ID) {
		out = append(out, target{id, t.entries[id].member.Addr})
	}
	return append(append(out, t.homeTargets()...), t.cellTargets()...)
}

// lostTargets retries one seed, dead member or stale cell now and then, which joins processes and regions that lost
// each other.
func (t *Table) lostTargets(now time.Time, links int) []target {
	if now.Before(t.nextLost) && links > 0 {
		return nil
	}
	t.nextLost = now.Add(lostRetry)
	if now.Sub(t.joined) < joinTime {
		t.nextLost = now.Add(joinRetry)
	}
	lost := []target{}
	for id, e := range t.entries {
		if e.private || e.state == StateDead && !e.member.Gone {
			lost = append(lost, target{id, e.member.Addr})
		}
	}
	lost = append(lost, t.staleCells()...)
	out := shuffled(lost)[:min(2, len(lost))]
	if t.asksSeeds(now, links) {
		out = append(out, t.seedTarget()...)
	}
	return out
}

// seedTarget returns one of the seeds that are not members already.
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
		if e.member.Addr == addr && e.live() {
			return true
		}
	}
	return false
}

// seedRetry is the time between a domain representative's calls to a seed in a fleet of several cells. Members of a
// small fleet call at each lostRetry, other members only while they have no links.
const seedRetry = time.Minute

func (t *Table) asksSeeds(now time.Time, links int) bool {
	if links == 0 || t.level == LevelFleet {
		return true
	}
	if rank(t.domainReps(), t.self.ID) < 0 || now.Sub(t.seedAsked) < seedRetry {
		return false
	}
	t.seedAsked = now
	return true
}

func (t *Table) forgetLinks(now time.Time) {
	for id, l := range t.links {
		if now.Sub(l.used) > linkKept {
			delete(t.links, id)
		}
	}
}

// exchange runs one exchange and probes the member indirectly if it fails.
func (t *Table) exchange(ctx context.Context, tg target) {
	begun := time.Now()
	args, ok := t.begin(tg)
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply ExchangeReply
	err := t.pool.Call(callCtx, tg.addr, "Member.Exchange", args, &reply)
	t.finish(tg, &reply, err)
	if err != nil && tg.id != "" && ctx.Err() == nil {
		t.verify(ctx, tg.id, begun)
		return
	}
	if err == nil {
		t.hear(reply.Header)
	}
}

// begin builds the message; ok is false while an earlier exchange with the same process is under way.
func (t *Table) begin(tg target) (args ExchangeArgs, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if tg.id == "" {
		l := &link{}
		args.Items, args.Summaries, _ = t.pending("", l)
		args.Header = t.header(l)
		args.Base, args.Seq = 0, 0 // a seed's identity is not known yet, so nothing can be acknowledged
		return args, true
	}
	l := t.link(tg.id, 0)
	if l.busy {
		return args, false
	}
	l.busy = true
	items, sums, seq := t.pending(tg.id, l)
	args = ExchangeArgs{Header: t.header(l), Items: items, Summaries: sums}
	args.Base, args.Seq = l.acked, seq
	return args, true
}

func (t *Table) finish(tg target, reply *ExchangeReply, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[tg.id]; l != nil {
		l.busy = false
		l.failing = err != nil
	}
	if err != nil {
		return
	}
	l := t.link(reply.ID, reply.Incarnation)
	t.receive(l, reply.Header, reply.Items, reply.Summaries)
	t.compareDigests(l, reply.Header)
}

// announceTries bounds the announcement of a process that ends.
const announceTries = 2

func (t *Table) announceGone() {
	t.Update(func(m *Member) { m.Leaving, m.Gone = true, true })
	for range announceTries {
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

// exchangeOnce sends the pending changes without probing on failure.
func (t *Table) exchangeOnce(tg target) {
	args, ok := t.begin(tg)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var reply ExchangeReply
	err := t.pool.Call(ctx, tg.addr, "Member.Exchange", args, &reply)
	t.finish(tg, &reply, err)
}

// Wait between two calls of Hubs; it doubles up to the larger one.
const (
	minHubsWait = 2 * time.Second
	maxHubsWait = time.Minute
)

func (t *Table) hubsDue() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if now.Sub(t.hubsAsked) < t.hubsWait {
		return false
	}
	t.hubsAsked = now
	t.hubsWait = min(max(2*t.hubsWait, minHubsWait)+rand.N(minHubsWait), maxHubsWait)
	return true
}

// askHubs looks for hubs in the store while no process answers.
func (t *Table) askHubs(ctx context.Context) {
	if t.cfg.Hubs == nil || !t.hubsDue() {
		return
	}
	for _, addr := range t.cfg.Hubs(ctx) {
		if addr != t.cfg.Self.Addr {
			t.exchange(ctx, target{addr: addr})
		}
	}
}
