package partition

import "time"

// Limits on waiting for a job.
const (
	MaxWait    = 20 * time.Second // maximum wait of one call; callers repeat the call
	maxWaiters = 2000             // maximum number of waiting calls per partition; further calls return the current state at once
)

// awaitJob returns when the job has finished or was cancelled, the owner has stopped, or the time limit is reached.
func (o *Owner) awaitJob(id string, wait time.Duration) {
	ch := o.addWaiter(id)
	if ch == nil {
		return
	}
	timer := time.NewTimer(min(wait, MaxWait))
	defer timer.Stop()
	select {
	case <-ch:
	case <-timer.C:
		o.removeWaiter(id, ch)
	}
}

// addWaiter registers a waiter and returns the channel that is closed when the job ends or is cancelled, or the
// owner stops. It returns nil if there is nothing to wait for or the limit is reached.
func (o *Owner) addWaiter(id string) chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	job := o.state.Jobs[id]
	if job == nil || job.Finished() || o.lost || o.waitingCalls >= maxWaiters {
		return nil
	}
	ch := make(chan struct{})
	o.waiters[id] = append(o.waiters[id], ch)
	o.waitingCalls++
	return ch
}

func (o *Owner) removeWaiter(id string, ch chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	remaining := o.waiters[id][:0]
	for _, other := range o.waiters[id] {
		if other != ch {
			remaining = append(remaining, other)
		}
	}
	o.waitingCalls -= len(o.waiters[id]) - len(remaining)
	o.waiters[id] = remaining
	if len(remaining) == 0 {
		delete(o.waiters, id)
	}
}

// wakeWaiters wakes the waiters of a job. The caller holds mu.
func (o *Owner) wakeWaiters(jobID string) {
	for _, ch := range o.waiters[jobID] {
		close(ch)
	}
	o.waitingCalls -= len(o.waiters[jobID])
	delete(o.waiters, jobID)
}

// wakeAllWaiters wakes all waiters. The caller holds mu.
func (o *Owner) wakeAllWaiters() {
	for id := range o.waiters {
		o.wakeWaiters(id)
	}
}
