// Package hostagent implements the agent process beside one worker. Only the agent starts and stops runs on the worker.
// It enforces the worker's capacity, extends the hold of its runs while the owner of the jobs acknowledges the agent's
// reports, and reports ended runs until the owner has made the ends durable.
package hostagent

import (
	"context"
	"errors"
	"fmt"

	"bamboofork/internal/jobs"
	"bamboofork/internal/session"
)

// Errors of calls to the worker.
var (
	// ErrNoResponse means that the worker did not respond. The call may have taken effect or may still take effect.
	ErrNoResponse = errors.New("the worker did not respond")
	// ErrConnRefused means that the worker's port refused the connection. The call had no effect.
	ErrConnRefused = errors.New("the worker's port is closed")
	// ErrBusy means that the worker was busy. The call had no effect.
	ErrBusy = errors.New("the worker is busy")
	// ErrOtherLifetime means that the worker is in another lifetime than the one to which the call was addressed.
	ErrOtherLifetime = errors.New("another lifetime of the worker answered")
	// ErrRejected means that the worker rejected the call as invalid.
	ErrRejected = errors.New("the worker rejected the call")
)

// OtherLifetimeError is an ErrOtherLifetime with the lifetime in which the worker has answered.
type OtherLifetimeError struct{ Lifetime int64 }

// Error implements error.
func (e *OtherLifetimeError) Error() string {
	return fmt.Sprintf("%v: %d", ErrOtherLifetime, e.Lifetime)
}

// Is makes the error match ErrOtherLifetime.
func (e *OtherLifetimeError) Is(target error) bool { return target == ErrOtherLifetime }

// StartResult is the reason for which a worker did not start a run.
type StartResult string

// Rejections of a start. Accepted means that the run has started.
const (
	Accepted               StartResult = ""
	RejectedFenced         StartResult = "fence"  // the worker has seen a higher fencing token
	RejectedStaleRun       StartResult = "old"    // a run with this or a higher number has been stopped or has ended
	RejectedDeadlinePassed StartResult = "late"   // the deadline has passed
	RejectedNoCapacity     StartResult = "room"   // not enough free resources
	RejectedTicket         StartResult = "ticket" // the ticket is missing or invalid
)

// WorkerIdentity identifies one lifetime of a worker.
type WorkerIdentity struct {
	ID       string
	Lifetime int64 // start time of this lifetime in Unix milliseconds
}

// HoldResponse is a worker's response to a Hold call, with lists of its active and its unacknowledged ended runs. Times are on the
// worker's clock.
type HoldResponse struct {
	Lifetime int64
	ClockMs  int64
	Fenced   bool // the token was too low; only ClockMs is valid
	// Incomplete means that the worker may have runs or ends that are not listed: the list of ended runs was cut off, or a row could
	// not be decoded. The absence of a run then proves nothing.
	Incomplete bool
	// UnreadableRows is the number of rows that could not be decoded, and UnreadableCause the error of the first of them.
	UnreadableRows  int
	UnreadableCause error
	Active          []ActiveRun
	Ended           []EndedRun // oldest first
}

// ActiveRun is a run on the worker.
type ActiveRun struct {
	Task            string
	Run             int
	Checkpoint      string
	ProgressPercent int
	// RecentUsage is averaged over the last half second. It is the tail latency in milliseconds for a serving task, and the
	// CPU use in millicores for any other task.
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
	// Start starts a run and is idempotent. It returns Accepted or why the run was rejected, and the worker's clock in
	// milliseconds.
	Start(ctx context.Context, id WorkerIdentity, token int64, s *session.Start, deadlineMs int64) (StartResult, int64, error)
	// Stop ends a run. The worker rejects a start of this run that arrives later.
	Stop(ctx context.Context, id WorkerIdentity, token int64, task string, run int) error
	// Hold extends the deadline of all runs to deadlineMs; 0 leaves the deadline unchanged. It acknowledges the ends up to number
	// lastAckedEndSeq, which the worker then forgets. The worker waits up to waitMs for a run to end before it responds.
	Hold(ctx context.Context, id WorkerIdentity, token, deadlineMs, lastAckedEndSeq int64, waitMs int) (HoldResponse, error)
	// Pace limits a run to a percentage of its full speed.
	Pace(ctx context.Context, id WorkerIdentity, token int64, task string, run, percent int) error
}
