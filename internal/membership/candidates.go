package membership

import (
	"context"
	"maps"
	"slices"
	"time"
)

// Choosing processes (entries, partition owners) hold a bounded set of agents from outside their scope: the nearer half
// from the racks of their own failure domain, the rest spread over other failure domains. Rendezvous hashing by the
// chooser's id spreads the choosers over the agents.
const (
	agentsPerCell  = 4
	pollGap        = 4 * time.Second // between two polls of one cell
	pollTick       = 500 * time.Millisecond
	pollRetry      = 1 * time.Second // after a poll without an answer
	subscriberKept = 4 * pollGap
	maxSubscribers = 1024
)

// Known is a record that a chooser holds.
type Known struct {
	ID          string
	Incarnation int64
	Refutes     int64
	Version     int64
}

// Messages of a poll.
type (
	PollArgs struct {
		ID    string
		Addr  string
		Max   int
		Known []Known // of this cell
	}
	PollReply struct {
		Items []Item
		Lost  []string // held by the caller and no longer live here
		Drop  []string // held by the caller and not chosen for it
		Refer *Summary // a rack of the cell that has more agents; nil: none
	}
	// NotifyArgs pushes urgent changes to choosers: leaving, suspicion, removal.
	NotifyArgs  struct{ Items []Item }
	NotifyReply struct{}
)

// subscriber is a chooser that polled this process.
type subscriber struct {
	addr   string
	served map[string]bool
	polled time.Time
	whole  time.Time // last answer with whole records
}

type notice struct {
	addr  string
	items []Item
}

type pollTarget struct {
	cell string
	target
	args PollArgs
}

// SetInterest makes this process hold candidates from outside its scope while want reports true.
func (t *Table) SetInterest(want func() bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.interested = want
}

// chooses asks whether candidates are wanted. The question goes to other packages, so the lock is not held.
func (t *Table) chooses() bool {
	t.mu.Lock()
	want := t.interested
	t.mu.Unlock()
	return want != nil && want()
}

// duePolls returns the polls of this round. Each cell is polled once per pollGap.
func (t *Table) duePolls(now time.Time) []pollTarget {
	if t.level == LevelFleet || now.Before(t.nextPoll) {
		return nil
	}
	t.nextPoll = now.Add(pollTick)
	out := []pollTarget{}
	for _, cell := range t.candidateCells() {
		c, ok := t.contactOf(t.cellReps(cell))
		if !ok || now.Sub(t.summaries[cell].polled) < pollGap {
			continue
		}
		t.summaries[cell].polled = now
		out = append(out, pollTarget{cell: cell, target: target{c.ID, c.Addr}, args: t.pollArgs(cell)})
	}
	return out
}

// cellReps returns whom to poll: a rack of a domain that this process was referred to, or the cell itself.
func (t *Table) cellReps(cell string) []Contact {
	if ref, ok := t.referrals[cell]; ok {
		return ref.Reps
	}
	return t.summaries[cell].Reps
}

// candidateCells chooses the cells to hold candidates from, nearest first.
func (t *Table) candidateCells() []string {
	near, far := []string{}, []string{}
	for cell, s := range t.summaries {
		switch {
		case s.stale || cell == t.ownCell() || cell == domainCell(t.self.Domain):
		case isRackCell(cell):
			near = append(near, cell)
		default:
			far = append(far, cell)
		}
	}
	cells := max(1, t.cfg.Candidates/agentsPerCell)
	out := topByWeight(t.self.ID, near, cells/2)
	return append(out, t.sameRegionFirst(topByWeight(t.self.ID, far, len(far)))[:min(cells-len(out), len(far))]...)
}

func (t *Table) sameRegionFirst(cells []string) []string {
	slices.SortStableFunc(cells, func(a, b string) int {
		return t.regionDistance(a) - t.regionDistance(b)
	})
	return cells
}

func (t *Table) regionDistance(cell string) int {
	if t.summaries[cell].Region == t.self.Region {
		return 0
	}
	return 1
}

