package placement

const (
	// minStartSpeed is the share of full speed below which a best-effort task is not started on a worker.
	minStartSpeed = 0.7
	// minStartPace is the lowest pace at which a best-effort task starts. Samples of the serving tasks on the same worker soon
	// correct the pace.
	minStartPace = 0.1
	// negligibleLoad is the utilisation added by a best-effort task below which slowing that task does not help a serving task.
	negligibleLoad = 0.004
)

// fullBacklogFraction is the amount of waiting best-effort work from which Snapshot.Backlog returns 1. The amount is the CPU of the
// waiting tasks as a fraction of the CPU of all workers.
const fullBacklogFraction = 0.2

// Backlog returns the backlog of best-effort work, from 0 (none) to 1. Waiting tasks are weighted by the urgency of their job, so
// that a job that has just arrived does not increase the backlog. See Interference.SetBacklog for the use of the result.
func (s *Snapshot) Backlog() float64 {
	waiting, capacity := 0.0, 1
	for w := range s.open() {
		capacity += w.Capacity.CPU
	}
	for _, c := range sortedCandidates(s, nil) { // paces follow what was declared, as without the order in shortage
		for i := range c.job.Spec.Steps {
			step, stepState := &c.job.Spec.Steps[i], &c.job.Occurrences[c.occ].Steps[i]
			if step.BestEffort && stepState.WaitingTasks > 0 && c.job.StepReady(c.occ, i) {
				waiting += c.urgency() * float64(step.CPU*stepState.WaitingTasks)
			}
		}
	}
	return min(1, waiting/float64(capacity)/fullBacklogFraction)
}

// BestEffortRun is a best-effort task on a worker.
type BestEffortRun struct {
	Task        string
	Image       string
	CPUFraction float64 // fraction of the worker's CPU that the task uses at full speed
	// ConfirmedPercent is the pace, in percent, that the worker confirmed last.
	ConfirmedPercent int
}

// Pace is the share of full speed that a best-effort run is allowed.
type Pace struct {
	Share     float64
	SlowedFor *ServingTask // the serving task for which the run was slowed last; nil: the run was not slowed
}

// Paces returns the paces of the best-effort runs of one worker, in the order of bestEffort, at which no serving task exceeds its
// limit (see Interference.UtilisationLimit). The run with the highest pressure on the most overloaded serving task is slowed
// first. Runs are slowed before the serving task misses its target, and speed up as the load of the serving task falls. The
// paces therefore also suit variable load and pairs of images without measurements.
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
		runIndex, addedLoad := f.strongestRun(task, bestEffort, paces)
		if runIndex < 0 {
			break
		}
		paces[runIndex] = Pace{Share: max(0, paces[runIndex].Share-excess/addedLoad), SlowedFor: task}
	}
	return paces
}

// mostOverloaded returns the serving task that exceeds its limit most, and the excess utilisation. It returns nil and 0 if no serving
// task exceeds its limit. It skips serving tasks to which no run adds more than negligibleLoad, because slowing runs does not help
// them.
func (f *Interference) mostOverloaded(serving []ServingTask, bestEffort []BestEffortRun, paces []Pace) (*ServingTask, float64) {
	var worst *ServingTask
	highestExcess := 0.0
	for i := range serving {
		t := &serving[i]
		interference, largestAddedLoad := 0.0, 0.0
		for k := range bestEffort {
			addedLoad := f.plannedPressure(t.Image, bestEffort[k].Image) * bestEffort[k].CPUFraction * paces[k].Share
			interference += addedLoad
			largestAddedLoad = max(largestAddedLoad, addedLoad)
		}
		if excess := t.Load + interference - f.UtilisationLimit(t.Image, t.TargetMs); excess > highestExcess &&
			largestAddedLoad > negligibleLoad {
			worst, highestExcess = t, excess
		}
	}
	return worst, highestExcess
}

// strongestRun returns the index of the run whose image has the highest pressure on the serving task, and the utilisation that the run
// adds at full speed. It skips runs that add at most negligibleLoad at their paces, and returns the index -1 if no run is left.
func (f *Interference) strongestRun(t *ServingTask, bestEffort []BestEffortRun, paces []Pace) (int, float64) {
	runIndex, highestPressure := -1, 0.0
	for k := range bestEffort {
		pressure := f.plannedPressure(t.Image, bestEffort[k].Image)
		if paces[k].Share > 0 && pressure*bestEffort[k].CPUFraction*paces[k].Share > negligibleLoad && pressure > highestPressure {
			runIndex, highestPressure = k, pressure
		}
	}
	if runIndex < 0 {
		return runIndex, 0
	}
	return runIndex, highestPressure * bestEffort[runIndex].CPUFraction
}

// bestEffortSpeed returns the share of full speed that a best-effort task would get on the worker beside the current tasks. row
// holds the pairs of the image of the task, nil without an Interference, and cpu is the CPU of the task in thousandths of a core.
// addedLoad is the largest utilisation that the task is expected to add to a serving task of the worker.
func bestEffortSpeed(w *Worker, row []pair, cpu int) (share, addedLoad float64) {
	share = 1
	if row == nil {
		return share, 0
	}
	cpuFraction := float64(cpu) / float64(max(1, w.Capacity.CPU))
	for i := range w.Serving {
		t := &w.Serving[i]
		p := &row[t.imageIndex]
		addedLoad = max(addedLoad, p.mean*cpuFraction)
		plannedLoad := p.planned * cpuFraction
		if plannedLoad <= negligibleLoad {
			continue
		}
		share = min(share, max(0, t.limit-t.Load-t.PlannedInterference)/plannedLoad)
	}
	return share, addedLoad
}
