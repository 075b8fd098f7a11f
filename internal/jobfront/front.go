// Package jobfront serves callers' requests for jobs on an entry. It finds the queue of a request, forwards the request to the
// owner of the jobs, and sends it again to a successor of that owner while the caller still waits.
package jobfront

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"bamboofork/internal/app"
	"bamboofork/internal/boottime"
	"bamboofork/internal/events"
	"bamboofork/internal/jobs"
	"bamboofork/internal/ownerconn"
	"bamboofork/internal/queues"
	"bamboofork/internal/session"
	"bamboofork/internal/telemetry"
)

// Outcome is the kind of response to a caller's request.
type Outcome string

// Outcomes of a request. NotRun guarantees that a submitted job was not accepted and never runs. Unclear means that the
// request may have taken effect, so the caller has to send another request.
const (
	Done       Outcome = "done"
	NoQueue    Outcome = "no_queue"
	NoSuchJob  Outcome = "no_such_job"
	Malformed  Outcome = "malformed"
	TooLarge   Outcome = "too_large"
	NotAllowed Outcome = "not_allowed"
	NotRun     Outcome = "not_run"
	Unclear    Outcome = "unclear"
)

// Result is the outcome of a request with its details.
type Result struct {
	Outcome    Outcome
	State      jobs.JobState
	Pending    int
	RetryAfter time.Duration
	Reason     string
}

const (
	// maxWait bounds how long a request waits for the owner's reply; callers stop waiting after 3 s.
	maxWait = 2600 * time.Millisecond
	// defaultBodyLimit is the maximum body size in bytes if the manifest sets none.
	defaultBodyLimit = 256 << 10
	// responseReserve is the part of the caller's remaining time that is reserved for returning the response, but at most
	// maxResponseReserveFraction of it: the owner replies within milliseconds, so a short remaining time can suffice.
	responseReserve            = 250 * time.Millisecond
	maxResponseReserveFraction = 0.4
	// connPollInterval is how often a waiting request checks for a new connection to an owner.
	connPollInterval = 50 * time.Millisecond
	// noOwnerRetryAfter is the Retry-After while no owner responds; a takeover takes one to two seconds.
	noOwnerRetryAfter = time.Second
	// readyGrace is how long an entry stays ready without an owner, so that a takeover does not take all entries out of the load
	// balancer's rotation.
	readyGrace = 4 * time.Second
)

// Front serves the callers of one entry. mu guards the fields below it.
type Front struct {
	Log      zerolog.Logger
	Metrics  *telemetry.Registry
	Manifest *queues.Current
	Follower *ownerconn.Follower

	lastRequest atomic.Int64
	draining    atomic.Bool

	mu      sync.Mutex
	waiting map[int64]chan session.Reply // by request ID
}

// HandleMessage passes the replies in a message of the owner to the waiting requests.
func (f *Front) HandleMessage(_ *ownerconn.Conn, m *session.ToMember) {
	for _, reply := range m.Replies {
		f.mu.Lock()
		ch := f.waiting[reply.RequestID]
		f.mu.Unlock()
		if ch != nil {
			select {
			case ch <- reply:
			default: // a second reply to the same request
			}
		}
	}
}

// OwnerConnected sends an empty message on the connection of a new owner; unlike an agent, an entry has nothing to report.
func (f *Front) OwnerConnected(c *ownerconn.Conn) { c.Send(session.FromMember{}) }

// Heartbeat keeps the connection to the owner alive until ctx is done.
func (f *Front) Heartbeat(ctx context.Context) error {
	app.Every(ctx, heartbeatInterval, func() {
		if c := f.Follower.Conn(); c != nil {
			c.Send(session.FromMember{})
		}
	})
	return nil
}

// heartbeatInterval is how often an entry sends a message to the owner; several intervals fit into session.IdleTimeout.
const heartbeatInterval = 400 * time.Millisecond

// Drain makes the entry report itself as not ready. Requests are still served.
func (f *Front) Drain() { f.draining.Store(true) }

