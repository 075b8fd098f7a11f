package jobowner

import (
	"context"
	"math/rand/v2"
	"time"

	"bamboofork/internal/app"
	"bamboofork/internal/boottime"
	"bamboofork/internal/events"
	"bamboofork/internal/jobs"
	"bamboofork/internal/outage"
	"bamboofork/internal/session"
)

// heldSubmission is a submitted job in no record that may wait for the store.
type heldSubmission struct {
	since time.Duration // boot time at which the job was submitted
	until time.Duration // boot time from which the job is turned away while the store does not respond
	// comeBack is when the caller should come back after that.
	comeBack time.Duration
	bytes    int
}

// holdCheckInterval is how often the ends of holds are checked. It fits several times into the reserve for an answer.
const holdCheckInterval = 25 * time.Millisecond

// reasonResigned is the reason given for a submission that an owner releases when it resigns.
const reasonResigned = "the owner of the jobs has resigned"

// decideHold decides whether a submission may wait for a store that does not respond. It returns a refusal if it may not. It returns
// neither a hold nor a refusal if holds are off or the request does not say how long its caller waits. While the store responds, a
// submission is always held, because the store may fall silent before the record is written.
func (o *Owner) decideHold(request *session.Request) (heldSubmission, *session.Reply) {
	if o.cfg.SilentStore == nil || request.RemainingMs <= 0 {
		return heldSubmission{}, nil
	}
	now := boottime.Now()
	situation := outage.Situation{Silent: o.silentFor(now), Remaining: time.Duration(request.RemainingMs) * time.Millisecond,
		Held: len(o.held), HeldBytes: o.heldBytes(), Bytes: request.Spec.Msgsize(), Spread: rand.Float64()}
	decision := o.cfg.SilentStore.Decide(situation)
	if !decision.Hold && o.storeStalled() {
		events.JobRejected.Log(&o.cfg.Log).Str("job", request.JobID).Str("why", reasonStoreUnavailable).Str("hold", decision.Reason).
			Int64("silent_ms", situation.Silent.Milliseconds()).Int64("remaining_ms", request.RemainingMs).Int("held", situation.Held).
			Int("held_bytes", situation.HeldBytes).Int64("come_back_ms", decision.ComeBack.Milliseconds()).Send()
		o.cfg.Metrics.Counter("owner_submissions_turned_away").Inc(1)
		o.refusals.note(request.JobID, arrivalMs(request, wallTimeMs()))
		return heldSubmission{}, &session.Reply{Code: session.CodeRejected, RetryMs: decision.ComeBack.Milliseconds(), Reason: reasonStoreUnavailable}
	}
	return heldSubmission{since: now, until: now + decision.HoldFor, comeBack: decision.ComeBack, bytes: situation.Bytes}, nil
}

// hold begins the hold of a job that is in no record.
func (o *Owner) hold(job *jobs.Job, hold heldSubmission, request *session.Request) {
	o.held[job] = hold
	if o.storeStalled() {
		events.JobHeld.Log(&o.cfg.Log).Str("job", job.ID).Int64("silent_ms", o.silentFor(hold.since).Milliseconds()).
			Int64("remaining_ms", request.RemainingMs).Int64("hold_ms", (hold.until-hold.since).Milliseconds()).Int("held", len(o.held)).
			Int("held_bytes", o.heldBytes()).Send()
	}
}

// extendHold extends the hold of a job that is submitted again: it is turned away when the holds of all its submissions have ended.
func (o *Owner) extendHold(job *jobs.Job, request *session.Request) {
	hold, isHeld := o.held[job]
	if !isHeld || request.RemainingMs <= 0 {
		return
	}
	now := boottime.Now()
	decision := o.cfg.SilentStore.Decide(outage.Situation{Silent: o.silentFor(now), Spread: rand.Float64(),
		Remaining: time.Duration(request.RemainingMs) * time.Millisecond})
	hold.until = max(hold.until, now+decision.HoldFor)
	o.held[job] = hold
}

