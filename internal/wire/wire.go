// Package wire holds the messages between the project's own processes and the headers
// of forwarded requests. Control messages travel over net/rpc (package peer).
package wire

import (
	"strconv"
	"time"

	"bamboofork/internal/ledger"
	"bamboofork/internal/scheduler"
	"bamboofork/internal/worker"
)

// Headers of a forwarded request and its response.
const (
	HeaderRequestID  = "Bf-Request-Id"
	HeaderBranch     = "Bf-Branch"
	HeaderDeadlineMs = "Bf-Deadline-Ms" // remaining time in milliseconds
	HeaderAttempt    = "Bf-Attempt"
	HeaderOutcome    = "Bf-Outcome"
	HeaderReason     = "Bf-Reason"
	HeaderAgent      = "Bf-Agent"
	HeaderBusy       = "Bf-Busy"      // slots in use at the agent when it answered
	HeaderQueued     = "Bf-Queued"    // requests waiting at the agent's gate when it answered
	HeaderWaitUs     = "Bf-Wait-Us"   // time the request waited at the agent's gate, in microseconds
	HeaderCaller     = "Bf-Caller"    // caller's IP address, set by the entry
	HeaderUnhealthy  = "Bf-Unhealthy" // "1": the agent could not reach its backend server
	HeaderEntry      = "Bf-Entry"     // the entry that routed the request; it explains its decisions
	HeaderKey        = "Idempotency-Key"
	// HeaderIncarnation and HeaderUntilMs mark a request that must run at most once: the incarnation of the agent
	// that it is dispatched to, and the time on that agent's clock in milliseconds after which it is refused.
	HeaderIncarnation = "Bf-Incarnation"
	HeaderUntilMs     = "Bf-Until-Ms"
	// HeaderLeaving is set on every answer of an agent that leaves.
	HeaderLeaving = "Bf-Leaving"
)

// Times of keyed requests, on the clock of the agent that executes them.
const (
	// DispatchWindow is how long after its claim a dispatch may arrive.
	DispatchWindow = 30 * time.Second
	// RequestMemory is how long an agent remembers starts, fences and ends. It exceeds DispatchWindow, so that a
	// repeated or fenced arrival is refused either by memory or by its time.
	RequestMemory = 2 * time.Minute
)

// KeptBody is the largest response body, in bytes, that is stored with a claim.
const KeptBody = 8 << 10

// ForwardPath is the prefix of forwarded requests on an agent's data address.
const ForwardPath = "/forward"

// Outcome of a request.
type Outcome string

// Outcomes.
const (
	OutcomeDone    Outcome = "done"
	OutcomeFailed  Outcome = "failed"
	OutcomeNotRun  Outcome = "not_run" // proven not to have run
	OutcomeUnknown Outcome = "unknown"
)

// Code is the verdict of a partition owner about a call.
type Code string

// Codes of partition calls.
const (
	CodeOK        Code = "ok"
	CodeNotOwner  Code = "not_owner" // had no effect; ask the directory again
	CodeNoStore   Code = "no_store"  // had no effect; the store does not answer
	CodeUncertain Code = "uncertain" // may become durable
	CodeUnknown   Code = "unknown_id"
	CodeStale     Code = "stale"
)

// Partition calls.
type (
	SubmitArgs struct {
		Partition int
		Job       ledger.Job
	}
	SubmitReply struct {
		Code  Code
		JobID string // of the earlier job if the key was used before
	}
	ClaimArgs struct {
		Partition int
		Claim     ledger.Claim
	}
	ClaimReply struct {
		Code     Code
		Granted  bool
		Reason   string       // why the code is not CodeOK
		Existing ledger.Claim // the claim in the way if not granted
	}
	// AssignArgs moves an open claim to another agent; Claim carries the new attempt.
	AssignArgs struct {
		Partition int
		Claim     ledger.Claim
	}
	AssignReply  struct{ Code Code }
	CompleteArgs struct {
		Partition int
		Claim     ledger.Claim
		Release   bool // proven not run: the key may be claimed again
	}
	CompleteReply struct{ Code Code }
	CancelArgs    struct {
		Partition int
		JobID     string
	}
	CancelReply struct{ Code Code }
	GetArgs     struct {
		Partition int
		JobID     string
		Wait      time.Duration // answer when the job has finished, at the latest after this time; 0: at once
	}
	GetReply struct {
		Code    Code
		Job     ledger.Job
		Explain []string // newest placement decision of each unplaced task
	}
	ListArgs struct {
		Partition int
		Limit     int
	}
	ListReply struct {
		Code Code
		Jobs []ledger.Job
	}
)

