package scale

import (
	"context"
	"runtime"
	"sort"
	"syscall"
	"time"

	"bamboofork/internal/membership"
)

// Distribution summarises a set of measured values.
type Distribution struct{ P50, P99, Max float64 }

// Role is the kind of node that costs are grouped by.
type Role string

// Roles of nodes in a run.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
	RoleHub   Role = "hub" // represents its failure domain
)

// RoleCost is the cost of the nodes of one role. Sent and Received are bytes per second and node, with RPC and TCP/IP headers.
type RoleCost struct {
	Nodes       int
	Sent        Distribution
	Received    Distribution
	Calls       float64 // calls made per second and node
	Connections float64 // outgoing connections per node
	Members     float64 // members in the table per node
}

// Result is the result of a run.
type Result struct {
	Config               Config
	ReadyAfter           time.Duration // from the start of the run until all nodes have applied the settings
	Roles                map[Role]RoleCost
	CPUPerNode           float64            // of one core, per node; the in-memory network is included
	HeapMBPerNode        float64            // MiB of heap per node, with the node's share of the in-memory network
	StoreCalls           map[string]float64 // per second in the steady phase
	Watches              float64            // open watches, each of which costs the store one call per second
	Propagation          Distribution       // seconds from the acceptance of an edit until a node has applied it
	PropagationCount     int
	LateEdits            int          // edits that a node did not apply in time, summed over nodes
	Leaving              Distribution // seconds until no entry considered a leaving agent eligible
	Crashed              Distribution // the same for a crashed agent
	DomainLossSeconds    float64      // seconds until no entry considered any agent of a lost failure domain eligible
	DomainLossSentRate   float64      // bytes per second that each remaining node sent in that time, without connection probes
	UndetectedDepartures int          // departures that some entry did not detect in time
	LoadReportAge        Distribution // age in seconds of the load reports that nodes hold, of agents in scope and candidates
	IncorrectMembers     int          // live members that a node suspected or lacked at the end of the steady phase, summed over nodes
}

// warmUp is the time after the start that is not measured: scopes narrow, summaries spread and idle connections close.
const warmUp = 75 * time.Second

// Run starts a fleet, measures it and stops it.
func Run(ctx context.Context, cfg Config) (Result, error) {
	r := Result{Config: cfg}
	heap := heapBytes()
	started := time.Now()
	f, err := StartFleet(ctx, cfg)
	defer f.Stop()
	if err != nil {
		return r, err
	}
	r.ReadyAfter = time.Since(started)
	time.Sleep(warmUp)
	f.measureSteady(&r)
	r.HeapMBPerNode = float64(heapBytes()-heap) / float64(cfg.Nodes) / (1 << 20)
	times, late, err := f.measureEdits(ctx)
	if err != nil {
		return r, err
	}
	r.Propagation, r.PropagationCount, r.LateEdits = seconds(times), len(times), late
	times, r.UndetectedDepartures = f.measureDepartures(ctx, false)
	r.Leaving = seconds(times)
	times, late = f.measureDepartures(ctx, true)
	r.Crashed = seconds(times)
	r.UndetectedDepartures += late
	lost, sent, late := f.measureDomainLoss(ctx)
	r.DomainLossSeconds, r.DomainLossSentRate = lost.Seconds(), sent
	r.UndetectedDepartures += late
	return r, nil
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// counters is a snapshot of a node's counters.
type counters struct{ sent, received, calls int64 }

func (f *Fleet) counters() []counters {
	out := make([]counters, len(f.Nodes))
	for i, n := range f.Nodes {
		out[i] = counters{n.Endpoint.Sent.Load(), n.Endpoint.Received.Load(), n.Endpoint.Calls.Load()}
	}
	return out
}

func (f *Fleet) measureSteady(r *Result) {
	before, calls, cpu, started := f.counters(), f.Store.Calls(), cpuTime(), time.Now()
	time.Sleep(f.cfg.SteadyDuration)
	after, took := f.counters(), time.Since(started).Seconds()
	r.CPUPerNode = (cpuTime() - cpu).Seconds() / took / float64(len(f.Nodes))
	r.StoreCalls = map[string]float64{}
	for kind, n := range f.Store.Calls() {
		r.StoreCalls[kind] = float64(n-calls[kind]) / took
	}
	r.Roles = f.roleCosts(before, after, took)
	r.LoadReportAge = f.loadReportAge()
	for _, n := range f.Nodes {
		if n.Table.HubRank() >= 0 {
			r.Watches++
		}
		r.IncorrectMembers += f.incorrectMembers(n)
	}
}

// loadReportAge returns the age in seconds of the load reports that the nodes hold.
func (f *Fleet) loadReportAge() Distribution {
	startTimes, ages := map[string]time.Time{}, []float64{}
	for _, n := range f.Nodes {
		startTimes[n.Spec.ID] = n.startedAt
	}
	for _, n := range f.Nodes {
		for _, m := range n.Table.Members() {
			if m.Role == membership.RoleAgent {
				ages = append(ages, (time.Since(startTimes[m.ID]) - m.Load.Clock).Seconds())
			}
		}
	}
	return distribution(ages)
}

// incorrectMembers counts the members of the node's scope that it suspects or lacks. In the steady phase all nodes are alive.
func (f *Fleet) incorrectMembers(n *Node) int {
	scope, wrong := n.Table.Scope(), 0
	for _, other := range f.Nodes {
		m, ok := n.Table.Lookup(other.Spec.ID)
		inScope := scope.Level == 0 || other.Spec.Domain == scope.Domain && (scope.Level == 1 || other.Spec.Rack == scope.Rack)
		if inScope && (!ok || m.Suspect) {
			wrong++
		}
	}
	return wrong
}

func (f *Fleet) roleCosts(before, after []counters, took float64) map[Role]RoleCost {
	sent, received := map[Role][]float64{}, map[Role][]float64{}
	out := map[Role]RoleCost{}
	for i, n := range f.Nodes {
		role := n.role()
		probes := float64(n.Endpoint.Connections()*ProbeBytesPerSecond) / 2
		sent[role] = append(sent[role], float64(after[i].sent-before[i].sent)/took+probes)
		received[role] = append(received[role], float64(after[i].received-before[i].received)/took+probes)
		c := out[role]
		c.Nodes++
		c.Calls += float64(after[i].calls-before[i].calls) / took
		c.Connections += float64(n.Endpoint.Connections())
		c.Members += float64(len(n.Table.Members()))
		out[role] = c
	}
	for role, c := range out {
		c.Sent, c.Received = distribution(sent[role]), distribution(received[role])
		c.Calls, c.Connections, c.Members = c.Calls/float64(c.Nodes), c.Connections/float64(c.Nodes), c.Members/float64(c.Nodes)
		out[role] = c
	}
	return out
}

func (n *Node) role() Role {
	switch {
	case n.Table.HubRank() >= 0:
		return RoleHub
	case n.Spec.Entry:
		return RoleEntry
	}
	return RoleAgent
}

func seconds(times []time.Duration) Distribution {
	values := make([]float64, len(times))
	for i, t := range times {
		values[i] = t.Seconds()
	}
	return distribution(values)
}

func distribution(values []float64) Distribution {
	if len(values) == 0 {
		return Distribution{}
	}
	sort.Float64s(values)
	at := func(q float64) float64 { return values[min(len(values)-1, int(q*float64(len(values))))] }
	return Distribution{P50: at(0.5), P99: at(0.99), Max: values[len(values)-1]}
}
