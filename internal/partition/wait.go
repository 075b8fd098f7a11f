package partition

import "time"

// Bounds of waiting for a job.
const (
	MaxWait    = 20 * time.Second // of one call; callers ask again
	maxWaiters = 2000             // of one partition; more get the current state at once
)

// awaitJob returns when the job has finished, changed hands, or the time is over.
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
		o.dropWaiter(id, ch)
	}
}

// addWaiter registers a waiter; nil means that there is nothing to wait for.
func (o *Owner) addWaiter(id string) chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	job := o.state.Jobs[id]
	if job == nil || job.Finished() || o.lost || o.waiting >= maxWaiters {
		return nil
	}
	ch := make(chan struct{})
	o.waiters[id] = append(o.waiters[id], ch)
	o.waiting++
	return ch
}

func (o *Owner) dropWaiter(id string, ch chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	left := o.waiters[id][:0]
	for _, other := range o.waiters[id] {
		if other != ch {
			left = append(left, other)
		}
	}
	o.waiting -= len(o.waiters[id]) - len(left)
	o.waiters[id] = left
	if len(left) == 0 {
		delete(o.waiters, id)
	}
}

// wake ends the waits for a job; mu is held.
func (o *Owner) wake(jobID string) {
	for _, ch := range o.waiters[jobID] {
		close(ch)
	}
	o.waiting -= len(o.waiters[jobID])
	delete(o.waiters, jobID)
}

// wakeAll ends all waits; mu is held.
func (o *Owner) wakeAll() {
	for id := range o.waiters {
		o.wake(id)
	}
}
