package soak

import (
	"maps"
	"time"

	"bamboofork/internal/dev"
)

// Lease and hold times of a soak run. They are short, so that leases and holds expire and partitions change their owner many times in a
// run. shortHold is the hold setting of the branch of batch jobs.
const (
	shortLeaseTTL   = 2 * time.Second
	shortOutageHold = 3 * time.Second
	shortHold       = "2s"
)

// WithShortTimeouts returns a copy of the profile whose leases, outage holds and holds of batch tasks expire after 2 to 3 s.
func WithShortTimeouts(p dev.Profile) dev.Profile {
	p.LeaseTTL, p.OutageHold = shortLeaseTTL, shortOutageHold
	p.InitialSettings = p.InitialSettings.Clone()
	branch := maps.Clone(p.InitialSettings.Branches["workshop/moulding-plans"])
	branch["hold"] = shortHold
	p.InitialSettings.Branches["workshop/moulding-plans"] = branch
	return p
}
