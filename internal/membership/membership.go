// Package membership tells each process which others exist. Every process is the only
// authority on its own record; others hold copies that may be stale. A record with a
// higher incarnation, or the same incarnation and a higher version, replaces an older one.
package membership

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"bamboofork/internal/events"
	"bamboofork/internal/invariant"
	"bamboofork/internal/peer"
	"bamboofork/internal/worker"
)

// Role says what a process does.
type Role string

// Roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Load is what an agent reports about its host.
type Load struct {
	Backend   string           // name of the backend server pool
	Slots     int              // total slots of the backend server
	SlotsBusy int              // slots in use
	Queued    int              // requests waiting at the gate
	Conns     int              // connections in use
	ConnsMax  int              // total connections
	Capacity  worker.Resources // for batch tasks
	Free      worker.Resources // for batch tasks
	Failing   bool             // the worker fails what it starts
	// BackendDown: the backend server refuses connections or does not answer probes.
	BackendDown bool
	Clock       time.Duration // the agent's monotonic time since its start, when it wrote the record
}

// Member is a process's record about itself.
type Member struct {
	ID          string
	Role        Role
	Region      string
	Domain      string
	Rack        string
	Addr        string // control address (net/rpc)
	DataAddr    string // address for requests (HTTP/2)
	Incarnation int64  // start time in nanoseconds; grows with each start
	Version     int64  // grows with each change of the record
	Leaving     bool
	Gone        bool // left for good
	SettingsRev int64
	Load        Load
}

// newer reports whether m replaces old.
func (m Member) newer(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.Version > old.Version
}

// Status is a member as this process sees it.
type Status struct {
	Member
	Suspect bool
	Heard   time.Time // when this process last received a newer record
}

// Timing of the exchange.
const (
	DefaultInterval = 300 * time.Millisecond
	suspectAfter    = 10 // intervals without a newer record
	removeAfter     = 30
	forgetAfter     = 200 // intervals after which a removed record is dropped
)

// Config configures a Table.
type Config struct {
	Self     Member
	Seeds    []string // control addresses
	Interval time.Duration
}

type entry struct {
	member  Member
	heard   time.Time
	suspect bool
	removed bool
}

// Table is this process's view. mu guards all fields below it.
type Table struct {
	cfg  Config
	pool *peer.Pool
	log  zerolog.Logger

	mu      sync.Mutex
	self    Member
	entries map[string]*entry
}

// NewTable returns a table that knows only the process itself.
func NewTable(cfg Config, pool *peer.Pool, log zerolog.Logger) *Table {
	if cfg.Interval == 0 {
		cfg.Interval = DefaultInterval
	}
	if cfg.Self.Incarnation == 0 {
		cfg.Self.Incarnation = time.Now().UnixNano()
	}
	return &Table{cfg: cfg, pool: pool, log: log, self: cfg.Self, entries: map[string]*entry{}}
}

// Self returns the process's own record.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Update changes the process's own record.
func (t *Table) Update(change func(*Member)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	inc := t.self.Incarnation
	change(&t.self)
	t.self.Version++
	invariant.Check(t.self.Incarnation >= inc, "incarnation_monotonic", "incarnation %d after %d", t.self.Incarnation, inc)
}

// Members returns the members that are not removed, ordered by id, without the process itself.
func (t *Table) Members() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Status, 0, len(t.entries))
	for _, e := range t.entries {
		if !e.removed {
			out = append(out, Status{Member: e.member, Suspect: e.suspect, Heard: e.heard})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Lookup returns one member; ok is false if it is unknown or removed.
func (t *Table) Lookup(id string) (Status, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id == t.self.ID {
		return Status{Member: t.self, Heard: time.Now()}, true
	}
	e := t.entries[id]
	if e == nil || e.removed {
		return Status{}, false
	}
	return Status{Member: e.member, Suspect: e.suspect, Heard: e.heard}, true
}

// Messages of the exchange.
type (
	ExchangeArgs  struct{ Members []Member }
	ExchangeReply struct{ Members []Member }
)

// Service answers exchanges of other processes.
type Service struct{ table *Table }

// Service returns the receiver to register as "Member".
func (t *Table) Service() *Service { return &Service{t} }

// Exchange merges the caller's view and returns this process's.
func (s *Service) Exchange(args ExchangeArgs, reply *ExchangeReply) error {
	s.table.merge(args.Members)
	reply.Members = s.table.records()
	return nil
}

func (t *Table) records() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Member, 0, len(t.entries)+1)
	out = append(out, t.self)
	for _, e := range t.entries {
		if !e.removed {
			out = append(out, e.member)
		}
	}
	return out
}

