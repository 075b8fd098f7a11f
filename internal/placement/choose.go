package placement

import "bamboofork/internal/jobs"

// Weights of a worker's score, in shares of a worker's free processor room. A rack without the data makes a task take
// 1.5 times as long, which outweighs any difference of room; repeating a failure on the same worker risks the job.
const (
	weightDataRack = 4.0
	weightSameRack = 4.0
	weightFailed   = 8.0
	weightUnknown  = 0.3 // for each serving task beside a filling one of which nothing is known
	weightAlike    = 0.5 // for serving tasks beside others of their image, which leaves other workers to other pairs
	weightSpread   = 0.1 // for each task of the same step on the worker, so that one loss takes fewer of them
)

// shortReserve is the share of a worker's processor room that lasting tasks leave to short ones. Lasting work would fill
// the fleet otherwise, and quick work would wait until a lasting task ends.
const shortReserve = 0.12

// choose returns the worker for a task, or nil if none fits. It answers waves of failing workers and of harmful
// neighbours: a task moves away from where it failed, and filling work away from the serving work that it disturbs.
func choose(s *Snapshot, j *jobs.Job, step *jobs.Step, task *jobs.Task, perWorker, racks map[string]int) *Worker {
	var best *Worker
	bestScore := 0.0
	for _, w := range s.Workers {
		if !admits(s, w, j, step, perWorker[w.Name]) {
			continue
		}
		score := score(s, w, step, task, perWorker[w.Name], racks)
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// admits reports whether a task of the step may run on the worker at all.
func admits(s *Snapshot, w *Worker, j *jobs.Job, step *jobs.Step, same int) bool {
	return w.MaxNew != 0 &&
		w.Service == j.Queue.Service &&
		w.HasLabel(step.Label) &&
		(step.MaxPerWorker == 0 || same < step.MaxPerWorker) &&
		fits(w, step) &&
		!Conflicts(s.Interference, w, step)
}

func fits(w *Worker, step *jobs.Step) bool {
	free := w.Free
	if step.Perpetual {
		free.CPU -= int(shortReserve * float64(w.Capacity.CPU))
	}
	if !free.Fits(Need(step)) {
		return false
	}
	// A filling task starts where most of what it can use is idle, or on a worker that has no other one.
	return !step.Fills || w.Idle >= step.CPU || len(w.Filling) == 0
}

// Conflicts reports whether a filling task of the step is known to push a serving task on the worker over its target, or
// a serving task would be pushed by a filling one.
func Conflicts(f *Interference, w *Worker, step *jobs.Step) bool {
	if f == nil {
		return false
	}
	if step.Fills {
		for image, n := range w.Serving {
			if n > 0 && f.Guilt(image, step.Image) >= Guilty {
				return true
			}
		}
	}
	return false
}

func score(s *Snapshot, w *Worker, step *jobs.Step, task *jobs.Task, same int, racks map[string]int) float64 {
	capacity := float64(max(1, w.Capacity.CPU))
	score := float64(w.Free.CPU) / capacity
	if step.Fills {
		score = float64(w.Idle) / capacity
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
	score -= doubt(s.Interference, w, step)
	if step.TargetMs > 0 && w.Serving[step.Image] > 0 {
		score += weightAlike
	}
	return score - weightSpread*float64(same)
}

// doubt is the penalty of a filling task for serving neighbours, between nothing for cleared pairs and the full weight.
func doubt(f *Interference, w *Worker, step *jobs.Step) float64 {
	if f == nil || !step.Fills {
		return 0
	}
	sum := 0.0
	for image, n := range w.Serving {
		if n > 0 {
			sum += weightUnknown * max(0, 1+f.Guilt(image, step.Image))
		}
	}
	return sum
}
