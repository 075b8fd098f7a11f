package gate

import "time"

// waiter is a request that waits for a slot. err is set before ready is closed.
type waiter struct {
	leaf      *node
	path      []*node // from the node below the root to the leaf
	arrived   time.Time
	timeout   time.Duration
	expires   time.Time
	grantedAt time.Time
	queued    bool
	ready     chan struct{}
	err       error
}

func newWaiter(r Request, now time.Time) *waiter {
	w := &waiter{arrived: now, timeout: r.Timeout, expires: now.Add(r.Timeout), ready: make(chan struct{})}
	if !r.Deadline.IsZero() && r.Deadline.Before(w.expires) {
		w.expires = r.Deadline
	}
	return w
}

// complete ends the wait; a nil err means that the slot is granted.
func (w *waiter) complete(err error) {
	w.err = err
	close(w.ready)
}
