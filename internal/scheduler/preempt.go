package scheduler

import (
	"time"

	"bamboofork/internal/worker"
)

// preemptReservationTTL is how long the resources of preempted tasks stay reserved for the preempting task.
const preemptReservationTTL = 20 * time.Second

// minPriorityGap is the minimum priority difference for preemption, so that tasks of similar priority do not evict each other.
const minPriorityGap = 20

// preempt selects the worker on which the fewest cores of lower-priority work must be checkpointed for an urgent task, and
// reserves it. It is called only for a task for which no worker was found. It returns false if no sampled worker has enough
// lower-priority work.
func (s *Scheduler) preempt(task *TaskInfo) (NodeInfo, bool) {
	if !task.Urgent() || !s.passesPreFilters(task) {
		return NodeInfo{}, false
	}
	if r := s.reservations[task.Ref.Task]; r != nil && r.Preempted {
		return NodeInfo{}, false // resources are already being freed; a second eviction would be wasted
	}
	var best *node
	lowestCost := 0.0
	s.cache.sample(s.opts.MaxExamined, s.rng, func(n *node) {
		if !s.preemptable(task, n) {
			return
		}
		if missing := task.Need.Cores - n.free.Cores; best == nil || missing < lowestCost || missing == lowestCost && n.info.ID < best.info.ID {
			best, lowestCost = n, missing
		}
	})
	if best == nil {
		return NodeInfo{}, false
	}
	s.reserveForPreemption(task, best)
	s.stats.Preempted++
	return best.info, true
}

func (s *Scheduler) preemptable(task *TaskInfo, n *node) bool {
	if n.reservation != nil && n.reservation.Task != task.Ref.Task && n.reservation.Priority >= task.Priority {
		return false
	}
	if s.opts.Now().Before(task.AvoidUntil[n.info.ID]) || s.health.State(n.info.ID) != HealthHealthy {
		return false
	}
	return task.Need.Fits(n.free.Add(preemptibleUse(n.info.UsageByPriority, task.Priority)))
}

// preemptibleUse sums the resources in use by work that the priority may preempt.
func preemptibleUse(use map[int]worker.Resources, priority int) worker.Resources {
	sum := worker.Resources{}
	for p, r := range use {
		if Preempts(priority, p) {
			sum = sum.Add(r)
		}
	}
	return sum
}

// Preempts reports whether work of the first priority may preempt (checkpoint and evict) work of the other.
func Preempts(priority, other int) bool {
	return priority >= UrgentPriority && other+minPriorityGap <= priority
}

func (s *Scheduler) reserveForPreemption(task *TaskInfo, n *node) {
	if n.reservation != nil {
		s.releaseReservation(n.reservation)
	}
	s.releaseReservationFor(task.Ref.Task)
	now := s.opts.Now()
	r := &Reservation{Preempted: true, Task: task.Ref.Task, Priority: task.Priority, Node: n.info.ID, Need: task.Need, StartsAt: now,
		Expires: now.Add(preemptReservationTTL), assumedBefore: map[string]bool{}}
	n.reservation = r
	s.reservations[task.Ref.Task] = r
}
