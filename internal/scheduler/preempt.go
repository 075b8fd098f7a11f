package scheduler

import (
	"time"

	"bamboofork/internal/worker"
)

// preemptReserve is how long the room of preempted tasks is kept for the task that needs it.
const preemptReserve = 20 * time.Second

// minPriorityGap is how much lower the priority of preempted work must be, so that near equals do not evict each other.
const minPriorityGap = 20

// preempt picks the worker on which the fewest cores of lower priority work must be checkpointed to make room for an
// urgent task that found none, and reserves it. It is the last resort: it is called only for a task that found no worker. ok is false if no
// worker of the sample has enough work of lower priority.
func (s *Scheduler) preempt(task *TaskInfo) (NodeInfo, bool) {
	if !task.Urgent() || !s.cycleAllows(task) {
		return NodeInfo{}, false
	}
	if r := s.reservations[task.Ref.Task]; r != nil && r.Preempted {
		return NodeInfo{}, false // the room is on its way; a second eviction would be wasted
	}
	var best *node
	cost := 0.0
	s.cache.sample(s.opts.MaxLook, s.rnd, func(n *node) {
		if !s.preemptable(task, n) {
			return
		}
		if need := task.Need.Cores - n.free.Cores; best == nil || need < cost || need == cost && n.info.ID < best.info.ID {
			best, cost = n, need
		}
	})
	if best == nil {
		return NodeInfo{}, false
	}
	s.hold(task, best)
	s.stats.Preempted++
	return best.info, true
}

func (s *Scheduler) preemptable(task *TaskInfo, n *node) bool {
	if n.reserved != nil && n.reserved.Task != task.Ref.Task && n.reserved.Priority >= task.Priority {
		return false
	}
	if s.opts.Now().Before(task.Avoid[n.info.ID]) || s.health.State(n.info.ID) != HealthGood {
		return false
	}
	return task.Need.Fits(n.free.Add(lowerPriority(n.info.Preemptible, task.Priority)))
}

// lowerPriority is the room in use by work that the priority may preempt.
func lowerPriority(use map[int]worker.Resources, priority int) worker.Resources {
	sum := worker.Resources{}
	for p, r := range use {
		if Preempts(priority, p) {
			sum = sum.Add(r)
		}
	}
	return sum
}

// Preempts reports whether work of one priority may have work of the other checkpointed.
func Preempts(priority, other int) bool {
	return priority >= UrgentPriority && other+minPriorityGap <= priority
}

func (s *Scheduler) hold(task *TaskInfo, n *node) {
	if n.reserved != nil {
		s.release(n.reserved)
	}
	s.releaseFor(task.Ref.Task)
	now := s.opts.Now()
	r := &Reservation{Preempted: true, Task: task.Ref.Task, Priority: task.Priority, Node: n.info.ID, Need: task.Need, At: now, Expires: now.Add(preemptReserve), placed: map[string]bool{}}
	n.reserved = r
	s.reservations[task.Ref.Task] = r
}
