package scheduler

import (
	"math/rand/v2"
	"time"

	"bamboofork/internal/invariant"
	"bamboofork/internal/worker"
)

// assumeTTL drops an assumption about a placement whose answer was lost. The next report of the agent has the truth.
const assumeTTL = 10 * time.Second

// placed is a task that this scheduler placed and that has not ended.
type placed struct {
	task     TaskInfo
	node     string
	domain   string
	rack     string
	expires  time.Time     // of an assumption without an answer
	accepted bool          // the agent answered
	clock    time.Duration // the agent's clock at its answer
	assumed  bool          // not in a report yet
}

// spreadCount counts a job's tasks by domain and rack.
type spreadCount struct{ domains, racks map[string]int }

// cache is the scheduler's picture of the fleet: reports plus assumptions. It is guarded by its Scheduler.
type cache struct {
	nodes    map[string]*node
	list     []*node // all nodes, for sampling
	index    index
	health   *Health
	placed   map[string]*placed // by task name
	jobs     map[string]*spreadCount
	own      map[string]worker.Resources // by team: tasks of this scheduler
	reported map[string]worker.Resources // by team: in reports, over all schedulers
	pending  map[string]worker.Resources // by team: assumed and not in a report yet
	total    worker.Resources            // capacity of the fleet
	freed    bool                        // room or quota came free since the last look
}

func newCache(h *Health) *cache {
	return &cache{
		nodes: map[string]*node{}, health: h, placed: map[string]*placed{}, jobs: map[string]*spreadCount{},
		own: map[string]worker.Resources{}, reported: map[string]worker.Resources{}, pending: map[string]worker.Resources{},
	}
}

func addTo(m map[string]worker.Resources, key string, r worker.Resources) {
	sum := m[key].Add(r)
	if sum.Cores < 1e-9 && sum.Cores > -1e-9 && sum.MemoryMB == 0 && sum.Accelerators == 0 {
		delete(m, key)
		return
	}
	m[key] = sum
}

func negative(r worker.Resources) worker.Resources { return worker.Resources{}.Sub(r) }

// update takes in a report. Assumptions that the report already counts are dropped.
func (c *cache) update(info NodeInfo) {
	n := c.nodes[info.ID]
	if n == nil {
		n = &node{bucket: -1, assumed: map[string]bool{}, listed: len(c.list)}
		c.nodes[info.ID] = n
		c.list = append(c.list, n)
		c.freed = true
	} else if n.info.Incarnation == info.Incarnation && n.info.Clock == info.Clock && info.Clock != 0 {
		return
	}
	c.uncount(n)
	before := n.free
	n.info, n.free = info, info.Free
	c.count(n)
	for name := range n.assumed {
		c.settle(n, name)
	}
	c.freed = c.freed || n.free.Cores > before.Cores+0.01 || n.free.MemoryMB > before.MemoryMB || n.free.Accelerators > before.Accelerators
	c.reindex(n)
}

func (c *cache) count(n *node) {
	c.total = c.total.Add(n.info.Capacity)
	for team, r := range n.info.Teams {
		addTo(c.reported, team, r)
	}
}

func (c *cache) uncount(n *node) {
	c.total = c.total.Sub(n.info.Capacity)
	for team, r := range n.info.Teams {
		addTo(c.reported, team, negative(r))
	}
}

// settle keeps an assumption that is not in the report, and drops one that is.
func (c *cache) settle(n *node, name string) {
	p := c.placed[name]
	if p == nil || !p.assumed {
		delete(n.assumed, name)
		return
	}
	if p.accepted && n.info.Clock > p.clock {
		c.unassume(n, p)
		return
	}
	n.free = n.free.Sub(p.task.Need)
}

// unassume forgets that a task is not in a report yet. The free room of the worker is not changed.
func (c *cache) unassume(n *node, p *placed) {
	p.assumed = false
	addTo(c.pending, p.task.Team, negative(p.task.Need))
	if n != nil {
		delete(n.assumed, p.task.Ref.Task)
	}
}

