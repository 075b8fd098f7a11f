package scheduler

import (
	"bamboofork/internal/invariant"
)

// Place selects a worker for one task and assumes the task on it.
func (s *Scheduler) Place(task *TaskInfo) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.placeTask(s.newCycle(), task)
	s.countDecision(&d)
	return d
}

// PlaceGang places all tasks or none. Either every returned Decision is placed, or none is and no task remains assumed. It
// returns no decisions for the tasks after the first one that could not be placed.
func (s *Scheduler) PlaceGang(tasks []*TaskInfo) []Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placeGang(tasks)
}

func (s *Scheduler) placeGang(tasks []*TaskInfo) []Decision {
	cycle := s.newCycle()
	decisions := make([]Decision, 0, len(tasks))
	for _, t := range tasks {
		decision := s.placeTask(cycle, t)
		decisions = append(decisions, decision)
		if !decision.Placed() {
			s.rollback(cycle, tasks, decisions)
			break
		}
	}
	for i := range decisions {
		s.countDecision(&decisions[i])
	}
	return decisions
}

// rollback removes the placements of a gang whose last examined task could not be placed, and changes the decisions accordingly.
func (s *Scheduler) rollback(cycle *Cycle, tasks []*TaskInfo, decisions []Decision) {
	failed := &decisions[len(decisions)-1]
	for i := range decisions {
		if !decisions[i].Placed() {
			continue
		}
		s.unreserve(cycle, tasks[i])
		decisions[i].Node = nil
		decisions[i].Note = "the gang needs all its tasks; " + failed.Task + " found no worker"
	}
	for _, t := range tasks {
		invariant.Check(s.cache.placementByTask[t.Ref.Task] == nil, "gang_all_or_none",
			"task %s is still placed after the rollback of its gang", t.Ref.Task)
	}
}

func (s *Scheduler) countDecision(decision *Decision) {
	if !decision.Placed() {
		s.stats.Unplaced++
		return
	}
	s.stats.Placed++
	if decision.Backfilled {
		s.stats.Backfilled++
	}
}

func (s *Scheduler) placeTask(cycle *Cycle, task *TaskInfo) Decision {
	decision := Decision{Task: task.Ref.Task, FleetSize: len(s.cache.nodeByID)}
	if earlier := s.cache.placementByTask[task.Ref.Task]; earlier != nil && earlier.task.Ref.Attempt < task.Ref.Attempt {
		s.cache.removePlacement(task.Ref.Task) // the earlier attempt ended without a TaskEnded call: in the ledger, the task is pending again
	}
	for _, p := range s.opts.Profile.PreFilters {
		if status := p.PreFilter(cycle, task); !status.OK() {
			decision.reject(status, decision.FleetSize)
			return decision
		}
	}
	best := s.selectNode(cycle, task, &decision)
	if best == nil {
		s.addIndexRejections(task, &decision)
		return decision
	}
	decision.Backfilled = best.reservation != nil && best.reservation.Task != task.Ref.Task
	nodeCopy := best.info
	decision.Node = &nodeCopy
	s.reserve(cycle, task, best)
	return decision
}

// reserve assumes the task on the worker, releases the task's reservation on it, and notifies the reserve plugins.
func (s *Scheduler) reserve(cycle *Cycle, task *TaskInfo, chosen *node) {
	s.cache.assume(task, chosen, cycle.Now)
	if r := chosen.reservation; r != nil && r.Task == task.Ref.Task {
		s.releaseReservation(r)
	}
	s.health.RecordPlacement(chosen.info.ID, task.Ref.Task, cycle.Now)
	for _, p := range s.opts.Profile.Reserves {
		p.Reserve(cycle, task, chosen)
	}
}

func (s *Scheduler) unreserve(cycle *Cycle, task *TaskInfo) {
	s.cache.removePlacement(task.Ref.Task)
	for _, p := range s.opts.Profile.Reserves {
		p.Unreserve(cycle, task)
	}
}

