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
	HeaderDeadlineMs = "Bf-Deadline-Ms" // time until the request's deadline, in milliseconds
	HeaderAttempt    = "Bf-Attempt"     // number of the attempt, from 1
	HeaderOutcome    = "Bf-Outcome"     // an Outcome
	HeaderReason     = "Bf-Reason"
	HeaderAgent      = "Bf-Agent"
	HeaderBusy       = "Bf-Busy"      // number of the agent's slots in use when the agent responded
	HeaderQueued     = "Bf-Queued"    // number of requests in the agent's admission queue when the agent responded
	HeaderWaitUs     = "Bf-Wait-Us"   // time that the request spent in the agent's admission queue, in microseconds
	HeaderCaller     = "Bf-Caller"    // caller's IP address, set by the entry
	HeaderUnhealthy  = "Bf-Unhealthy" // "1" if the agent could not reach its backend server
	HeaderEntry      = "Bf-Entry"     // ID of the entry that routed the request and holds its routing decisions
	HeaderKey        = "Idempotency-Key"
	// HeaderIncarnation and HeaderUntilMs are set on requests that must run at most once. HeaderIncarnation is the incarnation
	// of the agent to which the request is dispatched. HeaderUntilMs is a time on that agent's clock, in milliseconds; the
	// agent refuses the request after this time.
	HeaderIncarnation = "Bf-Incarnation"
	HeaderUntilMs     = "Bf-Until-Ms"
	// HeaderLeaving is set on every response of an agent that is shutting down gracefully.
	HeaderLeaving = "Bf-Leaving"
)

// Time limits of requests with an idempotency key, measured on the clock of the agent that executes the request.
const (
	// DispatchWindow is how long after the claim of a request the agent accepts its dispatch.
	DispatchWindow = 30 * time.Second
	// RequestRetention is how long an agent keeps the records of started, fenced and ended requests. It exceeds
	// DispatchWindow. A repeated or fenced dispatch is thus always refused: while the record exists because of the record,
	// and afterwards because the dispatch arrives too late.
	RequestRetention = 2 * time.Minute
)

// MaxStoredBodyBytes is the largest response body, in bytes, that is stored with a claim.
const MaxStoredBodyBytes = 8 << 10

// ForwardPath is the prefix of forwarded requests on an agent's data address.
const ForwardPath = "/forward"

// Outcome is the outcome of a request.
type Outcome string

// Outcomes of a request.
const (
	OutcomeDone    Outcome = "done"    // ran, and its response is complete
	OutcomeFailed  Outcome = "failed"  // ran, and its response is lost or incomplete
	OutcomeNotRun  Outcome = "not_run" // proven not to have run
	OutcomeUnknown Outcome = "unknown" // may or may not have run
)

// Code is the result of a call to a partition owner.
type Code string

// Codes of calls to a partition owner.
const (
	CodeOK        Code = "ok"
	CodeNotOwner  Code = "not_owner"  // the call had no effect; the caller must look up the owner again
	CodeNoStore   Code = "no_store"   // the call had no effect; the store is unavailable
	CodeUncertain Code = "uncertain"  // the change may or may not become durable
	CodeUnknown   Code = "unknown_id" // the call had no effect; the owner does not know the ID
	CodeStale     Code = "stale"      // the call had no effect; the state of the job or claim does not allow the change
)

