package session

import (
	"time"

	"bamboofork/internal/jobs"
)

// messages_gen.go is generated from this file and has the binary form of the messages, with the field names of the JSON form.
//
//go:generate go run github.com/tinylib/msgp@v1.6.5 -file messages.go -io=false -tests=false
//msgp:tag json
//msgp:limit arrays:65536 maps:256

// ToMember is a message from the owner of the jobs to an agent or an entry.
type ToMember struct {
	Epoch         int64  `json:"e,omitempty"`  // log position of the owner's fence; the owner with the highest epoch is the current one
	Owner         string `json:"o,omitempty"`  // name of the owner's process, in the first message only
	AcceptsBinary bool   `json:"mp,omitempty"` // the sender decodes binary messages; in the first message only
	AcceptsParts  bool   `json:"ap,omitempty"` // the sender joins a list of runs that comes in several messages; in the first message only
	AckNow        bool   `json:"aw,omitempty"` // the agent confirms Seq at once, because further starts wait for it
	AgentCount    int    `json:"ac,omitempty"` // number of agents that the owner knows, in heartbeats only
	// Silences are the silences of agents that the owner has recorded and not announced on this connection before; agents only.
	Silences         []Silence `json:"si,omitempty"`
	LeaseValid       bool      `json:"c,omitempty"`  // the owner's lease was valid when this was sent
	StoreUnreachable bool      `json:"u,omitempty"`  // the owner cannot reach the store; a process that reaches the store may take over
	Resigned         bool      `json:"z,omitempty"`  // the owner releases ownership; a successor should take over at once
	AckReportSeq     int64     `json:"b,omitempty"`  // ReportSeq of the newest report that the owner has received
	Seq              int64     `json:"n,omitempty"`  // number of this message if it carries commands
	Starts           []Start   `json:"st,omitempty"` // agents only
	Stops            []Stop    `json:"sp,omitempty"` // agents only
	RunResources     []Start   `json:"sz,omitempty"` // resources of the runs that a restarted agent found on its worker
	Paces            []Pace    `json:"pc,omitempty"` // agents only
	AckLifetime      int64     `json:"al,omitempty"` // worker lifetime to which AckEndSeq refers
	AckEndSeq        int64     `json:"ak,omitempty"` // the worker may forget run ends whose Seq is at most this number
	Replies          []Reply   `json:"an,omitempty"` // entries only
	// Departures are lifetimes of workers that have ended and were not announced on this connection before.
	Departures []Departure `json:"dp,omitempty"`
	// Suspicion replaces the Suspicion that the agent keeps for the next owner; nil: it has not changed.
	Suspicion *Suspicion `json:"su,omitempty"`
	// Domains are the failure domains out of service; nil: unchanged on this connection, or unknown.
	Domains *Domains `json:"dm,omitempty"`
}

// Domains are the failure domains that operators have taken out of service, by the store's revision at which they were read. What has the
// higher revision is in force.
type Domains struct {
	Revision     int64    `json:"r"`
	OutOfService []string `json:"o,omitempty"` // sorted
}

// Silence states how long ago the owner has last received a report of an agent whose silence it has recorded in the log. The members
// tell the next owner, which counts the hold of the agent's worker from then.
type Silence struct {
	Number int64 `json:"n"` // see jobs.Silence
	ForMs  int64 `json:"f"` // negative: an earlier owner may confirm a report of the agent until that time from now
}

// Departure states that a lifetime of the agent's worker has ended, and with it all runs of that lifetime and of those before. Since that
// remains true, every process passes it on to each owner.
type Departure struct {
	Agent    string `json:"a"`
	Lifetime int64  `json:"l"`
}

// PreviousOwner is what a member has learned from an owner that it followed before.
type PreviousOwner struct {
	Epoch    int64     `json:"e"`
	Name     string    `json:"n"` // of the process
	SeenMs   int64     `json:"s"` // time since the owner connected to the member first
	Silences []Silence `json:"si,omitempty"`
}

