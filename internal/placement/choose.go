package placement

import "bamboofork/internal/jobs"

// Weights of a worker's score, in shares of a worker's free processor room. A rack without the data makes a task take
// 1.5 times as long, which outweighs any difference of room; repeating a failure on the same worker risks the job.
const (
	weightDataRack = 4.0
	weightSameRack = 4.0
	weightFailed   = 8.0
	weightPress    = 5.0 // for the utilisation that a filling task adds to a serving one
	weightSpeed    = 2.0 // for the share of its full speed that a filling task would have
	weightAlike    = 1.5 // for serving tasks beside others of their image, which leaves other workers to other pairs
	weightSpread   = 0.1 // for each task of the same step on the worker, so that one loss takes fewer of them
)

// shortReserve is the share of a worker's processor room that lasting tasks leave to short ones. Lasting work would fill
// the fleet otherwise, and quick work would wait until a lasting task ends.
const shortReserve = 0.12

// choose returns the worker for a task, or nil if none fits, and the share of its full speed that a filling task has there. It
// answers waves of failing workers and of harmful neighbours: a task moves away from where it failed, and filling work away
// from the serving work that it disturbs.
func choose(s *Snapshot, j *jobs.Job, step *jobs.Step, task *jobs.Task, perWorker, racks map[string]int) (*Worker, float64) {
	return best(s, step, task, perWorker, racks, minSpeed, func(w *Worker) bool {
		return admits(w, j, step, perWorker[w.Name]) && leavesReserve(w, step) && leavesIdleTime(w, step)
	})
}

// chooseStarved returns the worker for a task of a job of which nothing has run for a while. It answers neighbours that
// would keep a job waiting for good: only the worker's room decides.
func chooseStarved(s *Snapshot, j *jobs.Job, step *jobs.Step, task *jobs.Task, perWorker, racks map[string]int) (*Worker, float64) {
	return best(s, step, task, perWorker, racks, 0, func(w *Worker) bool { return admits(w, j, step, perWorker[w.Name]) })
}

// overdueMs is how long a lasting task may wait while there is room for it twice over.
const overdueMs = 1200

// overdue reports whether a lasting task may use the room that is kept for short ones. It answers a fleet that lost
// workers: the reserve would keep lasting tasks away for good while more room than they need stays free.
func overdue(s *Snapshot, j *jobs.Job, step *jobs.Step, task *jobs.Task, perWorker map[string]int) bool {
	if !step.Perpetual || task.WaitingMs == 0 || s.SteadyMs-task.WaitingMs < overdueMs {
		return false
	}
	slots := 0
	for _, w := range s.Workers {
		if admits(w, j, step, perWorker[w.Name]) {
			slots += max(1, w.Free.CPU/max(1, step.CPU))
		}
	}
	return slots >= 2
}

// best returns the worker with the highest score among those where the task may run and is at least as fast as asked for.
func best(s *Snapshot, step *jobs.Step, task *jobs.Task, perWorker, racks map[string]int, least float64, may func(w *Worker) bool) (*Worker, float64) {
	var best *Worker
	bestScore, bestSpeed := 0.0, 1.0
	for _, w := range s.Workers {
		if !may(w) {
			continue
		}
		speed, press := 1.0, 0.0
		if step.Fills {
			speed, press = s.speed(w, step)
		}
		if speed < least {
			continue
		}
		score := score(w, step, task, speed, press, perWorker[w.Name], racks)
		if best == nil || score > bestScore {
			best, bestScore, bestSpeed = w, score, speed
		}
	}
	return best, bestSpeed
}

// admits reports whether the worker is one for the task and has room for it.
func admits(w *Worker, j *jobs.Job, step *jobs.Step, same int) bool {
	return w.MaxNew != 0 &&
		!(step.Fills && w.Slowed) &&
		w.Service == j.Queue.Service &&
		w.HasLabel(step.Label) &&
		(step.MaxPerWorker == 0 || same < step.MaxPerWorker) &&
		w.Free.Fits(Need(step))
}

// leavesReserve reports whether a lasting task leaves room for short ones.
func leavesReserve(w *Worker, step *jobs.Step) bool {
	return !step.Perpetual || w.Free.CPU-step.CPU >= int(shortReserve*float64(w.Capacity.CPU))
}

// leavesIdleTime reports whether a filling task finds idle time on the worker.
func leavesIdleTime(w *Worker, step *jobs.Step) bool {
	return !step.Fills || w.Filling == 0 || w.Idle >= step.CPU/2
}

// score rates a worker. The speed of a filling task and the utilisation that it adds to its neighbours are known.
func score(w *Worker, step *jobs.Step, task *jobs.Task, speed, press float64, same int, racks map[string]int) float64 {
	capacity := float64(max(1, w.Capacity.CPU))
	score := float64(w.Free.CPU) / capacity
	if step.Fills {
		score = float64(w.Idle)/capacity + weightSpeed*speed - weightPress*press
	}
	if step.DataRack != "" && w.HasLabel(step.DataRack) {
		score += weightDataRack
	}
	if step.SameRack && racks[w.Rack] > 0 {
		score += weightSameRack
	}
	if task.Fails > 0 && task.Worker == w.Name {
		score -= weightFailed
	}
	if step.TargetMs > 0 {
		score += weightAlike * alike(w, step.Image)
	}
	return score - weightSpread*float64(same)
}

// alike returns how much the worker's serving tasks are of the image: 1 all, 0 none is there, -1 all are others.
func alike(w *Worker, image string) float64 {
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
