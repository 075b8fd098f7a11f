package scheduler

import (
	"container/heap"
	"sort"
	"time"
)

// Unit is a set of tasks that are placed together: a single task, or the pending tasks of a gang.
type Unit struct {
	Key    string // task name, or job ID of a gang
	Tasks  []*TaskInfo
	IsGang bool

	failedAttempts int
	backoffUntil   time.Time
	parkedAt       time.Time // time at which the unit last became unschedulable
	queuedAt       time.Time // start of the waiting time that raises the priority
	rejectedBy     string    // name of the plugin with the first rejection in the last decision
	state          queueState
	heapIndex      int   // position in teamHeap or backoffHeap
	syncPass       int64 // value of queue.syncPass in the last SyncPending that included the unit
}

// Lead returns the task whose team, priority and deadline determine the position of the unit in the queue.
func (u *Unit) Lead() *TaskInfo { return u.Tasks[0] }

// queueState says which part of the queue holds a unit.
type queueState uint8

const (
	stateActive queueState = iota
	stateBackoff
	stateUnschedulable // parked until the fleet changes
	stateInFlight      // removed from the queue for a decision
)

// Timing of the queue.
const (
	initialBackoff             = 250 * time.Millisecond
	maxBackoff                 = 10 * time.Second
	maxUrgentBackoff           = 500 * time.Millisecond // urgent work must start within 4 s
	unschedulableRetryInterval = 30 * time.Second       // an unschedulable unit is retried after this time even if the fleet did not change
	maxActivationsPerCycle     = 64                     // maximum of unschedulable units that become active per cycle
)

// queue holds the pending units. Active units are grouped by team, units in backoff are ordered by the end of the backoff, and
// unschedulable units wait for a change of the fleet. Scheduler.mu guards the queue.
type queue struct {
	unitByKey          map[string]*Unit     // all units, including those in flight
	unitsByTeam        map[string]*teamHeap // active units
	backoffUnits       backoffHeap
	parkedUnits        []parkedUnit // unschedulable units in the order in which they were parked; may have stale entries
	unschedulableCount int          // number of unschedulable units, without stale entries
	syncPass           int64        // number of SyncPending calls
}

// parkedUnit is an entry of queue.parkedUnits. An entry becomes stale when its unit is activated, removed or parked again.
type parkedUnit struct {
	unit     *Unit
	parkedAt time.Time
}

func (p parkedUnit) isStale() bool {
	return p.unit.state != stateUnschedulable || !p.unit.parkedAt.Equal(p.parkedAt)
}

func newQueue() *queue {
	return &queue{unitByKey: map[string]*Unit{}, unitsByTeam: map[string]*teamHeap{}}
}

// activate adds the unit to the active units of its team.
func (q *queue) activate(unit *Unit) {
	unit.state = stateActive
	h := q.unitsByTeam[unit.Lead().Team]
	if h == nil {
		h = &teamHeap{}
		q.unitsByTeam[unit.Lead().Team] = h
	}
	heap.Push(h, unit)
}

// backOff lets the unit wait for a time that doubles with each failed attempt.
func (q *queue) backOff(unit *Unit, now time.Time) {
	delay := min(initialBackoff<<min(unit.failedAttempts, 10), maxBackoff)
	if unit.Lead().Urgent() {
		delay = min(delay, maxUrgentBackoff)
	}
	unit.failedAttempts++
	unit.state, unit.backoffUntil = stateBackoff, now.Add(delay)
	heap.Push(&q.backoffUnits, unit)
}

// park makes the unit unschedulable until the fleet changes; plugin is the plugin that rejected the unit. An urgent unit backs
// off instead.
func (q *queue) park(unit *Unit, plugin string, now time.Time) {
	if unit.Lead().Urgent() {
		q.backOff(unit, now)
		return
	}
	unit.state, unit.parkedAt, unit.rejectedBy = stateUnschedulable, now, plugin
	q.parkedUnits = append(q.parkedUnits, parkedUnit{unit, now})
	q.unschedulableCount++
}

// remove removes a unit from the active, backoff or unschedulable units and marks it as in flight.
func (q *queue) remove(unit *Unit) {
	switch unit.state {
	case stateActive:
		h := q.unitsByTeam[unit.Lead().Team]
		heap.Remove(h, unit.heapIndex)
		if len(*h) == 0 {
			delete(q.unitsByTeam, unit.Lead().Team)
		}
	case stateBackoff:
		heap.Remove(&q.backoffUnits, unit.heapIndex)
	case stateUnschedulable:
		q.unschedulableCount--
	}
	unit.state = stateInFlight
}

