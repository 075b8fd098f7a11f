package events

import "github.com/rs/zerolog"

// Recovery and life of jobs.
var (
	RecoveryDone    = register(3300, "recovery_done", zerolog.InfoLevel, "A partition's state was read and earlier owners are fenced; the line has the time it took.")
	RecoveryFailed  = register(3301, "recovery_failed", zerolog.WarnLevel, "A claimed partition could not be recovered; it is tried again.")
	OwnerUnreadable = register(3302, "owner_unreadable", zerolog.ErrorLevel, "The owner key of a partition cannot be decoded; nobody claims it until it expires.")
	JobSetAside     = register(3310, "job_set_aside", zerolog.WarnLevel, "No worker is large enough for a job; it is kept and examined again from time to time.")
	JobTakenBack    = register(3311, "job_taken_back", zerolog.InfoLevel, "A job that was set aside fits a worker again.")
	JobsPruned      = register(3312, "jobs_pruned", zerolog.InfoLevel, "Finished jobs and recorded claims older than their retention were removed.")
)
