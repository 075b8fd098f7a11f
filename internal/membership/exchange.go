package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxItems limits the records and summaries in one message; the rest follow in the next exchange.
const maxItems = 32

// Header is common to both messages of an exchange.
type Header struct {
	ID          string
	Addr        string
	Incarnation int64
	Scope       Scope
	Base        int64  // the message contains the changes after this sequence number of the sender
	Seq         int64  // ... up to this sequence number
	Ack         int64  // receiver's sequence number up to which the sender has all changes
	AckOf       int64  // incarnation of the receiver that Ack refers to
	Digest      uint64 // of the members in the sender's scope
	Revision    int64  // active settings revision
	Checksum    uint64 // of the tree of that revision
}

// Messages of Member.Exchange. Items are the records in the receiver's scope that have changed since its last
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

// link is the synchronization state with an exchange partner.
type link struct {
	incarnation int64
	acked       int64 // own sequence number that the partner has acknowledged
	received    int64 // partner's sequence number up to which this process has all changes
	scope       Scope
	scopeKnown  bool
	mismatches  int // consecutive exchanges with different digests
	lastUsed    time.Time
	failing     bool // the last call failed
	inFlight    bool // an exchange started by this process is in progress
}

// linkRetention is how long the state of an unused link is kept.
const linkRetention = 2 * time.Minute

func (t *Table) link(id string, incarnation int64) *link {
	l := t.links[id]
	if l == nil {
		l = &link{incarnation: incarnation}
		t.links[id] = l
	}
	if incarnation > l.incarnation {
		*l = link{incarnation: incarnation, inFlight: l.inFlight}
		t.clearSource(id)
	}
	l.lastUsed = time.Now()
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

// digest is an order-independent hash of the live members of the scope. It excludes load reports, which change constantly
// and are delivered as acknowledged deltas.
func (t *Table) digest() uint64 {
	d := incarnationHash(t.self)
	s := t.scope()
	for _, e := range t.entries {
		if e.state != StateDead && s.covers(e.member) {
			d ^= incarnationHash(e.member)
		}
	}
	return d
}

// incarnationHash hashes the ID, incarnation and refutations. The odd multipliers (2^64 divided by the golden ratio and two
// primes of xxHash) spread numbers that differ only a little over all 64 bits.
func incarnationHash(m Member) uint64 {
	h := xxhash.Sum64String(m.ID)
	h ^= uint64(m.Incarnation) * 0x9e3779b97f4a7c15
	h ^= uint64(m.Refutes+1) * 0xc2b2ae3d27d4eb4f
	return h * 0x165667b19e3779f9
}

// pending returns the changes that the partner has not acknowledged, oldest first, and the sequence number up to which
// they are complete.
func (t *Table) pending(id string, l *link) (items []Item, summaries []Summary, seq int64) {
	var list []change
	if l.scopeKnown {
		list = t.changedRecords(id, l)
		list = append(list, t.changedSummaries(id, l)...)
	} else {
		list = []change{{seq: 0, item: &Item{Member: t.published}}}
	}
	seq = t.seq
	if !l.scopeKnown {
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
			summaries = append(summaries, *c.summary)
		}
	}
	return items, summaries, seq
}

func (t *Table) changedRecords(id string, l *link) []change {
	list := []change{}
	if t.selfSeqs.load > l.acked && t.wants(l.scope, t.published) {
		list = append(list, change{seq: t.selfSeqs.load, item: newItem(t.published, StateAlive, t.selfSeqs.extent(l.acked))})
	}
	for other, e := range t.entries {
		concernsPartner := other == id && e.state != StateAlive && !e.hidden // the partner must be able to refute the claim
		wanted := e.seqs.load > l.acked && e.source != id && other != id && t.wants(l.scope, e.member) && !t.isCandidate(e)
		loadOnly := l.acked >= e.floodSeq
		if concernsPartner || wanted && (!loadOnly || t.forwardsLoad(other, id)) {
			list = append(list, change{seq: e.seqs.load, item: newItem(e.member, e.reportedState(), e.seqs.extent(l.acked))})
		}
	}
	return list
}

func newItem(m Member, s State, x Extent) *Item {
	return &Item{Member: m.trim(x), State: s, Extent: x}
}

