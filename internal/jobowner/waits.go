package jobowner

import (
	"time"

	"bamboofork/internal/boottime"
	"bamboofork/internal/jobs"
)

// agentSettleTime is the time from the start of Run in which the agents connect and list their runs. Until then tasks and jobs wait for
// the workers that are not known yet rather than for those that they are let on to after a long wait.
const agentSettleTime = 400 * time.Millisecond

// restoreWaits makes the waits of tasks and idle times of jobs that began under earlier owners count, once the agents had time to
// connect. Otherwise a wait would begin anew with each owner and would have no end while owners follow each other.
func (o *Owner) restoreWaits() {
	if o.waitsRestored || boottime.Now() < o.servingSince+agentSettleTime {
		return
	}
	o.waitsRestored = true
	nowMs, nowWallMs := bootTimeMs(), wallTimeMs()
	for _, job := range o.activeJobs {
		if job.IdleSinceMs != 0 {
			job.IdleSinceMs = min(job.IdleSinceMs, bootTimeAt(max(job.AcceptedMs, job.LastEndMs), nowMs, nowWallMs))
		}
		for occIndex := range job.Occurrences {
			for stepIndex := range job.Occurrences[occIndex].Steps {
				tasks := job.Occurrences[occIndex].Steps[stepIndex].Tasks
				for i := range tasks {
					if task := &tasks[i]; task.State == jobs.TaskWaiting && task.WaitingSinceMs != 0 {
						waitingSinceMs := max(job.AcceptedMs, job.Spec.DueMs(occIndex), task.EndedMs)
						task.WaitingSinceMs = min(task.WaitingSinceMs, bootTimeAt(waitingSinceMs, nowMs, nowWallMs))
					}
				}
			}
		}
	}
}

// bootTimeAt returns the time on the boot clock at the wall-clock time, in milliseconds and above 0. A wall-clock time in the future, by
// the clock of another host, counts as now.
func bootTimeAt(wallMs, nowMs, nowWallMs int64) int64 {
	return max(1, nowMs-max(0, nowWallMs-wallMs))
}