// reindex puts a worker into or out of the index.
func (c *cache) reindex(n *node) {
	c.index.remove(n)
	if c.health.State(n.info.ID) != HealthQuarantined {
		c.index.insert(n)
	}
}

// drop forgets a worker that left.
func (c *cache) drop(id string) {
	n := c.nodes[id]
	if n == nil {
		return
	}
	c.uncount(n)
	c.index.remove(n)
	delete(c.nodes, id)
	last := c.list[len(c.list)-1]
	c.list[n.listed], last.listed = last, n.listed
	c.list[len(c.list)-1] = nil
	c.list = c.list[:len(c.list)-1]
}

// sample calls visit for at most limit workers in a scattered order.
func (c *cache) sample(limit int, rnd *rand.Rand, visit func(*node)) int {
	o := newOrder(len(c.list), rnd)
	looked := min(limit, len(c.list))
	for range looked {
		visit(c.list[o.step()])
	}
	return looked
}

// assume counts a task on a worker before the agent has answered.
func (c *cache) assume(t *TaskInfo, n *node, now time.Time) {
	invariant.Check(t.Need.Fits(n.free), "scheduler_capacity", "task %s needs %+v, worker %s has %+v", t.Ref.Task, t.Need, n.info.ID, n.free)
	invariant.Check(c.placed[t.Ref.Task] == nil, "scheduler_placed_once", "task %s is placed on %s", t.Ref.Task, n.info.ID)
	p := &placed{task: *t, node: n.info.ID, domain: n.info.Domain, rack: n.info.Rack, expires: now.Add(assumeTTL), assumed: true}
	n.free = n.free.Sub(t.Need)
	n.assumed[t.Ref.Task] = true
	c.index.move(n)
	addTo(c.pending, t.Team, t.Need)
	c.track(p)
}

func (c *cache) track(p *placed) {
	c.placed[p.task.Ref.Task] = p
	addTo(c.own, p.task.Team, p.task.Need)
	s := c.jobs[p.task.JobID]
	if s == nil {
		s = &spreadCount{domains: map[string]int{}, racks: map[string]int{}}
		c.jobs[p.task.JobID] = s
	}
	s.domains[p.domain]++
	s.racks[p.rack]++
}

// forget removes a task that was refused, ended or was rolled back.
func (c *cache) forget(name string) {
	p := c.placed[name]
	if p == nil {
		return
	}
	n := c.nodes[p.node]
	if p.assumed {
		if n != nil && n.assumed[name] {
			n.free = n.free.Add(p.task.Need)
			c.index.move(n)
		}
		c.unassume(n, p)
	}
	c.untrack(p)
	c.freed = true
}

func (c *cache) untrack(p *placed) {
	delete(c.placed, p.task.Ref.Task)
	addTo(c.own, p.task.Team, negative(p.task.Need))
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

// confirm notes that the agent admitted the task at its clock.
func (c *cache) confirm(ref worker.Ref, clock time.Duration) {
	if p := c.placed[ref.Task]; p != nil && p.task.Ref == ref {
		p.accepted, p.clock = true, clock
		if n := c.nodes[p.node]; p.assumed && n != nil && n.info.Clock > clock {
			n.free = n.free.Add(p.task.Need) // the newest report counts it already
			c.unassume(n, p)
			c.index.move(n)
		}
	}
}

// expire drops assumptions whose answer never came.
func (c *cache) expire(now time.Time) {
	for name, p := range c.placed {
		if p.assumed && now.After(p.expires) {
			if n := c.nodes[p.node]; n != nil && n.assumed[name] {
				n.free = n.free.Add(p.task.Need)
				c.index.move(n)
			}
			c.unassume(c.nodes[p.node], p)
		}
	}
}

// teamUse is the larger of what reports and assumptions show and what this scheduler placed.
func (c *cache) teamUse(team string) worker.Resources {
	seen, own := c.reported[team].Add(c.pending[team]), c.own[team]
	return worker.Resources{Cores: max(seen.Cores, own.Cores), MemoryMB: max(seen.MemoryMB, own.MemoryMB), Accelerators: max(seen.Accelerators, own.Accelerators)}
}
