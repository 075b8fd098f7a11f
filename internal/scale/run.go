package scale

import (
	"context"
	"runtime"
	"sort"
	"syscall"
	"time"

	"bamboofork/internal/membership"
)

// Distribution holds the percentiles and the maximum of a set of measured values.
type Distribution struct{ P50, P99, Max float64 }

// Role is the role of a node. Costs are reported separately for each role.
type Role string

// Roles of nodes in a run.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
	RoleHub   Role = "hub" // one of the representatives of its failure domain, see membership.Table.HubRank
)

// RoleCost is the network cost of the nodes of one role. SentRate and ReceivedRate are bytes per second of each node, including RPC and
// TCP/IP headers.
type RoleCost struct {
	Nodes           int // number of nodes
	SentRate        Distribution
	ReceivedRate    Distribution
	CallRate        float64 // mean number of calls that a node makes per second
	MeanConnections float64 // mean number of outgoing connections of a node
	MeanMembers     float64 // mean number of members in the membership table of a node
}

// Result holds the measurements of a run.
type Result struct {
	Config                Config
	ReadyAfter            time.Duration // from the start of the run until all nodes have applied the settings
	Roles                 map[Role]RoleCost
	CPUPerNode            float64            // mean fraction of one core that a node uses, including the in-memory network
	HeapMBPerNode         float64            // MiB of heap per node, with the node's share of the in-memory network
	StoreCallRates        map[string]float64 // calls per second in the steady phase, by kind of call
	OpenWatches           float64            // number of open watches; each watch costs the store one call per second
	PropagationSeconds    Distribution       // seconds from the acceptance of an edit until a node has applied it
	PropagationCount      int                // number of values in PropagationSeconds
	LateEdits             int                // number of edits that a node did not apply in time, summed over nodes
	LeaveDetectionSeconds Distribution       // seconds until no entry considered a leaving agent eligible
	CrashDetectionSeconds Distribution       // seconds until no entry considered a crashed agent eligible
	DomainLossSeconds     float64            // seconds until no entry considered any agent of a lost failure domain eligible
	DomainLossSentRate    float64            // mean bytes per second that a remaining node sent in that time, without connection probes
	UndetectedDepartures  int                // number of departures that some entry did not detect in time
	LoadReportAge         Distribution       // age in seconds of the load reports of agents in a node's scope and of its candidates
	IncorrectMembers      int                // live nodes in a node's scope that the node suspected or did not know, summed over nodes
}

// warmUpDuration is the time between the start and the first measurement. In this time, membership scopes narrow, summaries reach all
// nodes and idle connections close.
const warmUpDuration = 75 * time.Second

