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
	lowestUs  = 1
	highestUs = int64(60 * time.Second / time.Microsecond)
	digits    = 3
)

// recorder collects the outcomes of one class. mu guards the fields below it.
type recorder struct {
	class Class
	mu    sync.Mutex
	hist  *hdrhistogram.Histogram // latency of Done
	count [verdicts]int64
	why   map[string]int64
}

func newRecorder(c Class) *recorder {
	return &recorder{class: c, hist: hdrhistogram.New(lowestUs, highestUs, digits), why: map[string]int64{}}
}

// maxReasons bounds the kept reasons of a class.
const maxReasons = 32

// record counts an outcome.
func (r *recorder) record(took time.Duration, v Verdict, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count[v]++
	if v == Done {
		r.hist.RecordValue(min(highestUs, max(lowestUs, took.Microseconds()))) //nolint:errcheck // within the range
		return
	}
	key := verdictNames[v] + ": " + detail
	if _, ok := r.why[key]; ok || len(r.why) < maxReasons {
		r.why[key]++
	}
}

// quantiles are the points of the curves that results keep.
var quantiles = []float64{1, 5, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99, 100}

// Point is one point of a latency curve.
type Point struct {
	Percentile float64 `json:"percentile"`
	Us         int64   `json:"us"`
}

// ClassResult is what the callers of one class saw.
type ClassResult struct {
	Class   Class            `json:"class"`
	Arrived int64            `json:"arrived"`
	Count   map[string]int64 `json:"count"`         // by verdict
	Why     map[string]int64 `json:"why,omitempty"` // of what is not done
	Curve   []Point          `json:"curve"`         // latency of done requests from the time they were due
	Goodput float64          `json:"goodput"`       // done requests/s of those that arrived in the run
}

// Result is the outcome of a run.
type Result struct {
	Name     string        `json:"name"`
	Seed     uint64        `json:"seed"`
	Duration time.Duration `json:"duration_ns"`
	Classes  []ClassResult `json:"classes"`
	All      ClassResult   `json:"all"` // the classes without floods and streams together
}

func (r *runner) result() *Result {
	out := &Result{Name: r.cfg.Name, Seed: r.cfg.Seed, Duration: r.cfg.Duration, All: r.all.result(r.cfg.Duration)}
	for _, rec := range r.classes {
		out.Classes = append(out.Classes, rec.result(r.cfg.Duration))
	}
	return out
}

func (r *recorder) result(d time.Duration) ClassResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := ClassResult{Class: r.class, Count: map[string]int64{}, Why: r.why, Goodput: float64(r.count[Done]) / d.Seconds()}
	for v, n := range r.count {
		c.Count[verdictNames[v]] = n
		c.Arrived += n
	}
	for _, q := range quantiles {
		c.Curve = append(c.Curve, Point{Percentile: q, Us: r.hist.ValueAtPercentile(q)})
	}
	return c
}

// At returns the latency at one of the kept percentiles, 0 if it is not kept or nothing was done.
func (c ClassResult) At(percentile float64) time.Duration {
	for _, p := range c.Curve {
		if p.Percentile == percentile {
			return time.Duration(p.Us) * time.Microsecond
		}
	}
	return 0
}

// Share returns the done share of what arrived, 1 if nothing arrived.
func (c ClassResult) Share() float64 {
	if c.Arrived == 0 {
		return 1
	}
	return float64(c.Count[verdictNames[Done]]) / float64(c.Arrived)
}

// Class returns the result of a class by name; ok is false if there is none.
func (r *Result) Class(name string) (ClassResult, bool) {
	for _, c := range r.Classes {
		if c.Class.Name == name {
			return c, true
		}
	}
	return ClassResult{}, false
}

// Goodput returns the done requests/s of all classes.
func (r *Result) Goodput() float64 {
	sum := 0.0
	for _, c := range r.Classes {
		sum += c.Goodput
	}
	return sum
}

// Wrong returns the number of answers that did not fit their requests.
func (r *Result) Wrong() int64 {
	n := int64(0)
	for _, c := range r.Classes {
		n += c.Count[verdictNames[Wrong]]
	}
	return n
}

// Write stores the result as JSON.
func (r *Result) Write(file string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), 0o644)
}

// Read loads a result that Write stored.
func Read(file string) (*Result, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	r := &Result{}
	return r, json.Unmarshal(data, r)
}
