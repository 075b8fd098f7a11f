// Package hostagent is the process beside one worker. It alone gives the worker orders, guards the worker's room, keeps
// its runs held as long as the owner of the jobs hears from the agent, and reports ends until the owner has them.
package hostagent

import (
	"context"
	"errors"

	"bamboofork/internal/jobs"
	"bamboofork/internal/session"
)

// Errors of calls to the worker.
var (
	// ErrNoAnswer: the call may have been carried out, or may still be.
	ErrNoAnswer = errors.New("the worker did not answer")
	// ErrClosed: the worker's port refuses connections; the call was not carried out.
	ErrClosed = errors.New("the worker's port is closed")
	// ErrBusy: the worker did nothing.
	ErrBusy = errors.New("the worker is busy")
	// ErrOtherLife: the worker is in another lifetime than the call was meant for.
	ErrOtherLife = errors.New("another lifetime of the worker answered")
	// ErrRejected: the worker will not carry out the call in this form.
	ErrRejected = errors.New("the worker rejected the call")
)

// Rejection is why a worker did not begin a run.
type Rejection string

// Reasons of a worker. The empty reason means that the run is there.
const (
	Accepted       Rejection = ""
	RejectedFence  Rejection = "fence"  // a later agent has shown a higher token
	RejectedOld    Rejection = "old"    // a run with this or a higher number has been stopped or has ended
	RejectedLate   Rejection = "late"   // the deadline has passed
	RejectedRoom   Rejection = "room"   // no room
	RejectedTicket Rejection = "ticket" // no valid ticket
)

// Identity is a lifetime of a worker.
type Identity struct {
	ID   string
	Life int64 // Unix milliseconds of its start
}

// HoldAnswer is a worker's complete view of its runs. Times are on the worker's clock.
type HoldAnswer struct {
	Life    int64
	ClockMs int64
	Fenced  bool // the token was too low; only ClockMs is valid
	Active  []ActiveRun
	Ended   []EndedRun
}

// ActiveRun is a run on the worker.
type ActiveRun struct {
	Task    string
	Run     int
	Saved   string
	Percent int
	// Recent is the tail latency in milliseconds of a task that serves, otherwise the processor use in thousandths of a
	// core, over the last half second.
	Recent int
}

// EndedRun is an end that the worker lists until it is acknowledged.
type EndedRun struct {
	Seq   int64
	Task  string
	Run   int
	How   jobs.Outcome
	Saved string
}

// Runner is the worker's interface.
type Runner interface {
	// Start begins a run; it is safe to repeat. It returns the worker's clock.
	Start(ctx context.Context, who Identity, token int64, s *session.Start, deadlineMs int64) (Rejection, int64, error)
	// Stop ends a run, and rejects it if it arrives later.
	Stop(ctx context.Context, who Identity, token int64, task string, run int) error
	// Hold extends the runs' deadline (0: not), lets the worker forget ends up to lastSeen, and waits up to waitMs for an end.
	Hold(ctx context.Context, who Identity, token, deadlineMs, lastSeen int64, waitMs int) (HoldAnswer, error)
	// Pace lets a run work at the share of its speed, in percent.
	Pace(ctx context.Context, who Identity, token int64, task string, run, percent int) error
}
