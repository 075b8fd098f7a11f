package membership

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Contact is the ID and control address of a cell's representative.
type Contact struct{ ID, Addr string }

// PoolLoad is the total load of a cell's agents in one backend server pool.
type PoolLoad struct {
	Agents int
	Slots  int
	Busy   int // slots in use plus waiting requests
	Cores  float64
	Free   float64 // cores free for batch tasks
}

// Summary describes a cell (a rack or a failure domain) outside the receiver's scope.
type Summary struct {
	Cell    string
	Region  string
	Version int64 // increases with each publication
	Reps    []Contact
	Count   int // live members
	Pools   map[string]PoolLoad
}

// summary is the local state of a received or published Summary.
type summary struct {
	Summary
	seq         int64  // local sequence number of the last change
	source      string // process that sent it; empty: none
	lastUpdate  time.Time
	lastPoll    time.Time // last poll for candidates
	failedPolls int       // consecutive failed polls
	stale       bool      // not renewed in time; kept only to reconnect to the cell
}

// Representatives per cell and timing of summaries.
const (
	repsPerCell        = 2
	minSummaryInterval = 5 * time.Second   // minimum time between summaries of a cell
	maxSummaryInterval = 30 * time.Second  // maximum time between summaries of a cell
	summaryStaleAfter  = 100 * time.Second // more than three times the renewal interval
	summaryRetention   = 6 * time.Hour     // stale cells are kept as long as dead members, to reconnect after a partition
	significantChange  = 0.2               // change of a cell's load, as a fraction of its capacity, that triggers a summary
)

// reps returns the representatives of this process's own cell. Leaving and suspected members are skipped.
func (t *Table) reps() []Contact {
	if t.level == LevelRack {
		return t.repsOf(rackCell(t.self.Domain, t.self.Rack), t.scope())
	}
	return t.repsOf(domainCell(t.self.Domain), Scope{Level: LevelDomain, Domain: t.self.Domain})
}

func (t *Table) repsOf(cell string, s Scope) []Contact {
	addrs := map[string]string{}
	if !t.self.Leaving && s.covers(t.self) {
		addrs[t.self.ID] = t.self.Addr
	}
	for id, e := range t.entries {
		if e.live() && e.state == StateAlive && !e.member.Leaving && s.covers(e.member) {
			addrs[id] = e.member.Addr
		}
	}
	out := []Contact{}
	for _, id := range topByWeight(cell, slices.Collect(maps.Keys(addrs)), repsPerCell) {
		out = append(out, Contact{id, addrs[id]})
	}
	return out
}

// domainReps returns the representatives of this process's failure domain: selected from all its members while the domain
// is in scope, else from the first representative of each of its racks.
func (t *Table) domainReps() []Contact {
	if t.level != LevelRack {
		return t.repsOf(domainCell(t.self.Domain), Scope{Level: LevelDomain, Domain: t.self.Domain})
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

func rank(list []Contact, id string) int {
	return slices.IndexFunc(list, func(c Contact) bool { return c.ID == id })
}

// HubRank returns the rank of this process among the representatives of its failure domain, or -1.
func (t *Table) HubRank() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return rank(t.domainReps(), t.self.ID)
}

func (t *Table) ownCell() string {
	if t.level == LevelRack {
		return rackCell(t.self.Domain, t.self.Rack)
	}
	return domainCell(t.self.Domain)
}

// initSummaries creates summaries from the known members when the scope narrows.
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
		t.summaries[cell] = &summary{Summary: Summary{Cell: cell, Reps: t.repsOf(cell, scope), Count: n}, lastUpdate: now}
	}
}

