package placement

import (
	"cmp"
	"slices"

	"bamboofork/internal/jobs"
)

// standing orders waiting jobs by what running them now can still achieve. Load pattern: large jobs demand more than the fleet has.
// If the job with the least time left always goes first, every job begins when it has hardly any time left, becomes late halfway
// and gives way to the next one, so that the fleet is busy and nearly all jobs are late.
type standing int

const (
	finishing standing = iota // begun and on time
	startable                 // not begun, and on time
	late                      // late, but still of use
	expired                   // so late that its completion is hardly of use; it still runs when there is room
)

const (
	// expiryFactor is the multiple of its objective after which a job counts as expired.
	expiryFactor = 3
	// usableIdleFraction is the fraction of the idle CPU time that best-effort tasks can use, because some pairs of images have to
	// be kept apart.
	usableIdleFraction = 0.6
)

// standingOf returns the standing of a candidate with the given objective in ms.
func standingOf(c *candidate, objectiveMs int64) standing {
	switch {
	case c.isPerpetual:
		return finishing
	case c.slackMs < -(expiryFactor-1)*objectiveMs:
		return expired
	case c.slackMs < 0:
		return late
	case c.hasBegun:
		return finishing
	}
	return startable
}

// hasBegun reports whether a task of the occurrence has been placed.
func hasBegun(j *jobs.Job, occ int) bool {
	for i := range j.Occurrences[occ].Steps {
		if step := &j.Occurrences[occ].Steps[i]; step.WaitingTasks < len(step.Tasks) {
			return true
		}
	}
	return false
}

// compareWithinStanding orders two candidates of the same standing. Of late jobs, those that have begun come first, and then those
// that are of use for longest; otherwise the job with the least slack comes first.
func compareWithinStanding(a, b *candidate) int {
	if a.standing == late || a.standing == expired {
		return cmp.Or(compareBool(b.hasBegun, a.hasBegun), cmp.Compare(b.slackMs, a.slackMs))
	}
	return cmp.Compare(a.slackMs, b.slackMs)
}

// preferFreshIfOverloaded reorders neighbouring startable jobs of the list so that the job with the most slack comes first, if they
// cannot all be begun in time. The jobs with the least slack would then all miss their objective, together with those that wait
// behind them.
func preferFreshIfOverloaded(s *Snapshot, list []candidate) {
	var ahead work
	capacity := capacityOf(s)
	for start := 0; start < len(list); {
		end := start + 1
		for end < len(list) && list[end].standing == list[start].standing && list[end].job.Queue.Priority == list[start].job.Queue.Priority {
			end++
		}
		group := list[start:end]
		if group[0].standing == startable && !allStartInTime(group, ahead, capacity) {
			slices.SortStableFunc(group, func(a, b candidate) int {
				return cmp.Or(cmp.Compare(b.slackMs, a.slackMs), cmp.Compare(a.job.ID, b.job.ID))
			})
		}
		for i := range group {
			ahead.add(&group[i])
		}
		start = end
	}
}

// work is an amount of work, in thousandths of a core x ms, of tasks with reservations and of best-effort tasks. As a capacity it is
// the work that can be done in a millisecond.
type work struct{ reserved, bestEffort float64 }

// add adds the remaining work of a job that is not perpetual. Running tasks count half.
func (w *work) add(c *candidate) {
	for i := range c.job.Spec.Steps {
		step, stepState := &c.job.Spec.Steps[i], &c.job.Occurrences[c.occ].Steps[i]
		if step.Perpetual {
			continue
		}
		remaining := float64(len(stepState.Tasks)-stepState.DoneTasks+stepState.WaitingTasks) / 2
		amount := remaining * float64(step.CPU) * float64(step.EstimateMs)
		if step.BestEffort {
			w.bestEffort += amount
		} else {
			w.reserved += amount
		}
	}
}

// capacityOf returns what tasks with reservations can get from the workers, and what best-effort tasks can use beside the other tasks.
func capacityOf(s *Snapshot) work {
	var capacity work
	for w := range s.open() {
		capacity.reserved += float64(w.Capacity.CPU)
		capacity.bestEffort += usableIdleFraction * float64(max(0, w.IdleCPU+w.bestEffortCPU))
	}
	return capacity
}

// allStartInTime reports whether each of the jobs, served in the order of the list after the work ahead of them, begins while it can
// still be in time.
func allStartInTime(list []candidate, ahead, capacity work) bool {
	for i := range list {
		c := &list[i]
		latestStartMs := float64(c.slackMs)
		if ahead.reserved > capacity.reserved*latestStartMs || ahead.bestEffort > capacity.bestEffort*latestStartMs {
			return false
		}
		ahead.add(c)
	}
	return true
}
