package load

import (
	"fmt"
	"time"
)

// FleetSize is the capacity of a fleet, to which the rates of a mix are scaled.
type FleetSize struct {
	Capacity    float64       // requests/s that all backend servers together can complete
	MeanService time.Duration // mean service time of a request, on which Capacity is based
}

// scaledClass is a class of a mix whose rate depends on the capacity. The rateFraction is the fraction of the mix's total rate.
type scaledClass struct {
	class        Class
	rateFraction float64
}

// MixNames lists the names that Mix accepts.
func MixNames() []string {
	return []string{"workshop", "association", "workshop-quick", "association-quick"}
}

// Mix returns the classes of a named mix. The rates of the latency-critical classes, whose requests compete for the slots of the
// backend servers, add up to factor times the capacity. The "-quick" mixes contain only these classes. The other mixes add keyed
// requests, streams and batch jobs at low fixed rates.
func Mix(name string, size FleetSize, factor float64) ([]Class, error) {
	scaledClasses, fixedRateClasses, err := mixClasses(name)
	if err != nil {
		return nil, err
	}
	var out []Class
	for _, s := range scaledClasses {
		c := s.class
		c.Rate = s.rateFraction * factor * size.Capacity
		c.MeanService = size.MeanService
		if c.Rate > 0 {
			out = append(out, c)
		}
	}
	return append(out, fixedRateClasses...), nil
}

// mixClasses returns the classes of a named mix: first those whose rates are scaled to the capacity, then those with fixed rates.
func mixClasses(name string) ([]scaledClass, []Class, error) {
	switch name {
	case "workshop":
		return workshopScaledClasses(), workshopFixedRateClasses(), nil
	case "workshop-quick":
		return workshopScaledClasses(), nil, nil
	case "association":
		return associationScaledClasses(), associationFixedRateClasses(), nil
	case "association-quick":
		return associationScaledClasses(), nil, nil
	}
	return nil, nil, fmt.Errorf("unknown mix %q; accepted: %v", name, MixNames())
}

func latencyCriticalClass(name, branch string, callers int) Class {
	return Class{Name: name, Kind: KindQuick, Branch: branch, CallerCount: callers, Service: ServiceExponential, BodyBytes: 256}
}

func workshopScaledClasses() []scaledClass {
	return []scaledClass{
		{latencyCriticalClass("fitting-desk", "workshop/foot-scan/fitting-desk", 12), 0.5},
		{latencyCriticalClass("travelling-fitters", "workshop/foot-scan/travelling-fitters", 40), 0.3},
		{latencyCriticalClass("clients-abroad", "workshop/foot-scan/clients-abroad", 400), 0.2},
	}
}

func workshopFixedRateClasses() []Class {
	return []Class{
		{Name: "moulding-orders", Kind: KindKeyed, Branch: "workshop/moulding-orders", Rate: 2, CallerCount: 12, BodyBytes: 256},
		{Name: "liner-heating", Kind: KindStream, Branch: "workshop/liner-heating", Rate: 2, CallerCount: 12,
			StreamDuration: 3 * time.Second},
		{Name: "moulding-plans", Kind: KindJob, Branch: "workshop/moulding-plans", Rate: 1, CallerCount: 12},
	}
}

func associationScaledClasses() []scaledClass {
	return []scaledClass{
		{latencyCriticalClass("member-presses", "association/colour-proofs/member-presses", 40), 0.6},
		{latencyCriticalClass("colour-proofs", "association/colour-proofs", 20), 0.4},
	}
}

func associationFixedRateClasses() []Class {
	return []Class{
		{Name: "print-jobs", Kind: KindKeyed, Branch: "association/print-jobs", Rate: 2, CallerCount: 40, BodyBytes: 256},
		{Name: "pattern-libraries", Kind: KindStream, Branch: "association/pattern-libraries", Rate: 2, CallerCount: 40, StreamDuration: 3 * time.Second},
		{Name: "separations", Kind: KindJob, Branch: "association/separations", Rate: 1, CallerCount: 40},
	}
}

// FloodNames lists the names that Flood accepts.
func FloodNames() []string { return []string{"caller", "addresses", "urgent"} }

// Flood returns a class that overloads a branch with requests at the given rate per second and with the given mean service time.
// The requests come from a single caller ("caller"), from ten thousand addresses in as many prefixes ("addresses"), or from 12
// callers, as many as a branch of urgent requests usually has ("urgent").
func Flood(name, branch string, rate float64, mean time.Duration) (Class, error) {
	c := latencyCriticalClass("flood-"+name, branch, 1)
	c.Rate, c.MeanService, c.IsFlood = rate, mean, true
	switch name {
	case "caller":
	case "addresses":
		c.CallerCount = 10_000
	case "urgent":
		c.CallerCount = 12
	default:
		return c, fmt.Errorf("unknown flood %q; accepted: %v", name, FloodNames())
	}
	return c, nil
}
