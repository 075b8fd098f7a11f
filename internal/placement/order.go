package placement

import (
	"cmp"
	"slices"

	"bamboofork/internal/jobs"
)

// remainingPathMs returns the critical path of an occurrence's unfinished steps, by the submitter's estimates.
func remainingPathMs(j *jobs.Job, occ int) int64 {
	o := &j.Occ[occ]
	ends := make([]int64, len(j.Spec.Steps))
	longest := int64(0)
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		for _, a := range step.After {
			ends[i] = max(ends[i], ends[a])
		}
		if o.Steps[i].Done < len(o.Steps[i].Tasks) {
			ends[i] += max(step.EstimateMs, 1)
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// totalPathMs returns the critical path of all steps, by the submitter's estimates.
func totalPathMs(j *jobs.Job) int64 {
	ends := make([]int64, len(j.Spec.Steps))
	longest := int64(0)
	for i := range j.Spec.Steps {
		for _, a := range j.Spec.Steps[i].After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += max(j.Spec.Steps[i].EstimateMs, 1)
		longest = max(longest, ends[i])
	}
	return longest
}

// starvedMs is how long a job with a ready task may have nothing running before one of its tasks is started regardless of
// its interference. No job may wait indefinitely while there are free resources for it.
const starvedMs = 1800

// candidate is an occurrence of a job that may have tasks to start.
type candidate struct {
	job            *jobs.Job
	occ            int
	late           bool   // it can no longer meet its objective
	slackMs        int64  // time until it becomes late
	initialSlackMs int64  // slack when the job was accepted
	perpetual      bool   // it runs until it is cancelled
	image          string // of its first perpetual step; tasks of one image are placed together
	starved        bool   // none of its tasks has run for starvedMs
}

// sortedCandidates returns the candidates in the order in which they are placed. Urgent queues come first, and perpetual
// jobs before others. Then jobs that can still meet their objective come before late ones, and the job with the least slack
// first, so that in a burst of large jobs some finish instead of all of them making a little progress.
func sortedCandidates(s *Snapshot) []candidate {
	list := make([]candidate, 0, len(s.Jobs))
	for _, j := range s.Jobs {
		for k := range j.Occ {
			if j.Occ[k].Done == len(j.Occ[k].Steps) {
				continue
			}
			due := j.Spec.DueMs(k)
			if due > s.WallMs {
				continue
			}
			list = append(list, newCandidate(s, j, k, max(due, j.AcceptedMs)))
		}
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.job.Queue.Priority, b.job.Queue.Priority),
			compareBool(b.perpetual, a.perpetual),
			cmp.Compare(a.image, b.image),
			compareBool(a.late, b.late),
			cmp.Compare(a.slackMs, b.slackMs),
			cmp.Compare(a.job.ID, b.job.ID),
		)
	})
	return list
}

func newCandidate(s *Snapshot, j *jobs.Job, occ int, startMs int64) candidate {
	criticalPath := totalPathMs(j)
	objective := int64(float64(criticalPath)*max(1, j.Queue.Stretch)) + j.Queue.TargetMs
	slack := startMs + objective - s.WallMs - remainingPathMs(j, occ)
	perpetual, image := false, ""
	for i := range j.Spec.Steps {
		if j.Spec.Steps[i].Perpetual && !perpetual {
			perpetual, image = true, j.Spec.Steps[i].Image
		}
	}
	starved := j.IdleSinceMs > 0 && s.BootTimeMs-j.IdleSinceMs > starvedMs
	return candidate{job: j, occ: occ, late: slack < 0 && !perpetual, slackMs: slack, initialSlackMs: objective - criticalPath,
		perpetual: perpetual, image: image, starved: starved}
}

// lateUrgency is the urgency of a job that can no longer meet its objective; finishing it sooner gains little.
const lateUrgency = 0.3

// urgency returns the fraction of the job's slack that is used up, from 0 to 1.
func (c *candidate) urgency() float64 {
	if c.late {
		return lateUrgency
	}
	return min(1, max(0, 1-float64(c.slackMs)/float64(max(1, c.initialSlackMs))))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
