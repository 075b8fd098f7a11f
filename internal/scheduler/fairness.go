package scheduler

import (
	"time"

	"bamboofork/internal/worker"
)

// Parameters of the effective priority of pending units. Aging and the deadline boost never make a unit urgent.
const (
	agingInterval       = time.Minute // a unit gains one priority level per interval of waiting time, so that low-priority work is not starved
	maxAgingLevels      = 30
	deadlineBoostLevels = 30 // added if the latest start is less than deadlineBoostPeriod away
	deadlineBoostPeriod = 10 * time.Minute
	runTimeMarginFactor = 1.2 // safety factor on the expected run time when computing the latest start
	priorityBandWidth   = 10  // number of priority levels in a band; the units of a band are ordered by fair share
)

// farFuture is the latest start of a task without a deadline.
var farFuture = time.Unix(1<<40, 0)

// latestStart returns the time after which a start of the task is expected to miss its deadline, farFuture without a deadline.
func latestStart(t *TaskInfo) time.Time {
	if t.Deadline.IsZero() {
		return farFuture
	}
	return t.Deadline.Add(-time.Duration(runTimeMarginFactor * float64(t.ExpectedRunTime)))
}

// effectivePriority returns the priority of the unit's lead task, raised by the waiting time (aging) and by a near deadline. An
// urgent unit keeps its priority.
func effectivePriority(unit *Unit, now time.Time) int {
	t := unit.Lead()
	if t.Urgent() {
		return t.Priority
	}
	priority := t.Priority + min(maxAgingLevels, int(now.Sub(unit.queuedAt)/agingInterval))
	if latestStart(t).Sub(now) < deadlineBoostPeriod {
		priority += deadlineBoostLevels
	}
	return min(priority, UrgentPriority-1)
}

// dominantShare returns the largest fraction of the fleet's cores, memory or accelerators that the team uses, divided by the
// team's weight (dominant resource fairness).
func (c *cache) dominantShare(team string, weight int) float64 {
	usage := c.teamUsage(team)
	share := 0.0
	if c.fleetCapacity.Cores > 0 {
		share = usage.Cores / c.fleetCapacity.Cores
	}
	if c.fleetCapacity.MemoryMB > 0 {
		share = max(share, float64(usage.MemoryMB)/float64(c.fleetCapacity.MemoryMB))
	}
	if c.fleetCapacity.Accelerators > 0 {
		share = max(share, float64(usage.Accelerators)/float64(c.fleetCapacity.Accelerators))
	}
	return share / float64(max(1, weight))
}

// nextUnit returns the unit to place next, nil if no unit is active. Among the first units of all teams it selects those in the
// highest band of effective priority, and among these the unit of the team with the smallest weighted dominant share.
func (s *Scheduler) nextUnit(now time.Time) *Unit {
	var best *Unit
	bestBand, bestShare := -1, 0.0
	for _, team := range s.queue.sortedTeamNames() {
		unit := (*s.queue.unitsByTeam[team])[0]
		band := effectivePriority(unit, now) / priorityBandWidth
		if band < bestBand {
			continue
		}
		share := s.cache.dominantShare(team, s.opts.TeamShare(team).Weight)
		if band > bestBand || share < bestShare {
			best, bestBand, bestShare = unit, band, share
		}
	}
	return best
}

// UnitDecision is a unit with its decisions, one per examined task.
type UnitDecision struct {
	Unit        *Unit
	Decisions   []Decision
	Placed      bool      // all tasks of the unit were placed
	PreemptNode *NodeInfo // worker on which lower-priority work should be checkpointed and evicted for the unit; nil: none
}

// equivalenceClass identifies tasks that get the same decision within one scheduling cycle.
type equivalenceClass struct {
	team, kind, need   string
	isUrgent, mayProbe bool
	runTime            time.Duration
}

func equivalenceClassOf(t *TaskInfo) equivalenceClass {
	return equivalenceClass{team: t.Team, kind: t.Kind, need: resourcesKey(t.Need), isUrgent: t.Urgent(), mayProbe: t.MayProbe,
		runTime: t.ExpectedRunTime}
}