// selectNode returns the worker that is reserved for the task if this worker passes the filters. Otherwise it returns the worker
// with the highest score in a sample from the buckets in which the task can fit; nil if no sampled worker passes the filters.
// It records the score and the rejections in the decision.
func (s *Scheduler) selectNode(cycle *Cycle, task *TaskInfo, decision *Decision) *node {
	var best *node
	s.cache.index.collectCandidates(task.Need, &s.candidates)
	order := newPermutation(s.candidates.size, s.rng)
	feasibleCount := 0
	if candidate := s.reservedNode(task); candidate != nil && s.filter(cycle, task, candidate).OK() {
		decision.ExaminedCount++
		decision.Score = s.score(cycle, task, candidate)
		return candidate
	}
	for i := 0; i < s.candidates.size && i < s.opts.MaxExamined && feasibleCount < int(s.sampleSize); i++ {
		candidate := s.candidates.nodeAt(order.next())
		decision.ExaminedCount++
		if status := s.filter(cycle, task, candidate); !status.OK() {
			decision.reject(status, 1)
			continue
		}
		feasibleCount++
		best = s.betterNode(cycle, task, candidate, best, decision)
	}
	return best
}

// reservedNode returns the worker that is reserved for the task; nil if none is.
func (s *Scheduler) reservedNode(task *TaskInfo) *node {
	r := s.reservationByTask[task.Ref.Task]
	if r == nil {
		return nil
	}
	return s.cache.nodeByID[r.Node]
}

// betterNode returns the worker with the higher score, candidate or best, and records the score and the runner-up in the
// decision. best may be nil.
func (s *Scheduler) betterNode(cycle *Cycle, task *TaskInfo, candidate, best *node, decision *Decision) *node {
	score := s.score(cycle, task, candidate)
	if best == nil {
		decision.Score = score
		return candidate
	}
	if score > decision.Score {
		decision.addRunnerUp(Candidate{best.info.ID, decision.Score})
		decision.Score = score
		return candidate
	}
	decision.addRunnerUp(Candidate{candidate.info.ID, score})
	return best
}

// addRunnerUp inserts a candidate into RunnersUp, which holds the best maxRunnersUp in descending order of score.
func (d *Decision) addRunnerUp(candidate Candidate) {
	if len(d.RunnersUp) == maxRunnersUp && candidate.Score <= d.RunnersUp[maxRunnersUp-1].Score {
		return
	}
	if d.RunnersUp == nil {
		d.RunnersUp = make([]Candidate, 0, maxRunnersUp)
	}
	if len(d.RunnersUp) < maxRunnersUp {
		d.RunnersUp = append(d.RunnersUp, candidate)
	} else {
		d.RunnersUp[maxRunnersUp-1] = candidate
	}
	for i := len(d.RunnersUp) - 1; i > 0 && d.RunnersUp[i].Score > d.RunnersUp[i-1].Score; i-- {
		d.RunnersUp[i], d.RunnersUp[i-1] = d.RunnersUp[i-1], d.RunnersUp[i]
	}
}

func (s *Scheduler) filter(cycle *Cycle, task *TaskInfo, candidate *node) Status {
	for _, f := range s.opts.Profile.Filters {
		if status := f.Filter(cycle, task, candidate); !status.OK() {
			return status
		}
	}
	return Status{}
}

func (s *Scheduler) score(cycle *Cycle, task *TaskInfo, candidate *node) float64 {
	weightedSum := 0.0
	for _, p := range s.opts.Profile.Scores {
		weightedSum += p.Weight * p.Plugin.Score(cycle, task, candidate)
	}
	return weightedSum
}

// addIndexRejections adds the workers that were excluded by the index to the rejections of an unplaced task: quarantined workers,
// workers that are too small, and workers without enough free resources. The number of workers that are too small is estimated
// from a bounded sample.
func (s *Scheduler) addIndexRejections(task *TaskInfo, decision *Decision) {
	quarantinedCount := s.health.QuarantinedCount()
	if quarantinedCount > 0 {
		decision.reject(Status{Code: Unschedulable, Plugin: healthName, Reason: "quarantined"}, quarantinedCount)
	}
	decision.ExaminedCount += quarantinedCount
	excludedCount := max(0, decision.FleetSize-s.candidates.size-quarantinedCount)
	if excludedCount == 0 {
		return
	}
	tooSmallSampled := 0
	visitedCount := s.cache.visitSample(s.opts.MaxExamined, s.rng, func(sampled *node) {
		if !task.Need.Fits(sampled.info.Capacity) {
			tooSmallSampled++
		}
	})
	tooSmallExcluded := min(excludedCount, excludedCount*tooSmallSampled/max(1, visitedCount))
	if tooSmallExcluded > 0 {
		decision.reject(Status{Code: Unresolvable, Plugin: fitName, Reason: "worker too small"}, tooSmallExcluded)
	}
	if excludedCount > tooSmallExcluded {
		decision.reject(Status{Code: Unschedulable, Plugin: fitName, Reason: "no room now"}, excludedCount-tooSmallExcluded)
	}
	decision.ExaminedCount += excludedCount
}
