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

// Defaults of Config.
const (
	DefaultInterval       = 300 * time.Millisecond // between rounds of exchanges
	DefaultSuspectTimeout = 5 * time.Second        // from suspicion to removal; a pause of this length is survived
	DefaultFullLimit      = 64                     // members of a scope before it is narrowed
	DefaultCandidates     = 64                     // agents from outside the scope
)

// Caller sends a control call. Errors mean that no answer was received in time.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Config configures a Table. Zero values take the defaults.
type Config struct {
	Self           Member
	Seeds          []string      // control addresses from the process file
	Interval       time.Duration // between rounds of exchanges
	SuspectTimeout time.Duration
	FullLimit      int
	Candidates     int // agents that a choosing process holds from outside its scope; 0: DefaultCandidates
	// Revision returns the settings revision in force and its checksum; nil: none.
	Revision func() (int64, uint64)
	// OnRevision hears each revision that another process reports; nil: ignored. It must not block.
	OnRevision func(addr string, rev int64, sum uint64)
	// Hubs returns control addresses of hubs from the store; it is asked only while no process answers. nil: none.
	Hubs func(ctx context.Context) []string
	// KeepLoadReports sends each agent's load report to the whole domain instead of one summary for its rack. It exists
	// for the comparison in bf-scale.
	KeepLoadReports bool
}

func (c *Config) setDefaults() {
	if c.Interval == 0 {
		c.Interval = DefaultInterval
	}
	if c.SuspectTimeout == 0 {
		c.SuspectTimeout = DefaultSuspectTimeout
	}
	if c.FullLimit == 0 {
		c.FullLimit = DefaultFullLimit
	}
	if c.Candidates == 0 {
		c.Candidates = DefaultCandidates
	}
	if c.Self.Incarnation == 0 {
		c.Self.Incarnation = time.Now().UnixNano()
	}
}

// entry is one known member.
type entry struct {
	member    Member
	state     State
	seqs      seqs      // local sequences of the last changes
	lifeSeq   int64     // ... of the last change that goes over all links
	from      string    // process that the last change came from
	heard     time.Time // last newer record
	since     time.Time // start of the present state
	verifying bool      // an indirect probe is under way
	private   bool      // unreachable while this process was isolated; never reported to others
	candidate time.Time // last time that a representative reported it; zero: held because the scope covers it
}

// Table is this process's view. mu guards all fields below it; no call is made while it is held.
type Table struct {
	cfg  Config
	pool Caller
	log  zerolog.Logger
	wake chan struct{}

	mu          sync.Mutex
	self        Member // as last updated
	published   Member // as last sent
	publishedAt time.Time
	selfSeqs    seqs
	detailsAt   time.Time      // last publication of the load's details
	pairsAt     time.Time      // ... of the learned pairs
	ring        map[string]int // positions of the scope's members, self included; nil: to be computed
	seq         int64          // local sequence of changes
	level       Level
	joined      time.Time
	entries     map[string]*entry
	links       map[string]*link    // by id
	summaries   map[string]*summary // by cell
	subscribers map[string]*subscriber
	interested  func() bool
	referrals   map[string]Summary // rack cells in other domains, by domain
	notices     []notice
	incomplete  bool      // the message being merged leaves out what is not held here
	lastContact time.Time // last successful exchange
	lastRound   time.Time
	quietUntil  time.Time // failures of calls begun before are not held against others
	next        int       // round robin over the links
	nextLost    time.Time
	seedAsked   time.Time
	hubsAsked   time.Time
	hubsWait    time.Duration // grows with each call of Hubs
	nextPoll    time.Time
	nextSummary time.Time
}

// NewTable returns a table that knows only the process itself.
func NewTable(cfg Config, pool Caller, log zerolog.Logger) *Table {
	cfg.setDefaults()
	now := time.Now()
	return &Table{
		cfg: cfg, pool: pool, log: log, wake: make(chan struct{}, 1),
		self: cfg.Self, published: cfg.Self, selfSeqs: seqs{1, 1, 1}, seq: 1, joined: now, lastContact: now,
		entries: map[string]*entry{}, links: map[string]*link{}, summaries: map[string]*summary{},
		subscribers: map[string]*subscriber{}, referrals: map[string]Summary{},
	}
}

