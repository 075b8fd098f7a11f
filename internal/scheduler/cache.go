package scheduler

import (
	"math/rand/v2"
	"time"

	"bamboofork/internal/invariant"
	"bamboofork/internal/worker"
)

// assumeTTL is the time after which an assumed placement without a reply from the agent expires. From then on, only the reports
// of the agent count.
const assumeTTL = 10 * time.Second

// placement is a task that has a worker and has not ended. A task is assumed on its worker until a report includes the task.
type placement struct {
	task                TaskInfo
	node                string // ID of the worker
	domain              string
	rack                string
	assumptionExpiresAt time.Time     // time at which the assumption expires if the agent has not replied
	isAdmitted          bool          // the agent admitted the task
	admissionClock      time.Duration // the agent's clock when the agent admitted the task
	isAssumed           bool          // no report includes the task yet
}

// spreadCount counts a job's tasks by failure domain and by rack.
type spreadCount struct{ tasksByDomain, tasksByRack map[string]int }

// cache is the scheduler's view of the fleet: the latest reports and the placements. Scheduler.mu guards the cache.
type cache struct {
	nodeByID          map[string]*node
	nodeList          []*node // all nodes in arbitrary order, for sampling
	index             index
	health            *HealthTracker
	placementByTask   map[string]*placement       // by task name
	spreadByJob       map[string]*spreadCount     // by job ID
	ownUseByTeam      map[string]worker.Resources // resources of this scheduler's placements, by team
	reportedUseByTeam map[string]worker.Resources // resources in use according to the reports, over all schedulers, by team
	assumedUseByTeam  map[string]worker.Resources // resources of this scheduler's assumed placements, by team
	fleetCapacity     worker.Resources            // sum over all workers
	resourcesFreed    bool                        // resources or quota were freed since the last RunCycle
}

func newCache(h *HealthTracker) *cache {
	return &cache{
		nodeByID: map[string]*node{}, health: h, placementByTask: map[string]*placement{}, spreadByJob: map[string]*spreadCount{},
		ownUseByTeam: map[string]worker.Resources{}, reportedUseByTeam: map[string]worker.Resources{},
		assumedUseByTeam: map[string]worker.Resources{},
	}
}

// addResources adds resources to the sum at key, and deletes the sum if it becomes zero up to rounding errors.
func addResources(resourcesByKey map[string]worker.Resources, key string, added worker.Resources) {
	sum := resourcesByKey[key].Add(added)
	if sum.Cores < 1e-9 && sum.Cores > -1e-9 && sum.MemoryMB == 0 && sum.Accelerators == 0 {
		delete(resourcesByKey, key)
		return
	}
	resourcesByKey[key] = sum
}

func negate(r worker.Resources) worker.Resources { return worker.Resources{}.Sub(r) }

// applyReport replaces the worker's data by a report and ends the assumption of tasks that the report includes. A report with
// the same incarnation and the same clock, not 0, as the latest report is ignored.
func (c *cache) applyReport(info NodeInfo) {
	cached := c.nodeByID[info.ID]
	if cached == nil {
		cached = &node{bucketNumber: -1, assumedTasks: map[string]bool{}, nodeListIndex: len(c.nodeList)}
		c.nodeByID[info.ID] = cached
		c.nodeList = append(c.nodeList, cached)
		c.resourcesFreed = true
	} else if cached.info.Incarnation == info.Incarnation && cached.info.AgentClock == info.AgentClock && info.AgentClock != 0 {
		return
	}
	c.subtractReported(cached)
	earlierFree := cached.free
	cached.info, cached.free = info, info.Free
	c.addReported(cached)
	for name := range cached.assumedTasks {
		c.reconcileAssumption(cached, name)
	}
	c.resourcesFreed = c.resourcesFreed || cached.free.Cores > earlierFree.Cores+0.01 || cached.free.MemoryMB > earlierFree.MemoryMB ||
		cached.free.Accelerators > earlierFree.Accelerators
	c.updateIndex(cached)
}

