package events

import "github.com/rs/zerolog"

// Placement and colocation events.
var (
	TaskDeferred      = register(4001, "task_deferred", zerolog.InfoLevel, "A unit of tasks found no worker for the first time or for another reason than before; the line has the reasons.")
	TaskPreempting    = register(4002, "task_preempting", zerolog.InfoLevel, "Lower priority work is checkpointed for an urgent task; the line has the worker.")
	GangIncomplete    = register(4003, "gang_incomplete", zerolog.InfoLevel, "An agent refused a task of a gang; the others are checkpointed and the gang waits again.")
	WorkerQuarantined = register(4101, "worker_quarantined", zerolog.WarnLevel, "A worker failed tasks of several jobs and gets no work until it is probed.")
	WorkerProbation   = register(4102, "worker_probation", zerolog.InfoLevel, "A quarantined worker may be probed with one task at a time.")
	WorkerRestored    = register(4103, "worker_restored", zerolog.InfoLevel, "A worker that was quarantined completed a task and gets work again.")
	JobAtFault        = register(4104, "job_at_fault", zerolog.WarnLevel, "A job failed on several workers; the job and not the workers is blamed.")
	ThrottleDecided   = register(4201, "throttle_decided", zerolog.InfoLevel, "The colocation controller changed a task's speed; the line has the reason and the candidates that were not chosen.")
	EvictionDecided   = register(4202, "eviction_decided", zerolog.InfoLevel, "A task is checkpointed and evicted; the line has the reason and the candidates that were not chosen.")
	ControlFailed     = register(4203, "control_failed", zerolog.WarnLevel, "The worker did not carry out a throttle or an eviction.")
)
