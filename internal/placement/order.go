package placement

import (
	"cmp"
	"slices"

	"bamboofork/internal/delaycost"
	"bamboofork/internal/jobs"
)

// remainingPathMs returns the length of the critical path of an occurrence's unfinished steps, by the submitter's estimates.
func remainingPathMs(j *jobs.Job, occ int) int64 {
	occurrence := &j.Occurrences[occ]
	endMs := make([]int64, len(j.Spec.Steps))
	longestMs := int64(0)
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		for _, a := range step.After {
			endMs[i] = max(endMs[i], endMs[a])
		}
		if occurrence.Steps[i].DoneTasks < len(occurrence.Steps[i].Tasks) {
			endMs[i] += max(step.EstimateMs, 1)
		}
		longestMs = max(longestMs, endMs[i])
	}
	return longestMs
}

// totalPathMs returns the length of the critical path of all steps of one occurrence, by the submitter's estimates.
func totalPathMs(j *jobs.Job) int64 {
	endMs := make([]int64, len(j.Spec.Steps))
	longestMs := int64(0)
	for i := range j.Spec.Steps {
		for _, a := range j.Spec.Steps[i].After {
			endMs[i] = max(endMs[i], endMs[a])
		}
		endMs[i] += max(j.Spec.Steps[i].EstimateMs, 1)
		longestMs = max(longestMs, endMs[i])
	}
	return longestMs
}

// starvationMs is how long a job with a ready task may have no placed task. After that time, one of its tasks is started regardless of
// the interference that the task causes. No job may wait indefinitely while there are free resources for it.
const starvationMs = 1800

// startIdleJobsIfCalm lets every job without a placed task start one at once if all jobs that wait are late and at least half of the
// CPU of the workers is not reserved. The jobs that were left behind in an overload then always have a task running, although no
// worker is free of serving tasks that they interfere with.
func startIdleJobsIfCalm(s *Snapshot, list []candidate) {
	free, capacity := 0, 0
	for w := range s.open() {
		free, capacity = free+w.Free.CPU, capacity+w.Capacity.CPU
	}
	if 2*free < capacity {
		return
	}
	for i := range list {
		if c := &list[i]; !c.isPerpetual && c.standing < late {
			return
		}
	}
	for i := range list {
		c := &list[i]
		c.isStarved = c.isStarved || (!c.isPerpetual && !c.job.HasPlacedTasks())
	}
}

// candidate is an occurrence of a job that may have tasks to start.
type candidate struct {
	job            *jobs.Job
	occ            int
	standing       standing
	hasBegun       bool   // a task of the occurrence has been placed
	slackMs        int64  // time until the job becomes late; negative for a late job
	initialSlackMs int64  // slack when the job was accepted
	isPerpetual    bool   // the job has a perpetual step, so it runs until it is cancelled
	image          string // image of the first perpetual step; perpetual tasks of one image are placed one after the other
	isStarved      bool   // the job has had no placed task for starvationMs

	cost *candidateCost // nil without a model of the cost of delays
}

// placementOrder returns the candidates in the order in which their tasks are placed.
func placementOrder(snapshot *Snapshot) []candidate {
	list := sortedCandidates(snapshot, snapshot.DelayCost)
	if snapshot.DelayCost != nil {
		preferCostlyIfOverloaded(snapshot, list)
	} else {
		preferFreshIfOverloaded(snapshot, list)
	}
	startIdleJobsIfCalm(snapshot, list)
	return list
}

// sortedCandidates returns the candidates by priority and standing. Queues with a lower priority number come first. Within a priority,
// perpetual jobs come first, then the other jobs by their standing. In a burst of large jobs, some of them therefore finish in time,
// instead of all of them making a little progress. With delayCost, the standing follows from learned run times, otherwise from what was declared.
func sortedCandidates(snapshot *Snapshot, delayCost *delaycost.Model) []candidate {
	list := make([]candidate, 0, len(snapshot.Jobs))
	for _, j := range snapshot.Jobs {
		for k := range j.Occurrences {
			if j.Occurrences[k].DoneSteps == len(j.Occurrences[k].Steps) {
				continue
			}
			dueMs := j.Spec.DueMs(k)
			if dueMs > snapshot.WallMs {
				continue
			}
			list = append(list, newCandidate(snapshot, delayCost, j, k, max(dueMs, j.AcceptedMs)))
		}
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.job.Queue.Priority, b.job.Queue.Priority),
			compareBool(b.isPerpetual, a.isPerpetual),
			cmp.Compare(a.image, b.image),
			cmp.Compare(a.standing, b.standing),
			compareWithinStanding(&a, &b),
			cmp.Compare(a.job.ID, b.job.ID),
		)
	})
	return list
}

// newCandidate returns the candidate for one occurrence. startMs, in Unix milliseconds, is the time from which the completion time
// objective counts.
func newCandidate(snapshot *Snapshot, delayCost *delaycost.Model, j *jobs.Job, occ int, startMs int64) candidate {
	isPerpetual, image := false, ""
	for i := range j.Spec.Steps {
		if j.Spec.Steps[i].Perpetual && !isPerpetual {
			isPerpetual, image = true, j.Spec.Steps[i].Image
		}
	}
	criticalPathMs, remainingMs := int64(0), int64(0)
	var cost *candidateCost
	if delayCost != nil && !isPerpetual {
		cost = newCandidateCost(delayCost, j, occ)
		criticalPathMs, remainingMs = cost.pathMs, cost.remainingPathMs
	} else {
		criticalPathMs, remainingMs = totalPathMs(j), remainingPathMs(j, occ)
	}
	objectiveMs := int64(float64(criticalPathMs)*max(1, j.Queue.Stretch)) + j.Queue.TargetMs
	currentSlackMs := startMs + objectiveMs - snapshot.WallMs - remainingMs
	isStarved := j.IdleSinceMs > 0 && snapshot.BootTimeMs-j.IdleSinceMs > starvationMs
	c := candidate{job: j, occ: occ, slackMs: currentSlackMs,
		initialSlackMs: objectiveMs - criticalPathMs,
		isPerpetual:    isPerpetual, image: image, isStarved: isStarved, hasBegun: hasBegun(j, occ)}
	c.standing = standingOf(&c, objectiveMs)
	if cost != nil {
		cost.job.SlackMs, cost.job.ObjectiveMs = float64(currentSlackMs), float64(objectiveMs)
		c.cost = cost
	}
	return c
}

// lateUrgency is the urgency of a job that can no longer meet its objective. Such a job gains little from an earlier end.
const lateUrgency = 0.3

// urgency returns the fraction of the initial slack of the job that is used up, from 0 to 1. It returns lateUrgency for a late job.
func (c *candidate) urgency() float64 {
	if c.standing >= late {
		return lateUrgency
	}
	return min(1, max(0, 1-float64(c.slackMs)/float64(max(1, c.initialSlackMs))))
}

// compareBool orders false before true. It returns 0 for equal values, 1 if only a is true, and -1 if only b is true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
