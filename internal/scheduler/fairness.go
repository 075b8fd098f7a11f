package scheduler

import (
	"time"

	"bamboofork/internal/worker"
)

// Rules that raise the priority of waiting units. They never make a unit urgent.
const (
	agingStep     = time.Minute // one level of priority per step of waiting, so that low priority work is not starved
	agingMax      = 30
	deadlineBoost = 30 // for units whose latest start is near
	deadlineNear  = 10 * time.Minute
	runMargin     = 1.2 // the expected run time is exceeded by this factor in the latest start
	priorityBand  = 10  // priorities within a band compete by fair share
)

// farFuture stands for no deadline.
var farFuture = time.Unix(1<<40, 0)

// latestStart is the time after which the task is expected to miss its deadline.
func latestStart(t *TaskInfo) time.Time {
	if t.Deadline.IsZero() {
		return farFuture
	}
	return t.Deadline.Add(-time.Duration(runMargin * float64(t.Run)))
}

// effectivePriority is the priority with what waiting and a near deadline add.
func effectivePriority(u *Unit, now time.Time) int {
	t := u.Lead()
	if t.Urgent() {
		return t.Priority
	}
	p := t.Priority + min(agingMax, int(now.Sub(u.since)/agingStep))
	if latestStart(t).Sub(now) < deadlineNear {
		p += deadlineBoost
	}
	return min(p, UrgentPriority-1)
}

// dominantShare is the largest share of the fleet that a team uses of any resource, divided by its weight.
func (c *cache) dominantShare(team string, weight int) float64 {
	use := c.teamUse(team)
	share := 0.0
	if c.total.Cores > 0 {
		share = use.Cores / c.total.Cores
	}
	if c.total.MemoryMB > 0 {
		share = max(share, float64(use.MemoryMB)/float64(c.total.MemoryMB))
	}
	if c.total.Accelerators > 0 {
		share = max(share, float64(use.Accelerators)/float64(c.total.Accelerators))
	}
	return share / float64(max(1, weight))
}

// next picks the unit to place: the highest band of effective priority, in it the team with the smallest weighted
// dominant share.
func (s *Scheduler) next(now time.Time) *Unit {
	var best *Unit
	bestBand, bestShare := -1, 0.0
	for _, team := range s.queue.sortedTeams() {
		u := (*s.queue.teams[team])[0]
		band := effectivePriority(u, now) / priorityBand
		if band < bestBand {
			continue
		}
		share := s.cache.dominantShare(team, s.opts.Share(team).Weight)
		if band > bestBand || share < bestShare {
			best, bestBand, bestShare = u, band, share
		}
	}
	return best
}

// Outcome is a unit with its decisions, one per task that was looked at.
type Outcome struct {
	Unit      *Unit
	Decisions []Decision
	Placed    bool
	Preempt   *NodeInfo // the worker on which lower priority work should be checkpointed for the unit; nil: none
}

// class names tasks for which a decision is the same until the fleet changes.
type class struct {
	team, kind, need string
	urgent, probe    bool
	run              time.Duration
}

func classOf(t *TaskInfo) class {
	return class{team: t.Team, kind: t.Kind, need: needKey(t.Need), urgent: t.Urgent(), probe: t.Probe, run: t.Run}
}

// Cycle places up to limit tasks in the order of the queue. Units that find no worker are parked or delayed; the ones
// that go first get a reservation, and urgent ones a worker to preempt. Tasks that equal one that found no worker in
// the same cycle share its decision.
func (s *Scheduler) Cycle(limit int) []Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Now()
	changed := s.cache.freed
	s.cache.freed = false
	s.queue.advance(now, changed)
	out := []Outcome{}
	failed := map[class]Decision{}
	for tasks := 0; tasks < limit; {
		u := s.next(now)
		if u == nil {
			break
		}
		s.queue.take(u)
		tasks += len(u.Tasks)
		out = append(out, s.decide(u, failed, now))
	}
	return out
}

func (s *Scheduler) decide(u *Unit, failed map[class]Decision, now time.Time) Outcome {
	lead := u.Lead()
	if d, known := failed[classOf(lead)]; known && len(lead.Avoid) == 0 && !lead.Urgent() && s.reservations[lead.Ref.Task] == nil {
		d.Task = lead.Ref.Task
		s.queue.park(u, firstPlugin(&d), now)
		return Outcome{Unit: u, Decisions: []Decision{d}}
	}
	o := Outcome{Unit: u, Decisions: s.placeGang(u.Tasks)}
	last := &o.Decisions[len(o.Decisions)-1]
	if last.Placed() {
		o.Placed = true
		return o
	}
	if len(u.Tasks) == 1 && len(lead.Avoid) == 0 {
		failed[classOf(lead)] = *last
	}
	s.unplaced(&o, last, now)
	return o
}

// unplaced decides what happens to a unit without a worker.
func (s *Scheduler) unplaced(o *Outcome, d *Decision, now time.Time) {
	if d.onlyRoom() {
		s.makeRoom(o, d)
	}
	if o.Preempt != nil || s.reservations[d.Task] != nil || len(o.Unit.Lead().Avoid) > 0 {
		// These wait for a time and not only for a change of the fleet.
		s.queue.delay(o.Unit, now)
		return
	}
	s.queue.park(o.Unit, firstPlugin(d), now)
}

func (s *Scheduler) makeRoom(o *Outcome, d *Decision) {
	task := o.Unit.Tasks[len(o.Decisions)-1]
	if n, ok := s.preempt(task); ok {
		o.Preempt = &n
		d.Note = "lower priority work on " + n.ID + " is checkpointed for it"
		return
	}
	if r, ok := s.reserveRoom(task); ok {
		d.Note = "worker " + r.Node + " is reserved for it from " + r.At.UTC().Format(time.RFC3339)
	}
}

func firstPlugin(d *Decision) string {
	if len(d.Rejected) == 0 {
		return ""
	}
	return d.Rejected[0].Plugin
}

func needKey(r worker.Resources) string {
	return formatResources(r)
}
