package placement

import "bamboofork/internal/jobs"

// Shortage says why the tasks of a step find no worker. All figures are those after a planning pass.
type Shortage struct {
	Workers      int // workers that take starts, of the service and with the label that the step needs
	Closed       int // workers of the service and with the label whose failure domain is out of service; the other figures leave them out
	Fitting      int // workers with the free resources for a task
	Full         int // workers that already run as many tasks of the step as they may
	BesideShort  int // workers on which a perpetual task fits once their short tasks have ended
	Held         int // workers that start no short tasks until a perpetual task fits; their free resources are reduced by its needs
	Fits         int // tasks of the step that the free resources of all workers hold, one worker after the other
	FreeCPU      int // free CPU of all workers, in thousandths of a core
	MaxFreeCPU   int // largest free CPU of one worker
	MaxFreeMemMB int // largest free memory of one worker
}

// ShortageOf returns the shortage of the step of a job.
func (s *Snapshot) ShortageOf(j *jobs.Job, occ, stepIndex int) Shortage {
	step := &j.Spec.Steps[stepIndex]
	scope{snapshot: s, workers: s.Workers}.countStepTasks(&j.Occurrences[occ].Steps[stepIndex])
	var shortage Shortage
	for _, worker := range s.Workers {
		if worker.Service != j.Queue.Service || !worker.HasLabel(step.Label) {
			continue
		}
		if worker.Closed {
			shortage.Closed++
			continue
		}
		shortage.Workers++
		shortage.FreeCPU += worker.Free.CPU
		shortage.MaxFreeCPU = max(shortage.MaxFreeCPU, worker.Free.CPU)
		shortage.MaxFreeMemMB = max(shortage.MaxFreeMemMB, worker.Free.MemMB)
		if step.MaxPerWorker > 0 && worker.stepTasks >= step.MaxPerWorker {
			shortage.Full++
		}
		if worker.isHeld {
			shortage.Held++
		}
		if accepts(worker, j, step) && hasRoomBesidePerpetual(worker, step) {
			shortage.BesideShort++
		}
		if admits(worker, j, step) {
			shortage.Fitting++
			shortage.Fits += fittingTasks(worker, step)
		}
	}
	return shortage
}
