package membership

import (
	"context"
	"maps"
	"slices"
	"time"
)

// Processes that select agents (entries, partition owners) hold a bounded set of agents from outside their scope, the candidates.
// Up to half of the cells they come from are racks of the own failure domain, the rest are other failure domains. A process
// becomes a subscriber of a representative by polling it. Rendezvous hashing by the subscriber's ID distributes the subscribers
// over the agents.
const (
	agentsPerCell       = 4                      // maximum number of candidates from one cell
	pollInterval        = 4 * time.Second        // between polls of one cell
	pollCheckInterval   = 500 * time.Millisecond // between checks for due polls
	pollRetryDelay      = 1 * time.Second        // from a failed poll to the next poll of the cell
	subscriberRetention = 4 * pollInterval       // from the last poll of a subscriber to its removal
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
		Max   int           // maximum number of agents in the reply
		Known []KnownRecord // candidates in the polled cell
	}
	PollReply struct {
		Items []Item
		Lost  []string // members in Known that are dead or have shut down
		Drop  []string // members in Known that are not selected for the subscriber
		Refer *Summary // summary of the rack to poll instead of the cell; nil: none
	}
	// NotifyArgs contains state changes (suspicion, removal, recovery) of members for a subscriber.
	NotifyArgs  struct{ Items []Item }
	NotifyReply struct{}
)

// subscriber is a process that has polled this one for candidates.
type subscriber struct {
	addr       string
	agentIDs   map[string]bool // members that the subscriber may hold
	lastPollAt time.Time
	lastFullAt time.Time // when the last reply with full records was sent
}

// notice is a message with state changes for the subscriber at addr.
type notice struct {
	addr  string
	items []Item
}

// pollTarget is a poll of a cell: the representative to call and the arguments of the call.
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

// duePolls returns the polls to send in this round. Each cell from which candidates are held is polled once per pollInterval.
func (t *Table) duePolls(now time.Time) []pollTarget {
	if t.level == LevelFleet || now.Before(t.nextPollCheckAt) {
		return nil
	}
	t.nextPollCheckAt = now.Add(pollCheckInterval)
	out := []pollTarget{}
	for _, cell := range t.candidateCells() {
		c, ok := t.chooseContact(t.pollContacts(cell))
		if !ok || now.Sub(t.summaries[cell].lastPollAt) < pollInterval {
			continue
		}
		t.summaries[cell].lastPollAt = now
		out = append(out, pollTarget{cell: cell, target: target{c.ID, c.Addr}, args: t.pollArgs(cell)})
	}
	return out
}

// pollContacts returns the representatives to poll for a cell. If a poll of the cell referred this process to a rack, these are
// the representatives of that rack, else of the cell itself.
func (t *Table) pollContacts(cell string) []Contact {
	if ref, ok := t.referrals[cell]; ok {
		return ref.Reps
	}
	return t.summaries[cell].Reps
}

// candidateCells selects the cells from which to hold candidates. Racks of the own failure domain come first, then failure
// domains in the same region, then the other failure domains.
func (t *Table) candidateCells() []string {
	racks, domains := []string{}, []string{}
	for cell, s := range t.summaries {
		switch {
		case s.stale || cell == t.ownCell() || cell == domainCell(t.self.Domain):
		case isRackCell(cell):
			racks = append(racks, cell)
		default:
			domains = append(domains, cell)
		}
	}
	maxCells := max(1, t.cfg.MaxCandidates/agentsPerCell)
	out := topByWeight(t.self.ID, racks, maxCells/2)
	return append(out, t.sameRegionFirst(topByWeight(t.self.ID, domains, len(domains)))[:min(maxCells-len(out), len(domains))]...)
}

// sameRegionFirst moves the cells in this process's region to the front of the slice and returns the slice.
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
		if !t.scope().covers(m) && (cell == m.Domain || cell == rackCell(m.Domain, m.Rack)) && e.isLive() {
			args.Known = append(args.Known, KnownRecord{id, m.Incarnation, m.Refutes, m.Version})
		}
	}
	return args
}

