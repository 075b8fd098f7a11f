package placement

import "math"

const (
	// priorLoad, priorLoadVariance and priorSlopeVariance describe a group of serving tasks that was not looked at yet.
	// Slopes are in utilisation per second; loads that swing by half of themselves within 10 s change by about 0.1.
	priorLoad          = 0.45
	priorLoadVariance  = 0.03
	priorSlopeVariance = 0.006
	// slopeDrift is the growth of the slope's variance per second.
	slopeDrift = 0.004
	// slopeDecay is the time constant, in seconds, after which a slope without new looks has no effect.
	slopeDecay = 2.0
	// lookNoise is the variance of one look: the worker rounds latencies to milliseconds and averages half a second.
	lookNoise = 0.003
	// maxLoad bounds estimates and forecasts.
	maxLoad = 0.85
	// forecastMs is how far ahead loads are planned: the age of a look when it is used, and the time until a decision
	// based on it has taken effect.
	forecastMs = 400
)

// groupLoad tracks the utilisation that the users of a group of serving tasks cause, and how fast it changes. It is a
// Kalman filter of level and slope. It answers load that swings within seconds: without the slope, a rise is seen only
// after the tasks have missed their target, and is blamed on their neighbours.
type groupLoad struct {
	level, slope           float64
	pLevel, pCross, pSlope float64 // covariance
	atMs                   int64
}

func newGroupLoad(level float64, nowMs int64) *groupLoad {
	return &groupLoad{level: level, pLevel: priorLoadVariance, pSlope: priorSlopeVariance, atMs: nowMs}
}

// advance moves the estimate to a later time.
func (g *groupLoad) advance(nowMs int64) {
	dt := float64(nowMs-g.atMs) / 1000
	if dt <= 0 {
		return
	}
	g.atMs = nowMs
	g.level = bounded(g.level + g.travel(dt))
	g.slope *= math.Exp(-dt / slopeDecay)
	g.pLevel = min(priorLoadVariance, g.pLevel+2*dt*g.pCross+dt*dt*g.pSlope+slopeDrift*dt*dt*dt/3)
	g.pCross += dt*g.pSlope + slopeDrift*dt*dt/2
	g.pSlope = min(priorSlopeVariance, g.pSlope+slopeDrift*dt)
	most := math.Sqrt(g.pLevel * g.pSlope)
	g.pCross = min(most, max(-most, g.pCross))
}

// travel returns the change of the level within dt seconds, with the slope fading out.
func (g *groupLoad) travel(dt float64) float64 {
	return g.slope * slopeDecay * (1 - math.Exp(-dt/slopeDecay))
}

// correct takes in the difference between a look and what was expected; spread is the variance of that difference.
func (g *groupLoad) correct(residual, spread float64) {
	byLevel, bySlope := g.pLevel/spread, g.pCross/spread
	g.level = bounded(g.level + byLevel*residual)
	g.slope += bySlope * residual
	g.pSlope -= bySlope * g.pCross
	g.pCross -= byLevel * g.pCross
	g.pLevel -= byLevel * g.pLevel
}

// forecast returns the expected level at a time.
func (g *groupLoad) forecast(atMs int64) float64 {
	return bounded(g.level + g.travel(float64(max(0, atMs-g.atMs))/1000))
}

func bounded(load float64) float64 { return min(maxLoad, max(0, load)) }
