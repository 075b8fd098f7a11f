package membership

import (
	"context"
	"maps"
	"slices"
	"time"
)

// Processes that select agents (entries, partition owners) hold a bounded set of candidate agents from outside their
// scope: half from the racks of their own failure domain, the rest from other failure domains. They subscribe by polling
// representatives. Rendezvous hashing by the subscriber's ID distributes the subscribers over the agents.
const (
	agentsPerCell       = 4
	pollInterval        = 4 * time.Second // between polls of one cell
	pollCheckInterval   = 500 * time.Millisecond
	pollRetryDelay      = 1 * time.Second  // after a failed poll
	subscriberRetention = 4 * pollInterval // since its last poll
	maxSubscribers      = 1024
)

// KnownRecord identifies the version of a record that a subscriber holds.
type KnownRecord struct {
	ID          string
	Incarnation int64
	Refutes     int64
	Version     int64
}

// Messages of Member.Poll and Member.Notify.
type (
	PollArgs struct {
		ID    string
		Addr  string
		Max   int
		Known []KnownRecord // candidates in the polled cell
	}
	PollReply struct {
		Items []Item
		Lost  []string // members in Known that have ended
		Drop  []string // members in Known that are not selected for the subscriber
		Refer *Summary // rack of the cell to poll instead; nil: none
	}
	// NotifyArgs pushes state changes (suspicion, removal, recovery) to subscribers.
	NotifyArgs  struct{ Items []Item }
	NotifyReply struct{}
)

