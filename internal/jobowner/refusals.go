package jobowner

// refusedCallers remembers when jobs were first refused, so that callers who return are not put behind newcomers.
type refusedCallers struct {
	firstMsByJob map[string]int64
	nextPruneMs  int64 // wall-clock time in ms before which a full memory is not searched for old entries again
}

const (
	// refusalMemoryMs is how long a refusal is remembered.
	refusalMemoryMs = 120_000
	// maxRefusals bounds the number of refusals that are remembered.
	maxRefusals = 8192
	// refusalPruneMs is the interval between two searches for old entries. Each takes time under Owner.mu.
	refusalPruneMs = 1000
)

// firstMs returns the wall-clock time in ms of the first refusal of the job, 0 if none is remembered.
func (r *refusedCallers) firstMs(id string, nowMs int64) int64 {
	if first := r.firstMsByJob[id]; nowMs-first < refusalMemoryMs {
		return first
	}
	return 0
}

// note remembers that the job was refused first at atMs, a wall-clock time in ms, unless an earlier refusal is remembered.
func (r *refusedCallers) note(id string, atMs int64) {
	if r.firstMsByJob == nil {
		r.firstMsByJob = map[string]int64{}
	}
	if r.firstMs(id, atMs) > 0 {
		return
	}
	if len(r.firstMsByJob) >= maxRefusals && atMs >= r.nextPruneMs {
		r.nextPruneMs = atMs + refusalPruneMs
		for other, first := range r.firstMsByJob {
			if atMs-first >= refusalMemoryMs {
				delete(r.firstMsByJob, other)
			}
		}
	}
	if len(r.firstMsByJob) < maxRefusals {
		r.firstMsByJob[id] = atMs
	}
}
