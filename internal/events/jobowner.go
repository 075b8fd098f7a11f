package events

import "github.com/rs/zerolog"

// Events of the process that owns the jobs, of the entries and agents that follow this owner, and of the agents on the hosts.
var (
	JobsOwned        = register(3601, "jobs_owned", zerolog.InfoLevel, "This process owns the jobs; the line has the epoch and what was recovered.")
	JobsReleased     = register(3602, "jobs_released", zerolog.InfoLevel, "This process no longer owns the jobs; the line has the cause.")
	RecoveryRetried  = register(3603, "recovery_retried", zerolog.WarnLevel, "The job log could not be read or fenced; recovery is retried.")
	MemberReached    = register(3604, "member_reached", zerolog.InfoLevel, "The owner has connected to an entry or agent.")
	MemberLost       = register(3605, "member_lost", zerolog.WarnLevel, "The owner's connection to an entry or agent ended.")
	MemberUnreadable = register(3606, "member_unreadable", zerolog.WarnLevel, "An announcement in the store cannot be decoded and is ignored.")
	WorkerSeen       = register(3607, "worker_seen", zerolog.InfoLevel, "A worker is new, has restarted, is draining or is gone.")
	RunPlaced        = register(3611, "run_placed", zerolog.InfoLevel, "A task was placed; the start command is sent once the record is durable.")
	RunEnded         = register(3612, "run_ended", zerolog.InfoLevel, "A run has ended; the line has its outcome and the evidence for it.")
	RunStopOrdered   = register(3613, "run_stop_ordered", zerolog.InfoLevel, "The owner has sent an agent the command to stop a run.")
	JobEnded         = register(3614, "job_ended", zerolog.InfoLevel, "A job reached its final state.")
	StepAdvised      = register(3616, "step_advised", zerolog.InfoLevel, "The placement adviser returned the workers that may run a step, or its call failed; the line has the cause.")
	LearnedLoaded    = register(3617, "learned_loaded", zerolog.InfoLevel, "A new owner loaded the interference estimates of its predecessor, or failed to; the line has the cause.")
	LearnedFailed    = register(3618, "learned_failed", zerolog.WarnLevel, "The interference estimates could not be stored; the write is retried.")
	RunPaced         = register(3619, "run_paced", zerolog.InfoLevel, "The owner changed the share of full speed allowed to a best-effort run, to protect the serving runs on its host.")
	TaskWaits        = register(3620, "task_waits", zerolog.InfoLevel, "Perpetual tasks wait for a worker; once a second the line has the one that waits for longest and the free resources after the planning pass.")
	AgentSilent      = register(3621, "agent_silent", zerolog.WarnLevel, "The owner has not heard from an agent with runs; it confirms no report of the agent before this is over.")
	RecordUnreadable = register(3623, "record_unreadable", zerolog.ErrorLevel, "Positions of the job log hold something that is not a record; a new owner skips them. The line has the first position and their number.")
	JobRejected      = register(3615, "job_rejected", zerolog.InfoLevel, "A job was rejected and will not run; the line has the reason.")

	ColocationSeen = register(3640, "colocation_seen", zerolog.InfoLevel, "Serving tasks are over their target; at most once a second the line has the serving tasks that the workers listed last, those over their target, those of them with best-effort runs at work beside them, and the mean load by their users.")

	MessageTooLarge = register(2705, "message_too_large", zerolog.ErrorLevel, "A message exceeds what the peer accepts and was dropped; the connection goes on. Logged once for each connection.")

	OwnerSeen            = register(2701, "owner_seen", zerolog.InfoLevel, "An entry or agent follows a new job owner.")
	OwnerGone            = register(2702, "owner_gone", zerolog.WarnLevel, "The job owner is unreachable or has resigned.")
	AcceptFailed         = register(2704, "accept_failed", zerolog.WarnLevel, "A connection of an owner could not be accepted; the process goes on accepting.")
	Candidacy            = register(2703, "candidacy", zerolog.InfoLevel, "This process is a candidate for job owner; the line has the evidence that the current owner may be replaced.")
	RunStarted           = register(2711, "run_started", zerolog.InfoLevel, "The worker started a run.")
	RunRefused           = register(2712, "run_refused", zerolog.InfoLevel, "A start command was refused and will not be executed; the line has the reason.")
	RunUnanswered        = register(2713, "run_unanswered", zerolog.WarnLevel, "The worker did not respond to a command; the command is sent again.")
	WorkerLife           = register(2714, "worker_life", zerolog.InfoLevel, "The agent took over its worker under a new fencing token; the line has the token.")
	WorkerLost           = register(2715, "worker_lost", zerolog.WarnLevel, "The worker does not respond.")
	WorkerBack           = register(2716, "worker_back", zerolog.InfoLevel, "The worker responds again.")
	WorkerRowsUnreadable = register(2718, "worker_rows_unreadable", zerolog.WarnLevel, "The worker listed runs or ends that cannot be decoded; until they are gone, the absence of a run proves nothing. Logged once for each lifetime.")
	RegistrationRejected = register(2719, "registration_rejected", zerolog.WarnLevel, "A registration cannot be used and is ignored, because it is malformed or out of range; the earlier ones hold. Logged once for each process.")
	PaceChanged          = register(2717, "pace_changed", zerolog.InfoLevel, "The pace of a best-effort run was reduced or restored; the line has the serving run that required it.")

	ManifestTaken      = register(5701, "manifest_taken", zerolog.InfoLevel, "A newer manifest is active.")
	ManifestRefused    = register(5702, "manifest_refused", zerolog.ErrorLevel, "A manifest cannot be decoded; the previous one stays active.")
	RoutesUnreadable   = register(5703, "routes_unreadable", zerolog.ErrorLevel, "Some routes of a manifest cannot be decoded and are left out; the others are active.")
	JobRequest         = register(1701, "job_request", zerolog.InfoLevel, "An entry responded to a caller's request about a job; the line has the outcome and the reason.")
	AnnouncementFailed = register(6701, "announcement_failed", zerolog.WarnLevel, "The process could not announce its address in the store; the announcement is retried.")
)
