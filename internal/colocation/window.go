package colocation

import (
	"slices"
	"sync"
	"time"
)

// maxWindowSamples is the maximum number of samples in one window. Further samples overwrite the oldest ones.
const maxWindowSamples = 512

// Window holds the service times of one latency-critical kind within a time span.
type Window struct {
	Quick    string
	From, To time.Time
	P99      time.Duration
	Mean     time.Duration
	Count    int             // number of all requests, including those whose sample was overwritten
	Load     float64         // mean fraction of the slots in use
	Samples  []time.Duration // in ascending order, at most maxWindowSamples
}

// Recorder collects service times into windows. It is safe for concurrent use.
type Recorder struct {
	mu         sync.Mutex
	openByKind map[string]*openWindow
}

// openWindow collects the service times of one latency-critical kind since the last Recorder.CloseWindows.
type openWindow struct {
	from           time.Time
	samples        []time.Duration
	serviceTimeSum time.Duration
	count          int
	loadSum        float64 // sum of the load over the requests
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder { return &Recorder{openByKind: map[string]*openWindow{}} }

// Add records the service time of a request that ended at the given time. load is the fraction of the slots in use on the host.
func (r *Recorder) Add(criticalKind string, serviceTime time.Duration, at time.Time, load float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	open := r.openByKind[criticalKind]
	if open == nil {
		if len(r.openByKind) >= maxCriticalKinds {
			return
		}
		open = &openWindow{from: at.Add(-serviceTime)}
		r.openByKind[criticalKind] = open
	}
	if open.count == 0 || at.Add(-serviceTime).Before(open.from) {
		open.from = at.Add(-serviceTime) // the host state since the start of this request affected its service time
	}
	if len(open.samples) < maxWindowSamples {
		open.samples = append(open.samples, serviceTime)
	} else {
		open.samples[open.count%maxWindowSamples] = serviceTime
	}
	open.serviceTimeSum += serviceTime
	open.loadSum += load
	open.count++
}

// CloseWindows ends the open windows and returns them, sorted by latency-critical kind. Kinds without requests since the last call have no
// window.
func (r *Recorder) CloseWindows(now time.Time) []Window {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []Window{}
	for kind, open := range r.openByKind {
		if open.count == 0 {
			continue
		}
		slices.Sort(open.samples)
		out = append(out, Window{
			Quick: kind, From: open.from, To: now, Count: open.count, Mean: open.serviceTimeSum / time.Duration(open.count),
			P99: open.samples[min(len(open.samples)-1, len(open.samples)*99/100)], Load: open.loadSum / float64(open.count),
			Samples: open.samples,
		})
		*open = openWindow{from: now}
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

// maxPendingWindows is the maximum number of closed windows that wait for a measurement of the CPU use of batch work.
const maxPendingWindows = 256

// Aligner joins windows with measurements of the CPU use of batch work, which arrive later. An Aligner is not safe for concurrent
// use.
type Aligner struct {
	windows           []Window
	lastMeasurementAt time.Time // time of the newest measurement
}

// AddWindow keeps a window until a measurement from its time span arrives.
func (a *Aligner) AddWindow(w Window) {
	a.windows = append(a.windows, w)
	if len(a.windows) > maxPendingWindows {
		a.windows = a.windows[len(a.windows)-maxPendingWindows:]
	}
}

// Match returns an observation for each window that contains the time at of a measurement. cores holds the measured cores by batch
// kind. Match returns nothing for a measurement that is not newer than the last one.
func (a *Aligner) Match(at time.Time, cores map[string]float64) []Observation {
	if !at.After(a.lastMeasurementAt) {
		return nil
	}
	a.lastMeasurementAt = at
	out := []Observation{}
	pending := a.windows[:0]
	for _, w := range a.windows {
		switch {
		case w.To.Before(at):
			continue // no measurement falls into this window
		case !w.From.After(at):
			out = append(out, Observation{At: at, Quick: w.Quick, LatencySeconds: w.Mean.Seconds(), Samples: w.Count, Load: w.Load,
				Cores: cores})
		default:
			pending = append(pending, w)
		}
	}
	a.windows = pending
	return out
}
