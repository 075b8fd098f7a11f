package gate

import "time"

// waiter is a request in the queue. err is set before ready is closed.
type waiter struct {
	leaf    *node
	path    []*node // from the node below the root to the leaf
	arrived time.Time
	timeout time.Duration
	expires time.Time
	granted time.Time
	queued  bool
	ready   chan struct{}
	err     error
}

func newWaiter(r Request, now time.Time) *waiter {
	w := &waiter{arrived: now, timeout: r.Timeout, expires: now.Add(r.Timeout), ready: make(chan struct{})}
	if !r.Deadline.IsZero() && r.Deadline.Before(w.expires) {
		w.expires = r.Deadline
	}
	return w
}

// finish ends the wait: a nil err grants the slot.
func (w *waiter) finish(err error) {
	w.err = err
	close(w.ready)
}
