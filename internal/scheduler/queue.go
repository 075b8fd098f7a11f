package scheduler

import (
	"container/heap"
	"sort"
	"time"
)

// Unit is what is placed together: a single task, or the waiting tasks of a gang.
type Unit struct {
	Key   string // task name, or job id of a gang
	Tasks []*TaskInfo
	Gang  bool

	attempts int
	ready    time.Time // end of the backoff
	parked   time.Time
	since    time.Time // first seen
	plugin   string    // that kept it from being placed
	where    area
	index    int // in its heap
	seen     int64
}

// Lead is the task that stands for the unit in the queue.
func (u *Unit) Lead() *TaskInfo { return u.Tasks[0] }

// area is the part of the queue that holds a unit.
type area uint8

const (
	inActive area = iota
	inBackoff
	inPool // unschedulable until the fleet changes
	inFlight
)

// Timing of the queue.
const (
	backoffBase   = 250 * time.Millisecond
	backoffMax    = 10 * time.Second
	urgentBackoff = 500 * time.Millisecond // urgent work must start within 4 s
	poolFlush     = 30 * time.Second       // units in the pool are tried again after this time without any change
	moveBatch     = 64                     // units moved from the pool per change
)

// queue orders units: active ones by team, those in backoff by time, and a pool of those that cannot be placed until
// the fleet changes. It is guarded by its Scheduler.
type queue struct {
	units   map[string]*Unit
	teams   map[string]*teamHeap
	backoff backoffHeap
	pool    []parkedUnit // in the order in which they were parked; entries of units that left it are skipped
	parked  int          // units in the pool
	pass    int64
}

// parkedUnit is a unit's stay in the pool.
type parkedUnit struct {
	unit *Unit
	at   time.Time
}

func (p parkedUnit) left() bool { return p.unit.where != inPool || !p.unit.parked.Equal(p.at) }

func newQueue() *queue { return &queue{units: map[string]*Unit{}, teams: map[string]*teamHeap{}} }

func (q *queue) activate(u *Unit) {
	u.where = inActive
	h := q.teams[u.Lead().Team]
	if h == nil {
		h = &teamHeap{}
		q.teams[u.Lead().Team] = h
	}
	heap.Push(h, u)
}

func (q *queue) delay(u *Unit, now time.Time) {
	wait := min(backoffBase<<min(u.attempts, 10), backoffMax)
	if u.Lead().Urgent() {
		wait = min(wait, urgentBackoff)
	}
	u.attempts++
	u.where, u.ready = inBackoff, now.Add(wait)
	heap.Push(&q.backoff, u)
}

func (q *queue) park(u *Unit, plugin string, now time.Time) {
	if u.Lead().Urgent() {
		q.delay(u, now)
		return
	}
	u.where, u.parked, u.plugin = inPool, now, plugin
	q.pool = append(q.pool, parkedUnit{u, now})
	q.parked++
}

// take removes a unit from its area.
func (q *queue) take(u *Unit) {
	switch u.where {
	case inActive:
		h := q.teams[u.Lead().Team]
		heap.Remove(h, u.index)
		if len(*h) == 0 {
			delete(q.teams, u.Lead().Team)
		}
	case inBackoff:
		heap.Remove(&q.backoff, u.index)
	case inPool:
		q.parked--
	}
	u.where = inFlight
}

// advance moves what is due from the backoff and, after a change of the fleet, from the pool.
func (q *queue) advance(now time.Time, changed bool) {
	for len(q.backoff) > 0 && !q.backoff[0].ready.After(now) {
		u := heap.Pop(&q.backoff).(*Unit)
		q.activate(u)
	}
	moved := 0
	for len(q.pool) > 0 && moved < moveBatch {
		head := q.pool[0]
		if !head.left() && !changed && now.Sub(head.at) < poolFlush {
			return
		}
		q.pool[0] = parkedUnit{}
		q.pool = q.pool[1:]
		if head.left() {
			continue
		}
		q.parked--
		q.activate(head.unit)
		moved++
	}
}

// Depth is the number of units in each part of the queue.
type Depth struct{ Active, Backoff, Unschedulable int }

func (q *queue) depth() Depth {
	d := Depth{Backoff: len(q.backoff), Unschedulable: q.parked}
	for _, h := range q.teams {
		d.Active += len(*h)
	}
	return d
}

// teamHeap orders the units of one team: higher priority, then the earlier latest start, then the earlier submission.
type teamHeap []*Unit

func (h teamHeap) Len() int { return len(h) }

func (h teamHeap) Less(i, j int) bool { return before(h[i].Lead(), h[j].Lead()) }

func before(a, b *TaskInfo) bool {
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
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *teamHeap) Push(x any) {
	u := x.(*Unit)
	u.index = len(*h)
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
func (h backoffHeap) Less(i, j int) bool { return h[i].ready.Before(h[j].ready) }

func (h backoffHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *backoffHeap) Push(x any) {
	u := x.(*Unit)
	u.index = len(*h)
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

// refreshAvoid takes over which workers the tasks of a waiting unit avoid now: an avoidance ends while the unit waits.
// It reports whether a worker became possible again.
func (u *Unit) refreshAvoid(newer *Unit) bool {
	freed := false
	for i, t := range u.Tasks {
		freed = freed || len(newer.Tasks[i].Avoid) < len(t.Avoid)
		t.Avoid = newer.Tasks[i].Avoid
	}
	return freed
}

// Sync replaces the set of waiting units, by key. Known units keep their place; a unit whose tasks changed is queued anew.
func (s *Scheduler) Sync(units map[string]*Unit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queue
	q.pass++
	now := s.opts.Now()
	for _, u := range units {
		old := q.units[u.Key]
		if old != nil && sameTasks(old, u) {
			old.seen = q.pass
			freed := old.refreshAvoid(u)
			switch {
			case old.where == inFlight:
				q.delay(old, now)
			case freed && old.where == inPool:
				q.take(old)
				q.activate(old)
			}
			continue
		}
		if old != nil {
			q.take(old)
			u.attempts = old.attempts
		}
		u.seen, u.since = q.pass, now
		q.units[u.Key] = u
		q.activate(u)
	}
	for key, u := range q.units {
		if u.seen != q.pass {
			q.take(u)
			delete(q.units, key)
			for _, t := range u.Tasks {
				s.releaseFor(t.Ref.Task)
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

// Depth returns the sizes of the queue's parts.
func (s *Scheduler) Depth() Depth {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.depth()
}

// Waiting counts the units in the unschedulable pool by the plugin that rejected them.
func (s *Scheduler) Waiting() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for _, u := range s.queue.units {
		if u.where == inPool {
			out[u.plugin]++
		}
	}
	return out
}

// sortedTeams is for deterministic choices among teams with equal shares.
func (q *queue) sortedTeams() []string {
	names := make([]string, 0, len(q.teams))
	for name := range q.teams {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
