package jobowner

import (
	"time"

	"bamboofork/internal/boottime"
	"bamboofork/internal/events"
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

// limitedStarts counts the workers that the last planning pass could not use freely, because runs of several jobs have failed there.
type limitedStarts struct {
	quarantined int // workers that take no starts
	onProbation int // workers that take one start at a time
	reportedAt  time.Duration
}

// limitedStartsInterval is the interval between two reports of workers that do not take all starts.
const limitedStartsInterval = time.Second

// reportLimitedStarts sets the metrics of limitedStarts and, if jobs wait, logs it once per limitedStartsInterval. The snapshot is that of a
// planning pass that is about to begin.
func (o *Owner) reportLimitedStarts(snapshot *placement.Snapshot) {
	l := &o.limitedStarts
	o.cfg.Metrics.Gauge("owner_workers_quarantined").Update(int64(l.quarantined))
	o.cfg.Metrics.Gauge("owner_workers_on_probation").Update(int64(l.onProbation))
	if now := boottime.Now(); len(snapshot.Jobs) > 0 && l.quarantined+l.onProbation > 0 && now >= l.reportedAt+limitedStartsInterval {
		l.reportedAt = now
		events.StartsLimited.Log(&o.cfg.Log).Int("quarantined", l.quarantined).Int("on_probation", l.onProbation).
			Int("workers", l.quarantined+len(snapshot.Workers)).Int("jobs", len(snapshot.Jobs)).Send()
	}
}
