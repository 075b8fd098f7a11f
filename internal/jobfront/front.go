// Package jobfront serves callers' requests for jobs on an entry. The entry finds the queue of a request and forwards the
// request to the owner of the jobs. If a successor replaces that owner while the caller still waits, the entry sends the
// request again to the successor.
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
	"bamboofork/internal/outage"
	"bamboofork/internal/ownerconn"
	"bamboofork/internal/queues"
	"bamboofork/internal/session"
	"bamboofork/internal/telemetry"
)

// Outcome is the kind of response to a caller's request.
type Outcome string

// Outcomes of a request. NotAccepted guarantees that a submitted job was not accepted and never runs. Unclear means that the
// request may have taken effect, so the caller has to send another request.
const (
	Done        Outcome = "done"
	NoQueue     Outcome = "no_queue"
	NoSuchJob   Outcome = "no_such_job"
	Malformed   Outcome = "malformed"
	TooLarge    Outcome = "too_large"
	NotAllowed  Outcome = "not_allowed"
	NotAccepted Outcome = "not_run"
	Unclear     Outcome = "unclear"
)

// Result is the outcome of a request with its details.
type Result struct {
	Outcome     Outcome
	State       jobs.JobState
	PendingJobs int
	RetryAfter  time.Duration
	Reason      string
}

const (
	// maxWait bounds how long a request waits for the owner's reply. Callers stop waiting after 3 s.
	maxWait = 2600 * time.Millisecond
	// defaultBodyLimit is the maximum body size in bytes if the manifest sets none.
	defaultBodyLimit = 256 << 10
	// responseReserve is the time that is reserved for returning the response to the caller. The reserve is limited to
	// maxResponseReserveFraction of the caller's remaining time: the owner replies within milliseconds, so a short remaining
	// time can suffice.
	responseReserve            = 250 * time.Millisecond
	maxResponseReserveFraction = 0.4
	// maxOwnersPerRequest bounds the owners to which one request is sent. A request may be what ends its owners, and must not end all
	// processes that can own the jobs in turn.
	maxOwnersPerRequest = 3
	// connPollInterval is how often a waiting request checks for a new connection to an owner.
	connPollInterval = 50 * time.Millisecond
	// noOwnerRetryAfter is the Retry-After while no owner responds. A takeover takes one to two seconds.
	noOwnerRetryAfter = time.Second
	// readyGrace is how long an entry stays ready after the last confirmation of the owner's lease. A takeover shorter than that
	// does not take all entries out of the load balancer's rotation.
	readyGrace = 4 * time.Second
)

// Front serves the callers of one entry. mu guards the fields below mu.
type Front struct {
	Log      zerolog.Logger
	Metrics  *telemetry.Registry
	Manifest *queues.CurrentManifest
	Follower *ownerconn.Follower
	// SilentStore bounds the requests that are held while no owner is within reach; nil: each is held for its whole wait.
	SilentStore *outage.Policy

	lastRequestID atomic.Int64
	draining      atomic.Bool

	mu            sync.Mutex
	replyChannels map[int64]chan ownerReply // by request ID
	heardConn     *ownerconn.Conn           // on which an owner was heard last; nil: none yet
	heardAt       time.Duration             // boot time of the last message of an owner, or of the first request if there was none
	held          int                       // number of requests that wait for an owner
	heldBytes     int                       // their total size
}

// ownerReply is a reply with the connection on which it arrived.
type ownerReply struct {
	session.Reply
	conn *ownerconn.Conn
}

// maxQueuedReplies is the number of replies to one request that wait to be read. There is one for each owner to which the request
// was sent.
const maxQueuedReplies = 8

// HandleMessage passes the replies in a message of the owner to the waiting requests.
func (f *Front) HandleMessage(conn *ownerconn.Conn, m *session.ToMember) {
	f.noteOwner(conn)
	for _, reply := range m.Replies {
		f.mu.Lock()
		replyChannel := f.replyChannels[reply.RequestID]
		f.mu.Unlock()
		if replyChannel != nil {
			select {
			case replyChannel <- ownerReply{reply, conn}:
			default: // further replies to the same request
			}
		}
	}
}

// OwnerConnected sends an empty message on the connection of a new owner. An entry has nothing to report, unlike an agent.
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

// heartbeatInterval is how often an entry sends a message to the owner. Several intervals fit into session.IdleTimeout.
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
func (f *Front) forward(ctx context.Context, request session.Request, remaining time.Duration) Result {
	start := boottime.Now()
	wait := min(ownerWait(remaining), maxWait-time.Duration(request.WaitedMs)*time.Millisecond)
	result, attempts := f.sendUntilReply(ctx, &request, wait, remaining)
	elapsed := boottime.Now() - start
	f.Metrics.Counter("entry_" + string(request.Verb)).Inc(1)
	f.Metrics.Histogram("entry_" + string(request.Verb) + "_us").Update(elapsed.Microseconds())
	queue := ""
	if request.Queue != nil {
		queue = request.Queue.Name
	}
	if request.Verb != session.VerbGet || result.Outcome != Done {
		events.JobRequest.Log(&f.Log).Str("verb", string(request.Verb)).Str("job", request.JobID).Str("queue", queue).
			Str("outcome", string(result.Outcome)).Str("state", string(result.State)).Int("tries", attempts).
			Int64("took_ms", elapsed.Milliseconds()).Int64("manifest", f.manifestVersion()).
			Int64("owner_epoch", f.Follower.OwnerEpoch()).Str("why", result.Reason).Send()
	}
	return result
}

