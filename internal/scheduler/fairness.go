package scheduler

import (
	"time"

	"bamboofork/internal/worker"
)

// Adjustments that raise the effective priority of pending units. They never make a unit urgent.
const (
	agingStep      = time.Minute // one priority level per step of waiting time, so that low-priority work is not starved
	maxAging       = 30
	deadlineBoost  = 30 // for units whose latest start is within deadlineWindow
	deadlineWindow = 10 * time.Minute
	runMargin      = 1.2 // safety factor on the expected run time when computing the latest start
	priorityBand   = 10  // priorities within a band are ordered by fair share
)

// farFuture is the latest start of a task without a deadline.
var farFuture = time.Unix(1<<40, 0)

// latestStart is the time after which the task is expected to miss its deadline.
func latestStart(t *TaskInfo) time.Time {
	if t.Deadline.IsZero() {
		return farFuture
	}
	return t.Deadline.Add(-time.Duration(runMargin * float64(t.ExpectedRunTime)))
}

// effectivePriority is the priority raised by waiting time (aging) and by a near deadline.
func effectivePriority(u *Unit, now time.Time) int {
	t := u.Lead()
	if t.Urgent() {
		return t.Priority
	}
	p := t.Priority + min(maxAging, int(now.Sub(u.queuedAt)/agingStep))
	if latestStart(t).Sub(now) < deadlineWindow {
		p += deadlineBoost
	}
	return min(p, UrgentPriority-1)
}

// dominantShare is the team's largest share of any fleet resource, divided by its weight (dominant resource fairness).
func (c *cache) dominantShare(team string, weight int) float64 {
	use := c.teamUsage(team)
	share := 0.0
	if c.fleetCapacity.Cores > 0 {
		share = use.Cores / c.fleetCapacity.Cores
	}
	if c.fleetCapacity.MemoryMB > 0 {
		share = max(share, float64(use.MemoryMB)/float64(c.fleetCapacity.MemoryMB))
	}
	if c.fleetCapacity.Accelerators > 0 {
		share = max(share, float64(use.Accelerators)/float64(c.fleetCapacity.Accelerators))
	}
	return share / float64(max(1, weight))
}

// nextUnit returns the unit to place next: from the highest band of effective priority, of the team with the smallest
// weighted dominant share in it.
func (s *Scheduler) nextUnit(now time.Time) *Unit {
	var best *Unit
	bestBand, bestShare := -1, 0.0
	for _, team := range s.queue.sortedTeamNames() {
		u := (*s.queue.teams[team])[0]
		band := effectivePriority(u, now) / priorityBand
		if band < bestBand {
			continue
		}
		share := s.cache.dominantShare(team, s.opts.TeamShare(team).Weight)
		if band > bestBand || share < bestShare {
			best, bestBand, bestShare = u, band, share
		}
	}
	return best
}

// UnitDecision is a unit with its decisions, one per task that was examined.
type UnitDecision struct {
	Unit      *Unit
	Decisions []Decision
	Placed    bool
	Preempt   *NodeInfo // worker on which lower-priority work should be checkpointed for the unit; nil: none
}

// equivalenceClass identifies tasks that get the same decision until the fleet changes.
type equivalenceClass struct {
	team, kind, need string
	urgent, probe    bool
	run              time.Duration
}

func equivalenceClassOf(t *TaskInfo) equivalenceClass {
	return equivalenceClass{team: t.Team, kind: t.Kind, need: resourcesKey(t.Need), urgent: t.Urgent(), probe: t.MayProbe, run: t.ExpectedRunTime}
}

// Cycle places up to limit tasks in queue order. Units that cannot be placed are parked as unschedulable or back off; the
// first of them get a reservation, and urgent ones a worker to preempt. Tasks of the same equivalence class as a task that
// could not be placed in this cycle share its decision.
func (s *Scheduler) Cycle(limit int) []UnitDecision {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Now()
	changed := s.cache.resourcesFreed
	s.cache.resourcesFreed = false
	s.queue.activateReady(now, changed)
	out := []UnitDecision{}
	failed := map[equivalenceClass]Decision{}
	for tasks := 0; tasks < limit; {
		u := s.nextUnit(now)
		if u == nil {
			break
		}
		s.queue.remove(u)
		tasks += len(u.Tasks)
		out = append(out, s.decide(u, failed, now))
	}
	return out
}

func (s *Scheduler) decide(u *Unit, failed map[equivalenceClass]Decision, now time.Time) UnitDecision {
	lead := u.Lead()
	if d, known := failed[equivalenceClassOf(lead)]; known && len(lead.AvoidUntil) == 0 && !lead.Urgent() && s.reservations[lead.Ref.Task] == nil {
		d.Task = lead.Ref.Task
		s.queue.park(u, firstRejectingPlugin(&d), now)
		return UnitDecision{Unit: u, Decisions: []Decision{d}}
	}
	result := UnitDecision{Unit: u, Decisions: s.placeGang(u.Tasks)}
	last := &result.Decisions[len(result.Decisions)-1]
	if last.Placed() {
		result.Placed = true
		return result
	}
	if len(u.Tasks) == 1 && len(lead.AvoidUntil) == 0 {
		failed[equivalenceClassOf(lead)] = *last
	}
	s.handleUnplaced(&result, last, now)
	return result
}

// handleUnplaced preempts or reserves for a unit that could not be placed, and puts it back into the queue.
func (s *Scheduler) handleUnplaced(result *UnitDecision, d *Decision, now time.Time) {
	if d.insufficientResources() {
		s.preemptOrReserve(result, d)
	}
	if result.Preempt != nil || s.reservations[d.Task] != nil || len(result.Unit.Lead().AvoidUntil) > 0 {
		// These units can become schedulable by the passing of time alone, so they do not wait for a change of the fleet.
		s.queue.backOff(result.Unit, now)
		return
	}
	s.queue.park(result.Unit, firstRejectingPlugin(d), now)
}

func (s *Scheduler) preemptOrReserve(result *UnitDecision, d *Decision) {
	task := result.Unit.Tasks[len(result.Decisions)-1]
	if n, ok := s.preempt(task); ok {
		result.Preempt = &n
		d.Note = "lower priority work on " + n.ID + " is checkpointed for it"
		return
	}
	if r, ok := s.reserveResources(task); ok {
		d.Note = "worker " + r.Node + " is reserved for it from " + r.StartsAt.UTC().Format(time.RFC3339)
	}
}

func firstRejectingPlugin(d *Decision) string {
	if len(d.Rejected) == 0 {
		return ""
	}
	return d.Rejected[0].Plugin
}

func resourcesKey(r worker.Resources) string {
	return formatResources(r)
}
