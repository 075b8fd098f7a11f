package jobowner

import (
	"time"

	"bamboofork/internal/boottime"
	"bamboofork/internal/events"
	"bamboofork/internal/jobs"
	"bamboofork/internal/placement"
	"bamboofork/internal/session"
)

// reasonNoRoom is the reason given for refusing a job that would end too late to be of use.
const reasonNoRoom = "no room in time"

// minOwnerAge is how long an owner has served before it refuses jobs for want of room. Until then, agents are still reporting.
const minOwnerAge = 5 * time.Second

// admit reports whether a submission is to be recorded. It refuses a job that by the work ahead of it surely ends too late to be of any
// use to its caller, and replies to it. Nothing of a refused job is recorded, so it certainly never runs. The objective of a job counts from
// its AcceptedMs, see firstArrivalMs.
func (o *Owner) admit(submitted *jobs.Job, reply func(session.Reply)) bool {
	if o.costs == nil {
		return true
	}
	if o.shortage == nil || boottime.Now() < o.servingSince+minOwnerAge || submitted.Spec.Repeats > 0 || submitted.Spec.Steps[0].Perpetual {
		return true
	}
	state := jobs.NewState()
	state.Apply(jobs.Change{Submit: submitted})
	job := state.Jobs[submitted.ID]
	if job == nil {
		return true
	}
	delay := placement.DelayOf(o.costs.model, job)
	waitedMs := max(0, wallTimeMs()-submitted.AcceptedMs)
	delay.SlackMs -= float64(waitedMs)
	waitMs := o.shortage.WaitMs(submitted.Queue.Priority, &delay)
	if !delay.IsHopeless(waitMs) || o.workerSnapshot().MayStartNow(job) {
		return true
	}
	retryMs := delay.RetryMs(submitted.ID, waitMs)
	o.refusals.note(submitted.ID, submitted.AcceptedMs)
	o.countRefusal(submitted.Queue.Name, delay.Worth)
	events.JobHopeless.Log(&o.cfg.Log).Str("job", submitted.ID).Str("queue", submitted.Queue.Name).Float64("wait_ms", waitMs).
		Float64("slack_ms", delay.SlackMs).Float64("objective_ms", delay.ObjectiveMs).Float64("doubt_ms", delay.DoubtMs).
		Float64("work", delay.Work).Float64("worth", delay.Worth).Int64("waited_ms", waitedMs).Int64("retry_ms", retryMs).Send()
	reply(session.Reply{Code: session.CodeRejected, RetryMs: retryMs, Reason: reasonNoRoom})
	return false
}

// maxMeteredQueues bounds the number of queues with metrics of their own.
const maxMeteredQueues = 64

// countRefusal counts a refused job and its worth, by queue. The worth is in thousandths of that of a job of mean work.
func (o *Owner) countRefusal(queue string, worth float64) {
	o.cfg.Metrics.Counter("owner_jobs_hopeless").Inc(1)
	if o.meteredQueues == nil {
		o.meteredQueues = map[string]bool{}
	}
	if !o.meteredQueues[queue] {
		if len(o.meteredQueues) >= maxMeteredQueues {
			return
		}
		o.meteredQueues[queue] = true
	}
	o.cfg.Metrics.Counter("owner_jobs_hopeless_worth_" + queue).Inc(int64(1000 * worth))
}

// noteShortage keeps what a planning pass has found out about the room and the work that waits.
func (o *Owner) noteShortage(snapshot *placement.Snapshot) {
	o.shortage = snapshot.Shortage
	if o.costs == nil {
		return
	}
	freeCPU := 0
	for _, w := range snapshot.Workers {
		if !w.Closed {
			freeCPU += max(0, w.Free.CPU)
		}
	}
	o.cfg.Metrics.Gauge("owner_free_cpu").Update(int64(freeCPU))
	o.cfg.Metrics.Gauge("owner_shortage_ms").Update(int64(o.shortage.LongestMs()))
}