// wants reports whether a partner with scope s needs the record.
func (t *Table) wants(s Scope, m Member) bool {
	return s.covers(m) || t.cfg.DomainLoadReports && m.Domain == s.Domain
}

// isCandidate reports whether the member is held only as a candidate. Candidates are not forwarded.
func (t *Table) isCandidate(e *memberEntry) bool {
	return !t.scope().covers(e.member) && !t.cfg.DomainLoadReports
}

// reportedState is the state sent to other processes. It does not depend on this process's own isolation.
func (e *memberEntry) reportedState() State {
	if e.hidden {
		return StateAlive
	}
	return e.state
}

// Service handles RPCs from other processes.
type Service struct{ table *Table }

// Service returns the RPC receiver to register as "Member".
func (t *Table) Service() *Service { return &Service{t} }

// Exchange merges the sender's changes and returns those that the sender lacks.
func (s *Service) Exchange(args ExchangeArgs, reply *ExchangeReply) error {
	t := s.table
	t.mu.Lock()
	if e := t.entries[args.ID]; e != nil && e.member.Incarnation > args.Incarnation {
		t.replyToStale(e, args.Header, reply)
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
	t.reportRevision(args.Header)
	return nil
}

// replyToStale returns the known record with a higher incarnation to the sender. Either the message is a delayed one of an
// earlier incarnation, or the host's clock went back and the process must raise its incarnation.
func (t *Table) replyToStale(e *memberEntry, h Header, reply *ExchangeReply) {
	reply.Items = []Item{{Member: e.member, State: e.reportedState()}}
	reply.Header = t.header(t.link(h.ID, 0))
	reply.Base, reply.Seq = 0, 0
}

// receive merges a message. A message from a suspected or dead process does not clear its state: the process receives the
// claim in return and must refute it.
func (t *Table) receive(l *link, h Header, items []Item, summaries []Summary) {
	if h.Incarnation < l.incarnation {
		return // delayed message of an earlier incarnation
	}
	l.scope, l.scopeKnown, l.failing = h.Scope, true, false
	if h.Base <= l.received {
		l.received = max(l.received, h.Seq)
	}
	l.acked = 0 // the partner restarted or requests a full resend
	if h.AckOf == t.self.Incarnation && h.Ack <= t.seq {
		l.acked = h.Ack
	}
	t.markContact()
	t.adoptLevel(h)
	t.incomplete = false
	urgent := t.mergeItems(items, h.ID, false)
	if t.incomplete {
		l.received = 0
	}
	urgent = t.mergeSummaries(summaries, h.ID) || urgent
	if urgent {
		t.triggerRound()
	}
}

// adoptLevel narrows the scope to the partner's level, so that a joining process does not first collect the records of a
// large fleet. Failure domains may differ in size, so LevelRack is adopted only from a partner in the same one.
func (t *Table) adoptLevel(h Header) {
	level := h.Scope.Level
	if h.Scope.Domain != t.self.Domain {
		level = min(level, LevelDomain)
	}
	if level > t.level {
		t.setLevel(level)
	}
}

// joinPeriod is how long a starting process searches for its cell before it may publish summaries for the cell itself.
const joinPeriod = 10 * time.Second

// maxDigestMismatches is the number of consecutive exchanges with different digests after which everything is sent again.
// Changes in transit can cause fewer mismatches than this.
const maxDigestMismatches = 5

func (t *Table) compareDigests(l *link, h Header) {
	if !h.Scope.sameCell(t.scope()) || h.Digest == t.digest() {
		l.mismatches = 0
		return
	}
	l.mismatches++
	if l.mismatches >= maxDigestMismatches {
		l.mismatches, l.acked, l.received = 0, 0, 0
		t.clearSource(h.ID)
	}
}

// clearSource makes the records and summaries received from a process eligible to be sent back to it.
func (t *Table) clearSource(id string) {
	for _, e := range t.entries {
		if e.source == id {
			e.source = ""
		}
	}
	for _, s := range t.summaries {
		if s.source == id {
			s.source = ""
		}
	}
}

// reportRevision passes the settings revision of another process to OnRevision. The caller must not hold mu.
func (t *Table) reportRevision(h Header) {
	if t.cfg.OnRevision != nil {
		t.cfg.OnRevision(h.Addr, h.Revision, h.Checksum)
	}
}
