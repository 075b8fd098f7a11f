package scheduler

import (
	"math/rand/v2"
	"sync"
	"time"

	"bamboofork/internal/worker"
)

// Cycle is the context passed to plugins for one scheduling decision.
type Cycle struct {
	Now   time.Time
	cache *cache
	opts  *Options
}

// PreFilterPlugin accepts or rejects a task before any worker is examined.
type PreFilterPlugin interface {
	Name() string
	PreFilter(c *Cycle, task *TaskInfo) Status
}

// FilterPlugin reports whether a worker can run a task now.
type FilterPlugin interface {
	Name() string
	Filter(c *Cycle, task *TaskInfo, n *node) Status
}

// ScorePlugin rates a worker for a task, 0 (worst) to 1 (best).
type ScorePlugin interface {
	Name() string
	Score(c *Cycle, task *TaskInfo, n *node) float64
}

// ReservePlugin is notified when a task is assumed on a worker, and when that is rolled back.
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

// Profile is the set of plugins that a scheduler runs.
type Profile struct {
	PreFilters []PreFilterPlugin
	Filters    []FilterPlugin
	Scores     []WeightedScore
	Reserves   []ReservePlugin
}

// DefaultProfile returns the built-in plugins. Interference has the largest weight because it determines the latency of
// latency-critical work; the other weights order workers with equal interference.
func DefaultProfile() Profile {
	return Profile{
		PreFilters: []PreFilterPlugin{quotaPlugin{}},
		Filters:    []FilterPlugin{healthFilter{}, avoidFilter{}, fitFilter{}, reservationFilter{}, interferencePlugin{}, exploreFilter{}},
		Scores:     []WeightedScore{{interferencePlugin{}, 4}, {spreadScore{}, 2}, {quickLoadScore{}, 1}, {balanceScore{}, 1}},
		Reserves:   []ReservePlugin{quotaPlugin{}},
	}
}

// Options configures a Scheduler. The zero value has no quotas and no learned interference.
type Options struct {
	Profile           Profile                               // default: DefaultProfile
	TeamShare         func(team string) TeamShare           // nil: no quotas, equal weights
	InterferenceModel func(domain string) InterferenceModel // learned interference of a failure domain; nil: unknown
	Seed              uint64                                // seed of the worker sampling; should differ between schedulers
	SampleSize        int                                   // feasible workers scored per decision, default DefaultSampleSize
	MaxExamined       int                                   // maximum number of workers filtered per decision, default DefaultMaxExamined
	Now               func() time.Time                      // default time.Now
}

// Sampling limits of one decision. Larger samples improve the choice little: the best of 24 random workers is in the
// best tenth of the fleet with a probability of 92%.
const (
	DefaultSampleSize  = 24
	DefaultMaxExamined = 192
)

func (o Options) withDefaults() Options {
	if o.Profile.Filters == nil {
		o.Profile = DefaultProfile()
	}
	if o.TeamShare == nil {
		o.TeamShare = func(string) TeamShare { return TeamShare{Weight: 1} }
	}
	if o.InterferenceModel == nil {
		o.InterferenceModel = func(string) InterferenceModel { return nil }
	}
	if o.SampleSize == 0 {
		o.SampleSize = DefaultSampleSize
	}
	if o.MaxExamined == 0 {
		o.MaxExamined = DefaultMaxExamined
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// Scheduler makes the placement decisions of one partition. mu guards all fields below it.
type Scheduler struct {
	opts Options

	mu           sync.Mutex
	cache        *cache
	health       *HealthTracker
	queue        *queue
	reservations map[string]*Reservation // by task name
	rng          *rand.Rand
	candidates   candidateSet
	sampleSize   float64 // feasible workers scored per decision, adapted to the conflict rate
	stats        Stats
}

// Stats counts decisions since the scheduler was created.
type Stats struct {
	Placed, Unplaced, Refused, Backfilled, Reserved, Preempted int64
}

// New returns a scheduler without workers.
func New(opts Options) *Scheduler {
	opts = opts.withDefaults()
	h := NewHealthTracker(HealthConfig{})
	return &Scheduler{
		opts: opts, cache: newCache(h), health: h, queue: newQueue(),
		sampleSize: float64(opts.SampleSize), reservations: map[string]*Reservation{}, rng: rand.New(rand.NewPCG(opts.Seed, 0x5eed)),
	}
}

// Stats returns the counters.
func (s *Scheduler) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Scheduler) cycle() *Cycle { return &Cycle{Now: s.opts.Now(), cache: s.cache, opts: &s.opts} }

// HealthChange is a worker with its new health state.
type HealthChange struct {
	ID    string
	State HealthState
}

// Update replaces the set of known workers by the latest reports. Workers that are not in the list are removed. It
// returns the workers whose health state changed.
func (s *Scheduler) Update(infos []NodeInfo) []HealthChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Now()
	seen := make(map[string]bool, len(infos))
	for _, info := range infos {
		seen[info.ID] = true
		s.health.RecordReport(info.ID, info.WorkerFailing, now)
		s.cache.update(info)
	}
	for id := range s.cache.nodes {
		if !seen[id] {
			s.cache.removeNode(id)
			s.health.RemoveWorker(id)
		}
	}
	changes := []HealthChange{}
	for _, id := range s.health.Evaluate(len(infos), now) {
		changes = append(changes, HealthChange{id, s.health.State(id)})
		if n := s.cache.nodes[id]; n != nil {
			s.cache.reindex(n)
			s.cache.resourcesFreed = true
		}
	}
	s.cache.expire(now)
	s.expireReservations(now)
	return changes
}

