package gate

import "time"

// waiter is a request that waits for a slot. err is set before completed is closed; nil means that the slot was granted.
type waiter struct {
	leaf      *node
	path      []*node // from the node below the root to the leaf
	arrivedAt time.Time
	timeout   time.Duration
	expiresAt time.Time // end of the wait: arrivedAt + timeout, or the deadline of the request if that is earlier
	grantedAt time.Time
	isQueued  bool
	completed chan struct{} // closed when the slot is granted or the request is refused
	err       error
}

func newWaiter(r Request, now time.Time) *waiter {
	w := &waiter{arrivedAt: now, timeout: r.Timeout, expiresAt: now.Add(r.Timeout), completed: make(chan struct{})}
	if !r.Deadline.IsZero() && r.Deadline.Before(w.expiresAt) {
		w.expiresAt = r.Deadline
	}
	return w
}

// complete ends the wait. A nil err grants the slot, any other err refuses the request.
func (w *waiter) complete(err error) {
	w.err = err
	close(w.completed)
}
