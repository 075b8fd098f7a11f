package placement

import (
	"slices"

	"bamboofork/internal/jobs"
)

// Plan returns an assignment for each task that starts now, in the order in which the tasks were chosen.
func Plan(s *Snapshot) []Assignment {
	var plan []Assignment
	var waiting holds
	unplacedCPU := 0 // of best-effort tasks
	order := placementOrder(s)
	for i, c := range order {
		if i > 0 && (!c.isPerpetual || c.job.Queue.Priority != order[i-1].job.Queue.Priority) {
			waiting.apply(s) // the perpetual jobs of the priority have been planned
		}
		for stepIndex := range c.job.Spec.Steps {
			if c.job.Occurrences[c.occ].Steps[stepIndex].WaitingTasks > 0 && c.job.StepReady(c.occ, stepIndex) {
				started := planStep(s, c, stepIndex, &waiting)
				plan = append(plan, started...)
				if step := &c.job.Spec.Steps[stepIndex]; step.BestEffort {
					unplacedCPU += step.CPU * (c.job.Occurrences[c.occ].Steps[stepIndex].WaitingTasks - len(started))
				}
			}
		}
	}
	if s.DelayCost != nil {
		s.DelayCost.UnplacedBestEffortCPU = unplacedCPU
	}
	return plan
}

// planStep returns assignments for the waiting tasks of one step that fit, and allocates the resources. A gang is assigned as a whole
// or not at all. It adds overdue tasks that fit nowhere to waiting.
func planStep(s *Snapshot, c candidate, stepIndex int, waiting *holds) []Assignment {
	step := &c.job.Spec.Steps[stepIndex]
	stepState := &c.job.Occurrences[c.occ].Steps[stepIndex]
	stepScope := s.scopeOf(c.job, c.occ, stepIndex)
	stepScope.countStepTasks(stepState)
	stepTasksByRack := map[string]int{}
	if step.SameRack {
		for _, worker := range stepScope.workers {
			stepTasksByRack[worker.Rack] += worker.stepTasks
		}
	}
	lastRunNumber := 0
	for index := range stepState.Tasks {
		lastRunNumber = max(lastRunNumber, stepState.Tasks[index].Run)
	}
	if step.Gang && !gangMayStart(stepState, s.BootTimeMs) {
		return nil
	}
	var plan []Assignment
	choosers := []*chooser{newChooser(stepScope, c.job, step, stepTasksByRack)}
	var changed changedWorkers
	if step.Gang {
		changed = changedWorkers{}
	}
	var overdueChooser, starvedChooser *chooser
	mayFitTwice := true
	for index := range stepState.Tasks {
		task := &stepState.Tasks[index]
		if !mayStart(task, s.BootTimeMs) {
			continue
		}
		worker, speed := choosers[0].choose(task)
		overdue := worker == nil && isOverdue(s, step, task)
		if overdue {
			if overdueChooser == nil {
				overdueChooser = newOverdueChooser(stepScope, c.job, step, stepTasksByRack)
				choosers = append(choosers, overdueChooser)
			}
			worker, speed = overdueChooser.choose(task)
		}
		if worker == nil && overdue && mayFitTwice {
			mayFitTwice = fitsTwice(stepScope, c.job, step)
		}
		if worker == nil && (c.isStarved || (overdue && mayFitTwice)) {
			if starvedChooser == nil {
				starvedChooser = newStarvedChooser(stepScope, c.job, step, stepTasksByRack)
				choosers = append(choosers, starvedChooser)
			}
			worker, speed = starvedChooser.choose(task)
			c.isStarved = c.isStarved && step.Gang // one task is enough for a job to go on, but a gang starts whole
		}
		isLastResort := false
		if worker == nil && overdue {
			worker = s.lastResort(c.job, step, stepState)
			isLastResort, speed = worker != nil, 1
		}
		if worker == nil {
			if step.Gang {
				changed.restore()
				return nil
			}
			if !step.Perpetual {
				break // all tasks of a step need the same resources
			}
			if overdue {
				waiting.add(stepScope, c, stepIndex, task)
			}
			continue
		}
		pace := max(minStartPace, speed)
		changed.keep(worker)
		s.Allocate(worker, step, c.job.ID, pace)
		worker.stepTasks++
		if step.SameRack {
			stepTasksByRack[worker.Rack]++
		}
		for _, chooser := range choosers {
			if !isLastResort { // the choosers don't know a worker in quarantine, and find no other worker for the step
				chooser.update(worker)
			}
		}
		runNumber := task.Run + 1
		if step.Gang {
			runNumber = lastRunNumber + 1
		}
		plan = append(plan, Assignment{Job: c.job,
			Place: jobs.Place{Occ: c.occ, Step: stepIndex, Index: index, Run: runNumber, Worker: worker.Name, Lifetime: worker.Lifetime}, Pace: pace})
	}
	return plan
}

