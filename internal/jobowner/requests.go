package jobowner

import (
	"bamboofork/internal/events"
	"bamboofork/internal/jobs"
	"bamboofork/internal/session"
)

// storeRetryMs is the Retry-After of requests that are refused because the store does not respond; its outages last seconds.
const storeRetryMs = 1000

// reasonStoreUnavailable is the reason given for refusing a job while the store does not respond.
const reasonStoreUnavailable = "store unavailable"

// handleRequest processes a caller's request. It sends at most one reply: none if the connection ends first, or to the
// cancellation of a job that an owner without a confirmed lease does not know.
func (o *Owner) handleRequest(m *member, r *session.Request) {
	c := m.conn
	reply := func(rep session.Reply) {
		rep.RequestID = r.ID
		c.Send(session.ToMember{LeaseValid: o.ownership.LeaseValid(), Replies: []session.Reply{rep}})
	}
	switch r.Verb {
	case session.VerbSubmit:
		o.submitJob(r, reply)
	case session.VerbCancel:
		o.cancelJob(r, reply)
	case session.VerbGet:
		o.getJob(r, reply)
	case session.VerbPending:
		reply(session.Reply{Code: session.CodeOK, Pending: o.pendingJobs(r.Queue.Name)})
	}
}

func (o *Owner) submitJob(r *session.Request, reply func(session.Reply)) {
	if j := o.state.Jobs[r.JobID]; j != nil {
		if j.Durable {
			reply(session.Reply{Code: session.CodeOK, State: j.DurableState})
			return
		}
		o.submitReplies[j.ID] = append(o.submitReplies[j.ID], reply)
		return
	}
	if o.storeStalled() {
		events.JobRejected.Log(&o.cfg.Log).Str("job", r.JobID).Str("why", reasonStoreUnavailable).Send()
		reply(session.Reply{Code: session.CodeRejected, RetryMs: storeRetryMs, Reason: reasonStoreUnavailable})
		return
	}
	o.apply(jobs.Change{Submit: &jobs.Job{ID: r.JobID, Queue: *r.Queue, Spec: *r.Spec, AcceptedMs: wallMs()}})
	j := o.state.Jobs[r.JobID]
	o.active[j.ID] = j
	o.submitReplies[j.ID] = append(o.submitReplies[j.ID], reply)
	o.effects = append(o.effects, func() { o.replyToSubmissions(j) })
}

// replyToSubmissions replies to the submissions of a job whose record is durable.
func (o *Owner) replyToSubmissions(j *jobs.Job) {
	replies := o.submitReplies[j.ID]
	delete(o.submitReplies, j.ID)
	if len(replies) == 0 {
		return // rejected in the meantime
	}
	events.JobAccepted.Log(&o.cfg.Log).Str("job", j.ID).Str("queue", j.Queue.Name).Int("steps", len(j.Spec.Steps)).
		Int("tasks", j.Tasks()).Bool("lasting", j.Spec.Steps[0].Perpetual).Int64("after_ms", wallMs()-j.AcceptedMs).Send()
	for _, reply := range replies {
		reply(session.Reply{Code: session.CodeOK, State: j.DurableState})
	}
}

// rejectUncommitted rejects the submitted jobs that are queued behind an unanswered record. They are in no record, so it is
// certain that they never run, and their callers need not wait until their timeout.
func (o *Owner) rejectUncommitted() {
	kept := o.pending[:0]
	for _, c := range o.pending {
		if c.Submit == nil {
			kept = append(kept, c)
			continue
		}
		id := c.Submit.ID
		delete(o.state.Jobs, id)
		delete(o.active, id)
		events.JobRejected.Log(&o.cfg.Log).Str("job", id).Str("why", reasonStoreUnavailable).Send()
		for _, reply := range o.submitReplies[id] {
			reply(session.Reply{Code: session.CodeRejected, RetryMs: storeRetryMs, Reason: reasonStoreUnavailable})
		}
		delete(o.submitReplies, id)
	}
	o.pending = kept
}

func (o *Owner) cancelJob(r *session.Request, reply func(session.Reply)) {
	j := o.state.Jobs[r.JobID]
	if j == nil {
		if o.ownership.LeaseValid() {
			reply(session.Reply{Code: session.CodeUnknown})
		}
		return
	}
	if !j.Ended() {
		o.apply(jobs.Change{JobID: j.ID, Cancel: &jobs.Cancel{AtMs: wallMs()}})
		o.cleanUpJob(j)
	}
	o.effects = append(o.effects, func() { reply(session.Reply{Code: session.CodeOK, State: j.DurableState}) })
	o.wakeCommitLoop()
}

// getJob replies from durable state only. An owner without a confirmed lease does not report a job as unknown, because a
// successor may know it.
func (o *Owner) getJob(r *session.Request, reply func(session.Reply)) {
	j := o.state.Jobs[r.JobID]
	if j != nil && j.Durable {
		reply(session.Reply{Code: session.CodeOK, State: j.DurableState})
		return
	}
	if j == nil && o.ownership.LeaseValid() {
		reply(session.Reply{Code: session.CodeUnknown})
		return
	}
	reply(session.Reply{Code: session.CodeRejected, RetryMs: storeRetryMs, Reason: "owner in doubt"})
}

func (o *Owner) pendingJobs(queue string) int {
	n := 0
	for _, j := range o.active {
		if j.Queue.Name == queue && j.Durable && !j.Started {
			n++
		}
	}
	return n
}