// Adaptation of the sample size to conflicts (additive increase, multiplicative decrease). Schedulers that pick the best
// of a large sample collide on the same few workers; with smaller random samples they pick different ones. At one refusal
// in 50 placements the sample size stays near DefaultSampleSize.
const (
	sampleDecrease = 0.9  // factor applied per refusal
	sampleIncrease = 0.05 // added per admission
	minSampleSize  = 2
)

// TaskAdmitted records that the agent admitted the task; clock is the agent's clock at admission.
func (s *Scheduler) TaskAdmitted(ref worker.Ref, clock time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sampleSize = min(float64(s.opts.SampleSize), s.sampleSize+sampleIncrease)
	s.cache.confirm(ref, clock)
}

// TaskRefused records that the agent refused the task. fresh, if not nil, has the agent's current free resources and clock,
// which replace those of the stale report, so that the worker is not chosen again on the same outdated data.
func (s *Scheduler) TaskRefused(ref worker.Ref, fresh *NodeInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Refused++
	s.sampleSize = max(minSampleSize, s.sampleSize*sampleDecrease)
	if p := s.cache.placements[ref.Task]; p != nil && p.task.Ref == ref {
		s.cache.removePlacement(ref.Task)
	}
	if fresh != nil {
		if n := s.cache.nodes[fresh.ID]; n != nil && n.info.Incarnation == fresh.Incarnation && fresh.Clock > n.info.Clock {
			info := n.info
			info.Free, info.Clock = fresh.Free, fresh.Clock
			s.cache.update(info)
		}
	}
}

// TaskEnded records that an attempt ended. It returns the ID of its worker, empty if the attempt was not known to be placed.
func (s *Scheduler) TaskEnded(ref worker.Ref) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.cache.placements[ref.Task]
	if p == nil || p.task.Ref != ref {
		return ""
	}
	s.cache.removePlacement(ref.Task)
	return p.node
}

// PlacedTask is a task that is placed on a worker according to the ledger.
type PlacedTask struct {
	Task TaskInfo
	Node string
}

// Reconcile makes the set of placed tasks equal to the ledger's: it adds tasks that were placed before this scheduler
// started, and removes tasks whose end was not reported through TaskEnded. It must not be called while a placement is
// not yet committed to the ledger, because that placement would be removed.
func (s *Scheduler) Reconcile(tasks []PlacedTask) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := make(map[string]bool, len(tasks))
	for _, t := range tasks {
		known[t.Task.Ref.Task] = true
		s.restore(t.Task, t.Node)
	}
	for name := range s.cache.placements {
		if !known[name] {
			s.cache.removePlacement(name)
		}
	}
}

func (s *Scheduler) restore(t TaskInfo, nodeID string) {
	if old := s.cache.placements[t.Ref.Task]; old != nil {
		if old.task.Ref == t.Ref {
			return
		}
		s.cache.removePlacement(t.Ref.Task)
	}
	p := &placement{task: t, node: nodeID, accepted: true}
	if n := s.cache.nodes[nodeID]; n != nil {
		p.domain, p.rack = n.info.Domain, n.info.Rack
	}
	s.cache.track(p)
}

// RecordResult records the result of a task as evidence about its worker and its job; see HealthTracker.
func (s *Scheduler) RecordResult(nodeID, job string, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.RecordResult(nodeID, job, failed, s.opts.Now())
}

// JobAtFault reports whether the job failed on so many workers that its failures are attributed to the job.
func (s *Scheduler) JobAtFault(job string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health.JobAtFault(job)
}
