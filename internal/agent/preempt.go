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

// Preempt checkpoints lower priority tasks until the need of an urgent task is free. It evicts nothing if that is not
// enough.
func (s *Service) Preempt(args wire.PreemptArgs, reply *wire.PreemptReply) error {
	if args.Incarnation != s.a.table.Self().Incarnation {
		reply.Reason = "for an earlier incarnation of this agent"
		return nil
	}
	reply.Evicted, reply.Reason = s.a.tasks.preempt(args)
	return nil
}

// Explain returns the newest throttles and evictions of a task on this host.
func (s *Service) Explain(args wire.ExplainArgs, reply *wire.ExplainReply) error {
	reply.Code, reply.Records = wire.CodeOK, s.a.history.Of(args.Task)
	return nil
}

func (r *taskRunner) preempt(args wire.PreemptArgs) (int, string) {
	victims, reason := r.victims(args)
	if reason == "" {
		r.keep(args)
	}
	for _, ref := range victims {
		why := fmt.Sprintf("room for urgent task %s of priority %d", args.Task, args.Priority)
		r.a.history.Add(scheduler.Record{At: time.Now(), Task: ref.Task, What: string(colocation.ActionEvict), Why: why})
		events.EvictionDecided.Log(&r.a.log).Str("task", ref.Task).Str("reason", why).Send()
		r.end(ref, true, "preempted")
	}
	return len(victims), reason
}

// keptRoom is room on this host that was freed for an urgent task.
type keptRoom struct {
	need  worker.Resources
	until time.Time
}

const (
	// keepFor is how long freed room is kept. The owner sees it in the next load report and places within 1 s.
	keepFor    = 10 * time.Second
	reasonKept = "room is kept for an urgent task"
)

// keep reserves the freed room, because schedulers of other partitions do not know what it was freed for.
func (r *taskRunner) keep(args wire.PreemptArgs) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept[args.Task] = keptRoom{need: args.Need, until: time.Now().Add(keepFor)}
}

// keptFromOthers reports whether admitting the task would take room that is kept for another one. r.mu is held.
func (r *taskRunner) keptFromOthers(task string, need worker.Resources, now time.Time) bool {
	others := false
	for name, k := range r.kept {
		if now.After(k.until) {
			delete(r.kept, name)
			continue
		}
		if name != task {
			others = true
			need = need.Add(k.need)
		}
	}
	return others && !need.Fits(r.a.gate.Usage().Free)
}

// victims picks the tasks to checkpoint: the lowest priority first, then the least work done.
func (r *taskRunner) victims(args wire.PreemptArgs) ([]worker.Ref, string) {
	free := r.a.gate.Usage().Free
	r.mu.Lock()
	defer r.mu.Unlock()
	list := []*attempt{}
	for _, t := range r.attempts {
		if t.status.State == worker.StateRunning && scheduler.Preempts(args.Priority, t.spec.Priority) {
			list = append(list, t)
		}
	}
	sort.Slice(list, func(i, j int) bool { return cheaper(list[i], list[j]) })
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

func cheaper(a, b *attempt) bool {
	if a.spec.Priority != b.spec.Priority {
		return a.spec.Priority < b.spec.Priority
	}
	if a.work != b.work {
		return a.work < b.work
	}
	return a.spec.Ref.Task < b.spec.Ref.Task
}

// recordOf keeps an action of the controller for explanations.
func recordOf(action colocation.Action) scheduler.Record {
	why := action.Reason
	if action.Kind != colocation.ActionEvict {
		why = fmt.Sprintf("speed %.2f: %s", action.Share, why)
	}
	if len(action.Rejected) > 0 {
		why += fmt.Sprintf("; not chosen: %v", action.Rejected)
	}
	return scheduler.Record{At: time.Now(), Task: action.Ref.Task, What: string(action.Kind), Why: why}
}
