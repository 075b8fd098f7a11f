package colocation

import (
	"math"
	"slices"
	"time"
)

// The p99 of one short window is close to its slowest request and says little. Verdicts therefore rest on the requests
// above the target among all requests since the last action took effect: 1% of them may be above.
const (
	allowedOver     = 0.01             // share of requests that may be above the target
	significance    = 2.5              // deviations above the allowed share before it counts as a violation
	leastWindows    = 2                // windows before a violation counts
	leastOver       = 4                // requests above the target before a mild violation counts
	grossOver       = 0.1              // share above the target at which a violation is plain within one window
	grossSamples    = 10               // requests for that
	recoverOver     = 0.6              // of the allowed share, below which speed is given back: the hysteresis
	recoverSamples  = 300              // requests before a recovery counts
	recoverAge      = 30 * time.Second // after which fewer requests suffice if none was above the target
	ratioSamples    = 100              // requests before the p99 of the evidence is used
	evidenceSamples = 1024
	evidenceAge     = time.Minute
)

// evidence is the service times of one kind since the last action took effect, the newest evidenceSamples within
// evidenceAge. It is not synchronised.
type evidence struct {
	quick   string
	windows []Window
	count   int
}

func (e *evidence) clear() {
	e.windows, e.count = e.windows[:0], 0
}

// add takes in a window. A window of another kind than before replaces the evidence.
func (e *evidence) add(w Window) {
	if w.Quick != e.quick {
		e.clear()
		e.quick = w.Quick
	}
	e.windows = append(e.windows, w)
	e.count += len(w.Samples)
	for len(e.windows) > 1 && (e.count > evidenceSamples || w.To.Sub(e.windows[0].To) > evidenceAge) {
		e.count -= len(e.windows[0].Samples)
		e.windows = slices.Delete(e.windows, 0, 1)
	}
}

func (e *evidence) over(target time.Duration) int {
	n := 0
	for _, w := range e.windows {
		n += w.over(target)
	}
	return n
}

// over counts the samples above a target; samples are sorted.
func (w *Window) over(target time.Duration) int {
	i, _ := slices.BinarySearch(w.Samples, target+1)
	return len(w.Samples) - i
}

// p99 is the 99th percentile of the evidence. It looks only at the tails of the windows.
func (e *evidence) p99() time.Duration {
	keep := e.count - e.count*99/100 // the smallest of the largest keep samples
	if keep == 0 {
		return 0
	}
	top := make([]time.Duration, 0, keep+1)
	for _, w := range e.windows {
		top = mergeTail(top, w.Samples, keep)
	}
	return top[len(top)-1]
}

// mergeTail adds the largest samples to top, which is in descending order and holds at most keep.
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
func (e *evidence) violated(target time.Duration) bool {
	over, n := float64(e.over(target)), float64(e.count)
	if over < leastOver || len(e.windows) < leastWindows {
		return false
	}
	expected := allowedOver * n
	return over > expected+significance*math.Sqrt(expected*(1-allowedOver))
}

// recovered reports whether clearly fewer requests than allowed are above the target.
func (e *evidence) recovered(target time.Duration) bool {
	over := e.over(target)
	if e.count >= recoverSamples {
		return float64(over) < recoverOver*allowedOver*float64(e.count)
	}
	return over == 0 && len(e.windows) > 0 && e.windows[len(e.windows)-1].To.Sub(e.windows[0].From) >= recoverAge
}

// gross reports whether the newest window alone is plainly above the target.
func (w *Window) gross(target time.Duration) bool {
	return len(w.Samples) >= grossSamples && float64(w.over(target)) > grossOver*float64(len(w.Samples))
}
