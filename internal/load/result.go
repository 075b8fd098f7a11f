package load

import (
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histograms, in microseconds.
const (
	minLatencyUs      = 1
	maxLatencyUs      = int64(60 * time.Second / time.Microsecond)
	significantDigits = 3
)

// recorder counts the outcomes of the requests of one class. The mutex mu guards the fields below it.
type recorder struct {
	class          Class
	mu             sync.Mutex
	latencies      *hdrhistogram.Histogram // latency of the requests with outcome Done
	countByOutcome [outcomeCount]int64
	countByReason  map[string]int64
}

func newRecorder(c Class) *recorder {
	return &recorder{class: c, latencies: hdrhistogram.New(minLatencyUs, maxLatencyUs, significantDigits), countByReason: map[string]int64{}}
}

// maxReasons is the maximum number of different reasons that a recorder counts. Requests with further reasons count only by outcome.
const maxReasons = 32

// record counts the outcome of a request. It adds the latency to the histogram if the request is done, otherwise it counts the
// outcome together with detail as a reason.
func (r *recorder) record(latency time.Duration, outcome Outcome, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countByOutcome[outcome]++
	if outcome == Done {
		r.latencies.RecordValue(min(maxLatencyUs, max(minLatencyUs, latency.Microseconds()))) //nolint:errcheck // within the range
		return
	}
	key := outcomeNames[outcome] + ": " + detail
	if _, ok := r.countByReason[key]; ok || len(r.countByReason) < maxReasons {
		r.countByReason[key]++
	}
}

// percentiles are the percentiles at which a latency curve has its points.
var percentiles = []float64{1, 5, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99, 100}

// Point is a point of a latency curve: the latency in microseconds at a percentile.
type Point struct {
	Percentile float64 `json:"percentile"`
	LatencyUs  int64   `json:"us"`
}

// ClassResult holds the outcomes of the requests of one class.
type ClassResult struct {
	Class          Class            `json:"class"`
	Arrived        int64            `json:"arrived"`
	CountByOutcome map[string]int64 `json:"count"`         // number of requests by outcome
	CountByReason  map[string]int64 `json:"why,omitempty"` // number of requests that are not done, by outcome and reason
	Curve          []Point          `json:"curve"`         // latency of done requests, from their scheduled arrival
	Goodput        float64          `json:"goodput"`       // done requests/s, of those that arrived after the warm-up
}

// Result holds the outcomes of a run.
type Result struct {
	Name     string        `json:"name"`
	Seed     uint64        `json:"seed"`
	Duration time.Duration `json:"duration_ns"`
	Classes  []ClassResult `json:"classes"`
	All      ClassResult   `json:"all"` // all classes together, except floods and streams
}

func (r *runner) result() *Result {
	out := &Result{Name: r.cfg.Name, Seed: r.cfg.Seed, Duration: r.cfg.Duration, All: r.allRecorder.result(r.cfg.Duration)}
	for _, rec := range r.recorders {
		out.Classes = append(out.Classes, rec.result(r.cfg.Duration))
	}
	return out
}

func (r *recorder) result(measured time.Duration) ClassResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := ClassResult{Class: r.class, CountByOutcome: map[string]int64{}, CountByReason: r.countByReason, Goodput: float64(r.countByOutcome[Done]) / measured.Seconds()}
	for outcome, n := range r.countByOutcome {
		c.CountByOutcome[outcomeNames[outcome]] = n
		c.Arrived += n
	}
	for _, p := range percentiles {
		c.Curve = append(c.Curve, Point{Percentile: p, LatencyUs: r.latencies.ValueAtPercentile(p)})
	}
	return c
}

// LatencyAt returns the latency of the done requests at a percentile. It returns 0 if the curve has no point at this percentile or
// no request was done.
func (c ClassResult) LatencyAt(percentile float64) time.Duration {
	for _, p := range c.Curve {
		if p.Percentile == percentile {
			return time.Duration(p.LatencyUs) * time.Microsecond
		}
	}
	return 0
}

// DoneShare returns the fraction of the arrived requests that were done, or 1 if no request arrived.
func (c ClassResult) DoneShare() float64 {
	if c.Arrived == 0 {
		return 1
	}
	return float64(c.CountByOutcome[outcomeNames[Done]]) / float64(c.Arrived)
}

// Class returns the result of the class with the name. The second value is false if the run has no such class.
func (r *Result) Class(name string) (ClassResult, bool) {
	for _, c := range r.Classes {
		if c.Class.Name == name {
			return c, true
		}
	}
	return ClassResult{}, false
}

// Goodput returns the total goodput of all classes in done requests/s.
func (r *Result) Goodput() float64 {
	sum := 0.0
	for _, c := range r.Classes {
		sum += c.Goodput
	}
	return sum
}

// WrongCount returns the number of responses that did not match their requests.
func (r *Result) WrongCount() int64 {
	n := int64(0)
	for _, c := range r.Classes {
		n += c.CountByOutcome[outcomeNames[Wrong]]
	}
	return n
}

// Write writes the result to a file as JSON.
func (r *Result) Write(file string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), 0o644)
}

// Read reads a result written by Result.Write.
func Read(file string) (*Result, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	r := &Result{}
	return r, json.Unmarshal(data, r)
}
