package scheduler

import (
	"time"

	"bamboofork/internal/invariant"
	"bamboofork/internal/worker"
)

// Reservation reserves resources on a worker for a task that could not be placed. The reservation starts when the resources are
// expected to be free.
type Reservation struct {
	Task           string // task that the reservation is for
	Priority       int
	Node           string           // ID of the reserved worker
	Need           worker.Resources // resources that the task needs
	StartsAt       time.Time
	ProjectedFree  worker.Resources // projected free resources of the worker at StartsAt
	ExpiresAt      time.Time        // time at which the reservation is released if the task was not placed
	ForPreemption  bool             // preempted tasks free the resources
	assumedEarlier map[string]bool  // names of the tasks that were assumed on the worker when the reservation was made
}

// Limits of reservations. Each reservation blocks resources for some time, so only the first tasks in queue order get one.
const (
	maxReservations        = 16              // reservations held at the same time
	reservationGracePeriod = 5 * time.Minute // time after StartsAt until the reservation expires
)

// unprojectedUse sums the resources that ProjectedFree does not account for: those of tasks that were assumed after the
// reservation was made and that are expected to end after StartsAt.
func (r *Reservation) unprojectedUse(c *cache, reservedNode *node) worker.Resources {
	usage := worker.Resources{}
	for name := range reservedNode.assumedTasks {
		if placed := c.placementByTask[name]; placed != nil && !r.assumedEarlier[name] && placed.expectedEnd().After(r.StartsAt) {
			usage = usage.Add(placed.task.Need)
		}
	}
	return usage
}

// expectedEnd returns the time of placement plus the expected run time.
func (p *placement) expectedEnd() time.Time {
	return p.assumptionExpiresAt.Add(-assumeTTL).Add(p.task.ExpectedRunTime)
}

// reserveResources reserves the worker on which the task fits earliest according to the agents' projections, out of a bounded
// sample of workers. It returns the reservation; a task that has one keeps it. It returns false if a pre-filter rejects the
// task, if the task fits in no projection, or if maxReservations are held.
func (s *Scheduler) reserveResources(task *TaskInfo) (Reservation, bool) {
	if reservation := s.reservationByTask[task.Ref.Task]; reservation != nil {
		return *reservation, true
	}
	if len(s.reservationByTask) >= maxReservations || !s.passesPreFilters(task) {
		return Reservation{}, false
	}
	reservedNode, horizonIndex := s.earliestFit(task)
	if reservedNode == nil {
		return Reservation{}, false
	}
	now := s.opts.Now()
	startsAt := now.Add(ProjectionHorizons[horizonIndex])
	reservation := &Reservation{
		Task: task.Ref.Task, Priority: task.Priority, Node: reservedNode.info.ID, Need: task.Need, StartsAt: startsAt,
		ProjectedFree: reservedNode.info.ProjectedFree[horizonIndex], ExpiresAt: startsAt.Add(reservationGracePeriod),
		assumedEarlier: map[string]bool{},
	}
	for name := range reservedNode.assumedTasks {
		reservation.assumedEarlier[name] = true
	}
	reservedNode.reservation = reservation
	s.reservationByTask[task.Ref.Task] = reservation
	s.stats.Reserved++
	invariant.Check(reservation.Need.Fits(reservedNode.info.Capacity), "reservation_within_capacity",
		"task %s reserves %+v of %+v", reservation.Task, reservation.Need, reservedNode.info.Capacity)
	return *reservation, true
}

// passesPreFilters reports whether all pre-filters accept the task. Freed resources cannot help a task that they reject.
func (s *Scheduler) passesPreFilters(task *TaskInfo) bool {
	cycle := s.newCycle()
	for _, p := range s.opts.Profile.PreFilters {
		if !p.PreFilter(cycle, task).OK() {
			return false
		}
	}
	return true
}

// earliestFit returns the worker on which the task fits earliest out of a bounded sample, and the index of the horizon in
// ProjectionHorizons at which the task fits. The worker is nil if the task fits on none.
func (s *Scheduler) earliestFit(task *TaskInfo) (*node, int) {
	var earliest *node
	earliestHorizon := len(ProjectionHorizons)
	now := s.opts.Now()
	s.cache.visitSample(s.opts.MaxExamined, s.rng, func(candidate *node) {
		if candidate.reservation != nil || now.Before(task.AvoidUntil[candidate.info.ID]) || s.health.State(candidate.info.ID) != HealthHealthy {
			return
		}
		if candidateHorizon := firstFittingHorizon(task.Need, candidate); candidateHorizon < earliestHorizon ||
			candidateHorizon == earliestHorizon && earliest != nil && candidate.info.ID < earliest.info.ID {
			earliest, earliestHorizon = candidate, candidateHorizon
		}
	})
	return earliest, earliestHorizon
}

// firstFittingHorizon returns the index in ProjectionHorizons of the first projection in which need fits, or the number of
// horizons if need fits in none.
func firstFittingHorizon(need worker.Resources, candidate *node) int {
	for horizonIndex := range ProjectionHorizons {
		if need.Fits(candidate.info.ProjectedFree[horizonIndex]) {
			return horizonIndex
		}
	}
	return len(ProjectionHorizons)
}

func (s *Scheduler) releaseReservation(reservation *Reservation) {
	if cached := s.cache.nodeByID[reservation.Node]; cached != nil && cached.reservation == reservation {
		cached.reservation = nil
		s.cache.resourcesFreed = true
	}
	delete(s.reservationByTask, reservation.Task)
}

// ReleaseReservation removes the reservation of a task, for example after a preemption that freed no resources.
func (s *Scheduler) ReleaseReservation(task string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseReservationFor(task)
}

func (s *Scheduler) releaseReservationFor(task string) {
	if r := s.reservationByTask[task]; r != nil {
		s.releaseReservation(r)
	}
}

func (s *Scheduler) expireReservations(now time.Time) {
	for _, r := range s.reservationByTask {
		if now.After(r.ExpiresAt) || s.cache.nodeByID[r.Node] == nil {
			s.releaseReservation(r)
		}
	}
}