func (c *cache) addReported(cached *node) {
	c.fleetCapacity = c.fleetCapacity.Add(cached.info.Capacity)
	for team, r := range cached.info.TeamUsage {
		addResources(c.reportedUseByTeam, team, r)
	}
}

func (c *cache) subtractReported(cached *node) {
	c.fleetCapacity = c.fleetCapacity.Sub(cached.info.Capacity)
	for team, r := range cached.info.TeamUsage {
		addResources(c.reportedUseByTeam, team, negate(r))
	}
}

// reconcileAssumption subtracts the resources of an assumed task from the reported free resources. If the report includes the
// task, it ends the assumption instead.
func (c *cache) reconcileAssumption(cached *node, taskName string) {
	placed := c.placementByTask[taskName]
	if placed == nil || !placed.isAssumed {
		delete(cached.assumedTasks, taskName)
		return
	}
	if placed.isAdmitted && cached.info.AgentClock > placed.admissionClock {
		c.clearAssumption(cached, placed)
		return
	}
	cached.free = cached.free.Sub(placed.task.Need)
}

// clearAssumption marks a task as no longer assumed. It does not change the free resources of the worker.
func (c *cache) clearAssumption(cached *node, placed *placement) {
	placed.isAssumed = false
	addResources(c.assumedUseByTeam, placed.task.Team, negate(placed.task.Need))
	if cached != nil {
		delete(cached.assumedTasks, placed.task.Ref.Task)
	}
}

// updateIndex moves the worker to the index bucket of its free resources. Quarantined workers are removed from the index.
func (c *cache) updateIndex(cached *node) {
	c.index.remove(cached)
	if c.health.State(cached.info.ID) != HealthQuarantined {
		c.index.insert(cached)
	}
}

// removeNode removes a worker that is no longer reported.
func (c *cache) removeNode(id string) {
	cached := c.nodeByID[id]
	if cached == nil {
		return
	}
	c.subtractReported(cached)
	c.index.remove(cached)
	delete(c.nodeByID, id)
	lastNode := c.nodeList[len(c.nodeList)-1]
	c.nodeList[cached.nodeListIndex], lastNode.nodeListIndex = lastNode, cached.nodeListIndex
	c.nodeList[len(c.nodeList)-1] = nil
	c.nodeList = c.nodeList[:len(c.nodeList)-1]
}

// visitSample calls visit for at most maxNodes workers in pseudo-random order. It returns the number of visited workers.
func (c *cache) visitSample(maxNodes int, rng *rand.Rand, visit func(*node)) int {
	permutation := newPermutation(len(c.nodeList), rng)
	count := min(maxNodes, len(c.nodeList))
	for range count {
		visit(c.nodeList[permutation.next()])
	}
	return count
}

// assume records the placement of a task on a worker and subtracts the task's resources, before the agent has replied.
func (c *cache) assume(t *TaskInfo, cached *node, now time.Time) {
	invariant.Check(t.Need.Fits(cached.free), "scheduler_capacity", "task %s needs %+v, worker %s has %+v", t.Ref.Task, t.Need,
		cached.info.ID, cached.free)
	invariant.Check(c.placementByTask[t.Ref.Task] == nil, "scheduler_placed_once",
		"task %s is already placed, placed again on %s", t.Ref.Task, cached.info.ID)
	placed := &placement{task: *t, node: cached.info.ID, domain: cached.info.Domain, rack: cached.info.Rack,
		assumptionExpiresAt: now.Add(assumeTTL), isAssumed: true}
	cached.free = cached.free.Sub(t.Need)
	cached.assumedTasks[t.Ref.Task] = true
	c.index.updateBucket(cached)
	addResources(c.assumedUseByTeam, t.Team, t.Need)
	c.addPlacement(placed)
}