// endHold returns the refusal of a job whose hold is over.
func (o *Owner) endHold(job *jobs.Job, hold heldSubmission, now time.Duration) *session.Reply {
	events.JobRejected.Log(&o.cfg.Log).Str("job", job.ID).Str("why", reasonStoreUnavailable).Int64("silent_ms", o.silentFor(now).Milliseconds()).
		Int64("held_ms", (now-hold.since).Milliseconds()).Int("held", len(o.held)).Int64("come_back_ms", hold.comeBack.Milliseconds()).Send()
	o.cfg.Metrics.Counter("owner_submissions_turned_away").Inc(1)
	o.refusals.note(job.ID, job.AcceptedMs)
	return &session.Reply{Code: session.CodeRejected, RetryMs: hold.comeBack.Milliseconds(), Reason: reasonStoreUnavailable}
}

// maxWaitedMs bounds the time for which an entry can say that it has had a request, in milliseconds.
const maxWaitedMs = 30_000

// firstArrivalMs returns when the job that is accepted now arrived first, in Unix milliseconds: when its caller was first refused, or when
// the request arrived at its entry. A caller that comes back, or that waited for an owner, must not wait behind those that came later.
func (o *Owner) firstArrivalMs(request *session.Request) int64 {
	now := wallTimeMs()
	arrivedMs := now
	if o.cfg.SilentStore != nil {
		arrivedMs = arrivalMs(request, now)
	}
	if firstMs := o.refusals.firstMs(request.JobID, now); firstMs > 0 {
		arrivedMs = min(arrivedMs, firstMs)
	}
	return arrivedMs
}

// arrivalMs returns when the request arrived at its entry.
func arrivalMs(request *session.Request, now int64) int64 {
	if request.WaitedMs < 0 || request.WaitedMs > maxWaitedMs {
		return now
	}
	return now - request.WaitedMs
}

// silentFor returns how long the write of the current record has been unanswered; 0 if there is none.
func (o *Owner) silentFor(now time.Duration) time.Duration {
	if o.appendStartedAt == 0 {
		return 0
	}
	return now - o.appendStartedAt
}

func (o *Owner) heldBytes() int {
	total := 0
	for _, hold := range o.held {
		total += hold.bytes
	}
	return total
}

// holdLoop turns away the held submissions whose hold is over, until ctx is done.
func (o *Owner) holdLoop(ctx context.Context) {
	if o.cfg.SilentStore == nil {
		return
	}
	app.Every(ctx, holdCheckInterval, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.storeStalled() {
			o.rejectUncommitted()
		}
		o.reportHeld()
	})
}

// reportHeld sets the metrics of what is held.
func (o *Owner) reportHeld() {
	count, oldest, now := 0, time.Duration(0), boottime.Now()
	if o.storeStalled() {
		count = len(o.held)
		for _, hold := range o.held {
			oldest = max(oldest, now-hold.since)
		}
	}
	o.cfg.Metrics.Gauge("owner_submissions_held").Update(int64(count))
	o.cfg.Metrics.Gauge("owner_submissions_held_oldest_ms").Update(oldest.Milliseconds())
}

// takeHeld ends the holds of the jobs whose changes are taken into a record. It is called after the previous record was answered.
func (o *Owner) takeHeld() {
	served, longest, now := 0, time.Duration(0), boottime.Now()
	for _, hold := range o.held {
		if waited := now - hold.since; waited >= minHoldReported {
			served, longest = served+1, max(longest, waited)
		}
	}
	if served > 0 {
		o.cfg.Metrics.Counter("owner_submissions_served_after_hold").Inc(int64(served))
		events.HoldsEnded.Log(&o.cfg.Log).Int("served", served).Int64("longest_ms", longest.Milliseconds()).
			Int64("silence_ended_ms_ago", (now - o.stalledUntil).Milliseconds()).Send()
	}
	clear(o.held)
}

// minHoldReported is how long a submission has waited for its record at least to count as held. Records of a slow store take less.
const minHoldReported = storeStallTimeout

// releaseHeld withdraws all submissions that are in no record and tells the entries so, which then wait for the next owner. Later
// submissions are released on arrival.
func (o *Owner) releaseHeld() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.cfg.SilentStore == nil {
		return
	}
	o.hasResigned = true
	o.withdrawUncommitted(func(job *jobs.Job) *session.Reply {
		events.JobRejected.Log(&o.cfg.Log).Str("job", job.ID).Str("why", reasonResigned).Send()
		return &session.Reply{Code: session.CodeReleased, RetryMs: storeRetryAfterMs, Reason: reasonResigned}
	})
}
