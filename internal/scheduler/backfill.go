package scheduler

import (
	"time"

	"bamboofork/internal/invariant"
	"bamboofork/internal/worker"
)

// Reservation reserves resources on a worker for a task that could not be placed, from the time they are expected to be free.
type Reservation struct {
	Task          string // task that the reservation is for
	Priority      int
	Node          string
	Need          worker.Resources
	StartsAt      time.Time
	ProjectedFree worker.Resources // projected free resources at StartsAt
	Expires       time.Time
	Preempted     bool            // the resources are freed by preemption
	assumedBefore map[string]bool // tasks that were assumed on the worker when the reservation was made
}

// Limits of reservations. Each blocks resources for some time, so only the first tasks in queue order get one.
const (
	maxReservations  = 16
	reservationGrace = 5 * time.Minute // time after StartsAt until the reservation expires
)

// unprojectedUse sums the resources of tasks that were assumed after the reservation was made and that end after its start.
func (r *Reservation) unprojectedUse(c *cache, n *node) worker.Resources {
	sum := worker.Resources{}
	for name := range n.assumed {
		if p := c.placements[name]; p != nil && !r.assumedBefore[name] && p.expectedEnd().After(r.StartsAt) {
			sum = sum.Add(p.task.Need)
		}
	}
	return sum
}

func (p *placement) expectedEnd() time.Time {
	return p.expires.Add(-assumeTTL).Add(p.task.ExpectedRunTime)
}

// reserveResources reserves the worker on which the task fits earliest according to the agents' projections. It examines
// a bounded sample of workers. It returns false if the task fits in no projection or maxReservations are held.
func (s *Scheduler) reserveResources(task *TaskInfo) (Reservation, bool) {
	if r := s.reservations[task.Ref.Task]; r != nil {
		return *r, true
	}
	if len(s.reservations) >= maxReservations || !s.passesPreFilters(task) {
		return Reservation{}, false
	}
	n, horizon := s.earliestFit(task)
	if n == nil {
		return Reservation{}, false
	}
	now := s.opts.Now()
	startsAt := now.Add(ProjectionHorizons[horizon])
	r := &Reservation{
		Task: task.Ref.Task, Priority: task.Priority, Node: n.info.ID, Need: task.Need, StartsAt: startsAt,
		ProjectedFree: n.info.ProjectedFree[horizon], Expires: startsAt.Add(reservationGrace), assumedBefore: map[string]bool{},
	}
	for name := range n.assumed {
		r.assumedBefore[name] = true
	}
	n.reservation = r
	s.reservations[task.Ref.Task] = r
	s.stats.Reserved++
	invariant.Check(r.Need.Fits(n.info.Capacity), "reservation_within_capacity", "task %s reserves %+v of %+v", r.Task, r.Need, n.info.Capacity)
	return *r, true
}

// passesPreFilters reports whether all pre-filters accept the task, so that only free resources are missing.
func (s *Scheduler) passesPreFilters(task *TaskInfo) bool {
	c := s.cycle()
	for _, p := range s.opts.Profile.PreFilters {
		if !p.PreFilter(c, task).OK() {
			return false
		}
	}
	return true
}

func (s *Scheduler) earliestFit(task *TaskInfo) (*node, int) {
	var best *node
	horizon := len(ProjectionHorizons)
	now := s.opts.Now()
	s.cache.sample(s.opts.MaxExamined, s.rng, func(n *node) {
		if n.reservation != nil || now.Before(task.AvoidUntil[n.info.ID]) || s.health.State(n.info.ID) != HealthHealthy {
			return
		}
		if h := firstFittingHorizon(task.Need, n); h < horizon || h == horizon && best != nil && n.info.ID < best.info.ID {
			best, horizon = n, h
		}
	})
	return best, horizon
}

func firstFittingHorizon(need worker.Resources, n *node) int {
	for h := range ProjectionHorizons {
		if need.Fits(n.info.ProjectedFree[h]) {
			return h
		}
	}
	return len(ProjectionHorizons)
}

func (s *Scheduler) releaseReservation(r *Reservation) {
	if n := s.cache.nodes[r.Node]; n != nil && n.reservation == r {
		n.reservation = nil
		s.cache.resourcesFreed = true
	}
	delete(s.reservations, r.Task)
}

// ReleaseReservation removes the reservation of a task, for example after a preemption that freed no resources.
func (s *Scheduler) ReleaseReservation(task string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseReservationFor(task)
}

func (s *Scheduler) releaseReservationFor(task string) {
	if r := s.reservations[task]; r != nil {
		s.releaseReservation(r)
	}
}

func (s *Scheduler) expireReservations(now time.Time) {
	for _, r := range s.reservations {
		if now.After(r.Expires) || s.cache.nodes[r.Node] == nil {
			s.releaseReservation(r)
		}
	}
}
