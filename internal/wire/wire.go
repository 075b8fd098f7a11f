// Package wire defines the messages between the project's own processes and the headers
// of forwarded requests. Control messages are sent over net/rpc (package peer).
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
	HeaderBusy       = "Bf-Busy"      // slots in use at the agent when it responded
	HeaderQueued     = "Bf-Queued"    // requests in the agent's admission queue when it responded
	HeaderWaitUs     = "Bf-Wait-Us"   // time the request spent in the agent's admission queue, in microseconds
	HeaderCaller     = "Bf-Caller"    // caller's IP address, set by the entry
	HeaderUnhealthy  = "Bf-Unhealthy" // "1": the agent could not reach its backend server
	HeaderEntry      = "Bf-Entry"     // ID of the entry that routed the request and holds its routing decisions
	HeaderKey        = "Idempotency-Key"
	// HeaderIncarnation and HeaderUntilMs are set on requests that must run at most once. They hold the incarnation of the
	// agent that the request is dispatched to, and the time on that agent's clock, in milliseconds, after which the agent
	// refuses it.
	HeaderIncarnation = "Bf-Incarnation"
	HeaderUntilMs     = "Bf-Until-Ms"
	// HeaderLeaving is set on every response of an agent that is shutting down.
	HeaderLeaving = "Bf-Leaving"
)

// Times of keyed requests, on the clock of the agent that executes them.
const (
	// DispatchWindow is the time after its claim within which a dispatch is accepted.
	DispatchWindow = 30 * time.Second
	// RequestRetention is how long an agent keeps the records of started, fenced and ended requests. It exceeds
	// DispatchWindow, so that a repeated or fenced dispatch is refused either by its record or because it is too late.
	RequestRetention = 2 * time.Minute
)

// MaxStoredBodyBytes is the largest response body, in bytes, that is stored with a claim.
const MaxStoredBodyBytes = 8 << 10

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

// Code is the result of a call to a partition owner.
type Code string

// Codes of partition calls.
const (
	CodeOK        Code = "ok"
	CodeNotOwner  Code = "not_owner"  // had no effect; look up the owner again
	CodeNoStore   Code = "no_store"   // had no effect; the store is unavailable
	CodeUncertain Code = "uncertain"  // the change may or may not become durable
	CodeUnknown   Code = "unknown_id" // had no effect; the owner does not know the ID
	CodeStale     Code = "stale"      // had no effect; the state of the job or claim does not allow the change
)

// Messages of calls to a partition owner.
type (
	SubmitArgs struct {
		Partition int
		Job       ledger.Job
	}
	SubmitReply struct {
		Code  Code
		JobID string // of the existing job if the key was used before
	}
	ClaimArgs struct {
		Partition int
		Claim     ledger.Claim
	}
	ClaimReply struct {
		Code     Code
		Granted  bool
		Reason   string       // why the code is not CodeOK
		Existing ledger.Claim // the conflicting claim, if not granted
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
		Release   bool // the request is proven not to have run: the key may be claimed again
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
		Wait      time.Duration // maximum time to wait for the end of the job before replying; 0: reply at once
	}
	GetReply struct {
		Code    Code
		Job     ledger.Job
		Explain []string // latest placement decision for each unplaced task
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

// TaskReport is the state of one attempt of a task as reported by its agent.
type TaskReport struct {
	Ref        worker.Ref
	State      worker.State
	Checkpoint string
	Reason     string
	Progress   float64
	Used       worker.Resources // peak measured use; zero: not measured
	Ran        time.Duration    // work done, as run time at full speed; zero: unknown
}

// ReportArgs reports the states of an agent's tasks to a partition owner and requests the renewal of their holds.
type ReportArgs struct {
	Partition   int
	Agent       string
	Incarnation int64
	Tasks       []TaskReport
}

// ReportReply lists the attempts that the agent may keep running, those that it must stop, and those that it may forget.
type ReportReply struct {
	Code   Code
	Hold   []worker.Ref
	For    time.Duration // length of the holds, counted from when the report was sent
	Stop   []worker.Ref
	Forget []worker.Ref
}

// Messages of calls to an agent.
type (
	PlaceArgs struct {
		Partition   int
		Incarnation int64         // of the agent that the task is placed on
		HoldUntil   time.Duration // end of the hold on the agent's clock; the agent refuses a placement that arrives later
		Spec        worker.Spec
	}
	PlaceReply struct {
		Accepted bool
		Reason   string
		Clock    time.Duration    // the agent's clock at its decision
		Free     worker.Resources // the agent's free capacity at that time
		Kept     bool             // refused because the capacity is reserved for an urgent task
		Late     bool             // refused because HoldUntil had passed
	}
	// PreemptArgs commands an agent to checkpoint and evict tasks of lower priority until Need is free.
	PreemptArgs struct {
		Incarnation int64
		Task        string // that needs the capacity
		Need        worker.Resources
		Priority    int
	}
	PreemptReply struct {
		Evicted int
		Reason  string // why nothing was evicted
	}
	// ExplainArgs queries an agent or a partition owner for its recent decisions about a task. Agents ignore Partition.
	ExplainArgs struct {
		Partition int
		Task      string
	}
	ExplainReply struct {
		Code    Code
		Records []scheduler.Record
	}
	// StopArgs commands an agent to stop an attempt and to fence it, so that a placement that arrives later is refused.
	StopArgs struct {
		Ref        worker.Ref
		Checkpoint bool
	}
	StopReply struct {
		Report TaskReport
		Known  bool
	}
	// QueryArgs queries an agent for the state of attempts. The agent fences those that it does not know.
	QueryArgs struct{ Refs []worker.Ref }
	// QueryReply is conclusive only if Ready is set: the agent has read the task list of its worker since its start. Settled
	// means that all leases that an earlier incarnation of the agent could have renewed at the worker have expired.
	QueryReply struct {
		Ready       bool
		Settled     bool
		Incarnation int64
		Unknown     []worker.Ref
	}
	// FenceArgs queries an agent for the outcome of a dispatched request. A request that has not started is fenced, so that it
	// never starts.
	FenceArgs struct {
		RequestID   string        // includes the attempt, see AttemptID
		Incarnation int64         // of the agent that it was dispatched to
		Until       time.Duration // see HeaderUntilMs
	}
	FenceReply struct {
		Verdict     Verdict
		Incarnation int64  // of the responding agent
		Result      Result // if the verdict is VerdictEnded
	}
	// Result is the outcome of a request and the stored part of its response.
	Result struct {
		Outcome   Outcome
		Status    int // HTTP status of the backend server
		Header    map[string]string
		Body      []byte
		Truncated bool // the body was too large to store
	}
)

// Verdict is the state of a dispatched request as known to its agent.
type Verdict string

// Verdicts.
const (
	VerdictNotStarted Verdict = "never"   // not started, and fenced so that it never starts
	VerdictRunning    Verdict = "running" // started, not ended
	VerdictEnded      Verdict = "ended"
	VerdictUnknown    Verdict = "unknown" // dispatched to another incarnation, or its record has expired
)

// AttemptID returns the identifier of one dispatch of a request.
func AttemptID(requestID string, attempt int) string { return requestID + "/" + strconv.Itoa(attempt) }
