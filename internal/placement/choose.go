package placement

import (
	"slices"

	"bamboofork/internal/jobs"
)

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
	weightPackedImage  = 0.5 // times imageAffinity, if serving tasks are packed
	weightSpread       = 0.1 // for each task of the same step on the worker, so that the loss of a worker affects fewer tasks of a step
)

// shortTaskReserveFraction is the fraction of a worker's CPU that perpetual tasks leave free for short tasks. Without this reserve,
// perpetual tasks fill the fleet, and short tasks wait until a perpetual task ends.
const shortTaskReserveFraction = 0.12

// chooser chooses workers for the waiting tasks of one step. All tasks of a step need the same resources, so the scores of the
// workers are computed once, and after each placement again for the worker that took the task.
type chooser struct {
	scope      scope
	step       *jobs.Step
	row        []pair  // pairs of the image of a best-effort step
	speedFloor float64 // workers on which a best-effort task would not reach this share of full speed are skipped
	eligible   func(worker *Worker) bool
	// stepTasksByRack is the number of placed tasks of the step by rack, for a step that prefers one rack.
	stepTasksByRack map[string]int

	rated    *[]rating // by position in the scope
	hasRated bool      // rated belongs to this step
	isFull   bool      // no worker was found; the resources only shrink while the step is planned
}

// rating is the suitability of one worker for a task of the step.
type rating struct {
	eligible bool
	score    float64
	speed    float64 // share of full speed that a best-effort task gets
}

// newChooser returns the chooser for tasks of the step. A best-effort task avoids serving tasks that it slows down.
func newChooser(s scope, j *jobs.Job, step *jobs.Step, stepTasksByRack map[string]int) *chooser {
	return newChooserWhere(s, 0, step, stepTasksByRack, minStartSpeed, func(worker *Worker) bool {
		return admits(worker, j, step) && leavesReserve(worker, step) && hasIdleCPU(worker, step)
	})
}

// newStarvedChooser returns the chooser for a task that has waited too long. It ignores the reserve for short tasks, the idle CPU
// time and the speed that the task would get, so that interference with other tasks cannot keep a job waiting indefinitely.
func newStarvedChooser(s scope, j *jobs.Job, step *jobs.Step, stepTasksByRack map[string]int) *chooser {
	return newChooserWhere(s, 1, step, stepTasksByRack, 0, func(worker *Worker) bool { return admits(worker, j, step) })
}

// newOverdueChooser returns the chooser for a perpetual task that has waited for overdueWaitMs. The reserve counts as free while short
// tasks use it: a worker that short tasks keep busy would otherwise never take a perpetual task.
func newOverdueChooser(s scope, j *jobs.Job, step *jobs.Step, stepTasksByRack map[string]int) *chooser {
	return newChooserWhere(s, 2, step, stepTasksByRack, minStartSpeed, func(worker *Worker) bool {
		return admits(worker, j, step) && hasRoomBesidePerpetual(worker, step) && hasIdleCPU(worker, step)
	})
}

func newChooserWhere(s scope, buffer int, step *jobs.Step, stepTasksByRack map[string]int, speedFloor float64,
	eligible func(worker *Worker) bool) *chooser {
	c := &chooser{scope: s, step: step, speedFloor: speedFloor, eligible: eligible, stepTasksByRack: stepTasksByRack,
		rated: &s.snapshot.ratings[buffer]}
	if pairs := s.snapshot.pairTable(); step.BestEffort && pairs != nil {
		c.row = pairs.row(step.Image)
	}
	return c
}

// choose returns the eligible worker with the highest score and the share of full speed that a best-effort task gets there, or nil
// if the task fits on none. A task avoids the worker on which it failed.
func (c *chooser) choose(task *jobs.Task) (*Worker, float64) {
	if c.isFull {
		return nil, 1
	}
	if !c.hasRated || c.step.SameRack { // a placement changes the scores of all workers of the rack
		c.rateAll()
	}
	var best *rating
	var chosen *Worker
	bestScore := 0.0
	rated := *c.rated
	for i := range rated {
		r := &rated[i]
		if !r.eligible {
			continue
		}
		score := r.score
		if task.Failures > 0 && task.Worker == c.scope.workers[i].Name {
			score -= weightFailed
		}
		if best == nil || score > bestScore {
			best, bestScore, chosen = r, score, c.scope.workers[i]
		}
	}
	if best == nil {
		c.isFull = true
		return nil, 1
	}
	return chosen, best.speed
}

func (c *chooser) rateAll() {
	rated := slices.Grow((*c.rated)[:0], len(c.scope.workers))
	for _, worker := range c.scope.workers {
		rated = append(rated, c.rate(worker))
	}
	*c.rated, c.hasRated = rated, true
}

// update rates a worker again whose free resources or tasks have changed.
func (c *chooser) update(worker *Worker) {
	if c.hasRated {
		(*c.rated)[worker.position] = c.rate(worker)
	}
}

func (c *chooser) rate(worker *Worker) rating {
	if !c.eligible(worker) {
		return rating{}
	}
	speed, addedLoad := 1.0, 0.0
	if c.step.BestEffort {
		speed, addedLoad = bestEffortSpeed(worker, c.row, c.step.CPU)
	}
	if speed < c.speedFloor {
		return rating{}
	}
	return rating{eligible: true, speed: speed, score: c.scoreWorker(worker, speed, addedLoad)}
}

