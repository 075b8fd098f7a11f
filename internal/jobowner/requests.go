package jobowner

import (
	"github.com/rotisserie/eris"

	"bamboofork/internal/boottime"
	"bamboofork/internal/events"
	"bamboofork/internal/jobs"
	"bamboofork/internal/session"
)

// storeRetryAfterMs is the Retry-After, in milliseconds, of requests that are refused because the store does not respond. Store
// outages last seconds.
const storeRetryAfterMs = 1000

// reasonStoreUnavailable is the reason given for refusing a job while the store does not respond.
const reasonStoreUnavailable = "store unavailable"

// handleRequest processes a caller's request and sends at most one reply. It sends none if the connection ends first. It also
// sends none if an owner that may have been replaced is to cancel a job that it does not know.
func (o *Owner) handleRequest(member *memberView, request *session.Request) {
	c := member.conn
	reply := func(result session.Reply) {
		result.RequestID = request.ID
		c.Send(session.ToMember{LeaseValid: o.ownership.LeaseValid(), Replies: []session.Reply{result}})
	}
	switch request.Verb {
	case session.VerbSubmit:
		if err := checkSubmission(request); err != nil {
			events.JobRejected.Log(&o.cfg.Log).Str("job", request.JobID).Str("why", err.Error()).Send()
			reply(session.Reply{Code: session.CodeRejected, RetryMs: storeRetryAfterMs, Reason: err.Error()})
			return
		}
		o.submitJob(request, reply)
	case session.VerbCancel:
		o.cancelJob(request, reply)
	case session.VerbGet:
		o.getJob(request, reply)
	case session.VerbPending:
		pending := 0
		if request.Queue != nil {
			pending = o.pendingJobs(request.Queue.Name)
		}
		reply(session.Reply{Code: session.CodeOK, PendingJobs: pending})
	}
}

// checkSubmission returns an error if a submission is incomplete or its job is malformed. The entry has checked the job already,
// but an invalid job in the log would fail every owner that recovers it.
func checkSubmission(request *session.Request) error {
	if request.JobID == "" || request.Queue == nil || request.Spec == nil {
		return eris.New("incomplete submission")
	}
	return request.Spec.Validate()
}

// submitJob accepts a job and replies once the record of the job is durable. It refuses the job while the store does not
// respond. A repeated submission of the same job gets the same reply.
func (o *Owner) submitJob(request *session.Request, reply func(session.Reply)) {
	if job := o.jobsState.Jobs[request.JobID]; job != nil {
		if job.IsDurable {
			reply(session.Reply{Code: session.CodeOK, State: job.DurableState})
			return
		}
		o.extendHold(job, request)
		o.submitReplies[job] = append(o.submitReplies[job], reply)
		return
	}
	if o.hasResigned {
		reply(session.Reply{Code: session.CodeReleased, RetryMs: storeRetryAfterMs, Reason: reasonResigned})
		return
	}
	hold, refusal := o.decideHold(request)
	if refusal != nil {
		reply(*refusal)
		return
	}
	if o.storeStalled() && hold == (heldSubmission{}) {
		events.JobRejected.Log(&o.cfg.Log).Str("job", request.JobID).Str("why", reasonStoreUnavailable).Send()
		reply(session.Reply{Code: session.CodeRejected, RetryMs: storeRetryAfterMs, Reason: reasonStoreUnavailable})
		return
	}
	if o.refuseWithoutMemory(request, reply) {
		return
	}
	submitted := &jobs.Job{ID: request.JobID, Queue: *request.Queue, Spec: *request.Spec, AcceptedMs: o.firstArrivalMs(request)}
	if !o.admit(submitted, reply) {
		return
	}
	o.apply(jobs.Change{Submit: submitted})
	job := o.jobsState.Jobs[request.JobID]
	o.activeJobs[job.ID] = job
	o.memory.set(job.ID, job.MemoryBytes(), boottime.Now())
	o.costs.submitted(job)
	if hold != (heldSubmission{}) {
		o.hold(job, hold, request)
	}
	o.submitReplies[job] = append(o.submitReplies[job], reply)
	o.pendingEffects = append(o.pendingEffects, func() { o.replyToSubmissions(job) })
}

