package membership

import (
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/invariant"
)

// mergeItems merges received records and reports whether an urgent change must be forwarded.
func (t *Table) mergeItems(items []Item, from string, candidate bool) bool {
	now := time.Now()
	urgent := false
	for _, it := range items {
		if it.Member.ID == t.self.ID {
			urgent = t.refute(it) || urgent
			continue
		}
		if it.Extent != ExtentFull && !t.restoreOmitted(&it) {
			t.incomplete = true
			continue
		}
		covered := t.scope().covers(it.Member) || t.cfg.DomainLoadReports && it.Member.Domain == t.self.Domain
		if !covered && !candidate && t.entries[it.Member.ID] == nil {
			continue
		}
		urgent = t.mergeItem(it, from, now) && covered || urgent
		if e := t.entries[it.Member.ID]; e != nil && !covered {
			e.candidateSeen = now
			if compareIncarnations(it.Member, e.member) == 0 && e.state != it.State {
				t.setState(e, it.State, now, "reported by its representative") // a representative's view of candidates takes precedence
			}
		}
	}
	return urgent
}

// restoreOmitted fills the omitted fields of a partial record from the stored one. It returns false if no record with the
// same incarnation and refutations is stored; the partner must then resend everything.
func (t *Table) restoreOmitted(it *Item) bool {
	e := t.entries[it.Member.ID]
	if e == nil || compareIncarnations(e.member, it.Member) != 0 {
		return false
	}
	it.Member = it.Member.fillOmitted(e.member, it.Extent)
	return true
}

// refute responds to a report that this process is suspected, dead, or has a higher incarnation. A higher incarnation occurs
// when the host's clock went back before a restart; the process then raises its own, so that others accept its records.
func (t *Table) refute(it Item) bool {
	m := it.Member
	switch {
	case m.Incarnation > t.self.Incarnation:
		events.IncarnationRaised.Log(&t.log).Int64("own", t.self.Incarnation).Int64("seen", m.Incarnation).Send()
		t.self.Incarnation = m.Incarnation + 1
	case m.Incarnation == t.self.Incarnation && m.Refutes >= t.self.Refutes && it.State != StateAlive && !t.self.Gone:
		t.self.Refutes = m.Refutes + 1
		events.SuspicionRefuted.Log(&t.log).Int64("refutes", t.self.Refutes).Send()
	default:
		return false
	}
	t.publishSelf(time.Now())
	return true
}

// mergeItem merges one record and reports whether the change is urgent.
func (t *Table) mergeItem(it Item, from string, now time.Time) bool {
	m := it.Member
	if m.Gone {
		it.State = StateDead
	}
	e := t.entries[m.ID]
	if e == nil {
		if it.State == StateDead {
			return false // unknown member, nothing to remove
		}
		e = &memberEntry{member: m, state: it.State, lastUpdate: now, stateSince: now}
		t.entries[m.ID] = e
		events.MemberJoined.Log(&t.log).Str("member", m.ID).Str("addr", m.Addr).Str("domain", m.Domain).Send()
		t.markAllChanged(e, from)
		return true
	}
	cmp := compareIncarnations(m, e.member)
	if cmp < 0 {
		return false
	}
	newer := cmp > 0 || m.Version > e.member.Version
	extent, flood := extentOfChange(e.member, m), !m.sameUrgentState(e.member) || it.State != e.state
	urgent := false
	if newer {
		urgent = t.replaceRecord(e, m, now)
	}
	if cmp > 0 && it.State != e.state || it.State > e.state {
		t.setState(e, it.State, now, "reported by "+from)
		urgent = true
	}
	if newer || urgent {
		t.markChanged(e, extent, flood, from)
	}
	return urgent
}

