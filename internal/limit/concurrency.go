package limit

import (
	"math"
	"net/netip"
	"sync"
	"time"

	"bamboofork/internal/invariant"
	"bamboofork/internal/settings"
)

// Bounds and steps of an adaptive limit, in requests in flight of one branch at one entry.
const (
	startLimit = 64.0
	minLimit   = 4.0 // lets measurements go on
	maxLimit   = 10_000.0
	window     = 100 * time.Millisecond // between two adjustments; several round trips, so that a change shows first
	decrease   = 0.6                    // least factor of one adjustment
	increase   = 0.05                   // share of the limit, at least one request
	usedShare  = 0.7                    // the limit grows only if at least this share of it was used
)

// The target for the mean wait at the gate is a share of the branch's queue_timeout: long enough that a slot never
// stays free, short enough that the rest of the timeout absorbs bursts.
const (
	targetShare = 0.2
	minTarget   = 5 * time.Millisecond
	maxTarget   = 200 * time.Millisecond
)

// callerSlots is the number of counters that the callers' prefixes are hashed to, so that callers cost no state.
const callerSlots = 256

// Concurrency is the adaptive limit of one branch. mu guards all fields.
type Concurrency struct {
	mu       sync.Mutex
	limit    float64
	inflight int
	callers  [callerSlots]int32 // requests in flight by hash of the caller's prefix
	busy     int                // counters above zero
	peak     int                // most requests in flight in the window
	ends     time.Time          // of the window
	changed  time.Time          // newest decrease; requests from before it say nothing about it
	waited   time.Duration      // sum of the waits in the window
	took     time.Duration      // sum of the whole times in the window
	samples  int
}

func newConcurrency() *Concurrency { return &Concurrency{limit: startLimit} }

// Limit returns the current limit.
func (c *Concurrency) Limit() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limit
}

// Permit is the right of one request to be in flight.
type Permit struct {
	c      *Concurrency
	slot   int
	target time.Duration
	since  time.Time
}

func (c *Concurrency) admit(branch *settings.Effective, caller netip.Addr, now time.Time) (*Permit, *Refusal) {
	slot := int(hashPrefix(branch.Branch, caller) % callerSlots)
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.limit
	if branch.Class == settings.ClassStream {
		limit = maxLimit // streams do not wait at a gate, and their number says nothing about load
	}
	if branch.MaxConcurrency > 0 {
		limit = min(limit, float64(branch.MaxConcurrency))
	}
	if c.full(branch, limit, slot) {
		return nil, &Refusal{Reason: "the branch is overloaded", Overload: true, RetryAfter: retryAfterOverload}
	}
	c.enter(slot, now)
	return &Permit{c: c, slot: slot, target: target(branch), since: now}, nil
}

// retryAfterOverload is the time after which the limits have had several windows to adapt.
const retryAfterOverload = time.Second

// Beyond the limit, prefixes with few requests in flight are still let in up to a ceiling, so that a flood from a few
// prefixes does not shut out the others. A flood from thousands of prefixes is stopped by the ceiling.
const (
	callerFloor   = 2.0 // requests in flight of one prefix that the limit does not refuse
	ceilingFactor = 4.0 // times the limit
	ceilingExtra  = 16.0
)

// full reports whether a request of the prefix is refused.
func (c *Concurrency) full(branch *settings.Effective, limit float64, slot int) bool {
	open := float64(c.inflight)
	switch {
	case branch.MaxConcurrency > 0 && c.inflight >= branch.MaxConcurrency:
		return true
	case open < limit:
		return false
	case open >= ceilingFactor*limit+ceilingExtra:
		return true
	}
	return float64(c.callers[slot]) >= c.callerShare(limit, slot)
}

// callerShare is what each active prefix may have in flight at the limit: an equal part.
func (c *Concurrency) callerShare(limit float64, slot int) float64 {
	active := c.busy
	if c.callers[slot] == 0 {
		active++
	}
	return max(callerFloor, math.Floor(limit/float64(active)))
}

func (c *Concurrency) enter(slot int, now time.Time) {
	if c.ends.IsZero() {
		c.ends = now.Add(window)
	}
	c.inflight++
	if c.callers[slot] == 0 {
		c.busy++
	}
	c.callers[slot]++
	c.peak = max(c.peak, c.inflight)
}

func target(branch *settings.Effective) time.Duration {
	return min(maxTarget, max(minTarget, time.Duration(targetShare*float64(branch.QueueTimeout))))
}

// Done ends the request. waited is its time at the gate, negative if not known; refused says that a gate refused it
// for overload, which counts as a wait of twice the target at least.
func (p *Permit) Done(waited time.Duration, refused bool, now time.Time) {
	c := p.c
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inflight--
	c.callers[p.slot]--
	if c.callers[p.slot] == 0 {
		c.busy--
	}
	invariant.Check(c.inflight >= 0 && c.callers[p.slot] >= 0, "limit_inflight", "%d in flight, %d of one caller", c.inflight, c.callers[p.slot])
	if refused {
		waited = max(waited, 2*p.target)
	}
	if waited >= 0 && p.since.After(c.changed) {
		c.waited += waited
		c.took += max(waited, now.Sub(p.since))
		c.samples++
	}
	if !now.Before(c.ends) {
		c.adjust(p.target, now)
	}
}

// adjust ends the window. By Little's law the requests in flight are the rate times the time of each; to bring the
// wait to the target at the same rate, the limit must fall by the ratio of the times. It grows while requests wait less
// and the limit is used.
func (c *Concurrency) adjust(target time.Duration, now time.Time) {
	if c.samples > 0 {
		n := time.Duration(c.samples)
		wait, took := c.waited/n, c.took/n
		switch {
		case wait > target:
			factor := float64(took-wait+target) / float64(took)
			c.limit = max(minLimit, min(c.limit, float64(c.peak))*max(decrease, factor))
			c.changed = now
		case float64(c.peak) >= usedShare*c.limit:
			c.limit = min(maxLimit, c.limit+max(1, increase*c.limit))
		}
	}
	c.peak, c.waited, c.took, c.samples, c.ends = c.inflight, 0, 0, 0, now.Add(window)
}
