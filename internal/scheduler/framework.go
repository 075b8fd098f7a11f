package scheduler

import (
	"math/rand/v2"
	"sync"
	"time"

	"bamboofork/internal/worker"
)

// Cycle is the context passed to the plugins for one scheduling decision.
type Cycle struct {
	Now   time.Time
	cache *cache
	opts  *Options
}

// PreFilterPlugin accepts or rejects a task before workers are examined.
type PreFilterPlugin interface {
	Name() string
	PreFilter(cycle *Cycle, task *TaskInfo) Status
}

// FilterPlugin reports whether a worker can run a task now.
type FilterPlugin interface {
	Name() string
	Filter(cycle *Cycle, task *TaskInfo, cached *node) Status
}

// ScorePlugin returns the score of a worker for a task, from 0 (worst) to 1 (best).
type ScorePlugin interface {
	Name() string
	Score(cycle *Cycle, task *TaskInfo, cached *node) float64
}

// ReservePlugin is notified when a task is assumed on a worker, and when the assumption is rolled back.
type ReservePlugin interface {
	Name() string
	Reserve(cycle *Cycle, task *TaskInfo, cached *node)
	Unreserve(cycle *Cycle, task *TaskInfo)
}

// WeightedScore is a score plugin with the weight of its score in the sum.
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
// latency-critical work. The other weights mainly order workers with equal interference.
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
	InterferenceModel func(domain string) InterferenceModel // learned interference in a failure domain; nil: unknown
	Seed              uint64                                // seed of the worker sampling; should differ between schedulers
	SampleSize        int                                   // feasible workers scored per decision, default DefaultSampleSize
	MaxExamined       int                                   // maximum number of workers filtered per decision, default DefaultMaxExamined
	Now               func() time.Time                      // default time.Now
}

// Default sampling limits of one decision. Larger samples improve the choice little: the best of 24 random workers is among
// the best tenth of the fleet with a probability of 92%.
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

	mu                sync.Mutex
	cache             *cache
	health            *HealthTracker
	queue             *queue
	reservationByTask map[string]*Reservation // by task name
	rng               *rand.Rand
	candidates        candidateSet
	sampleSize        float64 // feasible workers scored per decision, adapted to the conflict rate
	stats             Stats
}

// Stats counts the decisions since the scheduler was created. Reserved counts reservations without a preemption.
type Stats struct {
	Placed, Unplaced, Refused, Backfilled, Reserved, Preempted int64
}

// New returns a scheduler without workers.
func New(opts Options) *Scheduler {
	opts = opts.withDefaults()
	health := NewHealthTracker(HealthConfig{})
	return &Scheduler{
		opts: opts, cache: newCache(health), health: health, queue: newQueue(),
		sampleSize: float64(opts.SampleSize), reservationByTask: map[string]*Reservation{}, rng: rand.New(rand.NewPCG(opts.Seed, 0x5eed)),
	}
}

// Stats returns the counters.
func (s *Scheduler) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Scheduler) newCycle() *Cycle {
	return &Cycle{Now: s.opts.Now(), cache: s.cache, opts: &s.opts}
}

// HealthChange is the ID of a worker with its new health state.
type HealthChange struct {
	ID    string
	State HealthState
}

// Update replaces the set of known workers by the latest reports. Workers without a report are removed. Update also removes
// expired assumptions and reservations. It returns the workers whose health state changed.
func (s *Scheduler) Update(infos []NodeInfo) []HealthChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Now()
	reportedIDs := make(map[string]bool, len(infos))
	for _, info := range infos {
		reportedIDs[info.ID] = true
		s.health.RecordReport(info.ID, info.IsWorkerFailing, now)
		s.cache.applyReport(info)
	}
	for id := range s.cache.nodeByID {
		if !reportedIDs[id] {
			s.cache.removeNode(id)
			s.health.RemoveWorker(id)
		}
	}
	healthChanges := []HealthChange{}
	for _, id := range s.health.UpdateStates(len(infos), now) {
		healthChanges = append(healthChanges, HealthChange{id, s.health.State(id)})
		if cached := s.cache.nodeByID[id]; cached != nil {
			s.cache.updateIndex(cached)
			s.cache.resourcesFreed = true
		}
	}
	s.cache.expireAssumptions(now)
	s.expireReservations(now)
	return healthChanges
}

