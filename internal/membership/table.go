package membership

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"bamboofork/internal/invariant"
)

// Default values of Config.
const (
	DefaultRoundInterval   = 300 * time.Millisecond // between rounds of exchanges
	DefaultSuspectTimeout  = 5 * time.Second        // from suspicion to removal; a process that pauses for less time is not removed
	DefaultMaxScopeMembers = 64                     // maximum number of members in a scope; a scope with more members is narrowed
	DefaultMaxCandidates   = 64                     // maximum number of agents held from outside the scope
)

// Caller sends control RPCs. Call stores the reply in reply. An error means that no reply arrived in time.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Config configures a Table. Fields with the zero value take the default values.
type Config struct {
	Self            Member
	Seeds           []string      // control addresses of the seeds in the process configuration file
	RoundInterval   time.Duration // between rounds of exchanges
	SuspectTimeout  time.Duration // from suspicion to removal
	MaxScopeMembers int           // a scope with more members is narrowed
	MaxCandidates   int           // maximum number of agents that a process holds from outside its scope, see SetWantsCandidates
	// ActiveRevision returns the active settings revision and the checksum of its tree. If ActiveRevision is nil, no revision is reported.
	ActiveRevision func() (int64, uint64)
	// OnRevision is called with the settings revision and checksum in each message from another process and with the control
	// address of that process. OnRevision must not block; it may be nil.
	OnRevision func(addr string, rev int64, sum uint64)
	// ListHubAddrs returns the control addresses of the hubs registered in the store. ListHubAddrs is called only while no other process
	// responds; it may be nil.
	ListHubAddrs func(ctx context.Context) []string
	// DomainLoadReports sends the load report of each agent to its whole failure domain, instead of one summary for each rack.
	// Only bf-scale sets this field, to compare the traffic.
	DomainLoadReports bool
}

func (c *Config) setDefaults() {
	if c.RoundInterval == 0 {
		c.RoundInterval = DefaultRoundInterval
	}
	if c.SuspectTimeout == 0 {
		c.SuspectTimeout = DefaultSuspectTimeout
	}
	if c.MaxScopeMembers == 0 {
		c.MaxScopeMembers = DefaultMaxScopeMembers
	}
	if c.MaxCandidates == 0 {
		c.MaxCandidates = DefaultMaxCandidates
	}
	if c.Self.Incarnation == 0 {
		c.Self.Incarnation = time.Now().UnixNano()
	}
}

// memberEntry is the local state of a known member.
type memberEntry struct {
	member          Member
	state           State
	seqs            extentSeqs // local sequence numbers of the last changes
	floodSeq        int64      // local sequence number of the last change that is sent over all links
	source          string     // ID of the process that sent the last change, to which it is not sent back; empty: none
	lastUpdateAt    time.Time  // when the last newer record was received
	stateSince      time.Time  // start of the current state
	verifying       bool       // set while a probe of the member is in progress
	hidden          bool       // set while this process is isolated; never reported to others
	candidateSeenAt time.Time  // when a representative last reported the member; zero: held because the scope covers the member
}

// Table is this process's view of the membership. The mutex mu guards the fields below it and is not held during RPCs.
type Table struct {
	cfg  Config
	rpc  Caller
	log  zerolog.Logger
	wake chan struct{} // wakes Run for an urgent round

	mu                 sync.Mutex
	self               Member // latest local state
	published          Member // last published state
	publishedAt        time.Time
	selfSeqs           extentSeqs
	detailsPublishedAt time.Time      // last publication of the load details
	pairsPublishedAt   time.Time      // last publication of the interference pairs
	cachedRing         map[string]int // result of ringPositions; nil: to be recomputed
	seq                int64          // local sequence number of the last change
	level              ScopeLevel
	startedAt          time.Time
	entries            map[string]*memberEntry
	links              map[string]*link    // by member ID
	summaries          map[string]*summary // by cell
	subscribers        map[string]*subscriber
	candidatesWanted   func() bool        // see SetWantsCandidates
	referrals          map[string]Summary // rack cells in other failure domains to poll, by domain
	queuedNotices      []notice
	incomplete         bool      // set if the message being merged omits fields that this process does not hold
	lastContactAt      time.Time // last response or message from another process
	lastRoundAt        time.Time
	graceUntil         time.Time // failures of calls started before this time raise no suspicion
	nextLinkIndex      int       // round-robin position in the result of linkTargets
	nextReconnectAt    time.Time
	seedContactedAt    time.Time
	hubsQueriedAt      time.Time
	hubsBackoff        time.Duration // current minimum time between calls of Config.ListHubAddrs
	nextPollCheckAt    time.Time     // next check for due polls
	nextSummaryCheckAt time.Time     // next check whether to publish summaries
}

// NewTable returns a table that contains only the process itself.
func NewTable(cfg Config, rpc Caller, log zerolog.Logger) *Table {
	cfg.setDefaults()
	now := time.Now()
	return &Table{
		cfg: cfg, rpc: rpc, log: log, wake: make(chan struct{}, 1),
		self: cfg.Self, published: cfg.Self, selfSeqs: extentSeqs{1, 1, 1}, seq: 1, startedAt: now, lastContactAt: now,
		entries: map[string]*memberEntry{}, links: map[string]*link{}, summaries: map[string]*summary{},
		subscribers: map[string]*subscriber{}, referrals: map[string]Summary{},
	}
}

