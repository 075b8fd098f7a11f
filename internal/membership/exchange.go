package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxItems bounds the records in one message; the rest follows in the next exchange.
const maxItems = 32

// Header opens each message of an exchange.
type Header struct {
	ID          string
	Addr        string
	Incarnation int64
	Scope       Scope
	Base        int64  // the message holds what changed after this local sequence of the sender
	Seq         int64  // ... up to this one
	Ack         int64  // receiver's sequence up to which the sender has everything
	AckOf       int64  // incarnation of the receiver that Ack refers to
	Digest      uint64 // of the members in the sender's scope
	Revision    int64  // settings revision in force
	Checksum    uint64 // of the tree of that revision
}

// Messages of the exchange. Items are the records of the receiver's scope that changed since the receiver's last
// acknowledgement.
type (
	ExchangeArgs struct {
		Header
		Items     []Item
		Summaries []Summary
	}
	ExchangeReply struct {
		Header
		Items     []Item
		Summaries []Summary
	}
)

// link is what this process knows of an exchange partner.
type link struct {
	incarnation int64
	acked       int64 // own sequence that the partner has
	received    int64 // partner's sequence that this process has
	scope       Scope
	known       bool // scope is known
	mismatches  int  // consecutive exchanges with different digests
	used        time.Time
	failing     bool
	busy        bool // an exchange begun here is under way
}

// linkKept is how long an unused link's state is kept.
const linkKept = 2 * time.Minute

func (t *Table) link(id string, incarnation int64) *link {
	l := t.links[id]
	if l == nil {
		l = &link{incarnation: incarnation}
		t.links[id] = l
	}
	if incarnation > l.incarnation {
		*l = link{incarnation: incarnation, busy: l.busy}
		t.forgetSource(id)
	}
	l.used = time.Now()
	return l
}

func (t *Table) header(l *link) Header {
	h := Header{
		ID: t.self.ID, Addr: t.self.Addr, Incarnation: t.self.Incarnation, Scope: t.scope(),
		Seq: t.seq, Ack: l.received, AckOf: l.incarnation, Digest: t.digest(),
	}
	if t.cfg.Revision != nil {
		h.Revision, h.Checksum = t.cfg.Revision()
	}
	return h
}

// digest sums up the live members of the scope independently of their order. Load reports are left out: they change
// all the time and reach everyone by acknowledged deltas.
func (t *Table) digest() uint64 {
	d := lifeHash(t.self)
	s := t.scope()
	for _, e := range t.entries {
		if e.state != StateDead && s.covers(e.member) {
			d ^= lifeHash(e.member)
		}
	}
	return d
}

func lifeHash(m Member) uint64 {
	h := xxhash.Sum64String(m.ID)
	h ^= uint64(m.Incarnation) * 0x9e3779b97f4a7c15
	h ^= uint64(m.Refutes+1) * 0xc2b2ae3d27d4eb4f
	return h * 0x165667b19e3779f9
}

// pending collects what the partner lacks, oldest changes first, and the sequence up to which it is complete.
func (t *Table) pending(id string, l *link) (items []Item, sums []Summary, seq int64) {
	var list []change
	if l.known {
		list = t.changedRecords(id, l)
		list = append(list, t.changedSummaries(id, l)...)
	} else {
		list = []change{{seq: 0, item: &Item{Member: t.published}}}
	}
	seq = t.seq
	if !l.known {
		seq = l.acked
	}
	sortChanges(list)
	if len(list) > maxItems {
		seq = list[maxItems].seq - 1
		list = list[:maxItems]
	}
	for _, c := range list {
		if c.item != nil {
			items = append(items, *c.item)
		} else {
			sums = append(sums, *c.summary)
		}
	}
	return items, sums, seq
}

func (t *Table) changedRecords(id string, l *link) []change {
	list := []change{}
	if t.selfSeqs.load > l.acked && t.wants(l.scope, t.published) {
		list = append(list, change{seq: t.selfSeqs.load, item: newItem(t.published, StateAlive, t.selfSeqs.extent(l.acked))})
	}
	for other, e := range t.entries {
		about := other == id && e.state != StateAlive && !e.private // the partner must hear what is said about it
		wanted := e.seqs.load > l.acked && e.from != id && other != id && t.wants(l.scope, e.member) && !t.heardOnly(e)
		loadOnly := l.acked >= e.lifeSeq
		if about || wanted && (!loadOnly || t.passesLoad(other, id)) {
			list = append(list, change{seq: e.seqs.load, item: newItem(e.member, e.reported(), e.seqs.extent(l.acked))})
		}
	}
	return list
}

