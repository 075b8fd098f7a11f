package placement

import "bamboofork/internal/jobs"

// Weights of a worker's score, in shares of a worker's free processor room. A rack without the data makes a task take
// 1.5 times as long, which outweighs any difference of room; repeating a failure on the same worker risks the job.
const (
	weightDataRack = 4.0
	weightSameRack = 4.0
	weightFailed   = 8.0
	weightHarm     = 0.5 // a serving task beside a filling one, for each such task
	weightSpread   = 0.1 // for each task of the same step on the worker, so that one loss takes fewer of them
)

// choose returns the worker for a task, or nil if none fits. It answers waves of failing workers and of harmful
// neighbours: a task moves away from where it failed, and filling work away from serving work.
func choose(s *Snapshot, j *jobs.Job, step *jobs.Step, task *jobs.Task, perWorker, racks map[string]int) *Worker {
	var best *Worker
	bestScore := 0.0
	need := Need(step)
	for _, w := range s.Workers {
		if !admits(w, j, step, need, perWorker[w.Name]) {
			continue
		}
		score := score(w, step, task, perWorker[w.Name], racks)
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// admits reports whether a task of the step may run on the worker at all.
func admits(w *Worker, j *jobs.Job, step *jobs.Step, need Room, same int) bool {
	return w.MaxNew != 0 &&
		w.Service == j.Queue.Service &&
		w.HasLabel(step.Label) &&
		(step.MaxPerWorker == 0 || same < step.MaxPerWorker) &&
		w.Free.Fits(need)
}

func score(w *Worker, step *jobs.Step, task *jobs.Task, same int, racks map[string]int) float64 {
	score := float64(w.Free.CPU) / float64(max(1, w.Capacity.CPU))
	if step.DataRack != "" && w.HasLabel(step.DataRack) {
		score += weightDataRack
	}
	if step.SameRack && racks[w.Rack] > 0 {
		score += weightSameRack
	}
	if task.Fails > 0 && task.Worker == w.Name {
		score -= weightFailed
	}
	if step.Fills {
		score -= weightHarm * float64(w.Serving)
	}
	if step.TargetMs > 0 {
		score -= weightHarm * float64(w.Filling) / float64(max(1, w.Capacity.CPU))
	}
	return score - weightSpread*float64(same)
}