// Self returns this process's record.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Update changes this process's record. An urgent change (see sameUrgentState) is published at once and starts a round of
// exchanges. Other changes are published at an interval that grows with the number of members, see publishLoad.
func (t *Table) Update(change func(*Member)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	inc, refutes := t.self.Incarnation, t.self.Refutes
	change(&t.self)
	invariant.Check(t.self.Incarnation >= inc, "incarnation_monotonic", "incarnation %d after %d", t.self.Incarnation, inc)
	invariant.Check(t.self.Refutes >= refutes || t.self.Incarnation > inc, "refutes_monotonic", "refutes %d after %d", t.self.Refutes, refutes)
	if t.hasUrgentChange() {
		t.publishSelf(time.Now())
		t.triggerRound()
	}
}

func (t *Table) hasUrgentChange() bool {
	return !t.self.sameUrgentState(t.published)
}

// publishSelf publishes the current record of this process. Load details and interference pairs that are not due yet keep
// their last published values.
func (t *Table) publishSelf(now time.Time) {
	t.self.Version++
	t.seq++
	next := t.self
	if !t.publicationDue(&t.detailsPublishedAt, now, detailsIntervalPerMember, minDetailsInterval) {
		next.Load = next.Load.withDetails(t.published.Load)
	}
	if !t.publicationDue(&t.pairsPublishedAt, now, pairsIntervalPerMember, minPairsInterval) {
		next.Load.Pairs = t.published.Load.Pairs
	}
	t.selfSeqs.advance(extentOfChange(t.published, next), t.seq)
	t.published, t.publishedAt = next, now
}

// publicationDue reports whether the publication interval of a group of fields has passed since the time *last. If the interval
// has passed, publicationDue sets *last to now. The interval is perMember for each known member, but at least minInterval.
func (t *Table) publicationDue(last *time.Time, now time.Time, perMember, minInterval time.Duration) bool {
	if now.Sub(*last) < max(time.Duration(len(t.entries)+1)*perMember, minInterval) {
		return false
	}
	*last = now
	return true
}

// Publication intervals. An interval grows with the number of members, so that the traffic of each member does not grow with
// the size of the scope.
const (
	loadIntervalPerMember      = 50 * time.Millisecond
	minLoadInterval            = 300 * time.Millisecond
	maxLoadInterval            = 4 * time.Second
	heartbeatIntervalPerMember = 80 * time.Millisecond // for reports in which only the agent's clock has changed
	minHeartbeatInterval       = 1 * time.Second

	// Load details take about 250 bytes and interference pairs up to 500 bytes. Both are therefore published less often.
	detailsIntervalPerMember = 200 * time.Millisecond
	minDetailsInterval       = 1 * time.Second
	pairsIntervalPerMember   = 1 * time.Second
	minPairsInterval         = 5 * time.Second
	maxHeartbeatInterval     = 5 * time.Second
)

// publishLoad publishes this process's record if the record has changed and the publication interval has passed.
func (t *Table) publishLoad(now time.Time) {
	n := time.Duration(len(t.entries) + 1)
	interval := min(max(n*heartbeatIntervalPerMember, minHeartbeatInterval), maxHeartbeatInterval)
	loadChanged := !t.self.Load.sameExceptClock(t.published.Load) || t.self.SettingsRev != t.published.SettingsRev
	if loadChanged {
		interval = min(max(n*loadIntervalPerMember, minLoadInterval), maxLoadInterval)
	}
	changed := loadChanged || t.self.Load.Clock != t.published.Load.Clock
	if changed && now.Sub(t.publishedAt) >= interval {
		t.publishSelf(now)
	}
}

// TriggerRound starts a round of exchanges with all links without waiting for the interval.
func (t *Table) TriggerRound() { t.triggerRound() }

func (t *Table) triggerRound() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Members returns the live members of the scope and the candidates from outside it, ordered by ID. The process itself is
// not included.
func (t *Table) Members() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Status, 0, len(t.entries))
	for _, e := range t.entries {
		if e.isLive() {
			out = append(out, e.status())
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// isLive reports whether the member counts as live: the member is not dead and not hidden by the isolation of this process.
func (e *memberEntry) isLive() bool { return e.state != StateDead && !e.hidden }

func (e *memberEntry) status() Status {
	return Status{Member: e.member, Suspect: e.state == StateSuspect, Heard: e.lastUpdateAt}
}

// Lookup returns the view of a member in the local table. The bool is false if the member is unknown or removed. In contrast
// to Lookup, Find also queries other processes.
func (t *Table) Lookup(id string) (Status, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id == t.self.ID {
		return Status{Member: t.self, Heard: time.Now()}, true
	}
	e := t.entries[id]
	if e == nil || !e.isLive() {
		return Status{}, false
	}
	return e.status(), true
}

// Scope returns the part of the fleet whose full member list this process holds.
func (t *Table) Scope() Scope {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.scope()
}

func (t *Table) scope() Scope { return Scope{Level: t.level, Domain: t.self.Domain, Rack: t.self.Rack} }

// scopeIDs returns the IDs of the live members of the scope without the process itself.
func (t *Table) scopeIDs() []string {
	s := t.scope()
	ids := []string{}
	for id, e := range t.entries {
		if e.isLive() && s.covers(e.member) {
			ids = append(ids, id)
		}
	}
	return ids
}

// shuffled shuffles the list in place and returns the list.
func shuffled[T any](list []T) []T {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
