package jobfront

import (
	"context"
	"errors"
	"strings"
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/jobs"
	"bamboofork/internal/session"
)

// Action is the operation that a caller requests on a job or a queue.
type Action string

// Actions of a Call.
const (
	Read   Action = "read"
	Submit Action = "submit"
	Cancel Action = "cancel"
	Other  Action = "other"
)

// ErrTooLarge is returned by Call.Body if the body exceeds the limit.
var ErrTooLarge = errors.New("the body is too large")

// Call is a caller's request.
type Call struct {
	Host   string
	Path   string
	Action Action
	Wait   time.Duration // how long the caller waits; 0: the queue's timeout
	// Body reads and decodes the submitted job from a body of at most limit bytes. With advised set, a start of its tasks
	// needs a ticket from the advice service.
	Body func(limit int64, advised bool) (*jobs.Spec, error)
}

const (
	// defaultWait is how long a caller is assumed to wait if neither it nor its queue sets a timeout.
	defaultWait = 3 * time.Second
	jobIDDigits = 16
)

// Serve processes a caller's request and returns the result to send back.
func (f *Front) Serve(ctx context.Context, c Call) Result {
	m := f.Manifest.Get()
	if m == nil {
		return f.reject(c, "", Result{Outcome: NotRun, RetryAfter: noOwnerRetryAfter, Reason: "no manifest yet"})
	}
	route := m.Match(c.Host, c.Path)
	if route == nil {
		return f.reject(c, "", Result{Outcome: NoQueue, Reason: "no such queue"})
	}
	req := session.Request{JobID: strings.TrimPrefix(c.Path, route.Prefix), Queue: &route.Queue}
	switch {
	case c.Action == Read && req.JobID == "":
		req.Verb = session.VerbPending
	case !validJobID(req.JobID):
		return f.reject(c, req.JobID, Result{Outcome: Malformed, Reason: "the job id is not 16 hexadecimal digits"})
	case c.Action == Read:
		req.Verb = session.VerbGet
	case c.Action == Cancel:
		req.Verb = session.VerbCancel
	case c.Action == Submit:
		req.Verb = session.VerbSubmit
		limit := m.Limits.BodyBytes
		if limit <= 0 {
			limit = defaultBodyLimit
		}
		spec, err := c.Body(limit, route.Queue.AdviceMs > 0)
		if errors.Is(err, ErrTooLarge) {
			return f.reject(c, req.JobID, Result{Outcome: TooLarge, Reason: err.Error()})
		}
		if err == nil {
			err = spec.Validate()
		}
		if err != nil {
			return f.reject(c, req.JobID, Result{Outcome: Malformed, Reason: err.Error()})
		}
		req.Spec = spec
	default:
		return f.reject(c, req.JobID, Result{Outcome: NotAllowed, Reason: "method not allowed"})
	}
	return f.forward(ctx, req, effectiveWait(c.Wait, route.Timeout))
}

// reject counts, logs and returns a result that the entry determines without querying the owner.
func (f *Front) reject(c Call, id string, res Result) Result {
	f.Metrics.Counter("entry_refused_" + string(res.Outcome)).Inc(1)
	events.JobRequest.Log(&f.Log).Str("verb", string(c.Action)).Str("job", id).Str("host", c.Host).Str("path", c.Path).
		Str("outcome", string(res.Outcome)).Int64("manifest", f.manifestVersion()).Str("why", res.Reason).Send()
	return res
}

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
	for _, c := range id {
		if !strings.ContainsRune("0123456789abcdefABCDEF", c) {
			return false
		}
	}
	return true
}
