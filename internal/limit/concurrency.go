package limit

import (
	"math"
	"net/netip"
	"sync"
	"time"

	"bamboofork/internal/invariant"
	"bamboofork/internal/settings"
)

// Parameters of the adaptive limit on the requests in flight of one branch at one entry.
const (
	initialLimit      = 64.0
	minLimit          = 4.0 // keeps some requests in flight to measure
	maxLimit          = 10_000.0
	adjustInterval    = 100 * time.Millisecond // several round trips, so that an adjustment takes effect before the next
	minDecreaseFactor = 0.6                    // lower bound of the factor of one adjustment
	increaseFraction  = 0.05                   // fraction of the limit that is added, at least one request
	minUsedFraction   = 0.7                    // the limit grows only if the peak reaches this fraction of it
)

// The target mean wait at the gate is a fraction of the branch's queue_timeout: long enough to keep the slots busy, short
// enough that the rest of the timeout absorbs bursts.
const (
	targetWaitFraction = 0.2
	minTargetWait      = 5 * time.Millisecond
	maxTargetWait      = 200 * time.Millisecond
)

// callerCounters is the number of counters onto which caller prefixes are hashed, so that state does not grow with the number of callers.
const callerCounters = 256

// ConcurrencyLimit is the adaptive concurrency limit of one branch. mu guards all fields.
type ConcurrencyLimit struct {
	mu             sync.Mutex
	limit          float64
	inflight       int
	callerInflight [callerCounters]int32 // requests in flight by hash of the caller prefix
	activeCallers  int                   // counters in callerInflight above zero
	peak           int                   // maximum of inflight in the window
	windowEnd      time.Time             // end of the current measurement window
	lastDecrease   time.Time             // requests admitted before it do not measure the lower limit
	totalWait      time.Duration         // sum of the gate waits in the window
	totalLatency   time.Duration         // sum of the request latencies in the window
	samples        int
}

func newConcurrencyLimit() *ConcurrencyLimit { return &ConcurrencyLimit{limit: initialLimit} }

// Limit returns the current limit.
func (c *ConcurrencyLimit) Limit() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limit
}

// Permit is an admission of one request, which ends with Done.
type Permit struct {
	c          *ConcurrencyLimit
	counter    int
	targetWait time.Duration
	admittedAt time.Time
}

func (c *ConcurrencyLimit) admit(branch *settings.Effective, caller netip.Addr, now time.Time) (*Permit, *Refusal) {
	counter := int(hashPrefix(branch.Branch, caller) % callerCounters)
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.limit
	if branch.Class == settings.ClassStream {
		limit = maxLimit // streams do not wait at a gate, and their number does not indicate load
	}
	if branch.MaxConcurrency > 0 {
		limit = min(limit, float64(branch.MaxConcurrency))
	}
	if c.shouldRefuse(branch, limit, counter) {
		return nil, &Refusal{Reason: "the branch is overloaded", Overload: true, RetryAfter: retryAfterOverload}
	}
	c.add(counter, now)
	return &Permit{c: c, counter: counter, targetWait: targetWait(branch), admittedAt: now}, nil
}

// retryAfterOverload gives the limits several windows to adapt.
const retryAfterOverload = time.Second

// Above the limit, prefixes with few requests in flight are still admitted up to a ceiling, so that a flood from a few
// prefixes does not block the others. The ceiling stops a flood from thousands of prefixes.
const (
	minCallerShare = 2.0  // requests in flight that a prefix may always have below the ceiling
	ceilingFactor  = 4.0  // the ceiling is ceilingFactor*limit + ceilingExtra
	ceilingExtra   = 16.0 // requests
)

// shouldRefuse reports whether a request of the prefix with this counter must be refused.
func (c *ConcurrencyLimit) shouldRefuse(branch *settings.Effective, limit float64, counter int) bool {
	inflight := float64(c.inflight)
	switch {
	case branch.MaxConcurrency > 0 && c.inflight >= branch.MaxConcurrency:
		return true
	case inflight < limit:
		return false
	case inflight >= ceilingFactor*limit+ceilingExtra:
		return true
	}
	return float64(c.callerInflight[counter]) >= c.callerShare(limit, counter)
}

// callerShare returns the equal share of the limit for each active prefix.
func (c *ConcurrencyLimit) callerShare(limit float64, counter int) float64 {
	active := c.activeCallers
	if c.callerInflight[counter] == 0 {
		active++
	}
	return max(minCallerShare, math.Floor(limit/float64(active)))
}

func (c *ConcurrencyLimit) add(counter int, now time.Time) {
	if c.windowEnd.IsZero() {
		c.windowEnd = now.Add(adjustInterval)
	}
	c.inflight++
	if c.callerInflight[counter] == 0 {
		c.activeCallers++
	}
	c.callerInflight[counter]++
	c.peak = max(c.peak, c.inflight)
}

func targetWait(branch *settings.Effective) time.Duration {
	return min(maxTargetWait, max(minTargetWait, time.Duration(targetWaitFraction*float64(branch.QueueTimeout))))
}

// Done ends the request. waited is its wait at the gate, negative if unknown; refused means that a gate refused it for
// overload, which counts as a wait of at least twice the target.
func (p *Permit) Done(waited time.Duration, refused bool, now time.Time) {
	c := p.c
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inflight--
	c.callerInflight[p.counter]--
	if c.callerInflight[p.counter] == 0 {
		c.activeCallers--
	}
	invariant.Check(c.inflight >= 0 && c.callerInflight[p.counter] >= 0, "limit_inflight",
		"%d requests in flight, %d for one caller counter", c.inflight, c.callerInflight[p.counter])
	if refused {
		waited = max(waited, 2*p.targetWait)
	}
	if waited >= 0 && p.admittedAt.After(c.lastDecrease) {
		c.totalWait += waited
		c.totalLatency += max(waited, now.Sub(p.admittedAt))
		c.samples++
	}
	if !now.Before(c.windowEnd) {
		c.adjust(p.targetWait, now)
	}
}

// adjust ends the window and adapts the limit. By Little's law, the requests in flight are the rate times the latency, so
// reducing the wait to the target at the same rate reduces the limit by the ratio of the latencies. The limit grows while
// the wait is within the target and the limit is used.
func (c *ConcurrencyLimit) adjust(targetWait time.Duration, now time.Time) {
	if c.samples > 0 {
		samples := time.Duration(c.samples)
		wait, latency := c.totalWait/samples, c.totalLatency/samples
		switch {
		case wait > targetWait:
			factor := float64(latency-wait+targetWait) / float64(latency)
			c.limit = max(minLimit, min(c.limit, float64(c.peak))*max(minDecreaseFactor, factor))
			c.lastDecrease = now
		case float64(c.peak) >= minUsedFraction*c.limit:
			c.limit = min(maxLimit, c.limit+max(1, increaseFraction*c.limit))
		}
	}
	c.peak, c.totalWait, c.totalLatency, c.samples, c.windowEnd = c.inflight, 0, 0, 0, now.Add(adjustInterval)
}
