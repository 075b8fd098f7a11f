package events

import "github.com/rs/zerolog"

// Events of partition recovery and of the retention of jobs.
var (
	RecoveryDone    = register(3300, "recovery_done", zerolog.InfoLevel, "The state of a partition was recovered and earlier owners are fenced; the line has the time it took.")
	RecoveryFailed  = register(3301, "recovery_failed", zerolog.WarnLevel, "A claimed partition could not be recovered; recovery is retried.")
	OwnerUnreadable = register(3302, "owner_unreadable", zerolog.ErrorLevel, "The owner key of a partition cannot be decoded; no process claims the partition until the key expires.")
	JobSetAside     = register(3310, "job_set_aside", zerolog.WarnLevel, "No worker is large enough for a job; it is kept and checked again periodically.")
	JobTakenBack    = register(3311, "job_taken_back", zerolog.InfoLevel, "A job that had been set aside fits a worker and is no longer set aside.")
	JobsPruned      = register(3312, "jobs_pruned", zerolog.InfoLevel, "Finished jobs and recorded claims past their retention period were removed.")
)
