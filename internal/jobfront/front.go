// Package jobfront is the callers' side of jobs on an entry: it finds a request's queue, passes the request to the owner
// of the jobs and repeats it at a successor while the caller still waits.
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
	"bamboofork/internal/follow"
	"bamboofork/internal/jobs"
	"bamboofork/internal/queues"
	"bamboofork/internal/session"
	"bamboofork/internal/telemetry"
)

// Outcome is what a caller is told.
type Outcome string

// Outcomes of a request. NotRun is a promise that the job was not accepted and never runs; Unclear makes the caller ask
// again, because the job may have been accepted.
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

// Result is the outcome with its details.
type Result struct {
	Outcome    Outcome
	State      jobs.JobState
	Pending    int
	RetryAfter time.Duration
	Reason     string
}

const (
	// maxWait bounds how long a request waits for an owner; callers give up after 3 s.
	maxWait = 2600 * time.Millisecond
	// defaultBody bounds a body if the manifest does not, in bytes.
	defaultBody = 256 << 10
	// reserve is kept back from the caller's time for the way of the answer, but no more than reserveShare of it: the owner
	// answers within milliseconds also to a caller that has little time left.
	reserve      = 250 * time.Millisecond
	reserveShare = 0.4
	// pollOwner is how often a waiting request looks for a new connection to an owner.
	pollOwner = 50 * time.Millisecond
	// retryAfterOwner is the Retry-After while there is no owner; a takeover takes a second or two.
	retryAfterOwner = time.Second
	// readyGrace is how long an entry stays in rotation without an owner, so that a takeover does not empty the rotation.
	readyGrace = 4 * time.Second
)

// Front answers callers. mu guards the fields below it.
type Front struct {
	Log      zerolog.Logger
	Metrics  *telemetry.Registry
	Manifest *queues.Current
	Follower *follow.Follower

	number   atomic.Int64
	stopping atomic.Bool

	mu      sync.Mutex
	waiting map[int64]chan session.Answer
}

// Message takes in what the owner sends.
func (f *Front) Message(_ *follow.Conn, m *session.ToMember) {
	for _, a := range m.Answers {
		f.mu.Lock()
		ch := f.waiting[a.N]
		f.mu.Unlock()
		if ch != nil {
			select {
			case ch <- a:
			default: // answered twice
			}
		}
	}
}

// Adopted greets a new owner; an entry has nothing to report but that it is there.
func (f *Front) Adopted(c *follow.Conn) { c.Send(session.FromMember{}) }

// Heartbeat keeps the connection to the owner alive until ctx ends.
func (f *Front) Heartbeat(ctx context.Context) error {
	app.Every(ctx, heartbeat, func() {
		if c := f.Follower.Conn(); c != nil {
			c.Send(session.FromMember{})
		}
	})
	return nil
}

// heartbeat is how often the owner hears from an entry; several fit into session.Silence.
const heartbeat = 400 * time.Millisecond

// Stop takes the entry out of rotation; requests are still answered.
func (f *Front) Stop() { f.stopping.Store(true) }

// Ready reports whether the entry should get new connections.
func (f *Front) Ready() bool {
	return !f.stopping.Load() && f.Manifest.Get() != nil && f.Follower.Served(readyGrace)
}

// Stopping reports whether the process drains.
func (f *Front) Stopping() bool { return f.stopping.Load() }

// pass sends a request to the owner and returns what the caller is told.
func (f *Front) pass(ctx context.Context, r session.Request, left time.Duration) Result {
	began := boottime.Now()
	res, tries := f.do(ctx, &r, ownerWait(left))
	took := boottime.Now() - began
	f.Metrics.Counter("entry_" + string(r.Verb)).Inc(1)
	f.Metrics.Histogram("entry_" + string(r.Verb) + "_us").Update(took.Microseconds())
	queue := ""
	if r.Queue != nil {
		queue = r.Queue.Name
	}
	if r.Verb != session.VerbGet || res.Outcome != Done {
		events.JobRequest.Log(&f.Log).Str("verb", string(r.Verb)).Str("job", r.JobID).Str("queue", queue).Str("outcome", string(res.Outcome)).
			Str("state", string(res.State)).Int("tries", tries).Int64("took_ms", took.Milliseconds()).Int64("manifest", f.version()).
			Str("why", res.Reason).Send()
	}
	return res
}

// ownerWait returns how long the owner may take to answer a caller that still waits for the time left.
func ownerWait(left time.Duration) time.Duration {
	kept := min(reserve, time.Duration(reserveShare*float64(left)))
	return min(left-kept, maxWait)
}

func (f *Front) version() int64 {
	if m := f.Manifest.Get(); m != nil {
		return m.Version
	}
	return 0
}

func (f *Front) do(ctx context.Context, r *session.Request, wait time.Duration) (Result, int) {
	r.N = f.number.Add(1)
	ch := make(chan session.Answer, 1)
	f.mu.Lock()
	if f.waiting == nil {
		f.waiting = map[int64]chan session.Answer{}
	}
	f.waiting[r.N] = ch
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.waiting, r.N)
		f.mu.Unlock()
	}()
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	tries := 0
	var sentOn *follow.Conn
	poll := time.NewTicker(pollOwner)
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
			return fromAnswer(a), tries
		case <-poll.C:
		case <-timer.C:
			return noAnswer(r.Verb, tries), tries
		case <-ctx.Done():
			return noAnswer(r.Verb, tries), tries
		}
	}
}

func fromAnswer(a session.Answer) Result {
	switch a.Code {
	case session.CodeOK:
		return Result{Outcome: Done, State: a.State, Pending: a.Pending}
	case session.CodeUnknown:
		return Result{Outcome: NoSuchJob}
	}
	return Result{Outcome: NotRun, RetryAfter: time.Duration(a.RetryMs) * time.Millisecond, Reason: a.Reason}
}

// noAnswer is the outcome without an answer: a request that never left is certain not to have run.
func noAnswer(verb session.Verb, tries int) Result {
	if tries == 0 || verb == session.VerbGet || verb == session.VerbPending {
		return Result{Outcome: NotRun, RetryAfter: retryAfterOwner, Reason: "no owner of the jobs within reach"}
	}
	return Result{Outcome: Unclear, RetryAfter: retryAfterOwner, Reason: "the owner of the jobs did not answer"}
}
