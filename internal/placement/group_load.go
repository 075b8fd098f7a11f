package placement

import "math"

const (
	// priorLoad, priorLoadVariance and priorSlopeVariance are the assumed load and variances of a group of serving tasks without
	// samples. A slope is the change of the utilisation per second. A load that varies by half of its mean within 10 s has a slope
	// of about 0.1.
	priorLoad          = 0.45
	priorLoadVariance  = 0.03
	priorSlopeVariance = 0.006
	// slopeDriftPerSecond is the increase of the variance of a slope per second.
	slopeDriftPerSecond = 0.004
	// slopeDecaySeconds is the time constant with which a slope decays exponentially between samples.
	slopeDecaySeconds = 2.0
	// sampleVariance is the variance of one sample. The worker rounds latencies to milliseconds and averages them over half a second.
	sampleVariance = 0.003
	// maxLoad is the upper bound of estimated and forecast loads.
	maxLoad = 0.85
	// forecastMs is how far ahead loads are predicted: the age of a sample at its use, plus the time until a decision that is based
	// on the sample takes effect.
	forecastMs = 400
)

// groupLoad is a Kalman filter for a group of serving tasks. The level is the utilisation that the users of the group cause, and the
// slope is the change of the level per second. Without the slope, a load that rises within seconds would be detected only after the
// tasks have missed their target. The rise would also be attributed to the best-effort tasks on the same workers.
type groupLoad struct {
	level, slope                             float64
	levelVariance, covariance, slopeVariance float64 // elements of the covariance matrix of level and slope
	atMs                                     int64   // boot clock time of the estimate
}

func newGroupLoad(level float64, nowMs int64) *groupLoad {
	return &groupLoad{level: level, levelVariance: priorLoadVariance, slopeVariance: priorSlopeVariance, atMs: nowMs}
}

// advance moves the estimate to nowMs. It does nothing if the estimate is not older.
func (g *groupLoad) advance(nowMs int64) {
	seconds := float64(nowMs-g.atMs) / 1000
	if seconds <= 0 {
		return
	}
	g.atMs = nowMs
	g.level = clampLoad(g.level + g.levelChange(seconds))
	g.slope *= math.Exp(-seconds / slopeDecaySeconds)
	g.levelVariance = min(priorLoadVariance,
		g.levelVariance+2*seconds*g.covariance+seconds*seconds*g.slopeVariance+slopeDriftPerSecond*seconds*seconds*seconds/3)
	g.covariance += seconds*g.slopeVariance + slopeDriftPerSecond*seconds*seconds/2
	g.slopeVariance = min(priorSlopeVariance, g.slopeVariance+slopeDriftPerSecond*seconds)
	maxCovariance := math.Sqrt(g.levelVariance * g.slopeVariance)
	g.covariance = min(maxCovariance, max(-maxCovariance, g.covariance))
}

// levelChange returns the change of the level within the given number of seconds while the slope decays.
func (g *groupLoad) levelChange(seconds float64) float64 {
	return g.slope * slopeDecaySeconds * (1 - math.Exp(-seconds/slopeDecaySeconds))
}

// correct updates the estimate. residual is the difference between a sample and its prediction, and variance is the variance of this
// difference.
func (g *groupLoad) correct(residual, variance float64) {
	levelGain, slopeGain := g.levelVariance/variance, g.covariance/variance
	g.level = clampLoad(g.level + levelGain*residual)
	g.slope += slopeGain * residual
	g.slopeVariance -= slopeGain * g.covariance
	g.covariance -= levelGain * g.covariance
	g.levelVariance -= levelGain * g.levelVariance
}

// forecast returns the expected level at atMs.
func (g *groupLoad) forecast(atMs int64) float64 {
	return clampLoad(g.level + g.levelChange(float64(max(0, atMs-g.atMs))/1000))
}

// clampLoad returns the load, limited to the range from 0 to maxLoad.
func clampLoad(load float64) float64 { return min(maxLoad, max(0, load)) }