// replyToSubmissions replies to the submissions of a job whose record is durable.
func (o *Owner) replyToSubmissions(job *jobs.Job) {
	replies := o.submitReplies[job]
	delete(o.submitReplies, job)
	if len(replies) == 0 {
		return // rejected in the meantime
	}
	events.JobAccepted.Log(&o.cfg.Log).Str("job", job.ID).Str("queue", job.Queue.Name).Int("steps", len(job.Spec.Steps)).
		Int("tasks", job.TaskCount()).Bool("lasting", job.Spec.Steps[0].Perpetual).Int64("after_ms", wallTimeMs()-job.AcceptedMs).Send()
	for _, reply := range replies {
		reply(session.Reply{Code: session.CodeOK, State: job.DurableState})
	}
}

// rejectUncommitted rejects the submitted jobs that are queued behind an unanswered record, except those that are held. These jobs are in
// no record, so they certainly never run. Their callers need not wait until their own timeouts.
func (o *Owner) rejectUncommitted() {
	now := boottime.Now()
	o.withdrawUncommitted(func(job *jobs.Job) *session.Reply {
		hold, isHeld := o.held[job]
		switch {
		case !isHeld:
			events.JobRejected.Log(&o.cfg.Log).Str("job", job.ID).Str("why", reasonStoreUnavailable).Send()
			return &session.Reply{Code: session.CodeRejected, RetryMs: storeRetryAfterMs, Reason: reasonStoreUnavailable}
		case now < hold.until:
			return nil
		}
		return o.endHold(job, hold, now)
	})
}

// withdrawUncommitted removes the submitted jobs that are in no record and for which reply returns a reply, and sends the reply to all who
// submitted the job. The changes of such a job are removed with it, so that no later record contains it.
func (o *Owner) withdrawUncommitted(reply func(job *jobs.Job) *session.Reply) {
	now := boottime.Now()
	kept, withdrawn := o.pendingChanges[:0], map[string]bool{}
	for _, c := range o.pendingChanges {
		if c.Submit == nil {
			if !withdrawn[c.JobID] { // a cancellation of a rejected job must not cancel a repeated submission
				kept = append(kept, c)
			}
			continue
		}
		job := o.jobsState.Jobs[c.Submit.ID]
		answer := reply(job)
		if answer == nil {
			kept = append(kept, c)
			continue
		}
		withdrawn[job.ID] = true
		delete(o.jobsState.Jobs, job.ID)
		delete(o.activeJobs, job.ID)
		delete(o.held, job)
		o.memory.set(job.ID, 0, now)
		for _, send := range o.submitReplies[job] {
			send(*answer)
		}
		delete(o.submitReplies, job)
	}
	o.pendingChanges = kept
}

// cancelJob cancels a job and replies once the cancellation is durable. An owner that may have been replaced does not reply about a
// job that it does not know, because its successor may know the job.
func (o *Owner) cancelJob(request *session.Request, reply func(session.Reply)) {
	job := o.jobsState.Jobs[request.JobID]
	if job == nil {
		if o.isCurrent() {
			reply(session.Reply{Code: session.CodeUnknown})
		}
		return
	}
	if !job.Ended() {
		o.apply(jobs.Change{JobID: job.ID, Cancel: &jobs.Cancel{AtMs: wallTimeMs()}})
		o.cleanUpJob(job)
	}
	o.pendingEffects = append(o.pendingEffects, func() {
		if !job.IsDurable { // rejected in the meantime; its caller may have submitted it again
			reply(session.Reply{Code: session.CodeRejected, RetryMs: storeRetryAfterMs, Reason: reasonStoreUnavailable})
			return
		}
		reply(session.Reply{Code: session.CodeOK, State: job.DurableState})
	})
	o.wakeCommitLoop()
}

// getJob replies with the durable state of a job. An owner that may have been replaced does not report a job as unknown, because its
// successor may know the job.
func (o *Owner) getJob(request *session.Request, reply func(session.Reply)) {
	job := o.jobsState.Jobs[request.JobID]
	if job != nil && job.IsDurable {
		reply(session.Reply{Code: session.CodeOK, State: job.DurableState})
		return
	}
	if job == nil && o.isCurrent() {
		reply(session.Reply{Code: session.CodeUnknown})
		return
	}
	reply(session.Reply{Code: session.CodeRejected, RetryMs: storeRetryAfterMs, Reason: "owner in doubt"})
}

// pendingJobs returns the number of durable jobs in the queue of which no run is known to have begun on a worker. A job whose tasks are
// placed, and whose starts were not confirmed or were refused, is pending.
func (o *Owner) pendingJobs(queue string) int {
	n := 0
	for _, job := range o.activeJobs {
		if job.Queue.Name == queue && job.IsDurable && !job.HasBegun {
			n++
		}
	}
	return n
}
