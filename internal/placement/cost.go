package placement

import (
	"cmp"
	"math"
	"slices"

	"bamboofork/internal/delaycost"
	"bamboofork/internal/jobs"
)

// candidateCost is what the model of the cost of delays says about a candidate.
type candidateCost struct {
	job             delaycost.Job
	pathMs          int64 // expected length of the critical path of all steps
	remainingPathMs int64 // expected length of the critical path of the unfinished steps
	isBehind        bool  // jobs of its size are served clearly less well than its queue
	perRoom         float64
}

// KindOf returns the kind under which the run times of a step are learned: its image, otherwise the job's queue.
func KindOf(queue *jobs.Queue, step *jobs.Step) string {
	if step.Image != "" {
		return step.Image
	}
	return queue.Name
}

// ExpectedWork returns the work of all steps of one occurrence by the learned run times, in thousandths of a core x ms. Steps that run
// until the job is cancelled do not count.
func ExpectedWork(model *delaycost.Model, queue *jobs.Queue, spec *jobs.Spec) float64 {
	work := 0.0
	for i := range spec.Steps {
		if step := &spec.Steps[i]; !step.Perpetual {
			expectedMs, _ := model.RunTimes.Expect(KindOf(queue, step), float64(step.EstimateMs))
			work += float64(step.Count) * float64(step.CPU) * expectedMs
		}
	}
	return work
}

// DelayOf returns what the cost of a delay of a job depends on if none of its tasks has begun and the time of its objective begins now.
func DelayOf(model *delaycost.Model, j *jobs.Job) delaycost.Job {
	cost := newCandidateCost(model, j, 0)
	cost.job.ObjectiveMs = float64(cost.pathMs)*max(1, j.Queue.Stretch) + float64(j.Queue.TargetMs)
	cost.job.SlackMs = cost.job.ObjectiveMs - float64(cost.remainingPathMs)
	return cost.job
}

// MayStartNow reports whether a worker has room for a task of the first steps of a job of which none has begun.
func (s *Snapshot) MayStartNow(j *jobs.Job) bool {
	for i := range j.Spec.Steps {
		if len(j.Spec.Steps[i].After) == 0 && s.ShortageOf(j, 0, i).Fitting > 0 {
			return true
		}
	}
	return false
}

func newCandidateCost(model *delaycost.Model, j *jobs.Job, occ int) *candidateCost {
	c := &candidateCost{}
	work, doubt := 0.0, 0.0
	var buffer [16]float64
	endMs := buffer[:0]
	remainingEndMs := make([]float64, 0, 16)
	longestMs, longestRemainingMs := 0.0, 0.0
	for i := range j.Spec.Steps {
		step, stepState := &j.Spec.Steps[i], &j.Occurrences[occ].Steps[i]
		expectedMs, spread := model.RunTimes.Expect(KindOf(&j.Queue, step), float64(step.EstimateMs))
		end, remainingEnd := 0.0, 0.0
		for _, a := range step.After {
			end, remainingEnd = max(end, endMs[a]), max(remainingEnd, remainingEndMs[a])
		}
		longestTaskMs := expectedMs * model.Tails.Expect(KindOf(&j.Queue, step), step.Count)
		end += longestTaskMs
		if stepState.DoneTasks < len(stepState.Tasks) {
			remainingEnd += longestTaskMs
		}
		endMs, remainingEndMs = append(endMs, end), append(remainingEndMs, remainingEnd)
		longestMs, longestRemainingMs = max(longestMs, end), max(longestRemainingMs, remainingEnd)
		doubt = max(doubt, spread)
		work += float64(step.Count) * float64(step.CPU) * expectedMs
		remaining := float64(len(stepState.Tasks)-stepState.DoneTasks+stepState.WaitingTasks) / 2
		c.job.Work += remaining * float64(step.CPU) * expectedMs
	}
	c.pathMs, c.remainingPathMs = int64(longestMs), int64(longestRemainingMs)
	c.job.Worth = delaycost.Worth(work, model.Sizes.MeanWork(j.Queue.Name))
	c.job.DoubtMs = doubt * max(math.Abs(max(1, j.Queue.Stretch)*longestMs-longestRemainingMs), longestRemainingMs/2)
	c.isBehind = model.Sizes.IsBehind(j.Queue.Name, model.Sizes.SizeOf(j.Queue.Name, work))
	return c
}

// preferCostlyIfOverloaded reorders the jobs of each priority if those that can still be in time cannot all go on in time: the job whose
// caller loses most by waiting until the work of all of them is done, for the room that it takes, comes first. Jobs of a size that is served
// clearly less well than its queue come before.
func preferCostlyIfOverloaded(s *Snapshot, list []candidate) {
	var ahead work
	capacity := servedCapacity(s)
	for start := 0; start < len(list); {
		if list[start].isPerpetual {
			start++
			continue
		}
		end, onTimeEnd := start+1, start
		for end < len(list) && list[end].job.Queue.Priority == list[start].job.Queue.Priority {
			end++
		}
		for onTimeEnd < end && list[onTimeEnd].standing <= startable {
			onTimeEnd++
		}
		group := list[start:end]
		if !allStartInTime(list[start:onTimeEnd], ahead, capacity) {
			delayMs := waitMs(group, ahead, capacity)
			sortByCost(group, delayMs)
			s.noteShortage(group, ahead, capacity, delayMs)
		}
		for i := range group {
			ahead.add(&group[i])
		}
		start = end
	}
}

// servedCapacity returns what the open workers can do for waiting tasks. While best-effort tasks find no worker, although there is idle CPU,
// it is what the running ones get.
func servedCapacity(s *Snapshot) work {
	capacity := capacityOf(s)
	inUse := 0
	for w := range s.open() {
		inUse += w.bestEffortCPU
	}
	if s.DelayCost.UnplacedBestEffortCPU > inUse/20 && inUse > 0 {
		capacity.bestEffort = min(capacity.bestEffort, float64(inUse))
	}
	return capacity
}

// noteShortage adds the ordered jobs of a priority to the work that waits.
func (s *Snapshot) noteShortage(group []candidate, ahead, capacity work, delayMs float64) {
	if s.Shortage == nil {
		s.Shortage = &delaycost.Backlog{}
	}
	s.Shortage.Begin(group[0].job.Queue.Priority, waitMs(nil, ahead, capacity), delayMs)
	for i := range group {
		if c := &group[i]; c.cost != nil {
			s.Shortage.Add(c.cost.perRoom, waitMs(group[i:i+1], work{}, capacity))
		}
	}
}

// waitMs returns the expected time in ms until the work ahead and that of the group are done.
func waitMs(group []candidate, ahead, capacity work) float64 {
	for i := range group {
		ahead.add(&group[i])
	}
	return max(ahead.reserved/max(1, capacity.reserved), ahead.bestEffort/max(1, capacity.bestEffort))
}

func sortByCost(group []candidate, delayMs float64) {
	for i := range group {
		if c := &group[i]; c.cost != nil {
			c.cost.perRoom = c.cost.job.CostPerRoom(delayMs)
		}
	}
	slices.SortStableFunc(group, func(a, b candidate) int {
		if a.cost == nil || b.cost == nil {
			return 0
		}
		return cmp.Or(compareBool(b.cost.isBehind, a.cost.isBehind), cmp.Compare(b.cost.perRoom, a.cost.perRoom), cmp.Compare(a.job.ID, b.job.ID))
	})
}
