package scheduler

import (
	"time"

	"bamboofork/internal/worker"
)

// preemptReservationTTL is the time for which the resources of preempted tasks stay reserved for the preempting task.
const preemptReservationTTL = 20 * time.Second

// minPreemptionPriorityGap is the minimum priority difference for preemption, so that tasks of similar priority do not evict each other.
const minPreemptionPriorityGap = 20

// reserveByPreemption selects the worker on which an urgent task lacks the fewest cores, and reserves the worker. The caller must
// checkpoint and evict lower-priority work there. The function is called only for a task that could not be placed. It returns
// false if the task is not urgent, already has such a reservation or is rejected by a pre-filter, or if no sampled worker has
// enough lower-priority work.
func (s *Scheduler) reserveByPreemption(task *TaskInfo) (NodeInfo, bool) {
	if !task.Urgent() || !s.passesPreFilters(task) {
		return NodeInfo{}, false
	}
	if reservation := s.reservationByTask[task.Ref.Task]; reservation != nil && reservation.ForPreemption {
		return NodeInfo{}, false // resources are already being freed; a second eviction would be wasted
	}
	var best *node
	fewestMissingCores := 0.0
	s.cache.visitSample(s.opts.MaxExamined, s.rng, func(candidate *node) {
		if !s.canPreemptOn(task, candidate) {
			return
		}
		if missingCores := task.Need.Cores - candidate.free.Cores; best == nil || missingCores < fewestMissingCores ||
			missingCores == fewestMissingCores && candidate.info.ID < best.info.ID {
			best, fewestMissingCores = candidate, missingCores
		}
	})
	if best == nil {
		return NodeInfo{}, false
	}
	s.reserveForPreemption(task, best)
	s.stats.Preempted++
	return best.info, true
}

func (s *Scheduler) canPreemptOn(task *TaskInfo, candidate *node) bool {
	if candidate.reservation != nil && candidate.reservation.Task != task.Ref.Task && candidate.reservation.Priority >= task.Priority {
		return false
	}
	if s.opts.Now().Before(task.AvoidUntil[candidate.info.ID]) || s.health.State(candidate.info.ID) != HealthHealthy {
		return false
	}
	return task.Need.Fits(candidate.free.Add(preemptibleUse(candidate.info.UsageByPriority, task.Priority)))
}

// preemptibleUse sums the resources in use by work that a task of the given priority may preempt.
func preemptibleUse(usageByPriority map[int]worker.Resources, priority int) worker.Resources {
	sum := worker.Resources{}
	for usePriority, r := range usageByPriority {
		if Preempts(priority, usePriority) {
			sum = sum.Add(r)
		}
	}
	return sum
}

// Preempts reports whether work of the given priority may preempt (checkpoint and evict) work of the other priority.
func Preempts(priority, other int) bool {
	return priority >= UrgentPriority && other+minPreemptionPriorityGap <= priority
}

// reserveForPreemption reserves a worker for an urgent task. Earlier reservations on the worker and for the task are released.
func (s *Scheduler) reserveForPreemption(task *TaskInfo, chosen *node) {
	if chosen.reservation != nil {
		s.releaseReservation(chosen.reservation)
	}
	s.releaseReservationFor(task.Ref.Task)
	now := s.opts.Now()
	reservation := &Reservation{ForPreemption: true, Task: task.Ref.Task, Priority: task.Priority, Node: chosen.info.ID,
		Need: task.Need, StartsAt: now,
		ExpiresAt: now.Add(preemptReservationTTL), assumedEarlier: map[string]bool{}}
	chosen.reservation = reservation
	s.reservationByTask[task.Ref.Task] = reservation
}
