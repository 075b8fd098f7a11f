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
	minLimit          = 4.0 // keeps enough requests in flight for wait measurements
	maxLimit          = 10_000.0
	adjustInterval    = 100 * time.Millisecond // several round trips, so that an adjustment takes effect before the next
	minDecreaseFactor = 0.6                    // lower bound of decreaseFactor in one adjustment
	increaseFraction  = 0.05                   // an increase adds this fraction of the limit, at least one request
	minUsedFraction   = 0.7                    // the limit grows only if the peak of requests in flight reaches this fraction of the limit
)

// The target for the mean wait of requests at the gate is a fraction of the branch's queue_timeout. The target is long enough
// to keep the slots of the backend servers busy, and short enough that the rest of the timeout absorbs bursts.
const (
	targetWaitFraction = 0.2
	minTargetWait      = 5 * time.Millisecond
	maxTargetWait      = 200 * time.Millisecond
)

// callerCounterCount is the number of counters of requests in flight. Each caller prefix is hashed to one counter, so that the
// memory does not grow with the number of callers.
const callerCounterCount = 256

// ConcurrencyLimit is the adaptive concurrency limit of one branch. mu guards all fields.
type ConcurrencyLimit struct {
	mu                   sync.Mutex
	limit                float64
	inflight             int
	callerInflight       [callerCounterCount]int32 // requests in flight by counter index, the hash of the caller prefix
	activeCallerCounters int                       // number of counters in callerInflight above zero
	peakInflight         int                       // maximum of inflight in the measurement window
	windowEndsAt         time.Time                 // end of the current measurement window
	lastDecreaseAt       time.Time                 // requests admitted before this time say nothing about the lowered limit
	waitSum              time.Duration             // sum of the gate waits of the measured requests
	latencySum           time.Duration             // sum of the latencies of the measured requests
	sampleCount          int                       // number of measured requests in the window
}

func newConcurrencyLimit() *ConcurrencyLimit { return &ConcurrencyLimit{limit: initialLimit} }

// Limit returns the current maximum of requests in flight.
func (c *ConcurrencyLimit) Limit() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limit
}

// Permit represents one admitted request until Done is called.
type Permit struct {
	branchLimit  *ConcurrencyLimit
	counterIndex int           // index in ConcurrencyLimit.callerInflight
	targetWait   time.Duration // target for the mean wait at the gate
	admittedAt   time.Time
}

func (c *ConcurrencyLimit) admit(branch *settings.Effective, caller netip.Addr, now time.Time) (*Permit, *Refusal) {
	counterIndex := int(hashPrefix(branch.Branch, caller) % callerCounterCount)
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.limit
	if branch.Class == settings.ClassStream {
		limit = maxLimit // streams do not wait at a gate, and their number does not indicate load
	}
	if branch.MaxConcurrency > 0 {
		limit = min(limit, float64(branch.MaxConcurrency))
	}
	if c.shouldRefuse(branch, limit, counterIndex) {
		return nil, &Refusal{Reason: "the branch is overloaded", IsOverload: true, RetryAfter: retryAfterOverload}
	}
	c.recordAdmission(counterIndex, now)
	return &Permit{branchLimit: c, counterIndex: counterIndex, targetWait: targetWait(branch), admittedAt: now}, nil
}

// retryAfterOverload is the Retry-After of requests refused for overload. It covers several measurement windows, in which the
// limit adapts.
const retryAfterOverload = time.Second

// Above the limit, requests of caller prefixes with few requests in flight are still admitted up to a ceiling, so that a flood
// from a few prefixes does not block the others. The ceiling stops a flood from thousands of prefixes.
const (
	minCallerShareRequests = 2.0 // a prefix may always have this many requests in flight below the ceiling
	ceilingFactor          = 4.0 // the ceiling is ceilingFactor*limit + ceilingExtraRequests
	ceilingExtraRequests   = 16.0
)

