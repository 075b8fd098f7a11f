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

// Item is a record with the state that the sender believes. A brief item leaves out what the receiver has already
// acknowledged for the same incarnation.
type Item struct {
	Member Member
	State  State
	Brief  bool
}

// brief returns the record without its fixed part.
func (m Member) brief() Member {
	m.Role, m.Region, m.Domain, m.Rack, m.Addr, m.DataAddr = "", "", "", "", "", ""
	m.Load.Backend, m.Load.Slots, m.Load.ConnsMax, m.Load.Capacity = "", 0, 0, worker.Resources{}
	return m
}

// withFixed returns the brief record completed with the fixed part of full.
func (m Member) withFixed(full Member) Member {
	m.Role, m.Region, m.Domain, m.Rack, m.Addr, m.DataAddr = full.Role, full.Region, full.Domain, full.Rack, full.Addr, full.DataAddr
	m.Load.Backend, m.Load.Slots, m.Load.ConnsMax, m.Load.Capacity = full.Load.Backend, full.Load.Slots, full.Load.ConnsMax, full.Load.Capacity
	return m
}

// sameFixed reports whether two records differ only in what brief items carry of one life.
func (m Member) sameFixed(o Member) bool {
	return compareLife(m, o) == 0 && m.Leaving == o.Leaving && m.Gone == o.Gone && m.Load.Failing == o.Load.Failing && m.Load.BackendDown == o.Load.BackendDown &&
		reflect.DeepEqual(m.withFixed(o), m)
}

// Status is a member as this process sees it.
type Status struct {
	Member
	Suspect bool
	Heard   time.Time // when this process last received a newer record
}
