package jobowner

import (
	"slices"
	"time"

	"bamboofork/internal/boottime"
	"bamboofork/internal/events"
	"bamboofork/internal/jobs"
	"bamboofork/internal/placement"
	"bamboofork/internal/session"
)

// changedSuspicion returns what this owner remembers about the worker of the member if the agent does not have it yet, and otherwise nil.
// The agent keeps it for the next owner.
func (o *Owner) changedSuspicion(member *memberView) *session.Suspicion {
	s := o.workerHealth.Suspicion(member.Name)
	if !member.Agent || s == member.sentSuspicion {
		return nil
	}
	member.sentSuspicion = s
	if s == (placement.Suspicion{}) {
		return &session.Suspicion{}
	}
	return &session.Suspicion{FailedJobs: s.FailedJobCount, LastFailedJob: s.LastFailedJob, QuarantineMs: s.QuarantineMs,
		NoStartForMs: s.NoStartUntilMs - bootTimeMs()}
}

// restoreSuspicion continues with what previous owners remembered about the worker of the member.
func (o *Owner) restoreSuspicion(member *memberView, s *session.Suspicion) {
	o.workerHealth.Restore(member.Name, placement.Suspicion{FailedJobCount: s.FailedJobs, LastFailedJob: s.LastFailedJob,
		QuarantineMs: s.QuarantineMs, NoStartUntilMs: bootTimeMs() + s.NoStartForMs})
}

// recordOutcome updates the health of the worker and of the job with the outcome of a run. The failure of a sound run says nothing about
// the worker, nor about how the other runs of the job will end.
func (o *Owner) recordOutcome(worker string, placed *placedTask, outcome jobs.Outcome) {
	if placed.isSound {
		return
	}
	if o.workerHealth.Record(worker, placed.job.ID, outcome, bootTimeMs()) {
		o.cfg.Metrics.Counter("owner_jobs_at_fault").Inc(1)
		events.JobAtFault.Log(&o.cfg.Log).Str("job", placed.job.ID).Str("task", placed.id.String()).Str("agent", worker).Send()
	}
}

// noteSoundRun records when a perpetual run becomes sound. Perpetual runs never end with success, so this is the only evidence that their
// job is not at fault.
func (o *Owner) noteSoundRun(placed *placedTask) {
	if placed.isSound || !placed.step.Perpetual || !placed.task.RunStarted || placed.task.Stopping ||
		!placement.IsSoundRun(placed.task.PlacedMs, bootTimeMs()) {
		return
	}
	placed.isSound = true
	o.workerHealth.ForgetJob(placed.job.ID)
}

// limitedStarts holds the workers that the last snapshot could not use freely, because runs of several jobs have failed there.
type limitedStarts struct {
	quarantined int             // number of workers that take no starts
	onProbation map[string]bool // workers that take one start at a time
	reportedAt  time.Duration
}

// limitStarts limits the starts on suspect workers and sets those that take none apart in the snapshot.
func (o *Owner) limitStarts(snapshot *placement.Snapshot) {
	o.workerHealth.LimitStarts(snapshot.Workers, snapshot.BootTimeMs)
	l := &o.limitedStarts
	l.quarantined, l.onProbation = 0, map[string]bool{}
	snapshot.Workers = slices.DeleteFunc(snapshot.Workers, func(w *placement.Worker) bool {
		if w.MaxStarts > 0 {
			l.onProbation[w.Name] = true
		}
		if w.MaxStarts == 0 {
			l.quarantined++
			snapshot.Quarantined = append(snapshot.Quarantined, w)
		}
		return w.MaxStarts == 0
	})
}

// limitedStartsInterval is the interval between two reports of workers that do not take all starts.
const limitedStartsInterval = time.Second

// reportLimitedStarts sets the metrics of limitedStarts and, if jobs wait, logs it once per limitedStartsInterval. The snapshot is that of a
// planning pass that is about to begin.
func (o *Owner) reportLimitedStarts(snapshot *placement.Snapshot) {
	l := &o.limitedStarts
	o.cfg.Metrics.Gauge("owner_workers_quarantined").Update(int64(l.quarantined))
	o.cfg.Metrics.Gauge("owner_workers_on_probation").Update(int64(len(l.onProbation)))
	if now := boottime.Now(); len(snapshot.Jobs) > 0 && l.quarantined+len(l.onProbation) > 0 && now >= l.reportedAt+limitedStartsInterval {
		l.reportedAt = now
		events.StartsLimited.Log(&o.cfg.Log).Int("quarantined", l.quarantined).Int("on_probation", len(l.onProbation)).
			Int("workers", l.quarantined+len(snapshot.Workers)).Int("jobs", len(snapshot.Jobs)).Send()
	}
}
