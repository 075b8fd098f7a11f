package events

import "github.com/rs/zerolog"

// Placement and colocation events.
var (
	TaskDeferred      = register(4001, "task_deferred", zerolog.InfoLevel, "No worker was found for a scheduling unit, for the first time or for a new reason; the line has the reasons.")
	TaskPreempting    = register(4002, "task_preempting", zerolog.InfoLevel, "Tasks of lower priority are checkpointed to free resources for an urgent task; the line has the worker.")
	GangIncomplete    = register(4003, "gang_incomplete", zerolog.InfoLevel, "An agent refused a task of a gang; the others are checkpointed and the gang is queued again.")
	WorkerQuarantined = register(4101, "worker_quarantined", zerolog.WarnLevel, "Tasks of several jobs failed on a worker; it gets no work until its probation.")
	WorkerProbation   = register(4102, "worker_probation", zerolog.InfoLevel, "A quarantined worker is on probation and gets one task at a time.")
	WorkerRestored    = register(4103, "worker_restored", zerolog.InfoLevel, "A quarantined worker completed a task and gets work again without restriction.")
	JobAtFault        = register(4104, "job_at_fault", zerolog.WarnLevel, "A job failed on several workers; the failures count against the job and not against the workers.")
	ThrottleDecided   = register(4201, "throttle_decided", zerolog.InfoLevel, "The colocation controller changed the share of full speed allowed to a task; the line has the reason and the candidates that were not chosen.")
	EvictionDecided   = register(4202, "eviction_decided", zerolog.InfoLevel, "A task is checkpointed and evicted; the line has the reason and the candidates that were not chosen.")
	ControlFailed     = register(4203, "control_failed", zerolog.WarnLevel, "A throttle or eviction could not be applied on the worker.")
)
