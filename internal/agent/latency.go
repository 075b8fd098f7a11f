package agent

import (
	"slices"
	"sync"
	"time"
)

// latencySamples is the number of newest samples in a window.
const latencySamples = 256

// latencyWindow keeps the newest service times of quick requests. mu guards samples.
type latencyWindow struct {
	mu      sync.Mutex
	samples []time.Duration
	next    int
	total   int64
}

func newLatencyWindow() *latencyWindow { return &latencyWindow{} }

func (w *latencyWindow) add(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.total++
	if len(w.samples) < latencySamples {
		w.samples = append(w.samples, d)
		return
	}
	w.samples[w.next] = d
	w.next = (w.next + 1) % latencySamples
}

// p99 returns the 99th percentile and the number of samples ever added, and empties the window.
func (w *latencyWindow) p99() (time.Duration, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := len(w.samples)
	if n == 0 {
		return 0, 0
	}
	sorted := slices.Clone(w.samples)
	slices.Sort(sorted)
	w.samples, w.next = w.samples[:0], 0
	return sorted[min(n-1, n*99/100)], n
}
