package scheduler

import "fmt"

// interferencePlugin predicts the slowdown of the latency-critical work on a host from learned interference. It rejects a
// worker only on evidence that the latency target would be missed, and prefers the smallest predicted slowdown.
type interferencePlugin struct{}

func (interferencePlugin) Name() string { return interferenceName }

const (
	interferenceName = "interference"
	// riskDeviations is the number of standard deviations added to the slowdown in scores, so that known pairs are preferred.
	riskDeviations = 0.5
	// evidenceDeviations is the number of standard deviations subtracted in the filter, so that unknown pairs can be tried and learned.
	evidenceDeviations = 1
	// slowdownScale is the load-weighted slowdown at which the score is one half.
	slowdownScale = 0.1
)

// predictSlowdown returns the mean and deviation of the relative slowdown that the task adds; ok is false without a prediction.
func predictSlowdown(c *Cycle, task *TaskInfo, n *node) (mean, deviation float64, ok bool) {
	if n.info.QuickKind == "" {
		return 0, 0, false
	}
	model := c.opts.InterferenceModel(n.info.Domain)
	if model == nil {
		return 0, 0, false
	}
	slowdown := model.Slowdown(n.info.QuickKind, task.Kind, n.info.QuickLoad)
	return max(0, slowdown.Mean) * task.Need.Cores, slowdown.Deviation * task.Need.Cores, true
}

// Filter implements FilterPlugin.
func (interferencePlugin) Filter(c *Cycle, task *TaskInfo, n *node) Status {
	if task.Urgent() || n.info.QuickRatio <= 0 {
		return Status{}
	}
	mean, deviation, ok := predictSlowdown(c, task, n)
	if !ok {
		return Status{}
	}
	lowerBound := max(0, mean-evidenceDeviations*deviation)
	if lowerBound > 0 && n.info.QuickRatio*(1+lowerBound) > 1 {
		return Status{Unschedulable, interferenceName, fmt.Sprintf("%s would slow %s past its target", task.Kind, n.info.QuickKind)}
	}
	return Status{}
}

// Score implements ScorePlugin.
func (interferencePlugin) Score(c *Cycle, task *TaskInfo, n *node) float64 {
	mean, deviation, ok := predictSlowdown(c, task, n)
	if !ok {
		return 1
	}
	weightedSlowdown := (mean + riskDeviations*deviation) * (1 + n.info.QuickLoad)
	return slowdownScale / (slowdownScale + weightedSlowdown)
}
