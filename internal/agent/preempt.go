package agent

import (
	"fmt"
	"sort"
	"time"

	"bamboofork/internal/colocation"
	"bamboofork/internal/events"
	"bamboofork/internal/scheduler"
	"bamboofork/internal/wire"
	"bamboofork/internal/worker"
)

// Preempt checkpoints and evicts tasks of lower priority until the resources that an urgent task needs are free. It evicts no
// task if evicting all tasks of lower priority would not free enough resources.
func (s *Service) Preempt(args wire.PreemptArgs, reply *wire.PreemptReply) error {
	if args.Incarnation != s.agent.table.Self().Incarnation {
		reply.Reason = "for an earlier incarnation of this agent"
		return nil
	}
	reply.Evicted, reply.Reason = s.agent.taskRunner.preemptTasks(args)
	return nil
}

// Explain returns the most recent throttling and eviction decisions about a task on this host.
func (s *Service) Explain(args wire.ExplainArgs, reply *wire.ExplainReply) error {
	reply.Code, reply.Records = wire.CodeOK, s.agent.history.Records(args.Task)
	return nil
}

func (r *taskRunner) preemptTasks(args wire.PreemptArgs) (int, string) {
	victims, reason := r.selectVictims(args)
	if reason == "" {
		r.reserveFreedResources(args)
	}
	for _, ref := range victims {
		why := fmt.Sprintf("room for urgent task %s of priority %d", args.Task, args.Priority)
		r.agent.history.Add(scheduler.Record{At: time.Now(), Task: ref.Task, What: string(colocation.ActionEvict), Why: why})
		events.EvictionDecided.Log(&r.agent.log).Str("task", ref.Task).Str("reason", why).Send()
		r.endAttempt(ref, true, "preempted")
	}
	return len(victims), reason
}

// reservation holds resources on this host that were freed for an urgent task.
type reservation struct {
	need  worker.Resources
	until time.Time
}

const (
	// reservationTTL is how long freed resources stay reserved. The owner of the urgent task receives the next load report, which
	// shows the free resources, and places the task within 1 s.
	reservationTTL = 10 * time.Second
	reasonReserved = "room is kept for an urgent task"
)

// reserveFreedResources reserves the resources that preemption frees for an urgent task. The schedulers of other partitions do
// not know that these resources were freed for that task.
func (r *taskRunner) reserveFreedResources(args wire.PreemptArgs) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reservationByTask[args.Task] = reservation{need: args.Need, until: time.Now().Add(reservationTTL)}
}

// blockedByReservation reports whether admitting the task would take resources that are reserved for another task. The
// caller holds r.mu.
func (r *taskRunner) blockedByReservation(task string, need worker.Resources, now time.Time) bool {
	reservedByOthers := false
	for name, reserved := range r.reservationByTask {
		if now.After(reserved.until) {
			delete(r.reservationByTask, name)
			continue
		}
		if name != task {
			reservedByOthers = true
			need = need.Add(reserved.need)
		}
	}
	return reservedByOthers && !need.Fits(r.agent.gate.Usage().FreeResources)
}

// selectVictims returns the attempts to preempt: lowest priority first, then least work done. If preempting all attempts of lower
// priority would not be enough, it returns none and the reason.
func (r *taskRunner) selectVictims(args wire.PreemptArgs) ([]worker.Ref, string) {
	free := r.agent.gate.Usage().FreeResources
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates := []*attempt{}
	for _, t := range r.attemptByRef {
		if t.status.State == worker.StateRunning && scheduler.Preempts(args.Priority, t.spec.Priority) {
			candidates = append(candidates, t)
		}
	}
	sort.Slice(candidates, func(i, j int) bool { return isCheaperToPreempt(candidates[i], candidates[j]) })
	victims := []worker.Ref{}
	for _, t := range candidates {
		if args.Need.Fits(free) {
			break
		}
		free = free.Add(t.spec.Need)
		victims = append(victims, t.spec.Ref)
	}
	if !args.Need.Fits(free) {
		return nil, "lower priority work is not enough"
	}
	return victims, ""
}

func isCheaperToPreempt(a, b *attempt) bool {
	if a.spec.Priority != b.spec.Priority {
		return a.spec.Priority < b.spec.Priority
	}
	if a.workDone != b.workDone {
		return a.workDone < b.workDone
	}
	return a.spec.Ref.Task < b.spec.Ref.Task
}

// historyRecord converts an action of the controller to a record of the decision history.
func historyRecord(action colocation.Action) scheduler.Record {
	why := action.Reason
	if action.Kind != colocation.ActionEvict {
		why = fmt.Sprintf("speed %.2f: %s", action.Speed, why)
	}
	if len(action.Rejected) > 0 {
		why += fmt.Sprintf("; not chosen: %v", action.Rejected)
	}
	return scheduler.Record{At: time.Now(), Task: action.Ref.Task, What: string(action.Kind), Why: why}
}
