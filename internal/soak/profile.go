package soak

import (
	"maps"
	"time"

	"bamboofork/internal/dev"
)

// Times of a soak run, shortened so that leases end, holds run out and takeovers happen many times in a run.
const (
	shortLease  = 2 * time.Second
	shortOutage = 3 * time.Second
	shortHold   = "2s"
)

// ShortTimes returns the profile with short leases and holds.
func ShortTimes(p dev.Profile) dev.Profile {
	p.LeaseTTL, p.OutageHold = shortLease, shortOutage
	p.Tree = p.Tree.Clone()
	branch := maps.Clone(p.Tree.Branches["workshop/moulding-plans"])
	branch["hold"] = shortHold
	p.Tree.Branches["workshop/moulding-plans"] = branch
	return p
}
