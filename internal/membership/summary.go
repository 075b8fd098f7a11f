package membership

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Contact is the ID and control address of a representative of a cell.
type Contact struct{ ID, Addr string }

// PoolLoad is the sum of the load reports of the agents in a cell that serve one backend server pool.
type PoolLoad struct {
	Agents int     // number of agents
	Slots  int     // slots of the backend servers
	Busy   int     // slots in use plus waiting requests
	Cores  float64 // cores for batch tasks in total
	Free   float64 // cores free for batch tasks
}

// Summary describes a cell (a rack or a failure domain) outside the receiver's scope.
type Summary struct {
	Cell    string // name of the cell, see rackCell and domainCell
	Region  string
	Version int64               // increases with each publication
	Reps    []Contact           // representatives of the cell
	Count   int                 // number of live members
	Pools   map[string]PoolLoad // by backend server pool
}

// summary is the local state of a received or published Summary.
type summary struct {
	Summary
	seq          int64     // local sequence number of the last change
	source       string    // ID of the process that sent the summary, to which it is not sent back; empty: none
	lastUpdateAt time.Time // when this summary was received or published
	lastPollAt   time.Time // last poll for candidates
	failedPolls  int       // consecutive failed polls
	stale        bool      // set if the summary was not renewed in time; it is then kept only to reconnect to the cell
}

// Number of representatives of a cell and timing of summaries.
const (
	repsPerCell         = 2
	minSummaryInterval  = 5 * time.Second   // minimum time between summaries of a cell
	maxSummaryInterval  = 30 * time.Second  // maximum time between summaries of a cell
	summaryStaleAfter   = 100 * time.Second // more than three times maxSummaryInterval
	summaryRetention    = 6 * time.Hour     // stale cells are kept as long as dead members, to reconnect after a partition
	significantFraction = 0.2               // change of a cell's load, as a fraction of its capacity, that triggers a summary
)

// reps returns the representatives of this process's own cell, see selectReps.
func (t *Table) reps() []Contact {
	if t.level == LevelRack {
		return t.selectReps(rackCell(t.self.Domain, t.self.Rack), t.scope())
	}
	return t.selectReps(domainCell(t.self.Domain), Scope{Level: LevelDomain, Domain: t.self.Domain})
}

// selectReps selects up to repsPerCell representatives of a cell from the known members that the scope covers, in the order of their
// rank. Members that are leaving or suspected are skipped.
func (t *Table) selectReps(cell string, s Scope) []Contact {
	addrs := map[string]string{}
	if !t.self.Leaving && s.covers(t.self) {
		addrs[t.self.ID] = t.self.Addr
	}
	for id, e := range t.entries {
		if e.isLive() && e.state == StateAlive && !e.member.Leaving && s.covers(e.member) {
			addrs[id] = e.member.Addr
		}
	}
	out := []Contact{}
	for _, id := range topByWeight(cell, slices.Collect(maps.Keys(addrs)), repsPerCell) {
		out = append(out, Contact{id, addrs[id]})
	}
	return out
}

// domainReps returns the representatives of this process's failure domain. They are selected from all members of the domain. If
// the scope is only a rack, they are selected from the first representatives of the racks of the domain.
func (t *Table) domainReps() []Contact {
	if t.level != LevelRack {
		return t.selectReps(domainCell(t.self.Domain), Scope{Level: LevelDomain, Domain: t.self.Domain})
	}
	addrs := map[string]string{}
	if own := t.reps(); len(own) > 0 {
		addrs[own[0].ID] = own[0].Addr
	}
	for cell, s := range t.summaries {
		if isRackCell(cell) && cellDomain(cell) == t.self.Domain && cell != t.ownCell() && !s.stale && len(s.Reps) > 0 {
			addrs[s.Reps[0].ID] = s.Reps[0].Addr
		}
	}
	out := []Contact{}
	for _, id := range topByWeight(domainCell(t.self.Domain), slices.Collect(maps.Keys(addrs)), repsPerCell) {
		out = append(out, Contact{id, addrs[id]})
	}
	return out
}

