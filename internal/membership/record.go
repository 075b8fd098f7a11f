// Package membership tells each process which others exist, without a coordinator. Every process is the only authority
// on its own record. A process holds the full list only of its scope (the fleet while it is small, else its failure
// domain or rack) and reaches the rest through summaries that each cell's representatives publish.
package membership

import (
	"reflect"
	"time"

	"bamboofork/internal/colocation"
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

	FreeAt      [4]worker.Resources         // projected free room at scheduler.Horizons
	Teams       map[string]worker.Resources // batch tasks by team
	Preemptible map[int]worker.Resources    // batch tasks by priority
	QuickKind   string                      // latency-critical kind closest to its target
	QuickRatio  float64                     // its p99 / target, 0: not known
	BatchCores  map[string]float64          // measured cores by kind of batch work
	Pairs       []colocation.Pair           // learned interference, at most colocation.MaxPairs
}

// sameExceptClock reports whether the loads differ in nothing but the time of the report.
func (l Load) sameExceptClock(o Load) bool {
	l.Clock, o.Clock = 0, 0
	return reflect.DeepEqual(l, o)
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
	Refutes     int64  // how often this incarnation has contradicted a suspicion
	Version     int64  // grows with each published change of the record
	Leaving     bool
	Gone        bool // left for good
	SettingsRev int64
	Load        Load
}

// compareLife orders the records of one id by incarnation, then by refutation.
func compareLife(a, b Member) int {
	switch {
	case a.Incarnation != b.Incarnation:
		return sign(a.Incarnation - b.Incarnation)
	default:
		return sign(a.Refutes - b.Refutes)
	}
}

func sign(n int64) int {
	switch {
	case n > 0:
		return 1
	case n < 0:
		return -1
	}
	return 0
}

// State is what other processes believe of a member.
type State uint8

// States in the order in which one overrides another of the same life.
const (
	StateAlive State = iota
	StateSuspect
	StateDead
)

// Extent says how much of a record an item carries. What is left out was acknowledged by the receiver for the same life.
type Extent uint8

// Extents from large to small.
const (
	ExtentFull    Extent = iota // everything
	ExtentDetails               // without the identity, the sizes of the host and the learned pairs
	ExtentLoad                  // without the load's details either
)

// Item is a record with the state that the sender believes.
type Item struct {
	Member Member
	State  State
	Extent Extent
}

// brief returns the part of the record that the extent carries.
func (m Member) brief(x Extent) Member {
	if x == ExtentFull {
		return m
	}
	return m.withRest(Member{}, x)
}

// withRest returns the record with what the extent leaves out taken from full.
func (m Member) withRest(full Member, x Extent) Member {
	if x >= ExtentDetails {
		m.Role, m.Region, m.Domain, m.Rack, m.Addr, m.DataAddr = full.Role, full.Region, full.Domain, full.Rack, full.Addr, full.DataAddr
		m.Load.Backend, m.Load.Slots, m.Load.ConnsMax, m.Load.Capacity = full.Load.Backend, full.Load.Slots, full.Load.ConnsMax, full.Load.Capacity
		m.Load.Pairs = full.Load.Pairs
	}
	if x >= ExtentLoad {
		m.Load = m.Load.withDetails(full.Load)
	}
	return m
}

// withDetails returns the load with the details of another report. They serve placement, which stands a few seconds'
// delay, and are published less often than the rest.
func (l Load) withDetails(o Load) Load {
	l.FreeAt, l.Teams, l.Preemptible, l.BatchCores = o.FreeAt, o.Teams, o.Preemptible, o.BatchCores
	return l
}

// extentOfChange returns the smallest extent that carries all differences between two records.
func extentOfChange(old, m Member) Extent {
	switch {
	case compareLife(m, old) != 0 || !reflect.DeepEqual(m.withRest(old, ExtentDetails), m):
		return ExtentFull
	case !reflect.DeepEqual(m.withRest(old, ExtentLoad), m):
		return ExtentDetails
	}
	return ExtentLoad
}

// seqs are the local sequences of the last change of each extent.
type seqs struct{ full, details, load int64 }

// note records a change of the extent.
func (s *seqs) note(x Extent, seq int64) {
	s.load = seq
	if x <= ExtentDetails {
		s.details = seq
	}
	if x == ExtentFull {
		s.full = seq
	}
}

// extent returns what a partner needs that has everything up to acked.
func (s seqs) extent(acked int64) Extent {
	switch {
	case acked < s.full:
		return ExtentFull
	case acked < s.details:
		return ExtentDetails
	}
	return ExtentLoad
}

// sameLife reports whether two records agree in what all members must hear of at once.
func (m Member) sameLife(o Member) bool {
	return compareLife(m, o) == 0 && m.Leaving == o.Leaving && m.Gone == o.Gone && m.Load.Failing == o.Load.Failing &&
		m.Load.BackendDown == o.Load.BackendDown && m.Load.Backend == o.Load.Backend && m.Load.Slots == o.Load.Slots
}

// Status is a member as this process sees it.
type Status struct {
	Member
	Suspect bool
	Heard   time.Time // when this process last received a newer record
}
