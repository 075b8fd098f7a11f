package scheduler

import "fmt"

// interferencePlugin predicts the slowdown of the latency-critical work on a host from the learned interference. It
// rejects a worker only on evidence that the target would be missed, and prefers the smallest predicted slowdown.
type interferencePlugin struct{}

func (interferencePlugin) Name() string { return interferenceName }

const (
	interferenceName = "interference"
	// riskDeviations is added to the expected slowdown in scores, so that known pairs go before unknown ones.
	riskDeviations = 0.5
	// evidenceDeviations is subtracted before a worker is rejected, so that an unknown pair can be tried and learned.
	evidenceDeviations = 1
	// slowdownScale is the predicted slowdown at which the score falls to one half.
	slowdownScale = 0.1
)

// predicted returns the expected relative slowdown that the task adds and its deviation; ok is false if nothing is known.
func predicted(c *Cycle, task *TaskInfo, n *node) (mean, deviation float64, ok bool) {
	if n.info.QuickKind == "" {
		return 0, 0, false
	}
	effects := c.opts.Effects(n.info.Domain)
	if effects == nil {
		return 0, 0, false
	}
	e := effects.Effect(n.info.QuickKind, task.Kind, n.info.QuickLoad)
	return max(0, e.Mean) * task.Need.Cores, e.Deviation * task.Need.Cores, true
}

// Filter implements FilterPlugin.
func (interferencePlugin) Filter(c *Cycle, task *TaskInfo, n *node) Status {
	if task.Urgent() || n.info.QuickRatio <= 0 {
		return Status{}
	}
	mean, deviation, ok := predicted(c, task, n)
	if !ok {
		return Status{}
	}
	sure := max(0, mean-evidenceDeviations*deviation)
	if sure > 0 && n.info.QuickRatio*(1+sure) > 1 {
		return Status{Unschedulable, interferenceName, fmt.Sprintf("%s would slow %s past its target", task.Kind, n.info.QuickKind)}
	}
	return Status{}
}

// Score implements ScorePlugin.
func (interferencePlugin) Score(c *Cycle, task *TaskInfo, n *node) float64 {
	mean, deviation, ok := predicted(c, task, n)
	if !ok {
		return 1
	}
	slow := (mean + riskDeviations*deviation) * (1 + n.info.QuickLoad)
	return slowdownScale / (slowdownScale + slow)
}
