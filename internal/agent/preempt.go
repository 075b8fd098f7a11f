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

// Preempt evicts lower priority tasks by checkpoint until the resources that an urgent task needs are free. It evicts
// nothing if evicting all of them would not be enough.
func (s *Service) Preempt(args wire.PreemptArgs, reply *wire.PreemptReply) error {
	if args.Incarnation != s.agent.table.Self().Incarnation {
		reply.Reason = "for an earlier incarnation of this agent"
		return nil
	}
	reply.Evicted, reply.Reason = s.agent.tasks.preempt(args)
	return nil
}

// Explain returns the most recent throttling and eviction decisions about a task on this host.
func (s *Service) Explain(args wire.ExplainArgs, reply *wire.ExplainReply) error {
	reply.Code, reply.Records = wire.CodeOK, s.agent.history.Records(args.Task)
	return nil
}

func (r *taskRunner) preempt(args wire.PreemptArgs) (int, string) {
	victims, reason := r.victims(args)
	if reason == "" {
		r.reserveFreed(args)
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
	// reservationTTL is how long freed resources stay reserved. The owner sees them in the next load report and places
	// the task within 1 s.
	reservationTTL = 10 * time.Second
	reasonReserved = "room is kept for an urgent task"
)

// reserveFreed reserves the freed resources, because the schedulers of other partitions do not know for which task they
// were freed.
func (r *taskRunner) reserveFreed(args wire.PreemptArgs) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reservations[args.Task] = reservation{need: args.Need, until: time.Now().Add(reservationTTL)}
}

// blockedByReservation reports whether admitting the task would take resources that are reserved for another task. The
// caller holds r.mu.
func (r *taskRunner) blockedByReservation(task string, need worker.Resources, now time.Time) bool {
	others := false
	for name, reserved := range r.reservations {
		if now.After(reserved.until) {
			delete(r.reservations, name)
			continue
		}
		if name != task {
			others = true
			need = need.Add(reserved.need)
		}
	}
	return others && !need.Fits(r.agent.gate.Usage().FreeResources)
}

// victims selects the tasks to checkpoint: lowest priority first, then least work done.
func (r *taskRunner) victims(args wire.PreemptArgs) ([]worker.Ref, string) {
	free := r.agent.gate.Usage().FreeResources
	r.mu.Lock()
	defer r.mu.Unlock()
	list := []*attempt{}
	for _, t := range r.attempts {
		if t.status.State == worker.StateRunning && scheduler.Preempts(args.Priority, t.spec.Priority) {
			list = append(list, t)
		}
	}
	sort.Slice(list, func(i, j int) bool { return cheaperToPreempt(list[i], list[j]) })
	out := []worker.Ref{}
	for _, t := range list {
		if args.Need.Fits(free) {
			break
		}
		free = free.Add(t.spec.Need)
		out = append(out, t.spec.Ref)
	}
	if !args.Need.Fits(free) {
		return nil, "lower priority work is not enough"
	}
	return out, ""
}

func cheaperToPreempt(a, b *attempt) bool {
	if a.spec.Priority != b.spec.Priority {
		return a.spec.Priority < b.spec.Priority
	}
	if a.work != b.work {
		return a.work < b.work
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