// Run starts a fleet, measures it and stops it.
func Run(ctx context.Context, cfg Config) (Result, error) {
	r := Result{Config: cfg}
	heapBefore := heapBytes()
	startedAt := time.Now()
	f, err := StartFleet(ctx, cfg)
	defer f.Stop()
	if err != nil {
		return r, err
	}
	r.ReadyAfter = time.Since(startedAt)
	time.Sleep(warmUpDuration)
	f.measureSteady(&r)
	r.HeapMBPerNode = float64(heapBytes()-heapBefore) / float64(cfg.Nodes) / (1 << 20)
	times, timeoutCount, err := f.measureEdits(ctx)
	if err != nil {
		return r, err
	}
	r.PropagationSeconds, r.PropagationCount, r.LateEdits = distributionOfSeconds(times), len(times), timeoutCount
	times, r.UndetectedDepartures = f.measureDepartures(ctx, false)
	r.LeaveDetectionSeconds = distributionOfSeconds(times)
	times, timeoutCount = f.measureDepartures(ctx, true)
	r.CrashDetectionSeconds = distributionOfSeconds(times)
	r.UndetectedDepartures += timeoutCount
	detectionTime, sentRate, timeoutCount := f.measureDomainLoss(ctx)
	r.DomainLossSeconds, r.DomainLossSentRate = detectionTime.Seconds(), sentRate
	r.UndetectedDepartures += timeoutCount
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

// trafficCounters is a snapshot of a node's traffic since its start: bytes sent, bytes received and calls made.
type trafficCounters struct{ sent, received, calls int64 }

func (f *Fleet) trafficCounters() []trafficCounters {
	out := make([]trafficCounters, len(f.Nodes))
	for i, n := range f.Nodes {
		out[i] = trafficCounters{n.Endpoint.Sent.Load(), n.Endpoint.Received.Load(), n.Endpoint.Calls.Load()}
	}
	return out
}

func (f *Fleet) measureSteady(r *Result) {
	before, callsBefore, cpuBefore, startedAt := f.trafficCounters(), f.Store.CallsByKind(), cpuTime(), time.Now()
	time.Sleep(f.cfg.SteadyDuration)
	after, elapsedSeconds := f.trafficCounters(), time.Since(startedAt).Seconds()
	r.CPUPerNode = (cpuTime() - cpuBefore).Seconds() / elapsedSeconds / float64(len(f.Nodes))
	r.StoreCallRates = map[string]float64{}
	for kind, n := range f.Store.CallsByKind() {
		r.StoreCallRates[kind] = float64(n-callsBefore[kind]) / elapsedSeconds
	}
	r.Roles = f.roleCosts(before, after, elapsedSeconds)
	r.LoadReportAge = f.loadReportAge()
	for _, n := range f.Nodes {
		if n.Table.HubRank() >= 0 {
			r.OpenWatches++
		}
		r.IncorrectMembers += f.incorrectMembers(n)
	}
}

// loadReportAge returns the distribution of the ages in seconds of the load reports that the nodes hold.
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

// incorrectMembers returns the number of nodes in the scope of n that n suspects or does not know. All nodes are alive when it is
// called, so that each such node is an error of the membership table.
func (f *Fleet) incorrectMembers(n *Node) int {
	scope, incorrect := n.Table.Scope(), 0
	for _, other := range f.Nodes {
		m, ok := n.Table.Lookup(other.Spec.ID)
		inScope := scope.Level == 0 || other.Spec.Domain == scope.Domain && (scope.Level == 1 || other.Spec.Rack == scope.Rack)
		if inScope && (!ok || m.Suspect) {
			incorrect++
		}
	}
	return incorrect
}

func (f *Fleet) roleCosts(before, after []trafficCounters, elapsedSeconds float64) map[Role]RoleCost {
	sent, received := map[Role][]float64{}, map[Role][]float64{}
	out := map[Role]RoleCost{}
	for i, n := range f.Nodes {
		role := n.role()
		probeRate := float64(n.Endpoint.Connections()*ProbeBytesPerSecond) / 2
		sent[role] = append(sent[role], float64(after[i].sent-before[i].sent)/elapsedSeconds+probeRate)
		received[role] = append(received[role], float64(after[i].received-before[i].received)/elapsedSeconds+probeRate)
		c := out[role]
		c.Nodes++
		c.CallRate += float64(after[i].calls-before[i].calls) / elapsedSeconds
		c.MeanConnections += float64(n.Endpoint.Connections())
		c.MeanMembers += float64(len(n.Table.Members()))
		out[role] = c
	}
	for role, c := range out {
		c.SentRate, c.ReceivedRate = distribution(sent[role]), distribution(received[role])
		c.CallRate, c.MeanConnections, c.MeanMembers = c.CallRate/float64(c.Nodes), c.MeanConnections/float64(c.Nodes),
			c.MeanMembers/float64(c.Nodes)
		out[role] = c
	}
	return out
}

func (n *Node) role() Role {
	switch {
	case n.Table.HubRank() >= 0:
		return RoleHub
	case n.Spec.IsEntry:
		return RoleEntry
	}
	return RoleAgent
}

func distributionOfSeconds(times []time.Duration) Distribution {
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
	quantile := func(q float64) float64 { return values[min(len(values)-1, int(q*float64(len(values))))] }
	return Distribution{P50: quantile(0.5), P99: quantile(0.99), Max: values[len(values)-1]}
}