// poll polls a representative for candidates, merges the reply and drops the candidates that are no longer selected.
func (t *Table) poll(ctx context.Context, p pollTarget) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply PollReply
	err := t.rpc.Call(ctx, p.addr, "Member.Poll", p.args, &reply)
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.link(p.id, 0); err != nil {
		l.lastCallFailed = true
		t.handleFailedPoll(p)
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
			e.candidateSeenAt = now
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

// maxFailedPolls is the number of consecutive failed polls of a cell after which the candidates in the cell are suspected and get
// no more work. If the cell has several representatives, the polls are sent to different ones.
const maxFailedPolls = 2

// handleFailedPoll schedules the next poll of the cell after pollRetryDelay, at another representative if there is one. After
// maxFailedPolls consecutive failures the cell counts as unreachable. The candidates in the cell are then suspected until a poll
// succeeds. The suspicion stays local: it is not reported to other processes.
func (t *Table) handleFailedPoll(p pollTarget) {
	delete(t.referrals, p.cell)
	s := t.summaries[p.cell]
	if s == nil {
		return
	}
	s.failedPolls++
	s.lastPollAt = time.Now().Add(pollRetryDelay - pollInterval)
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

// Poll handles Member.Poll. It selects agents for the subscriber and returns the records that the subscriber lacks or holds in
// an older version, and the records of suspected agents. The subscriber is notified of later state changes.
func (s *Service) Poll(args PollArgs, reply *PollReply) error {
	t := s.table
	t.mu.Lock()
	defer t.mu.Unlock()
	chosen := t.selectAgents(args.ID, min(args.Max, maxItems))
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
	sendFull := t.fullReplyDue(args.ID)
	for _, it := range chosen {
		k, isKnown := known[it.Member.ID]
		sameIncarnation := isKnown && k.Incarnation == it.Member.Incarnation && k.Refutes == it.Member.Refutes
		isUpToDate := isKnown && k.Incarnation == it.Member.Incarnation && k.Refutes == it.Member.Refutes && k.Version >= it.Member.Version
		if !isUpToDate || it.State != StateAlive {
			if sameIncarnation && !sendFull {
				it.Member, it.Extent = it.Member.trim(ExtentLoad), ExtentLoad
			}
			reply.Items = append(reply.Items, it)
		}
	}
	reply.Refer = t.referral(args.ID)
	t.subscribe(args, chosen)
	return nil
}

// fullReplyInterval is the time between two replies to a subscriber in which records that the subscriber already holds include
// load details and interference pairs.
const fullReplyInterval = 20 * time.Second

// fullReplyDue reports whether to send full records to the subscriber; if so, it records the time now.
func (t *Table) fullReplyDue(subscriberID string) bool {
	sub := t.subscribers[subscriberID]
	if sub == nil || time.Since(sub.lastFullAt) < fullReplyInterval {
		return sub == nil
	}
	sub.lastFullAt = time.Now()
	return true
}

// knowsLive reports whether the member is live in this process's view.
func (t *Table) knowsLive(id string) bool {
	e := t.entries[id]
	return id == t.self.ID && !t.self.Gone || e != nil && e.isLive()
}

// knowsEnded reports whether this process has recorded that the member is dead or has shut down. The result is false for a member
// that this process has never known.
func (t *Table) knowsEnded(id string) bool {
	e := t.entries[id]
	return e != nil && e.state == StateDead || id == t.self.ID && t.self.Gone
}

// selectAgents selects up to n live agents of the scope in this process's failure domain for the subscriber.
func (t *Table) selectAgents(subscriberID string, n int) []Item {
	items := map[string]Item{}
	if t.self.Role == RoleAgent && !t.self.Leaving {
		items[t.self.ID] = Item{Member: t.published}
	}
	for id, e := range t.entries {
		m := e.member
		if e.isLive() && m.Role == RoleAgent && !m.Leaving && t.scope().covers(m) && m.Domain == t.self.Domain {
			items[id] = Item{Member: m, State: e.reportedState()}
		}
	}
	out := []Item{}
	for _, id := range topByWeight(subscriberID, slices.Collect(maps.Keys(items)), n) {
		out = append(out, items[id])
	}
	return out
}

// referral selects a rack of this failure domain for the subscriber, so that subscribers are spread over all racks. The result
// is nil if the subscriber is to poll this process's own cell.
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

// subscribe records which members the subscriber may hold, so that it is notified of their state changes.
func (t *Table) subscribe(args PollArgs, chosen []Item) {
	sub := t.subscribers[args.ID]
	if sub == nil {
		if len(t.subscribers) >= maxSubscribers {
			return // the subscriber learns of changes only by polling
		}
		sub = &subscriber{lastFullAt: time.Now()}
		t.subscribers[args.ID] = sub
	}
	sub.addr, sub.lastPollAt, sub.agentIDs = args.Addr, time.Now(), map[string]bool{}
	for _, it := range chosen {
		sub.agentIDs[it.Member.ID] = true
	}
	for _, k := range args.Known {
		sub.agentIDs[k.ID] = true
	}
}

// queueNotice queues a notice with the state of a member for each subscriber that may hold the member.
func (t *Table) queueNotice(e *memberEntry) {
	for _, sub := range t.subscribers {
		if sub.agentIDs[e.member.ID] {
			t.queuedNotices = append(t.queuedNotices, notice{sub.addr, []Item{{Member: e.member, State: e.state}}})
		}
	}
	if len(t.subscribers) > 0 {
		t.triggerRound()
	}
}

// takeNotices returns the queued notices and empties the queue. It also removes the subscribers that have not polled for
// subscriberRetention.
func (t *Table) takeNotices(now time.Time) []notice {
	for id, sub := range t.subscribers {
		if now.Sub(sub.lastPollAt) > subscriberRetention {
			delete(t.subscribers, id)
		}
	}
	out := t.queuedNotices
	t.queuedNotices = nil
	return out
}

// notify sends a notice to a subscriber, in up to announceAttempts attempts.
func (t *Table) notify(ctx context.Context, n notice) {
	for range announceAttempts {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := t.rpc.Call(callCtx, n.addr, "Member.Notify", NotifyArgs{Items: n.items}, &NotifyReply{})
		cancel()
		if err == nil {
			return
		}
	}
}

// Notify handles Member.Notify. It merges the state changes that a representative has sent.
func (s *Service) Notify(args NotifyArgs, _ *NotifyReply) error {
	t := s.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mergeItems(args.Items, "notice", true) {
		t.triggerRound()
	}
	return nil
}