// subscriber is a process that has polled this one for candidates.
type subscriber struct {
	addr     string
	agentIDs map[string]bool // members that the subscriber may hold
	lastPoll time.Time
	lastFull time.Time // last reply with full records
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

// SetWantsCandidates makes this process hold candidates from outside its scope while want returns true.
func (t *Table) SetWantsCandidates(want func() bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.candidatesWanted = want
}

// wantsCandidates reports whether this process needs candidates. The callback belongs to another package, so it is called
// without holding mu.
func (t *Table) wantsCandidates() bool {
	t.mu.Lock()
	want := t.candidatesWanted
	t.mu.Unlock()
	return want != nil && want()
}

// duePolls returns the polls of this round. Each cell is polled once per pollInterval.
func (t *Table) duePolls(now time.Time) []pollTarget {
	if t.level == LevelFleet || now.Before(t.nextPoll) {
		return nil
	}
	t.nextPoll = now.Add(pollCheckInterval)
	out := []pollTarget{}
	for _, cell := range t.candidateCells() {
		c, ok := t.contactOf(t.pollContacts(cell))
		if !ok || now.Sub(t.summaries[cell].lastPoll) < pollInterval {
			continue
		}
		t.summaries[cell].lastPoll = now
		out = append(out, pollTarget{cell: cell, target: target{c.ID, c.Addr}, args: t.pollArgs(cell)})
	}
	return out
}

// pollContacts returns the representatives to poll for a cell: those of the rack that the cell referred this process to,
// or of the cell itself.
func (t *Table) pollContacts(cell string) []Contact {
	if ref, ok := t.referrals[cell]; ok {
		return ref.Reps
	}
	return t.summaries[cell].Reps
}

// candidateCells selects the cells to hold candidates from, nearest first.
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
			args.Known = append(args.Known, KnownRecord{id, m.Incarnation, m.Refutes, m.Version})
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
		s.failedPolls = 0
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
			e.candidateSeen = now
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

// maxFailedPolls is the number of consecutive failed polls of a cell, sent to different representatives where there are
// several, after which its candidates are suspected and get no more work.
const maxFailedPolls = 2

// pollFailed schedules an early poll of the cell's other representative. After maxFailedPolls failures the cell counts as
// unreachable: its candidates are suspected locally, without reports to other processes, until a poll succeeds.
func (t *Table) pollFailed(p pollTarget) {
	delete(t.referrals, p.cell)
	s := t.summaries[p.cell]
	if s == nil {
		return
	}
	s.failedPolls++
	s.lastPoll = time.Now().Add(pollRetryDelay - pollInterval)
	if s.failedPolls < maxFailedPolls {
		return
	}
	now := time.Now()
	for _, k := range p.args.Known {
		if e := t.entries[k.ID]; e != nil && e.state == StateAlive && !t.scope().covers(e.member) {
			t.setState(e, StateSuspect, now, "no representative of its cell responds")
		}
	}
}

// Poll returns the records of the agents selected for the subscriber that it lacks or holds in an older version.
func (s *Service) Poll(args PollArgs, reply *PollReply) error {
	t := s.table
	t.mu.Lock()
	defer t.mu.Unlock()
	chosen := t.agentsFor(args.ID, min(args.Max, maxItems))
	known := map[string]KnownRecord{}
	for _, k := range args.Known {
		known[k.ID] = k
		switch {
		case !t.knowsLive(k.ID) && t.knowsEnded(k.ID):
			reply.Lost = append(reply.Lost, k.ID)
		case !slices.ContainsFunc(chosen, func(it Item) bool { return it.Member.ID == k.ID }):
			reply.Drop = append(reply.Drop, k.ID)
		}
	}
	full := t.fullReplyDue(args.ID)
	for _, it := range chosen {
		k, held := known[it.Member.ID]
		sameIncarnation := held && k.Incarnation == it.Member.Incarnation && k.Refutes == it.Member.Refutes
		upToDate := held && k.Incarnation == it.Member.Incarnation && k.Refutes == it.Member.Refutes && k.Version >= it.Member.Version
		if !upToDate || it.State != StateAlive {
			if sameIncarnation && !full {
				it.Member, it.Extent = it.Member.trim(ExtentLoad), ExtentLoad
			}
			reply.Items = append(reply.Items, it)
		}
	}
	reply.Refer = t.referral(args.ID)
	t.subscribe(args, chosen)
	return nil
}

// fullReplyInterval is the time between replies to one subscriber that include load details and interference pairs.
const fullReplyInterval = 20 * time.Second

func (t *Table) fullReplyDue(subscriberID string) bool {
	sub := t.subscribers[subscriberID]
	if sub == nil || time.Since(sub.lastFull) < fullReplyInterval {
		return sub == nil
	}
	sub.lastFull = time.Now()
	return true
}

// knowsLive reports whether the member is live in this process's view.
func (t *Table) knowsLive(id string) bool {
	e := t.entries[id]
	return id == t.self.ID && !t.self.Gone || e != nil && e.live()
}

// knowsEnded reports whether this process has recorded the member's end, as opposed to never having known it.
func (t *Table) knowsEnded(id string) bool {
	e := t.entries[id]
	return e != nil && e.state == StateDead || id == t.self.ID && t.self.Gone
}

func (t *Table) agentsFor(subscriberID string, n int) []Item {
	items := map[string]Item{}
	if t.self.Role == RoleAgent && !t.self.Leaving {
		items[t.self.ID] = Item{Member: t.published}
	}
	for id, e := range t.entries {
		m := e.member
		if e.live() && m.Role == RoleAgent && !m.Leaving && t.scope().covers(m) && m.Domain == t.self.Domain {
			items[id] = Item{Member: m, State: e.reportedState()}
		}
	}
	out := []Item{}
	for _, id := range topByWeight(subscriberID, slices.Collect(maps.Keys(items)), n) {
		out = append(out, items[id])
	}
	return out
}

// referral selects a rack of this failure domain for the subscriber, so that subscribers are spread over all racks.
func (t *Table) referral(subscriberID string) *Summary {
	if t.level != LevelRack {
		return nil
	}
	cells := []string{t.ownCell()}
	for cell, s := range t.summaries {
		if isRackCell(cell) && cellDomain(cell) == t.self.Domain && cell != t.ownCell() && !s.stale {
			cells = append(cells, cell)
		}
	}
	best := topByWeight(subscriberID, cells, 1)[0]
	if best == t.ownCell() {
		return nil
	}
	return &Summary{Cell: best, Reps: t.summaries[best].Reps}
}

func (t *Table) subscribe(args PollArgs, chosen []Item) {
	sub := t.subscribers[args.ID]
	if sub == nil {
		if len(t.subscribers) >= maxSubscribers {
			return // the subscriber learns of changes only by polling
		}
		sub = &subscriber{lastFull: time.Now()}
		t.subscribers[args.ID] = sub
	}
	sub.addr, sub.lastPoll, sub.agentIDs = args.Addr, time.Now(), map[string]bool{}
	for _, it := range chosen {
		sub.agentIDs[it.Member.ID] = true
	}
	for _, k := range args.Known {
		sub.agentIDs[k.ID] = true
	}
}

// queueNotice queues a state change of a member for the subscribers that hold it.
func (t *Table) queueNotice(e *memberEntry) {
	for _, sub := range t.subscribers {
		if sub.agentIDs[e.member.ID] {
			t.notices = append(t.notices, notice{sub.addr, []Item{{Member: e.member, State: e.state}}})
		}
	}
	if len(t.subscribers) > 0 {
		t.triggerRound()
	}
}

// takeNotices returns and clears the queued notices. It also removes subscribers that have stopped polling.
func (t *Table) takeNotices(now time.Time) []notice {
	for id, sub := range t.subscribers {
		if now.Sub(sub.lastPoll) > subscriberRetention {
			delete(t.subscribers, id)
		}
	}
	out := t.notices
	t.notices = nil
	return out
}

func (t *Table) notify(ctx context.Context, n notice) {
	for range announceAttempts {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := t.pool.Call(callCtx, n.addr, "Member.Notify", NotifyArgs{Items: n.items}, &NotifyReply{})
		cancel()
		if err == nil {
			return
		}
	}
}

// Notify merges state changes that a representative pushes.
func (s *Service) Notify(args NotifyArgs, _ *NotifyReply) error {
	t := s.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mergeItems(args.Items, "notice", true) {
		t.triggerRound()
	}
	return nil
}
