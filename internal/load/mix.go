package load

import (
	"fmt"
	"time"
)

// Size is the capacity that the rates of a mix are scaled to.
type Size struct {
	Capacity float64       // requests/s that the backend servers can complete
	Mean     time.Duration // mean service time on which Capacity is based
}

// scaledClass is a class with its fraction of the offered rate.
type scaledClass struct {
	class    Class
	fraction float64
}

// MixNames lists the names that Mix accepts.
func MixNames() []string {
	return []string{"workshop", "association", "workshop-quick", "association-quick"}
}

// Mix returns the classes of a named mix with a total rate of factor times the capacity. The "-quick" mixes contain only
// requests that compete for slots; the others add keyed requests, streams and batch jobs at low fixed rates.
func Mix(name string, size Size, factor float64) ([]Class, error) {
	scaled, extra, err := mixClasses(name)
	if err != nil {
		return nil, err
	}
	var out []Class
	for _, s := range scaled {
		c := s.class
		c.Rate = s.fraction * factor * size.Capacity
		c.MeanService = size.Mean
		if c.Rate > 0 {
			out = append(out, c)
		}
	}
	return append(out, extra...), nil
}

// mixClasses returns the classes whose rates are scaled, and the additional ones with fixed rates.
func mixClasses(name string) ([]scaledClass, []Class, error) {
	switch name {
	case "workshop":
		return workshopQuick(), workshopExtra(), nil
	case "workshop-quick":
		return workshopQuick(), nil, nil
	case "association":
		return associationQuick(), associationExtra(), nil
	case "association-quick":
		return associationQuick(), nil, nil
	}
	return nil, nil, fmt.Errorf("unknown mix %q; accepted: %v", name, MixNames())
}

func quickClass(name, branch string, callers int) Class {
	return Class{Name: name, Kind: KindQuick, Branch: branch, Callers: callers, Service: ServiceExponential, Body: 256}
}

func workshopQuick() []scaledClass {
	return []scaledClass{
		{quickClass("fitting-desk", "workshop/foot-scan/fitting-desk", 12), 0.5},
		{quickClass("travelling-fitters", "workshop/foot-scan/travelling-fitters", 40), 0.3},
		{quickClass("clients-abroad", "workshop/foot-scan/clients-abroad", 400), 0.2},
	}
}

func workshopExtra() []Class {
	return []Class{
		{Name: "moulding-orders", Kind: KindKeyed, Branch: "workshop/moulding-orders", Rate: 2, Callers: 12, Body: 256},
		{Name: "liner-heating", Kind: KindStream, Branch: "workshop/liner-heating", Rate: 2, Callers: 12, StreamDuration: 3 * time.Second},
		{Name: "moulding-plans", Kind: KindJob, Branch: "workshop/moulding-plans", Rate: 1, Callers: 12},
	}
}

func associationQuick() []scaledClass {
	return []scaledClass{
		{quickClass("member-presses", "association/colour-proofs/member-presses", 40), 0.6},
		{quickClass("colour-proofs", "association/colour-proofs", 20), 0.4},
	}
}

func associationExtra() []Class {
	return []Class{
		{Name: "print-jobs", Kind: KindKeyed, Branch: "association/print-jobs", Rate: 2, Callers: 40, Body: 256},
		{Name: "pattern-libraries", Kind: KindStream, Branch: "association/pattern-libraries", Rate: 2, Callers: 40, StreamDuration: 3 * time.Second},
		{Name: "separations", Kind: KindJob, Branch: "association/separations", Rate: 1, Callers: 40},
	}
}

// FloodNames lists the names that Flood accepts.
func FloodNames() []string { return []string{"caller", "addresses", "urgent"} }

// Flood returns a class that overloads a branch at a rate in requests/s: from a single caller ("caller"), from ten
// thousand addresses in as many prefixes ("addresses"), or from the usual callers of a branch of urgent requests ("urgent").
func Flood(name, branch string, rate float64, mean time.Duration) (Class, error) {
	c := quickClass("flood-"+name, branch, 1)
	c.Rate, c.MeanService, c.Flood = rate, mean, true
	switch name {
	case "caller":
	case "addresses":
		c.Callers = 10_000
	case "urgent":
		c.Callers = 12
	default:
		return c, fmt.Errorf("unknown flood %q; accepted: %v", name, FloodNames())
	}
	return c, nil
}
