package scheduler

import (
	"container/heap"
	"sort"
	"time"
)

// Unit is a set of tasks that are placed together: a single task, or the pending tasks of a gang.
type Unit struct {
	Key   string // task name, or job ID of a gang
	Tasks []*TaskInfo
	Gang  bool

	attempts     int
	backoffUntil time.Time
	parkedAt     time.Time // last time it became unschedulable
	queuedAt     time.Time
	rejectedBy   string // plugin of the first rejection in the last decision
	state        queueState
	heapIndex    int   // position in teamHeap or backoffHeap
	syncPass     int64 // last SyncPending that included the unit
}

// Lead returns the task whose team, priority and deadline determine the position of the unit in the queue.
func (u *Unit) Lead() *TaskInfo { return u.Tasks[0] }

// queueState is the part of the queue that holds a unit.
type queueState uint8

const (
	stateActive queueState = iota
	stateBackoff
	stateUnschedulable // parked until the fleet changes
	stateInFlight      // removed from the queue for a decision
)

// Timing of the queue.
const (
	backoffBase        = 250 * time.Millisecond
	backoffMax         = 10 * time.Second
	maxUrgentBackoff   = 500 * time.Millisecond // urgent work must start within 4 s
	unschedulableRetry = 30 * time.Second       // unschedulable units are retried after this time without a change of the fleet
	maxActivations     = 64                     // unschedulable units activated per cycle
)

// queue holds the pending units: active units ordered by team, units in backoff ordered by time, and unschedulable units
// that wait for a change of the fleet. It is guarded by Scheduler.mu.
type queue struct {
	units              map[string]*Unit
	teams              map[string]*teamHeap
	backoff            backoffHeap
	unschedulable      []parkedUnit // in the order in which they were parked; stale entries are skipped
	unschedulableCount int          // unschedulable units without stale entries
	syncPass           int64
}

// parkedUnit is an entry of queue.unschedulable. It is stale once the unit was removed or parked again.
type parkedUnit struct {
	unit     *Unit
	parkedAt time.Time
}

func (p parkedUnit) stale() bool {
	return p.unit.state != stateUnschedulable || !p.unit.parkedAt.Equal(p.parkedAt)
}

func newQueue() *queue { return &queue{units: map[string]*Unit{}, teams: map[string]*teamHeap{}} }

func (q *queue) activate(u *Unit) {
	u.state = stateActive
	h := q.teams[u.Lead().Team]
	if h == nil {
		h = &teamHeap{}
		q.teams[u.Lead().Team] = h
	}
	heap.Push(h, u)
}

func (q *queue) backOff(u *Unit, now time.Time) {
	delay := min(backoffBase<<min(u.attempts, 10), backoffMax)
	if u.Lead().Urgent() {
		delay = min(delay, maxUrgentBackoff)
	}
	u.attempts++
	u.state, u.backoffUntil = stateBackoff, now.Add(delay)
	heap.Push(&q.backoff, u)
}

func (q *queue) park(u *Unit, plugin string, now time.Time) {
	if u.Lead().Urgent() {
		q.backOff(u, now)
		return
	}
	u.state, u.parkedAt, u.rejectedBy = stateUnschedulable, now, plugin
	q.unschedulable = append(q.unschedulable, parkedUnit{u, now})
	q.unschedulableCount++
}

// remove takes a unit out of its part of the queue.
func (q *queue) remove(u *Unit) {
	switch u.state {
	case stateActive:
		h := q.teams[u.Lead().Team]
		heap.Remove(h, u.heapIndex)
		if len(*h) == 0 {
			delete(q.teams, u.Lead().Team)
		}
	case stateBackoff:
		heap.Remove(&q.backoff, u.heapIndex)
	case stateUnschedulable:
		q.unschedulableCount--
	}
	u.state = stateInFlight
}

// activateReady activates units whose backoff ended and, after a change of the fleet or unschedulableRetry, unschedulable units.
func (q *queue) activateReady(now time.Time, changed bool) {
	for len(q.backoff) > 0 && !q.backoff[0].backoffUntil.After(now) {
		u := heap.Pop(&q.backoff).(*Unit)
		q.activate(u)
	}
	activated := 0
	for len(q.unschedulable) > 0 && activated < maxActivations {
		head := q.unschedulable[0]
		if !head.stale() && !changed && now.Sub(head.parkedAt) < unschedulableRetry {
			return
		}
		q.unschedulable[0] = parkedUnit{}
		q.unschedulable = q.unschedulable[1:]
		if head.stale() {
			continue
		}
		q.unschedulableCount--
		q.activate(head.unit)
		activated++
	}
}