// rank returns the index of the ID among the contacts, or -1.
func rank(contacts []Contact, id string) int {
	return slices.IndexFunc(contacts, func(c Contact) bool { return c.ID == id })
}

// HubRank returns the rank of this process among the representatives of its failure domain, or -1.
func (t *Table) HubRank() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return rank(t.domainReps(), t.self.ID)
}

// ownCell returns the name of this process's rack if the scope is a rack, else of its failure domain.
func (t *Table) ownCell() string {
	if t.level == LevelRack {
		return rackCell(t.self.Domain, t.self.Rack)
	}
	return domainCell(t.self.Domain)
}

// initSummaries creates the missing summaries of other cells from the known members when the scope narrows.
func (t *Table) initSummaries(now time.Time) {
	counts := map[string]int{}
	for _, e := range t.entries {
		counts[domainCell(e.member.Domain)]++
		if e.member.Domain == t.self.Domain {
			counts[rackCell(e.member.Domain, e.member.Rack)]++
		}
	}
	for cell, n := range counts {
		domain, rack, isRack := strings.Cut(cell, "/")
		if cell == t.ownCell() || isRack && t.level != LevelRack || t.summaries[cell] != nil {
			continue
		}
		scope := Scope{Level: LevelDomain, Domain: domain}
		if isRack {
			scope = Scope{Level: LevelRack, Domain: domain, Rack: rack}
		}
		t.summaries[cell] = &summary{Summary: Summary{Cell: cell, Reps: t.selectReps(cell, scope), Count: n}, lastUpdateAt: now}
	}
}

// updateSummaries marks summaries that were not renewed in time as stale and deletes them after summaryRetention. It publishes
// the summaries of the cells of which this process is the first representative.
func (t *Table) updateSummaries(now time.Time) {
	for cell, s := range t.summaries {
		s.stale = now.Sub(s.lastUpdateAt) > summaryStaleAfter
		if now.Sub(s.lastUpdateAt) > summaryRetention {
			delete(t.summaries, cell)
		}
	}
	if t.level == LevelFleet || now.Before(t.nextSummaryCheckAt) {
		return
	}
	t.nextSummaryCheckAt = now.Add(minSummaryInterval)
	if len(t.ownCellTargets()) > 0 && now.Sub(t.startedAt) < joinPeriod {
		return // the cell has representatives that this process has not contacted yet
	}
	if own := t.reps(); rank(own, t.self.ID) == 0 {
		t.publishSummary(t.scopeSummary(own), now)
	}
	if reps := t.domainReps(); t.level == LevelRack && rank(reps, t.self.ID) == 0 {
		t.publishSummary(t.domainSummary(reps), now)
	}
}

// scopeSummary returns the summary of the members of the scope, this process included.
func (t *Table) scopeSummary(reps []Contact) Summary {
	s := Summary{Cell: t.ownCell(), Region: t.self.Region, Reps: reps, Count: 1, Pools: map[string]PoolLoad{}}
	if t.self.Role == RoleAgent {
		s.addLoad(t.self.Load)
	}
	scope := t.scope()
	for _, e := range t.entries {
		if e.isLive() && scope.covers(e.member) {
			s.Count++
			if e.member.Role == RoleAgent && !e.member.Leaving {
				s.addLoad(e.member.Load)
			}
		}
	}
	return s
}

// addLoad adds the load report of one agent.
func (s *Summary) addLoad(l Load) {
	s.addPoolLoad(l.Backend, PoolLoad{Agents: 1, Slots: l.Slots, Busy: l.SlotsBusy + l.Queued, Cores: l.Capacity.Cores, Free: l.Free.Cores})
}

// addPoolLoad adds a load to that of a backend server pool.
func (s *Summary) addPoolLoad(pool string, p PoolLoad) {
	q := s.Pools[pool]
	s.Pools[pool] = PoolLoad{q.Agents + p.Agents, q.Slots + p.Slots, q.Busy + p.Busy, q.Cores + p.Cores, q.Free + p.Free}
}

