package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxItems is the maximum number of records and summaries in one message. The rest is sent in the next exchange.
const maxItems = 32

// Header is part of both messages of an exchange. Each process numbers the changes in its table with a local sequence number.
// A message contains the changes with the sequence numbers from Base+1 to Seq of its sender.
type Header struct {
	ID          string
	Addr        string
	Incarnation int64
	Scope       Scope
	Base        int64  // sender's sequence number after which the changes in the message start
	Seq         int64  // sender's sequence number up to which the message contains the changes
	Ack         int64  // receiver's sequence number up to which the sender has all changes
	AckOf       int64  // incarnation of the receiver that Ack refers to
	Digest      uint64 // hash of the members in the sender's scope, see Table.digest
	Revision    int64  // active settings revision
	Checksum    uint64 // checksum of the settings tree of that revision
}

// Messages of Member.Exchange. Items contains the records in the receiver's scope that have changed since the receiver's last
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

// link is the state of the exchanges with one partner: which changes each side has received.
type link struct {
	incarnation      int64 // incarnation of the partner
	ackedSeq         int64 // own sequence number that the partner has acknowledged
	receivedSeq      int64 // partner's sequence number up to which this process has all changes
	scope            Scope // scope of the partner
	scopeKnown       bool  // set once the partner has sent its scope
	digestMismatches int   // number of consecutive exchanges with different digests
	lastUsedAt       time.Time
	lastCallFailed   bool // set if the last call failed
	inFlight         bool // set while an exchange started by this process is in progress
}

// linkRetention is how long a link is kept after its last use.
const linkRetention = 2 * time.Minute

// link returns the link to the partner with the ID. The link is created if there is none, and reset if the partner has a
// higher incarnation.
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
	l.lastUsedAt = time.Now()
	return l
}

func (t *Table) header(l *link) Header {
	h := Header{
		ID: t.self.ID, Addr: t.self.Addr, Incarnation: t.self.Incarnation, Scope: t.scope(),
		Seq: t.seq, Ack: l.receivedSeq, AckOf: l.incarnation, Digest: t.digest(),
	}
	if t.cfg.ActiveRevision != nil {
		h.Revision, h.Checksum = t.cfg.ActiveRevision()
	}
	return h
}

// digest returns an order-independent hash of the members of the scope that are not dead. The digest excludes load reports,
// because they change constantly and are delivered as acknowledged deltas.
func (t *Table) digest() uint64 {
	digest := incarnationHash(t.self)
	s := t.scope()
	for _, e := range t.entries {
		if e.state != StateDead && s.covers(e.member) {
			digest ^= incarnationHash(e.member)
		}
	}
	return digest
}

// incarnationHash returns a hash of the ID, the incarnation and the number of refutations. The odd multipliers (2^64 divided by
// the golden ratio and two primes of xxHash) spread numbers that differ only a little over all 64 bits.
func incarnationHash(m Member) uint64 {
	h := xxhash.Sum64String(m.ID)
	h ^= uint64(m.Incarnation) * 0x9e3779b97f4a7c15
	h ^= uint64(m.Refutes+1) * 0xc2b2ae3d27d4eb4f
	return h * 0x165667b19e3779f9
}

// pending returns the changes that the partner with the ID has not acknowledged, oldest first and at most maxItems. The
// result seq is the local sequence number up to which the returned changes are complete.
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
		seq = l.ackedSeq
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

// changedRecords returns the records to send to the partner with the ID, in no particular order.
func (t *Table) changedRecords(id string, l *link) []change {
	list := []change{}
	if t.selfSeqs.load > l.ackedSeq && t.scopeNeeds(l.scope, t.published) {
		list = append(list, change{seq: t.selfSeqs.load, item: newItem(t.published, StateAlive, t.selfSeqs.extent(l.ackedSeq))})
	}
	for other, e := range t.entries {
		concernsPartner := other == id && e.state != StateAlive && !e.hidden // the partner must be able to refute its suspicion or death
		wanted := e.seqs.load > l.ackedSeq && e.source != id && other != id && t.scopeNeeds(l.scope, e.member) && !t.isCandidate(e)
		isLoadOnly := l.ackedSeq >= e.floodSeq
		if concernsPartner || wanted && (!isLoadOnly || t.forwardsLoad(other, id)) {
			list = append(list, change{seq: e.seqs.load, item: newItem(e.member, e.reportedState(), e.seqs.extent(l.ackedSeq))})
		}
	}
	return list
}