// QueueDepth is the number of units in each part of the queue.
type QueueDepth struct{ Active, Backoff, Unschedulable int }

func (q *queue) depth() QueueDepth {
	d := QueueDepth{Backoff: len(q.backoff), Unschedulable: q.unschedulableCount}
	for _, h := range q.teams {
		d.Active += len(*h)
	}
	return d
}

// teamHeap orders the units of one team by descending priority, then by ascending latestStart, then by submission time.
type teamHeap []*Unit

func (h teamHeap) Len() int { return len(h) }

func (h teamHeap) Less(i, j int) bool { return precedes(h[i].Lead(), h[j].Lead()) }

func precedes(a, b *TaskInfo) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	sa, sb := latestStart(a), latestStart(b)
	if !sa.Equal(sb) {
		return sa.Before(sb)
	}
	if !a.Submitted.Equal(b.Submitted) {
		return a.Submitted.Before(b.Submitted)
	}
	return a.Ref.Task < b.Ref.Task
}

func (h teamHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *teamHeap) Push(x any) {
	u := x.(*Unit)
	u.heapIndex = len(*h)
	*h = append(*h, u)
}

// Pop implements heap.Interface.
func (h *teamHeap) Pop() any {
	old := *h
	u := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return u
}

type backoffHeap []*Unit

func (h backoffHeap) Len() int           { return len(h) }
func (h backoffHeap) Less(i, j int) bool { return h[i].backoffUntil.Before(h[j].backoffUntil) }

func (h backoffHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *backoffHeap) Push(x any) {
	u := x.(*Unit)
	u.heapIndex = len(*h)
	*h = append(*h, u)
}

// Pop implements heap.Interface.
func (h *backoffHeap) Pop() any {
	old := *h
	u := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return u
}

// refreshAvoid copies the current AvoidUntil sets from newer, because entries expire while the unit is pending. It reports
// whether a task avoids fewer workers than before.
func (u *Unit) refreshAvoid(newer *Unit) bool {
	workerFreed := false
	for i, t := range u.Tasks {
		workerFreed = workerFreed || len(newer.Tasks[i].AvoidUntil) < len(t.AvoidUntil)
		t.AvoidUntil = newer.Tasks[i].AvoidUntil
	}
	return workerFreed
}

// SyncPending replaces the set of pending units, by key. Known units keep their place; a unit whose tasks changed is queued again.
func (s *Scheduler) SyncPending(units map[string]*Unit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queue
	q.syncPass++
	now := s.opts.Now()
	for _, u := range units {
		old := q.units[u.Key]
		if old != nil && sameTasks(old, u) {
			old.syncPass = q.syncPass
			workerFreed := old.refreshAvoid(u)
			switch {
			case old.state == stateInFlight:
				q.backOff(old, now)
			case workerFreed && old.state == stateUnschedulable:
				q.remove(old)
				q.activate(old)
			}
			continue
		}
		if old != nil {
			q.remove(old)
			u.attempts = old.attempts
		}
		u.syncPass, u.queuedAt = q.syncPass, now
		q.units[u.Key] = u
		q.activate(u)
	}
	for key, u := range q.units {
		if u.syncPass != q.syncPass {
			q.remove(u)
			delete(q.units, key)
			for _, t := range u.Tasks {
				s.releaseReservationFor(t.Ref.Task)
			}
		}
	}
}

func sameTasks(a, b *Unit) bool {
	if len(a.Tasks) != len(b.Tasks) {
		return false
	}
	for i := range a.Tasks {
		if a.Tasks[i].Ref != b.Tasks[i].Ref {
			return false
		}
	}
	return true
}

// QueueDepth returns the number of units in each part of the queue.
func (s *Scheduler) QueueDepth() QueueDepth {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.depth()
}

// UnschedulableByPlugin counts the unschedulable units by the plugin that rejected them.
func (s *Scheduler) UnschedulableByPlugin() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for _, u := range s.queue.units {
		if u.state == stateUnschedulable {
			out[u.rejectedBy]++
		}
	}
	return out
}

// sortedTeamNames makes the choice among teams with equal shares deterministic.
func (q *queue) sortedTeamNames() []string {
	names := make([]string, 0, len(q.teams))
	for name := range q.teams {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
