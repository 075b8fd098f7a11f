package membership

import (
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/invariant"
)

// mergeItems merges what a process sent and reports whether something urgent changed.
func (t *Table) mergeItems(items []Item, from string, candidate bool) bool {
	now := time.Now()
	urgent := false
	for _, it := range items {
		if it.Member.ID == t.self.ID {
			urgent = t.refute(it) || urgent
			continue
		}
		if it.Extent != ExtentFull && !t.complete(&it) {
			t.incomplete = true
			continue
		}
		covered := t.scope().covers(it.Member) || t.cfg.KeepLoadReports && it.Member.Domain == t.self.Domain
		if !covered && !candidate && t.entries[it.Member.ID] == nil {
			continue
		}
		urgent = t.mergeItem(it, from, now) && covered || urgent
		if e := t.entries[it.Member.ID]; e != nil && !covered {
			e.candidate = now
			if compareLife(it.Member, e.member) == 0 && e.state != it.State {
				t.setState(e, it.State, now, "reported by its representative") // which is the authority on candidates
			}
		}
	}
	return urgent
}

// complete fills a brief record from the one that is held. Without one of the same life the link's partner is asked for
// everything.
func (t *Table) complete(it *Item) bool {
	e := t.entries[it.Member.ID]
	if e == nil || compareLife(e.member, it.Member) != 0 {
		return false
	}
	it.Member = it.Member.withRest(e.member, it.Extent)
	return true
}

// refute contradicts a claim that this process is suspected, dead, or of a later start. A later start is seen after
// the host's clock went back; the process then takes a higher incarnation, so that its records count again.
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

// mergeItem merges one record and reports whether others should hear of it at once.
func (t *Table) mergeItem(it Item, from string, now time.Time) bool {
	m := it.Member
	if m.Gone {
		it.State = StateDead
	}
	e := t.entries[m.ID]
	if e == nil {
		if it.State == StateDead {
			return false // nothing is held that the claim could end
		}
		e = &entry{member: m, state: it.State, heard: now, since: now}
		t.entries[m.ID] = e
		events.MemberJoined.Log(&t.log).Str("member", m.ID).Str("addr", m.Addr).Str("domain", m.Domain).Send()
		t.touch(e, from)
		return true
	}
	cmp := compareLife(m, e.member)
	if cmp < 0 {
		return false
	}
	newer := cmp > 0 || m.Version > e.member.Version
	extent, life := extentOfChange(e.member, m), !m.sameLife(e.member) || it.State != e.state
	urgent := false
	if newer {
		urgent = t.replaceRecord(e, m, now)
	}
	if cmp > 0 && it.State != e.state || it.State > e.state {
		t.setState(e, it.State, now, "reported by "+from)
		urgent = true
	}
	if newer || urgent {
		t.noteChange(e, extent, life, from)
	}
	return urgent
}

// replaceRecord takes a newer record and reports whether it announces something urgent.
func (t *Table) replaceRecord(e *entry, m Member, now time.Time) bool {
	old := e.member
	e.member, e.heard, e.private = m, now, false
	invariant.Check(m.Incarnation >= old.Incarnation, "incarnation_monotonic", "member %s: %d after %d", m.ID, m.Incarnation, old.Incarnation)
	if m.Incarnation > old.Incarnation {
		events.MemberRestarted.Log(&t.log).Str("member", m.ID).Int64("incarnation", m.Incarnation).Send()
	}
	if m.Leaving && !old.Leaving {
		events.MemberLeaving.Log(&t.log).Str("member", m.ID).Send()
	}
	return m.Leaving != old.Leaving || m.Gone != old.Gone || m.Load.Failing != old.Load.Failing || m.Load.BackendDown != old.Load.BackendDown || compareLife(m, old) > 0
}

// touch makes the whole record known to the links.
func (t *Table) touch(e *entry, from string) { t.noteChange(e, ExtentFull, true, from) }

// noteChange makes the extent of a record known to the links; life says that it goes over all of them. A changed state
// alone needs no more than the smallest extent, which keeps the loss of many members affordable.
func (t *Table) noteChange(e *entry, x Extent, life bool, from string) {
	t.seq++
	e.seqs.note(x, t.seq)
	e.from = from
	if life {
		e.lifeSeq, t.ring = t.seq, nil
	}
}

func (t *Table) setState(e *entry, s State, now time.Time, reason string) {
	old := e.state
	e.state, e.since = s, now
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
	t.notifyLater(e)
}

// Retention of what is not live any more.
const (
	goneKept = 10 * time.Minute // a late copy of an older record does not bring the member back
	deadKept = 6 * time.Hour    // regions that lost each other for an hour find each other again
	lostMax  = 512              // dead members kept
	// A candidate that no representative reported for this long is dropped.
	candidateKept = 60 * time.Second
)

// expire removes suspects whose time is over and forgets what is no longer needed.
func (t *Table) expire(now time.Time) {
	dead := 0
	s := t.scope()
	for id, e := range t.entries {
		covered := s.covers(e.member)
		switch {
		case e.state == StateSuspect && now.Sub(e.since) > t.cfg.SuspectTimeout && now.After(t.quietUntil):
			t.setState(e, StateDead, now, "suspicion not refuted")
			t.noteChange(e, ExtentLoad, true, "")
			t.kick()
		case e.member.Gone && now.Sub(e.since) > goneKept,
			e.state == StateDead && (now.Sub(e.since) > deadKept || dead >= lostMax),
			!covered && !t.cfg.KeepLoadReports && now.Sub(e.candidate) > candidateKept:
			delete(t.entries, id)
			t.ring = nil
		case e.state == StateDead:
			dead++
		}
	}
}

// adjustLevel narrows the scope when it holds too many members. A scope is never widened again while the process runs:
// neighbours that narrow at different moments agree in the end only if all move the same way.
func (t *Table) adjustLevel() {
	for t.level < LevelRack && len(t.scopeIDs())+1 > t.cfg.FullLimit {
		t.setLevel(t.level + 1)
	}
}

func (t *Table) setLevel(l Level) {
	t.level, t.ring = l, nil
	events.ScopeChanged.Log(&t.log).Int("level", int(l)).Int("members", len(t.scopeIDs())+1).Send()
	t.nextSummary = time.Time{}
	now, scope := time.Now(), t.scope()
	t.seedSummaries(now)
	for _, e := range t.entries {
		if !scope.covers(e.member) && e.candidate.IsZero() {
			e.candidate = now // stays a candidate until representatives were asked
		}
	}
	for _, ln := range t.links {
		ln.acked = 0
	}
}
