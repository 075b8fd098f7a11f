package membership

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Contact is a process that answers for its cell.
type Contact struct{ ID, Addr string }

// PoolLoad is the merged load of a cell's agents of one pool.
type PoolLoad struct {
	Agents int
	Slots  int
	Busy   int // slots in use and requests waiting
	Cores  float64
	Free   float64 // cores free for batch tasks
}

// Summary stands for a cell (a rack or a failure domain) outside the receiver's scope.
type Summary struct {
	Cell    string
	Region  string
	Version int64 // grows with each publication
	Reps    []Contact
	Count   int // live members
	Pools   map[string]PoolLoad
}

// summary is a Summary with what this process needs to pass it on.
type summary struct {
	Summary
	seq    int64
	from   string
	heard  time.Time
	polled time.Time // last poll for candidates
	failed int       // polls without an answer in a row
	stale  bool      // not renewed in time; kept only to find the cell again
}

// Representatives and the pace of summaries.
const (
	repsPerCell    = 2
	summaryGap     = 5 * time.Second  // at least, between two summaries of a cell
	summaryBeat    = 30 * time.Second // at most
	summaryStale   = 100 * time.Second
	summaryForget  = 6 * time.Hour
	significantGap = 0.2 // relative change of a cell's load that is worth a summary
)

// reps returns the representatives of this process's own scope cell. Candidates that leave are passed over.
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

// domainReps returns the representatives of this process's failure domain: members of it while the domain is in scope,
// else the first representatives of its racks with the highest weight.
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

// HubRank returns the place of this process among the representatives of its failure domain, or -1.
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

// seedSummaries derives first summaries from the members known so far, when the scope narrows.
func (t *Table) seedSummaries(now time.Time) {
	counts := map[string]int{}
	for _, e := range t.entries {
		counts[domainCell(e.member.Domain)]++
		if e.member.Domain == t.self.Domain {
			counts[rackCell(e.member.Domain, e.member.Rack)]++
		}
	}
	for cell, n := range counts {
		domain, rack, narrow := strings.Cut(cell, "/")
		if cell == t.ownCell() || narrow && t.level != LevelRack || t.summaries[cell] != nil {
			continue
		}
		scope := Scope{Level: LevelDomain, Domain: domain}
		if narrow {
			scope = Scope{Level: LevelRack, Domain: domain, Rack: rack}
		}
		t.summaries[cell] = &summary{Summary: Summary{Cell: cell, Reps: t.repsOf(cell, scope), Count: n}, heard: now}
	}
}

// summarise publishes the summaries that this process answers for and marks those of others that were not renewed.
func (t *Table) summarise(now time.Time) {
	for cell, s := range t.summaries {
		s.stale = now.Sub(s.heard) > summaryStale
		if now.Sub(s.heard) > summaryForget {
			delete(t.summaries, cell)
		}
	}
	if t.level == LevelFleet || now.Before(t.nextSummary) {
		return
	}
	t.nextSummary = now.Add(summaryGap)
	if len(t.homeTargets()) > 0 && now.Sub(t.joined) < joinTime {
		return // the cell has representatives that this process has yet to meet
	}
	if own := t.reps(); rank(own, t.self.ID) == 0 {
		t.publishSummary(t.sumScope(own), now)
	}
	if reps := t.domainReps(); t.level == LevelRack && rank(reps, t.self.ID) == 0 {
		t.publishSummary(t.sumRacks(reps), now)
	}
}

