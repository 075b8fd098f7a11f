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

// Outcome is the kind of answer to a caller's request.
type Outcome string

// Outcomes of a request. NotRun guarantees that a submitted job was not accepted and never runs. Unclear means that the
// request may have taken effect, so the caller has to ask again.
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
	// maxWait bounds how long a request waits for the owner's answer; callers give up after 3 s.
	maxWait = 2600 * time.Millisecond
	// defaultBodyLimit is the maximum body size in bytes if the manifest sets none.
	defaultBodyLimit = 256 << 10
	// answerReserve is the part of the caller's remaining time that is reserved for returning the answer, but at most
	// maxAnswerReserveShare of it: the owner answers within milliseconds, so a short remaining time can suffice.
	answerReserve         = 250 * time.Millisecond
	maxAnswerReserveShare = 0.4
	// connPollInterval is how often a waiting request checks for a new connection to an owner.
	connPollInterval = 50 * time.Millisecond
	// noOwnerRetryAfter is the Retry-After while no owner answers; a takeover takes one to two seconds.
	noOwnerRetryAfter = time.Second
	// readyGrace is how long an entry stays ready without an owner, so that a takeover does not take all entries out of the load
	// balancer's rotation.
	readyGrace = 4 * time.Second
)

// Front answers the callers of one entry. mu guards the fields below it.
type Front struct {
	Log      zerolog.Logger
	Metrics  *telemetry.Registry
	Manifest *queues.Current
	Follower *ownerconn.Follower

	lastRequest atomic.Int64
	stopping    atomic.Bool

	mu      sync.Mutex
	waiting map[int64]chan session.Answer // by request number
}

// HandleMessage passes the answers in a message of the owner to the waiting requests.
func (f *Front) HandleMessage(_ *ownerconn.Conn, m *session.ToMember) {
	for _, a := range m.Answers {
		f.mu.Lock()
		ch := f.waiting[a.RequestID]
		f.mu.Unlock()
		if ch != nil {
			select {
			case ch <- a:
			default: // a second answer to the same request
			}
		}
	}
}

// OwnerConnected sends an empty message on the connection of a new owner; unlike an agent, an entry has nothing to report.
func (f *Front) OwnerConnected(c *ownerconn.Conn) { c.Send(session.FromMember{}) }

// Heartbeat keeps the connection to the owner alive until ctx ends.
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

// Drain makes the entry report itself as not ready. Requests are still answered.
func (f *Front) Drain() { f.stopping.Store(true) }

// Ready reports whether the load balancer should send new connections to the entry.
func (f *Front) Ready() bool {
	return !f.stopping.Load() && f.Manifest.Get() != nil && f.Follower.OwnerHealthy(readyGrace)
}

// Draining reports whether the entry is draining.
func (f *Front) Draining() bool { return f.stopping.Load() }

// forward sends a request to the owner, waits for the answer and returns the result for the caller.
func (f *Front) forward(ctx context.Context, r session.Request, left time.Duration) Result {
	start := boottime.Now()
	res, tries := f.sendUntilAnswered(ctx, &r, ownerWait(left))
	elapsed := boottime.Now() - start
	f.Metrics.Counter("entry_" + string(r.Verb)).Inc(1)
	f.Metrics.Histogram("entry_" + string(r.Verb) + "_us").Update(elapsed.Microseconds())
	queue := ""
	if r.Queue != nil {
		queue = r.Queue.Name
	}
	if r.Verb != session.VerbGet || res.Outcome != Done {
		events.JobRequest.Log(&f.Log).Str("verb", string(r.Verb)).Str("job", r.JobID).Str("queue", queue).Str("outcome", string(res.Outcome)).
			Str("state", string(res.State)).Int("tries", tries).Int64("took_ms", elapsed.Milliseconds()).Int64("manifest", f.manifestVersion()).
			Str("why", res.Reason).Send()
	}
	return res
}

// ownerWait returns how long to wait for the owner's answer if the caller waits for the time left.
func ownerWait(left time.Duration) time.Duration {
	reserved := min(answerReserve, time.Duration(maxAnswerReserveShare*float64(left)))
	return min(left-reserved, maxWait)
}

func (f *Front) manifestVersion() int64 {
	if m := f.Manifest.Get(); m != nil {
		return m.Version
	}
	return 0
}

// sendUntilAnswered sends the request on each new connection to an owner until it is answered, the wait is over or ctx ends.
// It also returns how often the request was sent.
func (f *Front) sendUntilAnswered(ctx context.Context, r *session.Request, wait time.Duration) (Result, int) {
	r.ID = f.lastRequest.Add(1)
	ch := make(chan session.Answer, 1)
	f.mu.Lock()
	if f.waiting == nil {
		f.waiting = map[int64]chan session.Answer{}
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
	tries := 0
	var sentOn *ownerconn.Conn
	poll := time.NewTicker(connPollInterval)
	defer poll.Stop()
	for {
		if c := f.Follower.Conn(); c != nil && c != sentOn {
			if c.Send(session.FromMember{Requests: []session.Request{*r}}) {
				sentOn = c
				tries++
			}
		}
		select {
		case a := <-ch:
			return resultOf(a), tries
		case <-poll.C:
		case <-timer.C:
			return unansweredResult(r.Verb, tries), tries
		case <-ctx.Done():
			return unansweredResult(r.Verb, tries), tries
		}
	}
}

func resultOf(a session.Answer) Result {
	switch a.Code {
	case session.CodeOK:
		return Result{Outcome: Done, State: a.State, Pending: a.Pending}
	case session.CodeUnknown:
		return Result{Outcome: NoSuchJob}
	}
	return Result{Outcome: NotRun, RetryAfter: time.Duration(a.RetryMs) * time.Millisecond, Reason: a.Reason}
}

// unansweredResult returns the result of a request without an answer. A request that was never sent certainly had no effect.
func unansweredResult(verb session.Verb, tries int) Result {
	if tries == 0 || verb == session.VerbGet || verb == session.VerbPending {
		return Result{Outcome: NotRun, RetryAfter: noOwnerRetryAfter, Reason: "no owner of the jobs within reach"}
	}
	return Result{Outcome: Unclear, RetryAfter: noOwnerRetryAfter, Reason: "the owner of the jobs did not answer"}
}
