package scheduler

import (
	"bamboofork/internal/invariant"
)

// Place selects a worker for one task and assumes the task on it.
func (s *Scheduler) Place(task *TaskInfo) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.place(s.cycle(), task)
	s.countDecision(&d)
	return d
}

// PlaceGang places all tasks or none: either every Decision is placed, or none is and no assumption remains.
func (s *Scheduler) PlaceGang(tasks []*TaskInfo) []Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placeGang(tasks)
}

func (s *Scheduler) placeGang(tasks []*TaskInfo) []Decision {
	c := s.cycle()
	out := make([]Decision, 0, len(tasks))
	for _, t := range tasks {
		d := s.place(c, t)
		out = append(out, d)
		if !d.Placed() {
			s.rollback(c, tasks, out)
			break
		}
	}
	for i := range out {
		s.countDecision(&out[i])
	}
	return out
}

// rollback reverts the placed tasks of a gang after its last decision failed.
func (s *Scheduler) rollback(c *Cycle, tasks []*TaskInfo, out []Decision) {
	failed := &out[len(out)-1]
	for i := range out {
		if !out[i].Placed() {
			continue
		}
		s.unreserve(c, tasks[i])
		out[i].Node = nil
		out[i].Note = "the gang needs all its tasks; " + failed.Task + " found no worker"
	}
	for _, t := range tasks {
		invariant.Check(s.cache.placements[t.Ref.Task] == nil, "gang_all_or_none",
			"task %s is still placed after the rollback of its gang", t.Ref.Task)
	}
}

func (s *Scheduler) countDecision(d *Decision) {
	if !d.Placed() {
		s.stats.Unplaced++
		return
	}
	s.stats.Placed++
	if d.Backfilled {
		s.stats.Backfilled++
	}
}

func (s *Scheduler) place(c *Cycle, task *TaskInfo) Decision {
	d := Decision{Task: task.Ref.Task, Fleet: len(s.cache.nodes)}
	if old := s.cache.placements[task.Ref.Task]; old != nil && old.task.Ref.Attempt < task.Ref.Attempt {
		s.cache.removePlacement(task.Ref.Task) // the end of the earlier attempt was not reported yet; the ledger has the task pending again
	}
	for _, p := range s.opts.Profile.PreFilters {
		if st := p.PreFilter(c, task); !st.OK() {
			d.reject(st, d.Fleet)
			return d
		}
	}
	best := s.selectNode(c, task, &d)
	if best == nil {
		s.addIndexRejections(task, &d)
		return d
	}
	d.Backfilled = best.reservation != nil && best.reservation.Task != task.Ref.Task
	info := best.info
	d.Node = &info
	s.reserve(c, task, best)
	return d
}

func (s *Scheduler) reserve(c *Cycle, task *TaskInfo, n *node) {
	s.cache.assume(task, n, c.Now)
	if r := n.reservation; r != nil && r.Task == task.Ref.Task {
		s.releaseReservation(r)
	}
	s.health.RecordPlacement(n.info.ID, task.Ref.Task, c.Now)
	for _, p := range s.opts.Profile.Reserves {
		p.Reserve(c, task, n)
	}
}

func (s *Scheduler) unreserve(c *Cycle, task *TaskInfo) {
	s.cache.removePlacement(task.Ref.Task)
	for _, p := range s.opts.Profile.Reserves {
		p.Unreserve(c, task)
	}
}

// selectNode samples workers from the buckets in which the task can fit and returns the best; nil if none passes the filters.
func (s *Scheduler) selectNode(c *Cycle, task *TaskInfo, d *Decision) *node {
	var best *node
	s.cache.index.collectCandidates(task.Need, &s.candidates)
	order := newPermutation(s.candidates.total, s.rng)
	feasible := 0
	if n := s.reservedNode(task); n != nil && s.filter(c, task, n).OK() {
		d.Examined++
		d.Score = s.score(c, task, n)
		return n
	}
	for i := 0; i < s.candidates.total && i < s.opts.MaxExamined && feasible < int(s.sampleSize); i++ {
		n := s.candidates.at(order.next())
		d.Examined++
		if st := s.filter(c, task, n); !st.OK() {
			d.reject(st, 1)
			continue
		}
		feasible++
		best = s.betterNode(c, task, n, best, d)
	}
	return best
}

// reservedNode returns the worker that is reserved for the task; nil if none is.
func (s *Scheduler) reservedNode(task *TaskInfo) *node {
	r := s.reservations[task.Ref.Task]
	if r == nil {
		return nil
	}
	return s.cache.nodes[r.Node]
}

func (s *Scheduler) betterNode(c *Cycle, task *TaskInfo, n, best *node, d *Decision) *node {
	score := s.score(c, task, n)
	if best == nil {
		d.Score = score
		return n
	}
	if score > d.Score {
		d.addRunnerUp(Candidate{best.info.ID, d.Score})
		d.Score = score
		return n
	}
	d.addRunnerUp(Candidate{n.info.ID, score})
	return best
}

// addRunnerUp inserts a candidate into RunnersUp, which holds the best maxCandidates in descending order of score.
func (d *Decision) addRunnerUp(c Candidate) {
	if len(d.RunnersUp) == maxCandidates && c.Score <= d.RunnersUp[maxCandidates-1].Score {
		return
	}
	if d.RunnersUp == nil {
		d.RunnersUp = make([]Candidate, 0, maxCandidates)
	}
	if len(d.RunnersUp) < maxCandidates {
		d.RunnersUp = append(d.RunnersUp, c)
	} else {
		d.RunnersUp[maxCandidates-1] = c
	}
	for i := len(d.RunnersUp) - 1; i > 0 && d.RunnersUp[i].Score > d.RunnersUp[i-1].Score; i-- {
		d.RunnersUp[i], d.RunnersUp[i-1] = d.RunnersUp[i-1], d.RunnersUp[i]
	}
}

func (s *Scheduler) filter(c *Cycle, task *TaskInfo, n *node) Status {
	for _, f := range s.opts.Profile.Filters {
		if st := f.Filter(c, task, n); !st.OK() {
			return st
		}
	}
	return Status{}
}

func (s *Scheduler) score(c *Cycle, task *TaskInfo, n *node) float64 {
	total := 0.0
	for _, p := range s.opts.Profile.Scores {
		total += p.Weight * p.Plugin.Score(c, task, n)
	}
	return total
}

// addIndexRejections adds the workers that the index excluded to the rejections of an unplaced task. The fraction of workers
// that are too small is estimated from a bounded sample.
func (s *Scheduler) addIndexRejections(task *TaskInfo, d *Decision) {
	quarantined := s.health.Quarantined()
	if quarantined > 0 {
		d.reject(Status{Code: Unschedulable, Plugin: healthName, Reason: "quarantined"}, quarantined)
	}
	d.Examined += quarantined
	excluded := max(0, d.Fleet-s.candidates.total-quarantined)
	if excluded == 0 {
		return
	}
	tooSmallSampled := 0
	visited := s.cache.sample(s.opts.MaxExamined, s.rng, func(n *node) {
		if !task.Need.Fits(n.info.Capacity) {
			tooSmallSampled++
		}
	})
	tooSmallExcluded := min(excluded, excluded*tooSmallSampled/max(1, visited))
	if tooSmallExcluded > 0 {
		d.reject(Status{Code: Unresolvable, Plugin: fitName, Reason: "worker too small"}, tooSmallExcluded)
	}
	if excluded > tooSmallExcluded {
		d.reject(Status{Code: Unschedulable, Plugin: fitName, Reason: "no room now"}, excluded-tooSmallExcluded)
	}
	d.Examined += excluded
}