// RunCycle decides units in queue order until their tasks number at least limit, and returns the decisions. Units that cannot be
// placed are parked as unschedulable or back off. The first of them get a reservation, and urgent ones a worker to preempt. If
// a unit of one task cannot be placed, later units with a lead task of the same equivalence class reuse that decision.
func (s *Scheduler) RunCycle(limit int) []UnitDecision {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Now()
	fleetChanged := s.cache.resourcesFreed
	s.cache.resourcesFreed = false
	s.queue.activateReady(now, fleetChanged)
	unitDecisions := []UnitDecision{}
	failedDecisions := map[equivalenceClass]Decision{}
	for taskCount := 0; taskCount < limit; {
		unit := s.nextUnit(now)
		if unit == nil {
			break
		}
		s.queue.remove(unit)
		taskCount += len(unit.Tasks)
		unitDecisions = append(unitDecisions, s.placeOrRequeue(unit, failedDecisions, now))
	}
	return unitDecisions
}

// placeOrRequeue places a unit or puts it back into the queue. If a unit of one task cannot be placed, failedDecisions gets the
// decision by equivalence class. Later units of the cycle reuse the decisions in failedDecisions.
func (s *Scheduler) placeOrRequeue(unit *Unit, failedDecisions map[equivalenceClass]Decision, now time.Time) UnitDecision {
	lead := unit.Lead()
	if classDecision, hasFailed := failedDecisions[equivalenceClassOf(lead)]; hasFailed && len(lead.AvoidUntil) == 0 &&
		!lead.Urgent() && s.reservationByTask[lead.Ref.Task] == nil {
		classDecision.Task = lead.Ref.Task
		s.queue.park(unit, firstRejectingPlugin(&classDecision), now)
		return UnitDecision{Unit: unit, Decisions: []Decision{classDecision}}
	}
	result := UnitDecision{Unit: unit, Decisions: s.placeGang(unit.Tasks)}
	lastDecision := &result.Decisions[len(result.Decisions)-1]
	if lastDecision.Placed() {
		result.Placed = true
		return result
	}
	if len(unit.Tasks) == 1 && len(lead.AvoidUntil) == 0 {
		failedDecisions[equivalenceClassOf(lead)] = *lastDecision
	}
	s.handleUnplaced(&result, lastDecision, now)
	return result
}

// handleUnplaced puts a unit that could not be placed back into the queue. If free resources are missing, it first selects a
// worker to preempt or makes a reservation.
func (s *Scheduler) handleUnplaced(result *UnitDecision, failed *Decision, now time.Time) {
	if failed.insufficientResources() {
		s.preemptOrReserve(result, failed)
	}
	if result.PreemptNode != nil || s.reservationByTask[failed.Task] != nil || len(result.Unit.Lead().AvoidUntil) > 0 {
		// Such a unit can become schedulable without a change of the fleet, so it is retried after a backoff.
		s.queue.backOff(result.Unit, now)
		return
	}
	s.queue.park(result.Unit, firstRejectingPlugin(failed), now)
}

// preemptOrReserve selects a worker to preempt for the unit's task that could not be placed, or else makes a reservation for
// the task. It records the result in the decision's note.
func (s *Scheduler) preemptOrReserve(result *UnitDecision, failed *Decision) {
	task := result.Unit.Tasks[len(result.Decisions)-1]
	if victimWorker, ok := s.reserveByPreemption(task); ok {
		result.PreemptNode = &victimWorker
		failed.Note = "lower priority work on " + victimWorker.ID + " is checkpointed for it"
		return
	}
	if r, ok := s.reserveResources(task); ok {
		failed.Note = "worker " + r.Node + " is reserved for it from " + r.StartsAt.UTC().Format(time.RFC3339)
	}
}

// firstRejectingPlugin returns the name of the plugin of the first rejection, empty without a rejection.
func firstRejectingPlugin(d *Decision) string {
	if len(d.Rejections) == 0 {
		return ""
	}
	return d.Rejections[0].Plugin
}

func resourcesKey(r worker.Resources) string {
	return formatResources(r)
}
