package load

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"bamboofork/internal/dev"
)

// FleetConfig configures an in-process fleet. Fields that are zero take the profile's values.
type FleetConfig struct {
	Profile string // "workshop" or "association"
	Agents  int
	Slots   int
	Service time.Duration // mean service time of a quick request
	Routing string
	Log     zerolog.Logger
}

// readyTimeout bounds the start of a fleet; it allows for a busy machine.
const readyTimeout = 60 * time.Second

// Start starts the fleet and waits until it serves requests.
func (f FleetConfig) Start(ctx context.Context) (*dev.Fleet, error) {
	p, err := dev.ByName(f.Profile)
	if err != nil {
		return nil, err
	}
	if f.Agents > 0 {
		p.Agents = f.Agents
	}
	if f.Slots > 0 {
		p.Slots = f.Slots
	}
	if f.Service > 0 {
		p.Service = f.Service
	}
	p.Routing = f.Routing
	fleet, err := f.start(p)
	if err != nil {
		return nil, err
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := fleet.WaitReady(ready); err != nil {
		fleet.Stop() //nolint:errcheck // the first error counts
		return nil, err
	}
	return fleet, nil
}

// startAttempts is the maximum number of attempts to start a fleet. The fleet picks free ports and opens them slightly
// later; under load, an outgoing connection may have taken one of them in between.
const startAttempts = 5

func (f FleetConfig) start(p dev.Profile) (fleet *dev.Fleet, err error) {
	for range startAttempts {
		fleet, err = dev.Start(p, f.Log)
		if err == nil {
			return fleet, nil
		}
		fleet.Stop() //nolint:errcheck // the first error counts
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, err
		}
	}
	return nil, err
}

// EntryURLs returns the base URLs of a fleet's entries.
func EntryURLs(f *dev.Fleet) []string {
	var out []string
	for i := range f.Profile.Entries {
		out = append(out, f.EntryURL(i))
	}
	return out
}

// SizeOf returns the capacity and mean service time of a fleet's backend servers.
func SizeOf(f *dev.Fleet) Size {
	p := f.Profile
	return Size{Capacity: float64(p.Agents*p.Slots) / p.Service.Seconds(), Mean: p.Service}
}

// SumEntryCounter returns the sum of a counter over the entries of a fleet.
func SumEntryCounter(f *dev.Fleet, name string) int64 {
	sum := int64(0)
	for _, h := range f.Entries {
		sum += h.Node.Metrics.Values()[name]
	}
	return sum
}