// Ready reports whether the load balancer should send new connections to the entry.
func (f *Front) Ready() bool {
	return !f.draining.Load() && f.Manifest.Get() != nil && f.Follower.OwnerHealthy(readyGrace)
}

// Draining reports whether the entry is draining.
func (f *Front) Draining() bool { return f.draining.Load() }

// forward sends a request to the owner, waits for the reply and returns the result for the caller.
func (f *Front) forward(ctx context.Context, r session.Request, remaining time.Duration) Result {
	start := boottime.Now()
	res, attempts := f.sendUntilReply(ctx, &r, ownerWait(remaining))
	elapsed := boottime.Now() - start
	f.Metrics.Counter("entry_" + string(r.Verb)).Inc(1)
	f.Metrics.Histogram("entry_" + string(r.Verb) + "_us").Update(elapsed.Microseconds())
	queue := ""
	if r.Queue != nil {
		queue = r.Queue.Name
	}
	if r.Verb != session.VerbGet || res.Outcome != Done {
		events.JobRequest.Log(&f.Log).Str("verb", string(r.Verb)).Str("job", r.JobID).Str("queue", queue).Str("outcome", string(res.Outcome)).
			Str("state", string(res.State)).Int("tries", attempts).Int64("took_ms", elapsed.Milliseconds()).Int64("manifest", f.manifestVersion()).
			Str("why", res.Reason).Send()
	}
	return res
}

// ownerWait returns how long to wait for the owner's reply if the caller waits for the remaining time.
func ownerWait(remaining time.Duration) time.Duration {
	reserved := min(responseReserve, time.Duration(maxResponseReserveFraction*float64(remaining)))
	return min(remaining-reserved, maxWait)
}

func (f *Front) manifestVersion() int64 {
	if m := f.Manifest.Get(); m != nil {
		return m.Version
	}
	return 0
}

// sendUntilReply sends the request on each new connection to an owner until a reply arrives, the wait has expired or ctx is done.
// It also returns how often the request was sent.
func (f *Front) sendUntilReply(ctx context.Context, r *session.Request, wait time.Duration) (Result, int) {
	r.ID = f.lastRequest.Add(1)
	ch := make(chan session.Reply, 1)
	f.mu.Lock()
	if f.waiting == nil {
		f.waiting = map[int64]chan session.Reply{}
	}
	f.waiting[r.ID] = ch
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.waiting, r.ID)
		f.mu.Unlock()
	}()
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	attempts := 0
	var sentOn *ownerconn.Conn
	poll := time.NewTicker(connPollInterval)
	defer poll.Stop()
	for {
		if c := f.Follower.Conn(); c != nil && c != sentOn {
			if c.Send(session.FromMember{Requests: []session.Request{*r}}) {
				sentOn = c
				attempts++
			}
		}
		select {
		case reply := <-ch:
			return resultOf(reply), attempts
		case <-poll.C:
		case <-timer.C:
			return noReplyResult(r.Verb, attempts), attempts
		case <-ctx.Done():
			return noReplyResult(r.Verb, attempts), attempts
		}
	}
}

func resultOf(r session.Reply) Result {
	switch r.Code {
	case session.CodeOK:
		return Result{Outcome: Done, State: r.State, Pending: r.Pending}
	case session.CodeUnknown:
		return Result{Outcome: NoSuchJob}
	}
	return Result{Outcome: NotRun, RetryAfter: time.Duration(r.RetryMs) * time.Millisecond, Reason: r.Reason}
}

// noReplyResult returns the result of a request without a reply. A request that was never sent certainly had no effect.
func noReplyResult(verb session.Verb, attempts int) Result {
	if attempts == 0 || verb == session.VerbGet || verb == session.VerbPending {
		return Result{Outcome: NotRun, RetryAfter: noOwnerRetryAfter, Reason: "no owner of the jobs within reach"}
	}
	return Result{Outcome: Unclear, RetryAfter: noOwnerRetryAfter, Reason: "the owner of the jobs did not answer"}
}
