package jobowner

import (
	"bamboofork/internal/events"
	"bamboofork/internal/jobs"
	"bamboofork/internal/session"
)

// retryStoreMs is the Retry-After of a job that is refused because the store does not answer; its outages last seconds.
const retryStoreMs = 1000

// storeAway is the reason of such refusals.
const storeAway = "store unavailable"

// request takes in a caller's request. Every request gets one answer, unless the connection ends first.
func (o *Owner) request(m *member, r *session.Request) {
	c := m.conn
	answer := func(a session.Answer) {
		a.N = r.N
		c.Send(session.ToMember{Confirmed: o.tenure.Confirmed(), Answers: []session.Answer{a}})
	}
	switch r.Verb {
	case session.VerbSubmit:
		o.submit(r, answer)
	case session.VerbCancel:
		o.cancel(r, answer)
	case session.VerbGet:
		o.get(r, answer)
	case session.VerbPending:
		answer(session.Answer{Code: session.CodeOK, Pending: o.pendingJobs(r.Queue.Name)})
	}
}

func (o *Owner) submit(r *session.Request, answer func(session.Answer)) {
	if j := o.state.Jobs[r.JobID]; j != nil {
		if j.Durable {
			answer(session.Answer{Code: session.CodeOK, State: j.Shown})
			return
		}
		o.submitted[j.ID] = append(o.submitted[j.ID], answer)
		return
	}
	if o.stuck() {
		events.JobRejected.Log(&o.cfg.Log).Str("job", r.JobID).Str("why", storeAway).Send()
		answer(session.Answer{Code: session.CodeRejected, RetryMs: retryStoreMs, Reason: storeAway})
		return
	}
	o.apply(jobs.Change{Submit: &jobs.Job{ID: r.JobID, Queue: *r.Queue, Spec: *r.Spec, AcceptedMs: wallMs()}})
	j := o.state.Jobs[r.JobID]
	o.active[j.ID] = j
	o.submitted[j.ID] = append(o.submitted[j.ID], answer)
	o.effects = append(o.effects, func() { o.accepted(j) })
}

// accepted answers the callers of a job whose record is durable.
func (o *Owner) accepted(j *jobs.Job) {
	answers := o.submitted[j.ID]
	delete(o.submitted, j.ID)
	if len(answers) == 0 {
		return // refused meanwhile
	}
	events.JobAccepted.Log(&o.cfg.Log).Str("job", j.ID).Str("queue", j.Queue.Name).Int("steps", len(j.Spec.Steps)).
		Int("tasks", j.Tasks()).Bool("lasting", j.Spec.Steps[0].Perpetual).Int64("after_ms", wallMs()-j.AcceptedMs).Send()
	for _, answer := range answers {
		answer(session.Answer{Code: session.CodeOK, State: j.Shown})
	}
}

// refuseUnwritten refuses the jobs that wait behind a record which the store does not answer. They are in no record, so
// it is certain that they never run, and their callers need not wait for the end of their time.
func (o *Owner) refuseUnwritten() {
	kept := o.pending[:0]
	for _, c := range o.pending {
		if c.Submit == nil {
			kept = append(kept, c)
			continue
		}
		id := c.Submit.ID
		delete(o.state.Jobs, id)
		delete(o.active, id)
		events.JobRejected.Log(&o.cfg.Log).Str("job", id).Str("why", storeAway).Send()
		for _, answer := range o.submitted[id] {
			answer(session.Answer{Code: session.CodeRejected, RetryMs: retryStoreMs, Reason: storeAway})
		}
		delete(o.submitted, id)
	}
	o.pending = kept
}

func (o *Owner) cancel(r *session.Request, answer func(session.Answer)) {
	j := o.state.Jobs[r.JobID]
	if j == nil {
		if o.tenure.Confirmed() {
			answer(session.Answer{Code: session.CodeUnknown})
		}
		return
	}
	if !j.Ended() {
		o.apply(jobs.Change{JobID: j.ID, Cancel: &jobs.Cancel{AtMs: wallMs()}})
		o.jobEnded(j)
	}
	o.effects = append(o.effects, func() { answer(session.Answer{Code: session.CodeOK, State: j.Shown}) })
	o.signal()
}

// get answers from durable state only. A doubtful owner does not call a job unknown, because a successor may know it.
func (o *Owner) get(r *session.Request, answer func(session.Answer)) {
	j := o.state.Jobs[r.JobID]
	if j != nil && j.Durable {
		answer(session.Answer{Code: session.CodeOK, State: j.Shown})
		return
	}
	if j == nil && o.tenure.Confirmed() {
		answer(session.Answer{Code: session.CodeUnknown})
		return
	}
	answer(session.Answer{Code: session.CodeRejected, RetryMs: retryStoreMs, Reason: "owner in doubt"})
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
