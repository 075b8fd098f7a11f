package partition

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"bamboofork/internal/colocation"
	"bamboofork/internal/events"
	"bamboofork/internal/ledger"
	"bamboofork/internal/membership"
	"bamboofork/internal/scheduler"
	"bamboofork/internal/wire"
	"bamboofork/internal/worker"
)

// Timing and limits of the planner's inputs.
const (
	loadReportInterval          = 200 * time.Millisecond // interval of the agents' load reports
	interferenceMergeInterval   = time.Second            // interval of merging the interference estimates
	reconcileInterval           = time.Second            // interval of comparing the scheduler's placements with the ledger
	avoidFailedWorkerDuration   = 30 * time.Second       // how long a task avoids a worker after failing on it
	avoidReservedWorkerDuration = 5 * time.Second        // how long a task avoids a worker that reserves its resources for an urgent task
	maxAvoidTasks               = 4096                   // maximum number of tasks with workers to avoid
)

// planner holds the placement state of one owner: its scheduler, the task size corrections, the merged interference
// estimates and the newest decisions. It is safe for concurrent use; mu guards avoidUntil, largestCapacity and nodes.
type planner struct {
	zlog                 zerolog.Logger
	sched                *scheduler.Scheduler
	sizing               *scheduler.UsageCorrector
	history              *scheduler.History
	teamShareFunc        atomic.Pointer[func(string) scheduler.TeamShare]
	interferenceByDomain atomic.Pointer[map[string]*colocation.MergedModel]

	mu              sync.Mutex
	avoidUntil      map[string]map[string]time.Time // task -> worker ID -> until when the task avoids the worker
	largestCapacity worker.Resources                // maximum cores and maximum memory of all known workers, not always of the same worker
	nodes           []scheduler.NodeInfo            // newest snapshot of the known workers
}

func newPlanner(id int, zlog zerolog.Logger) *planner {
	p := &planner{zlog: zlog, sizing: scheduler.NewUsageCorrector(), history: scheduler.NewHistory(),
		avoidUntil: map[string]map[string]time.Time{}}
	p.sched = scheduler.New(scheduler.Options{Seed: uint64(id), TeamShare: p.teamShare, InterferenceModel: p.interferenceModel})
	return p
}

func (p *planner) setTeamShare(share func(string) scheduler.TeamShare) {
	if share != nil {
		p.teamShareFunc.Store(&share)
	}
}

func (p *planner) teamShare(team string) scheduler.TeamShare {
	if share := p.teamShareFunc.Load(); share != nil {
		return (*share)(team)
	}
	return scheduler.TeamShare{Weight: 1}
}

// wholeFleetDomain is the key of the interference model merged over all known members. Failure domains without estimates
// of their own use that model.
const wholeFleetDomain = ""

// interferenceModel returns the interference model of a failure domain; nil before the first merge.
func (p *planner) interferenceModel(domain string) scheduler.InterferenceModel {
	byDomain := p.interferenceByDomain.Load()
	if byDomain == nil {
		return nil
	}
	if m := (*byDomain)[domain]; m != nil && m.Len() > 0 {
		return m
	}
	return (*byDomain)[wholeFleetDomain]
}

// mergeInterferenceEstimates merges the interference estimates that the members report, by failure domain and for the
// whole fleet.
func (p *planner) mergeInterferenceEstimates(members []membership.Member) {
	lists := map[string][][]colocation.Pair{}
	for _, m := range members {
		if len(m.Load.Pairs) > 0 {
			lists[m.Domain] = append(lists[m.Domain], m.Load.Pairs)
			lists[wholeFleetDomain] = append(lists[wholeFleetDomain], m.Load.Pairs)
		}
	}
	merged := map[string]*colocation.MergedModel{wholeFleetDomain: colocation.Merge()}
	for domain, list := range lists {
		merged[domain] = colocation.Merge(list...)
	}
	p.interferenceByDomain.Store(&merged)
}

// updateWorkers updates the workers from the load reports of their agents.
func (p *planner) updateWorkers(members []membership.Member) {
	nodes := make([]scheduler.NodeInfo, 0, len(members))
	largest := worker.Resources{}
	for _, m := range members {
		n := NodeInfo(m)
		nodes = append(nodes, n)
		largest.Cores = max(largest.Cores, n.Capacity.Cores)
		largest.MemoryMB = max(largest.MemoryMB, n.Capacity.MemoryMB)
	}
	p.mu.Lock()
	p.largestCapacity, p.nodes = largest, nodes
	p.mu.Unlock()
	for _, c := range p.sched.Update(nodes) {
		p.logHealth(c)
	}
}

func (p *planner) logHealth(c scheduler.HealthChange) {
	ev := events.WorkerRestored
	switch c.State {
	case scheduler.HealthQuarantined:
		ev = events.WorkerQuarantined
	case scheduler.HealthProbation:
		ev = events.WorkerProbation
	}
	ev.Log(&p.zlog).Str("worker", c.ID).Send()
}

