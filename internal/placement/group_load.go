package placement

import "math"

const (
	// priorLoad, priorLoadVariance and priorSlopeVariance describe a group of serving tasks without samples.
	// Slopes are in utilisation per second; a load that varies by half of its mean within 10 s changes by about 0.1.
	priorLoad          = 0.45
	priorLoadVariance  = 0.03
	priorSlopeVariance = 0.006
	// slopeDrift is the growth of the slope's variance per second.
	slopeDrift = 0.004
	// slopeDecay is the time constant, in seconds, with which a slope decays between samples.
	slopeDecay = 2.0
	// sampleNoise is the variance of one sample: the worker rounds latencies to milliseconds and averages over half a second.
	sampleNoise = 0.003
	// maxLoad bounds estimates and forecasts.
	maxLoad = 0.85
	// forecastMs is how far ahead loads are predicted: the age of a sample when it is used plus the time until a decision
	// based on it takes effect.
	forecastMs = 400
)

// groupLoad tracks the utilisation that the users of a group of serving tasks cause, and its rate of change, with a Kalman
// filter of level and slope. Without the slope, a load that rises within seconds is detected only after the tasks have
// missed their target, and is attributed to the best-effort tasks beside them.
type groupLoad struct {
	level, slope                   float64
	levelVar, covariance, slopeVar float64 // covariance matrix
	atMs                           int64
}

func newGroupLoad(level float64, nowMs int64) *groupLoad {
	return &groupLoad{level: level, levelVar: priorLoadVariance, slopeVar: priorSlopeVariance, atMs: nowMs}
}

// advance moves the estimate to a later time.
func (g *groupLoad) advance(nowMs int64) {
	dt := float64(nowMs-g.atMs) / 1000
	if dt <= 0 {
		return
	}
	g.atMs = nowMs
	g.level = clampLoad(g.level + g.levelChange(dt))
	g.slope *= math.Exp(-dt / slopeDecay)
	g.levelVar = min(priorLoadVariance, g.levelVar+2*dt*g.covariance+dt*dt*g.slopeVar+slopeDrift*dt*dt*dt/3)
	g.covariance += dt*g.slopeVar + slopeDrift*dt*dt/2
	g.slopeVar = min(priorSlopeVariance, g.slopeVar+slopeDrift*dt)
	bound := math.Sqrt(g.levelVar * g.slopeVar)
	g.covariance = min(bound, max(-bound, g.covariance))
}

// levelChange returns the change of the level within dt seconds, with the slope decaying.
func (g *groupLoad) levelChange(dt float64) float64 {
	return g.slope * slopeDecay * (1 - math.Exp(-dt/slopeDecay))
}

// correct updates the estimate with the difference between a sample and its prediction; variance is that of the difference.
func (g *groupLoad) correct(residual, variance float64) {
	levelGain, slopeGain := g.levelVar/variance, g.covariance/variance
	g.level = clampLoad(g.level + levelGain*residual)
	g.slope += slopeGain * residual
	g.slopeVar -= slopeGain * g.covariance
	g.covariance -= levelGain * g.covariance
	g.levelVar -= levelGain * g.levelVar
}

// forecast returns the expected level at a time.
func (g *groupLoad) forecast(atMs int64) float64 {
	return clampLoad(g.level + g.levelChange(float64(max(0, atMs-g.atMs))/1000))
}

func clampLoad(load float64) float64 { return min(maxLoad, max(0, load)) }
