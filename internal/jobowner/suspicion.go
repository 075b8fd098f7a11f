package jobowner

import (
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
