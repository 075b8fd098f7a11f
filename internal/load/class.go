// Package load generates open-loop load on entries and measures the latency and outcomes
// that callers see. Arrival times are drawn independently of the responses, so that a slow
// system cannot slow down the load. Latency is measured from the scheduled arrival, which
// avoids coordinated omission. Every response is checked against its request.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"
)

// Kind determines how the requests of a class are made and checked.
type Kind string

// Kinds of requests. Results name them by these strings.
const (
	KindQuick  Kind = "quick"  // a latency-critical request with a single response
	KindKeyed  Kind = "keyed"  // with an Idempotency-Key, run at most once
	KindStream Kind = "stream" // a long-lived response that is read for StreamDuration
	KindJob    Kind = "job"    // a batch job; Done means that it was accepted
)

// Service is the distribution of the service times of a class.
type Service string

// Distributions of service times. The mean of each distribution is the MeanService of the class.
const (
	ServiceFixed       Service = "fixed"
	ServiceExponential Service = "exponential"
	ServiceLognormal   Service = "lognormal" // with a coefficient of variation of 1.5
)

// Class describes requests of one kind to one branch that arrive as a Poisson process.
type Class struct {
	Name             string        `json:"name"`
	Kind             Kind          `json:"kind"`
	Branch           string        `json:"branch"`
	Rate             float64       `json:"rate"`              // arrivals/s
	CallerCount      int           `json:"callers"`           // number of caller addresses
	CallersPerPrefix int           `json:"per_net"`           // callers per /24 address prefix, default 1, at most 250
	Service          Service       `json:"service,omitempty"` // distribution, default fixed
	MeanService      time.Duration `json:"mean_ns"`           // mean service time; 0: the server's default
	BodyBytes        int           `json:"body_bytes"`        // size of a request body; a smaller value is raised to the length of the request's ID
	StreamDuration   time.Duration `json:"hold_ns,omitempty"` // streams: time until the caller disconnects
	IsFlood          bool          `json:"flood,omitempty"`   // the class overloads its branch; the system must protect the other classes from it
	DirectURLs       []string      `json:"direct,omitempty"`  // base URLs of backend servers, called without entries in between
	Timeout          time.Duration `json:"patience_ns"`       // request timeout of the callers, default 10 s
}

// defaultTimeout exceeds every deadline of the latency-critical branches in examples/.
const defaultTimeout = 10 * time.Second

func (c Class) requestTimeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return defaultTimeout
}

// lognormalSigma is the sigma parameter of a lognormal distribution with a coefficient of variation of 1.5: sqrt(ln(1+1.5^2)).
var lognormalSigma = math.Sqrt(math.Log(1 + 1.5*1.5))

// drawServiceMs draws a service time in milliseconds from the distribution of the class. It returns 0, which selects the server's
// default, if the class has no mean service time.
func (c Class) drawServiceMs(rng *rand.Rand) float64 {
	meanMs := c.MeanService.Seconds() * 1000
	switch c.Service {
	case ServiceExponential:
		return meanMs * rng.ExpFloat64()
	case ServiceLognormal:
		return meanMs * math.Exp(lognormalSigma*rng.NormFloat64()-lognormalSigma*lognormalSigma/2)
	}
	return meanMs
}

// callerAddress returns the IP address of a caller, counted from 0 within the class. Each class has its own /8 network.
func (c Class) callerAddress(classIndex, callerIndex int) string {
	callersPerPrefix := max(1, c.CallersPerPrefix)
	prefix, host := callerIndex/callersPerPrefix, callerIndex%callersPerPrefix+1
	return netip.AddrFrom4([4]byte{byte(10 + classIndex), byte(prefix >> 8), byte(prefix), byte(host)}).String()
}

// Limits that follow from the layout of the addresses that callerAddress returns.
const (
	maxClasses          = 100
	maxPrefixes         = 1 << 16
	maxCallersPerPrefix = 250
)

func (c Class) validate() error {
	switch {
	case c.Rate <= 0:
		return fmt.Errorf("class %q: the rate must be positive", c.Name)
	case c.CallerCount < 1:
		return fmt.Errorf("class %q: at least one caller is needed", c.Name)
	case c.CallersPerPrefix > maxCallersPerPrefix || c.CallerCount/max(1, c.CallersPerPrefix) > maxPrefixes:
		return fmt.Errorf("class %q: at most %d prefixes of %d callers", c.Name, maxPrefixes, maxCallersPerPrefix)
	}
	return nil
}