// replaceRecord stores a newer record and reports whether the change is urgent.
func (t *Table) replaceRecord(e *memberEntry, m Member, now time.Time) bool {
	old := e.member
	e.member, e.lastUpdate, e.hidden = m, now, false
	invariant.Check(m.Incarnation >= old.Incarnation, "incarnation_monotonic", "member %s: %d after %d", m.ID, m.Incarnation, old.Incarnation)
	if m.Incarnation > old.Incarnation {
		events.MemberRestarted.Log(&t.log).Str("member", m.ID).Int64("incarnation", m.Incarnation).Send()
	}
	if m.Leaving && !old.Leaving {
		events.MemberLeaving.Log(&t.log).Str("member", m.ID).Send()
	}
	return m.Leaving != old.Leaving || m.Gone != old.Gone || m.Load.Failing != old.Load.Failing ||
		m.Load.BackendDown != old.Load.BackendDown || compareIncarnations(m, old) > 0
}

// markAllChanged queues the full record for all links.
func (t *Table) markAllChanged(e *memberEntry, from string) { t.markChanged(e, ExtentFull, true, from) }

// markChanged queues the extent of a record for the links; flood sends it over all of them instead of along the tree.
// A state change alone is sent with the smallest extent, which limits the traffic when many members fail at once.
func (t *Table) markChanged(e *memberEntry, x Extent, flood bool, from string) {
	t.seq++
	e.seqs.advance(x, t.seq)
	e.source = from
	if flood {
		e.floodSeq, t.ring = t.seq, nil
	}
}

func (t *Table) setState(e *memberEntry, s State, now time.Time, reason string) {
	old := e.state
	e.state, e.stateSince = s, now
	t.ring = nil
	id := e.member.ID
	switch {
	case s == StateSuspect:
		events.MemberSuspected.Log(&t.log).Str("member", id).Str("reason", reason).Send()
	case s == StateDead && !e.member.Gone:
		events.MemberRemoved.Log(&t.log).Str("member", id).Str("reason", reason).Send()
	case s == StateAlive && old != StateAlive:
		events.MemberRecovered.Log(&t.log).Str("member", id).Send()
	}
	t.queueNotice(e)
}

// Retention of members that are no longer live.
const (
	goneRetention  = 10 * time.Minute // a delayed older record must not restore the member
	deadRetention  = 6 * time.Hour    // regions reconnect through dead members after a partition of several hours
	maxDeadEntries = 512              // maximum number of dead members kept
	// A candidate is dropped when no representative has reported it for this long.
	candidateRetention = 60 * time.Second
)

// expire removes members whose suspicion has timed out and deletes entries after their retention period.
func (t *Table) expire(now time.Time) {
	dead := 0
	s := t.scope()
	for id, e := range t.entries {
		covered := s.covers(e.member)
		switch {
		case e.state == StateSuspect && now.Sub(e.stateSince) > t.cfg.SuspectTimeout && now.After(t.graceUntil):
			t.setState(e, StateDead, now, "suspicion not refuted")
			t.markChanged(e, ExtentLoad, true, "")
			t.triggerRound()
		case e.member.Gone && now.Sub(e.stateSince) > goneRetention,
			e.state == StateDead && (now.Sub(e.stateSince) > deadRetention || dead >= maxDeadEntries),
			!covered && !t.cfg.DomainLoadReports && now.Sub(e.candidateSeen) > candidateRetention:
			delete(t.entries, id)
			t.ring = nil
		case e.state == StateDead:
			dead++
		}
	}
}

// adjustLevel narrows the scope while it has more than MaxScopeMembers members. A scope is never widened while the process
// runs: processes that narrow at different times converge only if all move in the same direction.
func (t *Table) adjustLevel() {
	for t.level < LevelRack && len(t.scopeIDs())+1 > t.cfg.MaxScopeMembers {
		t.setLevel(t.level + 1)
	}
}

func (t *Table) setLevel(l Level) {
	t.level, t.ring = l, nil
	events.ScopeChanged.Log(&t.log).Int("level", int(l)).Int("members", len(t.scopeIDs())+1).Send()
	t.nextSummary = time.Time{}
	now, scope := time.Now(), t.scope()
	t.initSummaries(now)
	for _, e := range t.entries {
		if !scope.covers(e.member) && e.candidateSeen.IsZero() {
			e.candidateSeen = now // keep as a candidate until the representatives have been polled
		}
	}
	for _, ln := range t.links {
		ln.acked = 0
	}
}
