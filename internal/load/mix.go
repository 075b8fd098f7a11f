package load

import (
	"fmt"
	"time"
)

// Size is what a mix is scaled to.
type Size struct {
	Capacity float64       // requests/s of the backend servers
	Mean     time.Duration // service time at which Capacity holds
}

// part is a class as a share of the offered rate.
type part struct {
	class Class
	share float64
}

// Mixes lists the names that Mix accepts.
func Mixes() []string {
	return []string{"workshop", "association", "workshop-quick", "association-quick"}
}

// Mix returns the classes of a deployment at a multiple of the capacity. The "-quick" mixes hold only requests that
// compete for slots; the others add at-most-once orders, streams and batch jobs at low rates.
func Mix(name string, size Size, factor float64) ([]Class, error) {
	parts, extra, err := mixParts(name)
	if err != nil {
		return nil, err
	}
	var out []Class
	for _, p := range parts {
		c := p.class
		c.Rate = p.share * factor * size.Capacity
		c.Mean = size.Mean
		if c.Rate > 0 {
			out = append(out, c)
		}
	}
	return append(out, extra...), nil
}

func mixParts(name string) ([]part, []Class, error) {
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
	return nil, nil, fmt.Errorf("unknown mix %q; accepted: %v", name, Mixes())
}

func quick(name, branch string, callers int) Class {
	return Class{Name: name, Kind: KindQuick, Branch: branch, Callers: callers, Service: ServiceExponential, Body: 256}
}

func workshopQuick() []part {
	return []part{
		{quick("fitting-desk", "workshop/foot-scan/fitting-desk", 12), 0.5},
		{quick("travelling-fitters", "workshop/foot-scan/travelling-fitters", 40), 0.3},
		{quick("clients-abroad", "workshop/foot-scan/clients-abroad", 400), 0.2},
	}
}

func workshopExtra() []Class {
	return []Class{
		{Name: "moulding-orders", Kind: KindKeyed, Branch: "workshop/moulding-orders", Rate: 2, Callers: 12, Body: 256},
		{Name: "liner-heating", Kind: KindStream, Branch: "workshop/liner-heating", Rate: 2, Callers: 12, Hold: 3 * time.Second},
		{Name: "moulding-plans", Kind: KindJob, Branch: "workshop/moulding-plans", Rate: 1, Callers: 12},
	}
}

func associationQuick() []part {
	return []part{
		{quick("member-presses", "association/colour-proofs/member-presses", 40), 0.6},
		{quick("colour-proofs", "association/colour-proofs", 20), 0.4},
	}
}

func associationExtra() []Class {
	return []Class{
		{Name: "print-jobs", Kind: KindKeyed, Branch: "association/print-jobs", Rate: 2, Callers: 40, Body: 256},
		{Name: "pattern-libraries", Kind: KindStream, Branch: "association/pattern-libraries", Rate: 2, Callers: 40, Hold: 3 * time.Second},
		{Name: "separations", Kind: KindJob, Branch: "association/separations", Rate: 1, Callers: 40},
	}
}

// Floods lists the names that Flood accepts.
func Floods() []string { return []string{"caller", "addresses", "urgent"} }

// Flood returns a class that disturbs a mix at a rate in requests/s: one caller of the branch, ten thousand addresses
// in as many prefixes, or the branch's normal callers in the most urgent kind of work.
func Flood(name, branch string, rate float64, mean time.Duration) (Class, error) {
	c := quick("flood-"+name, branch, 1)
	c.Rate, c.Mean, c.Flood = rate, mean, true
	switch name {
	case "caller":
	case "addresses":
		c.Callers = 10_000
	case "urgent":
		c.Callers = 12
	default:
		return c, fmt.Errorf("unknown flood %q; accepted: %v", name, Floods())
	}
	return c, nil
}
