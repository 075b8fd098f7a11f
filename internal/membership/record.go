// Package membership tracks without a coordinator which processes exist. Only a process itself changes its own record.
// A process holds the full member list only of its scope: the whole fleet while the fleet is small, else the failure domain or
// the rack of the process. It knows the other failure domains and racks, the cells, through summaries. The summaries of a cell
// are published by the representatives of the cell: up to repsPerCell members that all members select by rendezvous hashing.
package membership

import (
	"reflect"
	"time"

	"bamboofork/internal/colocation"
	"bamboofork/internal/worker"
)

// Role is the function of a process in the fleet.
type Role string

const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Load is the report of an agent about the load and the free resources of its host.
type Load struct {
	Backend   string           // name of the backend server pool
	Slots     int              // total slots of the backend server
	SlotsBusy int              // slots in use
	Queued    int              // requests waiting at the gate
	Conns     int              // connections in use
	ConnsMax  int              // total connections
	Capacity  worker.Resources // resources for batch tasks in total
	Free      worker.Resources // resources free for batch tasks
	Failing   bool             // set while the tasks that the worker starts fail
	// BackendDown is set while the backend server of the host refuses connections or does not respond to probes.
	BackendDown bool
	Clock       time.Duration // time since the start of the agent at which it wrote the record

	FreeAt      [4]worker.Resources         // projected free resources at scheduler.ProjectionHorizons
	Teams       map[string]worker.Resources // resources used by batch tasks, by team
	Preemptible map[int]worker.Resources    // resources used by preemptible batch tasks, by priority
	QuickKind   string                      // kind of latency-critical work whose latency is closest to its target
	QuickRatio  float64                     // p99 latency of that kind divided by its target; 0: unknown
	BatchCores  map[string]float64          // measured use of cores, by kind of batch work
	Pairs       []colocation.Pair           // learned interference of pairs of kinds, at most colocation.MaxPairs
}

// sameExceptClock reports whether the loads are equal apart from Clock.
func (l Load) sameExceptClock(o Load) bool {
	l.Clock, o.Clock = 0, 0
	return reflect.DeepEqual(l, o)
}

// Member is the record that a process publishes about itself.
type Member struct {
	ID          string
	Role        Role
	Region      string
	Domain      string
	Rack        string
	Addr        string // control address (net/rpc)
	DataAddr    string // address for requests (HTTP/2)
	Incarnation int64  // start time in nanoseconds; increases with each start
	Refutes     int64  // number of suspicions that this incarnation has refuted
	Version     int64  // increases with each published change of the record
	Leaving     bool   // the process is shutting down gracefully
	Gone        bool   // the process has shut down gracefully
	SettingsRev int64  // active settings revision
	Load        Load
}

// compareIncarnations compares two records of one member by incarnation, then by number of refutations. The result is -1, 0 or 1.
func compareIncarnations(a, b Member) int {
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

// State is the state of a member according to the failure detector.
type State uint8

// States in order of increasing precedence. Of two reports with the same incarnation and number of refutations, the report with
// the higher state wins.
const (
	StateAlive State = iota
	StateSuspect
	StateDead
)

// Extent says which fields of a record an item carries. The receiver has acknowledged the omitted fields for the same
// incarnation and number of refutations.
type Extent uint8

// Extents from largest to smallest.
const (
	ExtentFull    Extent = iota // all fields
	ExtentDetails               // without the role, location, addresses, capacity and interference pairs, see fillOmitted
	ExtentLoad                  // without the load details either, see Load.withDetails
)

// Item is a record of a member with the state of the member according to the sender.
type Item struct {
	Member Member
	State  State
	Extent Extent
}

// trim returns the record with the fields that the extent omits set to zero values.
func (m Member) trim(x Extent) Member {
	if x == ExtentFull {
		return m
	}
	return m.fillOmitted(Member{}, x)
}

// fillOmitted returns the record with the fields that the extent omits replaced by those of full.
func (m Member) fillOmitted(full Member, x Extent) Member {
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

// withDetails returns the load with its detail fields replaced by those of o. Placement uses the details and tolerates a delay
// of a few seconds. The details are therefore published less often than the other fields.
func (l Load) withDetails(o Load) Load {
	l.FreeAt, l.Teams, l.Preemptible, l.BatchCores = o.FreeAt, o.Teams, o.Preemptible, o.BatchCores
	return l
}

// extentOfChange returns the smallest extent that carries every difference between two records.
func extentOfChange(old, m Member) Extent {
	switch {
	case compareIncarnations(m, old) != 0 || !reflect.DeepEqual(m.fillOmitted(old, ExtentDetails), m):
		return ExtentFull
	case !reflect.DeepEqual(m.fillOmitted(old, ExtentLoad), m):
		return ExtentDetails
	}
	return ExtentLoad
}

// extentSeqs holds, for each extent, the local sequence number of the last change that requires this extent or a larger one.
type extentSeqs struct{ full, details, load int64 }

// advance records that the change with the local sequence number seq requires extent x.
func (s *extentSeqs) advance(x Extent, seq int64) {
	s.load = seq
	if x <= ExtentDetails {
		s.details = seq
	}
	if x == ExtentFull {
		s.full = seq
	}
}

// extent returns the extent to send to a partner that has acknowledged all changes up to acked.
func (s extentSeqs) extent(acked int64) Extent {
	switch {
	case acked < s.full:
		return ExtentFull
	case acked < s.details:
		return ExtentDetails
	}
	return ExtentLoad
}

// sameUrgentState reports whether two records agree in all fields whose changes are sent to every member at once.
func (m Member) sameUrgentState(o Member) bool {
	return compareIncarnations(m, o) == 0 && m.Leaving == o.Leaving && m.Gone == o.Gone && m.Load.Failing == o.Load.Failing &&
		m.Load.BackendDown == o.Load.BackendDown && m.Load.Backend == o.Load.Backend && m.Load.Slots == o.Load.Slots
}

// Status is this process's view of a member.
type Status struct {
	Member
	Suspect bool
	Heard   time.Time // when this process last received a newer record of the member
}
