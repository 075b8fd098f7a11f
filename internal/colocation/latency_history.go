package colocation

import (
	"math"
	"slices"
	"time"
)

// The p99 of one short window is close to its slowest request and therefore noisy. Violations and recoveries are instead
// judged by the fraction of requests above the target since the last action took effect: 1% of them may be above.
const (
	allowedFraction          = 0.01             // fraction of requests that may be above the target
	violationDeviations      = 2.5              // standard deviations above allowedFraction from which the target counts as violated
	minViolationWindows      = 2                // windows needed for a violation
	minViolationRequests     = 4                // requests above the target needed for a violation over several windows
	clearViolationFraction   = 0.1              // fraction above the target that counts as a violation within one window
	minClearViolationSamples = 10               // requests in the window needed for clearViolationFraction to apply
	recoveryFraction         = 0.6              // factor on allowedFraction; speed is restored only below the product (hysteresis)
	minRecoverySamples       = 300              // requests needed for a recovery
	minQuietRecoveryAge      = 30 * time.Second // span of the history from which fewer requests suffice if none was above the target
	minPercentileSamples     = 100              // requests needed to use the p99 of the history instead of that of one window
	maxHistorySamples        = 1024
	maxHistoryAge            = time.Minute
)

// latencyHistory holds the service times of one latency-critical kind since the last action took effect. It drops the oldest
// windows beyond maxHistorySamples samples or older than maxHistoryAge. It is not safe for concurrent use.
type latencyHistory struct {
	criticalKind string
	windows      []Window
	sampleCount  int
}

func (h *latencyHistory) clear() {
	h.windows, h.sampleCount = h.windows[:0], 0
}

// add appends a window. A window of another kind replaces the history.
func (h *latencyHistory) add(w Window) {
	if w.Quick != h.criticalKind {
		h.clear()
		h.criticalKind = w.Quick
	}
	h.windows = append(h.windows, w)
	h.sampleCount += len(w.Samples)
	for len(h.windows) > 1 && (h.sampleCount > maxHistorySamples || w.To.Sub(h.windows[0].To) > maxHistoryAge) {
		h.sampleCount -= len(h.windows[0].Samples)
		h.windows = slices.Delete(h.windows, 0, 1)
	}
}

// countAbove returns the number of samples above the target over all windows.
func (h *latencyHistory) countAbove(target time.Duration) int {
	count := 0
	for _, w := range h.windows {
		count += w.countAbove(target)
	}
	return count
}

// countAbove returns the number of samples of the window above the target. It relies on the ascending order of the samples.
func (w *Window) countAbove(target time.Duration) int {
	i, _ := slices.BinarySearch(w.Samples, target+1)
	return len(w.Samples) - i
}

// p99 returns the 99th percentile of the history, or 0 if the history is empty. It reads only the largest samples of each window.
func (h *latencyHistory) p99() time.Duration {
	tailCount := h.sampleCount - h.sampleCount*99/100 // the p99 is the smallest of the tailCount largest samples
	if tailCount == 0 {
		return 0
	}
	top := make([]time.Duration, 0, tailCount+1)
	for _, w := range h.windows {
		top = mergeTail(top, w.Samples, tailCount)
	}
	return top[len(top)-1]
}

// mergeTail returns top with the largest samples merged into it. top is in descending order and holds at most tailCount samples;
// samples is in ascending order.
func mergeTail(top, samples []time.Duration, tailCount int) []time.Duration {
	for i := len(samples) - 1; i >= 0; i-- {
		d := samples[i]
		if len(top) == tailCount && d <= top[tailCount-1] {
			return top
		}
		at, _ := slices.BinarySearchFunc(top, d, func(a, b time.Duration) int { return int(b - a) })
		top = slices.Insert(top, at, d)
		if len(top) > tailCount {
			top = top[:tailCount]
		}
	}
	return top
}

// violated reports whether significantly more requests than allowed are above the target.
func (h *latencyHistory) violated(target time.Duration) bool {
	aboveTarget, count := float64(h.countAbove(target)), float64(h.sampleCount)
	if aboveTarget < minViolationRequests || len(h.windows) < minViolationWindows {
		return false
	}
	expected := allowedFraction * count
	return aboveTarget > expected+violationDeviations*math.Sqrt(expected*(1-allowedFraction))
}

// recovered reports whether clearly fewer requests than allowed are above the target.
func (h *latencyHistory) recovered(target time.Duration) bool {
	aboveTarget := h.countAbove(target)
	if h.sampleCount >= minRecoverySamples {
		return float64(aboveTarget) < recoveryFraction*allowedFraction*float64(h.sampleCount)
	}
	return aboveTarget == 0 && len(h.windows) > 0 && h.windows[len(h.windows)-1].To.Sub(h.windows[0].From) >= minQuietRecoveryAge
}

// clearlyViolated reports whether the window alone is clearly above the target.
func (w *Window) clearlyViolated(target time.Duration) bool {
	return len(w.Samples) >= minClearViolationSamples && float64(w.countAbove(target)) > clearViolationFraction*float64(len(w.Samples))
}