func (t *Table) pollArgs(cell string) PollArgs {
	args := PollArgs{ID: t.self.ID, Addr: t.self.Addr, Max: agentsPerCell}
	for id, e := range t.entries {
		m := e.member
		if !t.scope().covers(m) && (cell == m.Domain || cell == rackCell(m.Domain, m.Rack)) && e.live() {
			args.Known = append(args.Known, Known{id, m.Incarnation, m.Refutes, m.Version})
		}
	}
	return args
}

func (t *Table) poll(ctx context.Context, p pollTarget) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply PollReply
	err := t.pool.Call(ctx, p.addr, "Member.Poll", p.args, &reply)
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.link(p.id, 0); err != nil {
		l.failing = true
		t.pollFailed(p)
		return
	}
	if s := t.summaries[p.cell]; s != nil {
		s.failed = 0
	}
	t.mergeItems(reply.Items, p.id, true)
	now := time.Now()
	for _, k := range p.args.Known {
		e := t.entries[k.ID]
		if e == nil {
			continue
		}
		switch {
		case slices.Contains(reply.Lost, k.ID):
			t.setState(e, StateDead, now, "reported by its representative")
		case slices.Contains(reply.Drop, k.ID):
			delete(t.entries, k.ID)
		default:
			e.candidate = now
			suspected := slices.ContainsFunc(reply.Items, func(it Item) bool { return it.Member.ID == k.ID })
			if e.state == StateSuspect && !suspected {
				t.setState(e, StateAlive, now, "")
			}
		}
	}
	if reply.Refer != nil {
		t.referrals[p.cell] = *reply.Refer
	}
}

// cellLostAfter is the number of polls in a row, to different representatives where there are several, after which the
// candidates of a cell get no more work.
const cellLostAfter = 2

// pollFailed tries the cell's other representative soon. A cell of which none answers is taken for lost: its candidates
// are suspected here, without telling others, until a poll is answered.
func (t *Table) pollFailed(p pollTarget) {
	delete(t.referrals, p.cell)
	s := t.summaries[p.cell]
	if s == nil {
		return
	}
	s.failed++
	s.polled = time.Now().Add(pollRetry - pollGap)
	if s.failed < cellLostAfter {
		return
	}
	now := time.Now()
	for _, k := range p.args.Known {
		if e := t.entries[k.ID]; e != nil && e.state == StateAlive && !t.scope().covers(e.member) {
			t.setState(e, StateSuspect, now, "no representative of its cell answers")
		}
	}
}

// Poll serves a chooser: the records of this cell's agents chosen for it that it lacks or holds in an older version.
func (s *Service) Poll(args PollArgs, reply *PollReply) error {
	t := s.table
	t.mu.Lock()
	defer t.mu.Unlock()
	chosen := t.agentsFor(args.ID, min(args.Max, maxItems))
	known := map[string]Known{}
	for _, k := range args.Known {
		known[k.ID] = k
		switch {
		case !t.holds(k.ID) && t.couldHold(k.ID):
			reply.Lost = append(reply.Lost, k.ID)
		case !slices.ContainsFunc(chosen, func(it Item) bool { return it.Member.ID == k.ID }):
			reply.Drop = append(reply.Drop, k.ID)
		}
	}
	whole := t.wholeDue(args.ID)
	for _, it := range chosen {
		k, held := known[it.Member.ID]
		sameLife := held && k.Incarnation == it.Member.Incarnation && k.Refutes == it.Member.Refutes
		same := held && k.Incarnation == it.Member.Incarnation && k.Refutes == it.Member.Refutes && k.Version >= it.Member.Version
		if !same || it.State != StateAlive {
			if sameLife && !whole {
				it.Member, it.Extent = it.Member.brief(ExtentLoad), ExtentLoad
			}
			reply.Items = append(reply.Items, it)
		}
	}
	reply.Refer = t.referral(args.ID)
	t.subscribe(args, chosen)
	return nil
}

