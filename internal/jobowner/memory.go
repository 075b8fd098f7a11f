package jobowner

import (
	"math"
	"math/rand/v2"
	"time"

	"bamboofork/internal/boottime"
	"bamboofork/internal/events"
	"bamboofork/internal/jobs"
	"bamboofork/internal/session"
)

const (
	// processBytes is the memory of an agent's process without jobs.
	processBytes = 40 << 20
	// recoveryFactor bounds the peak of a recovery as a multiple of what is kept of the jobs: the decoded state, and beside it the snapshot
	// or the records that are decoded. Neither is larger than the decoded state is counted.
	recoveryFactor = 2
	// minMemoryLimit lets an owner with little memory accept any single job that is within the limits of a job.
	minMemoryLimit = 8 << 20
	// reservedShare is the share of the limit that only jobs of at most smallJobShare of the limit may take. Without it, a few callers with
	// large jobs could take all of it from the others.
	reservedShare = 0.25
	smallJobShare = 0.001
	// maxTailShare is the share of the limit that the records after the newest snapshot may take before they are replaced by a snapshot.
	maxTailShare = 0.2
	// releaseWindow is the time over which the rate is measured at which memory comes back.
	releaseWindow = 10 * time.Second
	// minRoomRetryMs and maxRoomRetryMs bound the time after which a caller may come back.
	minRoomRetryMs = 1_000
	maxRoomRetryMs = 30_000
)

// reasonNoMemory is the reason given for refusing a job that the owner has no memory for.
const reasonNoMemory = "no memory for the description of the job"

// MemoryLimitFor returns how many bytes the jobs of an owner may take on a machine with the memory, in bytes.
func MemoryLimitFor(memory int64) int64 {
	return max(minMemoryLimit, (memory-processBytes)/recoveryFactor)
}

// keptMemory counts what is kept of the jobs, as decoded, and the records that a successor has to read beside it.
type keptMemory struct {
	limit      int64 // as of the last submission, see Owner.memoryLimit; 0: none
	bytesByJob map[string]int64
	jobBytes   int64 // sum of bytesByJob
	tailBytes  int64 // records after the newest snapshot

	// releasedBytes is the memory that has come back since windowStart, lastReleased that of the window before.
	releasedBytes, lastReleased int64
	windowStart                 time.Duration
}

// set records the memory of a job; 0: it is not kept any more.
func (m *keptMemory) set(id string, bytes int64, now time.Duration) {
	previous := m.bytesByJob[id]
	m.jobBytes += bytes - previous
	if bytes == 0 {
		delete(m.bytesByJob, id)
	} else {
		if m.bytesByJob == nil {
			m.bytesByJob = map[string]int64{}
		}
		m.bytesByJob[id] = bytes
	}
	if bytes < previous {
		m.advance(now)
		m.releasedBytes += previous - bytes
	}
}

func (m *keptMemory) advance(now time.Duration) {
	switch elapsed := now - m.windowStart; {
	case elapsed >= 2*releaseWindow:
		m.windowStart, m.lastReleased, m.releasedBytes = now, 0, 0
	case elapsed >= releaseWindow:
		m.windowStart, m.lastReleased, m.releasedBytes = m.windowStart+releaseWindow, m.releasedBytes, 0
	}
}

// used returns the memory that counts against the limit.
func (m *keptMemory) used() int64 { return m.jobBytes + m.tailBytes }

// missing returns the number of bytes that have to come back before a job of the size may be accepted; 0: it may be accepted now.
func (m *keptMemory) missing(bytes int64) int64 {
	if m.limit == 0 {
		return 0
	}
	limit := m.limit
	if float64(bytes) > smallJobShare*float64(m.limit) {
		limit -= int64(reservedShare * float64(m.limit))
	}
	return max(0, m.used()+bytes-limit)
}

// retryMs returns the time in ms after which the missing bytes have probably come back, by the rate of the last windows.
func (m *keptMemory) retryMs(missing int64, now time.Duration) float64 {
	m.advance(now)
	measured := releaseWindow + now - m.windowStart
	released := m.releasedBytes + m.lastReleased
	if released == 0 {
		return maxRoomRetryMs
	}
	return min(maxRoomRetryMs, max(minRoomRetryMs, float64(missing)/float64(released)*float64(measured.Milliseconds())))
}

// memoryLimit returns the limit of the smallest machine that may own the jobs next. It returns 0 if this owner has none.
func (o *Owner) memoryLimit() int64 {
	limit := o.cfg.MemoryLimit
	for _, member := range o.members {
		if limit > 0 && member.Agent && member.MemoryMB > 0 {
			limit = min(limit, MemoryLimitFor(member.MemoryMB<<20))
		}
	}
	return limit
}

// refuseWithoutMemory replies to a submission whose job the owner has no memory for, and reports whether it did. Nothing of the job is
// recorded, so it certainly never runs.
func (o *Owner) refuseWithoutMemory(request *session.Request, reply func(session.Reply)) bool {
	o.memory.limit = o.memoryLimit()
	bytes := request.Spec.MemoryBytes()
	missing := o.memory.missing(bytes)
	if missing == 0 {
		return false
	}
	// Callers that were refused at the same time do not come back at the same time.
	retryMs := int64(math.Ceil(o.memory.retryMs(missing, boottime.Now()) * (1 + rand.Float64()/2)))
	o.refusals.note(request.JobID, arrivalMs(request, wallTimeMs()))
	o.cfg.Metrics.Counter("owner_jobs_without_memory").Inc(1)
	events.JobWithoutMemory.Log(&o.cfg.Log).Str("job", request.JobID).Str("queue", request.Queue.Name).Int64("bytes", bytes).
		Int64("missing", missing).Int64("job_bytes", o.memory.jobBytes).Int64("tail_bytes", o.memory.tailBytes).
		Int64("limit", o.memory.limit).Int64("retry_ms", retryMs).Send()
	reply(session.Reply{Code: session.CodeRejected, RetryMs: retryMs, Reason: reasonNoMemory})
	return true
}

// releaseSteps drops the steps of a job that has ended and of which nothing is placed, and reports whether it did.
func releaseSteps(job *jobs.Job) bool {
	if !job.Ended() || job.HasPlacedTasks() {
		return false
	}
	job.ReleaseSteps()
	return true
}

// releaseEndedJobs drops what nobody asks for any more of those jobs whose durable state is final.
func (o *Owner) releaseEndedJobs(changed map[*jobs.Job]jobs.JobState) {
	now := boottime.Now()
	for job := range changed {
		if o.jobsState.Jobs[job.ID] == job && releaseSteps(job) { // otherwise withdrawn or deleted meanwhile, or needed
			o.memory.set(job.ID, job.MemoryBytes(), now)
		}
	}
	o.cfg.Metrics.Gauge("owner_job_bytes").Update(o.memory.jobBytes)
	o.cfg.Metrics.Gauge("owner_tail_bytes").Update(o.memory.tailBytes)
}

// needsSnapshot reports whether a snapshot is to replace the records up to lastSeq.
func (o *Owner) needsSnapshot(lastSeq int64) bool {
	isLarge := o.memory.limit > 0 && float64(o.memory.tailBytes) > maxTailShare*float64(o.memory.limit)
	return lastSeq-o.snapshotSeq >= o.recordsUntilSnapshot() || isLarge
}
