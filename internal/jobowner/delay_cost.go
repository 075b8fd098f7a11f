package jobowner

import (
	"bamboofork/internal/delaycost"
	"bamboofork/internal/jobs"
	"bamboofork/internal/placement"
)

// costLearner feeds the model of the cost of delays with what an owner sees. Its state is lost with the owner.
type costLearner struct {
	model *delaycost.Model
	// stepRuns holds the measured run times of the steps of active jobs, by job; the inner index is occurrence x steps + step.
	stepRuns map[*jobs.Job][]stepRuns
}

// stepRuns sums the run times of the completed tasks of a step, in ms at full speed.
type stepRuns struct {
	runs             int
	totalMs, longest float64
}

// newCostLearner returns a learner that has seen the submissions of the active jobs.
func newCostLearner(activeJobs map[string]*jobs.Job) *costLearner {
	l := &costLearner{model: delaycost.NewModel(), stepRuns: map[*jobs.Job][]stepRuns{}}
	for _, job := range activeJobs {
		l.submitted(job)
	}
	return l
}

func (l *costLearner) submitted(job *jobs.Job) {
	if l != nil && !job.Spec.Steps[0].Perpetual {
		l.model.Sizes.Submitted(job.Queue.Name, placement.ExpectedWork(l.model, &job.Queue, &job.Spec))
	}
}

// runEnded records the run time of a completed run that this owner has placed and that began without a checkpoint.
func (l *costLearner) runEnded(placed *placedTask, outcome jobs.Outcome, nowMs int64) {
	if l == nil || outcome != jobs.EndDone || placed.step.Perpetual || !placed.isMeasured {
		return
	}
	placed.addWork(nowMs)
	kind := placement.KindOf(&placed.job.Queue, placed.step)
	l.model.RunTimes.Observe(kind, float64(placed.step.EstimateMs), placed.workMs)
	if placed.job.Ended() {
		return // jobEnded has forgotten its runs
	}
	steps := l.stepRuns[placed.job]
	if steps == nil {
		steps = make([]stepRuns, len(placed.job.Occurrences)*len(placed.job.Spec.Steps))
		l.stepRuns[placed.job] = steps
	}
	s := &steps[placed.id.Occurrence*len(placed.job.Spec.Steps)+placed.id.Step]
	s.runs, s.totalMs, s.longest = s.runs+1, s.totalMs+placed.workMs, max(s.longest, placed.workMs)
	if s.runs == placed.step.Count {
		l.model.Tails.Observe(kind, s.runs, s.totalMs/float64(s.runs), s.longest)
	}
}

// jobEnded records whether a job was completed in time, and forgets its runs.
func (l *costLearner) jobEnded(job *jobs.Job, nowMs int64) {
	if l == nil {
		return
	}
	steps := l.stepRuns[job]
	delete(l.stepRuns, job)
	if job.State() != jobs.Completed || job.Spec.Steps[0].Perpetual || job.Spec.Repeats > 0 {
		return
	}
	endMs, longestMs := make([]float64, len(job.Spec.Steps)), 0.0
	for i := range job.Spec.Steps {
		step := &job.Spec.Steps[i]
		for _, a := range step.After {
			endMs[i] = max(endMs[i], endMs[a])
		}
		if steps != nil && steps[i].runs > 0 {
			endMs[i] += steps[i].longest
		} else {
			kind := placement.KindOf(&job.Queue, step)
			expectedMs, _ := l.model.RunTimes.Expect(kind, float64(step.EstimateMs))
			endMs[i] += expectedMs * l.model.Tails.Expect(kind, step.Count)
		}
		longestMs = max(longestMs, endMs[i])
	}
	objectiveMs := max(1, job.Queue.Stretch)*longestMs + float64(job.Queue.TargetMs)
	size := l.model.Sizes.SizeOf(job.Queue.Name, placement.ExpectedWork(l.model, &job.Queue, &job.Spec))
	l.model.Sizes.Ended(job.Queue.Name, size, float64(nowMs-job.AcceptedMs) <= objectiveMs)
}

// measure begins to measure the work of a run that has just been placed.
func (p *placedTask) measure() {
	p.isMeasured, p.measuredMs = p.task.Checkpoint == "", p.task.PlacedMs
}

// addWork adds the work since the last call, at the pace that was sent, up to the given time on the owner's boot clock.
func (p *placedTask) addWork(nowMs int64) {
	p.workMs += float64(nowMs-p.measuredMs) * float64(p.task.PacePercent) / jobs.FullPacePercent
	p.measuredMs = nowMs
}

// delayCost returns the model by which jobs are ordered in shortage, nil if the settings do not call for it.
func (o *Owner) delayCost() *delaycost.Model {
	if o.costs == nil {
		return nil
	}
	return o.costs.model
}