func (t *Table) sumScope(reps []Contact) Summary {
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

// sumRacks merges the racks of the failure domain.
func (t *Table) sumRacks(reps []Contact) Summary {
	out := t.sumScope(reps)
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

// publishSummary keeps the summary under a new version if it tells something new or the last one is old.
func (t *Table) publishSummary(s Summary, now time.Time) {
	old := t.summaries[s.Cell]
	if old != nil && now.Sub(old.heard) < summaryBeat && !significant(old.Summary, s) {
		return
	}
	if old != nil {
		s.Version = old.Version
	}
	s.Version++
	t.seq++
	t.summaries[s.Cell] = &summary{Summary: s, seq: t.seq, heard: now}
}

func significant(old, s Summary) bool {
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

func differs(a, b, whole float64) bool { return max(a-b, b-a) > significantGap*max(whole, 1) }

// changedSummaries returns the summaries that a partner lacks: failure domains for all, racks within their domain.
func (t *Table) changedSummaries(id string, l *link) []change {
	list := []change{}
	passes := t.passesSummaries(id, l)
	for cell, s := range t.summaries {
		if !passes || s.seq <= l.acked || s.from == id || s.stale {
			continue
		}
		if isRackCell(cell) && cellDomain(cell) != l.scope.Domain {
			continue
		}
		list = append(list, change{seq: s.seq, summary: &s.Summary})
	}
	return list
}

// passesSummaries reports whether the partner gets summaries from this process. Representatives of different cells pass
// them on all links. Within a cell they follow the tree that starts at its first representative, after the first exchange
// has brought what is known.
func (t *Table) passesSummaries(id string, l *link) bool {
	if !l.scope.sameCell(t.scope()) || l.acked == 0 {
		return true
	}
	reps := t.reps()
	return len(reps) == 0 || rank(reps, id) >= 0 || t.passesLoad(reps[0].ID, id)
}

// replaces orders the summaries of a cell. Parts of a cell that lost each other may publish the same version; the first
// representative's id then decides, so that the parts hear of each other.
func (s Summary) replaces(old Summary) bool {
	if s.Version != old.Version || len(s.Reps) == 0 || len(old.Reps) == 0 {
		return s.Version > old.Version
	}
	return s.Reps[0].ID < old.Reps[0].ID
}

// mergeSummaries takes newer summaries and reports whether a new cell appeared.
func (t *Table) mergeSummaries(sums []Summary, from string) bool {
	now := time.Now()
	fresh := false
	for _, s := range sums {
		old := t.summaries[s.Cell]
		if old != nil && !s.replaces(old.Summary) && !old.stale {
			continue
		}
		fresh = fresh || old == nil || old.stale
		t.seq++
		next := &summary{Summary: s, seq: t.seq, from: from, heard: now}
		if old != nil {
			next.polled, next.failed = old.polled, old.failed
		}
		t.summaries[s.Cell] = next
	}
	return fresh
}

// homeTargets returns the representatives of this process's own cells that it does not know as such. They lead a
// process that joins through a seed elsewhere to its cell and join the parts of a cell that lost each other.
func (t *Table) homeTargets() []target {
	if t.level == LevelFleet {
		return nil
	}
	out := []target{}
	own := t.summaries[t.ownCell()]
	if own != nil {
		out = t.strangers(own.Reps, t.reps())
	}
	// The domain's representatives know its racks. A rack's representative keeps in touch with them, another member
	// only needs them to find its rack.
	domain := t.summaries[domainCell(t.self.Domain)]
	if t.level == LevelRack && domain != nil && (own == nil || rank(t.reps(), t.self.ID) >= 0) {
		out = append(out, t.strangers(domain.Reps, t.domainReps())...)
	}
	return out
}

func (t *Table) strangers(named, known []Contact) []target {
	out := []target{}
	for _, c := range named {
		if c.ID != t.self.ID && rank(known, c.ID) < 0 && !t.holdsLive(c.ID) {
			out = append(out, target{c.ID, c.Addr})
		}
	}
	return out
}

// holdsLive reports whether the id is a live member of the scope.
func (t *Table) holdsLive(id string) bool {
	e := t.entries[id]
	return e != nil && e.live() && t.scope().covers(e.member)
}

// cellTargets returns a representative of each finger among the sibling cells, if this process represents its own.
func (t *Table) cellTargets() []target {
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

// contactOf returns the first representative whose last exchange did not fail.
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

func (t *Table) staleCells() []target {
	out := []target{}
	for _, s := range t.summaries {
		if c, ok := t.contactOf(s.Reps); ok && s.stale {
			out = append(out, target{c.ID, c.Addr})
		}
	}
	return out
}

// Summaries returns what is known of the cells outside the scope, ordered by cell; stale ones are left out.
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
