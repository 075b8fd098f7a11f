package colocation

import (
	"slices"
	"sync"
	"time"
)

// windowSamples is the maximum number of samples in one window; later ones overwrite the oldest.
const windowSamples = 512

// Window holds the service times of one latency-critical kind within a time span.
type Window struct {
	Quick    string
	From, To time.Time
	P99      time.Duration
	Mean     time.Duration
	Count    int             // all requests, including those without a sample
	Load     float64         // mean fraction of the slots in use
	Samples  []time.Duration // in ascending order, at most windowSamples
}

// Recorder collects service times into windows. It is safe for concurrent use.
type Recorder struct {
	mu    sync.Mutex
	kinds map[string]*openWindow
}

type openWindow struct {
	from    time.Time
	samples []time.Duration
	sum     time.Duration
	count   int
	load    float64
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder { return &Recorder{kinds: map[string]*openWindow{}} }

// Add records the service time of a request that ended at the given time, and the load of the host.
func (r *Recorder) Add(quick string, serviceTime time.Duration, at time.Time, load float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kinds[quick]
	if k == nil {
		if len(r.kinds) >= maxQuickKinds {
			return
		}
		k = &openWindow{from: at.Add(-serviceTime)}
		r.kinds[quick] = k
	}
	if k.count == 0 || at.Add(-serviceTime).Before(k.from) {
		k.from = at.Add(-serviceTime) // the request was also affected by the conditions before the window
	}
	if len(k.samples) < windowSamples {
		k.samples = append(k.samples, serviceTime)
	} else {
		k.samples[k.count%windowSamples] = serviceTime
	}
	k.sum += serviceTime
	k.load += load
	k.count++
}

// Close returns the windows since the last call, sorted by kind; kinds without requests have none.
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
		*k = openWindow{from: now}
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

// maxPendingWindows is the maximum number of closed windows that wait for a measurement.
const maxPendingWindows = 256

// Aligner joins windows with measurements of batch work that arrive later. It is not safe for concurrent use.
type Aligner struct {
	windows []Window
	last    time.Time // time of the newest measurement
}

// AddWindow keeps a window until a measurement from its time span arrives.
func (a *Aligner) AddWindow(w Window) {
	a.windows = append(a.windows, w)
	if len(a.windows) > maxPendingWindows {
		a.windows = a.windows[len(a.windows)-maxPendingWindows:]
	}
}

// Match returns the windows that contain the time of a measurement, as observations with its cores. A measurement that is
// not newer than the last one returns none.
func (a *Aligner) Match(at time.Time, cores map[string]float64) []Observation {
	if !at.After(a.last) {
		return nil
	}
	a.last = at
	out := []Observation{}
	keep := a.windows[:0]
	for _, w := range a.windows {
		switch {
		case w.To.Before(at):
			continue // no measurement falls into its span
		case !w.From.After(at):
			out = append(out, Observation{At: at, Quick: w.Quick, Latency: w.Mean.Seconds(), Samples: w.Count, Load: w.Load, Cores: cores})
		default:
			keep = append(keep, w)
		}
	}
	a.windows = keep
	return out
}