// Self returns the process's own record.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Update changes the process's own record. Leaving, Gone and Failing are published at once, load at the pace that the
// size of the scope allows.
func (t *Table) Update(change func(*Member)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	inc, refutes := t.self.Incarnation, t.self.Refutes
	change(&t.self)
	invariant.Check(t.self.Incarnation >= inc, "incarnation_monotonic", "incarnation %d after %d", t.self.Incarnation, inc)
	invariant.Check(t.self.Refutes >= refutes || t.self.Incarnation > inc, "refutes_monotonic", "refutes %d after %d", t.self.Refutes, refutes)
	if t.urgentChange() {
		t.publishSelf(time.Now())
		t.kick()
	}
}

func (t *Table) urgentChange() bool {
	return !t.self.sameLife(t.published)
}

func (t *Table) publishSelf(now time.Time) {
	t.self.Version++
	t.seq++
	next := t.self
	if !t.due(&t.detailsAt, now, detailsPacePerMember, minDetailsPace) {
		next.Load = next.Load.withDetails(t.published.Load)
	}
	if !t.due(&t.pairsAt, now, pairsPacePerMember, minPairsPace) {
		next.Load.Pairs = t.published.Load.Pairs
	}
	t.selfSeqs.note(extentOfChange(t.published, next), t.seq)
	t.published, t.publishedAt = next, now
}

// due reports whether a part that is published at its own pace may go out, and notes the time if so.
func (t *Table) due(last *time.Time, now time.Time, perMember, least time.Duration) bool {
	if now.Sub(*last) < max(time.Duration(len(t.entries)+1)*perMember, least) {
		return false
	}
	*last = now
	return true
}

// Pace of load reports: the time between two reports of one agent grows with the scope, so that the traffic of a scope
// does not.
const (
	loadPacePerMember = 50 * time.Millisecond
	minLoadPace       = 300 * time.Millisecond
	maxLoadPace       = 4 * time.Second
	beatPerMember     = 80 * time.Millisecond // reports without a change renew the agent's clock
	minBeat           = 1 * time.Second

	// Details are about 250 bytes and pairs up to 500, so they go out less often.
	detailsPacePerMember = 200 * time.Millisecond
	minDetailsPace       = 1 * time.Second
	pairsPacePerMember   = 1 * time.Second
	minPairsPace         = 5 * time.Second
	maxBeat              = 5 * time.Second
)

// publishLoad publishes a changed record if its pace allows.
func (t *Table) publishLoad(now time.Time) {
	n := time.Duration(len(t.entries) + 1)
	wait := min(max(n*beatPerMember, minBeat), maxBeat)
	news := !t.self.Load.sameExceptClock(t.published.Load) || t.self.SettingsRev != t.published.SettingsRev
	if news {
		wait = min(max(n*loadPacePerMember, minLoadPace), maxLoadPace)
	}
	changed := news || t.self.Load.Clock != t.published.Load.Clock
	if changed && now.Sub(t.publishedAt) >= wait {
		t.publishSelf(now)
	}
}

// Kick starts a round of exchanges with all links without waiting for the interval.
func (t *Table) Kick() { t.kick() }

func (t *Table) kick() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Members returns the members that are not removed, ordered by id, without the process itself: those of the scope and
// the candidates from outside it.
func (t *Table) Members() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Status, 0, len(t.entries))
	for _, e := range t.entries {
		if e.live() {
			out = append(out, e.status())
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func (e *entry) live() bool { return e.state != StateDead && !e.private }

func (e *entry) status() Status {
	return Status{Member: e.member, Suspect: e.state == StateSuspect, Heard: e.heard}
}

// Lookup returns one member that this process holds; ok is false if it is unknown or removed. Find asks others.
func (t *Table) Lookup(id string) (Status, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id == t.self.ID {
		return Status{Member: t.self, Heard: time.Now()}, true
	}
	e := t.entries[id]
	if e == nil || !e.live() {
		return Status{}, false
	}
	return e.status(), true
}

// Scope returns the cell whose members this process holds in full.
func (t *Table) Scope() Scope {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.scope()
}

func (t *Table) scope() Scope { return Scope{Level: t.level, Domain: t.self.Domain, Rack: t.self.Rack} }

// scopeIDs returns the live members of the scope without the process itself.
func (t *Table) scopeIDs() []string {
	s := t.scope()
	ids := []string{}
	for id, e := range t.entries {
		if e.live() && s.covers(e.member) {
			ids = append(ids, id)
		}
	}
	return ids
}

func shuffled[T any](list []T) []T {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
