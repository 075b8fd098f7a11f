package scheduler

import (
	"math/rand/v2"
	"sync"
	"time"

	"bamboofork/internal/worker"
)

// Cycle is what plugins may look at while one task is decided.
type Cycle struct {
	Now   time.Time
	cache *cache
	opts  *Options
}

// PreFilterPlugin decides about a task before any worker is looked at.
type PreFilterPlugin interface {
	Name() string
	PreFilter(c *Cycle, task *TaskInfo) Status
}

// FilterPlugin decides whether a worker can run a task now.
type FilterPlugin interface {
	Name() string
	Filter(c *Cycle, task *TaskInfo, n *node) Status
}

// ScorePlugin rates a worker for a task, 0 (worst) to 1 (best).
type ScorePlugin interface {
	Name() string
	Score(c *Cycle, task *TaskInfo, n *node) float64
}

// ReservePlugin is told of a choice and of its reversal.
type ReservePlugin interface {
	Name() string
	Reserve(c *Cycle, task *TaskInfo, n *node)
	Unreserve(c *Cycle, task *TaskInfo)
}

// WeightedScore is a score plugin with its weight.
type WeightedScore struct {
	Plugin ScorePlugin
	Weight float64
}

// Profile is the set of plugins of a scheduler.
type Profile struct {
	PreFilters []PreFilterPlugin
	Filters    []FilterPlugin
	Scores     []WeightedScore
	Reserves   []ReservePlugin
}

// DefaultProfile returns the built-in plugins. Interference weighs most, because it decides the latency of quick work;
// the weights of the others order workers that are equal in that.
func DefaultProfile() Profile {
	return Profile{
		PreFilters: []PreFilterPlugin{quotaPlugin{}},
		Filters:    []FilterPlugin{healthFilter{}, avoidFilter{}, fitFilter{}, reservationFilter{}, interferencePlugin{}, exploreFilter{}},
		Scores:     []WeightedScore{{interferencePlugin{}, 4}, {spreadScore{}, 2}, {quickLoadScore{}, 1}, {balanceScore{}, 1}},
		Reserves:   []ReservePlugin{quotaPlugin{}},
	}
}

// Options configures a Scheduler. The zero value places without quotas and without learned interference.
type Options struct {
	Profile Profile                     // default: DefaultProfile
	Share   func(team string) TeamShare // nil: no quotas, equal weights
	Effects func(domain string) Effects // learned interference of a failure domain; nil: not known
	Seed    uint64                      // of the sampling; different schedulers should differ
	Sample  int                         // workers that pass the filters and are scored, default DefaultSample
	MaxLook int                         // workers that are filtered per decision at most, default DefaultMaxLook
	Now     func() time.Time            // default time.Now
}

// Bounds of one decision. More samples improve the choice little: the best of 24 random workers is in the best tenth of
// the fleet with a probability of 92%.
const (
	DefaultSample  = 24
	DefaultMaxLook = 192
)

func (o Options) withDefaults() Options {
	if o.Profile.Filters == nil {
		o.Profile = DefaultProfile()
	}
	if o.Share == nil {
		o.Share = func(string) TeamShare { return TeamShare{Weight: 1} }
	}
	if o.Effects == nil {
		o.Effects = func(string) Effects { return nil }
	}
	if o.Sample == 0 {
		o.Sample = DefaultSample
	}
	if o.MaxLook == 0 {
		o.MaxLook = DefaultMaxLook
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// Scheduler decides for one partition. mu guards all fields below it.
type Scheduler struct {
	opts Options

	mu           sync.Mutex
	cache        *cache
	health       *Health
	queue        *queue
	reservations map[string]*Reservation // by task
	rnd          *rand.Rand
	scratch      span
	width        float64 // workers scored per decision, adapted to the conflicts with other schedulers
	stats        Stats
}

// Stats counts decisions since the start.
type Stats struct {
	Placed, Unplaced, Refused, Backfilled, Reserved, Preempted int64
}

// New returns a scheduler that knows no workers.
func New(opts Options) *Scheduler {
	opts = opts.withDefaults()
	h := NewHealth(HealthConfig{})
	return &Scheduler{
		opts: opts, cache: newCache(h), health: h, queue: newQueue(),
		width: float64(opts.Sample), reservations: map[string]*Reservation{}, rnd: rand.New(rand.NewPCG(opts.Seed, 0x5eed)),
	}
}

// Stats returns the counters.
func (s *Scheduler) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Scheduler) cycle() *Cycle { return &Cycle{Now: s.opts.Now(), cache: s.cache, opts: &s.opts} }

// HealthChange is a worker whose standing changed.
type HealthChange struct {
	ID    string
	State HealthState
}

// Update replaces the set of known workers by the newest reports. Workers that are not in the list are dropped. It
// returns the workers whose standing changed.
func (s *Scheduler) Update(infos []NodeInfo) []HealthChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Now()
	seen := make(map[string]bool, len(infos))
	for _, info := range infos {
		seen[info.ID] = true
		s.health.NoteReport(info.ID, info.Failing, now)
		s.cache.update(info)
	}
	for id := range s.cache.nodes {
		if !seen[id] {
			s.cache.drop(id)
			s.health.Forget(id)
		}
	}
	changes := []HealthChange{}
	for _, id := range s.health.Tick(len(infos), now) {
		changes = append(changes, HealthChange{id, s.health.State(id)})
		if n := s.cache.nodes[id]; n != nil {
			s.cache.reindex(n)
			s.cache.freed = true
		}
	}
	s.cache.expire(now)
	s.expireReservations(now)
	return changes
}