// gangMayStart reports whether all tasks of a gang may start: no task of its previous run is still placed, and no restart is delayed.
func gangMayStart(stepState *jobs.StepState, nowMs int64) bool {
	for i := range stepState.Tasks {
		if !mayStart(&stepState.Tasks[i], nowMs) {
			return false
		}
	}
	return true
}

// Allocate allocates resources of the worker to a task of the step. group identifies the serving tasks that share the load of the
// same users. pace is the share of full speed at which a best-effort task runs.
func (s *Snapshot) Allocate(worker *Worker, step *jobs.Step, group string, pace float64) {
	worker.Free = worker.Free.Sub(Need(step))
	if step.Perpetual {
		worker.perpetual = worker.perpetual.Add(Need(step))
	}
	if worker.MaxStarts > 0 {
		worker.MaxStarts--
	}
	usedCPU := step.CPU
	switch {
	case step.BestEffort:
		worker.BestEffortTasks++
		s.addInterference(worker, step, pace)
		usedCPU = int(pace * float64(step.CPU))
		worker.bestEffortCPU += usedCPU
	case step.TargetMs > 0:
		task := ServingTask{Image: step.Image, TargetMs: step.TargetMs, Load: priorLoad}
		if pairs := s.pairTable(); pairs != nil {
			task.Load = s.Interference.ForecastLoad(group, s.BootTimeMs)
			task.imageIndex = pairs.indexOfServing(step.Image)
			task.limit = s.Interference.UtilisationLimit(step.Image, step.TargetMs)
		}
		worker.Serving = append(worker.Serving, task)
		usedCPU = int(task.Load * float64(step.CPU)) // best-effort tasks can use the rest
	}
	worker.IdleCPU -= usedCPU
}

// addInterference adds the utilisation that a best-effort task of the step is planned to cause to each serving task of the worker.
func (s *Snapshot) addInterference(worker *Worker, step *jobs.Step, pace float64) {
	pairs := s.pairTable()
	if pairs == nil || len(worker.Serving) == 0 {
		return
	}
	row := pairs.row(step.Image)
	cpuFraction := pace * float64(step.CPU) / float64(max(1, worker.Capacity.CPU))
	for k := range worker.Serving {
		t := &worker.Serving[k]
		t.PlannedInterference += row[t.imageIndex].planned * cpuFraction
	}
}

// changedWorkers holds the workers that took tasks of a gang, as they were before. It is nil for a step that is no gang.
type changedWorkers map[*Worker]Worker

// keep keeps the state of a worker that is about to take a task.
func (c changedWorkers) keep(worker *Worker) {
	if _, kept := c[worker]; kept || c == nil {
		return
	}
	before := *worker
	before.Serving = slices.Clone(worker.Serving) // their planned interference changes in place
	c[worker] = before
}

// restore takes the tasks of a gang that does not fit as a whole back from the workers.
func (c changedWorkers) restore() {
	for worker, before := range c {
		*worker = before
	}
}
