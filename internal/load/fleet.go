package load

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"bamboofork/internal/dev"
)

// FleetConfig configures an in-process fleet. The profile's values apply to AgentCount, SlotsPerAgent and MeanService where these are zero.
type FleetConfig struct {
	Profile       string // "workshop" or "association"
	AgentCount    int
	SlotsPerAgent int           // maximum number of concurrent requests of each backend server
	MeanService   time.Duration // mean service time of a latency-critical request
	Routing       string        // routing policy of the entries; empty: the default policy
	Log           zerolog.Logger
}

// readyTimeout is the maximum time until a started fleet serves requests. It leaves room for a busy machine.
const readyTimeout = 60 * time.Second

// Start starts a fleet and waits until the fleet serves requests. If the fleet is not ready after readyTimeout, Start stops the
// fleet and returns an error.
func (f FleetConfig) Start(ctx context.Context) (*dev.Fleet, error) {
	p, err := dev.ProfileByName(f.Profile)
	if err != nil {
		return nil, err
	}
	if f.AgentCount > 0 {
		p.Agents = f.AgentCount
	}
	if f.SlotsPerAgent > 0 {
		p.Slots = f.SlotsPerAgent
	}
	if f.MeanService > 0 {
		p.ServiceTime = f.MeanService
	}
	p.Routing = f.Routing
	fleet, err := f.startWithRetries(p)
	if err != nil {
		return nil, err
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := fleet.WaitReady(readyCtx); err != nil {
		fleet.Stop() //nolint:errcheck // the first error counts
		return nil, err
	}
	return fleet, nil
}

// startAttempts is the maximum number of attempts to start a fleet. The fleet picks free ports and opens them slightly
// later. On a busy machine, an outgoing connection may take one of the ports in between.
const startAttempts = 5

func (f FleetConfig) startWithRetries(p dev.Profile) (fleet *dev.Fleet, err error) {
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

// SizeOf returns the total capacity of a fleet's backend servers and their mean service time.
func SizeOf(f *dev.Fleet) FleetSize {
	p := f.Profile
	return FleetSize{Capacity: float64(p.Agents*p.Slots) / p.ServiceTime.Seconds(), MeanService: p.ServiceTime}
}

// SumEntryCounter returns the sum of the values that a counter has on the entries of a fleet. The name is that in package telemetry.
func SumEntryCounter(f *dev.Fleet, name string) int64 {
	sum := int64(0)
	for _, h := range f.Entries {
		sum += h.Node.Metrics.Values()[name]
	}
	return sum
}