// domainSummary returns the summary of the failure domain: the sum of this process's rack and the summaries of the other racks.
func (t *Table) domainSummary(reps []Contact) Summary {
	out := t.scopeSummary(reps)
	out.Cell = domainCell(t.self.Domain)
	for cell, s := range t.summaries {
		if !isRackCell(cell) || cellDomain(cell) != t.self.Domain || cell == t.ownCell() || s.stale {
			continue
		}
		out.Count += s.Count
		for pool, p := range s.Pools {
			out.addPoolLoad(pool, p)
		}
	}
	return out
}

// publishSummary stores the summary with a new version if it differs significantly from the last version or if that version is
// older than maxSummaryInterval.
func (t *Table) publishSummary(s Summary, now time.Time) {
	old := t.summaries[s.Cell]
	if old != nil && now.Sub(old.lastUpdateAt) < maxSummaryInterval && !changedSignificantly(old.Summary, s) {
		return
	}
	if old != nil {
		s.Version = old.Version
	}
	s.Version++
	t.seq++
	t.summaries[s.Cell] = &summary{Summary: s, seq: t.seq, lastUpdateAt: now}
}

func changedSignificantly(old, s Summary) bool {
	if !slices.Equal(old.Reps, s.Reps) || old.Count != s.Count || len(old.Pools) != len(s.Pools) {
		return true
	}
	for pool, p := range s.Pools {
		q := old.Pools[pool]
		if p.Agents != q.Agents || differSignificantly(float64(q.Busy), float64(p.Busy), float64(p.Slots)) ||
			differSignificantly(q.Free, p.Free, p.Cores) {
			return true
		}
	}
	return false
}

// differSignificantly reports whether a and b differ by more than significantFraction of the capacity.
func differSignificantly(a, b, capacity float64) bool {
	return max(a-b, b-a) > significantFraction*max(capacity, 1)
}

// changedSummaries returns the summaries to send to the partner with the ID. Summaries of racks are sent only to partners in the
// same failure domain.
func (t *Table) changedSummaries(id string, l *link) []change {
	list := []change{}
	forwards := t.forwardsSummaries(id, l)
	for cell, s := range t.summaries {
		if !forwards || s.seq <= l.ackedSeq || s.source == id || s.stale {
			continue
		}
		if isRackCell(cell) && cellDomain(cell) != l.scope.Domain {
			continue
		}
		list = append(list, change{seq: s.seq, summary: &s.Summary})
	}
	return list
}

// forwardsSummaries reports whether this process forwards summaries to the partner with the ID. Summaries are sent to every
// partner in another cell, to representatives of the own cell, and to partners that have not acknowledged any change. To other
// partners, summaries follow the broadcast tree whose root is the first representative of the cell.
func (t *Table) forwardsSummaries(id string, l *link) bool {
	if !l.scope.sameCell(t.scope()) || l.ackedSeq == 0 {
		return true
	}
	reps := t.reps()
	return len(reps) == 0 || rank(reps, id) >= 0 || t.forwardsLoad(reps[0].ID, id)
}

// supersedes reports whether s replaces old. If a cell is partitioned, both partitions may publish the same version. The summary
// whose first representative has the lower ID then wins, so that the partitions learn of each other.
func (s Summary) supersedes(old Summary) bool {
	if s.Version != old.Version || len(s.Reps) == 0 || len(old.Reps) == 0 {
		return s.Version > old.Version
	}
	return s.Reps[0].ID < old.Reps[0].ID
}

// mergeSummaries stores the newer ones of the summaries that the process with the ID source has sent. It reports whether one of
// them belongs to a cell that was unknown or stale.
func (t *Table) mergeSummaries(summaries []Summary, source string) bool {
	now := time.Now()
	cellAppeared := false
	for _, s := range summaries {
		old := t.summaries[s.Cell]
		if old != nil && !s.supersedes(old.Summary) && !old.stale {
			continue
		}
		cellAppeared = cellAppeared || old == nil || old.stale
		t.seq++
		next := &summary{Summary: s, seq: t.seq, source: source, lastUpdateAt: now}
		if old != nil {
			next.lastPollAt, next.failedPolls = old.lastPollAt, old.failedPolls
		}
		t.summaries[s.Cell] = next
	}
	return cellAppeared
}