func newItem(m Member, s State, x Extent) *Item {
	return &Item{Member: m.trim(x), State: s, Extent: x}
}

// scopeNeeds reports whether a partner with the scope needs the record.
func (t *Table) scopeNeeds(s Scope, m Member) bool {
	return s.covers(m) || t.cfg.DomainLoadReports && m.Domain == s.Domain
}

// isCandidate reports whether the member is held only as a candidate. Records of candidates are not forwarded.
func (t *Table) isCandidate(e *memberEntry) bool {
	return !t.scope().covers(e.member) && !t.cfg.DomainLoadReports
}

// reportedState returns the state of the member to send to other processes. A member hidden by isolation is reported as alive.
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

// Exchange handles Member.Exchange. It merges the sender's changes and returns the changes that the sender lacks.
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
	base, seq := l.ackedSeq, int64(0)
	reply.Items, reply.Summaries, seq = t.pending(args.ID, l)
	reply.Header = t.header(l)
	reply.Base, reply.Seq = base, seq
	t.compareDigests(l, args.Header)
	t.mu.Unlock()
	t.reportRevision(args.Header)
	return nil
}

// replyToStale replies to a message whose sender has a lower incarnation than the record that this process holds of the sender.
// The reply contains that record. Either the message is a delayed one of an earlier incarnation, or the clock of the sender's
// host went back and the sender must raise its incarnation.
func (t *Table) replyToStale(e *memberEntry, h Header, reply *ExchangeReply) {
	reply.Items = []Item{{Member: e.member, State: e.reportedState()}}
	reply.Header = t.header(t.link(h.ID, 0))
	reply.Base, reply.Seq = 0, 0
}

// receive merges a message. A message from a process that is suspected or dead does not make that process alive again. The
// process receives its recorded state in return and must refute that state.
func (t *Table) receive(l *link, h Header, items []Item, summaries []Summary) {
	if h.Incarnation < l.incarnation {
		return // delayed message of an earlier incarnation
	}
	l.scope, l.scopeKnown, l.lastCallFailed = h.Scope, true, false
	if h.Base <= l.receivedSeq {
		l.receivedSeq = max(l.receivedSeq, h.Seq)
	}
	l.ackedSeq = 0 // stays 0 if the partner has restarted or requests a full resend
	if h.AckOf == t.self.Incarnation && h.Ack <= t.seq {
		l.ackedSeq = h.Ack
	}
	t.markContact()
	t.adoptLevel(h)
	t.incomplete = false
	urgent := t.mergeItems(items, h.ID, false)
	if t.incomplete {
		l.receivedSeq = 0
	}
	urgent = t.mergeSummaries(summaries, h.ID) || urgent
	if urgent {
		t.triggerRound()
	}
}

// adoptLevel narrows the scope to the partner's level, so that a joining process does not first collect the records of a
// large fleet. Failure domains may differ in size. LevelRack is therefore adopted only from a partner in the same failure domain.
func (t *Table) adoptLevel(h Header) {
	level := h.Scope.Level
	if h.Scope.Domain != t.self.Domain {
		level = min(level, LevelDomain)
	}
	if level > t.level {
		t.setLevel(level)
	}
}

// joinPeriod is how long a starting process searches for the representatives of its cell before it may itself publish the
// summary of the cell.
const joinPeriod = 10 * time.Second

// maxDigestMismatches is the number of consecutive exchanges with different digests after which all records are sent again.
// Changes in transit cause fewer consecutive mismatches.
const maxDigestMismatches = 5

func (t *Table) compareDigests(l *link, h Header) {
	if !h.Scope.sameCell(t.scope()) || h.Digest == t.digest() {
		l.digestMismatches = 0
		return
	}
	l.digestMismatches++
	if l.digestMismatches >= maxDigestMismatches {
		l.digestMismatches, l.ackedSeq, l.receivedSeq = 0, 0, 0
		t.clearSource(h.ID)
	}
}

// clearSource allows the records and summaries that were received from a process to be sent back to that process.
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

// reportRevision passes the settings revision of another process to Config.OnRevision. The caller must not hold mu.
func (t *Table) reportRevision(h Header) {
	if t.cfg.OnRevision != nil {
		t.cfg.OnRevision(h.Addr, h.Revision, h.Checksum)
	}
}
