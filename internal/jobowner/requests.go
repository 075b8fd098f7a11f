package jobowner

import (
	"bamboofork/internal/events"
	"bamboofork/internal/jobs"
	"bamboofork/internal/session"
)

// retryStoreMs is the Retry-After of a job that is refused because the store does not answer; its outages last seconds.
const retryStoreMs = 1000

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
		o.effects = append(o.effects, func() { answer(session.Answer{Code: session.CodeOK, State: j.Shown}) })
		return
	}
	if o.stuck() {
		events.JobRejected.Log(&o.cfg.Log).Str("job", r.JobID).Str("why", "the store does not answer").Send()
		answer(session.Answer{Code: session.CodeRejected, RetryMs: retryStoreMs, Reason: "store unavailable"})
		return
	}
	o.apply(jobs.Change{Submit: &jobs.Job{ID: r.JobID, Queue: *r.Queue, Spec: *r.Spec, AcceptedMs: wallMs()}})
	j := o.state.Jobs[r.JobID]
	o.active[j.ID] = j
	o.effects = append(o.effects, func() {
		events.JobAccepted.Log(&o.cfg.Log).Str("job", j.ID).Str("queue", j.Queue.Name).Int("steps", len(j.Spec.Steps)).
			Int("tasks", j.Tasks()).Bool("lasting", j.Spec.Steps[0].Perpetual).
			Int64("after_ms", wallMs()-j.AcceptedMs).Send()
		answer(session.Answer{Code: session.CodeOK, State: j.Shown})
	})
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
