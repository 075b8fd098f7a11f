package jobowner

import (
	"math/rand/v2"
	"time"
)

const (
	// fleetChecksPerSecond is the rate at which all candidates together check the owner's key after the loss of an owner. A single
	// candidate waits the longer, the more agents there are; the first check of the fleet comes as early at any size. Without
	// this limit, hundreds of candidates write the key at once and probe a new owner that is still recovering.
	fleetChecksPerSecond = 60
	// minCheckWindow is the shortest time within which a candidate checks the key.
	minCheckWindow = 200 * time.Millisecond
	// unknownFleetWindow is the first window of a process that has never heard from an owner and does not know the number of agents.
	unknownFleetWindow = 500 * time.Millisecond
	// maxCheckWindowFactor limits the growth of the window over the checks that find the key held by a live process.
	maxCheckWindowFactor = 4
)

// checkBackoff determines when a candidate checks the owner's key. The delays are random within a window that grows with the
// number of agents and with each check since the owner was last healthy.
type checkBackoff struct{ checks int }

// reset starts over with the first window, because the owner is healthy.
func (b *checkBackoff) reset() { b.checks = 0 }

// next returns the delay before the next check. agentCount is the number of agents of the fleet; 0: unknown.
func (b *checkBackoff) next(agentCount int) time.Duration {
	window := b.window(agentCount)
	b.checks++
	return time.Duration(rand.Int64N(int64(window)))
}

// window returns the upper bound of the next delay.
func (b *checkBackoff) window(agentCount int) time.Duration {
	first := unknownFleetWindow
	if agentCount > 0 {
		first = max(minCheckWindow, time.Duration(agentCount)*time.Second/fleetChecksPerSecond)
	}
	return first * time.Duration(min(maxCheckWindowFactor, 1<<min(b.checks, 8)))
}