// activateReady activates the units whose backoff has ended. It also activates unschedulable units, at most
// maxActivationsPerCycle: after a change of the fleet any of them, otherwise those parked for unschedulableRetryInterval.
func (q *queue) activateReady(now time.Time, fleetChanged bool) {
	for len(q.backoffUnits) > 0 && !q.backoffUnits[0].backoffUntil.After(now) {
		unit := heap.Pop(&q.backoffUnits).(*Unit)
		q.activate(unit)
	}
	activatedCount := 0
	for len(q.parkedUnits) > 0 && activatedCount < maxActivationsPerCycle {
		oldest := q.parkedUnits[0]
		if !oldest.isStale() && !fleetChanged && now.Sub(oldest.parkedAt) < unschedulableRetryInterval {
			return
		}
		q.parkedUnits[0] = parkedUnit{}
		q.parkedUnits = q.parkedUnits[1:]
		if oldest.isStale() {
			continue
		}
		q.unschedulableCount--
		q.activate(oldest.unit)
		activatedCount++
	}
}

// QueueDepth is the number of units in each part of the queue.
type QueueDepth struct{ Active, Backoff, Unschedulable int }

func (q *queue) countUnits() QueueDepth {
	depth := QueueDepth{Backoff: len(q.backoffUnits), Unschedulable: q.unschedulableCount}
	for _, h := range q.unitsByTeam {
		depth.Active += len(*h)
	}
	return depth
}

// teamHeap orders the units of one team by descending priority, then by ascending latestStart, then by submission time.
type teamHeap []*Unit

func (h teamHeap) Len() int { return len(h) }

func (h teamHeap) Less(i, j int) bool { return precedes(h[i].Lead(), h[j].Lead()) }

func precedes(a, b *TaskInfo) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	latestStartA, latestStartB := latestStart(a), latestStart(b)
	if !latestStartA.Equal(latestStartB) {
		return latestStartA.Before(latestStartB)
	}
	if !a.SubmittedAt.Equal(b.SubmittedAt) {
		return a.SubmittedAt.Before(b.SubmittedAt)
	}
	return a.Ref.Task < b.Ref.Task
}

func (h teamHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *teamHeap) Push(x any) {
	unit := x.(*Unit)
	unit.heapIndex = len(*h)
	*h = append(*h, unit)
}

// Pop implements heap.Interface.
func (h *teamHeap) Pop() any {
	old := *h
	unit := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return unit
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
	unit := x.(*Unit)
	unit.heapIndex = len(*h)
	*h = append(*h, unit)
}

// Pop implements heap.Interface.
func (h *backoffHeap) Pop() any {
	old := *h
	unit := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return unit
}

// refreshAvoidUntil copies the AvoidUntil sets of the tasks from newer, because entries expire while the unit is pending. It
// reports whether a task avoids fewer workers than before.
func (u *Unit) refreshAvoidUntil(newer *Unit) bool {
	workerFreed := false
	for i, t := range u.Tasks {
		workerFreed = workerFreed || len(newer.Tasks[i].AvoidUntil) < len(t.AvoidUntil)
		t.AvoidUntil = newer.Tasks[i].AvoidUntil
	}
	return workerFreed
}

// SyncPending replaces the set of pending units, given by key. A known unit with the same tasks keeps its place in the queue,
// and a unit whose tasks changed is queued again. Units that are no longer pending are removed, and their reservations are
// released.
func (s *Scheduler) SyncPending(newUnits map[string]*Unit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending := s.queue
	pending.syncPass++
	now := s.opts.Now()
	for _, unit := range newUnits {
		old := pending.unitByKey[unit.Key]
		if old != nil && sameTasks(old, unit) {
			old.syncPass = pending.syncPass
			workerFreed := old.refreshAvoidUntil(unit)
			switch {
			case old.state == stateInFlight:
				pending.backOff(old, now)
			case workerFreed && old.state == stateUnschedulable:
				pending.remove(old)
				pending.activate(old)
			}
			continue
		}
		if old != nil {
			pending.remove(old)
			unit.failedAttempts = old.failedAttempts
		}
		unit.syncPass, unit.queuedAt = pending.syncPass, now
		pending.unitByKey[unit.Key] = unit
		pending.activate(unit)
	}
	for key, unit := range pending.unitByKey {
		if unit.syncPass != pending.syncPass {
			pending.remove(unit)
			delete(pending.unitByKey, key)
			for _, t := range unit.Tasks {
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
	return s.queue.countUnits()
}

// UnschedulableByPlugin counts the unschedulable units by the plugin that rejected them.
func (s *Scheduler) UnschedulableByPlugin() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	countByPlugin := map[string]int{}
	for _, unit := range s.queue.unitByKey {
		if unit.state == stateUnschedulable {
			countByPlugin[unit.rejectedBy]++
		}
	}
	return countByPlugin
}

// sortedTeamNames returns the teams with active units in alphabetical order, so that the choice among teams with equal shares is
// deterministic.
func (q *queue) sortedTeamNames() []string {
	names := make([]string, 0, len(q.unitsByTeam))
	for name := range q.unitsByTeam {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