// ownCellTargets returns the representatives in the summaries of this process's rack and failure domain that this process does
// not know as representatives or live members. Through these contacts, a process that joined through a seed in another cell
// finds its own cell, and a partitioned cell is merged.
func (t *Table) ownCellTargets() []target {
	if t.level == LevelFleet {
		return nil
	}
	out := []target{}
	own := t.summaries[t.ownCell()]
	if own != nil {
		out = t.unknownContacts(own.Reps, t.reps())
	}
	// The representatives of a failure domain know all racks of the domain. A representative of a rack keeps exchanging with
	// the representatives of the domain. Other members exchange with them only until they have found their rack.
	domain := t.summaries[domainCell(t.self.Domain)]
	if t.level == LevelRack && domain != nil && (own == nil || rank(t.reps(), t.self.ID) >= 0) {
		out = append(out, t.unknownContacts(domain.Reps, t.domainReps())...)
	}
	return out
}

// unknownContacts returns the listed contacts that are neither among the known ones nor live members of the scope.
func (t *Table) unknownContacts(listed, known []Contact) []target {
	out := []target{}
	for _, c := range listed {
		if c.ID != t.self.ID && rank(known, c.ID) < 0 && !t.liveInScope(c.ID) {
			out = append(out, target{c.ID, c.Addr})
		}
	}
	return out
}

// liveInScope reports whether the ID belongs to a live member of the scope.
func (t *Table) liveInScope(id string) bool {
	e := t.entries[id]
	return e != nil && e.isLive() && t.scope().covers(e.member)
}

// siblingCellTargets returns contacts in sibling cells if this process is a representative. A representative of a rack gets
// contacts in other racks of the failure domain, and a representative of a failure domain gets contacts in other domains.
func (t *Table) siblingCellTargets() []target {
	if t.level == LevelFleet {
		return nil
	}
	out := []target{}
	if t.level == LevelRack && rank(t.reps(), t.self.ID) >= 0 {
		out = append(out, t.ringTargets(t.ownCell(), func(cell string) bool {
			return isRackCell(cell) && cellDomain(cell) == t.self.Domain
		})...)
	}
	if rank(t.domainReps(), t.self.ID) >= 0 {
		out = append(out, t.ringTargets(domainCell(t.self.Domain), func(cell string) bool { return !isRackCell(cell) })...)
	}
	return out
}

// ringTargets returns one contact in each of the fingers of the own cell on the ring of the sibling cells that are not stale.
func (t *Table) ringTargets(own string, isSibling func(cell string) bool) []target {
	cells := []string{}
	for cell, s := range t.summaries {
		if isSibling(cell) && cell != own && !s.stale {
			cells = append(cells, cell)
		}
	}
	out := []target{}
	for _, cell := range fingers(cells, own) {
		if c, ok := t.chooseContact(t.summaries[cell].Reps); ok {
			out = append(out, target{c.ID, c.Addr})
		}
	}
	return out
}

// chooseContact returns the first representative whose last call did not fail, else a random one. This process itself is skipped; the
// bool is false if there is no other representative.
func (t *Table) chooseContact(reps []Contact) (Contact, bool) {
	for _, c := range reps {
		if l := t.links[c.ID]; c.ID != t.self.ID && (l == nil || !l.lastCallFailed) {
			return c, true
		}
	}
	for _, c := range shuffled(append([]Contact(nil), reps...)) {
		if c.ID != t.self.ID {
			return c, true
		}
	}
	return Contact{}, false
}

// staleCellTargets returns one contact in each cell whose summary is stale.
func (t *Table) staleCellTargets() []target {
	out := []target{}
	for _, s := range t.summaries {
		if c, ok := t.chooseContact(s.Reps); ok && s.stale {
			out = append(out, target{c.ID, c.Addr})
		}
	}
	return out
}

// Summaries returns the summaries of known cells that are not stale, ordered by cell.
func (t *Table) Summaries() []Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []Summary{}
	for _, cell := range slices.Sorted(maps.Keys(t.summaries)) {
		if s := t.summaries[cell]; !s.stale {
			out = append(out, s.Summary)
		}
	}
	return out
}
