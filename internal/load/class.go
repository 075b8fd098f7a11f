// Package load offers open-loop load to entries and measures what callers see. Each
// request is due at a time drawn in advance and its latency counts from then, so a slow
// system cannot slow the measurement down (no coordinated omission). Every answer is
// checked against its request.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"
)

// Kind says how requests of a class are made and checked.
type Kind string

// Kinds of requests.
const (
	KindQuick  Kind = "quick"  // request and response
	KindKeyed  Kind = "keyed"  // with an Idempotency-Key, at most once
	KindStream Kind = "stream" // a long-lived response that is read for Hold
	KindJob    Kind = "job"    // a batch job; done means accepted
)

// Service is a distribution of service times.
type Service string

// Distributions. All have the class's mean.
const (
	ServiceFixed       Service = "fixed"
	ServiceExponential Service = "exponential"
	ServiceLognormal   Service = "lognormal" // with a coefficient of variation of 1.5
)

// Class is a stream of like requests.
type Class struct {
	Name     string        `json:"name"`
	Kind     Kind          `json:"kind"`
	Branch   string        `json:"branch"`
	Rate     float64       `json:"rate"`              // arrivals/s, Poisson
	Callers  int           `json:"callers"`           // addresses that the requests come from
	PerNet   int           `json:"per_net"`           // callers in one address prefix, default 1, at most 250
	Service  Service       `json:"service,omitempty"` // distribution, default fixed
	Mean     time.Duration `json:"mean_ns"`           // mean service time, 0: the server's own
	Body     int           `json:"body_bytes"`        // size of a request body, at least the request's mark
	Hold     time.Duration `json:"hold_ns,omitempty"` // streams: time until the caller hangs up
	Flood    bool          `json:"flood,omitempty"`   // the class is the disturbance, not what is protected
	Direct   []string      `json:"direct,omitempty"`  // base URLs of backend servers to call without entries
	Patience time.Duration `json:"patience_ns"`       // callers give up after it, default 10 s
}

// defaultPatience exceeds every deadline of a quick branch in examples/.
const defaultPatience = 10 * time.Second

func (c Class) patience() time.Duration {
	if c.Patience > 0 {
		return c.Patience
	}
	return defaultPatience
}

// lognormalSigma gives a coefficient of variation of 1.5: sqrt(ln(1+1.5^2)).
var lognormalSigma = math.Sqrt(math.Log(1 + 1.5*1.5))

// serviceTime draws a service time in milliseconds; 0 leaves it to the server.
func (c Class) serviceTime(r *rand.Rand) float64 {
	mean := c.Mean.Seconds() * 1000
	switch c.Service {
	case ServiceExponential:
		return mean * r.ExpFloat64()
	case ServiceLognormal:
		return mean * math.Exp(lognormalSigma*r.NormFloat64()-lognormalSigma*lognormalSigma/2)
	}
	return mean
}

// address returns the address of a caller. Classes have different networks.
func (c Class) address(class, caller int) string {
	per := max(1, c.PerNet)
	net, host := caller/per, caller%per+1
	return netip.AddrFrom4([4]byte{byte(10 + class), byte(net >> 8), byte(net), byte(host)}).String()
}

// maxClasses and maxNets follow from the form of address.
const (
	maxClasses = 100
	maxNets    = 1 << 16
	maxPerNet  = 250
)

func (c Class) check() error {
	switch {
	case c.Rate <= 0:
		return fmt.Errorf("class %q: the rate must be positive", c.Name)
	case c.Callers < 1:
		return fmt.Errorf("class %q: at least one caller is needed", c.Name)
	case c.PerNet > maxPerNet || c.Callers/max(1, c.PerNet) > maxNets:
		return fmt.Errorf("class %q: at most %d prefixes of %d callers", c.Name, maxNets, maxPerNet)
	}
	return nil
}
