package jobfront

import (
	"context"
	"math/rand/v2"
	"time"

	"bamboofork/internal/app"
	"bamboofork/internal/boottime"
	"bamboofork/internal/events"
	"bamboofork/internal/outage"
	"bamboofork/internal/ownerconn"
	"bamboofork/internal/queues"
	"bamboofork/internal/session"
)

// ownerSilenceLimit is how long an owner may send nothing before it gets no submissions and cancellations. An owner that was lost stays
// connected for up to session.IdleTimeout, and what is sent to it meanwhile can no longer be reported as not run. A live owner sends a
// message at least every 450 ms.
const ownerSilenceLimit = 700 * time.Millisecond

// noteOwner records that an owner was heard on the connection, unless another connection has replaced it.
func (f *Front) noteOwner(conn *ownerconn.Conn) {
	if current := f.Follower.Conn(); current != nil && current != conn {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heardConn, f.heardAt = conn, boottime.Now()
}

// maySend reports whether a request may be sent on the connection.
func (f *Front) maySend(conn *ownerconn.Conn, verb session.Verb) bool {
	if f.SilentStore == nil || verb == session.VerbGet || verb == session.VerbPending {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heardConn == conn && boottime.Now()-f.heardAt < ownerSilenceLimit
}

// ownerSilentFor returns how long no owner has been heard, counted from the first request if there was no owner yet. The caller holds f.mu.
func (f *Front) ownerSilentFor() time.Duration {
	if f.heardAt == 0 {
		f.heardAt = boottime.Now()
	}
	return boottime.Now() - f.heardAt
}

// ownerHold is the hold of a request that waits for an owner.
type ownerHold struct {
	front   *Front
	request *session.Request
	isHeld  bool
	bytes   int
	since   time.Duration // boot time
	until   time.Duration // boot time
	// comeBack is when the caller should come back at the end of the hold.
	comeBack time.Duration
}

// check begins the hold if the request is not held yet. It returns a result and true if the request is turned away: it may not be held, or
// its hold is over. remaining is how long the caller still waits.
func (h *ownerHold) check(remaining time.Duration) (Result, bool) {
	f := h.front
	if f.SilentStore == nil {
		return Result{}, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now, silent := boottime.Now(), f.ownerSilentFor()
	if h.isHeld {
		if now < h.until {
			return Result{}, false
		}
		f.logTurnedAway(h.request.JobID, silent, remaining, now-h.since, h.comeBack, "")
		return Result{Outcome: NotAccepted, RetryAfter: h.comeBack, Reason: reasonNoOwner}, true
	}
	if h.request.Spec != nil {
		h.bytes = h.request.Spec.Msgsize()
	}
	decision := f.SilentStore.Decide(outage.Situation{Silent: silent, Remaining: remaining, Held: f.held, HeldBytes: f.heldBytes,
		Bytes: h.bytes, Spread: rand.Float64()})
	if !decision.Hold {
		f.logTurnedAway(h.request.JobID, silent, remaining, 0, decision.ComeBack, decision.Reason)
		return Result{Outcome: NotAccepted, RetryAfter: decision.ComeBack, Reason: reasonNoOwner}, true
	}
	h.isHeld, h.since, h.until, h.comeBack = true, now, now+decision.HoldFor, decision.ComeBack
	f.held++
	f.heldBytes += h.bytes
	f.Metrics.Gauge("entry_requests_held").Update(int64(f.held))
	return Result{}, false
}

// end ends the hold, if there is one.
func (h *ownerHold) end() {
	if !h.isHeld {
		return
	}
	h.front.mu.Lock()
	defer h.front.mu.Unlock()
	h.isHeld = false
	h.front.held--
	h.front.heldBytes -= h.bytes
	h.front.Metrics.Gauge("entry_requests_held").Update(int64(h.front.held))
}

// logTurnedAway counts and logs that a request is turned away because no owner is within reach, with what decided it.
func (f *Front) logTurnedAway(jobID string, silent, remaining, held, comeBack time.Duration, reason string) {
	f.Metrics.Counter("entry_requests_turned_away").Inc(1)
	events.RequestTurnedAway.Log(&f.Log).Str("job", jobID).Int64("silent_ms", silent.Milliseconds()).
		Int64("remaining_ms", remaining.Milliseconds()).Int64("held_ms", held.Milliseconds()).Int("held", f.held).
		Int64("come_back_ms", comeBack.Milliseconds()).Str("why", reason).Send()
}

// awaitManifest returns the newest manifest. If there is none yet, it waits for the first one, for as long as the request may be held.
func (f *Front) awaitManifest(ctx context.Context, wait time.Duration) *queues.Manifest {
	manifest := f.Manifest.Get()
	if manifest != nil || f.SilentStore == nil {
		return manifest
	}
	wait = min(wait, maxWait+responseReserve)
	start := boottime.Now()
	hold := ownerHold{front: f, request: &session.Request{}}
	defer hold.end()
	for ; manifest == nil && ctx.Err() == nil; manifest = f.Manifest.Get() {
		if _, turnedAway := hold.check(wait - (boottime.Now() - start)); turnedAway {
			break
		}
		app.Sleep(ctx, connPollInterval)
	}
	return manifest
}