// ownerWait returns how long to wait for the owner's reply. The argument is the remaining time of the caller.
func ownerWait(remaining time.Duration) time.Duration {
	reserved := min(responseReserve, time.Duration(maxResponseReserveFraction*float64(remaining)))
	return min(remaining-reserved, maxWait)
}

// manifestVersion returns the version of the newest manifest, or 0 if there is none yet.
func (f *Front) manifestVersion() int64 {
	if m := f.Manifest.Get(); m != nil {
		return m.Version
	}
	return 0
}

// sendUntilReply sends the request on each new connection to an owner until a reply arrives, the wait has expired, maxOwnersPerRequest
// owners have been replaced or ctx is done. A refusal counts only if it arrives on the connection on which the request was sent last: an
// earlier owner does not know what its successor does with the request. remaining is how long the caller waits. While no owner is within
// reach, the request may be turned away before the end of the wait. sendUntilReply returns the result and how often the request was sent.
func (f *Front) sendUntilReply(ctx context.Context, request *session.Request, wait, remaining time.Duration) (Result, int) {
	request.ID = f.lastRequestID.Add(1)
	replyChannel := make(chan ownerReply, maxQueuedReplies)
	f.mu.Lock()
	if f.replyChannels == nil {
		f.replyChannels = map[int64]chan ownerReply{}
	}
	f.replyChannels[request.ID] = replyChannel
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.replyChannels, request.ID)
		f.mu.Unlock()
	}()
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	remaining = min(remaining, wait+responseReserve) // an owner must not hold the request beyond the wait
	start, waitedBefore := boottime.Now(), request.WaitedMs
	attempts, owners := 0, map[int64]bool{} // by epoch
	// mayHaveEffect is true while the request is with an owner that has not answered it.
	mayHaveEffect := false
	hold := ownerHold{front: f, request: request}
	defer hold.end()
	var lastConn *ownerconn.Conn
	pollTicker := time.NewTicker(connPollInterval)
	defer pollTicker.Stop()
	for {
		c, epoch := f.Follower.ConnEpoch()
		if c != nil && c != lastConn && ctx.Err() == nil && f.maySend(c, request.Verb) {
			if owners[epoch] = true; len(owners) > maxOwnersPerRequest {
				return noReplyResult(request.Verb, mayHaveEffect), attempts
			}
			if f.SilentStore != nil {
				waited := boottime.Now() - start
				request.RemainingMs, request.WaitedMs = max(1, (remaining-waited).Milliseconds()), waitedBefore+waited.Milliseconds()
			}
			if c.Send(session.FromMember{Requests: []session.Request{*request}}) {
				lastConn, mayHaveEffect = c, true
				attempts++
				hold.end()
			}
		}
		if !mayHaveEffect && ctx.Err() == nil {
			if result, turnedAway := hold.check(remaining - (boottime.Now() - start)); turnedAway {
				return result, attempts
			}
		}
		select {
		case reply := <-replyChannel:
			switch {
			case reply.Code == session.CodeReleased:
				mayHaveEffect = mayHaveEffect && reply.conn != lastConn
			case reply.Code == session.CodeOK || reply.conn == lastConn:
				return resultOf(reply.Reply), attempts
			}
		case <-pollTicker.C:
		case <-timer.C:
			return noReplyResult(request.Verb, mayHaveEffect), attempts
		case <-ctx.Done():
			return noReplyResult(request.Verb, mayHaveEffect), attempts
		}
	}
}

// resultOf converts a reply of the owner to a result.
func resultOf(reply session.Reply) Result {
	switch reply.Code {
	case session.CodeOK:
		return Result{Outcome: Done, State: reply.State, PendingJobs: reply.PendingJobs}
	case session.CodeUnknown:
		return Result{Outcome: NoSuchJob}
	}
	return Result{Outcome: NotAccepted, RetryAfter: time.Duration(reply.RetryMs) * time.Millisecond, Reason: reply.Reason}
}

// noReplyResult returns the result of a request without a reply. A request that is with no owner or that only reads certainly had
// no effect.
func noReplyResult(verb session.Verb, mayHaveEffect bool) Result {
	if !mayHaveEffect || verb == session.VerbGet || verb == session.VerbPending {
		return Result{Outcome: NotAccepted, RetryAfter: noOwnerRetryAfter, Reason: reasonNoOwner}
	}
	return Result{Outcome: Unclear, RetryAfter: noOwnerRetryAfter, Reason: "the owner of the jobs did not answer"}
}

const reasonNoOwner = "no owner of the jobs within reach"