// shouldRefuse reports whether a request must be refused whose caller prefix has the given counter index. The caller holds mu.
func (c *ConcurrencyLimit) shouldRefuse(branch *settings.Effective, limit float64, counterIndex int) bool {
	inflight := float64(c.inflight)
	switch {
	case branch.MaxConcurrency > 0 && c.inflight >= branch.MaxConcurrency:
		return true
	case inflight < limit:
		return false
	case inflight >= ceilingFactor*limit+ceilingExtraRequests:
		return true
	}
	return float64(c.callerInflight[counterIndex]) >= c.callerShare(limit, counterIndex)
}

// callerShare returns the number of requests in flight that one prefix may have above the limit: an equal part of the limit for
// each active counter, including the one at counterIndex.
func (c *ConcurrencyLimit) callerShare(limit float64, counterIndex int) float64 {
	activeCounters := c.activeCallerCounters
	if c.callerInflight[counterIndex] == 0 {
		activeCounters++
	}
	return max(minCallerShareRequests, math.Floor(limit/float64(activeCounters)))
}

func (c *ConcurrencyLimit) recordAdmission(counterIndex int, now time.Time) {
	if c.windowEndsAt.IsZero() {
		c.windowEndsAt = now.Add(adjustInterval)
	}
	c.inflight++
	if c.callerInflight[counterIndex] == 0 {
		c.activeCallerCounters++
	}
	c.callerInflight[counterIndex]++
	c.peakInflight = max(c.peakInflight, c.inflight)
}

// targetWait returns the target for the mean wait of the branch's requests at the gate.
func targetWait(branch *settings.Effective) time.Duration {
	return min(maxTargetWait, max(minTargetWait, time.Duration(targetWaitFraction*float64(branch.QueueTimeout))))
}

// Done ends the request and may adjust the limit. gateWait is the wait of the request at the gate, negative if unknown.
// wasRefused means that a gate refused the request for overload; the refusal counts as a wait of at least twice the target.
func (p *Permit) Done(gateWait time.Duration, wasRefused bool, now time.Time) {
	branchLimit := p.branchLimit
	branchLimit.mu.Lock()
	defer branchLimit.mu.Unlock()
	branchLimit.inflight--
	branchLimit.callerInflight[p.counterIndex]--
	if branchLimit.callerInflight[p.counterIndex] == 0 {
		branchLimit.activeCallerCounters--
	}
	invariant.Check(branchLimit.inflight >= 0 && branchLimit.callerInflight[p.counterIndex] >= 0, "limit_inflight",
		"%d requests in flight, %d for one caller counter", branchLimit.inflight, branchLimit.callerInflight[p.counterIndex])
	if wasRefused {
		gateWait = max(gateWait, 2*p.targetWait)
	}
	if gateWait >= 0 && p.admittedAt.After(branchLimit.lastDecreaseAt) {
		branchLimit.waitSum += gateWait
		branchLimit.latencySum += max(gateWait, now.Sub(p.admittedAt))
		branchLimit.sampleCount++
	}
	if !now.Before(branchLimit.windowEndsAt) {
		branchLimit.adjustLimit(p.targetWait, now)
	}
}

// adjustLimit adapts the limit and starts a new measurement window. By Little's law, the number of requests in flight is the
// request rate times the latency. To reduce the mean wait to the target at the same rate, the limit is therefore multiplied by
// the ratio of the target latency to the measured latency. The limit grows while the mean wait is within the target and the
// limit is nearly reached.
func (c *ConcurrencyLimit) adjustLimit(targetWait time.Duration, now time.Time) {
	if c.sampleCount > 0 {
		sampleCount := time.Duration(c.sampleCount)
		meanWait, meanLatency := c.waitSum/sampleCount, c.latencySum/sampleCount
		switch {
		case meanWait > targetWait:
			decreaseFactor := float64(meanLatency-meanWait+targetWait) / float64(meanLatency)
			c.limit = max(minLimit, min(c.limit, float64(c.peakInflight))*max(minDecreaseFactor, decreaseFactor))
			c.lastDecreaseAt = now
		case float64(c.peakInflight) >= minUsedFraction*c.limit:
			c.limit = min(maxLimit, c.limit+max(1, increaseFraction*c.limit))
		}
	}
	c.peakInflight, c.waitSum, c.latencySum, c.sampleCount, c.windowEndsAt = c.inflight, 0, 0, 0, now.Add(adjustInterval)
}