// Suspicion is what an owner remembers about the failures on a worker, see placement.Suspicion. The zero value: nothing.
type Suspicion struct {
	FailedJobs    int    `json:"j,omitempty"`
	LastFailedJob string `json:"l,omitempty"`
	QuarantineMs  int64  `json:"q,omitempty"`
	NoStartForMs  int64  `json:"n,omitempty"` // remaining time without starts; negative: time since then
}

// Start is the command to start one run of a task.
type Start struct {
	Task       string `json:"t"`
	Run        int    `json:"r"`
	Payload    string `json:"p,omitempty"`
	Checkpoint string `json:"k,omitempty"`
	Ticket     string `json:"tk,omitempty"`
	Lifetime   int64  `json:"l"`           // lifetime of the worker for which the start is meant
	CPU        int    `json:"c,omitempty"` // millicores
	MemMB      int    `json:"m,omitempty"`
	GPU        int    `json:"g,omitempty"`
	TargetMs   int64  `json:"tm,omitempty"` // latency target of a serving task; 0: none
	BestEffort bool   `json:"f,omitempty"`
	Label      string `json:"lb,omitempty"`
	Pace       int    `json:"pc,omitempty"` // share of full speed in percent; 0: full speed
}

// Pace sets the share of full speed, in percent, that a best-effort run is allowed.
type Pace struct {
	Task    string `json:"t"`
	Run     int    `json:"r"`
	Percent int    `json:"p"`
}

// Stop is the command to stop a run.
type Stop struct {
	Task string `json:"t"`
	Run  int    `json:"r"`
}

// FromMember is a message from an agent or an entry to the owner.
type FromMember struct {
	// Name and Incarnation identify the process, in the first message of a connection only.
	Name        string `json:"nm,omitempty"`
	Incarnation string `json:"ic,omitempty"`
	// AcceptsBinary states that the sender decodes binary messages; in the first message only.
	AcceptsBinary bool `json:"mp,omitempty"`
	// NewerEpoch is the epoch of the owner that this member follows, in the answer to an owner with a lower epoch. The connection
	// is closed after it.
	NewerEpoch int64 `json:"ne,omitempty"`
	// Previous is sent to each new owner, once; nil: there was no previous owner. Earlier are the owners before that one, newest first.
	// Departures are what the owners have announced.
	Previous   *PreviousOwner  `json:"po,omitempty"`
	Earlier    []PreviousOwner `json:"eo,omitempty"`
	Departures []Departure     `json:"dp,omitempty"`

	Agent            bool      `json:"ag,omitempty"`
	ReportSeq        int64     `json:"b,omitempty"`  // number of this report
	AckSeq           int64     `json:"n,omitempty"`  // Seq of the newest commands that the agent has processed
	Worker           *Worker   `json:"w,omitempty"`  // nil: no worker is known yet
	BestEffortPaused bool      `json:"sl,omitempty"` // best-effort runs are slowed for a serving run; no further ones may be placed
	RunsComplete     bool      `json:"f,omitempty"`  // Runs is the complete list of runs, or the last part of it
	RunsBefore       int       `json:"rb,omitempty"` // number of runs in the earlier parts of the list; 0: Runs is the first part
	RunsContinue     bool      `json:"rc,omitempty"` // the list of runs continues in the next message
	PollSeq          int64     `json:"lk,omitempty"` // number of the worker status poll on which Runs is based
	Runs             []Run     `json:"rs,omitempty"`
	Ends             []RunEnd  `json:"en,omitempty"`
	Refused          []Refusal `json:"rf,omitempty"`
	Requests         []Request `json:"rq,omitempty"` // entries only
	// Suspicion is what the previous owners remembered about the worker, in the first report on a connection only; nil: nothing.
	Suspicion *Suspicion `json:"su,omitempty"`
	// Domains is what the process knows from earlier owners, in the first message to a new owner only; nil: nothing.
	Domains *Domains `json:"dm,omitempty"`
}

// MaxHoldBesideOwner bounds the hold of the worker on the owner's host. That host may be lost together with the owner, and the takeover
// adds to the time for which the tasks of the worker are away.
const MaxHoldBesideOwner = 4500 * time.Millisecond

// WorkerClockDrift is the maximum fraction by which a worker's clock may run slower than the local clock. The computed expiry of
// a hold includes this drift.
const WorkerClockDrift = 0.02

