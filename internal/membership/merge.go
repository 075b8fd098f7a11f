package membership

import (
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/invariant"
)

// mergeItems merges the records that the process with the ID from has sent. It reports whether an urgent change must be
// forwarded. If candidate is true, records from outside the scope are stored as candidates; otherwise unknown members outside
// the scope are skipped.
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
			e.candidateSeenAt = now
			if compareIncarnations(it.Member, e.member) == 0 && e.state != it.State {
				t.setState(e, it.State, now, "reported by its representative") // a representative's view of candidates takes precedence
			}
		}
	}
	return urgent
}

// restoreOmitted fills the omitted fields of a partial record from the stored record of the member. It returns false if no record
// with the same incarnation and number of refutations is stored. The partner must then resend all records.
func (t *Table) restoreOmitted(it *Item) bool {
	e := t.entries[it.Member.ID]
	if e == nil || compareIncarnations(e.member, it.Member) != 0 {
		return false
	}
	it.Member = it.Member.fillOmitted(e.member, it.Extent)
	return true
}

// refute handles a record of this process that another process sent. If the record says that this process is suspected or dead,
// refute publishes a higher number of refutations. If the record has a higher incarnation, the host's clock went back before a
// restart. The process then raises its own incarnation, so that other processes accept its records. The result is true if
// a new record was published.
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

// mergeItem merges one complete record from the process with the ID from. It reports whether the change is urgent.
func (t *Table) mergeItem(it Item, from string, now time.Time) bool {
	m := it.Member
	if m.Gone {
		it.State = StateDead
	}
	e := t.entries[m.ID]
	if e == nil {
		if it.State == StateDead {
			return false // nothing to remove: this process does not know the member
		}
		e = &memberEntry{member: m, state: it.State, lastUpdateAt: now, stateSince: now}
		t.entries[m.ID] = e
		events.MemberJoined.Log(&t.log).Str("member", m.ID).Str("addr", m.Addr).Str("domain", m.Domain).Send()
		t.markAllChanged(e, from)
		return true
	}
	cmp := compareIncarnations(m, e.member)
	if cmp < 0 {
		return false
	}
	isNewer := cmp > 0 || m.Version > e.member.Version
	extent, flood := extentOfChange(e.member, m), !m.sameUrgentState(e.member) || it.State != e.state
	urgent := false
	if isNewer {
		urgent = t.replaceRecord(e, m, now)
	}
	if cmp > 0 && it.State != e.state || it.State > e.state {
		t.setState(e, it.State, now, "reported by "+from)
		urgent = true
	}
	if isNewer || urgent {
		t.markChanged(e, extent, flood, from)
	}
	return urgent
}

// replaceRecord stores a newer record in the entry of a member. It reports whether the change is urgent.
func (t *Table) replaceRecord(e *memberEntry, m Member, now time.Time) bool {
	old := e.member
	e.member, e.lastUpdateAt, e.hidden = m, now, false
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

// markAllChanged queues the full record of a member for all links, see markChanged.
func (t *Table) markAllChanged(e *memberEntry, from string) { t.markChanged(e, ExtentFull, true, from) }

// markChanged queues the fields of extent x of a record for the links. If flood is true, the record is sent over all links
// instead of along the broadcast tree. A change of only the state is sent with the smallest extent, which limits the traffic
// when many members fail at once. The argument from is the ID of the process that sent the change; empty: none.
func (t *Table) markChanged(e *memberEntry, x Extent, flood bool, from string) {
	t.seq++
	e.seqs.advance(x, t.seq)
	e.source = from
	if flood {
		e.floodSeq, t.cachedRing = t.seq, nil
	}
}

// setState sets and logs the state of a member and queues a notice to the subscribers that hold the member.
func (t *Table) setState(e *memberEntry, s State, now time.Time, reason string) {
	old := e.state
	e.state, e.stateSince = s, now
	t.cachedRing = nil
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

// How long the records of members that are no longer live are kept.
const (
	goneRetention  = 10 * time.Minute // until then, a delayed older record does not restore the member
	deadRetention  = 6 * time.Hour    // regions reconnect through dead members after a partition of several hours
	maxDeadEntries = 512              // maximum number of dead members kept
	// candidateRetention is the time without a report by a representative after which a candidate is dropped.
	candidateRetention = 60 * time.Second
)

// expireMembers removes members whose suspicion has timed out and deletes entries after their retention period.
func (t *Table) expireMembers(now time.Time) {
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
			!covered && !t.cfg.DomainLoadReports && now.Sub(e.candidateSeenAt) > candidateRetention:
			delete(t.entries, id)
			t.cachedRing = nil
		case e.state == StateDead:
			dead++
		}
	}
}

// adjustLevel narrows the scope while the scope has more than Config.MaxScopeMembers members. A scope is never widened while the
// process runs. Processes narrow their scopes at different times and converge only if all of them move in the same direction.
func (t *Table) adjustLevel() {
	for t.level < LevelRack && len(t.scopeIDs())+1 > t.cfg.MaxScopeMembers {
		t.setLevel(t.level + 1)
	}
}

// setLevel sets the level of the scope. Members that the new scope does not cover are kept as candidates, summaries of the other
// cells are created, and all links start again with a full resend.
func (t *Table) setLevel(l ScopeLevel) {
	t.level, t.cachedRing = l, nil
	events.ScopeChanged.Log(&t.log).Int("level", int(l)).Int("members", len(t.scopeIDs())+1).Send()
	t.nextSummaryCheckAt = time.Time{}
	now, scope := time.Now(), t.scope()
	t.initSummaries(now)
	for _, e := range t.entries {
		if !scope.covers(e.member) && e.candidateSeenAt.IsZero() {
			e.candidateSeenAt = now // keep the member as a candidate until the representatives have been polled
		}
	}
	for _, ln := range t.links {
		ln.ackedSeq = 0
	}
}
