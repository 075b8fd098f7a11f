package placement

// Load pattern: a failure domain with a quarter of the fleet comes back into service while a queue waits for it. Its workers run hardly
// anything, so that one planning pass would put the whole queue on them, although they may have been restarted just before.
const (
	// rampMs is the time in which a worker that is back in service takes its full load. It is shorter than the 3 s for which a task
	// that fits may wait.
	rampMs = 2000
	// rampInitialShare is the share of the capacity of a worker that may be in use at the start of the ramp.
	rampInitialShare = 0.25
)

// LimitReturning reduces what is free on a worker whose failure domain came back into service sinceMs ago.
func (w *Worker) LimitReturning(sinceMs int64) {
	if sinceMs >= rampMs {
		return
	}
	share := rampInitialShare + (1-rampInitialShare)*float64(max(0, sinceMs))/rampMs
	withheld := Resources{CPU: int((1 - share) * float64(w.Capacity.CPU)), MemMB: int((1 - share) * float64(w.Capacity.MemMB))}
	w.Free = w.Free.Sub(withheld)
	w.IdleCPU -= withheld.CPU
}