// wholeGap is the time between two answers to one chooser with the details of load reports and the learned pairs.
const wholeGap = 20 * time.Second

func (t *Table) wholeDue(chooser string) bool {
	sub := t.subscribers[chooser]
	if sub == nil || time.Since(sub.whole) < wholeGap {
		return sub == nil
	}
	sub.whole = time.Now()
	return true
}

// holds reports whether the member is live here.
func (t *Table) holds(id string) bool {
	e := t.entries[id]
	return id == t.self.ID && !t.self.Gone || e != nil && e.live()
}

// couldHold reports whether this process has seen the member end, so that its absence is no proof of ignorance.
func (t *Table) couldHold(id string) bool {
	e := t.entries[id]
	return e != nil && e.state == StateDead || id == t.self.ID && t.self.Gone
}

func (t *Table) agentsFor(chooser string, n int) []Item {
	items := map[string]Item{}
	if t.self.Role == RoleAgent && !t.self.Leaving {
		items[t.self.ID] = Item{Member: t.published}
	}
	for id, e := range t.entries {
		m := e.member
		if e.live() && m.Role == RoleAgent && !m.Leaving && t.scope().covers(m) && m.Domain == t.self.Domain {
			items[id] = Item{Member: m, State: e.reported()}
		}
	}
	out := []Item{}
	for _, id := range topByWeight(chooser, slices.Collect(maps.Keys(items)), n) {
		out = append(out, items[id])
	}
	return out
}

// referral names a rack of this failure domain for the chooser, so that choosers spread over all racks.
func (t *Table) referral(chooser string) *Summary {
	if t.level != LevelRack {
		return nil
	}
	cells := []string{t.ownCell()}
	for cell, s := range t.summaries {
		if isRackCell(cell) && cellDomain(cell) == t.self.Domain && cell != t.ownCell() && !s.stale {
			cells = append(cells, cell)
		}
	}
	best := topByWeight(chooser, cells, 1)[0]
	if best == t.ownCell() {
		return nil
	}
	return &Summary{Cell: best, Reps: t.summaries[best].Reps}
}

func (t *Table) subscribe(args PollArgs, chosen []Item) {
	sub := t.subscribers[args.ID]
	if sub == nil {
		if len(t.subscribers) >= maxSubscribers {
			return // the chooser hears by its polls only
		}
		sub = &subscriber{whole: time.Now()}
		t.subscribers[args.ID] = sub
	}
	sub.addr, sub.polled, sub.served = args.Addr, time.Now(), map[string]bool{}
	for _, it := range chosen {
		sub.served[it.Member.ID] = true
	}
	for _, k := range args.Known {
		sub.served[k.ID] = true
	}
}

// notifyLater queues an urgent change of a member for the choosers that hold it.
func (t *Table) notifyLater(e *entry) {
	for _, sub := range t.subscribers {
		if sub.served[e.member.ID] {
			t.notices = append(t.notices, notice{sub.addr, []Item{{Member: e.member, State: e.state}}})
		}
	}
	if len(t.subscribers) > 0 {
		t.kick()
	}
}

func (t *Table) takeNotices(now time.Time) []notice {
	for id, sub := range t.subscribers {
		if now.Sub(sub.polled) > subscriberKept {
			delete(t.subscribers, id)
		}
	}
	out := t.notices
	t.notices = nil
	return out
}

func (t *Table) notify(ctx context.Context, n notice) {
	for range announceTries {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := t.pool.Call(callCtx, n.addr, "Member.Notify", NotifyArgs{Items: n.items}, &NotifyReply{})
		cancel()
		if err == nil {
			return
		}
	}
}

// Notify takes pushed changes of members that this process holds.
func (s *Service) Notify(args NotifyArgs, _ *NotifyReply) error {
	t := s.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mergeItems(args.Items, "notice", true) {
		t.kick()
	}
	return nil
}
