package scheduler

import "fmt"

// interferencePlugin predicts the slowdown of the latency-critical work on a host from learned interference. It prefers the
// smallest predicted slowdown. It rejects a worker only if even the lower bound of the slowdown would miss the latency target.
type interferencePlugin struct{}

func (interferencePlugin) Name() string { return interferenceName }

const (
	interferenceName = "interference"
	// riskDeviations is the number of standard deviations that scores add to the mean slowdown, so that a worker with a
	// well-known slowdown is preferred.
	riskDeviations = 0.5
	// evidenceDeviations is the number of standard deviations that the filter subtracts from the mean slowdown, so that batch
	// kinds with an unknown slowdown can run and be measured.
	evidenceDeviations = 1
	// slowdownScale is the slowdown, weighted by the load of the backend server, at which the score is one half.
	slowdownScale = 0.1
)

// predictSlowdown returns the mean and the standard deviation of the relative slowdown that the task adds to the
// latency-critical work on the host. ok is false if the host has no such work or nothing has been learned.
func predictSlowdown(cycle *Cycle, task *TaskInfo, candidate *node) (mean, deviation float64, ok bool) {
	if candidate.info.LatencyCriticalKind == "" {
		return 0, 0, false
	}
	model := cycle.opts.InterferenceModel(candidate.info.Domain)
	if model == nil {
		return 0, 0, false
	}
	slowdown := model.Slowdown(candidate.info.LatencyCriticalKind, task.Kind, candidate.info.BackendLoad)
	return max(0, slowdown.Mean) * task.Need.Cores, slowdown.Deviation * task.Need.Cores, true
}

// Filter implements FilterPlugin.
func (interferencePlugin) Filter(cycle *Cycle, task *TaskInfo, candidate *node) Status {
	if task.Urgent() || candidate.info.LatencyRatio <= 0 {
		return Status{}
	}
	mean, deviation, ok := predictSlowdown(cycle, task, candidate)
	if !ok {
		return Status{}
	}
	lowerBound := max(0, mean-evidenceDeviations*deviation)
	if lowerBound > 0 && candidate.info.LatencyRatio*(1+lowerBound) > 1 {
		return Status{Unschedulable, interferenceName, fmt.Sprintf("%s would slow %s past its target", task.Kind,
			candidate.info.LatencyCriticalKind)}
	}
	return Status{}
}

// Score implements ScorePlugin.
func (interferencePlugin) Score(cycle *Cycle, task *TaskInfo, candidate *node) float64 {
	mean, deviation, ok := predictSlowdown(cycle, task, candidate)
	if !ok {
		return 1
	}
	weightedSlowdown := (mean + riskDeviations*deviation) * (1 + candidate.info.BackendLoad)
	return slowdownScale / (slowdownScale + weightedSlowdown)
}
