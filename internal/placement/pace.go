package placement

import "bamboofork/internal/jobs"

const (
	// minSpeed is the share of full speed below which a best-effort task is not started on a worker.
	minSpeed = 0.7
	// minStartPace is the lowest pace at which a best-effort task starts; samples of the tasks beside it soon correct it.
	minStartPace = 0.1
	// negligibleLoad is the added utilisation below which slowing a best-effort task does not help a serving one.
	negligibleLoad = 0.004
)

// fullBacklogFraction is the waiting best-effort work, as a fraction of all workers' CPU, at which caution is lowest.
const fullBacklogFraction = 0.2

// Backlog returns the backlog of best-effort work, from 0 to 1. Work is weighted by the urgency of its job, so that a job that
// has just arrived does not lower the caution.
func (s *Snapshot) Backlog() float64 {
	waiting, capacity := 0.0, 1
	for _, w := range s.Workers {
		capacity += w.Capacity.CPU
	}
	for _, c := range sortedCandidates(s) {
		for i := range c.job.Spec.Steps {
			step, st := &c.job.Spec.Steps[i], &c.job.Occ[c.occ].Steps[i]
			if step.BestEffort && st.Waiting > 0 && c.job.StepReady(c.occ, i) {
				waiting += c.urgency() * float64(step.CPU*st.Waiting)
			}
		}
	}
	return min(1, waiting/float64(capacity)/fullBacklogFraction)
}

// BestEffortRun is a best-effort task on a worker.
type BestEffortRun struct {
	Task        string
	Image       string
	CPUFraction float64 // fraction of the worker's CPU that it uses at full speed
	// ConfirmedPercent is the pace, in percent, that the worker confirmed last.
	ConfirmedPercent int
}

// Pace is the share of full speed that a best-effort run is allowed.
type Pace struct {
	Share     float64
	SlowedFor *ServingTask // the serving task for which it was slowed last; nil: it was not slowed
}

// Paces returns the paces of the best-effort runs of one worker at which no serving task exceeds its planned utilisation.
// The runs with the highest pressure on the most overloaded serving task are slowed first, before it misses its target, and
// recover as its load falls. This covers variable load and unknown pairs of images.
func (f *Interference) Paces(serving []ServingTask, bestEffort []BestEffortRun) []Pace {
	paces := make([]Pace, len(bestEffort))
	for i := range paces {
		paces[i].Share = 1
	}
	for range len(serving) * len(bestEffort) {
		task, excess := f.mostOverloaded(serving, bestEffort, paces)
		if excess <= 0 {
			break
		}
		run, addedLoad := f.strongest(task, bestEffort, paces)
		if run < 0 {
			break
		}
		paces[run] = Pace{Share: max(0, paces[run].Share-excess/addedLoad), SlowedFor: task}
	}
	return paces
}

// mostOverloaded returns the serving task that exceeds its planned utilisation most, and its excess. It skips tasks to which
// no run adds noticeable load, because slowing the runs does not help them.
func (f *Interference) mostOverloaded(serving []ServingTask, bestEffort []BestEffortRun, paces []Pace) (*ServingTask, float64) {
	var worst *ServingTask
	highest := 0.0
	for i := range serving {
		t := &serving[i]
		interference, strongest := 0.0, 0.0
		for k := range bestEffort {
			addedLoad := f.plannedPressure(t.Image, bestEffort[k].Image) * bestEffort[k].CPUFraction * paces[k].Share
			interference += addedLoad
			strongest = max(strongest, addedLoad)
		}
		if excess := t.Load + interference - f.Limit(t.Image, t.TargetMs); excess > highest && strongest > negligibleLoad {
			worst, highest = t, excess
		}
	}
	return worst, highest
}

// strongest returns the run whose image has the highest pressure on the serving task, and the utilisation that the run adds
// at full speed.
func (f *Interference) strongest(t *ServingTask, bestEffort []BestEffortRun, paces []Pace) (int, float64) {
	run, highest := -1, 0.0
	for k := range bestEffort {
		pressure := f.plannedPressure(t.Image, bestEffort[k].Image)
		if paces[k].Share > 0 && pressure*bestEffort[k].CPUFraction*paces[k].Share > negligibleLoad && pressure > highest {
			run, highest = k, pressure
		}
	}
	if run < 0 {
		return run, 0
	}
	return run, highest * bestEffort[run].CPUFraction
}

// speed returns the share of full speed that a best-effort task of the step would get on the worker beside its current
// tasks, and the largest utilisation that it is expected to add to one of them.
func (s *Snapshot) speed(w *Worker, step *jobs.Step) (speed, addedLoad float64) {
	if s.Interference == nil {
		return 1, 0
	}
	speed = 1
	cpuFraction := float64(step.CPU) / float64(max(1, w.Capacity.CPU))
	for i := range w.Serving {
		t := &w.Serving[i]
		addedLoad = max(addedLoad, s.Interference.Pressure(t.Image, step.Image)*cpuFraction)
		plannedLoad := s.Interference.plannedPressure(t.Image, step.Image) * cpuFraction
		if plannedLoad <= negligibleLoad {
			continue
		}
		free := s.Interference.Limit(t.Image, t.TargetMs) - t.Load - t.Interference
		speed = min(speed, max(0, free)/plannedLoad)
	}
	return speed, addedLoad
}
