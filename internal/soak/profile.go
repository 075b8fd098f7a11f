package soak

import (
	"maps"
	"time"

	"bamboofork/internal/dev"
)

// Timeouts of a soak run. They are short, so that leases and holds expire and takeovers happen many times in a run.
const (
	shortLeaseTTL   = 2 * time.Second
	shortOutageHold = 3 * time.Second
	shortHold       = "2s"
)

// WithShortTimeouts returns a copy of the profile with short leases and holds.
func WithShortTimeouts(p dev.Profile) dev.Profile {
	p.LeaseTTL, p.OutageHold = shortLeaseTTL, shortOutageHold
	p.Tree = p.Tree.Clone()
	branch := maps.Clone(p.Tree.Branches["workshop/moulding-plans"])
	branch["hold"] = shortHold
	p.Tree.Branches["workshop/moulding-plans"] = branch
	return p
}
