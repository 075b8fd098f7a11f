package colocation

import (
	"sort"
	"sync"
	"time"
)

// Bounds of a Model, which keep it below 40 KB per host.
const (
	maxQuickKinds = 4 // latency-critical kinds of a host
	maxBatchKinds = 8 // batch kinds of a host at once; a new kind replaces the least recently seen one
	featureCount  = 2 + 2*maxBatchKinds
)

// Observation is one window of measurements of a host. Latency and Cores must be from the same time; see Aligner.
type Observation struct {
	At      time.Time
	Quick   string             // latency-critical kind
	Latency float64            // mean service time in seconds
	Samples int                // requests in the window
	Load    float64            // fraction of the slots in use, 0 to 1
	Cores   map[string]float64 // measured cores in use by kind of batch work
}

// Model is the learned interference of one host: for each pair of a latency-critical and a batch kind, the relative
// slowdown per batch core as a linear function of the load. It is safe for concurrent use.
type Model struct {
	mu    sync.Mutex
	quick map[string]*quickModel
}

// quickModel is a regression of the latency of one latency-critical kind, normalised by its first measurement, on the load,
// the cores of each batch kind, and the products of load and cores.
type quickModel struct {
	scale    float64 // seconds
	reg      *regression
	slots    [maxBatchKinds]kindSlot
	features []float64
	last     time.Time
}

// kindSlot assigns a batch kind to a pair of features.
type kindSlot struct {
	kind     string
	lastSeen time.Time
}

// NewModel returns a model without observations.
func NewModel() *Model { return &Model{quick: map[string]*quickModel{}} }

func newQuickModel(scale float64) *quickModel {
	prior := make([]float64, featureCount)
	prior[0], prior[1] = 1, 1
	for i := 2; i < featureCount; i++ {
		prior[i] = Prior.Deviation * Prior.Deviation
	}
	m := &quickModel{scale: scale, reg: newRegression(prior), features: make([]float64, featureCount)}
	m.reg.mean[0] = 1
	for i := range m.slots {
		m.reg.mean[2+2*i] = Prior.Mean
	}
	return m
}

// Observe updates the model with one window. Windows without requests are ignored.
func (m *Model) Observe(o Observation) {
	if o.Samples == 0 || o.Latency <= 0 || o.Quick == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	q := m.quick[o.Quick]
	if q == nil {
		if len(m.quick) >= maxQuickKinds {
			return
		}
		q = newQuickModel(o.Latency)
		m.quick[o.Quick] = q
	}
	q.observe(o)
}

func (q *quickModel) observe(o Observation) {
	for kind, cores := range o.Cores {
		if cores > 0 {
			q.assignSlot(kind, o.At)
		}
	}
	clear(q.features)
	q.features[0], q.features[1] = 1, o.Load
	for i, s := range q.slots {
		cores := o.Cores[s.kind]
		q.features[2+2*i], q.features[3+2*i] = cores, cores*o.Load
	}
	q.reg.observe(q.features, o.Latency/q.scale, o.Samples)
	q.last = o.At
}

// assignSlot finds the slot of a batch kind, or gives it the least recently seen one.
func (q *quickModel) assignSlot(kind string, at time.Time) {
	leastRecent := 0
	for i := range q.slots {
		if q.slots[i].kind == kind {
			q.slots[i].lastSeen = at
			return
		}
		if q.slots[i].lastSeen.Before(q.slots[leastRecent].lastSeen) {
			leastRecent = i
		}
	}
	q.slots[leastRecent] = kindSlot{kind: kind, lastSeen: at}
	q.reg.reset(2+2*leastRecent, Prior.Mean)
	q.reg.reset(3+2*leastRecent, 0)
}

// Slowdown returns the relative slowdown of quick per core of batch at the load; Prior for an unknown pair.
func (m *Model) Slowdown(quick, batch string, load float64) Estimate {
	m.mu.Lock()
	defer m.mu.Unlock()
	if q := m.quick[quick]; q != nil {
		return q.effect(batch, load)
	}
	return Prior
}

func (q *quickModel) effect(batch string, load float64) Estimate {
	for i, s := range q.slots {
		if s.kind != batch || batch == "" {
			continue
		}
		base := max(minBase, q.reg.mean[0]+q.reg.mean[1]*load)
		clear(q.features)
		q.features[2+2*i], q.features[3+2*i] = 1, load
		e := q.reg.combine(q.features)
		return Estimate{Mean: e.Mean / base, Deviation: e.Deviation / base}
	}
	return Prior
}

// minBase is the lower bound of the normalised latency without batch work, so that a bad fit does not inflate the ratio.
const minBase = 0.2

// Loads at which a Pair samples an effect.
const (
	lowLoad  = 0.2
	highLoad = 0.8
)

// Pair is the summary of one pair of kinds that agents exchange, about 60 bytes.
type Pair struct {
	Quick, Batch string
	Low, High    Estimate // at the loads 0.2 and 0.8
}

// MaxPairs is the maximum number of pairs in one message, about 500 bytes.
const MaxPairs = 8

// Pairs returns the pairs with the smallest deviation at high load, at most MaxPairs.
func (m *Model) Pairs() []Pair {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []Pair{}
	for quick, q := range m.quick {
		for _, s := range q.slots {
			if s.kind != "" {
				out = append(out, Pair{Quick: quick, Batch: s.kind, Low: q.effect(s.kind, lowLoad), High: q.effect(s.kind, highLoad)})
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
