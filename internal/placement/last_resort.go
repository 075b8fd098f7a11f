package placement

import "bamboofork/internal/jobs"

// lastResort returns a worker with limited starts for an overdue perpetual task, or nil. The limits keep tasks on sound workers; a task that
// none of these can ever take gains nothing by waiting, and a perpetual task has no limit on its attempts.
func (s *Snapshot) lastResort(j *jobs.Job, step *jobs.Step, stepState *jobs.StepState) *Worker {
	if step.Advised || step.Gang {
		return nil
	}
	var chosen *Worker
	for _, workers := range [][]*Worker{s.Workers, s.Quarantined} {
		for _, worker := range workers {
			if worker.Closed || worker.Service != j.Queue.Service || !worker.HasLabel(step.Label) || !worker.Capacity.Fits(Need(step)) {
				continue
			}
			if worker.MaxStarts < 0 {
				return nil // it can take the task once it has room
			}
			if !worker.Free.Fits(Need(step)) || step.BestEffort && worker.BestEffortPaused ||
				step.MaxPerWorker > 0 && placedOn(stepState, worker.Name) >= step.MaxPerWorker {
				continue
			}
			if chosen == nil || worker.Free.CPU > chosen.Free.CPU {
				chosen = worker
			}
		}
	}
	return chosen
}

// placedOn returns the number of tasks of the step that are placed on the worker.
func placedOn(stepState *jobs.StepState, worker string) int {
	count := 0
	for i := range stepState.Tasks {
		if task := &stepState.Tasks[i]; task.State == jobs.TaskPlaced && task.Worker == worker {
			count++
		}
	}
	return count
}