// overdueWaitMs is how long a perpetual task may wait before it may use the reserve for short tasks.
const overdueWaitMs = 1200

// isOverdue reports whether a perpetual task has waited for overdueWaitMs.
func isOverdue(snapshot *Snapshot, step *jobs.Step, task *jobs.Task) bool {
	return step.Perpetual && task.WaitingSinceMs > 0 && snapshot.BootTimeMs-task.WaitingSinceMs >= overdueWaitMs
}

// fitsTwice reports whether there are free resources for two tasks of the step. An overdue task then uses the reserve: after a loss of
// workers, the reserve would otherwise keep perpetual tasks waiting indefinitely although enough resources are free.
func fitsTwice(s scope, j *jobs.Job, step *jobs.Step) bool {
	fitting := 0
	for _, worker := range s.workers {
		if admits(worker, j, step) {
			fitting += fittingTasks(worker, step)
		}
	}
	return fitting >= 2
}

// fittingTasks returns how many tasks of the step fit on a worker that admits one.
func fittingTasks(worker *Worker, step *jobs.Step) int {
	return max(1, worker.Free.CPU/max(1, step.CPU))
}

// admits reports whether the worker accepts a task of the step that is being planned and has the free resources for the task.
func admits(worker *Worker, j *jobs.Job, step *jobs.Step) bool {
	return accepts(worker, j, step) && worker.Free.Fits(Need(step))
}

// accepts reports whether the worker accepts a task of the step that is being planned, whatever its free resources.
func accepts(worker *Worker, j *jobs.Job, step *jobs.Step) bool {
	return worker.MaxStarts != 0 && !worker.Closed &&
		(worker.isBarred == nil || !worker.isBarred(j.ID)) &&
		!(step.BestEffort && worker.BestEffortPaused) &&
		worker.Service == j.Queue.Service &&
		worker.HasLabel(step.Label) &&
		(step.MaxPerWorker == 0 || worker.stepTasks < step.MaxPerWorker)
}

// leavesReserve reports whether the reserve for short tasks remains free if a task of the step starts on the worker. Only perpetual
// tasks must leave the reserve free.
func leavesReserve(worker *Worker, step *jobs.Step) bool {
	return !step.Perpetual || worker.Free.CPU-step.CPU >= shortTaskReserve(worker)
}

// shortTaskReserve returns the CPU of the worker that perpetual tasks leave free for short tasks, in thousandths of a core.
func shortTaskReserve(worker *Worker) int {
	return int(shortTaskReserveFraction * float64(worker.Capacity.CPU))
}

// hasRoomBesidePerpetual reports whether a task of the step and the reserve for short tasks fit on the worker beside its perpetual
// tasks alone.
func hasRoomBesidePerpetual(worker *Worker, step *jobs.Step) bool {
	room := worker.Capacity.Sub(worker.perpetual)
	room.CPU -= shortTaskReserve(worker)
	return room.Fits(Need(step))
}

// hasIdleCPU reports whether the worker has idle CPU time for a best-effort task of the step. The first best-effort task on a worker
// needs none; each further one needs half of its CPU to be idle.
func hasIdleCPU(worker *Worker, step *jobs.Step) bool {
	return !step.BestEffort || worker.BestEffortTasks == 0 || worker.IdleCPU >= step.CPU/2
}

// scoreWorker returns the score of a worker for a task of the step; a higher score is better. speed is the share of full speed that a
// best-effort task gets on the worker, and addedLoad is the utilisation that the task adds to the serving tasks.
func (c *chooser) scoreWorker(worker *Worker, speed, addedLoad float64) float64 {
	step := c.step
	capacity := float64(max(1, worker.Capacity.CPU))
	sum := float64(worker.Free.CPU) / capacity
	isPacked := step.TargetMs > 0 && !step.BestEffort && c.scope.snapshot.PackServing
	switch {
	case step.BestEffort:
		sum = float64(worker.IdleCPU)/capacity + weightSpeed*speed - weightInterference*addedLoad
	case isPacked:
		sum = packedScore(worker, step.Image)
	}
	if step.TargetMs > 0 && !isPacked {
		sum += weightSameImage * imageAffinity(worker, step.Image)
	}
	if step.DataRack != "" && worker.HasLabel(step.DataRack) {
		sum += weightDataRack
	}
	if step.SameRack && c.stepTasksByRack[worker.Rack] > 0 {
		sum += weightSameRack
	}
	return sum - weightSpread*float64(worker.stepTasks)
}

// packedScore returns the score of a worker for a serving task of the image if serving tasks are packed: a worker without serving tasks
// comes last, and of the others the fullest and those with the image come first. Load pattern: large best-effort jobs beside serving
// jobs of many images that are spread over all workers. A best-effort task must be harmless to every serving task of its worker, so that
// hardly any worker takes it, and it waits while a fifth of the CPU of the fleet is idle.
func packedScore(worker *Worker, image string) float64 {
	if len(worker.Serving) == 0 {
		return 0
	}
	reserved := float64(worker.Capacity.CPU-worker.Free.CPU) / float64(max(1, worker.Capacity.CPU))
	return 1 + reserved + weightPackedImage*imageAffinity(worker, image)
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
