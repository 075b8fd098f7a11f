package colocation

import (
	"math"
	"slices"
	"time"
)

// The p99 of one short window is close to its slowest request and therefore noisy. Violations and recoveries are instead
// judged by the fraction of requests above the target since the last action took effect: 1% of them may be above.
const (
	allowedFraction  = 0.01             // fraction of requests that may be above the target
	significance     = 2.5              // standard deviations above allowedFraction that count as a violation
	minWindows       = 2                // windows needed for a violation
	minOver          = 4                // requests above the target needed for a violation over several windows
	clearFraction    = 0.1              // fraction above the target that counts as a violation within one window
	clearSamples     = 10               // requests in the window needed for clearFraction to apply
	recoveryFraction = 0.6              // fraction of allowedFraction below which speed is restored (hysteresis)
	recoverySamples  = 300              // requests needed for a recovery
	recoveryAge      = 30 * time.Second // time after which fewer requests suffice if none was above the target
	minRatioSamples  = 100              // requests needed to use the p99 of the history
	historySamples   = 1024
	historyAge       = time.Minute
)

// latencyHistory holds the service times of one kind since the last action took effect, at most the newest historySamples
// within historyAge. It is not safe for concurrent use.
type latencyHistory struct {
	quick   string
	windows []Window
	count   int
}

func (h *latencyHistory) clear() {
	h.windows, h.count = h.windows[:0], 0
}

// add appends a window. A window of another kind replaces the history.
func (h *latencyHistory) add(w Window) {
	if w.Quick != h.quick {
		h.clear()
		h.quick = w.Quick
	}
	h.windows = append(h.windows, w)
	h.count += len(w.Samples)
	for len(h.windows) > 1 && (h.count > historySamples || w.To.Sub(h.windows[0].To) > historyAge) {
		h.count -= len(h.windows[0].Samples)
		h.windows = slices.Delete(h.windows, 0, 1)
	}
}

func (h *latencyHistory) countAbove(target time.Duration) int {
	n := 0
	for _, w := range h.windows {
		n += w.countAbove(target)
	}
	return n
}

// countAbove returns the number of samples above the target; samples are sorted.
func (w *Window) countAbove(target time.Duration) int {
	i, _ := slices.BinarySearch(w.Samples, target+1)
	return len(w.Samples) - i
}

// p99 returns the 99th percentile of the history. It reads only the tails of the windows.
func (h *latencyHistory) p99() time.Duration {
	keep := h.count - h.count*99/100 // the p99 is the smallest of the keep largest samples
	if keep == 0 {
		return 0
	}
	top := make([]time.Duration, 0, keep+1)
	for _, w := range h.windows {
		top = mergeTail(top, w.Samples, keep)
	}
	return top[len(top)-1]
}

// mergeTail merges the largest samples into top, which is in descending order and holds at most keep samples.
func mergeTail(top, samples []time.Duration, keep int) []time.Duration {
	for i := len(samples) - 1; i >= 0; i-- {
		d := samples[i]
		if len(top) == keep && d <= top[keep-1] {
			return top
		}
		at, _ := slices.BinarySearchFunc(top, d, func(a, b time.Duration) int { return int(b - a) })
		top = slices.Insert(top, at, d)
		if len(top) > keep {
			top = top[:keep]
		}
	}
	return top
}

// violated reports whether significantly more requests than allowed are above the target.
func (h *latencyHistory) violated(target time.Duration) bool {
	over, n := float64(h.countAbove(target)), float64(h.count)
	if over < minOver || len(h.windows) < minWindows {
		return false
	}
	expected := allowedFraction * n
	return over > expected+significance*math.Sqrt(expected*(1-allowedFraction))
}

// recovered reports whether clearly fewer requests than allowed are above the target.
func (h *latencyHistory) recovered(target time.Duration) bool {
	over := h.countAbove(target)
	if h.count >= recoverySamples {
		return float64(over) < recoveryFraction*allowedFraction*float64(h.count)
	}
	return over == 0 && len(h.windows) > 0 && h.windows[len(h.windows)-1].To.Sub(h.windows[0].From) >= recoveryAge
}

// clearlyViolated reports whether the window alone is clearly above the target.
func (w *Window) clearlyViolated(target time.Duration) bool {
	return len(w.Samples) >= clearSamples && float64(w.countAbove(target)) > clearFraction*float64(len(w.Samples))
}
