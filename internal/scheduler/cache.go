package scheduler

import (
	"math/rand/v2"
	"time"

	"bamboofork/internal/invariant"
	"bamboofork/internal/worker"
)

// assumeTTL is the time after which an assumed placement without a reply from the agent expires. The agent's next report is authoritative.
const assumeTTL = 10 * time.Second

// placement is a task that this scheduler placed and that has not ended.
type placement struct {
	task     TaskInfo
	node     string
	domain   string
	rack     string
	expires  time.Time     // expiry of an assumption without a reply
	accepted bool          // the agent admitted the task
	clock    time.Duration // the agent's clock at admission
	assumed  bool          // not in a report yet
}

// spreadCount counts a job's tasks by domain and rack.
type spreadCount struct{ domains, racks map[string]int }

// cache is the scheduler's view of the fleet: reports plus assumed placements. It is guarded by Scheduler.mu.
type cache struct {
	nodes          map[string]*node
	nodeList       []*node // all nodes in arbitrary order, for sampling
	index          index
	health         *HealthTracker
	placements     map[string]*placement // by task name
	jobs           map[string]*spreadCount
	ownUse         map[string]worker.Resources // by team: tasks placed by this scheduler
	reportedUse    map[string]worker.Resources // by team: in the reports, over all schedulers
	assumedUse     map[string]worker.Resources // by team: assumed placements that are not in a report yet
	fleetCapacity  worker.Resources            // sum over all workers
	resourcesFreed bool                        // resources or quota were freed since the last Cycle
}

func newCache(h *HealthTracker) *cache {
	return &cache{
		nodes: map[string]*node{}, health: h, placements: map[string]*placement{}, jobs: map[string]*spreadCount{},
		ownUse: map[string]worker.Resources{}, reportedUse: map[string]worker.Resources{}, assumedUse: map[string]worker.Resources{},
	}
}

func addResources(m map[string]worker.Resources, key string, r worker.Resources) {
	sum := m[key].Add(r)
	if sum.Cores < 1e-9 && sum.Cores > -1e-9 && sum.MemoryMB == 0 && sum.Accelerators == 0 {
		delete(m, key)
		return
	}
	m[key] = sum
}

func negate(r worker.Resources) worker.Resources { return worker.Resources{}.Sub(r) }

// update applies a report. Assumptions that the report already includes are removed.
func (c *cache) update(info NodeInfo) {
	n := c.nodes[info.ID]
	if n == nil {
		n = &node{bucket: -1, assumed: map[string]bool{}, listIndex: len(c.nodeList)}
		c.nodes[info.ID] = n
		c.nodeList = append(c.nodeList, n)
		c.resourcesFreed = true
	} else if n.info.Incarnation == info.Incarnation && n.info.Clock == info.Clock && info.Clock != 0 {
		return
	}
	c.subtractReported(n)
	freeBefore := n.free
	n.info, n.free = info, info.Free
	c.addReported(n)
	for name := range n.assumed {
		c.reconcileAssumption(n, name)
	}
	c.resourcesFreed = c.resourcesFreed || n.free.Cores > freeBefore.Cores+0.01 || n.free.MemoryMB > freeBefore.MemoryMB ||
		n.free.Accelerators > freeBefore.Accelerators
	c.reindex(n)
}

func (c *cache) addReported(n *node) {
	c.fleetCapacity = c.fleetCapacity.Add(n.info.Capacity)
	for team, r := range n.info.TeamUsage {
		addResources(c.reportedUse, team, r)
	}
}

func (c *cache) subtractReported(n *node) {
	c.fleetCapacity = c.fleetCapacity.Sub(n.info.Capacity)
	for team, r := range n.info.TeamUsage {
		addResources(c.reportedUse, team, negate(r))
	}
}

// reconcileAssumption subtracts an assumed task from the reported free resources, or removes it if the report includes it.
func (c *cache) reconcileAssumption(n *node, name string) {
	p := c.placements[name]
	if p == nil || !p.assumed {
		delete(n.assumed, name)
		return
	}
	if p.accepted && n.info.Clock > p.clock {
		c.clearAssumption(n, p)
		return
	}
	n.free = n.free.Sub(p.task.Need)
}

// clearAssumption marks a task as no longer assumed. It does not change the free resources of the worker.
func (c *cache) clearAssumption(n *node, p *placement) {
	p.assumed = false
	addResources(c.assumedUse, p.task.Team, negate(p.task.Need))
	if n != nil {
		delete(n.assumed, p.task.Ref.Task)
	}
}

// reindex updates the worker's position in the index; quarantined workers are not indexed.
func (c *cache) reindex(n *node) {
	c.index.remove(n)
	if c.health.State(n.info.ID) != HealthQuarantined {
		c.index.insert(n)
	}
}