// taskInfo describes an attempt of a task for the scheduler. Resources and run time are corrected by measured usage.
func (p *planner) taskInfo(job *ledger.Job, index, attempt int) *scheduler.TaskInfo {
	need, run := p.sizing.Correct(job.Kind, job.Team, job.Need, job.Run)
	p.mu.Lock()
	defer p.mu.Unlock()
	// A correction must not make a task too large for every worker.
	need.Cores = min(need.Cores, max(job.Need.Cores, p.largestCapacity.Cores))
	need.MemoryMB = min(need.MemoryMB, max(job.Need.MemoryMB, p.largestCapacity.MemoryMB))
	ref := ledger.TaskRef(job.ID, index, attempt)
	return &scheduler.TaskInfo{
		Ref: ref, JobID: job.ID, Kind: job.Kind, Team: job.Team, Need: need, ExpectedRunTime: run, Priority: job.Priority,
		SubmittedAt: job.Submitted, Deadline: job.Deadline, AvoidUntil: p.workersToAvoid(ref.Task, job.Tasks[index].FailedOn), MayProbe: job.Idempotent,
	}
}

// knownWorkers returns the newest snapshot of the known workers. The caller must not modify it.
func (p *planner) knownWorkers() []scheduler.NodeInfo {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.nodes
}

// workersToAvoid returns the IDs of the workers that a task avoids, each with the end of that time. The workers in failedOn are
// included, so that the next attempt shows whether the worker or the job is at fault. If the task would avoid all known
// workers, the result is nil, because the task would never be placed otherwise. The caller holds mu.
func (p *planner) workersToAvoid(task string, failedOn []string) map[string]time.Time {
	avoid := p.recentlyAvoided(task)
	for _, id := range failedOn {
		if avoid == nil {
			avoid = map[string]time.Time{}
		}
		avoid[id] = time.Now().Add(avoidFailedWorkerDuration) // renewed whenever the task is described again
	}
	for i := range p.nodes {
		if _, avoided := avoid[p.nodes[i].ID]; !avoided {
			return avoid
		}
	}
	return nil
}

// recentlyAvoided removes the expired entries of avoidUntil for a task and returns a copy of the others; nil if there
// are none. The caller holds mu.
func (p *planner) recentlyAvoided(task string) map[string]time.Time {
	until := p.avoidUntil[task]
	if until == nil {
		return nil
	}
	now := time.Now()
	maps.DeleteFunc(until, func(_ string, end time.Time) bool { return now.After(end) })
	if len(until) == 0 {
		delete(p.avoidUntil, task)
		return nil
	}
	return maps.Clone(until)
}

func (p *planner) avoidWorker(task, id string, duration time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.avoidUntil[task] == nil {
		if len(p.avoidUntil) >= maxAvoidTasks {
			return
		}
		p.avoidUntil[task] = map[string]time.Time{}
	}
	p.avoidUntil[task][id] = time.Now().Add(duration)
}

// endedTask holds the job data that the planner needs when a task of the job ends.
type endedTask struct {
	job, kind, team string
	declared        worker.Resources
	declaredRun     time.Duration
}

// taskEnded updates the size corrections and the worker health from the end of an attempt.
func (p *planner) taskEnded(e endedTask, t wire.TaskReport) {
	node := p.sched.TaskEnded(t.Ref)
	switch t.State {
	case worker.StateDone:
		p.sizing.Observe(scheduler.TaskUsage{
			Kind: e.kind, Team: e.team, Job: e.job, Declared: e.declared, Used: t.Used, DeclaredRunTime: e.declaredRun,
			MeasuredRunTime: t.Ran,
		})
		p.sched.RecordResult(node, e.job, false)
	case worker.StateFailed:
		wasAtFault := p.sched.JobAtFault(e.job)
		p.sched.RecordResult(node, e.job, true)
		p.avoidWorker(t.Ref.Task, node, avoidFailedWorkerDuration)
		if !wasAtFault && p.sched.JobAtFault(e.job) {
			events.JobAtFault.Log(&p.zlog).Str("job", e.job).Str("reason", t.Reason).Send()
		}
	}
	p.recordDecision(t.Ref.Task, "ended", string(t.State)+" "+t.Reason)
}

// recordDecision records a decision about a task for Service.Explain.
func (p *planner) recordDecision(task, what, why string) {
	p.history.Add(scheduler.Record{At: time.Now(), Task: task, What: what, Why: why})
}

// latestDecision returns the reason of the newest decision about a task; empty if there is none.
func (p *planner) latestDecision(task string) string {
	records := p.history.Records(task)
	if len(records) == 0 {
		return ""
	}
	return records[len(records)-1].Why
}

// Explain returns the newest decisions about a task of an owned partition.
func (s *Service) Explain(args wire.ExplainArgs, reply *wire.ExplainReply) error {
	o := s.m.owner(args.Partition)
	if o == nil {
		reply.Code = wire.CodeNotOwner
		return nil
	}
	reply.Code, reply.Records = wire.CodeOK, o.planner.history.Records(args.Task)
	return nil
}
