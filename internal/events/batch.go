package events

import "github.com/rs/zerolog"

// Events of partition owners, and of jobs and their tasks.
var (
	PartitionOwned    = register(3001, "partition_owned", zerolog.InfoLevel, "This process owns a partition and has recovered its state.")
	PartitionLost     = register(3002, "partition_lost", zerolog.WarnLevel, "This process no longer owns a partition.")
	PartitionReleased = register(3003, "partition_released", zerolog.InfoLevel, "This process released a partition during a graceful shutdown.")
	CommitFailed      = register(3004, "commit_failed", zerolog.WarnLevel, "A record, snapshot or owner key could not be written to the store; the line has the error.")
	JobAccepted       = register(3101, "job_accepted", zerolog.InfoLevel, "A job was accepted and is durable.")
	JobCancelled      = register(3102, "job_cancelled", zerolog.InfoLevel, "A job was cancelled.")
	TaskPlaced        = register(3201, "task_placed", zerolog.InfoLevel, "A task was placed on a worker; the line has its score and the rejected workers by reason.")
	TaskUnplaced      = register(3202, "task_unplaced", zerolog.DebugLevel, "No worker can run a task at present; the line has the reasons.")
	TaskRefused       = register(3203, "task_refused", zerolog.InfoLevel, "The agent refused a placement; the task was not started.")
	TaskEvicted       = register(3204, "task_evicted", zerolog.InfoLevel, "A task was checkpointed and returned to the queue.")
	TaskEnded         = register(3205, "task_ended", zerolog.InfoLevel, "A task reached a final state.")
	TaskRetry         = register(3206, "task_retry", zerolog.InfoLevel, "A task failed and will be retried after a delay.")
	TaskLost          = register(3207, "task_lost", zerolog.WarnLevel, "The hold of a task expired without a report from its agent.")
)

// Agent events.
var (
	TaskStarted   = register(2001, "task_started", zerolog.InfoLevel, "The agent started an attempt on its worker.")
	TaskStopped   = register(2002, "task_stopped", zerolog.InfoLevel, "The agent stopped an attempt.")
	TaskAdopted   = register(2003, "task_adopted", zerolog.InfoLevel, "A restarted agent found an attempt on its worker and asks the partition owner whether to keep it.")
	HoldExpired   = register(2004, "hold_expired", zerolog.WarnLevel, "The hold of an attempt expired; the agent stops the attempt.")
	GateRefused   = register(2201, "gate_refused", zerolog.DebugLevel, "The agent's admission gate refused a request; it was not run.")
	ForwardFailed = register(2202, "forward_failed", zerolog.InfoLevel, "The call to the backend server for a request failed, or its response was truncated.")
	AgentDraining = register(2301, "agent_draining", zerolog.InfoLevel, "The agent accepts no new work and waits for its running work to end.")
)

// Entry events.
var (
	RequestRouted   = register(1001, "request_routed", zerolog.InfoLevel, "A backend server was chosen; the line has the reason and the rejected candidates.")
	RequestUnrouted = register(1002, "request_unrouted", zerolog.InfoLevel, "No backend server could be chosen; the request was not run.")
	RequestRetried  = register(1003, "request_retried", zerolog.InfoLevel, "A request is retried at another backend server.")
	RequestShed     = register(1004, "request_shed", zerolog.DebugLevel, "A request was refused by a limit; it was not run.")
	RequestUnknown  = register(1005, "request_unknown", zerolog.WarnLevel, "The outcome of a request is unknown.")
	AnswerMismatch  = register(1006, "answer_mismatch", zerolog.ErrorLevel, "A response carried the identifier of another request and was discarded.")
	EntryDraining   = register(1101, "entry_draining", zerolog.InfoLevel, "The entry accepts no new requests and waits for those in flight.")
	EntryDrained    = register(1102, "entry_drained", zerolog.InfoLevel, "The entry serves no callers any more; the line has the number of requests that ended without an answer.")
)
