package colocation

import (
	"sort"
	"sync"
	"time"
)

// Bounds of a Model, which keep it below 40 KB per host.
const (
	maxCriticalKinds = 4                   // latency-critical kinds of a host
	maxBatchKinds    = 8                   // batch kinds of a host at the same time; a new kind replaces the least recently seen one
	featureCount     = 2 + 2*maxBatchKinds // a constant, the load, and for each batch kind its cores and the product of cores and load
)

// Observation holds the measurements of a host over one time window. LatencySeconds and Cores must be from the same time; see Aligner.
type Observation struct {
	At             time.Time
	Quick          string             // latency-critical kind
	LatencySeconds float64            // mean service time in seconds
	Samples        int                // requests in the window
	Load           float64            // fraction of the slots in use, 0 to 1
	Cores          map[string]float64 // measured cores in use by kind of batch work
}

// Model is the learned interference on one host. For each pair of a latency-critical and a batch kind, it holds the relative
// slowdown per batch core as a linear function of the load. A Model is safe for concurrent use.
type Model struct {
	mu           sync.Mutex
	modelsByKind map[string]*kindModel // by latency-critical kind
}

// kindModel is a regression of the latency of one latency-critical kind, normalised by its first measurement, on the load,
// the cores of each batch kind, and the products of load and cores.
type kindModel struct {
	firstLatency   float64 // first measured latency in seconds, which normalises the later ones
	regression     *regression
	batchSlots     [maxBatchKinds]batchSlot
	features       []float64
	lastObservedAt time.Time
}

// batchSlot assigns a batch kind to two features of the regression: its cores, and the product of its cores and the load.
type batchSlot struct {
	kind       string
	lastSeenAt time.Time
}

// NewModel returns a model without observations.
func NewModel() *Model { return &Model{modelsByKind: map[string]*kindModel{}} }

func newKindModel(firstLatency float64) *kindModel {
	prior := make([]float64, featureCount)
	prior[0], prior[1] = 1, 1
	for i := 2; i < featureCount; i++ {
		prior[i] = PriorSlowdown.Deviation * PriorSlowdown.Deviation
	}
	m := &kindModel{firstLatency: firstLatency, regression: newRegression(prior), features: make([]float64, featureCount)}
	m.regression.mean[0] = 1
	for i := range m.batchSlots {
		m.regression.mean[2+2*i] = PriorSlowdown.Mean
	}
	return m
}

// Observe updates the model with one observation. It ignores observations without requests, and a new latency-critical kind beyond
// maxCriticalKinds.
func (m *Model) Observe(o Observation) {
	if o.Samples == 0 || o.LatencySeconds <= 0 || o.Quick == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	q := m.modelsByKind[o.Quick]
	if q == nil {
		if len(m.modelsByKind) >= maxCriticalKinds {
			return
		}
		q = newKindModel(o.LatencySeconds)
		m.modelsByKind[o.Quick] = q
	}
	q.observe(o)
}

func (q *kindModel) observe(o Observation) {
	for kind, cores := range o.Cores {
		if cores > 0 {
			q.assignBatchSlot(kind, o.At)
		}
	}
	clear(q.features)
	q.features[0], q.features[1] = 1, o.Load
	for i, s := range q.batchSlots {
		cores := o.Cores[s.kind]
		q.features[2+2*i], q.features[3+2*i] = cores, cores*o.Load
	}
	q.regression.observe(q.features, o.LatencySeconds/q.firstLatency, o.Samples)
	q.lastObservedAt = o.At
}

// assignBatchSlot marks the slot of the batch kind as seen at the given time. A kind without a slot takes over the least recently
// seen slot, whose coefficients are set back to the prior.
func (q *kindModel) assignBatchSlot(kind string, at time.Time) {
	leastRecentSlot := 0
	for i := range q.batchSlots {
		if q.batchSlots[i].kind == kind {
			q.batchSlots[i].lastSeenAt = at
			return
		}
		if q.batchSlots[i].lastSeenAt.Before(q.batchSlots[leastRecentSlot].lastSeenAt) {
			leastRecentSlot = i
		}
	}
	q.batchSlots[leastRecentSlot] = batchSlot{kind: kind, lastSeenAt: at}
	q.regression.reset(2+2*leastRecentSlot, PriorSlowdown.Mean)
	q.regression.reset(3+2*leastRecentSlot, 0)
}

// Slowdown returns the relative slowdown of the latency-critical kind per core of the batch kind at the load, a fraction of the
// slots in use. It returns PriorSlowdown for an unknown pair.
func (m *Model) Slowdown(criticalKind, batchKind string, load float64) Estimate {
	m.mu.Lock()
	defer m.mu.Unlock()
	if q := m.modelsByKind[criticalKind]; q != nil {
		return q.slowdown(batchKind, load)
	}
	return PriorSlowdown
}

func (q *kindModel) slowdown(batchKind string, load float64) Estimate {
	for i, s := range q.batchSlots {
		if s.kind != batchKind || batchKind == "" {
			continue
		}
		baseLatency := max(minBaseLatency, q.regression.mean[0]+q.regression.mean[1]*load)
		clear(q.features)
		q.features[2+2*i], q.features[3+2*i] = 1, load
		e := q.regression.combine(q.features)
		return Estimate{Mean: e.Mean / baseLatency, Deviation: e.Deviation / baseLatency}
	}
	return PriorSlowdown
}

// minBaseLatency is the lower bound of the normalised latency without batch work. Without this bound, a bad fit with a latency near
// 0 would inflate the relative slowdown.
const minBaseLatency = 0.2

// Loads, as fractions of the slots in use, at which a Pair gives the slowdown.
const (
	lowLoad  = 0.2
	highLoad = 0.8
)

// Pair is the estimated slowdown of a latency-critical kind (Quick) by a batch kind (Batch), per batch core. Agents exchange Pairs;
// one takes about 60 bytes.
type Pair struct {
	Quick, Batch string
	Low, High    Estimate // at the loads 0.2 and 0.8
}

// MaxPairs is the maximum number of Pairs in one message. They take about 500 bytes.
const MaxPairs = 8

// Pairs returns at most MaxPairs pairs, those with the smallest deviation at the load 0.8 first.
func (m *Model) Pairs() []Pair {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []Pair{}
	for criticalKind, q := range m.modelsByKind {
		for _, s := range q.batchSlots {
			if s.kind != "" {
				out = append(out, Pair{Quick: criticalKind, Batch: s.kind, Low: q.slowdown(s.kind, lowLoad), High: q.slowdown(s.kind, highLoad)})
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return lessPair(out[i], out[j]) })
	return out[:min(len(out), MaxPairs)]
}

func lessPair(a, b Pair) bool {
	if a.High.Deviation != b.High.Deviation {
		return a.High.Deviation < b.High.Deviation
	}
	if a.Quick != b.Quick {
		return a.Quick < b.Quick
	}
	return a.Batch < b.Batch
}