// LongestHold returns the time, by the local clock, in which a hold expires that was granted for a time on a worker's clock.
func LongestHold(granted time.Duration) time.Duration {
	return time.Duration(float64(granted) / (1 - WorkerClockDrift))
}

// MaxLifetimeAhead is how far in the future the start of a worker's lifetime may lie by the local clock. It covers clocks that jump.
const MaxLifetimeAhead = 24 * time.Hour

// Worker describes the worker of an agent.
type Worker struct {
	ID          string   `json:"id"`
	Lifetime    int64    `json:"l"` // Unix milliseconds of the start of its current lifetime; 0: none is known, and its port is closed
	Service     string   `json:"s"`
	Zone        string   `json:"z,omitempty"`
	CPU         int      `json:"c"` // millicores
	MemMB       int      `json:"m"`
	GPU         int      `json:"g,omitempty"`
	Labels      []string `json:"lb,omitempty"`
	Draining    bool     `json:"d,omitempty"`
	Gone        bool     `json:"x,omitempty"` // the worker has shut down or no longer exists; nothing runs on it
	RemainingMs int64    `json:"r,omitempty"` // minimum remaining time of a draining worker
}

// Run is the state of a run for which the agent is responsible.
type Run struct {
	Task             string `json:"t"`
	Run              int    `json:"r"`
	Started          bool   `json:"s,omitempty"` // false: the worker has not confirmed the start yet
	Checkpoint       string `json:"k,omitempty"`
	ProgressPercent  int    `json:"p,omitempty"`
	RecentUsage      int    `json:"u5,omitempty"` // serving tasks: tail latency in milliseconds; others: CPU use in millicores
	PacePercent      int    `json:"pc,omitempty"` // share of full speed, in percent, that the worker has confirmed
	ResourcesUnknown bool   `json:"u,omitempty"`  // the agent does not know the resources of the run
	StalledMs        int64  `json:"sm,omitempty"` // time for which neither progress nor pace had changed when the worker listed the run last; in the first list on a connection only
}

// RunEnd is the end of a run, as reported by the worker.
type RunEnd struct {
	Lifetime   int64        `json:"l"`
	Seq        int64        `json:"n"`
	Task       string       `json:"t"`
	Run        int          `json:"r"`
	Outcome    jobs.Outcome `json:"h"`
	Checkpoint string       `json:"k,omitempty"`
}

// Refusal reports that the agent has not executed a start and will not execute it later.
type Refusal struct {
	Task   string `json:"t"`
	Run    int    `json:"r"`
	Reason string `json:"w"`
}

// Verb is the operation of a Request.
type Verb string

// Verbs of a Request.
const (
	VerbSubmit  Verb = "submit"
	VerbCancel  Verb = "cancel"
	VerbGet     Verb = "get"
	VerbPending Verb = "pending"
)

// Request is a caller's request that an entry forwards to the owner.
type Request struct {
	ID          int64       `json:"n"` // chosen by the entry, unique on its connection
	Verb        Verb        `json:"v"`
	JobID       string      `json:"j,omitempty"`
	Queue       *jobs.Queue `json:"q,omitempty"`
	Spec        *jobs.Spec  `json:"s,omitempty"`
	RemainingMs int64       `json:"l,omitempty"`  // remaining time until the caller's deadline
	WaitedMs    int64       `json:"wt,omitempty"` // time for which the entry has had the request
}

// Code is the result of a Request.
type Code string

// Results of a Request.
const (
	CodeOK       Code = "ok"
	CodeUnknown  Code = "unknown" // no such job
	CodeRejected Code = "rejected"
	// CodeReleased means that a submission is in no record of this owner and never will be. A successor may accept it.
	CodeReleased Code = "released"
)

// Reply is the result of one Request.
type Reply struct {
	RequestID   int64         `json:"n"`
	Code        Code          `json:"c"`
	State       jobs.JobState `json:"s,omitempty"`
	PendingJobs int           `json:"p,omitempty"`
	RetryMs     int64         `json:"r,omitempty"` // time after which a rejected request may be retried
	Reason      string        `json:"w,omitempty"`
}
