package session

import "bamboofork/internal/jobs"

// ToMember is what the owner of the jobs sends to an agent or an entry.
type ToMember struct {
	Epoch     int64    `json:"e,omitempty"`  // log position of the owner's fence; higher owners replace lower ones
	Owner     string   `json:"o,omitempty"`  // name of the owner's process, in the first message only
	Confirmed bool     `json:"c,omitempty"`  // the owner's lease was valid when this was sent
	Unsure    bool     `json:"u,omitempty"`  // the store does not answer the owner; a process that reaches it may take over
	Resigned  bool     `json:"z,omitempty"`  // the owner gives up; a successor is wanted at once
	Echo      int64    `json:"b,omitempty"`  // newest report of the agent that the owner has seen
	Seq       int64    `json:"n,omitempty"`  // number of this message when it carries orders
	Starts    []Start  `json:"st,omitempty"` // agents only
	Stops     []Stop   `json:"sp,omitempty"` // agents only
	Sizes     []Start  `json:"sz,omitempty"` // what runs take that a restarted agent has found on its worker
	Paces     []Pace   `json:"pc,omitempty"` // agents only
	AckLife   int64    `json:"al,omitempty"` // lifetime that AckEnds belongs to
	AckEnds   int64    `json:"ak,omitempty"` // the worker may forget ends up to this number
	Answers   []Answer `json:"an,omitempty"` // entries only
}

// Start orders one run of a task.
type Start struct {
	Task       string `json:"t"`
	Run        int    `json:"r"`
	Payload    string `json:"p,omitempty"`
	Checkpoint string `json:"k,omitempty"`
	Ticket     string `json:"tk,omitempty"`
	Life       int64  `json:"l"`
	CPU        int    `json:"c,omitempty"`
	MemMB      int    `json:"m,omitempty"`
	GPU        int    `json:"g,omitempty"`
	TargetMs   int64  `json:"tm,omitempty"`
	Fills      bool   `json:"f,omitempty"`
	Label      string `json:"lb,omitempty"`
	Pace       int    `json:"pc,omitempty"` // share of full speed in percent; 0: full speed
}

// Pace sets the share of its full speed, in percent, that a filling run may have.
type Pace struct {
	Task    string `json:"t"`
	Run     int    `json:"r"`
	Percent int    `json:"p"`
}

// Stop orders the end of a run.
type Stop struct {
	Task string `json:"t"`
	Run  int    `json:"r"`
}

// FromMember is what an agent or an entry sends to the owner.
type FromMember struct {
	// Name and Incarnation identify the process, in the first message of a connection only.
	Name        string `json:"nm,omitempty"`
	Incarnation string `json:"ic,omitempty"`

	Agent    bool      `json:"ag,omitempty"`
	Stamp    int64     `json:"b,omitempty"`  // number of this report
	SeenSeq  int64     `json:"n,omitempty"`  // newest order message that the agent has taken in
	Worker   *Worker   `json:"w,omitempty"`  // nil: no worker known yet
	Slowed   bool      `json:"sl,omitempty"` // filling runs are slowed for a serving run; no more of them are wanted
	Full     bool      `json:"f,omitempty"`  // Runs is the complete list
	Look     int64     `json:"lk,omitempty"` // number of the look at the worker that Runs comes from
	Runs     []Run     `json:"rs,omitempty"`
	Ends     []RunEnd  `json:"en,omitempty"`
	Refused  []Refusal `json:"rf,omitempty"`
	Requests []Request `json:"rq,omitempty"` // entries only
}

// WorkerClockDrift is how much slower than ours a worker's clock may run, as a share; holds are timed by it.
const WorkerClockDrift = 0.02

// Worker describes the worker beside an agent.
type Worker struct {
	ID       string   `json:"id"`
	Life     int64    `json:"l"` // start of its present lifetime
	Service  string   `json:"s"`
	Zone     string   `json:"z,omitempty"`
	CPU      int      `json:"c"` // thousandths of a core
	MemMB    int      `json:"m"`
	GPU      int      `json:"g,omitempty"`
	Labels   []string `json:"lb,omitempty"`
	Draining bool     `json:"d,omitempty"`
	Gone     bool     `json:"x,omitempty"` // the worker has left or does not exist any more; nothing runs on it
	LeftMs   int64    `json:"r,omitempty"` // least time that is left to a draining worker
}

// Run is a run that the agent is responsible for.
type Run struct {
	Task    string `json:"t"`
	Run     int    `json:"r"`
	Started bool   `json:"s,omitempty"` // false: the order is not answered yet
	Saved   string `json:"k,omitempty"` // newest checkpoint
	Percent int    `json:"p,omitempty"`
	Recent  int    `json:"u5,omitempty"` // tail latency in milliseconds of a serving task, else processor use in thousandths of a core
	Pace    int    `json:"pc,omitempty"` // share of full speed, in percent, that the worker has confirmed
	Unsized bool   `json:"u,omitempty"`  // the agent does not know what the run takes
}

// RunEnd is an end that the worker has listed.
type RunEnd struct {
	Life  int64        `json:"l"`
	Seq   int64        `json:"n"`
	Task  string       `json:"t"`
	Run   int          `json:"r"`
	How   jobs.Outcome `json:"h"`
	Saved string       `json:"k,omitempty"`
}

// Refusal says that a start was not and will not be carried out.
type Refusal struct {
	Task   string `json:"t"`
	Run    int    `json:"r"`
	Reason string `json:"w"`
}

// Verb is what an entry asks of the owner.
type Verb string

// Verbs of a Request.
const (
	VerbSubmit  Verb = "submit"
	VerbCancel  Verb = "cancel"
	VerbGet     Verb = "get"
	VerbPending Verb = "pending"
)

// Request is a caller's request that an entry passes on.
type Request struct {
	N      int64       `json:"n"` // chosen by the entry, unique on its connection
	Verb   Verb        `json:"v"`
	JobID  string      `json:"j,omitempty"`
	Queue  *jobs.Queue `json:"q,omitempty"`
	Spec   *jobs.Spec  `json:"s,omitempty"`
	LeftMs int64       `json:"l,omitempty"` // time that the caller still waits
}

// Code is the result of a Request.
type Code string

// Results of a Request.
const (
	CodeOK       Code = "ok"
	CodeUnknown  Code = "unknown" // no such job
	CodeRejected Code = "rejected"
)

// Answer is the result of one Request.
type Answer struct {
	N       int64         `json:"n"`
	Code    Code          `json:"c"`
	State   jobs.JobState `json:"s,omitempty"`
	Pending int           `json:"p,omitempty"`
	RetryMs int64         `json:"r,omitempty"` // when a rejected job may come back
	Reason  string        `json:"w,omitempty"`
}
