package jobfront

import (
	"context"
	"errors"
	"strings"
	"time"

	"bamboofork/internal/boottime"
	"bamboofork/internal/events"
	"bamboofork/internal/jobs"
	"bamboofork/internal/session"
)

// Action is the operation that a caller requests on a job or a queue.
type Action string

// Actions of a Call. OtherAction is any operation that jobs and queues do not have.
const (
	Read        Action = "read"
	Submit      Action = "submit"
	Cancel      Action = "cancel"
	OtherAction Action = "other"
)

// ErrTooLarge is returned by Call.Body if the body exceeds the limit.
var ErrTooLarge = errors.New("the body is too large")

// ErrNoRoom is returned by Call.Body if the process could not take in the body, or not for as long as it takes to arrive.
var ErrNoRoom = errors.New("no room for the body")

// Call is a caller's request.
type Call struct {
	Host   string
	Path   string
	Action Action
	Wait   time.Duration // how long the caller waits; 0: the queue's timeout
	// Body reads and decodes the submitted job from a body of at most limit bytes. It returns ErrTooLarge for a longer body.
	// If advised is true, each start of a task of the job needs a ticket from the advice service.
	Body func(limit int64, advised bool) (*jobs.Spec, error)
}

const (
	// defaultWait is how long a caller is assumed to wait if neither the caller nor its queue sets a timeout.
	defaultWait = 3 * time.Second
	// jobIDDigits is the number of hexadecimal digits in a job ID.
	jobIDDigits = 16
)

// Serve processes a caller's request and returns the result to send back.
func (f *Front) Serve(ctx context.Context, call Call) Result {
	start := boottime.Now()
	manifest := f.awaitManifest(ctx, effectiveWait(call.Wait, 0))
	waited := boottime.Now() - start
	if manifest == nil {
		return f.reject(call, "", Result{Outcome: NotAccepted, RetryAfter: noOwnerRetryAfter, Reason: "no manifest yet"})
	}
	route := manifest.Match(call.Host, call.Path)
	if route == nil {
		return f.reject(call, "", Result{Outcome: NoQueue, Reason: "no such queue"})
	}
	req := session.Request{WaitedMs: waited.Milliseconds(), JobID: strings.TrimPrefix(call.Path, route.Prefix), Queue: &route.Queue}
	switch {
	case call.Action == Read && req.JobID == "":
		req.Verb = session.VerbPending
	case !validJobID(req.JobID):
		return f.reject(call, req.JobID, Result{Outcome: Malformed, Reason: "the job id is not 16 hexadecimal digits"})
	case call.Action == Read:
		req.Verb = session.VerbGet
	case call.Action == Cancel:
		req.Verb = session.VerbCancel
	case call.Action == Submit:
		req.Verb = session.VerbSubmit
		limit := manifest.Limits.BodyBytes
		if limit <= 0 {
			limit = defaultBodyLimit
		}
		spec, err := call.Body(limit, route.Queue.AdviceMs > 0)
		if errors.Is(err, ErrTooLarge) {
			return f.reject(call, req.JobID, Result{Outcome: TooLarge, Reason: err.Error()})
		}
		if errors.Is(err, ErrNoRoom) {
			f.Metrics.Counter("entry_refused_no_room").Inc(1) // not logged one by one: there may be thousands
			return Result{Outcome: NotAccepted, RetryAfter: noOwnerRetryAfter, Reason: err.Error()}
		}
		if err == nil {
			err = spec.Validate()
		}
		if err != nil {
			return f.reject(call, req.JobID, Result{Outcome: Malformed, Reason: err.Error()})
		}
		req.Spec = spec
	default:
		return f.reject(call, req.JobID, Result{Outcome: NotAllowed, Reason: "method not allowed"})
	}
	return f.forward(ctx, req, effectiveWait(call.Wait, route.Timeout)-waited)
}

// reject counts and logs a result that the entry determines without querying the owner. It returns the result unchanged.
func (f *Front) reject(call Call, jobID string, result Result) Result {
	f.Metrics.Counter("entry_refused_" + string(result.Outcome)).Inc(1)
	events.JobRequest.Log(&f.Log).Str("verb", string(call.Action)).Str("job", jobID).Str("host", call.Host).Str("path", call.Path).
		Str("outcome", string(result.Outcome)).Int64("manifest", f.manifestVersion()).Str("why", result.Reason).Send()
	return result
}

// effectiveWait returns the shorter of the caller's wait and the queue's timeout, of which 0 means not set. It returns
// defaultWait if neither is set.
func effectiveWait(wait, timeout time.Duration) time.Duration {
	switch {
	case wait <= 0 && timeout <= 0:
		return defaultWait
	case wait <= 0:
		return timeout
	case timeout <= 0:
		return wait
	}
	return min(wait, timeout)
}

func validJobID(id string) bool {
	if len(id) != jobIDDigits {
		return false
	}
	for _, digit := range id {
		if !strings.ContainsRune("0123456789abcdefABCDEF", digit) {
			return false
		}
	}
	return true
}
