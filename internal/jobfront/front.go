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

	lastRequestID atomic.Int64
	draining      atomic.Bool

	mu              sync.Mutex
	waitingRequests map[int64]*waitingRequest // by request ID
}

// waitingRequest is a request without a reply. Its fields are guarded by Front.mu.
type waitingRequest struct {
	reply chan session.Reply // holds at most one reply
	// conn is the connection on which the request was sent last. Only replies on this connection count: another owner may accept a
	// job that a previous owner has rejected.
	conn *ownerconn.Conn
}

// HandleMessage passes the replies in a message of the owner to the waiting requests.
func (f *Front) HandleMessage(conn *ownerconn.Conn, m *session.ToMember) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, reply := range m.Replies {
		if waiting := f.waitingRequests[reply.RequestID]; waiting != nil && waiting.conn == conn {
			select {
			case waiting.reply <- reply:
			default: // a second reply to the same request
			}
		}
	}
}

// send sends the request on the connection unless there is a reply already. It reports whether the request was sent.
func (f *Front) send(request *session.Request, waiting *waitingRequest, conn *ownerconn.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(waiting.reply) > 0 || !conn.Send(session.FromMember{Requests: []session.Request{*request}}) {
		return false
	}
	waiting.conn = conn
	return true
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
	result, attempts := f.sendUntilReply(ctx, &request, ownerWait(remaining))
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
			Int64("took_ms", elapsed.Milliseconds()).Int64("manifest", f.manifestVersion()).Str("why", result.Reason).Send()
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

// sendUntilReply sends the request on each new connection to an owner until a reply arrives, the wait has expired or ctx is
// done. It returns the result and how often the request was sent.
func (f *Front) sendUntilReply(ctx context.Context, request *session.Request, wait time.Duration) (Result, int) {
	request.ID = f.lastRequestID.Add(1)
	waiting := &waitingRequest{reply: make(chan session.Reply, 1)}
	f.mu.Lock()
	if f.waitingRequests == nil {
		f.waitingRequests = map[int64]*waitingRequest{}
	}
	f.waitingRequests[request.ID] = waiting
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.waitingRequests, request.ID)
		f.mu.Unlock()
	}()
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	attempts := 0
	var lastConn *ownerconn.Conn
	pollTicker := time.NewTicker(connPollInterval)
	defer pollTicker.Stop()
	for {
		if c := f.Follower.Conn(); c != nil && c != lastConn && f.send(request, waiting, c) {
			lastConn = c
			attempts++
		}
		select {
		case reply := <-waiting.reply:
			return resultOf(reply), attempts
		case <-pollTicker.C:
		case <-timer.C:
			return noReplyResult(request.Verb, attempts), attempts
		case <-ctx.Done():
			return noReplyResult(request.Verb, attempts), attempts
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

// noReplyResult returns the result of a request without a reply. A request that was never sent or that only reads certainly had
// no effect.
func noReplyResult(verb session.Verb, attempts int) Result {
	if attempts == 0 || verb == session.VerbGet || verb == session.VerbPending {
		return Result{Outcome: NotAccepted, RetryAfter: noOwnerRetryAfter, Reason: "no owner of the jobs within reach"}
	}
	return Result{Outcome: Unclear, RetryAfter: noOwnerRetryAfter, Reason: "the owner of the jobs did not answer"}
}
