// Package hostagent implements the agent process beside one worker. Only the agent starts and stops runs on the worker.
// It enforces the worker's capacity, extends the hold of its runs while the owner of the jobs acknowledges the agent's
// reports, and reports ended runs until the owner has made the ends durable.
package hostagent

import (
	"context"
	"errors"

	"bamboofork/internal/jobs"
	"bamboofork/internal/session"
)

// Errors of calls to the worker.
var (
	// ErrNoResponse: the call may have taken effect, or may still do so.
	ErrNoResponse = errors.New("the worker did not respond")
	// ErrConnRefused: the worker's port refuses connections; the call had no effect.
	ErrConnRefused = errors.New("the worker's port is closed")
	// ErrBusy: the worker is busy; the call had no effect.
	ErrBusy = errors.New("the worker is busy")
	// ErrOtherLifetime: the call was addressed to another lifetime of the worker.
	ErrOtherLifetime = errors.New("another lifetime of the worker answered")
	// ErrRejected: the worker rejects the call as invalid.
	ErrRejected = errors.New("the worker rejected the call")
)

// Rejection is the reason for which a worker did not start a run.
type Rejection string

// Rejections of a start. Accepted means that the run has started.
const (
	Accepted               Rejection = ""
	RejectedFenced         Rejection = "fence"  // the worker has seen a higher fencing token
	RejectedStaleRun       Rejection = "old"    // a run with this or a higher number has been stopped or has ended
	RejectedDeadlinePassed Rejection = "late"   // the deadline has passed
	RejectedNoCapacity     Rejection = "room"   // not enough free resources
	RejectedTicket         Rejection = "ticket" // the ticket is missing or invalid
)

// Identity identifies one lifetime of a worker.
type Identity struct {
	ID       string
	Lifetime int64 // Unix milliseconds of its start
}

// HoldResponse is the worker's complete list of its runs. Times are on the worker's clock.
type HoldResponse struct {
	Lifetime int64
	ClockMs  int64
	Fenced   bool // the token was too low; only ClockMs is valid
	Active   []ActiveRun
	Ended    []EndedRun
}

// ActiveRun is a run on the worker.
type ActiveRun struct {
	Task            string
	Run             int
	Checkpoint      string
	ProgressPercent int
	// RecentUsage is the tail latency in milliseconds of a serving task, otherwise the CPU use in millicores, over
	// the last half second.
	RecentUsage int
}

// EndedRun is an ended run that the worker lists until the agent acknowledges it.
type EndedRun struct {
	Seq        int64
	Task       string
	Run        int
	Outcome    jobs.Outcome
	Checkpoint string
}

// Runner is the client interface to the worker.
type Runner interface {
	// Start starts a run and is idempotent. It returns the worker's clock in milliseconds.
	Start(ctx context.Context, id Identity, token int64, s *session.Start, deadlineMs int64) (Rejection, int64, error)
	// Stop ends a run. The worker rejects a start of this run that arrives later.
	Stop(ctx context.Context, id Identity, token int64, task string, run int) error
	// Hold extends the deadline of all runs (0: leaves it), acknowledges ends up to lastSeen, which the worker then forgets,
	// and waits up to waitMs for a run to end.
	Hold(ctx context.Context, id Identity, token, deadlineMs, lastSeen int64, waitMs int) (HoldResponse, error)
	// Pace limits a run to a percentage of its full speed.
	Pace(ctx context.Context, id Identity, token int64, task string, run, percent int) error
}
