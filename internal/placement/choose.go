package placement

import "bamboofork/internal/jobs"

// Weights of a worker's score, in shares of a worker's free processor room. A rack without the data makes a task take
// 1.5 times as long, which outweighs any difference of room; repeating a failure on the same worker risks the job.
const (
	weightDataRack = 4.0
	weightSameRack = 4.0
	weightFailed   = 8.0
	weightPress    = 5.0 // for the utilisation that a filling task adds to a serving one
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
		fits(s, w, step)
}

func fits(s *Snapshot, w *Worker, step *jobs.Step) bool {
	free := w.Free
	if step.Perpetual {
		free.CPU -= int(shortReserve * float64(w.Capacity.CPU))
	}
	if !free.Fits(Need(step)) {
		return false
	}
	if !step.Fills {
		return true
	}
	// A filling task starts where what it can use is idle, or on a worker that has no other one.
	if w.Idle < step.CPU && w.Filling > 0 {
		return false
	}
	_, over := worstPress(s, w, step.Image, step.CPU)
	return !over
}

func score(s *Snapshot, w *Worker, step *jobs.Step, task *jobs.Task, same int, racks map[string]int) float64 {
	capacity := float64(max(1, w.Capacity.CPU))
	score := float64(w.Free.CPU) / capacity
	if step.Fills {
		press, _ := worstPress(s, w, step.Image, step.CPU)
		score = float64(w.Idle)/capacity - weightPress*press
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
	if step.TargetMs > 0 && hasImage(w, step.Image) {
		score += weightAlike
	}
	return score - weightSpread*float64(same)
}

func hasImage(w *Worker, image string) bool {
	for i := range w.Serving {
		if w.Serving[i].Image == image {
			return true
		}
	}
	return false
}
