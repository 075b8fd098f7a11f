package placement

import (
	"cmp"
	"slices"

	"bamboofork/internal/jobs"
)

// remainingChainMs returns the longest chain of unfinished steps of an occurrence by the submitter's estimates.
func remainingChainMs(j *jobs.Job, occ int) int64 {
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

// totalChainMs returns the longest chain of all steps by the submitter's estimates.
func totalChainMs(j *jobs.Job) int64 {
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

// starvedMs is how long a job with a task whose turn has come may have nothing running before one task of it starts in
// spite of what it does to its neighbours. Nothing may wait for good while there is room.
const starvedMs = 1800

// candidate is an occurrence of a job that may have tasks to start.
type candidate struct {
	job     *jobs.Job
	occ     int
	late    bool   // it cannot end within its objective any more
	slackMs int64  // time that may pass before it becomes late
	spareMs int64  // the same when it was accepted
	perm    bool   // it lasts until it is cancelled
	image   string // of its first lasting step; tasks of one image are placed together
	starved bool   // nothing of it has run for a while
}

// order sorts the candidates. It answers bursts of large jobs: with more work than room, jobs that can still end within
// their objective go before jobs that cannot, urgent queues before others, and among equals the job with the least
// slack first, so that whole jobs finish instead of all of them progressing a little.
func order(s *Snapshot) []candidate {
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
			compareBool(b.perm, a.perm),
			cmp.Compare(a.image, b.image),
			compareBool(a.late, b.late),
			cmp.Compare(a.slackMs, b.slackMs),
			cmp.Compare(a.job.ID, b.job.ID),
		)
	})
	return list
}

func newCandidate(s *Snapshot, j *jobs.Job, occ int, fromMs int64) candidate {
	chain := totalChainMs(j)
	objective := int64(float64(chain)*max(1, j.Queue.Stretch)) + j.Queue.TargetMs
	slack := fromMs + objective - s.WallMs - remainingChainMs(j, occ)
	perm, image := false, ""
	for i := range j.Spec.Steps {
		if j.Spec.Steps[i].Perpetual && !perm {
			perm, image = true, j.Spec.Steps[i].Image
		}
	}
	starved := j.IdleMs > 0 && s.SteadyMs-j.IdleMs > starvedMs
	return candidate{job: j, occ: occ, late: slack < 0 && !perm, slackMs: slack, spareMs: objective - chain, perm: perm, image: image, starved: starved}
}

// lateUrgency is the urgency of a job that cannot end within its objective any more: it is worth little more than before.
const lateUrgency = 0.3

// urgency returns how much of the time that the job can spare is over, from 0 to 1.
func (c *candidate) urgency() float64 {
	if c.late {
		return lateUrgency
	}
	return min(1, max(0, 1-float64(c.slackMs)/float64(max(1, c.spareMs))))
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
