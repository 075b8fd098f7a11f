// Package delaycost is the model of what a delay costs the caller of a job. Order, admission and preemption ask it. It takes plain
// numbers, does no I/O and reads no clock.
//
// A Model learns from submissions and ends. It is not safe for concurrent use; its owner's lock guards it.
package delaycost

import "math"

// What the completion of a job is worth to its caller, by the terms of the deployments: see Worth.
const (
	baseWorth    = 0.3
	workWorth    = 0.7 // of a job of mean work
	maxWorth     = 4.0
	lateFraction = 0.15 // of the worth of a job that completes late
	// UsefulObjectives is the multiple of its objective after which a job is of no use to its caller.
	UsefulObjectives = 3
)

// Worth returns the worth of a job that is completed in time, relative to that of a job of mean work. work and meanWork have the same
// unit; a mean of 0 is unknown.
func Worth(work, meanWork float64) float64 {
	if meanWork <= 0 {
		return 1
	}
	return min(maxWorth, baseWorth+workWorth*work/meanWork)
}

// Job is what the cost of a delay of one job depends on. All times are in ms.
type Job struct {
	Worth       float64 // see Worth
	SlackMs     float64 // expected time until the job can no longer be in time; negative for a job that is expected to be late
	ObjectiveMs float64 // expected time from the submission within which the job is in time
	DoubtMs     float64 // standard deviation of SlackMs
	Work        float64 // remaining work, in thousandths of a core x ms
}

// minDoubt is the standard deviation of the slack as a fraction of the objective that remains if run times are known: starts, ends and
// room vary.
const minDoubt = 0.08

// ReachableWorth returns the worth that the job is expected to have if it goes on after a delay in ms.
func (j *Job) ReachableWorth(delayMs float64) float64 {
	doubtMs := math.Hypot(j.DoubtMs, minDoubt*j.ObjectiveMs)
	inTime := chance((j.SlackMs - delayMs) / doubtMs)
	useful := chance((j.SlackMs + (UsefulObjectives-1)*j.ObjectiveMs - delayMs) / doubtMs)
	return j.Worth * (inTime + lateFraction*max(0, useful-inTime))
}

// CostOfDelay returns the worth that is lost if the job goes on after a delay in ms instead of now.
func (j *Job) CostOfDelay(delayMs float64) float64 {
	return max(0, j.ReachableWorth(0)-j.ReachableWorth(delayMs))
}

// CostPerRoom returns the cost of a delay in ms for each unit of the room that going on now takes.
func (j *Job) CostPerRoom(delayMs float64) float64 { return j.CostOfDelay(delayMs) / max(1, j.Work) }

// chance returns the probability that a normally distributed number of mean 0 and standard deviation 1 is below x.
func chance(x float64) float64 { return 0.5 * math.Erfc(-x/math.Sqrt2) }
