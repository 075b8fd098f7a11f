package scheduler

import (
	"time"

	"bamboofork/internal/invariant"
	"bamboofork/internal/worker"
)

// Reservation keeps room on a worker for a task that found none, from the time when the room is expected to be free.
type Reservation struct {
	Task      string // that it is for
	Priority  int
	Node      string
	Need      worker.Resources
	At        time.Time
	FreeThen  worker.Resources // projected free room at At
	Expires   time.Time
	Preempted bool            // the room is freed by checkpoints
	placed    map[string]bool // tasks that were on the worker's assumption list when the reservation was made
}

// Bounds of reservations. Each blocks room for some time, so only the tasks that go first get one.
const (
	maxReservations  = 16
	reservationGrace = 5 * time.Minute // kept for this long after its start time
)

// taken is the room of tasks that were assumed on the worker after the reservation and are not in the projection.
func (r *Reservation) taken(c *cache, n *node) worker.Resources {
	sum := worker.Resources{}
	for name := range n.assumed {
		if p := c.placed[name]; p != nil && !r.placed[name] && p.expectedEnd().After(r.At) {
			sum = sum.Add(p.task.Need)
		}
	}
	return sum
}

func (p *placed) expectedEnd() time.Time {
	return p.expires.Add(-assumeTTL).Add(p.task.Run)
}

// reserveRoom looks for the worker where the task fits first, by the agents' projections, and reserves it. Only a bounded
// sample of workers is looked at. ok is false if no projection has room or too many reservations are held.
func (s *Scheduler) reserveRoom(task *TaskInfo) (Reservation, bool) {
	if r := s.reservations[task.Ref.Task]; r != nil {
		return *r, true
	}
	if len(s.reservations) >= maxReservations || !s.cycleAllows(task) {
		return Reservation{}, false
	}
	n, horizon := s.earliest(task)
	if n == nil {
		return Reservation{}, false
	}
	now := s.opts.Now()
	at := now.Add(Horizons[horizon])
	r := &Reservation{
		Task: task.Ref.Task, Priority: task.Priority, Node: n.info.ID, Need: task.Need, At: at,
		FreeThen: n.info.FreeAt[horizon], Expires: at.Add(reservationGrace), placed: map[string]bool{},
	}
	for name := range n.assumed {
		r.placed[name] = true
	}
	n.reserved = r
	s.reservations[task.Ref.Task] = r
	s.stats.Reserved++
	invariant.Check(r.Need.Fits(n.info.Capacity), "reservation_within_capacity", "task %s reserves %+v of %+v", r.Task, r.Need, n.info.Capacity)
	return *r, true
}

// cycleAllows reports whether only room keeps the task from running.
func (s *Scheduler) cycleAllows(task *TaskInfo) bool {
	c := s.cycle()
	for _, p := range s.opts.Profile.PreFilters {
		if !p.PreFilter(c, task).OK() {
			return false
		}
	}
	return true
}

func (s *Scheduler) earliest(task *TaskInfo) (*node, int) {
	var best *node
	horizon := len(Horizons)
	now := s.opts.Now()
	s.cache.sample(s.opts.MaxLook, s.rnd, func(n *node) {
		if n.reserved != nil || now.Before(task.Avoid[n.info.ID]) || s.health.State(n.info.ID) != HealthGood {
			return
		}
		if h := firstFit(task.Need, n); h < horizon || h == horizon && best != nil && n.info.ID < best.info.ID {
			best, horizon = n, h
		}
	})
	return best, horizon
}

func firstFit(need worker.Resources, n *node) int {
	for h := range Horizons {
		if need.Fits(n.info.FreeAt[h]) {
			return h
		}
	}
	return len(Horizons)
}

func (s *Scheduler) release(r *Reservation) {
	if n := s.cache.nodes[r.Node]; n != nil && n.reserved == r {
		n.reserved = nil
		s.cache.freed = true
	}
	delete(s.reservations, r.Task)
}

// ReleaseRoom drops the reservation for a task, for example after a preemption that brought no room.
func (s *Scheduler) ReleaseRoom(task string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseFor(task)
}

func (s *Scheduler) releaseFor(task string) {
	if r := s.reservations[task]; r != nil {
		s.release(r)
	}
}

func (s *Scheduler) expireReservations(now time.Time) {
	for _, r := range s.reservations {
		if now.After(r.Expires) || s.cache.nodes[r.Node] == nil {
			s.release(r)
		}
	}
}