// removeNode removes a worker that left the fleet.
func (c *cache) removeNode(id string) {
	n := c.nodes[id]
	if n == nil {
		return
	}
	c.subtractReported(n)
	c.index.remove(n)
	delete(c.nodes, id)
	last := c.nodeList[len(c.nodeList)-1]
	c.nodeList[n.listIndex], last.listIndex = last, n.listIndex
	c.nodeList[len(c.nodeList)-1] = nil
	c.nodeList = c.nodeList[:len(c.nodeList)-1]
}

// sample calls visit for at most limit workers in pseudo-random order and returns their number.
func (c *cache) sample(limit int, rng *rand.Rand, visit func(*node)) int {
	order := newPermutation(len(c.nodeList), rng)
	count := min(limit, len(c.nodeList))
	for range count {
		visit(c.nodeList[order.next()])
	}
	return count
}

// assume counts a task on a worker before the agent has replied.
func (c *cache) assume(t *TaskInfo, n *node, now time.Time) {
	invariant.Check(t.Need.Fits(n.free), "scheduler_capacity", "task %s needs %+v, worker %s has %+v", t.Ref.Task, t.Need, n.info.ID, n.free)
	invariant.Check(c.placements[t.Ref.Task] == nil, "scheduler_placed_once",
		"task %s is already placed, placed again on %s", t.Ref.Task, n.info.ID)
	p := &placement{task: *t, node: n.info.ID, domain: n.info.Domain, rack: n.info.Rack, expires: now.Add(assumeTTL), assumed: true}
	n.free = n.free.Sub(t.Need)
	n.assumed[t.Ref.Task] = true
	c.index.move(n)
	addResources(c.assumedUse, t.Team, t.Need)
	c.track(p)
}

func (c *cache) track(p *placement) {
	c.placements[p.task.Ref.Task] = p
	addResources(c.ownUse, p.task.Team, p.task.Need)
	s := c.jobs[p.task.JobID]
	if s == nil {
		s = &spreadCount{domains: map[string]int{}, racks: map[string]int{}}
		c.jobs[p.task.JobID] = s
	}
	s.domains[p.domain]++
	s.racks[p.rack]++
}

// removePlacement removes a task that was refused, has ended or was rolled back.
func (c *cache) removePlacement(name string) {
	p := c.placements[name]
	if p == nil {
		return
	}
	n := c.nodes[p.node]
	if p.assumed {
		if n != nil && n.assumed[name] {
			n.free = n.free.Add(p.task.Need)
			c.index.move(n)
		}
		c.clearAssumption(n, p)
	}
	c.untrack(p)
	c.resourcesFreed = true
}

func (c *cache) untrack(p *placement) {
	delete(c.placements, p.task.Ref.Task)
	addResources(c.ownUse, p.task.Team, negate(p.task.Need))
	s := c.jobs[p.task.JobID]
	if s == nil {
		return
	}
	if s.domains[p.domain]--; s.domains[p.domain] == 0 {
		delete(s.domains, p.domain)
	}
	if s.racks[p.rack]--; s.racks[p.rack] == 0 {
		delete(s.racks, p.rack)
	}
	if len(s.domains) == 0 {
		delete(c.jobs, p.task.JobID)
	}
}

// confirm records that the agent admitted the task when its clock was at clock.
func (c *cache) confirm(ref worker.Ref, clock time.Duration) {
	if p := c.placements[ref.Task]; p != nil && p.task.Ref == ref {
		p.accepted, p.clock = true, clock
		if n := c.nodes[p.node]; p.assumed && n != nil && n.info.Clock > clock {
			n.free = n.free.Add(p.task.Need) // the latest report already includes it
			c.clearAssumption(n, p)
			c.index.move(n)
		}
	}
}

// expire removes assumptions for which no reply arrived in time.
func (c *cache) expire(now time.Time) {
	for name, p := range c.placements {
		if p.assumed && now.After(p.expires) {
			if n := c.nodes[p.node]; n != nil && n.assumed[name] {
				n.free = n.free.Add(p.task.Need)
				c.index.move(n)
			}
			c.clearAssumption(c.nodes[p.node], p)
		}
	}
}

// teamUsage is, per resource, the larger of the reported plus assumed usage and the usage by this scheduler's placements.
func (c *cache) teamUsage(team string) worker.Resources {
	all, own := c.reportedUse[team].Add(c.assumedUse[team]), c.ownUse[team]
	return worker.Resources{Cores: max(all.Cores, own.Cores), MemoryMB: max(all.MemoryMB, own.MemoryMB), Accelerators: max(all.Accelerators, own.Accelerators)}
}