// Adaptation of the number of workers that are scored. Schedulers that choose the best of many collide on the same few
// workers; the best of fewer random ones differ. A refusal in 50 keeps the width near DefaultSample.
const (
	narrowBy  = 0.9  // factor per refusal
	widenBy   = 0.05 // per admission
	leastWide = 2
)

// Confirm notes that the agent admitted the task; clock is the agent's clock at that moment.
func (s *Scheduler) Confirm(ref worker.Ref, clock time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.width = min(float64(s.opts.Sample), s.width+widenBy)
	s.cache.confirm(ref, clock)
}

// Refuse notes that the agent refused the task. free is the agent's free room at its clock, which replaces the stale
// report, so that the same worker is not chosen again on the same mistake.
func (s *Scheduler) Refuse(ref worker.Ref, fresh *NodeInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Refused++
	s.width = max(leastWide, s.width*narrowBy)
	if p := s.cache.placed[ref.Task]; p != nil && p.task.Ref == ref {
		s.cache.forget(ref.Task)
	}
	if fresh != nil {
		if n := s.cache.nodes[fresh.ID]; n != nil && n.info.Incarnation == fresh.Incarnation && fresh.Clock > n.info.Clock {
			info := n.info
			info.Free, info.Clock = fresh.Free, fresh.Clock
			s.cache.update(info)
		}
	}
}

// Ended notes that an attempt left its worker, and returns that worker; empty if the attempt was not known to be placed.
func (s *Scheduler) Ended(ref worker.Ref) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.cache.placed[ref.Task]
	if p == nil || p.task.Ref != ref {
		return ""
	}
	s.cache.forget(ref.Task)
	return p.node
}

// PlacedTask is a task that the ledger has on a worker.
type PlacedTask struct {
	Task TaskInfo
	Node string
}

// Reconcile makes the set of placed tasks equal to the ledger's: it counts those that were placed before this
// scheduler started, and forgets those that ended in other ways than Ended. No placement may be uncommitted meanwhile.
func (s *Scheduler) Reconcile(tasks []PlacedTask) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := make(map[string]bool, len(tasks))
	for _, t := range tasks {
		known[t.Task.Ref.Task] = true
		s.restore(t.Task, t.Node)
	}
	for name := range s.cache.placed {
		if !known[name] {
			s.cache.forget(name)
		}
	}
}

func (s *Scheduler) restore(t TaskInfo, nodeID string) {
	if old := s.cache.placed[t.Ref.Task]; old != nil {
		if old.task.Ref == t.Ref {
			return
		}
		s.cache.forget(t.Ref.Task)
	}
	p := &placed{task: t, node: nodeID, accepted: true}
	if n := s.cache.nodes[nodeID]; n != nil {
		p.domain, p.rack = n.info.Domain, n.info.Rack
	}
	s.cache.track(p)
}

// NoteEnd is evidence about a worker and a job; see Health.
func (s *Scheduler) NoteEnd(nodeID, job string, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.NoteEnd(nodeID, job, failed, s.opts.Now())
}

// JobAtFault reports whether the job failed on so many workers that the job and not the workers is blamed.
func (s *Scheduler) JobAtFault(job string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health.JobAtFault(job)
}