// updateSummaries publishes the summaries of the cells that this process represents and marks others that were not
// renewed as stale.
func (t *Table) updateSummaries(now time.Time) {
	for cell, s := range t.summaries {
		s.stale = now.Sub(s.lastUpdate) > summaryStaleAfter
		if now.Sub(s.lastUpdate) > summaryRetention {
			delete(t.summaries, cell)
		}
	}
	if t.level == LevelFleet || now.Before(t.nextSummary) {
		return
	}
	t.nextSummary = now.Add(minSummaryInterval)
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

func (t *Table) scopeSummary(reps []Contact) Summary {
	s := Summary{Cell: t.ownCell(), Region: t.self.Region, Reps: reps, Count: 1, Pools: map[string]PoolLoad{}}
	if t.self.Role == RoleAgent {
		s.add(t.self.Load)
	}
	scope := t.scope()
	for _, e := range t.entries {
		if e.live() && scope.covers(e.member) {
			s.Count++
			if e.member.Role == RoleAgent && !e.member.Leaving {
				s.add(e.member.Load)
			}
		}
	}
	return s
}

func (s *Summary) add(l Load) {
	s.merge(l.Backend, PoolLoad{Agents: 1, Slots: l.Slots, Busy: l.SlotsBusy + l.Queued, Cores: l.Capacity.Cores, Free: l.Free.Cores})
}

func (s *Summary) merge(pool string, p PoolLoad) {
	q := s.Pools[pool]
	s.Pools[pool] = PoolLoad{q.Agents + p.Agents, q.Slots + p.Slots, q.Busy + p.Busy, q.Cores + p.Cores, q.Free + p.Free}
}

// domainSummary merges the summaries of the racks of the failure domain.
func (t *Table) domainSummary(reps []Contact) Summary {
	out := t.scopeSummary(reps)
	out.Cell = domainCell(t.self.Domain)
	for cell, s := range t.summaries {
		if !isRackCell(cell) || cellDomain(cell) != t.self.Domain || cell == t.ownCell() || s.stale {
			continue
		}
		out.Count += s.Count
		for pool, p := range s.Pools {
			out.merge(pool, p)
		}
	}
	return out
}

// publishSummary stores the summary with a new version if it has changed significantly or the last one is due for renewal.
func (t *Table) publishSummary(s Summary, now time.Time) {
	old := t.summaries[s.Cell]
	if old != nil && now.Sub(old.lastUpdate) < maxSummaryInterval && !changedSignificantly(old.Summary, s) {
		return
	}
	if old != nil {
		s.Version = old.Version
	}
	s.Version++
	t.seq++
	t.summaries[s.Cell] = &summary{Summary: s, seq: t.seq, lastUpdate: now}
}

func changedSignificantly(old, s Summary) bool {
	if !slices.Equal(old.Reps, s.Reps) || old.Count != s.Count || len(old.Pools) != len(s.Pools) {
		return true
	}
	for pool, p := range s.Pools {
		q := old.Pools[pool]
		if p.Agents != q.Agents || differs(float64(q.Busy), float64(p.Busy), float64(p.Slots)) || differs(q.Free, p.Free, p.Cores) {
			return true
		}
	}
	return false
}

func differs(a, b, total float64) bool { return max(a-b, b-a) > significantChange*max(total, 1) }

// changedSummaries returns the summaries that a partner lacks. Rack summaries go only to partners in the same failure domain.
func (t *Table) changedSummaries(id string, l *link) []change {
	list := []change{}
	forwards := t.forwardsSummaries(id, l)
	for cell, s := range t.summaries {
		if !forwards || s.seq <= l.acked || s.source == id || s.stale {
			continue
		}
		if isRackCell(cell) && cellDomain(cell) != l.scope.Domain {
			continue
		}
		list = append(list, change{seq: s.seq, summary: &s.Summary})
	}
	return list
}

// forwardsSummaries reports whether this process forwards summaries to the partner. Between cells they go over all links,
// and so does the first exchange with a partner. After that, summaries within a cell follow the broadcast tree rooted at
// its first representative.
func (t *Table) forwardsSummaries(id string, l *link) bool {
	if !l.scope.sameCell(t.scope()) || l.acked == 0 {
		return true
	}
	reps := t.reps()
	return len(reps) == 0 || rank(reps, id) >= 0 || t.forwardsLoad(reps[0].ID, id)
}

// supersedes reports whether s replaces old. Partitions of a cell may publish the same version; the lower ID of the first
// representative then wins, so that the partitions learn of each other.
func (s Summary) supersedes(old Summary) bool {
	if s.Version != old.Version || len(s.Reps) == 0 || len(old.Reps) == 0 {
		return s.Version > old.Version
	}
	return s.Reps[0].ID < old.Reps[0].ID
}

// mergeSummaries stores newer summaries and reports whether a new or previously stale cell appeared.
func (t *Table) mergeSummaries(summaries []Summary, source string) bool {
	now := time.Now()
	newCell := false
	for _, s := range summaries {
		old := t.summaries[s.Cell]
		if old != nil && !s.supersedes(old.Summary) && !old.stale {
			continue
		}
		newCell = newCell || old == nil || old.stale
		t.seq++
		next := &summary{Summary: s, seq: t.seq, source: source, lastUpdate: now}
		if old != nil {
			next.lastPoll, next.failedPolls = old.lastPoll, old.failedPolls
		}
		t.summaries[s.Cell] = next
	}
	return newCell
}

// ownCellTargets returns representatives named in the summaries of this process's own cells that are not in its own view.
// They lead a process that joined through a seed in another cell to its own cell and merge a partitioned cell.
func (t *Table) ownCellTargets() []target {
	if t.level == LevelFleet {
		return nil
	}
	out := []target{}
	own := t.summaries[t.ownCell()]
	if own != nil {
		out = t.unknownContacts(own.Reps, t.reps())
	}
	// The domain's representatives know all its racks. A rack's representative keeps exchanging with them; other members
	// need them only to find their rack.
	domain := t.summaries[domainCell(t.self.Domain)]
	if t.level == LevelRack && domain != nil && (own == nil || rank(t.reps(), t.self.ID) >= 0) {
		out = append(out, t.unknownContacts(domain.Reps, t.domainReps())...)
	}
	return out
}

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
	return e != nil && e.live() && t.scope().covers(e.member)
}

// siblingCellTargets returns a representative of each finger among the sibling cells if this process represents its own
// cell.
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

func (t *Table) ringTargets(own string, sibling func(cell string) bool) []target {
	cells := []string{}
	for cell, s := range t.summaries {
		if sibling(cell) && cell != own && !s.stale {
			cells = append(cells, cell)
		}
	}
	out := []target{}
	for _, cell := range fingers(cells, own) {
		if c, ok := t.contactOf(t.summaries[cell].Reps); ok {
			out = append(out, target{c.ID, c.Addr})
		}
	}
	return out
}

// contactOf returns the first representative whose last call did not fail, else a random one.
func (t *Table) contactOf(reps []Contact) (Contact, bool) {
	for _, c := range reps {
		if l := t.links[c.ID]; c.ID != t.self.ID && (l == nil || !l.failing) {
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

func (t *Table) staleCellTargets() []target {
	out := []target{}
	for _, s := range t.summaries {
		if c, ok := t.contactOf(s.Reps); ok && s.stale {
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