func newItem(m Member, s State, x Extent) *Item {
	return &Item{Member: m.brief(x), State: s, Extent: x}
}

// wants reports whether a partner of the scope needs the record.
func (t *Table) wants(s Scope, m Member) bool {
	return s.covers(m) || t.cfg.KeepLoadReports && m.Domain == s.Domain
}

// heardOnly reports whether the record is a candidate, which only this process asked for.
func (t *Table) heardOnly(e *entry) bool {
	return !t.scope().covers(e.member) && !t.cfg.KeepLoadReports
}

// reported is the state told to others: what this process believes while it is isolated stays private.
func (e *entry) reported() State {
	if e.private {
		return StateAlive
	}
	return e.state
}

// Service answers calls of other processes.
type Service struct{ table *Table }

// Service returns the receiver to register as "Member".
func (t *Table) Service() *Service { return &Service{t} }

// Exchange merges the caller's changes and returns those that the caller lacks.
func (s *Service) Exchange(args ExchangeArgs, reply *ExchangeReply) error {
	t := s.table
	t.mu.Lock()
	if e := t.entries[args.ID]; e != nil && e.member.Incarnation > args.Incarnation {
		t.answerOlder(e, args.Header, reply)
		t.mu.Unlock()
		return nil
	}
	l := t.link(args.ID, args.Incarnation)
	t.receive(l, args.Header, args.Items, args.Summaries)
	base, seq := l.acked, int64(0)
	reply.Items, reply.Summaries, seq = t.pending(args.ID, l)
	reply.Header = t.header(l)
	reply.Base, reply.Seq = base, seq
	t.compareDigests(l, args.Header)
	t.mu.Unlock()
	t.hear(args.Header)
	return nil
}

// answerOlder tells a process that a later start of it is known. Either the message is a late one of an earlier start,
// or the host's clock went back and the process must raise its incarnation.
func (t *Table) answerOlder(e *entry, h Header, reply *ExchangeReply) {
	reply.Items = []Item{{Member: e.member, State: e.reported()}}
	reply.Header = t.header(t.link(h.ID, 0))
	reply.Base, reply.Seq = 0, 0
}

// receive merges a message. An exchange with a process that is believed dead or suspected is not proof against the
// claim: the claim goes back to the process, which contradicts it.
func (t *Table) receive(l *link, h Header, items []Item, sums []Summary) {
	if h.Incarnation < l.incarnation {
		return // a late message of an earlier start
	}
	l.scope, l.known, l.failing = h.Scope, true, false
	if h.Base <= l.received {
		l.received = max(l.received, h.Seq)
	}
	l.acked = 0 // the partner restarted or asks for everything
	if h.AckOf == t.self.Incarnation && h.Ack <= t.seq {
		l.acked = h.Ack
	}
	t.contact()
	t.followLevel(h)
	t.incomplete = false
	urgent := t.mergeItems(items, h.ID, false)
	if t.incomplete {
		l.received = 0
	}
	urgent = t.mergeSummaries(sums, h.ID) || urgent
	if urgent {
		t.kick()
	}
}

// followLevel narrows the scope to that of a neighbour, so that a process that joins does not collect the records of a
// large fleet first. Failure domains may differ in size, so racks are followed only within one.
func (t *Table) followLevel(h Header) {
	level := h.Scope.Level
	if h.Scope.Domain != t.self.Domain {
		level = min(level, LevelDomain)
	}
	if level > t.level {
		t.setLevel(level)
	}
}

// joinTime is how long a process that starts looks for its cell before it may answer for it.
const joinTime = 10 * time.Second

// repairAfter is the number of consecutive exchanges with different digests after which everything is sent again;
// changes on their way explain fewer.
const repairAfter = 5

func (t *Table) compareDigests(l *link, h Header) {
	if !h.Scope.sameCell(t.scope()) || h.Digest == t.digest() {
		l.mismatches = 0
		return
	}
	l.mismatches++
	if l.mismatches >= repairAfter {
		l.mismatches, l.acked, l.received = 0, 0, 0
		t.forgetSource(h.ID)
	}
}

// forgetSource makes the records that came from a process count as unknown to it.
func (t *Table) forgetSource(id string) {
	for _, e := range t.entries {
		if e.from == id {
			e.from = ""
		}
	}
	for _, s := range t.summaries {
		if s.from == id {
			s.from = ""
		}
	}
}

// hear passes the revision of another process on. It runs without the lock.
func (t *Table) hear(h Header) {
	if t.cfg.OnRevision != nil {
		t.cfg.OnRevision(h.Addr, h.Revision, h.Checksum)
	}
}