// Adaptation of the sample size to refused placements (additive increase, multiplicative decrease). Schedulers that pick the
// best worker of a large sample often pick the same few workers. With smaller random samples, they pick different workers. At
// one refusal in 50 placements, the sample size stays near DefaultSampleSize.
const (
	sampleDecreaseFactor = 0.9  // factor applied per refusal
	sampleSizeIncrement  = 0.05 // workers added per admission
	minSampleSize        = 2
)

// TaskAdmitted records that the agent admitted the task; clock is the agent's clock at admission.
func (s *Scheduler) TaskAdmitted(ref worker.Ref, clock time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sampleSize = min(float64(s.opts.SampleSize), s.sampleSize+sampleSizeIncrement)
	s.cache.confirmAdmission(ref, clock)
}

// TaskRefused records that the agent refused the task. currentInfo may be nil; otherwise it has the agent's current free
// resources and clock. They replace those of the stale report, so that the worker is not chosen again on outdated data.
func (s *Scheduler) TaskRefused(ref worker.Ref, currentInfo *NodeInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Refused++
	s.sampleSize = max(minSampleSize, s.sampleSize*sampleDecreaseFactor)
	if placed := s.cache.placementByTask[ref.Task]; placed != nil && placed.task.Ref == ref {
		s.cache.removePlacement(ref.Task)
	}
	if currentInfo != nil {
		if cached := s.cache.nodeByID[currentInfo.ID]; cached != nil && cached.info.Incarnation == currentInfo.Incarnation &&
			currentInfo.AgentClock > cached.info.AgentClock {
			updatedInfo := cached.info
			updatedInfo.Free, updatedInfo.AgentClock = currentInfo.Free, currentInfo.AgentClock
			s.cache.applyReport(updatedInfo)
		}
	}
}

// TaskEnded records that an attempt ended. It returns the ID of the worker on which the attempt ran, empty if the scheduler does
// not know a placement of the attempt.
func (s *Scheduler) TaskEnded(ref worker.Ref) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	placed := s.cache.placementByTask[ref.Task]
	if placed == nil || placed.task.Ref != ref {
		return ""
	}
	s.cache.removePlacement(ref.Task)
	return placed.node
}

// PlacedTask is a task that is placed on a worker according to the ledger.
type PlacedTask struct {
	Task TaskInfo
	Node string // ID of the worker
}

// Reconcile makes the set of placements equal to the placements in the ledger. It adds tasks that were placed before this
// scheduler started, and removes tasks whose end was not reported through TaskEnded. Reconcile must not be called while a
// placement is not yet committed to the ledger, because it would remove that placement.
func (s *Scheduler) Reconcile(tasks []PlacedTask) {
	s.mu.Lock()
	defer s.mu.Unlock()
	inLedger := make(map[string]bool, len(tasks))
	for _, placedTask := range tasks {
		inLedger[placedTask.Task.Ref.Task] = true
		s.restorePlacement(placedTask.Task, placedTask.Node)
	}
	for name := range s.cache.placementByTask {
		if !inLedger[name] {
			s.cache.removePlacement(name)
		}
	}
}

func (s *Scheduler) restorePlacement(task TaskInfo, nodeID string) {
	if earlier := s.cache.placementByTask[task.Ref.Task]; earlier != nil {
		if earlier.task.Ref == task.Ref {
			return
		}
		s.cache.removePlacement(task.Ref.Task)
	}
	placed := &placement{task: task, node: nodeID, isAdmitted: true}
	if cached := s.cache.nodeByID[nodeID]; cached != nil {
		placed.domain, placed.rack = cached.info.Domain, cached.info.Rack
	}
	s.cache.addPlacement(placed)
}

// RecordResult records whether a task failed, for the health of its worker and of its job; see HealthTracker.
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