// TaskReport is what an agent knows about one attempt.
type TaskReport struct {
	Ref        worker.Ref
	State      worker.State
	Checkpoint string
	Reason     string
	Progress   float64
	Used       worker.Resources // largest measured use; zero: not measured
	Ran        time.Duration    // work done in time at full speed; zero: not known
}

// ReportArgs renews the holds of an agent's tasks and reports their states.
type ReportArgs struct {
	Partition   int
	Agent       string
	Incarnation int64
	Tasks       []TaskReport
}

// ReportReply tells the agent which attempts it may go on running, which to stop, and which it may forget.
type ReportReply struct {
	Code   Code
	Hold   []worker.Ref
	For    time.Duration // length of the holds, counted from when the report was sent
	Stop   []worker.Ref
	Forget []worker.Ref
}

// Agent calls.
type (
	PlaceArgs struct {
		Partition   int
		Incarnation int64         // of the agent that the placement is meant for
		HoldUntil   time.Duration // on the agent's own clock; a late arrival is refused
		Spec        worker.Spec
	}
	PlaceReply struct {
		Accepted bool
		Reason   string
		Clock    time.Duration    // the agent's clock at its decision
		Free     worker.Resources // the agent's free room at that clock
		Kept     bool             // refused because the room is kept for an urgent task
		Late     bool             // refused because HoldUntil had passed
	}
	// PreemptArgs asks an agent to checkpoint lower priority work until Need is free.
	PreemptArgs struct {
		Incarnation int64
		Task        string // that needs the room
		Need        worker.Resources
		Priority    int
	}
	PreemptReply struct {
		Evicted int
		Reason  string // why nothing was evicted
	}
	// ExplainArgs asks for the newest decisions about a task. Partition is used by owners only.
	ExplainArgs struct {
		Partition int
		Task      string
	}
	ExplainReply struct {
		Code    Code
		Records []scheduler.Record
	}
	// StopArgs ends an attempt and fences it, so that a late placement is refused.
	StopArgs struct {
		Ref        worker.Ref
		Checkpoint bool
	}
	StopReply struct {
		Report TaskReport
		Known  bool
	}
	// QueryArgs asks about attempts; those that the agent does not know are fenced.
	QueryArgs struct{ Refs []worker.Ref }
	// QueryReply is evidence only if Ready: the agent has read its worker's list since its start. Settled means that
	// the leases which an earlier incarnation of the agent could have renewed at the worker are over.
	QueryReply struct {
		Ready       bool
		Settled     bool
		Incarnation int64
		Unknown     []worker.Ref
	}
	// FenceArgs asks how a dispatched request ended. If it has not started, it never will.
	FenceArgs struct {
		RequestID   string        // with the attempt, see AttemptID
		Incarnation int64         // of the agent that it was dispatched to
		Until       time.Duration // of the dispatch
	}
	FenceReply struct {
		Verdict     Verdict
		Incarnation int64  // of the answering agent
		Result      Result // if the verdict is VerdictEnded
	}
	// Result is how a request ended, as far as it is kept.
	Result struct {
		Outcome   Outcome
		Status    int // HTTP status of the backend server
		Header    map[string]string
		Body      []byte
		Truncated bool // the body was too large to keep
	}
)

// Verdict is what an agent knows about a dispatched request.
type Verdict string

// Verdicts.
const (
	VerdictNever   Verdict = "never"   // proven not started, and fenced
	VerdictRunning Verdict = "running" // started, not ended
	VerdictEnded   Verdict = "ended"
	VerdictUnknown Verdict = "unknown" // another incarnation, or too long ago to remember
)

// AttemptID names one dispatch of a request.
func AttemptID(requestID string, attempt int) string { return requestID + "/" + strconv.Itoa(attempt) }
