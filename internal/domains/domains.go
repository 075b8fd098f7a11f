// Package domains holds which failure domains operators have taken out of service.
package domains

import (
	"slices"
	"sync/atomic"
)

// State is the set of failure domains out of service, as read from the store at one revision.
type State struct {
	Revision     int64    // of the store; 0: the state is not known yet
	OutOfService []string // names of the failure domains, sorted
}

// IsOutOfService reports whether the failure domain is out of service.
func (s State) IsOutOfService(domain string) bool {
	_, found := slices.BinarySearch(s.OutOfService, domain)
	return found
}

// SameDomains reports whether the same failure domains are out of service in both states, whatever their revisions.
func (s State) SameDomains(other State) bool { return slices.Equal(s.OutOfService, other.OutOfService) }

// Current holds the newest state. It is safe for concurrent use.
type Current struct{ state atomic.Pointer[State] }

// Get returns the newest state, or the zero State if none is known yet. A nil Current knows none.
func (c *Current) Get() State {
	if c == nil {
		return State{}
	}
	if state := c.state.Load(); state != nil {
		return *state
	}
	return State{}
}

// SetIfNewer replaces the state if the revision of the new one is higher, and reports whether it did so. Reads on different connections
// may complete out of order, and another process may pass on what it learned earlier.
func (c *Current) SetIfNewer(state State) bool {
	for {
		previous := c.state.Load()
		if previous != nil && previous.Revision >= state.Revision {
			return false
		}
		if c.state.CompareAndSwap(previous, &state) {
			return true
		}
	}
}