// addPlacement records a placement for the team's usage and for the spread of the job.
func (c *cache) addPlacement(placed *placement) {
	c.placementByTask[placed.task.Ref.Task] = placed
	addResources(c.ownUseByTeam, placed.task.Team, placed.task.Need)
	spread := c.spreadByJob[placed.task.JobID]
	if spread == nil {
		spread = &spreadCount{tasksByDomain: map[string]int{}, tasksByRack: map[string]int{}}
		c.spreadByJob[placed.task.JobID] = spread
	}
	spread.tasksByDomain[placed.domain]++
	spread.tasksByRack[placed.rack]++
}

// removePlacement removes the placement of a task that was refused, has ended or was rolled back. If the task was assumed, its
// resources are added to the worker's free resources.
func (c *cache) removePlacement(taskName string) {
	placed := c.placementByTask[taskName]
	if placed == nil {
		return
	}
	cached := c.nodeByID[placed.node]
	if placed.isAssumed {
		if cached != nil && cached.assumedTasks[taskName] {
			cached.free = cached.free.Add(placed.task.Need)
			c.index.updateBucket(cached)
		}
		c.clearAssumption(cached, placed)
	}
	c.deletePlacement(placed)
	c.resourcesFreed = true
}

// deletePlacement reverts addPlacement.
func (c *cache) deletePlacement(placed *placement) {
	delete(c.placementByTask, placed.task.Ref.Task)
	addResources(c.ownUseByTeam, placed.task.Team, negate(placed.task.Need))
	spread := c.spreadByJob[placed.task.JobID]
	if spread == nil {
		return
	}
	if spread.tasksByDomain[placed.domain]--; spread.tasksByDomain[placed.domain] == 0 {
		delete(spread.tasksByDomain, placed.domain)
	}
	if spread.tasksByRack[placed.rack]--; spread.tasksByRack[placed.rack] == 0 {
		delete(spread.tasksByRack, placed.rack)
	}
	if len(spread.tasksByDomain) == 0 {
		delete(c.spreadByJob, placed.task.JobID)
	}
}

// confirmAdmission records that the agent admitted the task; clock is the agent's clock at admission.
func (c *cache) confirmAdmission(ref worker.Ref, clock time.Duration) {
	if placed := c.placementByTask[ref.Task]; placed != nil && placed.task.Ref == ref {
		placed.isAdmitted, placed.admissionClock = true, clock
		if cached := c.nodeByID[placed.node]; placed.isAssumed && cached != nil && cached.info.AgentClock > clock {
			cached.free = cached.free.Add(placed.task.Need) // the latest report already includes the task
			c.clearAssumption(cached, placed)
			c.index.updateBucket(cached)
		}
	}
}

// expireAssumptions ends the assumptions that have lasted longer than assumeTTL.
func (c *cache) expireAssumptions(now time.Time) {
	for name, placed := range c.placementByTask {
		if placed.isAssumed && now.After(placed.assumptionExpiresAt) {
			if cached := c.nodeByID[placed.node]; cached != nil && cached.assumedTasks[name] {
				cached.free = cached.free.Add(placed.task.Need)
				c.index.updateBucket(cached)
			}
			c.clearAssumption(c.nodeByID[placed.node], placed)
		}
	}
}

// teamUsage returns the resources that the team uses. For each resource, it is the larger of two values: the reported plus the
// assumed usage, and the usage by this scheduler's placements.
func (c *cache) teamUsage(team string) worker.Resources {
	reportedAndAssumed, own := c.reportedUseByTeam[team].Add(c.assumedUseByTeam[team]), c.ownUseByTeam[team]
	return worker.Resources{Cores: max(reportedAndAssumed.Cores, own.Cores),
		MemoryMB:     max(reportedAndAssumed.MemoryMB, own.MemoryMB),
		Accelerators: max(reportedAndAssumed.Accelerators, own.Accelerators)}
}
