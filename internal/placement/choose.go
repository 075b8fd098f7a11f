package placement

import "bamboofork/internal/jobs"

// Weights of a worker's score, relative to the fraction of its CPU that is free. A rack without the data makes a task take
// 1.5 times as long, which outweighs any difference in free CPU; a repeated failure on the same worker risks the job.
const (
	weightDataRack     = 4.0
	weightSameRack     = 4.0
	weightFailed       = 8.0
	weightInterference = 5.0 // utilisation that a best-effort task adds to a serving task
	weightSpeed        = 2.0 // share of full speed that a best-effort task would get
	weightSameImage    = 1.5 // serving tasks of one image on the same worker, which keeps other workers free of that image
	weightSpread       = 0.1 // per task of the same step on the worker, so that losing a worker affects fewer of them
)

// shortReserve is the fraction of a worker's CPU that perpetual tasks leave free for short ones. Without it, perpetual tasks
// fill the fleet and short tasks wait until one of them ends.
const shortReserve = 0.12

// choose returns the worker for a task, or nil if none fits, and the share of full speed that a best-effort task gets there.
// A task avoids the worker on which it failed, and a best-effort task avoids serving tasks that it slows down. perWorker and
// perRack count the placed tasks of the step by worker and by rack.
func choose(s *Snapshot, j *jobs.Job, step *jobs.Step, task *jobs.Task, perWorker, perRack map[string]int) (*Worker, float64) {
	return bestWorker(s, step, task, perWorker, perRack, minSpeed, func(w *Worker) bool {
		return admits(w, j, step, perWorker[w.Name]) && leavesReserve(w, step) && hasIdleCPU(w, step)
	})
}

// chooseStarved returns the worker for a task of a starved job. It considers only the worker's free resources, so that
// interference with other tasks cannot keep a job waiting indefinitely.
func chooseStarved(s *Snapshot, j *jobs.Job, step *jobs.Step, task *jobs.Task, perWorker, perRack map[string]int) (*Worker, float64) {
	return bestWorker(s, step, task, perWorker, perRack, 0, func(w *Worker) bool { return admits(w, j, step, perWorker[w.Name]) })
}

// overdueMs is how long a perpetual task may wait while there are free resources for two tasks of its size.
const overdueMs = 1200

// overdue reports whether a perpetual task may use the reserve for short tasks. After a loss of workers, the reserve would
// otherwise keep perpetual tasks waiting indefinitely although enough resources are free.
func overdue(s *Snapshot, j *jobs.Job, step *jobs.Step, task *jobs.Task, perWorker map[string]int) bool {
	if !step.Perpetual || task.WaitingSinceMs == 0 || s.BootTimeMs-task.WaitingSinceMs < overdueMs {
		return false
	}
	fitting := 0 // number of tasks of this size that fit
	for _, w := range s.Workers {
		if admits(w, j, step, perWorker[w.Name]) {
			fitting += max(1, w.Free.CPU/max(1, step.CPU))
		}
	}
	return fitting >= 2
}

// bestWorker returns the eligible worker with the highest score among those where the task reaches speedFloor.
func bestWorker(s *Snapshot, step *jobs.Step, task *jobs.Task, perWorker, perRack map[string]int, speedFloor float64,
	eligible func(w *Worker) bool) (*Worker, float64) {
	var best *Worker
	bestScore, bestSpeed := 0.0, 1.0
	for _, w := range s.Workers {
		if !eligible(w) {
			continue
		}
		speed, addedLoad := 1.0, 0.0
		if step.BestEffort {
			speed, addedLoad = s.speed(w, step)
		}
		if speed < speedFloor {
			continue
		}
		score := score(w, step, task, speed, addedLoad, perWorker[w.Name], perRack)
		if best == nil || score > bestScore {
			best, bestScore, bestSpeed = w, score, speed
		}
	}
	return best, bestSpeed
}

// admits reports whether the worker accepts the task and has the free resources for it.
func admits(w *Worker, j *jobs.Job, step *jobs.Step, sameStep int) bool {
	return w.MaxStarts != 0 &&
		!(step.BestEffort && w.BestEffortPaused) &&
		w.Service == j.Queue.Service &&
		w.HasLabel(step.Label) &&
		(step.MaxPerWorker == 0 || sameStep < step.MaxPerWorker) &&
		w.Free.Fits(Need(step))
}

// leavesReserve reports whether a perpetual task leaves the reserve for short tasks free.
func leavesReserve(w *Worker, step *jobs.Step) bool {
	return !step.Perpetual || w.Free.CPU-step.CPU >= int(shortReserve*float64(w.Capacity.CPU))
}

// hasIdleCPU reports whether the worker has idle CPU time for a best-effort task.
func hasIdleCPU(w *Worker, step *jobs.Step) bool {
	return !step.BestEffort || w.BestEffort == 0 || w.Idle >= step.CPU/2
}

// score rates a worker for a task, given the speed of a best-effort task there and the utilisation that it adds to serving
// tasks.
func score(w *Worker, step *jobs.Step, task *jobs.Task, speed, addedLoad float64, sameStep int, perRack map[string]int) float64 {
	capacity := float64(max(1, w.Capacity.CPU))
	score := float64(w.Free.CPU) / capacity
	if step.BestEffort {
		score = float64(w.Idle)/capacity + weightSpeed*speed - weightInterference*addedLoad
	}
	if step.DataRack != "" && w.HasLabel(step.DataRack) {
		score += weightDataRack
	}
	if step.SameRack && perRack[w.Rack] > 0 {
		score += weightSameRack
	}
	if task.Failures > 0 && task.Worker == w.Name {
		score -= weightFailed
	}
	if step.TargetMs > 0 {
		score += weightSameImage * imageAffinity(w, step.Image)
	}
	return score - weightSpread*float64(sameStep)
}

// imageAffinity compares the worker's serving tasks with the image: 1 if all are of it, -1 if none is, 0 if there are none.
func imageAffinity(w *Worker, image string) float64 {
	if len(w.Serving) == 0 {
		return 0
	}
	n := 0
	for i := range w.Serving {
		if w.Serving[i].Image == image {
			n++
		}
	}
	return float64(2*n-len(w.Serving)) / float64(len(w.Serving))
}
