// Package colocation protects latency-critical work from batch work on the same host. It learns from delayed measurements
// how much each kind of batch work slows each kind of latency-critical work. Exported names call latency-critical work Quick.
// A Controller decides which batch tasks of a host are throttled or evicted. The package does no I/O and reads no clock.
package colocation

// Estimate is a learned value with its standard deviation.
type Estimate struct {
	Mean      float64
	Deviation float64
}

// PriorSlowdown is the estimated relative slowdown of latency-critical work per batch core for a pair of kinds without observations.
// The mean is small and the deviation large, so that the first measurements dominate.
var PriorSlowdown = Estimate{Mean: 0.005, Deviation: 0.03}
