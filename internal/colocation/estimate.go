// Package colocation keeps latency-critical work fast beside batch work on the same host: it learns from lagged
// measurements how much each kind of batch work slows each latency-critical kind, and controls the batch tasks of a
// host. It does no I/O and reads no clock.
package colocation

// Estimate is a learned value with its standard deviation.
type Estimate struct {
	Mean      float64
	Deviation float64
}

// Prior is assumed of a pair that was never observed: the relative slowdown of latency-critical work per batch core.
// The mean is small and the deviation large, so that the first measurements decide.
var Prior = Estimate{Mean: 0.005, Deviation: 0.03}
