package delaycost

import (
	"hash/fnv"
	"sort"
)

// Backlog is the work that waits in a shortage, as the time in ms that the fleet needs for it.
type Backlog struct {
	priorities []priorityBacklog // ascending
}

type priorityBacklog struct {
	priority int
	aheadMs  float64 // of higher priorities and of jobs that have begun
	delayMs  float64 // by which the cost per room of the waiting jobs was taken
	waiting  []waitingWork
}

type waitingWork struct{ costPerRoom, totalMs float64 }

// Begin adds a priority after those that are more urgent. aheadMs is the time for the work ahead of its waiting jobs, and delayMs the delay
// whose cost orders them.
func (b *Backlog) Begin(priority int, aheadMs, delayMs float64) {
	b.priorities = append(b.priorities, priorityBacklog{priority: priority, aheadMs: aheadMs, delayMs: delayMs})
}

// Add adds a job that has not begun to the newest priority, in the order of falling costs per room. ms is the time for its work.
func (b *Backlog) Add(costPerRoom, ms float64) {
	p := &b.priorities[len(b.priorities)-1]
	if n := len(p.waiting); n > 0 {
		costPerRoom, ms = min(costPerRoom, p.waiting[n-1].costPerRoom), ms+p.waiting[n-1].totalMs
	}
	p.waiting = append(p.waiting, waitingWork{costPerRoom, ms})
}

// TotalMs returns the time for all work of the priority and of those that are more urgent; 0 if the priority is not in shortage.
func (b *Backlog) TotalMs(priority int) float64 {
	p := b.find(priority)
	if p == nil {
		return 0
	}
	if n := len(p.waiting); n > 0 {
		return p.aheadMs + p.waiting[n-1].totalMs
	}
	return p.aheadMs
}

// LongestMs returns the largest TotalMs of all priorities.
func (b *Backlog) LongestMs() float64 {
	longest := 0.0
	if b != nil {
		for i := range b.priorities {
			longest = max(longest, b.TotalMs(b.priorities[i].priority))
		}
	}
	return longest
}

// WaitMs returns the time until a new job would begin: the time for the work ahead of it. It is 0 if the priority is not in shortage.
func (b *Backlog) WaitMs(priority int, j *Job) float64 {
	p := b.find(priority)
	if p == nil {
		return 0
	}
	cost := j.CostPerRoom(p.delayMs)
	ahead := sort.Search(len(p.waiting), func(i int) bool { return p.waiting[i].costPerRoom <= cost })
	if ahead == 0 {
		return p.aheadMs
	}
	return p.aheadMs + p.waiting[ahead-1].totalMs
}

func (b *Backlog) find(priority int) *priorityBacklog {
	if b == nil {
		return nil
	}
	for i := range b.priorities {
		if b.priorities[i].priority == priority {
			return &b.priorities[i]
		}
	}
	return nil
}

const (
	// surelyUseless is the chance to be of any use below which a job cannot be served.
	surelyUseless = 0.01
	// sureWait is the part of an expected wait that is taken as certain: jobs ahead may end early, and room may come.
	sureWait = 0.6
)

// IsHopeless reports whether a job that begins after the wait in ms surely completes too late to be of any use to its caller.
func (j *Job) IsHopeless(waitMs float64) bool {
	window := j.SlackMs + (UsefulObjectives-1)*j.ObjectiveMs - sureWait*waitMs
	doubtMs := UsefulObjectives * (j.DoubtMs + minDoubt*j.ObjectiveMs) // the objective is as doubtful as the run times
	return chance(window/doubtMs) < surelyUseless
}

// Times to return in ms. A caller that returns sooner finds the same shortage, and one that is told more has long gone elsewhere.
const (
	minRetryMs = 1000
	maxRetryMs = 30_000
)

// RetryMs returns the time in ms after which a job that would wait too long now can be of use again. Each caller gets a time of its own
// in the following half, so that callers do not return together.
func (j *Job) RetryMs(id string, waitMs float64) int64 {
	ms := min(maxRetryMs/1.5, max(minRetryMs, waitMs-j.SlackMs-(UsefulObjectives-1)*j.ObjectiveMs))
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return int64(ms * (1 + 0.5*float64(h.Sum32()%1000)/1000))
}
