package placement

import "bamboofork/internal/jobs"

// Weights of the terms of a worker's score. The fraction of the worker's CPU that is free has the weight 1. A rack without the data
// makes a task take 1.5 times as long, which outweighs any difference in free CPU. A repeated failure on the same worker may make
// the whole job fail.
const (
	weightDataRack     = 4.0
	weightSameRack     = 4.0
	weightFailed       = 8.0
	weightInterference = 5.0 // times the utilisation that a best-effort task adds to a serving task
	weightSpeed        = 2.0 // times the share of full speed that a best-effort task would get
	weightSameImage    = 1.5 // times imageAffinity: serving tasks of one image share workers, which keeps other workers free of that image
	weightSpread       = 0.1 // for each task of the same step on the worker, so that the loss of a worker affects fewer tasks of a step
)

// shortTaskReserveFraction is the fraction of a worker's CPU that perpetual tasks leave free for short tasks. Without this reserve,
// perpetual tasks fill the fleet, and short tasks wait until a perpetual task ends.
const shortTaskReserveFraction = 0.12

// choose returns the worker for a task, or nil if the task fits on none. It also returns the share of full speed that a best-effort
// task gets on that worker. A task avoids the worker on which it failed, and a best-effort task avoids serving tasks that it slows
// down. stepTasksByWorker and stepTasksByRack are the numbers of placed tasks of the step by worker and by rack.
func choose(snapshot *Snapshot, j *jobs.Job, step *jobs.Step, task *jobs.Task,
	stepTasksByWorker, stepTasksByRack map[string]int) (*Worker, float64) {
	return bestWorker(snapshot, step, task, stepTasksByWorker, stepTasksByRack, minStartSpeed, func(worker *Worker) bool {
		return admits(worker, j, step, stepTasksByWorker[worker.Name]) && leavesReserve(worker, step) && hasIdleCPU(worker, step)
	})
}

// chooseStarved returns the same values as choose for a task that has waited too long. It ignores the reserve for short tasks, the
// idle CPU time and the speed that the task would get, so that interference with other tasks cannot keep a job waiting
// indefinitely.
func chooseStarved(snapshot *Snapshot, j *jobs.Job, step *jobs.Step, task *jobs.Task,
	stepTasksByWorker, stepTasksByRack map[string]int) (*Worker, float64) {
	return bestWorker(snapshot, step, task, stepTasksByWorker, stepTasksByRack, 0,
		func(worker *Worker) bool { return admits(worker, j, step, stepTasksByWorker[worker.Name]) })
}

// overdueWaitMs is how long a perpetual task may wait while there are free resources for two tasks of its size.
const overdueWaitMs = 1200

// isOverdue reports whether a perpetual task has waited for overdueWaitMs, so that it may use the reserve for short tasks. After a
// loss of workers, the reserve would otherwise keep perpetual tasks waiting indefinitely although enough resources are free.
func isOverdue(snapshot *Snapshot, j *jobs.Job, step *jobs.Step, task *jobs.Task, stepTasksByWorker map[string]int) bool {
	if !step.Perpetual || task.WaitingSinceMs == 0 || snapshot.BootTimeMs-task.WaitingSinceMs < overdueWaitMs {
		return false
	}
	fittingTasks := 0 // number of tasks of the step that fit on the workers
	for _, worker := range snapshot.Workers {
		if admits(worker, j, step, stepTasksByWorker[worker.Name]) {
			fittingTasks += max(1, worker.Free.CPU/max(1, step.CPU))
		}
	}
	return fittingTasks >= 2
}

// bestWorker returns the eligible worker with the highest score, and the share of full speed that a best-effort task gets there. It
// skips workers on which the task does not reach speedFloor, and returns nil if none is left.
func bestWorker(snapshot *Snapshot, step *jobs.Step, task *jobs.Task, stepTasksByWorker, stepTasksByRack map[string]int, speedFloor float64,
	eligible func(worker *Worker) bool) (*Worker, float64) {
	var best *Worker
	bestScore, bestSpeed := 0.0, 1.0
	for _, worker := range snapshot.Workers {
		if !eligible(worker) {
			continue
		}
		speed, addedLoad := 1.0, 0.0
		if step.BestEffort {
			speed, addedLoad = snapshot.bestEffortSpeed(worker, step)
		}
		if speed < speedFloor {
			continue
		}
		workerScore := scoreWorker(worker, step, task, speed, addedLoad, stepTasksByWorker[worker.Name], stepTasksByRack)
		if best == nil || workerScore > bestScore {
			best, bestScore, bestSpeed = worker, workerScore, speed
		}
	}
	return best, bestSpeed
}

// admits reports whether the worker accepts a task of the step and has the free resources for the task. stepTasksOnWorker is the number of
// tasks of the step that are on the worker already.
func admits(worker *Worker, j *jobs.Job, step *jobs.Step, stepTasksOnWorker int) bool {
	return worker.MaxStarts != 0 &&
		!(step.BestEffort && worker.BestEffortPaused) &&
		worker.Service == j.Queue.Service &&
		worker.HasLabel(step.Label) &&
		(step.MaxPerWorker == 0 || stepTasksOnWorker < step.MaxPerWorker) &&
		worker.Free.Fits(Need(step))
}

// leavesReserve reports whether the reserve for short tasks remains free if a task of the step starts on the worker. Only perpetual
// tasks must leave the reserve free.
func leavesReserve(worker *Worker, step *jobs.Step) bool {
	return !step.Perpetual || worker.Free.CPU-step.CPU >= int(shortTaskReserveFraction*float64(worker.Capacity.CPU))
}

// hasIdleCPU reports whether the worker has idle CPU time for a best-effort task of the step. The first best-effort task on a worker
// needs none; each further one needs half of its CPU to be idle.
func hasIdleCPU(worker *Worker, step *jobs.Step) bool {
	return !step.BestEffort || worker.BestEffortTasks == 0 || worker.IdleCPU >= step.CPU/2
}

// scoreWorker returns the score of a worker for a task; a higher score is better. speed is the share of full speed that a best-effort
// task gets on the worker, and addedLoad is the utilisation that the task adds to the serving tasks.
func scoreWorker(worker *Worker, step *jobs.Step, task *jobs.Task, speed, addedLoad float64,
	stepTasksOnWorker int, stepTasksByRack map[string]int) float64 {
	capacity := float64(max(1, worker.Capacity.CPU))
	sum := float64(worker.Free.CPU) / capacity
	if step.BestEffort {
		sum = float64(worker.IdleCPU)/capacity + weightSpeed*speed - weightInterference*addedLoad
	}
	if step.DataRack != "" && worker.HasLabel(step.DataRack) {
		sum += weightDataRack
	}
	if step.SameRack && stepTasksByRack[worker.Rack] > 0 {
		sum += weightSameRack
	}
	if task.Failures > 0 && task.Worker == worker.Name {
		sum -= weightFailed
	}
	if step.TargetMs > 0 {
		sum += weightSameImage * imageAffinity(worker, step.Image)
	}
	return sum - weightSpread*float64(stepTasksOnWorker)
}

// imageAffinity returns how well the serving tasks of the worker match the image, from -1 to 1. It returns 1 if all of them run the
// image, -1 if none of them does, and 0 if the worker has no serving tasks.
func imageAffinity(worker *Worker, image string) float64 {
	if len(worker.Serving) == 0 {
		return 0
	}
	sameImage := 0
	for i := range worker.Serving {
		if worker.Serving[i].Image == image {
			sameImage++
		}
	}
	return float64(2*sameImage-len(worker.Serving)) / float64(len(worker.Serving))
}
