// Package colocation protects latency-critical work from batch work on the same host. It learns from delayed measurements
// how much each kind of batch work slows each kind of latency-critical work (Quick in names), and throttles or evicts batch
// tasks of a host. It does no I/O and reads no clock.
package colocation

// Estimate is a learned value with its standard deviation.
type Estimate struct {
	Mean      float64
	Deviation float64
}

// Prior is the estimate for a pair that was never observed: the relative slowdown of latency-critical work per batch core.
// The mean is small and the deviation large, so that the first measurements dominate.
var Prior = Estimate{Mean: 0.005, Deviation: 0.03}
