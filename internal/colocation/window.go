package colocation

import (
	"slices"
	"sync"
	"time"
)

// windowSamples bounds the samples of one window; later ones replace random earlier positions in turn.
const windowSamples = 512

// Window is the service times of one latency-critical kind within a span of time.
type Window struct {
	Quick    string
	From, To time.Time
	P99      time.Duration
	Mean     time.Duration
	Count    int             // requests, also those beyond the bound on samples
	Load     float64         // mean share of the slots in use
	Samples  []time.Duration // in ascending order, at most windowSamples
}

// Recorder collects service times and closes windows. It is safe for concurrent use.
type Recorder struct {
	mu    sync.Mutex
	kinds map[string]*recording
}

type recording struct {
	from    time.Time
	samples []time.Duration
	sum     time.Duration
	count   int
	load    float64
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder { return &Recorder{kinds: map[string]*recording{}} }

// Add notes the service time of a request that ended at a time with the given load of the host.
func (r *Recorder) Add(quick string, took time.Duration, at time.Time, load float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kinds[quick]
	if k == nil {
		if len(r.kinds) >= maxQuickKinds {
			return
		}
		k = &recording{from: at.Add(-took)}
		r.kinds[quick] = k
	}
	if k.count == 0 || at.Add(-took).Before(k.from) {
		k.from = at.Add(-took) // a request that began earlier carries older conditions
	}
	if len(k.samples) < windowSamples {
		k.samples = append(k.samples, took)
	} else {
		k.samples[k.count%windowSamples] = took
	}
	k.sum += took
	k.load += load
	k.count++
}

// Close returns the windows since the last call, by kind; kinds without requests have none.
func (r *Recorder) Close(now time.Time) []Window {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []Window{}
	for kind, k := range r.kinds {
		if k.count == 0 {
			continue
		}
		slices.Sort(k.samples)
		out = append(out, Window{
			Quick: kind, From: k.from, To: now, Count: k.count, Mean: k.sum / time.Duration(k.count),
			P99: k.samples[min(len(k.samples)-1, len(k.samples)*99/100)], Load: k.load / float64(k.count),
			Samples: k.samples,
		})
		*k = recording{from: now}
	}
	slices.SortFunc(out, func(a, b Window) int {
		switch {
		case a.Quick < b.Quick:
			return -1
		case a.Quick > b.Quick:
			return 1
		}
		return 0
	})
	return out
}

// alignedWindows bounds the closed windows that wait for a measurement of their time.
const alignedWindows = 256

// Aligner joins windows with measurements of the batch work that arrive later. It is not synchronised.
type Aligner struct {
	windows []Window
	last    time.Time // time of the newest measurement
}

// AddWindow keeps a window until a measurement of its time arrives.
func (a *Aligner) AddWindow(w Window) {
	a.windows = append(a.windows, w)
	if len(a.windows) > alignedWindows {
		a.windows = a.windows[len(a.windows)-alignedWindows:]
	}
}

// Measured returns the windows that contain the time of a measurement, as observations with its cores. A measurement
// that was already seen returns none.
func (a *Aligner) Measured(at time.Time, cores map[string]float64) []Observation {
	if !at.After(a.last) {
		return nil
	}
	a.last = at
	out := []Observation{}
	keep := a.windows[:0]
	for _, w := range a.windows {
		switch {
		case w.To.Before(at):
			continue // no measurement of its time came
		case !w.From.After(at):
			out = append(out, Observation{At: at, Quick: w.Quick, Latency: w.Mean.Seconds(), Samples: w.Count, Load: w.Load, Cores: cores})
		default:
			keep = append(keep, w)
		}
	}
	a.windows = keep
	return out
}