// Messages of calls to a partition owner.
type (
	SubmitArgs struct {
		Partition int
		Job       ledger.Job
	}
	SubmitReply struct {
		Code  Code
		JobID string // ID of the stored job; if the key was used before, that of the earlier job
	}
	ClaimArgs struct {
		Partition int
		Claim     ledger.Claim
	}
	ClaimReply struct {
		Code     Code
		Granted  bool         // the key was free, and the claim is stored
		Reason   string       // why Code is not CodeOK
		Existing ledger.Claim // the earlier claim of the key, if Granted is false
	}
	// AssignArgs moves an open claim to another agent. Claim holds the new agent and the number of the new attempt.
	AssignArgs struct {
		Partition int
		Claim     ledger.Claim
	}
	AssignReply  struct{ Code Code }
	CompleteArgs struct {
		Partition int
		Claim     ledger.Claim
		Release   bool // the request is proven not to have run, so the key may be claimed again
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
		Wait      time.Duration // maximum time for which the owner waits for the end of the job; with 0 it replies at once
	}
	GetReply struct {
		Code    Code
		Job     ledger.Job
		Explain []string // the latest placement decision for each unplaced task, as text
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

// TaskReport is the state of one attempt of a task as reported by its agent. Progress is a fraction from 0 to 1.
type TaskReport struct {
	Ref        worker.Ref
	State      worker.State
	Checkpoint string
	Reason     string
	Progress   float64
	Used       worker.Resources // peak of the measured resource use; zero if not measured
	Ran        time.Duration    // work done so far, as the run time that it takes at full speed; zero if unknown
}

// ReportArgs reports the states of an agent's tasks to a partition owner and requests the renewal of their holds. A hold is
// the time for which the agent keeps a task without a new confirmation by the owner.
type ReportArgs struct {
	Partition   int
	Agent       string
	Incarnation int64
	Tasks       []TaskReport
}

// ReportReply lists the attempts that the agent may keep running (Hold), those that the agent must stop (Stop), and those
// whose records the agent may delete (Forget).
type ReportReply struct {
	Code   Code
	Hold   []worker.Ref
	For    time.Duration // duration of the renewed holds, from the time at which the report was sent
	Stop   []worker.Ref
	Forget []worker.Ref
}

// Messages of calls to an agent.
type (
	PlaceArgs struct {
		Partition   int
		Incarnation int64         // incarnation of the agent on which the task is placed
		HoldUntil   time.Duration // end of the hold, on the agent's clock; the agent refuses a placement that arrives later
		Spec        worker.Spec
	}
	PlaceReply struct {
		Accepted bool
		Reason   string
		Clock    time.Duration    // the agent's clock when the agent accepted or refused the task
		Free     worker.Resources // the agent's free capacity at the time Clock
		Kept     bool             // the task is refused because the capacity is reserved for an urgent task
		Late     bool             // the task is refused because HoldUntil had passed
	}
	// PreemptArgs commands an agent to checkpoint and evict tasks with a lower priority than Priority until Need is free.
	PreemptArgs struct {
		Incarnation int64
		Task        string // task that needs the capacity
		Need        worker.Resources
		Priority    int
	}
	PreemptReply struct {
		Evicted int    // number of evicted tasks
		Reason  string // why no task was evicted
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
	// StopArgs commands an agent to stop an attempt and to fence it: the agent refuses a placement of the attempt that arrives
	// later. With Checkpoint the agent saves a checkpoint first.
	StopArgs struct {
		Ref        worker.Ref
		Checkpoint bool
	}
	StopReply struct {
		Report TaskReport
		Known  bool // the agent knew the attempt; otherwise Report holds only its Ref
	}
	// QueryArgs queries an agent for the state of attempts. The agent fences the attempts that are unknown to it.
	QueryArgs struct{ Refs []worker.Ref }
	// QueryReply lists the attempts that the agent does not know (Unknown). The list is conclusive only if Ready is set, which
	// means that the agent has read the task list of its worker since the agent's start. Settled means that all leases that
	// an earlier incarnation of the agent could have renewed at the worker have expired.
	QueryReply struct {
		Ready       bool
		Settled     bool
		Incarnation int64
		Unknown     []worker.Ref
	}
	// FenceArgs queries an agent for the outcome of a dispatched request. If the request has not started, the agent fences it:
	// the request will never start there.
	FenceArgs struct {
		RequestID   string        // request ID and attempt, see AttemptID
		Incarnation int64         // incarnation of the agent to which the request was dispatched
		Until       time.Duration // see HeaderUntilMs
	}
	FenceReply struct {
		Verdict     Verdict
		Incarnation int64  // current incarnation of the responding agent
		Result      Result // set if Verdict is VerdictEnded
	}
	// Result is the outcome of a request and the stored part of its response.
	Result struct {
		Outcome   Outcome
		Status    int // HTTP status of the backend server
		Header    map[string]string
		Body      []byte
		Truncated bool // Body does not hold the whole response body, which was too large to store or was cut off
	}
)

// Verdict is the state of a dispatched request as its agent knows it.
type Verdict string

// Verdicts on a dispatched request.
const (
	VerdictNotStarted Verdict = "never"   // the request has not started and is fenced, so it never starts
	VerdictRunning    Verdict = "running" // the request has started and not ended
	VerdictEnded      Verdict = "ended"
	VerdictUnknown    Verdict = "unknown" // the request went to another incarnation, or its record has expired
)

// AttemptID returns the identifier of one attempt of a request.
func AttemptID(requestID string, attempt int) string { return requestID + "/" + strconv.Itoa(attempt) }