func (t *Table) merge(members []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range members {
		t.mergeOne(m)
	}
}

func (t *Table) mergeOne(m Member) {
	if m.ID == t.self.ID {
		return
	}
	e := t.entries[m.ID]
	if e == nil {
		e = &entry{removed: true}
		t.entries[m.ID] = e
	} else if !m.newer(e.member) {
		return
	}
	t.logChange(e, m)
	e.member, e.heard, e.suspect, e.removed = m, time.Now(), false, m.Gone
}

func (t *Table) logChange(e *entry, m Member) {
	switch {
	case e.removed && !m.Gone:
		events.MemberJoined.Log(&t.log).Str("member", m.ID).Str("addr", m.Addr).Str("domain", m.Domain).Send()
	case e.suspect:
		events.MemberRecovered.Log(&t.log).Str("member", m.ID).Send()
	}
	if m.Leaving && !e.member.Leaving {
		events.MemberLeaving.Log(&t.log).Str("member", m.ID).Send()
	}
}

// Run exchanges views until ctx ends, then announces that the process is gone.
func (t *Table) Run(ctx context.Context) error {
	ticker := time.NewTicker(t.cfg.Interval)
	defer ticker.Stop()
	for {
		t.Update(func(*Member) {})
		t.expire()
		t.exchange(ctx, t.pickTargets())
		select {
		case <-ctx.Done():
			t.announceGone()
			return nil
		case <-ticker.C:
		}
	}
}

// fanout is the number of exchanges per interval.
const fanout = 2

func (t *Table) pickTargets() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	addrs := []string{}
	for _, e := range t.entries {
		if !e.removed {
			addrs = append(addrs, e.member.Addr)
		}
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	addrs = addrs[:min(fanout, len(addrs))]
	if n := len(t.cfg.Seeds); n > 0 {
		if seed := t.cfg.Seeds[rand.IntN(n)]; seed != t.self.Addr {
			addrs = append(addrs, seed)
		}
	}
	return addrs
}

func (t *Table) exchange(ctx context.Context, addrs []string) {
	var wg sync.WaitGroup
	for _, addr := range addrs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			callCtx, cancel := context.WithTimeout(ctx, t.cfg.Interval)
			defer cancel()
			var reply ExchangeReply
			if err := t.pool.Call(callCtx, addr, "Member.Exchange", ExchangeArgs{Members: t.records()}, &reply); err == nil {
				t.merge(reply.Members)
			}
		}()
	}
	wg.Wait()
}

func (t *Table) announceGone() {
	t.Update(func(m *Member) { m.Leaving, m.Gone = true, true })
	t.exchange(context.Background(), t.pickTargets())
}

func (t *Table) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for id, e := range t.entries {
		silent := now.Sub(e.heard)
		switch {
		case silent > forgetAfter*t.cfg.Interval:
			delete(t.entries, id)
		case !e.removed && silent > removeAfter*t.cfg.Interval:
			e.removed = true
			events.MemberRemoved.Log(&t.log).Str("member", id).Dur("silent", silent).Send()
		case !e.removed && !e.suspect && silent > suspectAfter*t.cfg.Interval:
			e.suspect = true
			events.MemberSuspected.Log(&t.log).Str("member", id).Dur("silent", silent).Send()
		}
	}
}
